package server

import (
	"strconv"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"kiteslip/internal/core"
	"kiteslip/internal/frame"
)

// frameConn is a caller's connection on the platform's frame protocol.
type frameConn struct {
	s              *Server
	conn           gnet.Conn
	halfClosed     *halfClosedConn          // in place of conn once the caller has shut its write side
	openRequests   map[uint32]*core.Request // requests without a final answer, by stream
	highestStream  uint32                   // highest stream ID used so far
	headers        []byte
	out            [][]byte
	goAwaySent     bool
	goAwayAt       int64
	disconnected   bool
	partialLen     int   // bytes of a partial frame
	partialSince   int64 // when the first of them arrived; 0 = none
	lastUsedAt     int64 // when it last carried bytes in either direction
	answered       bool  // an answer was sent on it
	malformedInRow int
	pendingChecks  int // deep health checks that wait for the engine

	openedAt int64
	connClose
}

// maxMalformedInRow is how many malformed requests in a row a connection may send.
// Valid requests in between reset the count: a caller that learns of a new class
// before this server does keeps its connection.
const maxMalformedInRow = 16

func newFrameConn(s *Server) *frameConn {
	return &frameConn{s: s, openRequests: map[uint32]*core.Request{}}
}

func (f *frameConn) opened(c gnet.Conn) {
	f.conn = c
	f.openedAt = now()
	f.lastUsedAt = f.openedAt
	if f.s.goAwaySent {
		f.sendGoAway() // it was accepted while the listener was closing
	}
}

// answerWriter is what answers are written to: the connection, or what replaces it
// once the caller has shut its write side.
type answerWriter interface {
	Writev(parts [][]byte) (int, error)
	OutboundBuffered() int
}

func (f *frameConn) writer() answerWriter {
	if f.halfClosed != nil {
		return f.halfClosed
	}
	return f.conn
}

func (f *frameConn) closed() {
	f.disconnected = true
	f.s.partialBytes -= f.partialLen
	f.s.closeFinished(&f.connClose)
	f.s.releaseCallerSlot()
	for _, r := range f.openRequests {
		f.s.core.Disconnected(r)
	}
	clear(f.openRequests)
	for tag, c := range f.s.pendingChecks {
		if c.conn == f {
			delete(f.s.pendingChecks, tag)
		}
	}
}

// feed handles all whole frames of b. After an error no further input is
// handled, and the connection is closed once all earlier requests have been
// answered: the error costs no other request its answer.
func (f *frameConn) feed(b []byte) (int, error) {
	if f.discarding {
		return len(b), nil
	}
	f.lastUsedAt = now()
	used := 0
	for {
		fr, n, err := frame.Split(b[used:])
		if err == nil && n > 0 {
			used += n
			f.partialSince = 0
			err = f.handleFrame(&fr)
		}
		if err == nil && n == 0 {
			if err = f.trackPartial(len(b) - used); err == nil {
				return used, nil
			}
		}
		if err != nil {
			// The boundaries of the frames that follow are unknown.
			f.stopReading(err)
			return len(b), nil
		}
	}
}

// trackPartial records the size of a partial frame. It fails where partial frames
// take too much memory, as when callers leave large frames unfinished on many
// connections.
func (f *frameConn) trackPartial(n int) error {
	f.s.partialBytes += n - f.partialLen
	f.partialLen = n
	switch {
	case n == 0:
		f.partialSince = 0
	case f.partialSince == 0:
		f.partialSince = f.lastUsedAt
	}
	if n > largePartialBytes && f.s.partialBytes > f.s.cfg.Limits.MemoryMB<<20/partialMemoryDivisor {
		return withCause("half_sent", "too many half-sent frames")
	}
	return nil
}

var (
	errStreamZero     = withCause("stream_zero", "stream 0 carries no request")
	errStreamsOpen    = withCause("streams_open", "more than %d requests are open", frame.MaxStreams)
	errMalformedInRow = withCause("faults_in_a_row", "too many requests in a row that cannot be read")
)

// handleFrame handles one frame; an error ends the connection.
func (f *frameConn) handleFrame(fr *frame.Frame) error {
	switch fr.Type {
	case frame.Request:
		return f.handleRequest(fr)
	case frame.Cancel:
		if r := f.openRequests[fr.Stream]; r != nil {
			delete(f.openRequests, fr.Stream)
			f.s.core.Disconnected(r)
		}
	case frame.HealthCheck:
		return f.handleHealthCheck(fr)
	default:
		return withCause("frame_type", "a frame of type %d, which callers do not send", fr.Type)
	}
	return nil
}

// handleRequest submits one request, or answers why it can't. A stream ID that was
// used before, or more open requests than the protocol allows, is an error that
// ends the connection, since the caller could not tell the answers apart.
func (f *frameConn) handleRequest(fr *frame.Frame) error {
	switch {
	case fr.Stream == 0:
		return errStreamZero
	case fr.Stream <= f.highestStream:
		return withCause("stream_reused", "stream %d was used before", fr.Stream)
	case len(f.openRequests) >= frame.MaxStreams:
		return errStreamsOpen
	}
	f.highestStream = fr.Stream
	r, err := frame.ParseRequest(fr.Payload, f.s.names)
	if err == nil {
		r.Stream, r.ReplyTo = fr.Stream, f
		f.openRequests[fr.Stream] = r
		err = f.s.core.Submit(now(), r)
	}
	if err != nil {
		delete(f.openRequests, fr.Stream)
		f.answerError(fr.Stream, err)
		if f.malformedInRow++; f.malformedInRow >= maxMalformedInRow {
			return errMalformedInRow
		}
		return nil
	}
	f.malformedInRow = 0
	return nil
}

// stopReading answers an error on stream 0 and discards all further input.
func (f *frameConn) stopReading(why error) {
	f.answerError(0, why)
	f.discarding, f.flushDeadline = true, now()+f.s.flushTimeout()
	f.trackPartial(0) //nolint:errcheck // no partial frame is left, so it can't fail
}

// closeGracefully begins the close of the connection, unless unread input waits.
func (f *frameConn) closeGracefully(t int64) {
	if f.halfClosed == nil && !f.discarding && hasUnread(f.conn) {
		return // the input is handled first
	}
	f.sendGoAway()
	if !f.discarding {
		f.discarding, f.flushDeadline = true, t+f.s.lingerTimeout()
	}
	f.flush()
	f.shutWhenDone(t)
}

// shutWhenDone shuts the write side of a connection that is to end, once all answers
// have gone out.
func (f *frameConn) shutWhenDone(t int64) {
	switch {
	case f.disconnected || !f.discarding || f.writeShutAt != 0 || len(f.openRequests)+f.pendingChecks+len(f.out) > 0 || f.unsent() > 0:
	case f.halfClosed != nil:
		f.closeNow() // the caller has shut its side already
	default:
		f.s.shutWrite(f, t, f.s.lingerTimeout())
	}
}

// closeNow closes the connection at once; its open requests lose their caller.
func (f *frameConn) closeNow() {
	switch {
	case f.disconnected:
	case f.halfClosed != nil:
		f.halfClosed.close()
		delete(f.s.conns, f)
		f.closed()
		f.s.scheduleIteration()
	default:
		closeNow(f.conn)
	}
}

func (f *frameConn) idle() idleState {
	if len(f.openRequests) > 0 || f.pendingChecks > 0 {
		return idleState{answered: f.answered}
	}
	return idleState{since: f.lastUsedAt, answered: f.answered}
}

func (f *frameConn) unsent() int { return f.writer().OutboundBuffered() }

func (f *frameConn) netConn() gnet.Conn {
	if f.halfClosed != nil {
		return nil
	}
	return f.conn
}

// answerError counts a malformed request or frame and answers with the reason.
func (f *frameConn) answerError(stream uint32, err error) {
	f.s.reject(err)
	f.queueAnswer(frame.Answer, stream, frame.Failed, nil, []byte(err.Error()))
}

// Answer sends the final answer of the request on stream.
func (f *frameConn) Answer(stream uint32, a core.Answer) {
	f.s.traceAnswer("frames", f.openRequests[stream], a)
	delete(f.openRequests, stream)
	if f.disconnected {
		return
	}
	code, fields, body := frame.EncodeAnswer(&a)
	f.queueAnswer(frame.Answer, stream, code, fields, body)
}

// handleHealthCheck answers a health check with the stored state, or, for a deep
// check, once the engine has done test work.
func (f *frameConn) handleHealthCheck(fr *frame.Frame) error {
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
		f.answerHealth(fr.Stream, good)
		return nil
	}
	// Bounds the test work on the engine's cores and the checks that wait here.
	if len(f.s.pendingChecks) >= maxPendingChecks {
		f.answerHealth(fr.Stream, good)
		return nil
	}
	f.s.lastCheckID++
	tag := strconv.Itoa(f.s.lastCheckID)
	if !f.s.link.RequestTest(tag) {
		f.answerHealth(fr.Stream, false)
		return nil
	}
	f.s.pendingChecks[tag] = pendingCheck{f, fr.Stream, now() + deepCheckTimeoutUS}
	f.pendingChecks++
	return nil
}

func (f *frameConn) answerHealth(stream uint32, good bool) {
	if f.disconnected {
		return
	}
	code := byte(frame.Unhealthy)
	if good {
		code = frame.Healthy
	}
	f.queueAnswer(frame.HealthStatus, stream, code, nil, nil)
}

// sendGoAway asks the caller to send no new request on this connection.
func (f *frameConn) sendGoAway() {
	if !f.goAwaySent {
		f.goAwaySent, f.goAwayAt = true, now()
		f.write(frame.AppendHeader(nil, frame.GoAway, 0, 0))
	}
}

// queueAnswer queues one answer: its header and fields in one slice, and its body uncopied.
func (f *frameConn) queueAnswer(kind byte, stream uint32, code byte, fields []frame.Field, body []byte) {
	f.answered = true
	at := len(f.headers)
	f.headers = frame.AppendAnswer(f.headers, kind, stream, code, fields, len(body))
	f.write(f.headers[at:len(f.headers):len(f.headers)])
	if len(body) > 0 {
		f.out = append(f.out, body)
	}
}

func (f *frameConn) write(part []byte) {
	f.lastUsedAt = now()
	if len(f.out) == 0 {
		f.s.unflushed = append(f.s.unflushed, f)
	}
	f.out = append(f.out, part)
	f.s.scheduleIteration()
}

func (f *frameConn) flush() {
	if f.disconnected || len(f.out) == 0 {
		return
	}
	f.out = writevAll(f.writer(), f.out)
	f.headers = f.headers[:0]
	switch {
	case f.disconnected:
	case f.halfClosed != nil && f.halfClosed.err != nil:
		f.closeNow()
	case f.unsent() > maxUnsentBytes:
		f.s.log.Warn("closing", zap.Error(errSlowReader))
		f.closeNow()
	default:
		f.shutWhenDone(now())
	}
}
