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
	look = "look" // safe to repeat
	note = "note" // must not run twice, and calls below
)

// crossing is how long a request may have been under way when its connection ends.
const crossing = 50 * time.Millisecond

var names atomic.Uint64

// open is a request without an answer.
type open struct {
	sent time.Time
	body string
}

// line is one connection of a caller.
type line struct {
	f       *fleet
	conn    net.Conn
	frames  chan frame.Frame
	end     error // of the connection, once frames is closed
	stream  uint32
	open    map[uint32]open
	done    map[uint32]bool
	away    bool // it was told to go
	ended   bool // the caller's side
	faulted bool // the caller has sent what is no whole frame, and is told so
}

func dial(f *fleet, address string) *line {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil
	}
	l := &line{f: f, conn: conn, frames: make(chan frame.Frame, 256), open: map[uint32]open{}, done: map[uint32]bool{}}
	go l.read()
	return l
}

func (l *line) read() {
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
			l.end = err
			return
		}
	}
}

// ask sends a request; twice sends another try of it right behind.
func (l *line) ask(class, key, body string, twice bool) {
	var out []byte
	now := time.Now()
	for range 1 + map[bool]int{true: 1}[twice] {
		l.stream++
		fields := probe.Fields(class, fmt.Sprintf("%016x", names.Add(1)), now, deadline)
		if key != "" {
			fields = append(fields, frame.Field{Name: "opkey", Value: key})
		}
		out = frame.AppendRequest(out, l.stream, fields, []byte(body))
		l.open[l.stream] = open{now, body}
		l.f.count(func(o *Outcome) { o.Requests++ })
	}
	l.conn.Write(out) //nolint:errcheck // what becomes of it shows in what is read
}

// take takes in one frame.
func (l *line) take(fr *frame.Frame) {
	switch {
	case fr.Type == frame.GoAway:
		l.away = true
	case fr.Type != frame.Answer:
	case fr.Stream == 0:
		if !l.faulted && l.stream > 0 { // one that has sent nothing yet is told that, too
			l.f.count(func(o *Outcome) { o.Wrong++ })
		}
	default:
		r, waits := l.open[fr.Stream]
		delete(l.open, fr.Stream)
		body := ""
		if _, b, err := frame.ParseFields(fr.Payload[1:]); err == nil {
			body = string(b)
		}
		late := time.Since(r.sent) > deadline+slack
		l.f.count(func(o *Outcome) {
			switch {
			case !waits && l.done[fr.Stream]:
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
		l.done[fr.Stream] = true
	}
}

// over judges the end of the connection: what was under way for a moment only
// has crossed it, and is to be sent again; what was open for longer is lost.
func (l *line) over() {
	l.conn.Close()
	now := time.Now()
	owed := 0
	for _, r := range l.open {
		if now.Sub(r.sent) <= crossing {
			l.f.count(func(o *Outcome) { o.Crossed++ })
		} else {
			owed++
		}
	}
	reset := errors.Is(l.end, syscall.ECONNRESET) || errors.Is(l.end, syscall.EPIPE)
	l.f.count(func(o *Outcome) {
		o.Lost += owed
		if owed > 0 && reset {
			o.Reset++
		}
	})
	clear(l.open)
}

func (f *fleet) count(change func(*Outcome)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.out)
}

// caller sends to one server until the measurement ends: it goes on to a new
// connection when it is told to go, rests now and then until the server ends the
// connection, ends its own side early, or sends what is no frame.
func (f *fleet) caller(s *server, rng *rand.Rand, id int) {
	defer f.callers.Done()
	var old []*line
	var l *line
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
				l.over()
				l = nil
				break
			}
			l.take(&fr)
			if fr.Type == frame.GoAway && len(l.open) == 0 && rng.IntN(3) == 0 {
				l.ask(look, "", fmt.Sprintf("2000 crosses %d", id), false) // it crosses the notice to go
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
			case l.away || l.ended:
				old = append(old, l)
				l = nil
			case f.stopping.Load():
				if len(l.open) == 0 {
					l.over()
					l = nil
				}
			case time.Now().Before(restUntil) || len(l.open) > 24:
			default:
				l.step(rng, id, &key, &restUntil)
			}
			if f.stopping.Load() && l == nil && len(old) == 0 {
				return
			}
		}
	}
}

// step sends what comes next.
func (l *line) step(rng *rand.Rand, id int, key *int, restUntil *time.Time) {
	body := fmt.Sprintf("%d look %d %d", 1000+rng.IntN(20_000), id, names.Load())
	switch n := rng.IntN(200); {
	case n < 12:
		*key++
		name := fmt.Sprintf("%d-%d", id, *key)
		l.ask(note, name, fmt.Sprintf("%d*1 note %s", 500+rng.IntN(5000), name), rng.IntN(3) == 0)
	case n == 12: // the caller's side ends with requests open
		l.ask(look, "", body, false)
		l.ask(look, "", body+" b", false)
		l.conn.(*net.TCPConn).CloseWrite() //nolint:errcheck // it may be gone
		l.ended = true
	case n == 13: // what is no frame, behind requests
		l.ask(look, "", body, false)
		l.faulted, l.ended = true, true
		l.conn.Write(frame.AppendHeader(nil, 99, 1, 0)) //nolint:errcheck // it may be gone
	case n == 14: // half a line, and rest
		l.conn.Write([]byte{0, 0}) //nolint:errcheck // it may be gone
		l.faulted, l.ended = true, true
	case n < 17:
		*restUntil = time.Now().Add(time.Duration(rng.IntN(1500)) * time.Millisecond)
	default:
		l.ask(look, "", body, false)
	}
}

// drained takes in what is left of a connection that was told to go, and says
// whether that is all: the caller closes it when everything on it is answered.
func (l *line) drained() bool {
	for {
		select {
		case fr, ok := <-l.frames:
			if !ok {
				l.over()
				return true
			}
			l.take(&fr)
			continue
		default:
		}
		if len(l.open) == 0 && !l.ended {
			l.over()
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
