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

// peer is a model of the engine's side and of what the server must see.
type peer struct {
	t       interface{ Fatalf(string, ...any) }
	link    *Link
	now     int64
	up      bool
	unread  []string        // commands under way to the engine
	pending []byte          // bytes under way to the server
	notices []string        // all so far
	live    map[string]bool // runs under way
	started map[string]int
	ended   map[string]bool // Done was called
	sent    []*core.Request
	stands  map[string]int  // at a call, by the number of its notice
	needed  map[string]bool // it has called once
	fed     map[string]int  // replies that the engine took
	asked   []*core.Request // calls whose reply is still to be given
	paused  map[string]bool
	strays  []string
	spoilt  int // notices that cannot be read, each of which ends one link
}

func (p *peer) Hello(bool, int64)   {}
func (p *peer) Stats([]float32)     {}
func (p *peer) Tested(string, bool) {}
func (p *peer) Done(r *core.Request, outcome kiteslip.Outcome, _ int64, result []byte) {
	if p.ended[r.TryID] {
		p.t.Fatalf("%s ends twice", r.TryID)
	}
	p.ended[r.TryID] = true
	if outcome == kiteslip.OK && string(result) != "r\r\n"+r.TryID {
		p.t.Fatalf("%s ends with %q", r.TryID, result)
	}
}

func (p *peer) UnexpectedNotice(cause, _ string) { p.strays = append(p.strays, cause) }

func (p *peer) NeedsCall(r *core.Request, _ uint64, body []byte) {
	if string(body) != "need\r\nof "+r.TryID {
		p.t.Fatalf("%s needs %q", r.TryID, body)
	}
	p.asked = append(p.asked, r)
}

// need lets a run stand at a call.
func (p *peer) need(id string) {
	p.stands[id], p.needed[id] = len(p.notices)+1, true
	p.notices = append(p.notices, fmt.Sprintf("NEED %d %s %d\r\nneed\r\nof %s\r\n", len(p.notices)+1, id, 9+len(id), id))
	p.tell(p.notices[len(p.notices)-1])
}

// reply gives the reply to the call that was asked for first.
func (p *peer) reply(skip bool) {
	r := p.asked[0]
	p.asked = p.asked[1:]
	if skip {
		p.link.Skip(r, uint64(p.stands[r.TryID]))
	} else {
		p.link.Reply(r, []byte("re\r\n"+r.TryID))
	}
}

func (p *peer) send(parts ...[]byte) {
	var b strings.Builder
	for _, part := range parts {
		b.Write(part)
	}
	p.unread = append(p.unread, b.String())
}

// tell sends a notice over the link, if there is one.
func (p *peer) tell(s string) {
	if p.up {
		p.pending = append(p.pending, s...)
	}
}

// read lets the engine take its next command.
func (p *peer) read() {
	command := p.unread[0]
	p.unread = p.unread[1:]
	words := strings.Fields(command)
	switch words[0] {
	case "ATTACH":
		n := 0
		fmt.Sscan(words[1], &n) //nolint:errcheck // 0 then
		p.tell("HELLO hot 10\r\n")
		for _, notice := range p.notices[n:] {
			p.tell(notice)
		}
	case "STAT":
		p.tell("STATS " + words[1] + " 0.5 1 0 0\r\n")
	case "RUN":
		if !strings.HasSuffix(command, " 4\r\nbody\r\n") {
			p.t.Fatalf("command %q", command)
		}
		if id := words[1]; !p.live[id] {
			p.live[id] = true
			p.started[id]++
		}
	case "FEED":
		if id := words[1]; p.stands[id] != 0 {
			if command != fmt.Sprintf("FEED %s %d\r\nre\r\n%s\r\n", id, 4+len(id), id) {
				p.t.Fatalf("command %q", command)
			}
			delete(p.stands, id)
			p.fed[id]++
		}
	case "SKIP":
		if id := words[1]; fmt.Sprint(p.stands[id]) == words[2] {
			delete(p.stands, id)
			p.fed[id]++
		}
	case "HALT":
		if id := words[1]; p.live[id] && p.stands[id] == 0 && !p.paused[id] {
			p.paused[id] = true
			p.notices = append(p.notices, fmt.Sprintf("DONE %d %s cancelled 5 0\r\n\r\n", len(p.notices)+1, id))
			p.tell(p.notices[len(p.notices)-1])
		}
	case "RESUME":
		delete(p.paused, words[1])
	}
}

func (p *peer) deliver(n int) {
	used, err := p.link.Feed(p.pending[:n])
	switch {
	case err != nil && p.spoilt == 0:
		p.t.Fatalf("%v", err)
	case err != nil: // the server ends a link that brings what cannot be read
		p.spoilt--
		p.cut()
	default:
		p.pending = p.pending[used:]
	}
}

// cut ends the link, with all that is under way on it.
func (p *peer) cut() {
	p.up, p.unread, p.pending = false, nil, nil
	p.link.ConnectionLost()
}

// spoil ends a run with a notice that cannot be read but for its number.
func (p *peer) spoil(id string) {
	delete(p.live, id)
	p.spoilt++
	p.notices = append(p.notices, fmt.Sprintf("DONE %d %s complete 12.5 99999999\r\n", len(p.notices)+1, id))
	p.tell(p.notices[len(p.notices)-1])
}

func (p *peer) attach() {
	p.up = true
	p.link.Attach(p.send)
}

// settle brings all under way to its end, with the link up.
func (p *peer) settle() {
	for n := 0; !p.up || len(p.unread) > 0 || len(p.pending) > 0 || len(p.live) > len(p.paused) || len(p.asked) > 0; n++ {
		if n > 10_000 {
			p.t.Fatalf("it does not settle: runs %v, at calls %v", p.live, p.stands)
		}
		if !p.up {
			p.attach()
		}
		for len(p.unread) > 0 {
			p.read()
		}
		p.deliver(len(p.pending))
		for len(p.asked) > 0 {
			p.reply(false)
		}
		for id := range p.live {
			if p.stands[id] == 0 && !p.paused[id] {
				p.end(id)
			}
		}
	}
}

func (p *peer) end(id string) {
	delete(p.live, id)
	p.notices = append(p.notices, fmt.Sprintf("DONE %d %s complete 12.5 %d\r\nr\r\n%s\r\n", len(p.notices)+1, id, 3+len(id), id))
	p.tell(p.notices[len(p.notices)-1])
}

func newPeer(t interface{ Fatalf(string, ...any) }) *peer {
	p := &peer{t: t, now: 1, live: map[string]bool{}, started: map[string]int{}, ended: map[string]bool{},
		stands: map[string]int{}, needed: map[string]bool{}, fed: map[string]int{}, paused: map[string]bool{}}
	p.link = NewLink(p, func() int64 { return p.now })
	p.link.SetClasses([]string{"safe", "keyed"}, []bool{true, false})
	return p
}

const shortest = 50_000 // no run of the model ends before this

func TestLinkAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPeer(t)
		began := map[string]int64{}
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				r := &core.Request{TryID: fmt.Sprint("id", len(p.sent)), Class: rapid.IntRange(0, 1).Draw(t, "class"),
					Body: []byte("body"), ExpectedWork: shortest * quickest, Deadline: p.now + 1_000_000}
				p.sent = append(p.sent, r)
				p.link.Run(r)
			},
			"read": func(t *rapid.T) {
				if len(p.unread) > 0 {
					p.read()
				}
				for id := range p.live {
					if began[id] == 0 {
						began[id] = p.now
					}
				}
			},
			"end": func(t *rapid.T) {
				for _, r := range p.sent {
					if p.live[r.TryID] && p.stands[r.TryID] == 0 && p.now-began[r.TryID] >= shortest {
						p.end(r.TryID)
						return
					}
				}
			},
			"spoil": func(t *rapid.T) {
				for _, r := range p.sent {
					if p.live[r.TryID] && p.stands[r.TryID] == 0 && p.now-began[r.TryID] >= shortest {
						p.spoil(r.TryID)
						return
					}
				}
			},
			"need": func(t *rapid.T) {
				for _, r := range p.sent {
					if p.live[r.TryID] && !p.needed[r.TryID] {
						p.need(r.TryID)
						return
					}
				}
			},
			"reply": func(t *rapid.T) {
				if len(p.asked) > 0 {
					p.reply(rapid.Bool().Draw(t, "skip"))
				}
			},
			"deliver": func(t *rapid.T) { p.deliver(rapid.IntRange(0, len(p.pending)).Draw(t, "bytes")) },
			"pass":    func(t *rapid.T) { p.now += rapid.Int64Range(1, 60_000).Draw(t, "span") },
			"cut": func(t *rapid.T) {
				if p.up {
					p.cut()
				}
			},
			"attach": func(t *rapid.T) {
				if !p.up {
					p.attach()
				}
			},
		})
		p.settle()
		p.now += 100_000_000
		p.link.Expire()
		if p.spoilt != 0 {
			t.Fatalf("%d spoilt notices ended no link, or more than one", p.spoilt)
		}
		for _, r := range p.sent {
			if r.Class == 1 && p.started[r.TryID] > 1 {
				t.Fatalf("keyed %s is started %d times", r.TryID, p.started[r.TryID])
			}
			if !p.ended[r.TryID] {
				t.Fatalf("%s never ends", r.TryID)
			}
			if p.needed[r.TryID] && p.started[r.TryID] == 1 && p.fed[r.TryID] != 1 {
				t.Fatalf("%s goes on %d times from its call", r.TryID, p.fed[r.TryID])
			}
		}
		if p.link.Running() != 0 {
			t.Fatalf("%d runs are left", p.link.Running())
		}
	})
}

// The narrow case: a keyed run ends just after the engine has answered the
// fence, so that its notice is still under way when the server decides.
func TestKeyedRunIsNotRepeated(t *testing.T) {
	for _, c := range []struct {
		name  string
		read  bool  // the engine had read the command
		age   int64 // of the run when the server decides
		again bool
	}{{"read long ago", true, shortest, false}, {"never read, long ago", false, shortest, false}, {"never read, just now", false, shortest - 2, true}} {
		p := newPeer(t)
		p.attach()
		p.settle()
		r := &core.Request{TryID: "k", Class: 1, Body: []byte("body"), ExpectedWork: shortest * quickest, Deadline: 1_000_000}
		p.link.Run(r)
		if c.read {
			p.read()
		}
		p.up, p.unread = false, nil
		p.link.ConnectionLost()
		p.attach()
		p.read()
		p.deliver(len(p.pending))
		p.read() // the fence
		p.now += c.age
		answer := len(p.pending)
		if c.read {
			p.end("k")
		}
		p.deliver(answer)
		if again := len(p.unread) > 0; again != c.again {
			t.Errorf("%s: written again: %v", c.name, again)
		}
		p.settle()
		p.now += 100_000_000
		p.link.Expire()
		if p.started["k"] > 1 || !p.ended["k"] {
			t.Errorf("%s: started %d times, ended %v", c.name, p.started["k"], p.ended["k"])
		}
	}
}

// A run that the engine has read long before its link broke is waited for even
// past its due time; one that may be lost gives its place back when it is due.
func TestDoubtEnds(t *testing.T) {
	for _, sure := range []bool{true, false} {
		p := newPeer(t)
		p.attach()
		p.settle()
		r := &core.Request{TryID: "k", Class: 1, Body: []byte("body"), ExpectedWork: 1000, Deadline: 1_000_000}
		p.link.Run(r)
		p.read()
		if sure {
			p.now += 1000
			p.link.RequestStats()
			p.read()
			p.deliver(len(p.pending))
			p.now += 2 * lossSpan
		}
		p.up, p.unread = false, nil
		p.link.ConnectionLost()
		p.attach()
		p.now += 10_000
		p.read()
		p.deliver(len(p.pending))
		p.read()
		p.deliver(len(p.pending))
		p.now = r.Deadline + 1
		p.link.Expire()
		if p.ended["k"] == sure {
			t.Errorf("read for sure %v: given up %v", sure, p.ended["k"])
		}
		p.settle()
		if p.started["k"] != 1 || !p.ended["k"] {
			t.Errorf("read for sure %v: started %d times, ended %v", sure, p.started["k"], p.ended["k"])
		}
	}
}

// A link that breaks between a call and its reply, or between a stop and what
// follows it: what may have been lost is said again, what surely arrived is not.
func TestLinkLostAtACall(t *testing.T) {
	for _, c := range []struct {
		name  string
		say   func(p *peer, r *core.Request)
		kind  string
		read  bool // the engine had read it
		sure  bool // ... and has shown so
		again bool
	}{
		{"reply lost", func(p *peer, _ *core.Request) { p.reply(false) }, "FEED", false, false, true},
		{"reply read, not known", func(p *peer, _ *core.Request) { p.reply(false) }, "FEED", true, false, true},
		{"reply read for sure", func(p *peer, _ *core.Request) { p.reply(false) }, "FEED", true, true, false},
		{"skip lost", func(p *peer, _ *core.Request) { p.reply(true) }, "SKIP", false, false, true},
		{"halt lost", func(p *peer, r *core.Request) { p.link.Halt(r) }, "HALT", false, false, true},
		{"halt read for sure", func(p *peer, r *core.Request) { p.link.Halt(r) }, "HALT", true, true, false},
	} {
		p := newPeer(t)
		p.attach()
		p.settle()
		r := &core.Request{TryID: "k", Class: 1, Body: []byte("body"), Deadline: 10_000_000}
		p.link.Run(r)
		p.read()
		if c.kind != "HALT" {
			p.need("k")
			p.deliver(len(p.pending))
		}
		p.now += 2 * lossSpan
		c.say(p, r)
		if c.read {
			p.read()
		}
		if c.sure {
			p.now++
			p.link.RequestStats()
			p.read()
			p.deliver(len(p.pending))
			p.now += 2 * lossSpan
		}
		p.up, p.unread, p.pending = false, nil, nil
		p.link.ConnectionLost()
		p.attach()
		for len(p.unread) > 0 && strings.HasPrefix(p.unread[0], "ATTACH") || len(p.unread) > 0 && strings.HasPrefix(p.unread[0], "STAT") {
			p.read()
			p.deliver(len(p.pending))
		}
		again := len(p.unread) > 0 && strings.HasPrefix(p.unread[0], c.kind)
		if again != c.again {
			t.Errorf("%s: said again %v, want %v (%q)", c.name, again, c.again, p.unread)
		}
		if c.kind != "HALT" {
			if p.settle(); p.fed["k"] != 1 || p.started["k"] != 1 || !p.ended["k"] {
				t.Errorf("%s: went on %d times, started %d, ended %v", c.name, p.fed["k"], p.started["k"], p.ended["k"])
			}
		}
	}
}

// What goes on after a stop is not begun: RESUME is said, also again where it may be lost.
func TestResumed(t *testing.T) {
	p := newPeer(t)
	p.attach()
	p.settle()
	r := &core.Request{TryID: "k", Class: 0, Body: []byte("body"), Deadline: 10_000_000}
	p.link.Run(r)
	p.read()
	p.link.Halt(r)
	p.read()
	p.deliver(len(p.pending))
	delete(p.ended, "k") // it was stopped, not over
	p.link.Resume(r)
	p.up, p.unread = false, nil
	p.link.ConnectionLost()
	p.settle()
	if p.started["k"] != 1 || !p.ended["k"] || len(p.paused) != 0 {
		t.Errorf("started %d times, ended %v, paused %v", p.started["k"], p.ended["k"], p.paused)
	}
}

func TestBadNotices(t *testing.T) {
	for _, text := range []string{"\r\n", "WHAT\r\n", "DONE 1 x complete 1\r\n", "DONE 1 x complete 1 -1\r\n\r\n",
		"DONE 1 x complete 1 99999999\r\n", "DONE 1 x gone 1 0\r\n\r\n", "DONE 1 x complete 1 1\r\nabc", "HELLO hot\r\n",
		"NOTE x y\r\n", "TESTED t\r\n", "NEED 1 x\r\n", "NEED 1 x -1\r\n\r\n", "NEED 1 x 99999999\r\n", "NEED 1 x 1\r\nabc", strings.Repeat("x", 5000)} {
		l := NewLink(&peer{}, func() int64 { return 1 })
		l.Attach(func(...[]byte) {})
		if _, err := l.Feed([]byte(text)); !errors.Is(err, ErrProtocol) {
			t.Errorf("%.40q: %v", text, err)
		}
	}
}
