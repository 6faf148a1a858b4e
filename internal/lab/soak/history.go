package soak

import (
	"sync"
	"time"
)

// outcome is the code of a final answer.
type outcome uint8

// The outcomes. On the uwsgi front end they come from the HTTP status.
const (
	served outcome = iota + 1
	refused
	failed
)

// String returns the outcome as it is printed in the path of a request.
func (o outcome) String() string {
	return [...]string{"none", "served", "refused", "failed"}[o]
}

// answer is a final answer as a caller received it.
type answer struct {
	at      time.Time
	outcome outcome
	body    string
}

// request is one try as a caller sent it, with all that came of it. The history's lock
// guards it.
type request struct {
	tryID   string // "" on the uwsgi front end, where the server numbers tries
	place   *place
	front   string
	class   string
	key     string // "" = not keyed
	body    string
	sent    time.Time // also its ts, in whole milliseconds
	timeout time.Duration
	answers []answer

	connEnded time.Time // when its connection ended without its answer; zero = it did not
	connError error
}

// timestamp is the ts of the try.
func (r *request) timestamp() time.Time { return r.sent.Truncate(time.Millisecond) }

// run is the start of a run as an engine saw it.
type run struct {
	at      time.Time
	tryID   string
	body    string
	process *process
}

// pause is a time in which this process itself was not scheduled.
type pause struct{ from, until time.Time }

// history records requests, runs and what happened to processes, in the order of time.
type history struct {
	mu       sync.Mutex
	requests []*request
	runs     []run
	pauses   []pause
	events   []event
}

// event is something that the soak did or saw beside requests and runs.
type event struct {
	at   time.Time
	what string
}

func (h *history) addRequest(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

func (h *history) addAnswer(r *request, a answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.answers = append(r.answers, a)
}

func (h *history) addRun(r run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, r)
}

func (h *history) addEvent(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event{time.Now(), what})
}

// update changes records under the lock.
func (h *history) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// The watch over this process's own scheduling.
const (
	pauseCheckInterval = 5 * time.Millisecond
	minPause           = 20 * time.Millisecond // shorter ones are not recorded
)

// watchPauses records the times in which this process is not scheduled, until done is
// closed: the rules do not count a pause of the machine.
func (h *history) watchPauses(done <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(pauseCheckInterval):
		}
		now := time.Now()
		if now.Sub(last) > minPause {
			h.update(func() { h.pauses = append(h.pauses, pause{last, now}) })
		}
		last = now
	}
}

// paused returns how long this process was paused between two instants.
func (h *history) paused(from, until time.Time) time.Duration {
	total := time.Duration(0)
	for _, p := range h.pauses {
		start, end := p.from, p.until
		if start.Before(from) {
			start = from
		}
		if end.After(until) {
			end = until
		}
		total += max(0, end.Sub(start))
	}
	return total
}
