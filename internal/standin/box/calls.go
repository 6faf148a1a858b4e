package box

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
)

// maxCalls bounds the downstream calls of one run.
const maxCalls = 16

// Log counts what an Engine has seen of its runs.
type Log struct {
	Started        map[string]int // runs started, by body; counted after CountStarts only
	CallResults    int            // replies to downstream calls that a run accepted
	SkippedCalls   int
	HaltedRuns     int
	ResumedRuns    int
	RequestedCalls int // downstream calls requested
	EndedAtCall    int // runs that ended while they waited for a call
	Unexpected     int // commands for an unknown run, and replies and skips for a call that no run waits for
}

// KeepHalted sets whether a halted run keeps its work.
func (e *Engine) KeepHalted(keep bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keepHalted = keep
}

// CountStarts starts counting Log.Started.
func (e *Engine) CountStarts() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log.Started = map[string]int{}
}

// Log returns the counts so far.
func (e *Engine) Log() Log {
	e.mu.Lock()
	defer e.mu.Unlock()
	log := e.log
	log.Started = map[string]int{}
	for body, n := range e.log.Started {
		log.Started[body] = n
	}
	return log
}

// ActiveRuns returns the number of runs that have started and not ended.
func (e *Engine) ActiveRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.byName)
}

// RequestDone reports that a request has its final answer or that its caller has
// disconnected: its run ends at its next downstream call. The platform's engine
// notices this by itself.
func (e *Engine) RequestDone(tryID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.byName[tryID]
	if r == nil {
		return
	}
	e.requestsOver[tryID] = true
	if r.awaitedNotice != 0 || r.halted {
		e.cancel(r)
	}
}

// cancel ends a run whose request is over.
func (e *Engine) cancel(r *activeRun) {
	delete(e.requestsOver, r.name)
	if r.awaitedNotice != 0 {
		e.log.EndedAtCall++
	}
	e.finishRun(r, "cancelled", nowUS())
}

// startSegment puts the next segment of a run on the cores.
func (e *Engine) startSegment(r *activeRun) {
	now := nowUS()
	r.awaitedNotice = 0
	if r.segmentWork <= 0 {
		e.segmentDone(r, now)
		return
	}
	e.lastID++
	r.id = e.lastID
	e.onCores[r.id] = r
	e.box.Start(now, r.id, r.segmentWork)
}

// segmentDone ends a segment: the run comes to a downstream call, or to its end.
func (e *Engine) segmentDone(r *activeRun, now int64) {
	if r.callsLeft == 0 {
		delete(e.requestsOver, r.name)
		e.finishRun(r, "complete", now)
		return
	}
	if e.requestsOver[r.name] {
		e.cancel(r)
		return
	}
	r.callsLeft--
	body := fmt.Appendf(nil, "call %d of %s", r.callsLeft, r.body)
	e.sendNotice(fmt.Appendf(nil, "%s %d\r\n%s\r\n", r.name, len(body), body), "NEED")
	r.awaitedNotice = e.lastNotice
	e.log.RequestedCalls++
}

// Calls returns the number of downstream calls that a body states.
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
	return min(max(0, n), maxCalls)
}

// handleRunCommand executes a command about a run that has started.
func (e *Engine) handleRunCommand(input *bufio.Reader, words [][]byte) error {
	kind, name := string(words[0]), string(words[1])
	var reply []byte
	if kind == "FEED" {
		if len(words) != 3 {
			return errMalformed
		}
		size, err := strconv.Atoi(string(words[2]))
		if err != nil || size < 0 || size > maxBodyBytes {
			return errMalformed
		}
		reply = make([]byte, size+2)
		if _, err := io.ReadFull(input, reply); err != nil {
			return err
		}
		reply = reply[:size]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.byName[name]
	if r == nil {
		e.log.Unexpected++
		e.send(fmt.Appendf(nil, "NO %s %s\r\n", kind, name))
		return nil
	}
	switch kind {
	case "FEED":
		if r.awaitedNotice == 0 {
			e.log.Unexpected++
			return nil
		}
		e.log.CallResults++
		r.result = append(append(r.result, '|'), reply...)
		e.startSegment(r)
	case "SKIP":
		if len(words) != 3 || strconv.Itoa(r.awaitedNotice) != string(words[2]) {
			e.log.Unexpected++
			return nil
		}
		e.log.SkippedCalls++
		r.result = append(r.result, "|skipped"...)
		e.startSegment(r)
	case "HALT":
		e.halt(r)
	case "RESUME":
		if r.halted {
			e.log.ResumedRuns++
			r.halted = false
			e.lastID++
			r.id = e.lastID
			e.onCores[r.id] = r
			e.box.Start(nowUS(), r.id, r.remainingWork)
		}
	default:
		return errMalformed
	}
	e.advance()
	return nil
}

// halt stops a run that is on the cores. If halted runs keep their work, it waits
// for RESUME; otherwise it is cancelled and may be started again.
func (e *Engine) halt(r *activeRun) {
	remaining, ok := e.box.Remove(nowUS(), r.id)
	if !ok || r.awaitedNotice != 0 || r.halted {
		return
	}
	e.log.HaltedRuns++
	delete(e.onCores, r.id)
	if !e.keepHalted || e.requestsOver[r.name] {
		e.cancel(r)
		return
	}
	r.remainingWork, r.halted = remaining, true
	e.sendNotice(fmt.Appendf(nil, "%s cancelled %d 0\r\n\r\n", r.name, (nowUS()-r.started)/1000), "DONE")
}

func (e *Engine) send(line []byte) {
	if e.out != nil {
		e.out.Write(line) //nolint:errcheck // the reader of the link sees the error
		e.scheduleFlush()
	}
}

// Disconnect closes the link to the server, which may attach again.
func (e *Engine) Disconnect() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link != nil {
		e.link.Close()
		e.link, e.out = nil, nil
	}
}
