package kiteslip

import (
	"slices"
	"testing"
)

// A call of a keyed request is repeated only after outcomes that prove that it never ran.
func TestKeyedCallRepeatedOnlyIfItNeverRan(t *testing.T) {
	for outcome, repeated := range map[Outcome]bool{Rejected: true, Unreachable: true, TimedOut: false, Reset: false, Failed: false} {
		h := newHarness(t, nil)
		h.step(1000, arrival(1, 1))
		h.want(h.step(10_000, Event{Kind: NeedsCall, ID: 1}), Call, 1, true)
		acts := h.step(20_000, Event{Kind: CallDone, ID: 1, Outcome: outcome, Elapsed: 10_000})
		h.want(acts, Call, 1, repeated)
		h.want(acts, Fail, 1, !repeated)
	}
}

// Workers that all used their whole share of calls at once overloaded the dependency.
func TestCallsStayBelowShare(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Cores = 8; s.MemoryKB = 1e6 })
	var arrivals, needs []Event
	for id := RequestID(1); id <= 8; id++ {
		arrivals = append(arrivals, arrival(id, 1))
		needs = append(needs, Event{Kind: NeedsCall, ID: id})
	}
	h.step(1000, arrivals...)
	calls := 0
	for _, a := range h.step(10_000, needs...) {
		if a.Kind == Call {
			calls++
		}
	}
	if calls != 2 {
		t.Fatalf("%d calls outstanding, want 2 of a share of 4", calls)
	}
}

// When calls hung, each worker with a share below one call had one outstanding all the time, which overloaded
// the dependency. However long calls take, no window may contain more than the share.
func TestCallsInAnyWindowStayBelowShare(t *testing.T) {
	for _, took := range []int64{30_000, 400_000, 3_000_000, 60_000_000} { // the last ends only by its timeout
		h := newHarness(t, func(s *Settings) {
			s.CallShare, s.MemoryKB = 0.46, 1e6
			s.Classes[1].TargetTime, s.Classes[1].Timeout = 2_800_000, 8_600_000
		})
		type call struct {
			id         RequestID
			from, ends int64
			late       bool
		}
		var open []call
		var busy [][2]int64 // intervals in which the dependency works on a call
		id, made := RequestID(0), 0
		events := []Event{{Kind: Timer}}
		for now := int64(1000); now < 30_000_000; now += 10_000 {
			if now%100_000 == 1000 {
				id++
				events = append(events, arrival(id, int(id)%2))
			}
			open = slices.DeleteFunc(open, func(c call) bool {
				if c.ends > now {
					return false
				}
				outcome, lingers := OK, int64(0)
				if c.late {
					outcome, lingers = TimedOut, 200_000
				}
				busy = append(busy, [2]int64{c.from, now + lingers})
				events = append(events, Event{Kind: CallDone, ID: c.id, Outcome: outcome})
				if outcome == OK {
					events = append(events, Event{Kind: Done, ID: c.id, Outcome: OK})
				}
				return true
			})
			acts := h.step(now, events...)
			events = []Event{{Kind: Timer}}
			for _, a := range acts {
				switch a.Kind {
				case Run:
					events = append(events, Event{Kind: NeedsCall, ID: a.ID})
				case Call:
					made++
					open = append(open, call{a.ID, now, now + min(took, a.After), took > a.After})
				case Skip:
					events = append(events, Event{Kind: Done, ID: a.ID, Outcome: OK})
				case Fail:
					events = append(events, Event{Kind: Done, ID: a.ID, Outcome: Cancelled})
				}
			}
			sum := int64(0)
			for _, span := range busy {
				sum += max(0, min(span[1], now)-max(span[0], now-5_000_000))
			}
			for _, c := range open {
				sum += now - max(c.from, now-5_000_000)
			}
			if mean := float64(sum) / 5e6; mean > 0.46 {
				t.Fatalf("calls of %d us: %.2f outstanding over 5 s, share 0.46", took, mean)
			}
		}
		if made < 5 {
			t.Errorf("calls of %d us: only %d made", took, made)
		}
	}
}

// Runs started while others waited for room for a required call: they were cut off there, and a keyed one can
// never run again.
func TestRequiredCallWaitingBlocksNewCallers(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Cores, s.MemoryKB, s.CallShare = 4, 1e6, 0.4 })
	h.step(1000, arrival(1, 1), arrival(2, 1))
	h.step(2000, Event{Kind: NeedsCall, ID: 1}, Event{Kind: NeedsCall, ID: 2}) // one call takes the room
	acts := h.step(3000, arrival(3, 1), arrival(4, 0))
	h.want(acts, Run, 3, false)
	h.want(acts, Refuse, 3, false)
	h.want(acts, Run, 4, true)
}

// An optional call that would take longer than the target time is skipped.
func TestCallSkippedWhenTargetWouldBeMissed(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 0))
	h.w.callMean, h.w.callBaseline = 3_000_000, 3_000_000 // longer than the target time
	acts := h.step(10_000, Event{Kind: NeedsCall, ID: 1})
	h.want(acts, Skip, 1, true)
	h.want(acts, Call, 1, false)
}

// Many calls that return at once must not bring more runs onto the cores than a warm or cold worker survives.
func TestCallsReturningTogetherStayWithinSafeRuns(t *testing.T) {
	for cold, maxRuns := range map[bool]float64{false: 2 * 5, true: 2 * (1 + 4*0.32)} {
		h := newHarness(t, func(s *Settings) {
			s.JustStarted, s.ColdSpeed, s.MaxRunsPerCore, s.CallShare, s.MemoryKB = cold, 0.32, 5, 400, 1e6
		})
		h.w.limit = 100
		var returns []Event
		for id := RequestID(1); id <= 60; id++ {
			for _, a := range h.step(1000+int64(id), arrival(id, 0)) {
				if a.Kind != Run {
					continue
				}
				for _, c := range h.step(1000+int64(id), Event{Kind: NeedsCall, ID: a.ID}) {
					if c.Kind == Call {
						returns = append(returns, Event{Kind: CallDone, ID: c.ID, Outcome: OK})
					}
				}
			}
		}
		h.step(2000, returns...)
		if h.w.recount(); float64(h.w.onCore) > maxRuns || h.w.onCore == 0 {
			t.Errorf("cold %v: %d runs on the cores at once, at most %v are safe", cold, h.w.onCore, maxRuns)
		}
	}
}
