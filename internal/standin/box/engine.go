package box

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// Engine is a Box on a loopback socket that speaks the engine's protocol, on
// the machine's clock. The body of a request states its work as the number of
// microseconds that it begins with; a body without one takes no time at all.
// Where a '*' and a number follow it, the run stands at that many calls, evenly
// through its work (see calls.go). The result of a run is its body, and after
// it what each call brought.
type Engine struct {
	Address string

	l     net.Listener
	web   net.Listener // of uwsgi; nil = none
	mu    sync.Mutex
	cond  *sync.Cond
	box   *Box
	next  uint64
	live  map[uint64]*running // on the cores
	names map[string]*running // all that has begun and not ended
	log   Log
	keep  bool // a run that is stopped keeps its work
	tells bool // results end with the time that the run took here
	over  map[string]bool
	sent  int      // notices since the start
	kept  [][]byte // the last of them, for a link that comes back
	out   *bufio.Writer
	link  net.Conn
	dirty bool
	timer *time.Timer
	began func(body string)
	born  int64 // when its cores came up cold; 0 = they are warm
	done  bool
}

type running struct {
	id     uint64
	name   string
	body   []byte
	done   chan struct{} // of a call by uwsgi; nil = the engine's own protocol
	piece  float64       // of the work, between two calls
	calls  int           // that are still to come
	need   int           // the notice by which it stands at a call; 0 = it does not
	began  int64
	left   float64 // of its piece, while it is stopped
	halted bool
	out    []byte // its result so far
}

const (
	bodyMost = 1 << 20
	lineMost = 4 << 10
	keptMost = 1 << 14 // notices that a link which comes back can still hear
)

func clock() int64 { return time.Now().UnixMicro() }

// Serve starts an engine on a free loopback address.
func Serve(spec Spec) (*Engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("engine stand-in: %w", err)
	}
	e := &Engine{Address: l.Addr().String(), l: l, box: New(spec, clock()), live: map[uint64]*running{}, names: map[string]*running{}, over: map[string]bool{}}
	e.cond = sync.NewCond(&e.mu)
	e.timer = time.AfterFunc(time.Hour, e.tick)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.talk(c)
		}
	}()
	go e.flush()
	return e, nil
}

// Close ends the engine; an open link ends with its caller.
func (e *Engine) Close() {
	e.l.Close()
	e.mu.Lock()
	e.done = true
	if e.web != nil {
		e.web.Close()
	}
	e.timer.Stop()
	e.cond.Broadcast()
	e.mu.Unlock()
}

// OnBegin calls f with the body of each run that begins from now on.
func (e *Engine) OnBegin(f func(body string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.began = f
}

// TellTook has the result of each run end with a blank and the microseconds that
// it took here, from its command to its notice, waits of this process included:
// what a caller waited beyond that was added on the way.
func (e *Engine) TellTook() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tells = true
}

// Cold has the cores come up cold now, from a share of their speed to all of it
// within that time.
func (e *Engine) Cold(from float64, within time.Duration) {
	e.Change(func(b *Box, now int64) {
		e.born = now
		b.Cold(now, from, within.Microseconds())
	})
}

// Change lets f act on the box, at the time now.
func (e *Engine) Change(f func(b *Box, now int64)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.box, clock())
	e.settle()
}

func (e *Engine) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
}

// settle sends what has ended and sets the timer; the lock is held.
func (e *Engine) settle() {
	for _, end := range e.box.Advance(clock()) {
		r := e.live[end.ID]
		delete(e.live, end.ID)
		e.pieceOver(r, end.At)
	}
	if next := e.box.Next(); next != 0 && !e.done {
		e.timer.Reset(time.Duration(next-clock()) * time.Microsecond)
	}
}

func (e *Engine) end(r *running, how string, now int64) {
	if r.done != nil {
		close(r.done)
		return
	}
	if how != "complete" {
		r.out = nil
	} else if e.tells {
		r.out = fmt.Appendf(r.out, " %d", clock()-r.began)
	}
	delete(e.names, r.name)
	e.notice(fmt.Appendf(nil, "%s %s %d %d\r\n%s\r\n", r.name, how, (now-r.began)/1000, len(r.out), r.out), "DONE")
}

// notice numbers, keeps and sends a notice.
func (e *Engine) notice(text []byte, kind string) {
	e.sent++
	notice := append(fmt.Appendf(nil, "%s %d ", kind, e.sent), text...)
	if e.kept = append(e.kept, notice); len(e.kept) > 2*keptMost {
		e.kept = append([][]byte(nil), e.kept[keptMost:]...)
	}
	if e.out != nil {
		e.out.Write(notice) //nolint:errcheck // a lost link shows to its reader
		e.wake()
	}
}

func (e *Engine) wake() {
	e.dirty = true
	e.cond.Signal()
}

// flush writes what has gathered, as a busy engine does.
func (e *Engine) flush() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for !e.done {
		if !e.dirty {
			e.cond.Wait()
			continue
		}
		e.dirty = false
		if e.out != nil {
			e.out.Flush() //nolint:errcheck // a lost link shows to its reader
		}
	}
}

var errCommand = errors.New("engine stand-in: not a command")

func (e *Engine) talk(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 256<<10)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil || len(line) > lineMost {
			return
		}
		if err := e.command(c, in, bytes.Fields(line)); err != nil {
			return
		}
	}
}

func (e *Engine) command(c net.Conn, in *bufio.Reader, words [][]byte) error {
	if len(words) < 2 {
		return errCommand
	}
	tag := string(words[1])
	switch string(words[0]) {
	case "ATTACH":
		e.mu.Lock()
		defer e.mu.Unlock()
		e.out, e.link = bufio.NewWriterSize(c, 256<<10), c
		hello := "HELLO hot 60000\r\n"
		if e.born != 0 {
			hello = fmt.Sprintf("HELLO chilly %d\r\n", (clock()-e.born)/1000)
		}
		e.out.WriteString(hello) //nolint:errcheck // a lost link shows to its reader
		heard, _ := strconv.Atoi(tag)
		for _, notice := range e.kept[min(max(0, len(e.kept)-(e.sent-heard)), len(e.kept)):] {
			e.out.Write(notice) //nolint:errcheck // a lost link shows to its reader
		}
		e.wake()
		return nil
	case "RUN":
		if len(words) != 4 {
			return errCommand
		}
		size, err := strconv.Atoi(string(words[3]))
		if err != nil || size < 0 || size > bodyMost {
			return errCommand
		}
		body := make([]byte, size+2)
		if _, err := io.ReadFull(in, body); err != nil {
			return err
		}
		e.begin(tag, body[:size])
		return nil
	case "STAT":
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.out != nil {
			n := e.box.Runs()
			fmt.Fprintf(e.out, "STATS %s %.2f %d 0.1 4\r\n", tag, min(1, float64(n)/float64(e.box.Cores())), max(0, n-e.box.Cores()))
			e.wake()
		}
		return nil
	case "TEST":
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.out != nil {
			fmt.Fprintf(e.out, "TESTED %s complete\r\n", tag)
			e.wake()
		}
		return nil
	}
	return e.callCommand(in, words)
}

// begin starts a run; one under a name that runs already is the same run.
func (e *Engine) begin(name string, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.names[name] != nil {
		return
	}
	if e.log.Begun != nil {
		e.log.Begun[string(body)]++
	}
	if e.began != nil {
		e.began(string(body))
	}
	calls := Calls(body)
	r := &running{name: name, body: body, calls: calls, piece: Work(body) / float64(calls+1), began: clock(),
		out: append([]byte(nil), body...)}
	e.names[name] = r
	e.proceed(r)
	e.settle()
}

// Work is what a body states as its work, in microseconds.
func Work(body []byte) float64 {
	n := 0
	for n < len(body) && n < 15 && body[n] >= '0' && body[n] <= '9' {
		n++
	}
	work, _ := strconv.ParseFloat(string(body[:n]), 64)
	return work
}
