package shutdown

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"kiteslip/internal/frame"
	"kiteslip/internal/lab/probe"
)

// The classes.
const (
	classRepeatable = "look" // safe to repeat
	classKeyed      = "note" // must not run twice; makes a downstream call
)

// raceWindow is the age up to which an open request may have raced with the end of
// its connection.
const raceWindow = 50 * time.Millisecond

var lastTryID atomic.Uint64

// pendingRequest is a request that has not been answered.
type pendingRequest struct {
	sent time.Time
	body string
}

// callerConn is a connection of a caller.
type callerConn struct {
	fleet         *fleet
	conn          net.Conn
	frames        chan frame.Frame
	readErr       error // why reading ended; valid once frames is closed
	stream        uint32
	pending       map[uint32]pendingRequest
	answered      map[uint32]bool
	goAway        bool // the server has asked to close the connection
	inputEnded    bool // the caller sends nothing more on this connection
	sentMalformed bool // the caller has sent a malformed or partial frame, which the server reports
}

func dial(f *fleet, address string) *callerConn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil
	}
	l := &callerConn{fleet: f, conn: conn, frames: make(chan frame.Frame, 256), pending: map[uint32]pendingRequest{}, answered: map[uint32]bool{}}
	go l.read()
	return l
}

func (l *callerConn) read() {
	defer close(l.frames)
	var buf []byte
	chunk := make([]byte, 32<<10)
	for {
		n, err := l.conn.Read(chunk)
		buf = append(buf, chunk[:n]...)
		for {
			fr, used, bad := frame.Split(buf)
			if bad != nil || used == 0 {
				break
			}
			fr.Payload = append([]byte(nil), fr.Payload...)
			buf = buf[used:]
			l.frames <- fr
		}
		if err != nil {
			l.readErr = err
			return
		}
	}
}

// send sends a request; if twice is set, a second try of it follows at once.
func (l *callerConn) send(class, key, body string, twice bool) {
	var out []byte
	now := time.Now()
	for range 1 + map[bool]int{true: 1}[twice] {
		l.stream++
		fields := probe.Fields(class, fmt.Sprintf("%016x", lastTryID.Add(1)), now, classTimeout)
		if key != "" {
			fields = append(fields, frame.Field{Name: "opkey", Value: key})
		}
		out = frame.AppendRequest(out, l.stream, fields, []byte(body))
		l.pending[l.stream] = pendingRequest{now, body}
		l.fleet.update(func(o *Outcome) { o.Requests++ })
	}
	l.conn.Write(out) //nolint:errcheck // a failure shows when reading
}

// handleFrame handles a frame from the server.
func (l *callerConn) handleFrame(fr *frame.Frame) {
	switch {
	case fr.Type == frame.GoAway:
		l.goAway = true
	case fr.Type != frame.Answer:
	case fr.Stream == 0:
		if !l.sentMalformed && l.stream > 0 { // an error of the connection, expected only after malformed input or before the first request
			l.fleet.update(func(o *Outcome) { o.Wrong++ })
		}
	default:
		r, isPending := l.pending[fr.Stream]
		delete(l.pending, fr.Stream)
		body := ""
		if _, b, err := frame.ParseFields(fr.Payload[1:]); err == nil {
			body = string(b)
		}
		late := time.Since(r.sent) > classTimeout+answerSlack
		l.fleet.update(func(o *Outcome) {
			switch {
			case !isPending && l.answered[fr.Stream]:
				o.AnsweredTwice++
			case !isPending:
				o.Wrong++
			case late:
				o.Late++
			}
			switch fr.Payload[0] {
			case frame.Served:
				o.Served++
				if len(body) < len(r.body) || body[:len(r.body)] != r.body {
					o.Wrong++
				}
			case frame.Refused:
				o.Refused++
			default:
				o.Failed++
			}
		})
		l.answered[fr.Stream] = true
	}
}

// finish closes a connection and counts its open requests: one no older than
// raceWindow has raced with the end of the connection, and its caller would send it
// again; an older one is lost.
func (l *callerConn) finish() {
	l.conn.Close()
	now := time.Now()
	lost := 0
	for _, r := range l.pending {
		if now.Sub(r.sent) <= raceWindow {
			l.fleet.update(func(o *Outcome) { o.Raced++ })
		} else {
			lost++
		}
	}
	reset := errors.Is(l.readErr, syscall.ECONNRESET) || errors.Is(l.readErr, syscall.EPIPE)
	l.fleet.update(func(o *Outcome) {
		o.Lost += lost
		if lost > 0 && reset {
			o.Reset++
		}
	})
	clear(l.pending)
}

// update changes the outcome under the lock.
func (f *fleet) update(change func(*Outcome)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.outcome)
}

// runCaller sends requests to one server until the measurement ends. It opens a new
// connection when the server asks for it; now and then it pauses until the server
// closes an idle connection, shuts its write side with requests open, or sends a
// malformed or partial frame.
func (f *fleet) runCaller(s *server, rng *rand.Rand, id int) {
	defer f.callers.Done()
	var old []*callerConn
	var l *callerConn
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	key := 0
	restUntil := time.Time{}
	for {
		if l == nil && !f.stopping.Load() {
			l = dial(f, s.listen) // nil: no process is listening
		}
		var frames chan frame.Frame
		if l != nil {
			frames = l.frames
		}
		select {
		case fr, ok := <-frames:
			if !ok {
				l.finish()
				l = nil
				break
			}
			l.handleFrame(&fr)
			if fr.Type == frame.GoAway && len(l.pending) == 0 && rng.IntN(3) == 0 {
				l.send(classRepeatable, "", fmt.Sprintf("2000 crosses %d", id), false) // a request that races with the shutdown
			}
		case <-tick.C:
			for i := 0; i < len(old); i++ {
				if old[i].drained() {
					old = append(old[:i], old[i+1:]...)
					i--
				}
			}
			switch {
			case l == nil:
			case l.goAway || l.inputEnded:
				old = append(old, l)
				l = nil
			case f.stopping.Load():
				if len(l.pending) == 0 {
					l.finish()
					l = nil
				}
			case time.Now().Before(restUntil) || len(l.pending) > 24:
			default:
				l.sendNext(rng, id, &key, &restUntil)
			}
			if f.stopping.Load() && l == nil && len(old) == 0 {
				return
			}
		}
	}
}

// sendNext sends a random next request or fault, or starts a pause.
func (l *callerConn) sendNext(rng *rand.Rand, id int, key *int, restUntil *time.Time) {
	body := fmt.Sprintf("%d look %d %d", 1000+rng.IntN(20_000), id, lastTryID.Load())
	switch n := rng.IntN(200); {
	case n < 12:
		*key++
		name := fmt.Sprintf("%d-%d", id, *key)
		l.send(classKeyed, name, fmt.Sprintf("%d*1 note %s", 500+rng.IntN(5000), name), rng.IntN(3) == 0)
	case n == 12: // half-closed with requests open
		l.send(classRepeatable, "", body, false)
		l.send(classRepeatable, "", body+" b", false)
		l.conn.(*net.TCPConn).CloseWrite() //nolint:errcheck // the server may have closed the connection
		l.inputEnded = true
	case n == 13: // a malformed frame after a request
		l.send(classRepeatable, "", body, false)
		l.sentMalformed, l.inputEnded = true, true
		l.conn.Write(frame.AppendHeader(nil, 99, 1, 0)) //nolint:errcheck // the server may have closed the connection
	case n == 14: // a partial frame
		l.conn.Write([]byte{0, 0}) //nolint:errcheck // the server may have closed the connection
		l.sentMalformed, l.inputEnded = true, true
	case n < 17:
		*restUntil = time.Now().Add(time.Duration(rng.IntN(1500)) * time.Millisecond)
	default:
		l.send(classRepeatable, "", body, false)
	}
}

// drained handles the frames that have arrived on a connection that sends nothing
// more, and reports whether it is finished: the caller closes it once every request
// on it is answered.
func (l *callerConn) drained() bool {
	for {
		select {
		case fr, ok := <-l.frames:
			if !ok {
				l.finish()
				return true
			}
			l.handleFrame(&fr)
			continue
		default:
		}
		if len(l.pending) == 0 && !l.inputEnded {
			l.finish()
			return true
		}
		return false
	}
}

// healthy reports whether a server passes a deep health check on a new connection.
func healthy(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck // supported by TCP connections
	if _, err = conn.Write(append(frame.AppendHeader(nil, frame.HealthCheck, 1, 1+1+4+2+1), "\x01\x04real\x00\x011"...)); err != nil {
		return false
	}
	var buf []byte
	chunk := make([]byte, 256)
	for {
		n, err := conn.Read(chunk)
		buf = append(buf, chunk[:n]...)
		if fr, used, bad := frame.Split(buf); bad != nil {
			return false
		} else if used > 0 {
			return fr.Type == frame.HealthStatus && len(fr.Payload) > 0 && fr.Payload[0] == frame.Healthy
		}
		if err != nil {
			return false
		}
	}
}
