package core

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"kiteslip"
)

// tills is a small site whose runs call below and can be paused.
func tills() kiteslip.Settings {
	s := site()
	s.Downstream, s.Stop, s.CallShareWindow, s.MaxCallLinger = kiteslip.DownstreamTier, kiteslip.StopFreeze, 5_000_000, 200_000
	s.Classes[0].CallsDownstream, s.Classes[0].SkipWorth = true, 0.5
	s.Classes[1].CallsDownstream = true
	return s
}

// below is the model of the engine and the ledger beside a Core: it checks that
// what is said to a run fits the state of that run.
type below struct {
	*book
	stands  map[*Request]uint64 // at a call, by its notice
	out     map[uint64]*Request // calls by token
	ended   map[uint64]bool     // tokens that ended or were given up
	stopped map[*Request]bool   // paused
	notice  uint64
	fed     map[*Request]int
	needs   map[*Request]int
	effects map[*Request]int // calls that may have had their effect
}

func newBelow(t failer, module kiteslip.Settings) *below {
	b := &below{stands: map[*Request]uint64{}, out: map[uint64]*Request{}, ended: map[uint64]bool{}, stopped: map[*Request]bool{},
		fed: map[*Request]int{}, needs: map[*Request]int{}, effects: map[*Request]int{}}
	b.book = &book{t: t, now: 1_000_000_000, ran: map[*Request]bool{}, answers: map[*Request][]Answer{},
		gone: map[*Request]bool{}, lastRun: map[string]*Request{}}
	var err error
	if b.core, err = New(Settings{Policy: module, Seed: 7}, b); err != nil {
		t.Fatalf("%v", err)
	}
	b.core.SetLedger(b)
	b.core.Step(b.now)
	return b
}

func (b *below) Reply(r *Request, reply []byte) {
	if b.stands[r] == 0 || string(reply) != "reply to "+r.TryID {
		b.t.Fatalf("%s is fed %q, standing at %d", r.TryID, reply, b.stands[r])
	}
	delete(b.stands, r)
	b.fed[r]++
}

func (b *below) Skip(r *Request, notice uint64) {
	if notice == 0 || b.stands[r] != notice {
		b.t.Fatalf("%s skips notice %d, standing at %d", r.TryID, notice, b.stands[r])
	}
	delete(b.stands, r)
	b.fed[r]++
}

func (b *below) Halt(r *Request) {
	if !b.isRunning(r) {
		b.t.Fatalf("%s is halted and does not run", r.TryID)
	}
	if b.stands[r] == 0 {
		b.stopped[r] = true
	}
}

func (b *below) Resume(r *Request) {
	if !b.stopped[r] {
		b.t.Fatalf("%s goes on and was not stopped", r.TryID)
	}
	delete(b.stopped, r)
	b.running = append(b.running, r)
}

func (b *below) isRunning(r *Request) bool {
	for _, o := range b.running {
		if o == r {
			return true
		}
	}
	return false
}

func (b *below) Call(token uint64, ref string, body []byte, patience int64) {
	var r *Request
	for _, o := range b.running {
		if o.TryID == ref {
			r = o
		}
	}
	if r == nil || b.stands[r] == 0 || b.ended[token] || b.out[token] != nil || patience <= 0 || string(body) != "need of "+ref {
		b.t.Fatalf("call %d for %q with patience %d and body %q", token, ref, patience, body)
	}
	if r.Key != "" && b.effects[r] > 0 {
		b.t.Fatalf("%s calls again though its last call may have had its effect", r.TryID)
	}
	b.out[token] = r
}

func (b *below) Abandon(token uint64) {
	if b.out[token] == nil {
		b.t.Fatalf("call %d is given up and is not out", token)
	}
	b.effects[b.out[token]]++
	delete(b.out, token)
	b.ended[token] = true
}

func (b *below) need(r *Request) {
	b.notice++
	b.stands[r] = b.notice
	b.needs[r]++
	b.effects[r] = 0 // the next call is another one
	b.core.NeedsCall(r, b.notice, []byte("need of "+r.TryID))
}

func (b *below) called(token uint64, outcome kiteslip.Outcome) {
	r := b.out[token]
	delete(b.out, token)
	b.ended[token] = true
	if outcome != kiteslip.Rejected && outcome != kiteslip.Unreachable && outcome != kiteslip.NotStarted && outcome != kiteslip.OK {
		b.effects[r]++
	}
	if !b.core.CallDone(b.now, token, outcome, []byte("reply to "+r.TryID)) {
		b.t.Fatalf("nobody waits for call %d", token)
	}
	if b.core.CallDone(b.now, token, kiteslip.OK, nil) {
		b.t.Fatalf("call %d ends twice", token)
	}
}

// finish ends a run, wherever it stands.
func (b *below) finish(r *Request, outcome kiteslip.Outcome) {
	for i, o := range b.running {
		if o == r {
			delete(b.stands, r)
			b.book.finish(i, outcome)
			return
		}
	}
}

// follow lets the engine see what is over: what stands at a call then ends.
func (b *below) follow() {
	for _, r := range append([]*Request(nil), b.running...) {
		over := len(b.answers[r]) > 0 || b.gone[r]
		if over && (b.stands[r] != 0 || b.stopped[r]) {
			delete(b.stopped, r)
			b.finish(r, kiteslip.Cancelled)
		} else if b.stopped[r] {
			b.finish(r, kiteslip.Cancelled)
		}
	}
}

// Whatever the engine, the ledger and the callers do, each call ends once, a
// run is fed only what it asked for, and each request gets one answer in time.
func TestCallsAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBelow(t, tills())
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				class := rapid.IntRange(0, 1).Draw(t, "class")
				key := ""
				if class == 1 {
					key = fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
				}
				b.arrive(class, key, 0, rapid.Int64Range(50_000, 1_500_000).Draw(t, "patience"))
			},
			"need": func(t *rapid.T) {
				if len(b.running) > 0 {
					if r := b.running[pick(len(b.running))]; b.stands[r] == 0 && !b.stopped[r] && b.needs[r] < 3 {
						b.need(r)
					}
				}
			},
			"called": func(t *rapid.T) {
				if len(b.out) == 0 {
					return
				}
				least := uint64(0) // the eldest: a map has no order
				for token := range b.out {
					if least == 0 || token < least {
						least = token
					}
				}
				b.called(least, kiteslip.Outcome(rapid.SampledFrom([]int{int(kiteslip.OK), int(kiteslip.Failed), int(kiteslip.Rejected), int(kiteslip.TimedOut),
					int(kiteslip.Unreachable), int(kiteslip.Reset), int(kiteslip.NotStarted)}).Draw(t, "outcome")))
			},
			"finish": func(t *rapid.T) {
				if len(b.running) > 0 {
					if r := b.running[pick(len(b.running))]; b.stands[r] == 0 && !b.stopped[r] {
						b.finish(r, kiteslip.OK)
					}
				}
			},
			"gone": func(t *rapid.T) {
				if len(b.sent) > 0 {
					if r := b.sent[pick(len(b.sent))]; len(b.answers[r]) == 0 && !b.gone[r] {
						b.gone[r] = true
						b.core.Disconnected(r)
					}
				}
			},
			"pass":   func(t *rapid.T) { b.pass(rapid.Int64Range(1000, 200_000).Draw(t, "span")); b.follow() },
			"follow": func(t *rapid.T) { b.follow() },
		})
		for range 400 { // all comes to its end without any further word from the ledger
			b.pass(10_000)
			b.follow()
		}
		for _, r := range b.sent {
			if len(b.answers[r]) != 1 && !b.gone[r] {
				t.Fatalf("%s has %d answers", r.TryID, len(b.answers[r]))
			}
		}
		for _, r := range append([]*Request(nil), b.running...) {
			b.finish(r, kiteslip.OK)
		}
		if b.core.CallsInFlight() != 0 {
			t.Fatalf("%d calls are out after all runs have ended", b.core.CallsInFlight())
		}
		if requests, _ := b.core.Tracked(); requests != 0 {
			t.Fatalf("%d requests are left", requests)
		}
	})
}

// A run that the module pauses before its answer goes on where it was; one
// that is due while paused fails, and is never refused: it has run.
func TestPausedRun(t *testing.T) {
	for _, due := range []bool{false, true} {
		b := newBelow(t, tills())
		r := b.arrive(0, "", 0, 1_000_000)
		b.core.Step(b.now)
		b.core.halt(r)
		b.follow() // the engine tells that it has stopped
		if r.phase != paused {
			t.Fatalf("phase %d after the halt", r.phase)
		}
		if _, kb := b.core.EngineLoad(); kb != r.SizeKB*site().RunFactor {
			t.Errorf("%v KB are booked for a paused run of %v", kb, r.SizeKB)
		}
		if due {
			b.now += 999_000
			b.core.overdue(b.now)
			if got := b.answers[r]; len(got) != 1 || got[0].Code != Failed {
				t.Errorf("at its due time: %+v", got)
			}
			continue
		}
		b.core.Step(b.now)
		b.pass(20_000)
		if !b.isRunning(r) {
			t.Fatal("it does not go on")
		}
		b.finish(r, kiteslip.OK)
		if got := b.answers[r]; len(got) != 1 || got[0].Code != Served {
			t.Errorf("after it went on: %+v", got)
		}
	}
}

// A request that says nothing of its patience is due when its class gives up.
func TestUntoldDeadline(t *testing.T) {
	b := newBelow(t, tills())
	r := &Request{TryID: "untold", Class: 0, Arrived: b.now - 1000, SizeKB: 20, Body: []byte("untold")}
	r.ReplyTo = caller{b.book, r}
	if err := b.core.Submit(b.now, r); err != nil {
		t.Fatal(err)
	}
	if r.Deadline != r.Arrived+tills().Classes[0].Timeout {
		t.Errorf("due %d us after it came", r.Deadline-r.Arrived)
	}
	if e := b.core.events[len(b.core.events)-1]; e.Deadline != 0 {
		t.Errorf("the module is told a patience of %d us that nobody stated", e.Deadline-r.Arrived)
	}
}

// A repeat of a keyed try that stands at its call waits for it, and the run is
// not begun again; a call that may have had its effect is not made again.
func TestKeyedTryAtACall(t *testing.T) {
	b := newBelow(t, tills())
	first := b.arrive(1, "k", 0, 1_500_000)
	b.core.Step(b.now)
	b.need(first)
	b.core.Step(b.now)
	second := b.arrive(1, "k", 0, 1_500_000)
	second.Retry = true
	b.core.Step(b.now)
	b.called(1, kiteslip.Rejected)
	b.pass(20_000)
	b.called(2, kiteslip.OK)
	b.pass(20_000)
	b.finish(first, kiteslip.OK)
	b.pass(20_000)
	for _, r := range []*Request{first, second} {
		if got := b.answers[r]; len(got) != 1 || got[0].Code != Served {
			t.Errorf("%s: %+v", r.TryID, got)
		}
	}
	if b.ran[second] {
		t.Error("the repeat ran")
	}
	third := b.arrive(1, "other", 0, 1_500_000)
	b.core.Step(b.now)
	b.need(third)
	b.core.Step(b.now)
	b.called(3, kiteslip.Reset) // Call fails the test if it is made again
	b.pass(500_000)
	if got := b.answers[third]; len(got) != 1 || got[0].Code != Failed {
		t.Errorf("after a call in doubt: %+v", got)
	}
}
