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

// The bounds of what a follower may say.
const (
	maxFollowerMessageBytes = 8 << 10 // bytes of one record
	maxRefusalBytes         = 1 << 10 // bytes of the reason that is kept
	chunkBytes              = 64 << 10
)

var errInvalidMessage = errors.New("publish: not a follower's word")

var followerDecoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxMapPairs: 16, MaxArrayElements: 64, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// messageReader reads a follower's records, each bounded.
type messageReader struct {
	limit io.LimitedReader
	dec   *cbor.Decoder
}

func newMessageReader(r io.Reader) *messageReader {
	rd := &messageReader{limit: io.LimitedReader{R: r}}
	rd.dec = followerDecoder.NewDecoder(&rd.limit)
	return rd
}

// next reads one record. Without an error exactly one of its parts is there.
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
		return m, fmt.Errorf("%w: want one part", errInvalidMessage)
	}
	return m, nil
}

// hello reads the first record.
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

// handleFollow serves one follower: this goroutine sends, another reads. Neither holds
// anything for the follower but its place in the log.
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
		p.log.Warn("a stream that says no hello is cut off", zap.String("remote", r.RemoteAddr), zap.Error(err))
		return
	}
	s.rc.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := context.AfterFunc(p.shutdown, func() { cancel(errShuttingDown) })
	defer stop()
	s.session = p.registry.join(h, time.Now())
	p.log.Debug("a follower joins", zap.String("follower", h.Name), zap.String("region", h.Region), zap.Uint64("version", h.Number))
	read := make(chan struct{})
	go func() { defer close(read); cancel(s.readAcks()) }()
	err = s.send(ctx, h.Number, h.Digest)
	cancel(err)
	s.rc.SetReadDeadline(time.Now()) //nolint:errcheck // ends the reader; as above
	<-read
	p.registry.leave(s.session, time.Now())
	p.log.Debug("a follower is gone", zap.String("follower", h.Name), zap.Error(err))
}

var (
	errShuttingDown    = errors.New("publish: the machine leaves")
	errFollowerLeaving = errors.New("publish: the follower leaves")
	errNoAck           = errors.New("publish: the follower says nothing")
)

// stream is one follower's connection.
type stream struct {
	p       *Publisher
	session *session
	w       http.ResponseWriter
	rc      *http.ResponseController
	in      *messageReader
}

// readAcks takes the follower's words until the stream ends, and says why.
func (s *stream) readAcks() error {
	for {
		m, err := s.in.next()
		if err != nil {
			return err
		}
		if m.Ack == nil {
			return fmt.Errorf("%w: a second hello", errInvalidMessage)
		}
		s.handleAck(m.Ack)
		if m.Ack.Leaving {
			return errFollowerLeaving
		}
	}
}

func (s *stream) handleAck(a *protocol.Ack) {
	s.p.registry.noteAck(s.session, a, time.Now())
	if known, same := s.p.versions.lookup(a.Number, a.Digest); a.Fork || known && !same && a.Number > 0 {
		s.noteFork(a.Number, a.Digest)
	}
	if a.RefusalReason != "" {
		s.p.log.Warn("a follower refuses a version", zap.String("follower", s.session.name), zap.Uint64("on", a.Number), zap.String("why", a.RefusalReason))
	}
}

// noteFork shouts, once a stream.
func (s *stream) noteFork(number uint64, digest document.Digest) {
	if s.p.registry.noteFork(s.session) {
		s.p.log.Error("fork: a follower is on another version with this number; it is sent nothing", zap.String("follower", s.session.name),
			zap.String("region", s.session.region), zap.Uint64("version", number), zap.Stringer("digest", digest))
	}
}

// send writes what the follower lacks, as far as the log has come, then waits
// for more. It ends with ctx or when a write is not taken.
func (s *stream) send(ctx context.Context, number uint64, digest document.Digest) error {
	beats := time.NewTicker(protocol.HeartbeatInterval)
	defer beats.Stop()
	scratch := make([]entry, 0, batchEntries)
	beat, fork := true, false
	for {
		n := s.p.versions.updateAfter(number, digest, scratch)
		if beat {
			n.heartbeat.OriginatorSilenceMS = roundUpMS(s.p.originatorSilence()) // rounded up: relays that follow each other do not keep it young
			if err := s.sendHeartbeat(&n.heartbeat); err != nil {
				return err
			}
			beat = false
		}
		if n.fork && !fork {
			s.noteFork(number, digest)
			fork = true
		}
		var err error
		switch {
		case fork: // beats alone, for as long as it stays
		case n.snapshot != nil:
			select {
			case s.p.snapshotSlots <- struct{}{}:
			case <-beats.C: // it hears us while it waits for its turn
				beat = true
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
		more := !fork && (n.snapshot != nil || len(n.entries) > 0)
		if err == nil && more {
			err = s.flush()
			s.p.registry.noteSent(s.session, number, time.Now())
		}
		if err != nil {
			return err
		}
		clear(n.entries) // what the log drops is not held here
		if more {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-beats.C: // it gets its beat also while much is sent
				beat = true
			default:
			}
			continue
		}
		select {
		case <-n.changed:
		case <-beats.C:
			if s.p.registry.unackedFor(s.session, time.Now()) > s.p.ackTimeout {
				return errNoAck
			}
			beat = true
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// sendSnapshot writes a snapshot.
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

func (s *stream) sendHeartbeat(b *protocol.Heartbeat) error {
	text, err := cbor.Marshal(&protocol.PublisherMessage{Heartbeat: b})
	if err == nil {
		err = s.write(text)
	}
	if err == nil {
		err = s.flush()
	}
	return err
}

// write hands bytes to the connection, piece by piece: each is taken within
// WriteWithin, or the stream ends. Between writes there is no deadline, since
// one that passes ends the stream also while nothing is written.
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

func (s *stream) flush() error {
	s.rc.SetWriteDeadline(time.Now().Add(protocol.WriteTimeout)) //nolint:errcheck // a stream that has ended shows below
	err := s.rc.Flush()
	s.rc.SetWriteDeadline(time.Time{}) //nolint:errcheck // as above
	return err
}
