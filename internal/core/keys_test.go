package core

import (
	"testing"

	"pgregory.net/rapid"

	"kiteslip"
)

// pair is two Cores that are one server, and what is on its way between them.
type pair struct {
	books [2]*book // the old process and the new one
	way   [2][]func(to *Core)
	cut   bool
}

// wire is one side's way to the other.
type wire struct {
	p    *pair
	from int
}

func (w wire) put(f func(to *Core)) { w.p.way[w.from] = append(w.p.way[w.from], f) }
func (w wire) Claim(id uint32, class int, key string, arrived int64, sum uint64) {
	w.put(func(to *Core) { to.Claimed(id, class, key, arrived, sum) })
}
func (w wire) Grant(id uint32) {
	w.put(func(to *Core) { to.Granted(w.p.books[1-w.from].now, id) })
}
func (w wire) Deny(id uint32, outcome kiteslip.Outcome, result []byte) {
	w.put(func(to *Core) { to.Denied(id, outcome, result) })
}
func (w wire) RunEnded(class int, key string, arrived int64, outcome kiteslip.Outcome, result []byte) {
	w.put(func(to *Core) { to.PeerRunEnded(class, key, arrived, outcome, result) })
}

// newPair returns an old process that owns the keys and a new one that does not yet.
func newPair(t failer) *pair {
	p := &pair{books: [2]*book{newBook(t), newBook(t)}}
	p.books[1].lastRun = p.books[0].lastRun // the rule on keys is that of one server
	p.books[1].core.ReleaseKeys(nil)
	return p
}

// hand passes the keys from the old process to the new one, message by message.
func (p *pair) hand() {
	old := p.books[0].core
	doubt := old.ReleaseKeys(wire{p, 0})
	for r := range old.Records {
		wire{p, 0}.put(func(to *Core) { to.ImportRecord(r) })
	}
	wire{p, 0}.put(func(to *Core) { to.AcquireKeys(doubt); to.SetPeer(wire{p, 1}) })
}

// deliver lets the next message of one side arrive.
func (p *pair) deliver(from int) {
	if len(p.way[from]) > 0 {
		f := p.way[from][0]
		p.way[from] = p.way[from][1:]
		f(p.books[1-from].core)
	}
}

func (p *pair) pass(span int64) {
	for _, b := range p.books {
		b.pass(span)
	}
}

// Whatever reaches either of two processes in whatever order, and whichever of
// them dies at whatever point of the handover, a key runs once in its window,
// there is never more than one owner, and every request is answered in time.
func TestTwoProcessesRunAKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(t)
		handed := false
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				b := p.books[rapid.IntRange(0, 1).Draw(t, "side")]
				class := rapid.IntRange(0, 1).Draw(t, "class")
				key := ""
				if class == 1 {
					key = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				}
				b.arrive(class, key, rapid.Int64Range(0, 300_000).Draw(t, "late"), rapid.Int64Range(0, 1_500_000).Draw(t, "patience"))
			},
			"hand": func(t *rapid.T) {
				if !handed && !p.cut {
					handed = true
					p.hand()
				}
			},
			"deliver": func(t *rapid.T) {
				from := rapid.IntRange(0, 1).Draw(t, "from")
				for range rapid.IntRange(1, 9).Draw(t, "messages") {
					p.deliver(from)
				}
			},
			"finish": func(t *rapid.T) {
				b := p.books[rapid.IntRange(0, 1).Draw(t, "side")]
				if len(b.running) > 0 {
					b.finish(rapid.IntRange(0, len(b.running)-1).Draw(t, "run"), rapid.SampledFrom([]kiteslip.Outcome{
						kiteslip.OK, kiteslip.OK, kiteslip.Failed, kiteslip.NotStarted}).Draw(t, "outcome"))
				}
			},
			"cut": func(t *rapid.T) { // messages under way are lost; the one that dies says nothing more
				if p.cut || !handed || rapid.IntRange(0, 3).Draw(t, "rare") > 0 {
					return
				}
				p.cut = true
				dead := rapid.IntRange(0, 1).Draw(t, "dies")
				p.way = [2][]func(*Core){}
				for i, b := range p.books {
					b.core.PeerLost()
					if i == dead {
						b.core.ReleaseKeys(nil) // it runs nothing any more
						continue
					}
					if !b.core.OwnsKeys() {
						b.core.AcquireKeys(b.now + b.core.MaxWindow())
					}
				}
			},
			"pass": func(t *rapid.T) { p.pass(rapid.Int64Range(1, 400_000).Draw(t, "span")) },
			"": func(t *rapid.T) {
				if p.books[0].core.OwnsKeys() && p.books[1].core.OwnsKeys() {
					t.Fatal("two owners")
				}
			},
		})
		for i, b := range p.books {
			if b.core.Outstanding() < 0 {
				t.Fatalf("side %d owes %d", i, b.core.Outstanding())
			}
		}
		p.pass(2_000_000)
	})
}

// A try at the new process takes the result of a run that the old one began,
// whether that ends before or after, and a try at the old one that of the new.
func TestResultsPassBetweenProcesses(t *testing.T) {
	p := newPair(t)
	old, young := p.books[0], p.books[1]
	done, under := old.arrive(1, "done", 0, 1_000_000), old.arrive(1, "under", 0, 1_000_000)
	old.pass(5_000)
	old.finish(0, kiteslip.OK)
	p.hand()
	for range 9 {
		p.deliver(0)
	}
	if !young.core.OwnsKeys() || old.core.OwnsKeys() {
		t.Fatal("the keys are not handed over")
	}
	a, b := young.arrive(1, "done", 0, 1_000_000), young.arrive(1, "under", 0, 1_000_000)
	fresh := young.arrive(1, "fresh", 0, 1_000_000)
	young.pass(5_000)
	c := old.arrive(1, "fresh", 0, 1_000_000)
	old.pass(5_000)
	p.deliver(0) // the claim
	old.finish(0, kiteslip.OK)
	p.deliver(0)
	young.finish(0, kiteslip.OK)
	p.deliver(1)
	p.pass(5_000)
	for _, r := range []*Request{done, under, c} {
		if got := old.answers[r]; len(got) != 1 || got[0].Code != Served {
			t.Errorf("%s at the old process: %+v", r.Key, got)
		}
	}
	for _, r := range []*Request{a, b, fresh} {
		if got := young.answers[r]; len(got) != 1 || got[0].Code != Served {
			t.Errorf("%s at the new process: %+v", r.Key, got)
		}
	}
	if old.ran[c] || young.ran[a] || young.ran[b] {
		t.Error("a key ran twice")
	}
	if x := young.core.Counts(); x.Served != 3 || x.Received != 3 {
		t.Errorf("the new process counts %+v", x)
	}
}

// Without an owner to ask, and in doubt, a keyed request fails: it is neither
// run nor refused. Other requests run, and a known result is served.
func TestDoubtRunsNothing(t *testing.T) {
	p := newPair(t)
	old := p.books[0]
	known := old.arrive(1, "known", 0, 1_000_000)
	old.pass(5_000)
	old.finish(0, kiteslip.OK)
	p.hand()
	old.core.PeerLost()
	old.core.AcquireKeys(old.now + old.core.MaxWindow())
	again, other, read := old.arrive(1, "known", 0, 1_000_000), old.arrive(1, "other", 0, 1_000_000), old.arrive(0, "", 0, 1_000_000)
	old.pass(5_000)
	old.finish(0, kiteslip.OK)
	for r, want := range map[*Request]Code{known: Served, again: Served, other: Failed, read: Served} {
		if got := old.answers[r]; len(got) != 1 || got[0].Code != want {
			t.Errorf("%s %s: %+v, want code %d", r.TryID, r.Key, got, want)
		}
	}
	old.pass(old.core.MaxWindow() + 1_000_000)
	if late := old.arrive(1, "other", 0, 1_000_000); true {
		old.pass(5_000)
		if !old.ran[late] {
			t.Error("the doubt does not end")
		}
	}
}

// An owner that says nothing costs the requests that wait for it, and nobody else.
func TestSilentOwner(t *testing.T) {
	p := newPair(t)
	old := p.books[0]
	p.hand()
	var asked []*Request
	for range 8 {
		asked = append(asked, old.arrive(1, string(rune('a'+len(asked))), 0, 400_000))
	}
	old.pass(500_000)
	for _, r := range asked {
		if got := old.answers[r]; len(got) != 1 || got[0].Code == Served || old.ran[r] {
			t.Errorf("%s: %+v", r.Key, got)
		}
	}
	read := old.arrive(0, "", 0, 1_000_000)
	old.pass(5_000)
	if !old.ran[read] {
		t.Error("requests that nobody answers for hold the places of others")
	}
	for range 9 { // the owner comes back to life
		p.deliver(0)
	}
	for range 9 {
		p.deliver(1)
	}
	old.pass(5_000)
	for _, r := range asked {
		if old.ran[r] {
			t.Errorf("%s runs though it was answered", r.Key)
		}
	}
}

// A key that comes with two bodies to two processes serves neither with the
// result of the other.
func TestBodiesOfOneKeyAcrossProcesses(t *testing.T) {
	p := newPair(t)
	old, young := p.books[0], p.books[1]
	p.hand()
	p.deliver(0)
	send := func(b *book, body string) *Request {
		r := &Request{TryID: body, Class: 1, Key: "k", Arrived: b.now, Deadline: b.now + 1_000_000, SizeKB: 20, Body: []byte(body)}
		r.ReplyTo = caller{b, r}
		if err := b.core.Submit(b.now, r); err != nil {
			t.Fatal(err)
		}
		b.sent = append(b.sent, r)
		return r
	}
	for range 2 { // the cores of the new process are in use
		young.arrive(0, "", 0, 1_000_000)
	}
	young.pass(5_000)
	mine, theirs := send(young, "mine"), send(old, "theirs")
	young.core.Step(young.now)
	old.pass(5_000)
	p.deliver(0) // the claim comes while the other is held
	p.deliver(1)
	for len(young.running) > 0 {
		r := young.running[0]
		young.running = young.running[1:]
		young.core.Done(r, kiteslip.OK, 1000, []byte("of "+map[bool]string{true: r.Key, false: r.TryID}[r.Key != ""]))
		young.pass(5_000)
	}
	old.pass(5_000)
	if got := old.answers[theirs]; len(got) != 1 || got[0].Code != Failed || old.ran[theirs] {
		t.Errorf("the other body: %+v", got)
	}
	if !young.ran[mine] {
		t.Error("the body that was held first did not run")
	}
	head, r := &Request{sum: 1, phase: ended, outcome: kiteslip.OK, result: []byte("of another")}, send(young, "mine")
	r.sum = 2
	young.core.copyOf(r, head)
	if got := young.answers[r]; len(got) != 1 || got[0].Code != Failed {
		t.Errorf("a run let start meanwhile with another body: %+v", got)
	}
}
