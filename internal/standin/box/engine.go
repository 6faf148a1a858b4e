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

// Engine is a Machine on the system clock that serves the engine's protocol on a
// loopback socket. The body of a request begins with its work, a number of
// microseconds; a body without one takes no time. If '*' and a number follow, the
// run makes that many downstream calls, which divide its work into equal segments
// (see calls.go). The result of a run is its body, followed by the result of each
// call.
type Engine struct {
	Address string

	listener       net.Listener
	uwsgiListener  net.Listener // nil = no uwsgi
	mu             sync.Mutex
	cond           *sync.Cond
	box            *Machine
	lastID         uint64
	onCores        map[uint64]*activeRun // runs on the cores, by ID
	byName         map[string]*activeRun // runs that have started and not ended, by try ID
	log            Log
	keepHalted     bool            // halted runs keep their work
	reportDuration bool            // results end with the duration of the run
	requestsOver   map[string]bool // try IDs of runs that end at their next call
	lastNotice     int             // number of the last notice
	keptNotices    [][]byte        // the last notices, for a server that attaches again
	out            *bufio.Writer
	link           net.Conn
	unflushed      bool
	timer          *time.Timer
	onBegin        func(body string)
	onRun          func(id, body string)
	coldSince      int64 // start of the warm-up; 0 = none
	closed         bool
}

// activeRun is a run that has started and not ended.
type activeRun struct {
	id            uint64
	name          string
	body          []byte
	done          chan struct{} // closed at the end of a run by uwsgi; nil = a run by the engine's protocol
	segmentWork   float64       // work between two calls
	callsLeft     int           // downstream calls still to be made
	awaitedNotice int           // number of the notice of the call that it waits for; 0 = none
	started       int64
	remainingWork float64 // of its segment, while it is halted
	halted        bool
	result        []byte // so far
}

const (
	maxBodyBytes   = 1 << 20
	maxLineBytes   = 4 << 10
	maxKeptNotices = 1 << 14 // a server that attaches again gets at least this many earlier notices
)

func nowUS() int64 { return time.Now().UnixMicro() }

// Serve starts an engine on a free loopback address.
func Serve(spec Spec) (*Engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("engine stand-in: %w", err)
	}
	e := &Engine{Address: l.Addr().String(), listener: l, box: New(spec, nowUS()), onCores: map[uint64]*activeRun{}, byName: map[string]*activeRun{}, requestsOver: map[string]bool{}}
	e.cond = sync.NewCond(&e.mu)
	e.timer = time.AfterFunc(time.Hour, e.tick)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	go e.flush()
	return e, nil
}

// Close stops the engine. Open links stay until the server closes them.
func (e *Engine) Close() {
	e.listener.Close()
	e.mu.Lock()
	e.closed = true
	if e.uwsgiListener != nil {
		e.uwsgiListener.Close()
	}
	e.timer.Stop()
	e.cond.Broadcast()
	e.mu.Unlock()
}

// OnStart calls f with the body of each run that starts from now on.
func (e *Engine) OnStart(f func(body string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onBegin = f
}

// OnRun calls f with the ID and the body of each RUN command that starts a run from
// now on.
func (e *Engine) OnRun(f func(id, body string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onRun = f
}

// ReportDurations appends to the result of each run a space and the microseconds from its
// RUN command to its notice, delays of this process included. The rest of what a
// caller waits is due to the way between.
func (e *Engine) ReportDurations() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportDuration = true
}

// StartWarmup starts a warm-up of the cores: the speed rises from a share of the full
// speed to all of it within the given time.
func (e *Engine) StartWarmup(from float64, within time.Duration) {
	e.WithMachine(func(b *Machine, now int64) {
		e.coldSince = now
		b.StartWarmup(now, from, within.Microseconds())
	})
}

// WithMachine calls f with the Machine and the present time, under the engine's lock.
func (e *Engine) WithMachine(f func(b *Machine, now int64)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.box, nowUS())
	e.advance()
}

func (e *Engine) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
}

// advance handles the segments that have ended and sets the timer; e.mu is held.
func (e *Engine) advance() {
	for _, ended := range e.box.Advance(nowUS()) {
		r := e.onCores[ended.ID]
		delete(e.onCores, ended.ID)
		e.segmentDone(r, ended.At)
	}
	if next := e.box.Next(); next != 0 && !e.closed {
		e.timer.Reset(time.Duration(next-nowUS()) * time.Microsecond)
	}
}

// finishRun sends the outcome of a run.
func (e *Engine) finishRun(r *activeRun, outcome string, now int64) {
	if r.done != nil {
		close(r.done)
		return
	}
	if outcome != "complete" {
		r.result = nil
	} else if e.reportDuration {
		r.result = fmt.Appendf(r.result, " %d", nowUS()-r.started)
	}
	delete(e.byName, r.name)
	e.sendNotice(fmt.Appendf(nil, "%s %s %d %d\r\n%s\r\n", r.name, outcome, (now-r.started)/1000, len(r.result), r.result), "DONE")
}

// sendNotice numbers, stores and sends a notice.
func (e *Engine) sendNotice(text []byte, kind string) {
	e.lastNotice++
	notice := append(fmt.Appendf(nil, "%s %d ", kind, e.lastNotice), text...)
	if e.keptNotices = append(e.keptNotices, notice); len(e.keptNotices) > 2*maxKeptNotices {
		e.keptNotices = append([][]byte(nil), e.keptNotices[maxKeptNotices:]...)
	}
	if e.out != nil {
		e.out.Write(notice) //nolint:errcheck // the reader of the link sees the error
		e.scheduleFlush()
	}
}

func (e *Engine) scheduleFlush() {
	e.unflushed = true
	e.cond.Signal()
}

// flush writes the buffered output, several notices at once under load, as a real
// engine does.
func (e *Engine) flush() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for !e.closed {
		if !e.unflushed {
			e.cond.Wait()
			continue
		}
		e.unflushed = false
		if e.out != nil {
			e.out.Flush() //nolint:errcheck // the reader of the link sees the error
		}
	}
}

var errMalformed = errors.New("engine stand-in: malformed command")

func (e *Engine) serve(c net.Conn) {
	defer c.Close()
	input := bufio.NewReaderSize(c, 256<<10)
	for {
		line, err := input.ReadSlice('\n')
		if err != nil || len(line) > maxLineBytes {
			return
		}
		if err := e.handleCommand(c, input, bytes.Fields(line)); err != nil {
			return
		}
	}
}

func (e *Engine) handleCommand(c net.Conn, input *bufio.Reader, words [][]byte) error {
	if len(words) < 2 {
		return errMalformed
	}
	tag := string(words[1])
	switch string(words[0]) {
	case "ATTACH":
		e.mu.Lock()
		defer e.mu.Unlock()
		e.out, e.link = bufio.NewWriterSize(c, 256<<10), c
		hello := "HELLO hot 60000\r\n"
		if e.coldSince != 0 {
			hello = fmt.Sprintf("HELLO chilly %d\r\n", (nowUS()-e.coldSince)/1000)
		}
		e.out.WriteString(hello) //nolint:errcheck // the reader of the link sees the error
		heard, _ := strconv.Atoi(tag)
		for _, notice := range e.keptNotices[min(max(0, len(e.keptNotices)-(e.lastNotice-heard)), len(e.keptNotices)):] {
			e.out.Write(notice) //nolint:errcheck // the reader of the link sees the error
		}
		e.scheduleFlush()
		return nil
	case "RUN":
		if len(words) != 4 {
			return errMalformed
		}
		size, err := strconv.Atoi(string(words[3]))
		if err != nil || size < 0 || size > maxBodyBytes {
			return errMalformed
		}
		body := make([]byte, size+2)
		if _, err := io.ReadFull(input, body); err != nil {
			return err
		}
		e.startRun(tag, body[:size])
		return nil
	case "STAT":
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.out != nil {
			n := e.box.Runs()
			fmt.Fprintf(e.out, "STATS %s %.2f %d 0.1 4\r\n", tag, min(1, float64(n)/float64(e.box.Cores())), max(0, n-e.box.Cores()))
			e.scheduleFlush()
		}
		return nil
	case "TEST":
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.out != nil {
			fmt.Fprintf(e.out, "TESTED %s complete\r\n", tag)
			e.scheduleFlush()
		}
		return nil
	}
	return e.handleRunCommand(input, words)
}

// startRun starts a run, unless one with the same name has not ended.
func (e *Engine) startRun(name string, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byName[name] != nil {
		return
	}
	if e.log.Started != nil {
		e.log.Started[string(body)]++
	}
	if e.onBegin != nil {
		e.onBegin(string(body))
	}
	if e.onRun != nil {
		e.onRun(name, string(body))
	}
	calls := Calls(body)
	r := &activeRun{name: name, body: body, callsLeft: calls, segmentWork: Work(body) / float64(calls+1), started: nowUS(),
		result: append([]byte(nil), body...)}
	e.byName[name] = r
	e.startSegment(r)
	e.advance()
}

// Work returns the work that a body states, in microseconds.
func Work(body []byte) float64 {
	digits := 0
	for digits < len(body) && digits < 15 && body[digits] >= '0' && body[digits] <= '9' {
		digits++
	}
	work, _ := strconv.ParseFloat(string(body[:digits]), 64)
	return work
}
