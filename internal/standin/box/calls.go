package box

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
)

// callsMost bounds the calls of one run.
const callsMost = 16

// Log is what an Engine saw of its runs, by the names of the tries.
type Log struct {
	Begun   map[string]int // by body, where it is watched
	Fed     int            // replies taken
	Skipped int
	Halted  int
	Resumed int
	Needs   int // calls asked for
	Ended   int // runs that ended while they stood at a call
	Stray   int // replies and skips for what stood at no call, or at another
}

// KeepStopped says whether a run that is stopped keeps its work.
func (e *Engine) KeepStopped(keep bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keep = keep
}

// Watch counts from now on how often each body is begun.
func (e *Engine) Watch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log.Begun = map[string]int{}
}

// Log returns what was seen so far.
func (e *Engine) Log() Log {
	e.mu.Lock()
	defer e.mu.Unlock()
	log := e.log
	log.Begun = map[string]int{}
	for body, n := range e.log.Begun {
		log.Begun[body] = n
	}
	return log
}

// Open is the number of runs that have begun and not ended.
func (e *Engine) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.names)
}

// Over tells that the request of that name is over: its caller has its answer,
// or has gone. Its run ends at its next call; the platform's engine sees this
// for itself.
func (e *Engine) Over(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.names[name]
	if r == nil {
		return
	}
	e.over[name] = true
	if r.need != 0 || r.halted {
		e.cancel(r)
	}
}

func (e *Engine) cancel(r *running) {
	delete(e.over, r.name)
	if r.need != 0 {
		e.log.Ended++
	}
	e.end(r, "cancelled", clock())
}

// proceed puts the next piece of a run on the cores.
func (e *Engine) proceed(r *running) {
	now := clock()
	r.need = 0
	if r.piece <= 0 {
		e.pieceOver(r, now)
		return
	}
	e.next++
	r.id = e.next
	e.live[r.id] = r
	e.box.Begin(now, r.id, r.piece)
}

// pieceOver ends a piece: the run comes to a call, or to its end.
func (e *Engine) pieceOver(r *running, now int64) {
	if r.calls == 0 {
		delete(e.over, r.name)
		e.end(r, "complete", now)
		return
	}
	if e.over[r.name] {
		e.cancel(r)
		return
	}
	r.calls--
	body := fmt.Appendf(nil, "call %d of %s", r.calls, r.body)
	e.notice(fmt.Appendf(nil, "%s %d\r\n%s\r\n", r.name, len(body), body), "NEED")
	r.need = e.sent
	e.log.Needs++
}

// Calls is how many calls a body states.
func Calls(body []byte) int {
	work, rest, _ := bytes.Cut(body, []byte("*"))
	if len(work) > 15 || len(bytes.TrimLeft(work, "0123456789")) > 0 {
		return 0
	}
	calls, _, _ := bytes.Cut(rest, []byte(" "))
	n, err := strconv.Atoi(string(calls))
	if err != nil {
		return 0
	}
	return min(max(0, n), callsMost)
}

// callCommand carries out what is said about a run that has begun.
func (e *Engine) callCommand(in *bufio.Reader, words [][]byte) error {
	kind, name := string(words[0]), string(words[1])
	var reply []byte
	if kind == "FEED" {
		if len(words) != 3 {
			return errCommand
		}
		size, err := strconv.Atoi(string(words[2]))
		if err != nil || size < 0 || size > bodyMost {
			return errCommand
		}
		reply = make([]byte, size+2)
		if _, err := io.ReadFull(in, reply); err != nil {
			return err
		}
		reply = reply[:size]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.names[name]
	if r == nil {
		e.log.Stray++
		e.say(fmt.Appendf(nil, "NO %s %s\r\n", kind, name))
		return nil
	}
	switch kind {
	case "FEED":
		if r.need == 0 {
			e.log.Stray++
			return nil
		}
		e.log.Fed++
		r.out = append(append(r.out, '|'), reply...)
		e.proceed(r)
	case "SKIP":
		if len(words) != 3 || strconv.Itoa(r.need) != string(words[2]) {
			e.log.Stray++
			return nil
		}
		e.log.Skipped++
		r.out = append(r.out, "|skipped"...)
		e.proceed(r)
	case "HALT":
		e.halt(r)
	case "RESUME":
		if r.halted {
			e.log.Resumed++
			r.halted = false
			e.next++
			r.id = e.next
			e.live[r.id] = r
			e.box.Begin(clock(), r.id, r.left)
		}
	default:
		return errCommand
	}
	e.settle()
	return nil
}

// halt stops a run that is on the cores: with its work kept it waits for
// RESUME, else it is gone and may be run anew.
func (e *Engine) halt(r *running) {
	left, ok := e.box.Take(clock(), r.id)
	if !ok || r.need != 0 || r.halted {
		return
	}
	e.log.Halted++
	delete(e.live, r.id)
	if !e.keep || e.over[r.name] {
		e.cancel(r)
		return
	}
	r.left, r.halted = left, true
	e.notice(fmt.Appendf(nil, "%s cancelled %d 0\r\n\r\n", r.name, (clock()-r.began)/1000), "DONE")
}

func (e *Engine) say(line []byte) {
	if e.out != nil {
		e.out.Write(line) //nolint:errcheck // a lost link shows to its reader
		e.wake()
	}
}

// Cut ends the link; the server may attach again.
func (e *Engine) Cut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link != nil {
		e.link.Close()
		e.link, e.out = nil, nil
	}
}
