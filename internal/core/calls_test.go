package core

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"kiteslip"
)

// downstreamSettings has classes whose runs make downstream calls and can be paused.
func downstreamSettings() kiteslip.Settings {
	s := testSettings()
	s.Downstream, s.Stop, s.CallShareWindow, s.MaxCallLinger = kiteslip.DownstreamTier, kiteslip.StopFreeze, 5_000_000, 200_000
	s.Classes[0].CallsDownstream, s.Classes[0].SkipWorth = true, 0.5
	s.Classes[1].CallsDownstream = true
	return s
}

// callHarness adds a model of the engine and the ledger: it checks that what the
// Core tells a run fits the state of that run.
type callHarness struct {
	*harness
	pendingCalls    map[*Request]uint64 // runs that wait for a call, with the number of the notice
	inFlight        map[uint64]*Request // by token
	ended           map[uint64]bool     // tokens of calls that ended or were abandoned
	halted          map[*Request]bool   // halted by the policy
	notice          uint64
	continued       map[*Request]int
	callsNeeded     map[*Request]int
	possibleEffects map[*Request]int // calls that may have had their effect
}

func newCallHarness(t failer, settings kiteslip.Settings) *callHarness {
	h := &callHarness{pendingCalls: map[*Request]uint64{}, inFlight: map[uint64]*Request{}, ended: map[uint64]bool{}, halted: map[*Request]bool{},
		continued: map[*Request]int{}, callsNeeded: map[*Request]int{}, possibleEffects: map[*Request]int{}}
	h.harness = &harness{t: t, now: 1_000_000_000, ran: map[*Request]bool{}, answers: map[*Request][]Answer{},
		disconnected: map[*Request]bool{}, lastRun: map[string]*Request{}}
	var err error
	if h.core, err = New(Settings{Policy: settings, Seed: 7}, h); err != nil {
		t.Fatalf("%v", err)
	}
	h.core.SetLedger(h)
	h.core.Step(h.now)
	return h
}

func (h *callHarness) Reply(r *Request, reply []byte) {
	if h.pendingCalls[r] == 0 || string(reply) != "reply to "+r.TryID {
		h.t.Fatalf("%s gets the reply %q while waiting at notice %d", r.TryID, reply, h.pendingCalls[r])
	}
	delete(h.pendingCalls, r)
	h.continued[r]++
}

func (h *callHarness) Skip(r *Request, notice uint64) {
	if notice == 0 || h.pendingCalls[r] != notice {
		h.t.Fatalf("%s skips notice %d while waiting at notice %d", r.TryID, notice, h.pendingCalls[r])
	}
	delete(h.pendingCalls, r)
	h.continued[r]++
}

func (h *callHarness) Halt(r *Request) {
	if !h.isRunning(r) {
		h.t.Fatalf("%s is halted but is not running", r.TryID)
	}
	if h.pendingCalls[r] == 0 {
		h.halted[r] = true
	}
}

func (h *callHarness) Resume(r *Request) {
	if !h.halted[r] {
		h.t.Fatalf("%s is resumed but was not halted", r.TryID)
	}
	delete(h.halted, r)
	h.running = append(h.running, r)
}

func (h *callHarness) isRunning(r *Request) bool {
	for _, o := range h.running {
		if o == r {
			return true
		}
	}
	return false
}

func (h *callHarness) Call(token uint64, ref string, body []byte, timeout int64) {
	var r *Request
	for _, o := range h.running {
		if o.TryID == ref {
			r = o
		}
	}
	if r == nil || h.pendingCalls[r] == 0 || h.ended[token] || h.inFlight[token] != nil || timeout <= 0 || string(body) != "need of "+ref {
		h.t.Fatalf("call %d for %q with timeout %d and body %q", token, ref, timeout, body)
	}
	if r.Key != "" && h.possibleEffects[r] > 0 {
		h.t.Fatalf("%s calls again although its last call may have had its effect", r.TryID)
	}
	h.inFlight[token] = r
}

func (h *callHarness) Abandon(token uint64) {
	if h.inFlight[token] == nil {
		h.t.Fatalf("call %d is abandoned but not in flight", token)
	}
	h.possibleEffects[h.inFlight[token]]++
	delete(h.inFlight, token)
	h.ended[token] = true
}

func (h *callHarness) needCall(r *Request) {
	h.notice++
	h.pendingCalls[r] = h.notice
	h.callsNeeded[r]++
	h.possibleEffects[r] = 0 // the next call is a different one
	h.core.NeedsCall(r, h.notice, []byte("need of "+r.TryID))
}

func (h *callHarness) endCall(token uint64, outcome kiteslip.Outcome) {
	r := h.inFlight[token]
	delete(h.inFlight, token)
	h.ended[token] = true
	if outcome != kiteslip.Rejected && outcome != kiteslip.Unreachable && outcome != kiteslip.NotStarted && outcome != kiteslip.OK {
		h.possibleEffects[r]++
	}
	if !h.core.CallDone(h.now, token, outcome, []byte("reply to "+r.TryID)) {
		h.t.Fatalf("no run waits for call %d", token)
	}
	if h.core.CallDone(h.now, token, kiteslip.OK, nil) {
		h.t.Fatalf("call %d ends twice", token)
	}
}

// finish ends a run in any state.
func (h *callHarness) finish(r *Request, outcome kiteslip.Outcome) {
	for i, o := range h.running {
		if o == r {
			delete(h.pendingCalls, r)
			h.harness.finish(i, outcome)
			return
		}
	}
}

// endHalted ends the runs that were halted, and those that wait for a call after their request was answered.
func (h *callHarness) endHalted() {
	for _, r := range append([]*Request(nil), h.running...) {
		over := len(h.answers[r]) > 0 || h.disconnected[r]
		if over && (h.pendingCalls[r] != 0 || h.halted[r]) {
			delete(h.halted, r)
			h.finish(r, kiteslip.Cancelled)
		} else if h.halted[r] {
			h.finish(r, kiteslip.Cancelled)
		}
	}
}

// Random engines, ledgers and callers: each call ends once, a run only gets what
// it asked for, and each request gets one answer in time.
func TestCallsAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newCallHarness(t, downstreamSettings())
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				class := rapid.IntRange(0, 1).Draw(t, "class")
				key := ""
				if class == 1 {
					key = fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
				}
				h.submit(class, key, 0, rapid.Int64Range(50_000, 1_500_000).Draw(t, "patience"))
			},
			"need": func(t *rapid.T) {
				if len(h.running) > 0 {
					if r := h.running[pick(len(h.running))]; h.pendingCalls[r] == 0 && !h.halted[r] && h.callsNeeded[r] < 3 {
						h.needCall(r)
					}
				}
			},
			"called": func(t *rapid.T) {
				if len(h.inFlight) == 0 {
					return
				}
				least := uint64(0) // the oldest: a map has no order
				for token := range h.inFlight {
					if least == 0 || token < least {
						least = token
					}
				}
				h.endCall(least, kiteslip.Outcome(rapid.SampledFrom([]int{int(kiteslip.OK), int(kiteslip.Failed), int(kiteslip.Rejected), int(kiteslip.TimedOut),
					int(kiteslip.Unreachable), int(kiteslip.Reset), int(kiteslip.NotStarted)}).Draw(t, "outcome")))
			},
			"finish": func(t *rapid.T) {
				if len(h.running) > 0 {
					if r := h.running[pick(len(h.running))]; h.pendingCalls[r] == 0 && !h.halted[r] {
						h.finish(r, kiteslip.OK)
					}
				}
			},
			"gone": func(t *rapid.T) {
				if len(h.sent) > 0 {
					if r := h.sent[pick(len(h.sent))]; len(h.answers[r]) == 0 && !h.disconnected[r] {
						h.disconnected[r] = true
						h.core.Disconnected(r)
					}
				}
			},
			"pass":   func(t *rapid.T) { h.advance(rapid.Int64Range(1000, 200_000).Draw(t, "span")); h.endHalted() },
			"follow": func(t *rapid.T) { h.endHalted() },
		})
		for range 400 { // everything ends without further messages from the ledger
			h.advance(10_000)
			h.endHalted()
		}
		for _, r := range h.sent {
			if len(h.answers[r]) != 1 && !h.disconnected[r] {
				t.Fatalf("%s has %d answers", r.TryID, len(h.answers[r]))
			}
		}
		for _, r := range append([]*Request(nil), h.running...) {
			h.finish(r, kiteslip.OK)
		}
		if h.core.CallsInFlight() != 0 {
			t.Fatalf("%d calls are in flight after all runs have ended", h.core.CallsInFlight())
		}
		if requests, _ := h.core.Tracked(); requests != 0 {
			t.Fatalf("%d requests are still tracked", requests)
		}
	})
}

// A run that the policy pauses before its answer is resumed where it was; one
// whose deadline comes while paused fails and is never refused, since it has run.
func TestPausedRun(t *testing.T) {
	for _, expires := range []bool{false, true} {
		h := newCallHarness(t, downstreamSettings())
		r := h.submit(0, "", 0, 1_000_000)
		h.core.Step(h.now)
		h.core.halt(r)
		h.endHalted() // the engine reports the end of the run
		if r.phase != paused {
			t.Fatalf("phase %d after the halt", r.phase)
		}
		if _, kb := h.core.EngineLoad(); kb != r.SizeKB*testSettings().RunFactor {
			t.Errorf("%v KB are reserved for a paused run of %v", kb, r.SizeKB)
		}
		if expires {
			h.now += 999_000
			h.core.answerOverdue(h.now)
			if got := h.answers[r]; len(got) != 1 || got[0].Code != Failed {
				t.Errorf("at its deadline: %+v", got)
			}
			continue
		}
		h.core.Step(h.now)
		h.advance(20_000)
		if !h.isRunning(r) {
			t.Fatal("the paused run is not resumed")
		}
		h.finish(r, kiteslip.OK)
		if got := h.answers[r]; len(got) != 1 || got[0].Code != Served {
			t.Errorf("after it was resumed: %+v", got)
		}
	}
}

// A request without a deadline gets that of its class's timeout, and the policy learns that none was stated.
func TestMissingDeadline(t *testing.T) {
	h := newCallHarness(t, downstreamSettings())
	r := &Request{TryID: "untold", Class: 0, Arrived: h.now - 1000, SizeKB: 20, Body: []byte("untold")}
	r.ReplyTo = caller{h.harness, r}
	if err := h.core.Submit(h.now, r); err != nil {
		t.Fatal(err)
	}
	if r.Deadline != r.Arrived+downstreamSettings().Classes[0].Timeout {
		t.Errorf("deadline %d us after its arrival", r.Deadline-r.Arrived)
	}
	if e := h.core.events[len(h.core.events)-1]; e.Deadline != 0 {
		t.Errorf("the policy gets a deadline %d us after arrival that the caller did not state", e.Deadline-r.Arrived)
	}
}

// A duplicate of a keyed try that waits for its call awaits the result, and no
// second run starts; a call that may have had its effect is not made again.
func TestKeyedTryWithPendingCall(t *testing.T) {
	h := newCallHarness(t, downstreamSettings())
	first := h.submit(1, "k", 0, 1_500_000)
	h.core.Step(h.now)
	h.needCall(first)
	h.core.Step(h.now)
	second := h.submit(1, "k", 0, 1_500_000)
	second.Retry = true
	h.core.Step(h.now)
	h.endCall(1, kiteslip.Rejected)
	h.advance(20_000)
	h.endCall(2, kiteslip.OK)
	h.advance(20_000)
	h.finish(first, kiteslip.OK)
	h.advance(20_000)
	for _, r := range []*Request{first, second} {
		if got := h.answers[r]; len(got) != 1 || got[0].Code != Served {
			t.Errorf("%s: %+v", r.TryID, got)
		}
	}
	if h.ran[second] {
		t.Error("the duplicate ran")
	}
	third := h.submit(1, "other", 0, 1_500_000)
	h.core.Step(h.now)
	h.needCall(third)
	h.core.Step(h.now)
	h.endCall(3, kiteslip.Reset) // callHarness.Call fails the test if the call is made again
	h.advance(500_000)
	if got := h.answers[third]; len(got) != 1 || got[0].Code != Failed {
		t.Errorf("after a call with an uncertain effect: %+v", got)
	}
}
