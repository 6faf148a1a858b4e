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
	classKeyed      = "note" // must not run twice, and calls below
)

// raceWindow is how long a request may have been under way when its connection ends.
const raceWindow = 50 * time.Millisecond

var lastTryID atomic.Uint64

// pendingRequest is a request without an answer.
type pendingRequest struct {
	sent time.Time
	body string
}

// callerConn is one connection of a caller.
type callerConn struct {
	fleet         *fleet
	conn          net.Conn
	frames        chan frame.Frame
	readErr       error // of the connection, once frames is closed
	stream        uint32
	pending       map[uint32]pendingRequest
	answered      map[uint32]bool
	goAway        bool // it was told to go
	inputEnded    bool // the caller's side
	sentMalformed bool // the caller has sent what is no whole frame, and is told so
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

// send sends a request; twice sends another try of it right behind.
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
	l.conn.Write(out) //nolint:errcheck // what becomes of it shows in what is read
}

// handleFrame takes in one frame.
func (l *callerConn) handleFrame(fr *frame.Frame) {
	switch {
	case fr.Type == frame.GoAway:
		l.goAway = true
	case fr.Type != frame.Answer:
	case fr.Stream == 0:
		if !l.sentMalformed && l.stream > 0 { // one that has sent nothing yet is told that, too
			l.fleet.update(func(o *Outcome) { o.Wrong++ })
		}
	default:
		r, waits := l.pending[fr.Stream]
		delete(l.pending, fr.Stream)
		body := ""
		if _, b, err := frame.ParseFields(fr.Payload[1:]); err == nil {
			body = string(b)
		}
		late := time.Since(r.sent) > classTimeout+answerSlack
		l.fleet.update(func(o *Outcome) {
			switch {
			case !waits && l.answered[fr.Stream]:
				o.Twice++
			case !waits:
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

// finish judges the end of the connection: what was under way for a moment only
// has crossed it, and is to be sent again; what was open for longer is lost.
func (l *callerConn) finish() {
	l.conn.Close()
	now := time.Now()
	owed := 0
	for _, r := range l.pending {
		if now.Sub(r.sent) <= raceWindow {
			l.fleet.update(func(o *Outcome) { o.Crossed++ })
		} else {
			owed++
		}
	}
	reset := errors.Is(l.readErr, syscall.ECONNRESET) || errors.Is(l.readErr, syscall.EPIPE)
	l.fleet.update(func(o *Outcome) {
		o.Lost += owed
		if owed > 0 && reset {
			o.Reset++
		}
	})
	clear(l.pending)
}

func (f *fleet) update(change func(*Outcome)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.outcome)
}

// runCaller sends to one server until the measurement ends: it goes on to a new
// connection when it is told to go, rests now and then until the server ends the
// connection, ends its own side early, or sends what is no frame.
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
			l = dial(f, s.listen) // nil: the process is away, and nothing ran
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
				l.send(classRepeatable, "", fmt.Sprintf("2000 crosses %d", id), false) // it crosses the notice to go
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

// sendNext sends what comes next.
func (l *callerConn) sendNext(rng *rand.Rand, id int, key *int, restUntil *time.Time) {
	body := fmt.Sprintf("%d look %d %d", 1000+rng.IntN(20_000), id, lastTryID.Load())
	switch n := rng.IntN(200); {
	case n < 12:
		*key++
		name := fmt.Sprintf("%d-%d", id, *key)
		l.send(classKeyed, name, fmt.Sprintf("%d*1 note %s", 500+rng.IntN(5000), name), rng.IntN(3) == 0)
	case n == 12: // the caller's side ends with requests open
		l.send(classRepeatable, "", body, false)
		l.send(classRepeatable, "", body+" b", false)
		l.conn.(*net.TCPConn).CloseWrite() //nolint:errcheck // it may be gone
		l.inputEnded = true
	case n == 13: // what is no frame, behind requests
		l.send(classRepeatable, "", body, false)
		l.sentMalformed, l.inputEnded = true, true
		l.conn.Write(frame.AppendHeader(nil, 99, 1, 0)) //nolint:errcheck // it may be gone
	case n == 14: // half a line, and rest
		l.conn.Write([]byte{0, 0}) //nolint:errcheck // it may be gone
		l.sentMalformed, l.inputEnded = true, true
	case n < 17:
		*restUntil = time.Now().Add(time.Duration(rng.IntN(1500)) * time.Millisecond)
	default:
		l.send(classRepeatable, "", body, false)
	}
}

// drained takes in what is left of a connection that was told to go, and says
// whether that is all: the caller closes it when everything on it is answered.
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

// healthy asks for a deep health check on a connection of its own.
func healthy(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck // a TCP connection takes it
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
