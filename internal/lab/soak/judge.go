package soak

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"kiteslip/internal/lab/shutdown"
)

// raceWindow is the age up to which an open request may have crossed the end of its
// connection; the caller sends it again.
const raceWindow = 50 * time.Millisecond

// crashWindow is how long after a kill a connection's end is put down to it.
const crashWindow = time.Second

// judge checks all rules over what was recorded.
func (g *game) judge() {
	g.history.mu.Lock()
	defer g.history.mu.Unlock()
	byTry, byBody := map[string]*request{}, map[string]*request{}
	for _, r := range g.history.requests {
		if r.tryID != "" {
			byTry[r.tryID] = r
		} else {
			byBody[r.body] = r
		}
	}
	runs := map[*request][]run{}
	for _, u := range g.history.runs {
		r := byTry[u.tryID]
		if r == nil {
			r = byBody[u.body]
		}
		if r == nil || r.body != u.body {
			g.violate("foreign_run", fmt.Sprintf("%s ran %q for try %s, which no caller sent so", u.process.place.name, u.body, u.tryID))
			continue
		}
		runs[r] = append(runs[r], u)
	}
	for _, r := range g.history.requests {
		g.judgeRequest(r, runs[r])
	}
	g.judgeKeys(runs)
	for _, p := range g.places {
		for _, pr := range p.processes {
			g.judgeProcess(pr)
		}
	}
	g.judgeCalls()
}

// judgeRequest checks that a request has one final answer in time, that a refused one
// never ran, and that a served one has its own result.
func (g *game) judgeRequest(r *request, runs []run) {
	violate := func(kind, format string, args ...any) {
		g.violate(kind, fmt.Sprintf(format, args...), g.path(r, runs)...)
	}
	if len(r.answers) > 1 {
		violate("answered_twice", "%d answers to one request", len(r.answers))
	}
	if len(r.answers) == 0 {
		if !g.excused(r) {
			violate("lost", "no answer")
		}
		return
	}
	a := r.answers[0]
	due := r.sent.Add(r.timeout)
	if readable := r.place.readableFrom(r.sent); readable.After(due) {
		due = readable
	}
	if late := a.at.Sub(due) - answerSlack; late > g.history.paused(r.sent, a.at) {
		violate("late", "answered %v after the time it was due", late)
	}
	if a.outcome == refused && len(runs) > 0 {
		violate("refused_ran", "refused, and ran %d times", len(runs))
	}
	if a.outcome == served && !strings.HasPrefix(a.body, r.body) {
		violate("wrong_result", "served with the result %.60q", a.body)
	}
	for _, u := range runs {
		pr := u.process
		if pr.termAt.IsZero() || pr.superseded {
			continue
		}
		if after := r.sent.Sub(pr.termAt.Add(drainGrace + socketSlack)); after > 0 {
			violate("ran_after_grace", "sent %v after the end of the grace, and ran", after)
		}
	}
}

// excused reports whether a request may be without an answer: its connection ended with
// a process that was killed without a notice, or the request crossed the end.
func (g *game) excused(r *request) bool {
	if r.connEnded.IsZero() {
		return false
	}
	if r.connEnded.Sub(r.sent) <= raceWindow+g.history.paused(r.sent, r.connEnded) {
		return true
	}
	for _, pr := range r.place.processes {
		if !pr.killedAt.IsZero() && r.sent.Before(pr.killedAt.Add(raceWindow)) && r.connEnded.After(pr.killedAt) && r.connEnded.Before(pr.killedAt.Add(crashWindow)) {
			return true
		}
	}
	return false
}

// readableFrom returns the earliest time from at on at which a process of the place
// accepts callers: a request that waits in the platform's socket is read then.
func (p *place) readableFrom(at time.Time) time.Time {
	earliest := time.Time{}
	for _, pr := range p.processes {
		if pr.readyAt.IsZero() || !pr.endedAt.IsZero() && pr.endedAt.Before(at) {
			continue
		}
		if !pr.readyAt.After(at) {
			return at
		}
		if earliest.IsZero() || pr.readyAt.Before(earliest) {
			earliest = pr.readyAt
		}
	}
	return earliest
}

// judgeKeys checks that no keyed request ran twice within its window, counted from the
// ts of the try that ran.
func (g *game) judgeKeys(runs map[*request][]run) {
	type identity struct {
		place *place
		life  int
		key   string
	}
	type keyedRun struct {
		run
		request *request
	}
	byKey := map[identity][]keyedRun{}
	for r, list := range runs {
		if r.key == "" {
			continue
		}
		for _, u := range list {
			id := identity{r.place, u.process.life, r.key}
			byKey[id] = append(byKey[id], keyedRun{u, r})
		}
	}
	for id, list := range byKey {
		slices.SortFunc(list, func(a, b keyedRun) int { return a.at.Compare(b.at) })
		for i, first := range list {
			for _, second := range list[i+1:] {
				if end := first.request.timestamp().Add(keyWindow); !second.request.sent.After(end) {
					path := append(g.path(first.request, []run{first.run}), g.path(second.request, []run{second.run})...)
					g.violate("second_run", fmt.Sprintf("%s ran key %s again %v before the end of its window", id.place.name, id.key, end.Sub(second.request.sent)), path...)
				}
			}
		}
	}
}

// judgeProcess checks the end, the log, the start and the limits of a process.
func (g *game) judgeProcess(pr *process) {
	name := fmt.Sprintf("%s process %d", pr.place.name, pr.number)
	violate := func(kind, format string, args ...any) {
		g.violate(kind, name+" "+fmt.Sprintf(format, args...), g.processPath(pr)...)
	}
	switch {
	case !pr.killedAt.IsZero():
	case pr.killedAtStop:
		violate("not_ended", "had to be killed at the end of its stop time")
	case pr.endedBeforeMain():
	case pr.endErr != nil:
		violate("bad_exit", "ended with %v", pr.endErr)
	case pr.termAt.IsZero():
		violate("bad_exit", "ended without a signal")
	}
	pr.searchLog(func(line string) {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
			violate("panic", "wrote %q", line)
		}
	})
	told := !pr.termAt.IsZero() || !pr.killedAt.IsZero()
	if ready := pr.readyAt.Sub(pr.startedAt); pr.readyAt.IsZero() && !told || ready > readyLimit {
		violate("not_ready", "was not ready within %v", readyLimit)
	}
	if pr.maxRSS > memoryLimitMB<<20 {
		violate("memory", "used %d MB of %d", pr.maxRSS>>20, memoryLimitMB)
	}
	if pr.maxFDs > descriptorLimit {
		violate("descriptors", "had %d descriptors of %d", pr.maxFDs, descriptorLimit)
	}
	lived := pr.endedAt.Sub(pr.startedAt)
	if share := pr.cpuTime.Seconds() / lived.Seconds(); lived > minCPUTime && share > coreLimit+coreMeasureSlop {
		violate("cores", "used %.2f cores of %.2f", share, coreLimit)
	}
}

// judgeCalls checks that the calls of all servers stay within the sum of their shares.
func (g *game) judgeCalls() {
	limit := float64(len(g.places)) * callShare
	if allowed := shutdown.UpperBound(limit); float64(g.calls.maxInFlight) > allowed {
		g.violate("calls", fmt.Sprintf("%d calls at once, %.1f allowed", g.calls.maxInFlight, allowed))
	}
	allowed := shutdown.UpperBound(limit * float64(callShareWindow) / float64(ledgerCallTime))
	if most := g.calls.maxInWindow(); float64(most) > allowed {
		g.violate("calls", fmt.Sprintf("%d calls within %v, %.1f allowed", most, callShareWindow, allowed))
	}
}

// checkQuiet checks that no process keeps a connection once all callers have closed
// theirs.
func (g *game) checkQuiet() {
	for _, p := range g.places {
		left := 0
		for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
			if left = callerSockets(p.frameAddress, p.uwsgiAddress); left == 0 {
				break
			}
		}
		if left > 0 {
			g.violate("open_connections", fmt.Sprintf("%s keeps %d connections whose callers have closed them", p.name, left))
		}
	}
}

// callerSockets counts the connections that are open at the local addresses.
func callerSockets(addresses ...string) int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const established, closeWait = "01", "08"
	n := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 3 && (fields[3] == established || fields[3] == closeWait) && slices.Contains(addresses, hexAddress(fields[1])) {
			n++
		}
	}
	return n
}

// hexAddress decodes an address of /proc/net/tcp, for instance 0101A87F:1F90.
func hexAddress(s string) string {
	host, port, _ := strings.Cut(s, ":")
	h, err1 := strconv.ParseUint(host, 16, 32)
	n, err2 := strconv.ParseUint(port, 16, 16)
	if err1 != nil || err2 != nil {
		return ""
	}
	return fmt.Sprintf("%d.%d.%d.%d:%d", byte(h), byte(h>>8), byte(h>>16), byte(h>>24), n)
}
