package rig2

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"kiteslip/internal/frame"
)

func init() {
	cases["keys-kept-from-an-upgrade-on"] = keysKeptFromAnUpgradeOn
	cases["window-that-grows"] = windowThatGrows
	cases["class-that-returns"] = classThatReturns
	cases["window-that-shrinks"] = windowThatShrinks                        // told of in the report
	cases["window-that-shrinks-at-a-restart"] = windowThatShrinksAtARestart // told of in the report
	cases["doubt-that-ends-in-an-upgrade"] = doubtThatEndsInAnUpgrade       // told of in the report
}

// series is a server that is upgraded: its processes have the clients' socket and the
// temporary folder in common, and an engine and an admin endpoint each.
type series struct {
	r       *rig
	listen  string
	socket  *os.File
	engines []*engine
}

// newSeries returns a series without a process.
func (r *rig) newSeries() *series {
	listen, socket := r.inherited()
	return &series{r: r, listen: listen, socket: socket}
}

// start starts a process with that operator's file and awaits it.
func (u *series) start(name, operator string) *server {
	e := u.r.newEngine("engine of "+name, func(string, string) time.Duration { return 200 * time.Millisecond })
	u.engines = append(u.engines, e)
	ops := u.r.freeAddress()
	s := u.r.start(name, ops, u.socket, "EDGE_CONFIG="+u.r.platformFile("n3", u.listen, e.address), "EDGE_OPS="+ops,
		"KITESLIP_OPERATOR="+u.r.write("operator-"+name+".toml", operator))
	s.mustBeReady()
	return s
}

// upgrade starts a process beside old, and tells old to leave.
func (u *series) upgrade(old *server, name, operator string) *server {
	s := u.start(name, operator)
	u.leave(old)
	return s
}

// leave tells a process to leave and awaits its end.
func (u *series) leave(s *server) {
	s.signal(syscall.SIGTERM)
	if !s.awaitEnd(8 * time.Second) {
		panic(cannotRun(s.name + " does not end"))
	}
}

// runs counts the runs of a body on all engines.
func (u *series) runs(body string) int {
	n := 0
	for _, e := range u.engines {
		n += len(e.runsOf(body))
	}
	u.r.note("runs of the key: %d", n)
	return n
}

// archive is a service with a keyed class, whose window is to be put in.
const archive = `
[[service]]
name = "address-archive"
[[service.contract]]
class = "archive-address"
effect = "keyed"
aim_ms = 1800
deadline_ms = 5300
window_ms = %d
worth = 4.0
`

// notes is another service.
const notes = `
[[service]]
name = "address-notes"
[[service.contract]]
class = "read-note"
effect = "repeatable"
aim_ms = 1400
deadline_ms = 4200
`

// files returns an operator's file with both services, and with keys that outlive the
// process where kept is set.
func (u *series) files(windowMS int, kept bool) string {
	text := notes + fmt.Sprintf(archive, windowMS)
	if kept {
		text += fmt.Sprintf("[keys]\nfolder = %q\n", u.r.path("keys"))
	}
	return text
}

// archiveRequest is the keyed request of these cases.
var archiveRequest = frameRequest{kind: "archive-address", key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", body: "one address", timeout: keyTimeout}

// mustBeServed ends the case if an answer is no result.
func mustBeServed(a frameAnswer, _ int64) {
	if a.code != frame.Served {
		panic(cannotRun("the first try was not served"))
	}
}

// keysKeptFromAnUpgradeOn: keys that outlive the process are set up in an upgrade. Then
// the new process is killed and started again. A later try of a key that ran before the
// upgrade must not run.
func keysKeptFromAnUpgradeOn(r *rig) bool {
	u := r.newSeries()
	without := u.files(60_000, false)
	kept := u.files(60_000, true)
	s := u.start("first", without)
	mustBeServed(r.askFrames(u.listen, archiveRequest))
	time.Sleep(time.Second)
	s = u.upgrade(s, "second", kept)
	time.Sleep(2 * time.Second)
	r.askFrames(u.listen, archiveRequest) // gets the result that was handed over
	if r.trouble {
		s.kill()
		time.Sleep(time.Second)
		u.start("third", kept)
	}
	time.Sleep(time.Second)
	r.askFrames(u.listen, archiveRequest)
	return u.runs(archiveRequest.body) > 1
}

// windowThatGrows: keys outlive the process, and an upgrade makes the window of their
// class longer. Past the shorter window the new process is killed and started again. A
// later try in the longer window must not run.
func windowThatGrows(r *rig) bool {
	u := r.newSeries()
	s := u.start("first", u.files(6_000, true))
	a, ts := r.askFrames(u.listen, archiveRequest)
	mustBeServed(a, ts)
	time.Sleep(time.Second)
	s = u.upgrade(s, "second", u.files(60_000, true))
	time.Sleep(time.Until(time.UnixMilli(ts).Add(8 * time.Second)))
	r.askFrames(u.listen, archiveRequest) // gets the result: its window has become longer
	if r.trouble {
		s.kill()
		time.Sleep(time.Second)
		u.start("third", u.files(60_000, true))
	}
	time.Sleep(time.Second)
	r.askFrames(u.listen, archiveRequest)
	return u.runs(archiveRequest.body) > 1
}

// classThatReturns: a keyed request has run. The server is upgraded twice; the file of
// the first new process lacks the class, that of the second has it again. A later try in
// the window must not run.
func classThatReturns(r *rig) bool {
	u := r.newSeries()
	whole := u.files(60_000, false)
	middle := whole
	if r.trouble {
		middle = notes
	}
	s := u.start("first", whole)
	mustBeServed(r.askFrames(u.listen, archiveRequest))
	time.Sleep(time.Second)
	s = u.upgrade(s, "second", middle)
	time.Sleep(2 * time.Second)
	u.upgrade(s, "third", whole)
	time.Sleep(time.Second)
	r.askFrames(u.listen, archiveRequest)
	return u.runs(archiveRequest.body) > 1
}

// windowThatShrinks: in an upgrade to a file with a shorter window the old process, which
// serves by the longer one, reads a keyed request and runs it. A later try in the longer
// window must not run.
func windowThatShrinks(r *rig) bool {
	u := r.newSeries()
	const longer, shorter = 30_000, 6_000
	next := longer
	if r.trouble {
		next = shorter
	}
	old := u.start("old", u.files(longer, false))
	c, err := r.dial(u.listen)
	r.must(err)
	mustBeServed(c.ask(frameRequest{kind: "read-note", body: "a note", timeout: 4 * time.Second})) // the connection is the old process's
	u.start("new", u.files(next, false))
	time.Sleep(500 * time.Millisecond)
	a, ts := c.ask(archiveRequest)
	mustBeServed(a, ts)
	c.conn.Close()
	u.leave(old)
	time.Sleep(time.Until(time.UnixMilli(ts).Add(8 * time.Second)))
	r.askFrames(u.listen, archiveRequest)
	return u.runs(archiveRequest.body) > 1
}

// windowThatShrinksAtARestart: a process is killed, and the next one is started with a
// shorter window. A later try in the longer one must not run.
func windowThatShrinksAtARestart(r *rig) bool {
	u := r.newSeries()
	const longer, shorter = 30_000, 6_000
	next := longer
	if r.trouble {
		next = shorter
	}
	s := u.start("first", u.files(longer, false))
	a, ts := r.askFrames(u.listen, archiveRequest)
	mustBeServed(a, ts)
	s.kill()
	u.start("second", u.files(next, false))
	time.Sleep(time.Until(time.UnixMilli(ts).Add(20 * time.Second))) // the longest window of the platform's file is 15.8 s
	r.askFrames(u.listen, archiveRequest)
	return u.runs(archiveRequest.body) > 1
}

// doubtThatEndsInAnUpgrade: a process without kept keys is killed, the next one keeps keys
// and is in doubt for a window. An upgrade in that time must not end the doubt.
func doubtThatEndsInAnUpgrade(r *rig) bool {
	u := r.newSeries()
	s := u.start("first", u.files(60_000, false))
	mustBeServed(r.askFrames(u.listen, archiveRequest))
	s.kill()
	s = u.start("second", u.files(60_000, true))
	time.Sleep(time.Second)
	r.askFrames(u.listen, archiveRequest) // fails: it is in doubt
	if r.trouble {
		u.upgrade(s, "third", u.files(60_000, true))
	}
	time.Sleep(time.Second)
	r.askFrames(u.listen, archiveRequest)
	return u.runs(archiveRequest.body) > 1
}
