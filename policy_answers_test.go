package kiteslip

import (
	"testing"
)

// A request is answered by its deadline in every phase, and refused if it arrives too late to run.
func TestAnsweredByDeadline(t *testing.T) {
	for _, stage := range []string{"running", "at call", "calling"} {
		h := newHarness(t, nil)
		h.step(1000, arrival(1, 1))
		if stage != "running" {
			h.step(2000, Event{Kind: NeedsCall, ID: 1})
		}
		acts := h.step(2_000_000, Event{Kind: Timer})
		h.want(acts, Fail, 1, true)
	}
	h := newHarness(t, nil)
	waited := arrival(1, 1)
	waited.Waited = 1_999_000 // hardly any time is left
	h.want(h.step(2_000_000, waited), Refuse, 1, true)
}

// A run that can earn nothing any more is halted, where halting is allowed, and refused without failover.
func TestUselessWorkIsStopped(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 0))
	acts := h.step(2_001_001, Event{Kind: Timer}) // past its target time; late answers earn nothing
	h.want(acts, Fail, 1, false)                  // callers would answer an error with another try
	h.want(acts, Halt, 1, true)
	if acts[0].Kind != Refuse || !acts[0].On {
		t.Errorf("want a refusal for good, got %+v", acts[0])
	}
	h = newHarness(t, func(s *Settings) { s.Stop = StopNever })
	h.step(1000, arrival(1, 0))
	h.want(h.step(4_990_000, Event{Kind: Timer}), Halt, 1, false)
}

// After a drain notice and its grace nothing starts, and everything is answered before the stop. Requests
// admitted just before the last answers were due started, were cut short, and failed: they are refused.
func TestDrain(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, Event{Kind: Drain, Deadline: 4_000_000})
	h.want(h.step(1_500_000, arrival(1, 0)), Run, 1, true)
	acts := h.step(2_100_000, arrival(2, 0))
	h.want(acts, Refuse, 2, true)
	h.want(h.step(3_750_000, Event{Kind: Timer}), Refuse, 1, true)
	// Shortly before the stop: refused within the grace too.
	h = newHarness(t, nil)
	h.step(1000, Event{Kind: Drain, Deadline: 2_000_000})
	h.want(h.step(1_000_000, arrival(1, 0)), Run, 1, true)
	h.want(h.step(1_200_000, arrival(2, 0)), Refuse, 2, true)
}

// A request that waited at a call and could earn nothing more was left until its deadline: it is answered at
// once.
func TestExpiredRequestIsAnsweredAtOnce(t *testing.T) {
	for _, stop := range []Stop{StopNever, StopDiscard, StopFreeze} {
		for _, phase := range []string{"held", "running", "at call", "calling", "copying"} {
			h := newHarness(t, func(s *Settings) {
				s.Cores, s.Stop, s.CallShare = 1, stop, 40
				s.Classes[0].Timeout, s.ReuseFor, s.Classes[0].SkipWorth = 9_000_000, 1000, 0
			})
			e := arrival(1, 0)
			switch phase {
			case "held":
				h.w.limit = 1
				h.w.setMeanWork(0, 1)
				h.step(1000, arrival(9, 2))
				h.step(1000, e)
			case "copying":
				e.DuplicateOf = 9
				h.step(1000, arrival(9, 0))
				h.want(h.step(1000, e), Reuse, 1, true)
			default:
				h.step(1000, e)
			}
			if phase == "at call" || phase == "calling" {
				if phase == "at call" {
					h.w.nextFirstCall = 1 << 60
				}
				h.step(2000, Event{Kind: NeedsCall, ID: 1})
			}
			acts := h.step(2_001_001, Event{Kind: Timer}) // its target time has passed, late answers earn nothing
			ended := hasAction(acts, Refuse, 1) || hasAction(acts, Fail, 1)
			if want := phase != "running" || stop != StopNever; ended != want {
				t.Errorf("stop %d, %s: answered %v, want %v: %+v", stop, phase, ended, want, acts)
			}
		}
	}
}

// A class that must run once and has no key: no second run, and no refusal once it has started.
func TestOnceIsNeverRunAgain(t *testing.T) {
	for _, stop := range []Stop{StopNever, StopDiscard, StopFreeze} {
		h := newHarness(t, func(s *Settings) { s.Stop = stop })
		h.want(h.step(1000, arrival(1, 2)), Run, 1, true)
		if stop == StopDiscard { // its work was lost
			acts := h.step(2000, Event{Kind: Done, ID: 1, Outcome: Cancelled})
			h.want(acts, Run, 1, false)
			h.want(acts, Refuse, 1, false)
			h.want(acts, Fail, 1, true)
			continue
		}
		if stop == StopFreeze { // a pause keeps its work: resuming it is no second run
			h.want(h.step(2000, Event{Kind: Done, ID: 1, Outcome: Cancelled}), Run, 1, true)
		}
		h.want(h.step(3000, Event{Kind: Drain, Deadline: 1_000_000}), Refuse, 1, false)
		acts := h.step(700_000, Event{Kind: Timer})
		h.want(acts, Refuse, 1, false)
		h.want(acts, Halt, 1, false)
		h.want(acts, Fail, 1, true)
		h.want(h.step(701_000, Event{Kind: Done, ID: 1, Outcome: Failed}), Run, 1, false)
	}
	for outcome, repeated := range map[Outcome]bool{Rejected: true, Unreachable: true, TimedOut: false, Reset: false, Failed: false} {
		h := newHarness(t, nil) // a call that may have taken effect is not repeated
		h.step(1000, arrival(1, 2))
		h.step(10_000, Event{Kind: NeedsCall, ID: 1})
		acts := h.step(20_000, Event{Kind: CallDone, ID: 1, Outcome: outcome})
		h.want(acts, Call, 1, repeated)
		h.want(acts, Refuse, 1, false)
	}
	h := newHarness(t, func(s *Settings) { s.MemoryKB = 30 }) // full: never started, so it may be refused
	h.step(1000, arrival(1, 2), arrival(2, 2), arrival(3, 2))
	for id := RequestID(1); id <= 3; id++ {
		if r := h.w.find(id); r != nil && r.answered && r.ran {
			t.Errorf("%d ran and was refused", id)
		}
	}
}

// A pause of 0.6 s just before the stop must not delay the last answers past it.
func TestDrainToleratesPauseBeforeStop(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 0), arrival(2, 1), arrival(3, 0), Event{Kind: Drain, Deadline: 1_600_000})
	acts := h.step(1_600_000-640_000, Event{Kind: Timer})
	for id := RequestID(1); id <= 3; id++ {
		if !hasAction(acts, Refuse, id) && !hasAction(acts, Fail, id) {
			t.Errorf("%d is not answered 0.64 s before the stop", id)
		}
	}
}

// After a handover the predecessor stays healthy and serves what arrives, until shortly before it is stopped.
func TestHandoverIsNoDrain(t *testing.T) {
	h := newHarness(t, func(s *Settings) {
		s.Downstream, s.Classes[0].CallsDownstream, s.Classes[0].SkipWorth = DownstreamNone, false, 0
	})
	h.step(0)
	acts := h.step(1000, Event{Kind: Handover, Deadline: 6_000_000})
	for _, a := range acts {
		if a.Kind == Health && !a.On {
			t.Fatal("health is bad after a handover")
		}
	}
	late := arrival(1, 0)
	h.want(h.step(3_500_000, late), Run, 1, true) // long past the grace of a drain
	h.want(h.step(5_200_000, arrival(2, 0)), Refuse, 2, true)
	h.step(5_200_000, Event{Kind: Drain, Deadline: 20_000_000})
	h.want(h.step(8_000_000, arrival(3, 0)), Refuse, 3, true)
}
