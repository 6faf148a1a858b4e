package core

import (
	"testing"

	"pgregory.net/rapid"

	"kiteslip"
)

// processPair is two Cores that serve together during an upgrade, and the messages in transit between them.
type processPair struct {
	sides        [2]*harness // predecessor and successor
	inTransit    [2][]func(to *Core)
	disconnected bool
	storeOpening bool  // the successor has received all keys and opens its key store
	inDoubtUntil int64 // sent with the keys
}

// pairPeer sends messages from one side to the other.
type pairPeer struct {
	pair *processPair
	from int
}

func (w pairPeer) send(f func(to *Core)) {
	w.pair.inTransit[w.from] = append(w.pair.inTransit[w.from], f)
}
func (w pairPeer) Claim(id uint32, class int, key string, arrived int64, bodyHash uint64) {
	w.send(func(to *Core) { to.Claimed(id, class, key, arrived, bodyHash) })
}
func (w pairPeer) Grant(id uint32) {
	w.send(func(to *Core) { to.Granted(w.pair.sides[1-w.from].now, id) })
}
func (w pairPeer) Deny(id uint32, outcome kiteslip.Outcome, result []byte) {
	w.send(func(to *Core) { to.Denied(id, outcome, result) })
}
func (w pairPeer) RunEnded(class int, key string, arrived int64, outcome kiteslip.Outcome, result []byte) {
	w.send(func(to *Core) { to.PeerRunEnded(class, key, arrived, outcome, result) })
}

// newPair returns a predecessor that owns the keys and a successor that does not yet.
func newPair(t failer) *processPair {
	p := &processPair{sides: [2]*harness{newHarness(t), newHarness(t)}}
	p.sides[1].lastRun = p.sides[0].lastRun // the two count as one server for keys
	p.sides[1].core.ReleaseKeys(nil)
	return p
}

// handOver sends the keys from the predecessor to the successor, message by message.
func (p *processPair) handOver() {
	predecessor := p.sides[0].core
	inDoubtUntil := predecessor.ReleaseKeys(pairPeer{p, 0})
	for r := range predecessor.Records {
		pairPeer{p, 0}.send(func(to *Core) { to.ImportRecord(r) })
	}
	pairPeer{p, 0}.send(func(to *Core) { to.AcquireKeys(inDoubtUntil); to.SetPeer(pairPeer{p, 1}) })
}

// handOverWithStore sends the keys like handOver, to a successor that then opens a key
// store and owns the keys only after storeOpened.
func (p *processPair) handOverWithStore() {
	predecessor := p.sides[0].core
	p.inDoubtUntil = predecessor.ReleaseKeys(pairPeer{p, 0})
	for r := range predecessor.Records {
		pairPeer{p, 0}.send(func(to *Core) { to.ImportRecord(r) })
	}
	pairPeer{p, 0}.send(func(to *Core) {
		p.storeOpening = true
		to.BeginAcquire(pairPeer{p, 1})
	})
}

// storeOpened ends the opening of the successor's key store, with success or not.
func (p *processPair) storeOpened(ok bool) {
	p.storeOpening = false
	successor := p.sides[1].core
	if !ok {
		successor.AbandonAcquire()
		return
	}
	successor.AcquireKeys(p.inDoubtUntil)
	if !p.disconnected {
		successor.SetPeer(pairPeer{p, 1})
	}
}

// deliver delivers the next message from one side.
func (p *processPair) deliver(from int) {
	if len(p.inTransit[from]) > 0 {
		f := p.inTransit[from][0]
		p.inTransit[from] = p.inTransit[from][1:]
		f(p.sides[1-from].core)
	}
}

func (p *processPair) advance(span int64) {
	for _, h := range p.sides {
		h.advance(span)
	}
}

// Random requests, message order and process death during a handover: a key runs
// once in its window, there is never more than one key owner, and every request is
// answered in time.
func TestTwoProcessesRunKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(t)
		handedOver := false
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				h := p.sides[rapid.IntRange(0, 1).Draw(t, "side")]
				class := rapid.IntRange(0, 1).Draw(t, "class")
				key := ""
				if class == 1 {
					key = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				}
				h.submit(class, key, rapid.Int64Range(0, 300_000).Draw(t, "late"), rapid.Int64Range(0, 1_500_000).Draw(t, "patience"))
			},
			"hand": func(t *rapid.T) {
				if !handedOver && !p.disconnected {
					handedOver = true
					p.handOver()
				}
			},
			"hand with store": func(t *rapid.T) {
				if !handedOver && !p.disconnected {
					handedOver = true
					p.handOverWithStore()
				}
			},
			"store": func(t *rapid.T) {
				if p.storeOpening {
					p.storeOpened(rapid.IntRange(0, 3).Draw(t, "fails") > 0)
				}
			},
			"deliver": func(t *rapid.T) {
				from := rapid.IntRange(0, 1).Draw(t, "from")
				for range rapid.IntRange(1, 9).Draw(t, "messages") {
					p.deliver(from)
				}
			},
			"finish": func(t *rapid.T) {
				h := p.sides[rapid.IntRange(0, 1).Draw(t, "side")]
				if len(h.running) > 0 {
					h.finish(rapid.IntRange(0, len(h.running)-1).Draw(t, "run"), rapid.SampledFrom([]kiteslip.Outcome{
						kiteslip.OK, kiteslip.OK, kiteslip.Failed, kiteslip.NotStarted}).Draw(t, "outcome"))
				}
			},
			"cut": func(t *rapid.T) { // messages in transit are lost, and the process that dies sends nothing more
				if p.disconnected || !handedOver || rapid.IntRange(0, 3).Draw(t, "rare") > 0 {
					return
				}
				p.disconnected = true
				dead := rapid.IntRange(0, 1).Draw(t, "dies")
				p.inTransit = [2][]func(*Core){}
				if dead == 1 {
					p.storeOpening = false
				}
				for i, h := range p.sides {
					h.core.PeerLost()
					if i == dead {
						h.core.ReleaseKeys(nil) // it starts no more runs
						continue
					}
					if !h.core.OwnsKeys() && !p.storeOpening {
						h.core.AcquireKeys(h.now + h.core.MaxWindow())
					}
				}
			},
			"pass": func(t *rapid.T) { p.advance(rapid.Int64Range(1, 400_000).Draw(t, "span")) },
			"": func(t *rapid.T) {
				if p.sides[0].core.OwnsKeys() && p.sides[1].core.OwnsKeys() {
					t.Fatal("two owners")
				}
			},
		})
		for i, h := range p.sides {
			if h.core.Outstanding() < 0 {
				t.Fatalf("side %d has %d outstanding", i, h.core.Outstanding())
			}
		}
		p.advance(2_000_000)
	})
}

// A try at the successor takes the result of a run that the predecessor started,
// whether that ends before or after the handover, and the reverse.
func TestResultsPassBetweenProcesses(t *testing.T) {
	p := newPair(t)
	predecessor, successor := p.sides[0], p.sides[1]
	done, executing := predecessor.submit(1, "done", 0, 1_000_000), predecessor.submit(1, "under", 0, 1_000_000)
	predecessor.advance(5_000)
	predecessor.finish(0, kiteslip.OK)
	p.handOver()
	for range 9 {
		p.deliver(0)
	}
	if !successor.core.OwnsKeys() || predecessor.core.OwnsKeys() {
		t.Fatal("the keys were not handed over")
	}
	finishedRetry, runningRetry := successor.submit(1, "done", 0, 1_000_000), successor.submit(1, "under", 0, 1_000_000)
	fresh := successor.submit(1, "fresh", 0, 1_000_000)
	successor.advance(5_000)
	claimed := predecessor.submit(1, "fresh", 0, 1_000_000)
	predecessor.advance(5_000)
	p.deliver(0) // the claim
	predecessor.finish(0, kiteslip.OK)
	p.deliver(0)
	successor.finish(0, kiteslip.OK)
	p.deliver(1)
	p.advance(5_000)
	for _, r := range []*Request{done, executing, claimed} {
		if got := predecessor.answers[r]; len(got) != 1 || got[0].Code != Served {
			t.Errorf("%s at the predecessor: %+v", r.Key, got)
		}
	}
	for _, r := range []*Request{finishedRetry, runningRetry, fresh} {
		if got := successor.answers[r]; len(got) != 1 || got[0].Code != Served {
			t.Errorf("%s at the successor: %+v", r.Key, got)
		}
	}
	if predecessor.ran[claimed] || successor.ran[finishedRetry] || successor.ran[runningRetry] {
		t.Error("a key ran twice")
	}
	if counts := successor.core.Counts(); counts.Served != 3 || counts.Received != 3 {
		t.Errorf("the successor counts %+v", counts)
	}
}

// While in doubt with no peer to ask, a keyed request fails: it is neither run nor
// refused. Other requests run, and a known result is served.
func TestNoRunWhileInDoubt(t *testing.T) {
	p := newPair(t)
	predecessor := p.sides[0]
	known := predecessor.submit(1, "known", 0, 1_000_000)
	predecessor.advance(5_000)
	predecessor.finish(0, kiteslip.OK)
	p.handOver()
	predecessor.core.PeerLost()
	predecessor.core.AcquireKeys(predecessor.now + predecessor.core.MaxWindow())
	retry, other, read := predecessor.submit(1, "known", 0, 1_000_000), predecessor.submit(1, "other", 0, 1_000_000), predecessor.submit(0, "", 0, 1_000_000)
	predecessor.advance(5_000)
	predecessor.finish(0, kiteslip.OK)
	for r, want := range map[*Request]Code{known: Served, retry: Served, other: Failed, read: Served} {
		if got := predecessor.answers[r]; len(got) != 1 || got[0].Code != want {
			t.Errorf("%s %s: %+v, want code %d", r.TryID, r.Key, got, want)
		}
	}
	predecessor.advance(predecessor.core.MaxWindow() + 1_000_000)
	if late := predecessor.submit(1, "other", 0, 1_000_000); true {
		predecessor.advance(5_000)
		if !predecessor.ran[late] {
			t.Error("the in-doubt period does not end")
		}
	}
}

// A silent key owner costs only the requests that wait for its grant.
func TestSilentKeyOwner(t *testing.T) {
	p := newPair(t)
	predecessor := p.sides[0]
	p.handOver()
	var claimed []*Request
	for range 8 {
		claimed = append(claimed, predecessor.submit(1, string(rune('a'+len(claimed))), 0, 400_000))
	}
	predecessor.advance(500_000)
	for _, r := range claimed {
		if got := predecessor.answers[r]; len(got) != 1 || got[0].Code == Served || predecessor.ran[r] {
			t.Errorf("%s: %+v", r.Key, got)
		}
	}
	read := predecessor.submit(0, "", 0, 1_000_000)
	predecessor.advance(5_000)
	if !predecessor.ran[read] {
		t.Error("unanswered claims occupy the running slots of other requests")
	}
	for range 9 { // the key owner responds late
		p.deliver(0)
	}
	for range 9 {
		p.deliver(1)
	}
	predecessor.advance(5_000)
	for _, r := range claimed {
		if predecessor.ran[r] {
			t.Errorf("%s runs although it was answered", r.Key)
		}
	}
}

// A successor with a key store has received KeysTransferred and opens the store; only
// then does it call AcquireKeys and SetPeer. A claim that the predecessor sends in that
// time reaches a core that neither owns the keys nor knows a peer, and the answer to
// it must not end the process. Nothing may start by that claim before the keys are owned.
func TestClaimBeforeKeysAreAcquired(t *testing.T) {
	p := newPair(t)
	predecessor, successor := p.sides[0], p.sides[1]
	inDoubtUntil := predecessor.core.ReleaseKeys(pairPeer{p, 0}) // KeysTransferred follows, and the successor opens its store
	early := predecessor.submit(1, "early", 0, 1_000_000)
	predecessor.advance(5_000)
	if len(p.inTransit[0]) != 1 {
		t.Fatalf("%d messages of the predecessor, want its claim", len(p.inTransit[0]))
	}
	func() {
		defer func() {
			if err := recover(); err != nil {
				t.Errorf("a claim before the keys are acquired panics: %v", err)
			}
		}()
		p.deliver(0)
	}()
	for range 9 {
		p.deliver(1)
	}
	p.advance(5_000)
	if predecessor.ran[early] || successor.core.OwnsKeys() {
		t.Error("a claim is granted before the keys are acquired")
	}
	successor.core.AcquireKeys(inDoubtUntil) // the store is open
	successor.core.SetPeer(pairPeer{p, 1})
	later := predecessor.submit(1, "later", 0, 1_000_000)
	predecessor.advance(5_000)
	for range 9 {
		p.deliver(0)
	}
	for range 9 {
		p.deliver(1)
	}
	p.advance(5_000)
	if !predecessor.ran[later] {
		t.Error("a claim after the keys are acquired is not granted")
	}
	p.advance(2_000_000)
	if got := predecessor.answers[early]; len(got) != 1 {
		t.Errorf("the early request has the answers %+v, want one", got)
	}
}

// Claims that arrive while the successor opens its key store wait and are granted once
// it owns the keys, in their order, and only once for a key. The failure: every keyed
// request that the predecessor reads in that time fails.
func TestClaimsWaitForKeyStore(t *testing.T) {
	p := newPair(t)
	predecessor, successor := p.sides[0], p.sides[1]
	p.handOverWithStore()
	first := predecessor.submit(1, "first", 0, 1_000_000)
	second := predecessor.submit(1, "second", 0, 1_000_000)
	predecessor.advance(5_000)
	own := successor.submit(1, "own", 0, 1_000_000)
	for range 9 {
		p.deliver(0)
	}
	p.advance(200_000)
	if len(p.inTransit[1]) != 0 || predecessor.ran[first] || predecessor.ran[second] {
		t.Fatal("a claim is answered while the key store opens")
	}
	if got := successor.answers[own]; len(got) != 1 || got[0].Code != Failed || successor.ran[own] {
		t.Errorf("keyed request of the process that opens its store: got %+v, want failed without a run", got)
	}
	p.storeOpened(true)
	for range 9 {
		p.deliver(1)
	}
	p.advance(5_000)
	for len(predecessor.running) > 0 {
		predecessor.finish(0, kiteslip.OK)
	}
	p.advance(5_000)
	for _, r := range []*Request{first, second} {
		if got := predecessor.answers[r]; len(got) != 1 || got[0].Code != Served || !predecessor.ran[r] {
			t.Errorf("%s: got %+v, want served by its own run", r.Key, got)
		}
	}
	for range 9 {
		p.deliver(0)
	}
	again := successor.submit(1, "first", 0, 1_000_000)
	successor.advance(5_000)
	if got := successor.answers[again]; len(got) != 1 || got[0].Code != Served || successor.ran[again] {
		t.Errorf("a further try at the successor: got %+v, want the result of the run", got)
	}
}

// Claims that wait end when the store can't be opened, when the peer is lost and when
// nobody waits for them any more, and their number is bounded. Each keyed request then
// has its one answer, and none has run.
func TestWaitingClaimsEnd(t *testing.T) {
	for name, end := range map[string]func(p *processPair){
		"store not opened": func(p *processPair) { p.storeOpened(false) },
		"expired":          func(p *processPair) { p.sides[1].advance(MaxWaitMultiple * 60_000_000) },
		"peer lost":        func(p *processPair) { p.sides[0].core.PeerLost(); p.sides[1].core.PeerLost() },
	} {
		p := newPair(t)
		predecessor, successor := p.sides[0], p.sides[1]
		p.handOverWithStore()
		r := predecessor.submit(1, "k", 0, 1_000_000)
		predecessor.advance(5_000)
		for range 9 {
			p.deliver(0)
		}
		if len(successor.core.waitingClaims) != 1 {
			t.Fatalf("%s: %d claims wait, want 1", name, len(successor.core.waitingClaims))
		}
		end(p)
		for range 9 {
			p.deliver(1)
		}
		predecessor.advance(5_000)
		if got := predecessor.answers[r]; len(got) != 1 || got[0].Code != Failed || predecessor.ran[r] || len(successor.core.waitingClaims) != 0 {
			t.Errorf("%s: got %+v, %d claims wait; want failed at once without a run, and none", name, got, len(successor.core.waitingClaims))
		}
	}
	p := newPair(t)
	successor := p.sides[1].core
	successor.BeginAcquire(pairPeer{p, 1})
	for i := range maxWaitingClaims + 10 {
		successor.Claimed(uint32(i+1), 1, "k", p.sides[1].now, 1)
	}
	if waiting, denied := len(successor.waitingClaims), len(p.inTransit[1]); waiting != maxWaitingClaims || denied != 10 {
		t.Errorf("%d claims wait and %d are denied, want %d and 10", waiting, denied, maxWaitingClaims)
	}
}

// The owner's run ends after the peer that had claimed its key was lost and another
// peer has come. The failure: the answer to the old claim went to the new peer, which
// answered one of its own requests, under the same number, with the result of another key.
func TestClaimsOfLostPeerAreForgotten(t *testing.T) {
	p := newPair(t)
	predecessor, owner := p.sides[0], p.sides[1]
	p.handOver()
	p.deliver(0)
	owner.submit(1, "k", 0, 1_000_000)
	owner.advance(5_000)
	claimed := predecessor.submit(1, "k", 0, 1_000_000)
	predecessor.advance(5_000)
	p.deliver(0)
	predecessor.core.PeerLost()
	owner.core.PeerLost()
	if got := predecessor.answers[claimed]; len(got) != 1 || got[0].Code != Failed {
		t.Errorf("claimed request of the lost peer: got %+v, want failed", got)
	}
	next := &processPair{sides: [2]*harness{owner, newHarness(t)}}
	owner.core.ReleaseKeys(pairPeer{next, 0})
	owner.finish(0, kiteslip.OK)
	if n := len(next.inTransit[0]); n != 1 {
		t.Errorf("%d messages to the new peer, want only the end of the run", n)
	}
}

// A key sent with different bodies to the two processes serves neither with the
// result of the other.
func TestBodiesOfOneKeyAcrossProcesses(t *testing.T) {
	p := newPair(t)
	predecessor, successor := p.sides[0], p.sides[1]
	p.handOver()
	p.deliver(0)
	send := func(h *harness, body string) *Request {
		r := &Request{TryID: body, Class: 1, Key: "k", Arrived: h.now, Deadline: h.now + 1_000_000, SizeKB: 20, Body: []byte(body)}
		r.ReplyTo = caller{h, r}
		if err := h.core.Submit(h.now, r); err != nil {
			t.Fatal(err)
		}
		h.sent = append(h.sent, r)
		return r
	}
	for range 2 { // occupy the successor's cores
		successor.submit(0, "", 0, 1_000_000)
	}
	successor.advance(5_000)
	mine, theirs := send(successor, "mine"), send(predecessor, "theirs")
	successor.core.Step(successor.now)
	predecessor.advance(5_000)
	p.deliver(0) // the claim arrives while the other body is queued
	p.deliver(1)
	for len(successor.running) > 0 {
		r := successor.running[0]
		successor.running = successor.running[1:]
		successor.core.Done(r, kiteslip.OK, 1000, []byte("of "+map[bool]string{true: r.Key, false: r.TryID}[r.Key != ""]))
		successor.advance(5_000)
	}
	predecessor.advance(5_000)
	if got := predecessor.answers[theirs]; len(got) != 1 || got[0].Code != Failed || predecessor.ran[theirs] {
		t.Errorf("the other body: %+v", got)
	}
	if !successor.ran[mine] {
		t.Error("the body that was queued first did not run")
	}
	original, r := &Request{bodyHash: 1, phase: ended, outcome: kiteslip.OK, result: []byte("of another")}, send(successor, "mine")
	r.bodyHash = 2
	successor.core.awaitResultOf(r, original)
	if got := successor.answers[r]; len(got) != 1 || got[0].Code != Failed {
		t.Errorf("a run granted meanwhile with another body: %+v", got)
	}
}
