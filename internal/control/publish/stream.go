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
	mostWord    = 8 << 10 // bytes of one record
	mostRefused = 1 << 10 // bytes of the reason that is kept
	chunkBytes  = 64 << 10
)

var errWord = errors.New("publish: not a follower's word")

var words = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxMapPairs: 16, MaxArrayElements: 64, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// reader reads a follower's records, each bounded.
type reader struct {
	limit io.LimitedReader
	dec   *cbor.Decoder
}

func newReader(r io.Reader) *reader {
	rd := &reader{limit: io.LimitedReader{R: r}}
	rd.dec = words.NewDecoder(&rd.limit)
	return rd
}

// next reads one record. Without an error exactly one of its parts is there.
func (r *reader) next() (protocol.FollowerMessage, error) {
	var m protocol.FollowerMessage
	r.limit.N = mostWord
	if err := r.dec.Decode(&m); err != nil {
		if r.limit.N == 0 {
			return m, fmt.Errorf("%w: over %d bytes", errWord, mostWord)
		}
		return m, err
	}
	if (m.Hello == nil) == (m.Ack == nil) {
		return m, fmt.Errorf("%w: want one part", errWord)
	}
	return m, nil
}

// hello reads the first record.
func (r *reader) hello() (*protocol.Hello, error) {
	m, err := r.next()
	if err != nil {
		return nil, err
	}
	h := m.Hello
	if h == nil || h.Name == "" || len(h.Name) > document.MaxNameBytes || len(h.Region) > document.MaxNameBytes {
		return nil, fmt.Errorf("%w: want a Hello with a name and a region of at most %d bytes", errWord, document.MaxNameBytes)
	}
	return h, nil
}

// follow serves one follower: this goroutine sends, another reads. Neither holds
// anything for the follower but its place in the log.
func (p *Publisher) follow(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor < 2 {
		p.refuse(w, http.StatusHTTPVersionNotSupported, protocol.CodeInvalid, "want HTTP/2")
		return
	}
	select {
	case p.places <- struct{}{}:
		defer func() { <-p.places }()
	default:
		p.refuse(w, http.StatusServiceUnavailable, protocol.CodeBusy, fmt.Sprintf("%d followers are served", MaxFollowers))
		return
	}
	s := &stream{p: p, w: w, rc: http.NewResponseController(w), in: newReader(r.Body)}
	w.WriteHeader(http.StatusOK)
	if err := s.flush(); err != nil {
		return
	}
	s.rc.SetReadDeadline(time.Now().Add(p.helloWithin)) //nolint:errcheck // a stream that has ended shows below
	h, err := s.in.hello()
	if err != nil {
		p.log.Warn("a stream that says no hello is cut off", zap.String("remote", r.RemoteAddr), zap.Error(err))
		return
	}
	s.rc.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := context.AfterFunc(p.ending, func() { cancel(errEnding) })
	defer stop()
	s.m = p.book.join(h, time.Now())
	p.log.Debug("a follower joins", zap.String("follower", h.Name), zap.String("region", h.Region), zap.Uint64("version", h.Number))
	read := make(chan struct{})
	go func() { defer close(read); cancel(s.listen()) }()
	err = s.send(ctx, h.Number, h.Digest)
	cancel(err)
	s.rc.SetReadDeadline(time.Now()) //nolint:errcheck // ends the reader; as above
	<-read
	p.book.leave(s.m, time.Now())
	p.log.Debug("a follower is gone", zap.String("follower", h.Name), zap.Error(err))
}

var (
	errEnding = errors.New("publish: the machine leaves")
	errLeaves = errors.New("publish: the follower leaves")
	errSilent = errors.New("publish: the follower says nothing")
)

// stream is one follower's connection.
type stream struct {
	p  *Publisher
	m  *member
	w  http.ResponseWriter
	rc *http.ResponseController
	in *reader
}

// listen takes the follower's words until the stream ends, and says why.
func (s *stream) listen() error {
	for {
		m, err := s.in.next()
		if err != nil {
			return err
		}
		if m.Ack == nil {
			return fmt.Errorf("%w: a second hello", errWord)
		}
		s.said(m.Ack)
		if m.Ack.Leaving {
			return errLeaves
		}
	}
}

func (s *stream) said(a *protocol.Ack) {
	s.p.book.said(s.m, a, time.Now())
	if known, same := s.p.versions.knows(a.Number, a.Digest); a.Fork || known && !same && a.Number > 0 {
		s.forked(a.Number, a.Digest)
	}
	if a.RefusalReason != "" {
		s.p.log.Warn("a follower refuses a version", zap.String("follower", s.m.name), zap.Uint64("on", a.Number), zap.String("why", a.RefusalReason))
	}
}

// forked shouts, once a stream.
func (s *stream) forked(number uint64, digest document.Digest) {
	if s.p.book.forked(s.m) {
		s.p.log.Error("fork: a follower is on another version with this number; it is sent nothing", zap.String("follower", s.m.name),
			zap.String("region", s.m.region), zap.Uint64("version", number), zap.Stringer("digest", digest))
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
		n := s.p.versions.after(number, digest, scratch)
		if beat {
			n.beat.OriginatorSilenceMS = lagMS(s.p.unheard()) // rounded up: relays that follow each other do not keep it young
			if err := s.beat(&n.beat); err != nil {
				return err
			}
			beat = false
		}
		if n.fork && !fork {
			s.forked(number, digest)
			fork = true
		}
		var err error
		switch {
		case fork: // beats alone, for as long as it stays
		case n.whole != nil:
			select {
			case s.p.wholes <- struct{}{}:
			case <-beats.C: // it hears us while it waits for its turn
				beat = true
				continue
			case <-ctx.Done():
				return context.Cause(ctx)
			}
			number, digest = n.whole.number, n.whole.digest
			err = s.whole(n.whole)
			<-s.p.wholes
		default:
			for i := range n.entries {
				if err = s.write(n.entries[i].record); err != nil {
					break
				}
				number, digest = n.entries[i].number, n.entries[i].digest
			}
		}
		more := !fork && (n.whole != nil || len(n.entries) > 0)
		if err == nil && more {
			err = s.flush()
			s.p.book.sent(s.m, number, time.Now())
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
		case <-n.moved:
		case <-beats.C:
			if s.p.book.owing(s.m, time.Now()) > s.p.ackWithin {
				return errSilent
			}
			beat = true
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// whole writes a snapshot.
func (s *stream) whole(w *snapshot) error {
	err := w.make()
	if err == nil {
		err = s.write(w.record)
	}
	if err == nil {
		err = s.flush()
	}
	return err
}

func (s *stream) beat(b *protocol.Heartbeat) error {
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
