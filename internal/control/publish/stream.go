package publish

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// The bounds on a follower's messages, and of one write.
const (
	maxFollowerMessageBytes = 8 << 10  // of one message
	maxRefusalBytes         = 1 << 10  // of the refusal reason that is kept
	chunkBytes              = 64 << 10 // of one write to the connection
)

var errInvalidMessage = errors.New("publish: invalid message from a follower")

// followerDecoder decodes followers' messages.
var followerDecoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxMapPairs: 16, MaxArrayElements: 64, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// messageReader reads a follower's messages, each bounded.
type messageReader struct {
	limit io.LimitedReader
	dec   *cbor.Decoder
}

// newMessageReader returns a messageReader of r.
func newMessageReader(r io.Reader) *messageReader {
	rd := &messageReader{limit: io.LimitedReader{R: r}}
	rd.dec = followerDecoder.NewDecoder(&rd.limit)
	return rd
}

// next reads one message. Without an error exactly one of its fields is set.
func (r *messageReader) next() (protocol.FollowerMessage, error) {
	var m protocol.FollowerMessage
	r.limit.N = maxFollowerMessageBytes
	if err := r.dec.Decode(&m); err != nil {
		if r.limit.N == 0 {
			return m, fmt.Errorf("%w: over %d bytes", errInvalidMessage, maxFollowerMessageBytes)
		}
		return m, err
	}
	if (m.Hello == nil) == (m.Ack == nil) {
		return m, fmt.Errorf("%w: want exactly one of Hello and Ack", errInvalidMessage)
	}
	return m, nil
}

// hello reads the first message.
func (r *messageReader) hello() (*protocol.Hello, error) {
	m, err := r.next()
	if err != nil {
		return nil, err
	}
	h := m.Hello
	if h == nil || h.Name == "" || len(h.Name) > document.MaxNameBytes || len(h.Region) > document.MaxNameBytes {
		return nil, fmt.Errorf("%w: want a Hello with a name and a region of at most %d bytes", errInvalidMessage, document.MaxNameBytes)
	}
	return h, nil
}

// handleFollow serves one follower: this goroutine sends, another one reads. Neither
// holds anything for the follower but its position in the log.
func (p *Publisher) handleFollow(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor < 2 {
		p.respondError(w, http.StatusHTTPVersionNotSupported, protocol.CodeInvalid, "want HTTP/2")
		return
	}
	select {
	case p.streamSlots <- struct{}{}:
		defer func() { <-p.streamSlots }()
	default:
		p.respondError(w, http.StatusServiceUnavailable, protocol.CodeBusy, fmt.Sprintf("%d followers are served", MaxFollowers))
		return
	}
	s := &stream{p: p, w: w, rc: http.NewResponseController(w), in: newMessageReader(r.Body)}
	w.WriteHeader(http.StatusOK)
	if err := s.flush(); err != nil {
		return
	}
	s.rc.SetReadDeadline(time.Now().Add(p.helloTimeout)) //nolint:errcheck // a stream that has ended shows below
	h, err := s.in.hello()
	if err != nil {
		p.log.Warn("a stream without a Hello is closed", zap.String("remote", r.RemoteAddr), zap.Error(err))
		return
	}
	s.rc.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := context.AfterFunc(p.shutdown, func() { cancel(errShuttingDown) })
	defer stop()
	s.session = p.registry.join(h, time.Now())
	p.log.Debug("a follower is connected", zap.String("follower", h.Name), zap.String("region", h.Region), zap.Uint64("version", h.Number))
	read := make(chan struct{})
	go func() { defer close(read); cancel(s.readAcks()) }()
	err = s.send(ctx, h.Number, h.Digest)
	cancel(err)
	s.rc.SetReadDeadline(time.Now()) //nolint:errcheck // ends the reader; as above
	<-read
	p.registry.leave(s.session, time.Now())
	p.log.Debug("a follower is disconnected", zap.String("follower", h.Name), zap.Error(err))
}

var (
	errShuttingDown    = errors.New("publish: the machine is shutting down")
	errFollowerLeaving = errors.New("publish: the follower is shutting down")
	errNoAck           = errors.New("publish: no acknowledgement from the follower")
)

// stream is one follower's connection.
type stream struct {
	p       *Publisher
	session *session
	w       http.ResponseWriter
	rc      *http.ResponseController
	in      *messageReader
}

// readAcks reads acknowledgements until the stream ends, and returns why it ended.
func (s *stream) readAcks() error {
	for {
		m, err := s.in.next()
		if err != nil {
			return err
		}
		if m.Ack == nil {
			return fmt.Errorf("%w: a second Hello", errInvalidMessage)
		}
		s.handleAck(m.Ack)
		if m.Ack.Leaving {
			return errFollowerLeaving
		}
	}
}

// handleAck records an acknowledgement, and detects forks and refusals.
func (s *stream) handleAck(a *protocol.Ack) {
	s.p.registry.noteAck(s.session, a, time.Now())
	if known, same := s.p.versions.lookup(a.Number, a.Digest); a.Fork || known && !same && a.Number > 0 {
		s.noteFork(a.Number, a.Digest)
	}
	if a.RefusalReason != "" {
		s.p.log.Warn("a follower refuses a version", zap.String("follower", s.session.name), zap.Uint64("on", a.Number), zap.String("why", a.RefusalReason))
	}
}

// noteFork records and logs a fork, once for each stream.
func (s *stream) noteFork(number uint64, digest document.Digest) {
	if s.p.registry.noteFork(s.session) {
		s.p.log.Error("fork: a follower is on another version with this number; it is sent nothing", zap.String("follower", s.session.name),
			zap.String("region", s.session.region), zap.Uint64("version", number), zap.Stringer("digest", digest))
	}
}

// send writes the versions that the follower lacks, then waits for more. It ends
// with ctx, or when a write fails or times out.
func (s *stream) send(ctx context.Context, number uint64, digest document.Digest) error {
	heartbeats := time.NewTicker(protocol.HeartbeatInterval)
	defer heartbeats.Stop()
	scratch := make([]entry, 0, batchEntries)
	heartbeatDue, fork := true, false
	for {
		n := s.p.versions.updateAfter(number, digest, scratch)
		if heartbeatDue {
			n.heartbeat.OriginatorSilenceMS = roundUpMS(s.p.originatorSilence()) // rounded up, so that it grows also while relays follow each other
			if err := s.sendHeartbeat(&n.heartbeat); err != nil {
				return err
			}
			heartbeatDue = false
		}
		if n.fork && !fork {
			s.noteFork(number, digest)
			fork = true
		}
		var err error
		switch {
		case fork: // heartbeats only, for as long as the stream lasts
		case n.snapshot != nil:
			select {
			case s.p.snapshotSlots <- struct{}{}:
			case <-heartbeats.C: // sent also while it waits for its turn
				heartbeatDue = true
				continue
			case <-ctx.Done():
				return context.Cause(ctx)
			}
			number, digest = n.snapshot.number, n.snapshot.digest
			err = s.sendSnapshot(n.snapshot)
			<-s.p.snapshotSlots
		default:
			for i := range n.entries {
				if err = s.write(n.entries[i].message); err != nil {
					break
				}
				number, digest = n.entries[i].number, n.entries[i].digest
			}
		}
		sent := !fork && (n.snapshot != nil || len(n.entries) > 0)
		if err == nil && sent {
			err = s.flush()
			s.p.registry.noteSent(s.session, number, time.Now())
		}
		if err != nil {
			return err
		}
		clear(n.entries) // so that entries dropped from the log are released
		if sent {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-heartbeats.C: // sent also while many versions are sent
				heartbeatDue = true
			default:
			}
			continue
		}
		select {
		case <-n.changed:
		case <-heartbeats.C:
			if s.p.registry.unackedFor(s.session, time.Now()) > s.p.ackTimeout {
				return errNoAck
			}
			heartbeatDue = true
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// sendSnapshot sends a snapshot.
func (s *stream) sendSnapshot(w *snapshot) error {
	err := w.encode()
	if err == nil {
		err = s.write(w.message)
	}
	if err == nil {
		err = s.flush()
	}
	return err
}

// sendHeartbeat sends a heartbeat.
func (s *stream) sendHeartbeat(b *protocol.Heartbeat) error {
	message, err := cbor.Marshal(&protocol.PublisherMessage{Heartbeat: b})
	if err == nil {
		err = s.write(message)
	}
	if err == nil {
		err = s.flush()
	}
	return err
}

// write writes bytes to the connection in chunks: each must be taken within
// WriteTimeout, or the stream ends. Between writes there is no deadline, since one
// that passes ends the stream also while nothing is written.
func (s *stream) write(b []byte) error {
	for len(b) > 0 {
		n := min(len(b), chunkBytes)
		s.rc.SetWriteDeadline(time.Now().Add(protocol.WriteTimeout)) //nolint:errcheck // a stream that has ended shows below
		if _, err := s.w.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// flush sends what was written.
func (s *stream) flush() error {
	s.rc.SetWriteDeadline(time.Now().Add(protocol.WriteTimeout)) //nolint:errcheck // a stream that has ended shows below
	err := s.rc.Flush()
	s.rc.SetWriteDeadline(time.Time{}) //nolint:errcheck // as above
	return err
}
