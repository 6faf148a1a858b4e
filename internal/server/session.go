package server

import (
	"strconv"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"kiteslip/internal/core"
	"kiteslip/internal/frame"
)

// session is one caller's connection on the platform's protocol.
type session struct {
	s       *Server
	conn    gnet.Conn
	half    *half                    // in place of conn, once the caller has ended its side
	open    map[uint32]*core.Request // by stream, without an answer
	highest uint32                   // streams up to this were used
	heads   []byte
	out     [][]byte
	away    bool
	awayAt  int64
	gone    bool
	held    int   // bytes of a frame that is not whole yet
	partAt  int64 // when the first of them came; 0 = there are none
	usedAt  int64 // when it last carried anything
	served  bool  // it was given an answer
	faults  int
	checks  int // that wait for the engine

	openedAt int64
	closing
}

// faultsMost is how many requests that cannot be read one connection may bring
// in a row. Guards the requests of a caller that learns of a class before this
// server does: with good ones between, such a connection is of use.
const faultsMost = 16

func newSession(s *Server) *session {
	return &session{s: s, open: map[uint32]*core.Request{}}
}

func (f *session) opened(c gnet.Conn) {
	f.conn = c
	f.openedAt = now()
	f.usedAt = f.openedAt
	if f.s.away {
		f.goAway() // it was accepted while the listener closed
	}
}

// outlet is what answers are written to.
type outlet interface {
	Writev(parts [][]byte) (int, error)
	OutboundBuffered() int
}

func (f *session) outlet() outlet {
	if f.half != nil {
		return f.half
	}
	return f.conn
}

func (f *session) closed() {
	f.gone = true
	f.s.buffered -= f.held
	f.s.lingered(&f.closing)
	f.s.leaveSlot()
	for _, r := range f.open {
		f.s.core.Disconnected(r)
	}
	clear(f.open)
	for tag, c := range f.s.checks {
		if c.from == f {
			delete(f.s.checks, tag)
		}
	}
}

// feed takes in all whole frames of b. An error ends what is taken, and the
// connection once all that was taken before is answered: it costs no other
// request its answer.
func (f *session) feed(b []byte) (int, error) {
	if f.deaf {
		return len(b), nil
	}
	f.usedAt = now()
	used := 0
	for {
		fr, n, err := frame.Split(b[used:])
		if err == nil && n > 0 {
			used += n
			f.partAt = 0
			err = f.take(&fr)
		}
		if err == nil && n == 0 {
			if err = f.hold(len(b) - used); err == nil {
				return used, nil
			}
		}
		if err != nil {
			// What follows cannot be told apart any more.
			f.quit(err)
			return len(b), nil
		}
	}
}

// hold books the bytes of a half-read frame. Guards against callers that
// leave large frames half sent on many connections until the memory is gone.
func (f *session) hold(n int) error {
	f.s.buffered += n - f.held
	f.held = n
	switch {
	case n == 0:
		f.partAt = 0
	case f.partAt == 0:
		f.partAt = f.usedAt
	}
	if n > bigBuffer && f.s.buffered > f.s.cfg.Limits.MemoryMB<<20/heldDivisor {
		return caused("half_sent", "too many half-sent frames")
	}
	return nil
}

var (
	errStream = caused("stream_zero", "stream 0 carries no request")
	errOpen   = caused("streams_open", "more than %d requests are open", frame.MaxStreams)
	errFaults = caused("faults_in_a_row", "too many requests in a row that cannot be read")
)

// take takes in one frame; an error ends the connection.
func (f *session) take(fr *frame.Frame) error {
	switch fr.Type {
	case frame.Request:
		return f.request(fr)
	case frame.Cancel:
		if r := f.open[fr.Stream]; r != nil {
			delete(f.open, fr.Stream)
			f.s.core.Disconnected(r)
		}
	case frame.HealthCheck:
		return f.health(fr)
	default:
		return caused("frame_type", "a frame of type %d, which callers do not send", fr.Type)
	}
	return nil
}

// request takes in one request, or answers why it cannot. Guards against
// clients that do not count their streams: answers could not be told apart, so
// with a number that was used before, or with more open than the protocol
// allows, nothing more is taken on the connection.
func (f *session) request(fr *frame.Frame) error {
	switch {
	case fr.Stream == 0:
		return errStream
	case fr.Stream <= f.highest:
		return caused("stream_reused", "stream %d was used before", fr.Stream)
	case len(f.open) >= frame.MaxStreams:
		return errOpen
	}
	f.highest = fr.Stream
	r, err := frame.ParseRequest(fr.Payload, f.s.names)
	if err == nil {
		r.Stream, r.ReplyTo = fr.Stream, f
		f.open[fr.Stream] = r
		err = f.s.core.Submit(now(), r)
	}
	if err != nil {
		delete(f.open, fr.Stream)
		f.fault(fr.Stream, err)
		if f.faults++; f.faults >= faultsMost {
			return errFaults
		}
		return nil
	}
	f.faults = 0
	return nil
}

// quit takes nothing more, after an error on stream 0.
func (f *session) quit(why error) {
	f.fault(0, why)
	f.deaf, f.endBy = true, now()+f.s.owing()
	f.hold(0) //nolint:errcheck // nothing is held any more
}

// part ends the connection in an orderly way, unless something waits unread.
func (f *session) part(t int64) {
	if f.half == nil && !f.deaf && unread(f.conn) {
		return // taken in first
	}
	f.goAway()
	if !f.deaf {
		f.deaf, f.endBy = true, t+f.s.linger()
	}
	f.flush()
	f.settle(t)
}

// settle shuts our side of a connection that is to end, once nothing is owed on it.
func (f *session) settle(t int64) {
	switch {
	case f.gone || !f.deaf || f.shutAt != 0 || len(f.open)+f.checks+len(f.out) > 0 || f.unsent() > 0:
	case f.half != nil:
		f.hangUp() // the caller's side has ended before
	default:
		f.s.shut(f, t, f.s.linger())
	}
}

// hangUp closes the connection at once; what is open has no caller any more.
func (f *session) hangUp() {
	switch {
	case f.gone:
	case f.half != nil:
		f.half.close()
		delete(f.s.sessions, f)
		f.closed()
		f.s.schedule()
	default:
		hangUp(f.conn)
	}
}

func (f *session) idle() idle {
	if len(f.open) > 0 || f.checks > 0 {
		return idle{served: f.served}
	}
	return idle{since: f.usedAt, served: f.served}
}

func (f *session) unsent() int { return f.outlet().OutboundBuffered() }

func (f *session) peer() gnet.Conn {
	if f.half != nil {
		return nil
	}
	return f.conn
}

// fault answers what cannot be read.
func (f *session) fault(stream uint32, err error) {
	f.s.reject(err)
	f.put(frame.Answer, stream, frame.Failed, nil, []byte(err.Error()))
}

// Answer writes the final answer of the request on stream.
func (f *session) Answer(stream uint32, a core.Answer) {
	f.s.traceAnswer("frames", f.open[stream], a)
	delete(f.open, stream)
	if f.gone {
		return
	}
	code, fields, body := frame.EncodeAnswer(&a)
	f.put(frame.Answer, stream, code, fields, body)
}

// health answers a check: as stored, or once the engine has done some work.
func (f *session) health(fr *frame.Frame) error {
	fields, _, err := frame.ParseFields(fr.Payload)
	if err != nil {
		return err
	}
	deep := false
	for name, value := range fields.All {
		deep = deep || string(name) == "real" && string(value) == "1"
	}
	good, stored := f.s.health()
	if !deep || stored || !good {
		f.verdict(fr.Stream, good)
		return nil
	}
	// Guards the engine's cores against checks without end; also against their waiting here.
	if len(f.s.checks) >= checksMost {
		f.verdict(fr.Stream, good)
		return nil
	}
	f.s.checkID++
	tag := strconv.Itoa(f.s.checkID)
	if !f.s.link.RequestTest(tag) {
		f.verdict(fr.Stream, false)
		return nil
	}
	f.s.checks[tag] = check{f, fr.Stream, now() + checkTime}
	f.checks++
	return nil
}

func (f *session) verdict(stream uint32, good bool) {
	if f.gone {
		return
	}
	code := byte(frame.Unhealthy)
	if good {
		code = frame.Healthy
	}
	f.put(frame.HealthStatus, stream, code, nil, nil)
}

// goAway asks the caller for no new request on this connection.
func (f *session) goAway() {
	if !f.away {
		f.away, f.awayAt = true, now()
		f.write(frame.AppendHeader(nil, frame.GoAway, 0, 0))
	}
}

// put queues one answer: its head, written in one piece, and its body as it is.
func (f *session) put(kind byte, stream uint32, code byte, fields []frame.Field, body []byte) {
	f.served = true
	at := len(f.heads)
	f.heads = frame.AppendAnswer(f.heads, kind, stream, code, fields, len(body))
	f.write(f.heads[at:len(f.heads):len(f.heads)])
	if len(body) > 0 {
		f.out = append(f.out, body)
	}
}

func (f *session) write(part []byte) {
	f.usedAt = now()
	if len(f.out) == 0 {
		f.s.dirty = append(f.s.dirty, f)
	}
	f.out = append(f.out, part)
	f.s.schedule()
}

func (f *session) flush() {
	if f.gone || len(f.out) == 0 {
		return
	}
	f.out = gather(f.outlet(), f.out)
	f.heads = f.heads[:0]
	switch {
	case f.gone:
	case f.half != nil && f.half.err != nil:
		f.hangUp()
	case f.unsent() > outMost:
		f.s.log.Warn("closing", zap.Error(errSlow))
		f.hangUp()
	default:
		f.settle(now())
	}
}
