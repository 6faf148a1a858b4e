package kiteslip

import (
	"testing"
)

// After an idle period, the time since the last progress passed for a stall, and requests were refused.
func TestIdlePeriodIsNotAStall(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 0))
	h.step(101_000, Event{Kind: Done, ID: 1, Outcome: OK})
	acts := h.step(60_000_000, arrival(2, 0), arrival(3, 0), arrival(4, 0))
	h.want(acts, Refuse, 4, false)
	h.want(h.step(60_010_000, Event{Kind: Timer}), Refuse, 4, false)
}

// Health turns bad when no run makes progress, and good when one ends.
func TestHealthFollowsStall(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Classes[1].Timeout = 8_000_000 })
	h.step(1000, arrival(1, 1))
	setHealth := func(acts []Action, on bool) bool {
		for _, a := range acts {
			if a.Kind == Health && a.On == on {
				return true
			}
		}
		return false
	}
	if !setHealth(h.step(3_500_000, Event{Kind: Timer}), false) {
		t.Error("no progress for 3.5 s, health is still good")
	}
	if !setHealth(h.step(3_600_000, Event{Kind: Done, ID: 1, Outcome: OK}), true) {
		t.Error("a run ended, health is still bad")
	}
}

// A worker that is behind advertises less than one that is not.
func TestLoadSignalFollowsWaitRatio(t *testing.T) {
	for _, kind := range []LoadSignal{LoadSignalAllowance, LoadSignalWeight} {
		signal := map[bool]float64{}
		for _, behind := range []bool{false, true} {
			h := newHarness(t, func(s *Settings) { s.LoadSignal, s.Cores = kind, 16 })
			if behind {
				h.w.readDelay = 2_000_000
			}
			h.step(1000, Event{Kind: Timer})
			signal[behind] = h.w.lastSignal
		}
		if signal[true] >= signal[false] {
			t.Errorf("load signal %d: %v behind, %v otherwise", kind, signal[true], signal[false])
		}
	}
}

// overload lets a worker learn its mean work and then gives it far more requests at once than it can answer
// in time.
func (h *harness) overload() []Action {
	for id := RequestID(1); id < 30; id++ {
		h.step(int64(id)*400_000, arrival(id, 0))
		h.step(int64(id)*400_000+300_000, Event{Kind: Done, ID: id, Outcome: OK})
	}
	h.step(12_990_000, arrival(98, 0), arrival(99, 0))
	var burst []Event
	for id := RequestID(100); id < 140; id++ {
		burst = append(burst, arrival(id, 0))
	}
	return h.step(13_000_000, burst...)
}

// Refused tries that went on from server to server were read a dozen times each in a fleet of hundreds.
func TestLateRefusalForbidsRetryElsewhere(t *testing.T) {
	h := newHarness(t, nil)
	refused := 0
	for _, a := range h.overload() {
		if a.Kind == Refuse {
			if refused++; !a.On {
				t.Errorf("%d was refused and may try elsewhere", a.ID)
			}
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
}

// A retry-after of just the excess delay brought all callers back at once: it must be longer, within the
// setting.
func TestRetryAfterExceedsBacklog(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.MaxRetryAfter = 3_000_000 })
	c := &h.w.cfg.Classes[0]
	for _, excess := range []int64{0, 50_000, 400_000, 2_000_000} {
		h.w.reqs = append(h.w.reqs[:0], request{id: 1, phase: queued, deadline: 9_000_000, softDeadline: 2_000_000})
		acts := h.w.refuse(&h.w.reqs[0], h.w.retryAfter(excess, c), true, nil)
		if got := acts[0].After; got > h.w.cfg.MaxRetryAfter || got < min(2*excess+c.TargetTime/10, h.w.cfg.MaxRetryAfter) {
			t.Errorf("%d us too late: retry-after is %d us", excess, got)
		}
	}
	refused := 0
	for _, a := range h.overload() {
		if a.Kind == Refuse {
			if refused++; a.After < c.TargetTime/10 {
				t.Errorf("%d was refused with a retry-after of %d us", a.ID, a.After)
			}
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
}

// Hundreds of callers filled the connection table with connections that none of them used again.
func TestUnusedIdleConnectionsAreClosed(t *testing.T) {
	for callers, want := range map[int]int64{4: 30_000_000, 1000: shortIdleTimeoutUS} {
		h := newHarness(t, func(s *Settings) { s.Callers, s.IdleAfter = callers, 30_000_000 })
		timeout := int64(30_000_000)
		for id := RequestID(1); id < 60; id++ { // five arrivals a second
			acts := h.step(int64(id)*200_000, arrival(id, 0))
			acts = append(acts, h.step(int64(id)*200_000+100_000, Event{Kind: Done, ID: id, Outcome: OK})...)
			for _, a := range acts {
				if a.Kind == SetIdleTimeout {
					timeout = a.After
				}
			}
		}
		if timeout != want {
			t.Errorf("%d callers: the idle timeout is %d us, want %d", callers, timeout, want)
		}
	}
	h := newHarness(t, nil)
	if hasAction(h.step(1000, arrival(1, 0)), SetIdleTimeout, 0) {
		t.Error("an idle timeout is set though IdleAfter is not")
	}
}

// An allowance of at least one per caller let hundreds of callers send hundreds of requests to two cores.
func TestAllowanceOfManyCallersIsAFraction(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.LoadSignal, s.Callers = LoadSignalAllowance, 300 })
	h.step(1000, Event{Kind: Timer})
	if h.w.lastSignal <= 0 || h.w.lastSignal >= 1 {
		t.Errorf("300 callers are allowed %v each on two cores", h.w.lastSignal)
	}
}

// One run of five times the mean work turned the health of a small machine bad, and callers that check it
// left.
func TestOneLongRunIsNoStall(t *testing.T) {
	for runs, healthy := range map[int]bool{1: true, 2: false} {
		h := newHarness(t, func(s *Settings) { s.Classes[0].TargetTime = 4_000_000 })
		for id := RequestID(1); id <= RequestID(runs); id++ {
			h.step(1000, arrival(id, 0))
		}
		h.step(1000+int64(11*h.w.meanWork), Event{Kind: Timer})
		if h.w.healthy != healthy {
			t.Errorf("%d runs without progress for eleven mean works: healthy is %v", runs, h.w.healthy)
		}
	}
}

// In a retry storm each try on a new connection was read at a cost; a full connection table rejects it
// unread.
func TestIdleTimeoutNotShortenedInRetryStorm(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Callers, s.IdleAfter = 1000, 30_000_000 })
	idle := func(now int64) (after int64) {
		for _, a := range h.step(now, Event{Kind: Timer}) {
			if a.Kind == SetIdleTimeout {
				after = a.After
			}
		}
		return after
	}
	h.step(1000, arrival(1, 0))
	h.w.readDelay, h.w.refusalRate = 1_500_000, 0.9
	if got := idle(1_000_000); got != 30_000_000 {
		t.Errorf("in a retry storm the idle timeout is %d us", got)
	}
	h.w.readDelay, h.w.refusalRate = 0, 0.2
	if got := idle(2_000_000); got != shortIdleTimeoutUS {
		t.Errorf("after a retry storm the idle timeout is %d us", got)
	}
}

// A dependency of all servers failed half of their runs, and half of the fleet left the registry's list at
// once.
func TestHalfOfRunsFailingKeepsHealthGood(t *testing.T) {
	for of, healthy := range map[int]bool{2: true, 1: false} { // every second run fails, or all
		h := newHarness(t, nil)
		for id := RequestID(1); id < 120; id++ {
			now := int64(id) * 400_000
			h.step(now, arrival(id, 0))
			outcome := OK
			if int(id)%of == 0 {
				outcome = Failed
			}
			h.step(now+50_000, Event{Kind: Done, ID: id, Outcome: outcome})
		}
		if h.w.healthy != healthy {
			t.Errorf("one in %d fails: healthy %v, failing %.2f", of, h.w.healthy, h.w.failureRate)
		}
	}
}
