package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The bounds of a printed path.
const (
	pathMargin    = 2 * time.Second // events of the place so long before and after the request are shown
	maxPathLines  = 60
	maxLogTail    = 15 // last lines of the log of a process
	maxStackLines = 60 // of the stacks of a process that did not end
)

// clock formats an instant for a path.
func clock(t time.Time) string { return t.UTC().Format("15:04:05.000000") }

// path returns all that is known of a request, in the order of time: what the caller
// did and saw, its runs, what happened to its server, and the servers' log lines of it.
func (g *game) path(r *request, runs []run) []string {
	var lines []string
	add := func(t time.Time, format string, args ...any) {
		lines = append(lines, clock(t)+" "+fmt.Sprintf(format, args...))
	}
	add(r.sent, "%s %s: %s try %s key %q body %.60q, timeout %v", r.place.name, r.front, r.class, r.tryID, r.key, r.body, r.timeout)
	last := r.sent.Add(r.timeout)
	for _, a := range r.answers {
		add(a.at, "answered %v %.60q", a.outcome, a.body)
		last = a.at
	}
	if !r.connEnded.IsZero() {
		add(r.connEnded, "its connection ended: %v", r.connError)
		last = r.connEnded
	}
	for _, u := range runs {
		add(u.at, "runs at process %d as %s", u.process.number, u.tryID)
	}
	for _, e := range g.history.events {
		if strings.HasPrefix(e.what, r.place.name) && e.at.After(r.sent.Add(-pathMargin)) && e.at.Before(last.Add(pathMargin)) {
			add(e.at, "%s", e.what)
		}
	}
	slices.Sort(lines)
	if r.tryID != "" {
		for _, pr := range r.place.processes {
			pr.searchLog(func(line string) {
				if strings.Contains(line, r.tryID) {
					lines = append(lines, fmt.Sprintf("log of process %d: %.400s", pr.number, line))
				}
			})
		}
	}
	return lines[:min(len(lines), maxPathLines)]
}

// processPath returns the events of a process's server and the end of its log.
func (g *game) processPath(pr *process) []string {
	var lines, tail []string
	stacks := false // the process was ended with SIGQUIT, and its stacks follow
	for _, e := range g.history.events {
		if strings.HasPrefix(e.what, pr.place.name) {
			lines = append(lines, clock(e.at)+" "+e.what)
		}
	}
	pr.searchLog(func(line string) {
		if strings.Contains(line, `"msg":"answer"`) {
			return
		}
		if strings.HasPrefix(line, "SIGQUIT") {
			stacks = true
		}
		if stacks {
			if len(lines) < maxPathLines+maxStackLines {
				lines = append(lines, "log: "+line)
			}
			return
		}
		if tail = append(tail, fmt.Sprintf("log: %.300s", line)); len(tail) > maxLogTail {
			tail = tail[1:]
		}
	})
	return append(lines[max(0, len(lines)-maxPathLines-maxStackLines):], tail...)
}
