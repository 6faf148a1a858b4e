package engine

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"kiteslip"
	"kiteslip/internal/core"
)

// fakeEngine is a model of the engine that checks what the Link reports.
type fakeEngine struct {
	t             interface{ Fatalf(string, ...any) }
	link          *Link
	now           int64
	up            bool
	commands      []string        // commands in transit to the engine
	toServer      []byte          // bytes in transit to the server
	notices       []string        // all so far
	running       map[string]bool // runs in progress
	started       map[string]int
	ended         map[string]bool // Done was called
	sent          []*core.Request
	pendingCalls  map[string]int  // runs that wait for a call, with the number of the notice
	called        map[string]bool // runs that have made a call
	continued     map[string]int  // replies and skips that the engine accepted
	awaitingReply []*core.Request // runs whose call awaits a reply
	paused        map[string]bool
	unexpected    []string
	malformed     int // malformed notices sent, each of which ends one connection
}

func (e *fakeEngine) Hello(bool, int64)   {}
func (e *fakeEngine) Stats([]float32)     {}
func (e *fakeEngine) Tested(string, bool) {}
func (e *fakeEngine) Done(r *core.Request, outcome kiteslip.Outcome, _ int64, result []byte) {
	if e.ended[r.TryID] {
		e.t.Fatalf("%s ends twice", r.TryID)
	}
	e.ended[r.TryID] = true
	if outcome == kiteslip.OK && string(result) != "r\r\n"+r.TryID {
		e.t.Fatalf("%s ends with the result %q", r.TryID, result)
	}
}

func (e *fakeEngine) UnexpectedNotice(cause, _ string) { e.unexpected = append(e.unexpected, cause) }

func (e *fakeEngine) NeedsCall(r *core.Request, _ uint64, body []byte) {
	if string(body) != "need\r\nof "+r.TryID {
		e.t.Fatalf("%s calls with body %q", r.TryID, body)
	}
	e.awaitingReply = append(e.awaitingReply, r)
}

// needCall makes a run wait for a downstream call.
func (e *fakeEngine) needCall(id string) {
	e.pendingCalls[id], e.called[id] = len(e.notices)+1, true
	e.notices = append(e.notices, fmt.Sprintf("NEED %d %s %d\r\nneed\r\nof %s\r\n", len(e.notices)+1, id, 9+len(id), id))
	e.notify(e.notices[len(e.notices)-1])
}

// reply answers or skips the oldest open call.
func (e *fakeEngine) reply(skip bool) {
	r := e.awaitingReply[0]
	e.awaitingReply = e.awaitingReply[1:]
	if skip {
		e.link.Skip(r, uint64(e.pendingCalls[r.TryID]))
	} else {
		e.link.Reply(r, []byte("re\r\n"+r.TryID))
	}
}

func (e *fakeEngine) send(parts ...[]byte) {
	var b strings.Builder
	for _, part := range parts {
		b.Write(part)
	}
	e.commands = append(e.commands, b.String())
}

// notify sends a notice if the server is connected.
func (e *fakeEngine) notify(s string) {
	if e.up {
		e.toServer = append(e.toServer, s...)
	}
}

// readCommand lets the engine process its next command.
func (e *fakeEngine) readCommand() {
	command := e.commands[0]
	e.commands = e.commands[1:]
	words := strings.Fields(command)
	switch words[0] {
	case "ATTACH":
		n := 0
		fmt.Sscan(words[1], &n) //nolint:errcheck // 0 then
		e.notify("HELLO hot 10\r\n")
		for _, notice := range e.notices[n:] {
			e.notify(notice)
		}
	case "STAT":
		e.notify("STATS " + words[1] + " 0.5 1 0 0\r\n")
	case "RUN":
		if !strings.HasSuffix(command, " 4\r\nbody\r\n") {
			e.t.Fatalf("command %q", command)
		}
		if id := words[1]; !e.running[id] {
			e.running[id] = true
			e.started[id]++
		}
	case "FEED":
		if id := words[1]; e.pendingCalls[id] != 0 {
			if command != fmt.Sprintf("FEED %s %d\r\nre\r\n%s\r\n", id, 4+len(id), id) {
				e.t.Fatalf("command %q", command)
			}
			delete(e.pendingCalls, id)
			e.continued[id]++
		}
	case "SKIP":
		if id := words[1]; fmt.Sprint(e.pendingCalls[id]) == words[2] {
			delete(e.pendingCalls, id)
			e.continued[id]++
		}
	case "HALT":
		if id := words[1]; e.running[id] && e.pendingCalls[id] == 0 && !e.paused[id] {
			e.paused[id] = true
			e.notices = append(e.notices, fmt.Sprintf("DONE %d %s cancelled 5 0\r\n\r\n", len(e.notices)+1, id))
			e.notify(e.notices[len(e.notices)-1])
		}
	case "RESUME":
		delete(e.paused, words[1])
	}
}

func (e *fakeEngine) deliver(n int) {
	used, err := e.link.Feed(e.toServer[:n])
	switch {
	case err != nil && e.malformed == 0:
		e.t.Fatalf("%v", err)
	case err != nil: // the server closes a connection that sends malformed notices
		e.malformed--
		e.disconnect()
	default:
		e.toServer = e.toServer[used:]
	}
}

// disconnect ends the connection and loses everything in transit on it.
func (e *fakeEngine) disconnect() {
	e.up, e.commands, e.toServer = false, nil, nil
	e.link.ConnectionLost()
}

// sendMalformed ends a run with a notice of which only the number is legible.
func (e *fakeEngine) sendMalformed(id string) {
	delete(e.running, id)
	e.malformed++
	e.notices = append(e.notices, fmt.Sprintf("DONE %d %s complete 12.5 99999999\r\n", len(e.notices)+1, id))
	e.notify(e.notices[len(e.notices)-1])
}

func (e *fakeEngine) attach() {
	e.up = true
	e.link.Attach(e.send)
}

// runToEnd completes everything in progress, with the connection up.
func (e *fakeEngine) runToEnd() {
	for n := 0; !e.up || len(e.commands) > 0 || len(e.toServer) > 0 || len(e.running) > len(e.paused) || len(e.awaitingReply) > 0; n++ {
		if n > 10_000 {
			e.t.Fatalf("runs do not end: running %v, pending calls %v", e.running, e.pendingCalls)
		}
		if !e.up {
			e.attach()
		}
		for len(e.commands) > 0 {
			e.readCommand()
		}
		e.deliver(len(e.toServer))
		for len(e.awaitingReply) > 0 {
			e.reply(false)
		}
		for id := range e.running {
			if e.pendingCalls[id] == 0 && !e.paused[id] {
				e.end(id)
			}
		}
	}
}

func (e *fakeEngine) end(id string) {
	delete(e.running, id)
	e.notices = append(e.notices, fmt.Sprintf("DONE %d %s complete 12.5 %d\r\nr\r\n%s\r\n", len(e.notices)+1, id, 3+len(id), id))
	e.notify(e.notices[len(e.notices)-1])
}

func newFakeEngine(t interface{ Fatalf(string, ...any) }) *fakeEngine {
	e := &fakeEngine{t: t, now: 1, running: map[string]bool{}, started: map[string]int{}, ended: map[string]bool{},
		pendingCalls: map[string]int{}, called: map[string]bool{}, continued: map[string]int{}, paused: map[string]bool{}}
	e.link = NewLink(e, func() int64 { return e.now })
	e.link.SetClasses([]string{"safe", "keyed"}, []bool{true, false})
	return e
}

const minRunUS = 50_000 // no run of the model is shorter

func TestLinkAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newFakeEngine(t)
		began := map[string]int64{}
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				r := &core.Request{TryID: fmt.Sprint("id", len(e.sent)), Class: rapid.IntRange(0, 1).Draw(t, "class"),
					Body: []byte("body"), ExpectedWork: minRunUS * minRunDivisor, Deadline: e.now + 1_000_000}
				e.sent = append(e.sent, r)
				e.link.Run(r)
			},
			"read": func(t *rapid.T) {
				if len(e.commands) > 0 {
					e.readCommand()
				}
				for id := range e.running {
					if began[id] == 0 {
						began[id] = e.now
					}
				}
			},
			"end": func(t *rapid.T) {
				for _, r := range e.sent {
					if e.running[r.TryID] && e.pendingCalls[r.TryID] == 0 && e.now-began[r.TryID] >= minRunUS {
						e.end(r.TryID)
						return
					}
				}
			},
			"spoil": func(t *rapid.T) {
				for _, r := range e.sent {
					if e.running[r.TryID] && e.pendingCalls[r.TryID] == 0 && e.now-began[r.TryID] >= minRunUS {
						e.sendMalformed(r.TryID)
						return
					}
				}
			},
			"need": func(t *rapid.T) {
				for _, r := range e.sent {
					if e.running[r.TryID] && !e.called[r.TryID] {
						e.needCall(r.TryID)
						return
					}
				}
			},
			"reply": func(t *rapid.T) {
				if len(e.awaitingReply) > 0 {
					e.reply(rapid.Bool().Draw(t, "skip"))
				}
			},
			"deliver": func(t *rapid.T) { e.deliver(rapid.IntRange(0, len(e.toServer)).Draw(t, "bytes")) },
			"pass":    func(t *rapid.T) { e.now += rapid.Int64Range(1, 60_000).Draw(t, "span") },
			"cut": func(t *rapid.T) {
				if e.up {
					e.disconnect()
				}
			},
			"attach": func(t *rapid.T) {
				if !e.up {
					e.attach()
				}
			},
		})
		e.runToEnd()
		e.now += 100_000_000
		e.link.Expire()
		if e.malformed != 0 {
			t.Fatalf("the number of connections ended by malformed notices is off by %d", e.malformed)
		}
		for _, r := range e.sent {
			if r.Class == 1 && e.started[r.TryID] > 1 {
				t.Fatalf("keyed %s is started %d times", r.TryID, e.started[r.TryID])
			}
			if !e.ended[r.TryID] {
				t.Fatalf("%s never ends", r.TryID)
			}
			if e.called[r.TryID] && e.started[r.TryID] == 1 && e.continued[r.TryID] != 1 {
				t.Fatalf("%s continued %d times after its call", r.TryID, e.continued[r.TryID])
			}
		}
		if e.link.Running() != 0 {
			t.Fatalf("%d runs are still listed", e.link.Running())
		}
	})
}

// A keyed run ends just after the engine has answered the fence, so that its
// notice is still in transit when the server decides whether to send RUN again.
func TestKeyedRunNotRestarted(t *testing.T) {
	for _, c := range []struct {
		name  string
		read  bool  // the engine had read the command
		age   int64 // of the run when the server decides
		again bool
	}{{"read long ago", true, minRunUS, false}, {"never read, long ago", false, minRunUS, false}, {"never read, just now", false, minRunUS - 2, true}} {
		e := newFakeEngine(t)
		e.attach()
		e.runToEnd()
		r := &core.Request{TryID: "k", Class: 1, Body: []byte("body"), ExpectedWork: minRunUS * minRunDivisor, Deadline: 1_000_000}
		e.link.Run(r)
		if c.read {
			e.readCommand()
		}
		e.up, e.commands = false, nil
		e.link.ConnectionLost()
		e.attach()
		e.readCommand()
		e.deliver(len(e.toServer))
		e.readCommand() // the fence's STAT
		e.now += c.age
		answer := len(e.toServer)
		if c.read {
			e.end("k")
		}
		e.deliver(answer)
		if again := len(e.commands) > 0; again != c.again {
			t.Errorf("%s: sent again: %v", c.name, again)
		}
		e.runToEnd()
		e.now += 100_000_000
		e.link.Expire()
		if e.started["k"] > 1 || !e.ended["k"] {
			t.Errorf("%s: started %d times, ended %v", c.name, e.started["k"], e.ended["k"])
		}
	}
}

// A run that the engine read well before the connection was lost is waited for
// past its deadline; an uncertain one frees its running slot at its deadline.
func TestUncertainRunExpires(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		e := newFakeEngine(t)
		e.attach()
		e.runToEnd()
		r := &core.Request{TryID: "k", Class: 1, Body: []byte("body"), ExpectedWork: 1000, Deadline: 1_000_000}
		e.link.Run(r)
		e.readCommand()
		if confirmed {
			e.now += 1000
			e.link.RequestStats()
			e.readCommand()
			e.deliver(len(e.toServer))
			e.now += 2 * lossWindowUS
		}
		e.up, e.commands = false, nil
		e.link.ConnectionLost()
		e.attach()
		e.now += 10_000
		e.readCommand()
		e.deliver(len(e.toServer))
		e.readCommand()
		e.deliver(len(e.toServer))
		e.now = r.Deadline + 1
		e.link.Expire()
		if e.ended["k"] == confirmed {
			t.Errorf("confirmed %v: expired %v", confirmed, e.ended["k"])
		}
		e.runToEnd()
		if e.started["k"] != 1 || !e.ended["k"] {
			t.Errorf("confirmed %v: started %d times, ended %v", confirmed, e.started["k"], e.ended["k"])
		}
	}
}

// The connection is lost between a call and its reply, or after a halt: commands
// that may have been lost are sent again, those that certainly arrived are not.
func TestConnectionLostAtCall(t *testing.T) {
	for _, c := range []struct {
		name  string
		say   func(e *fakeEngine, r *core.Request)
		kind  string
		read  bool // the engine had read it
		sure  bool // ... and has answered a later STAT
		again bool
	}{
		{"reply lost", func(e *fakeEngine, _ *core.Request) { e.reply(false) }, "FEED", false, false, true},
		{"reply read, not known", func(e *fakeEngine, _ *core.Request) { e.reply(false) }, "FEED", true, false, true},
		{"reply read for sure", func(e *fakeEngine, _ *core.Request) { e.reply(false) }, "FEED", true, true, false},
		{"skip lost", func(e *fakeEngine, _ *core.Request) { e.reply(true) }, "SKIP", false, false, true},
		{"halt lost", func(e *fakeEngine, r *core.Request) { e.link.Halt(r) }, "HALT", false, false, true},
		{"halt read for sure", func(e *fakeEngine, r *core.Request) { e.link.Halt(r) }, "HALT", true, true, false},
	} {
		e := newFakeEngine(t)
		e.attach()
		e.runToEnd()
		r := &core.Request{TryID: "k", Class: 1, Body: []byte("body"), Deadline: 10_000_000}
		e.link.Run(r)
		e.readCommand()
		if c.kind != "HALT" {
			e.needCall("k")
			e.deliver(len(e.toServer))
		}
		e.now += 2 * lossWindowUS
		c.say(e, r)
		if c.read {
			e.readCommand()
		}
		if c.sure {
			e.now++
			e.link.RequestStats()
			e.readCommand()
			e.deliver(len(e.toServer))
			e.now += 2 * lossWindowUS
		}
		e.up, e.commands, e.toServer = false, nil, nil
		e.link.ConnectionLost()
		e.attach()
		for len(e.commands) > 0 && strings.HasPrefix(e.commands[0], "ATTACH") || len(e.commands) > 0 && strings.HasPrefix(e.commands[0], "STAT") {
			e.readCommand()
			e.deliver(len(e.toServer))
		}
		again := len(e.commands) > 0 && strings.HasPrefix(e.commands[0], c.kind)
		if again != c.again {
			t.Errorf("%s: sent again %v, want %v (%q)", c.name, again, c.again, e.commands)
		}
		if c.kind != "HALT" {
			if e.runToEnd(); e.continued["k"] != 1 || e.started["k"] != 1 || !e.ended["k"] {
				t.Errorf("%s: continued %d times, started %d, ended %v", c.name, e.continued["k"], e.started["k"], e.ended["k"])
			}
		}
	}
}

// A halted run continues with RESUME, not RUN, also where the first RESUME may be lost.
func TestResumedRunNotRestarted(t *testing.T) {
	e := newFakeEngine(t)
	e.attach()
	e.runToEnd()
	r := &core.Request{TryID: "k", Class: 0, Body: []byte("body"), Deadline: 10_000_000}
	e.link.Run(r)
	e.readCommand()
	e.link.Halt(r)
	e.readCommand()
	e.deliver(len(e.toServer))
	delete(e.ended, "k") // it was halted, not ended
	e.link.Resume(r)
	e.up, e.commands = false, nil
	e.link.ConnectionLost()
	e.runToEnd()
	if e.started["k"] != 1 || !e.ended["k"] || len(e.paused) != 0 {
		t.Errorf("started %d times, ended %v, paused %v", e.started["k"], e.ended["k"], e.paused)
	}
}

func TestMalformedNotices(t *testing.T) {
	for _, text := range []string{"\r\n", "WHAT\r\n", "DONE 1 x complete 1\r\n", "DONE 1 x complete 1 -1\r\n\r\n",
		"DONE 1 x complete 1 99999999\r\n", "DONE 1 x gone 1 0\r\n\r\n", "DONE 1 x complete 1 1\r\nabc", "HELLO hot\r\n",
		"NOTE x y\r\n", "TESTED t\r\n", "NEED 1 x\r\n", "NEED 1 x -1\r\n\r\n", "NEED 1 x 99999999\r\n", "NEED 1 x 1\r\nabc", strings.Repeat("x", 5000)} {
		l := NewLink(&fakeEngine{}, func() int64 { return 1 })
		l.Attach(func(...[]byte) {})
		if _, err := l.Feed([]byte(text)); !errors.Is(err, ErrProtocol) {
			t.Errorf("%.40q: %v", text, err)
		}
	}
}
