package core

import (
	"testing"

	"kiteslip"
)

// shortWindowSettings has a window that may be shorter than a run.
func shortWindowSettings(window int64) kiteslip.Settings {
	s := testSettings()
	s.Classes[1].Window = window
	return s
}

// newUncheckedHarness returns a harness that does not check runs against the window of testSettings.
func newUncheckedHarness(t *testing.T, window int64) *harness {
	h := newHarnessWith(t, shortWindowSettings(window))
	h.lastRun = map[string]*Request{}
	return h
}

// keyedRuns returns the number of runs of the keyed class so far.
func (h *harness) keyedRuns() int {
	n := 0
	for r := range h.ran {
		if r.Class == 1 && h.ran[r] {
			n++
		}
	}
	return n
}

// A try that arrives after the window of one that is still running takes its
// result: one request never has two runs at once.
func TestWindowShorterThanRun(t *testing.T) {
	h := newUncheckedHarness(t, 100_000)
	first := h.submit(1, "k", 0, 1_400_000)
	h.core.Step(h.now)
	if len(h.running) != 1 {
		t.Fatalf("%d runs in progress", len(h.running))
	}
	delete(h.lastRun, "k")
	h.advance(400_000) // the window and its margin have ended
	second := h.submit(1, "k", 0, 900_000)
	h.core.Step(h.now)
	if len(h.running) != 1 {
		t.Fatalf("%d runs at once", len(h.running))
	}
	h.finish(0, kiteslip.OK)
	h.core.Step(h.now)
	for _, r := range []*Request{first, second} {
		if a := h.answers[r]; len(a) != 1 || a[0].Code != Served {
			t.Errorf("%s: %+v", r.TryID, a)
		}
	}
	h.advance(400_000)
	third := h.submit(1, "k", 0, 900_000) // no earlier run blocks it now
	h.core.Step(h.now)
	if len(h.running) != 1 || h.running[0] != third {
		t.Errorf("%d runs in progress", len(h.running))
	}
}

// A window that becomes shorter allows nothing that the longer one forbade, both
// for requests that have run and for those still to run.
func TestWindowShrinks(t *testing.T) {
	for _, started := range []bool{true, false} {
		h := newHarness(t) // 3 s
		first := h.submit(1, "k", 0, 1_400_000)
		if started {
			h.core.Step(h.now)
		}
		if err := h.core.Reconfigure(shortWindowSettings(0), nil, nil); err != nil {
			t.Fatal(err)
		}
		h.core.Step(h.now)
		if len(h.running) != 1 || h.running[0] != first {
			t.Fatalf("started before %v: %d runs in progress", started, len(h.running))
		}
		h.finish(0, kiteslip.OK)
		h.core.Step(h.now)
		h.advance(2_500_000)
		second := h.submit(1, "k", 0, 1_400_000) // harness.Run fails the test if it runs
		h.core.Step(h.now)
		if a := h.answers[second]; len(a) != 1 || a[0].Code != Served {
			t.Errorf("started before %v: %+v", started, a)
		}
	}
}

// The window of a try whose caller's clock is ahead counts from the caller's time.
func TestWindowCountsFromClientTime(t *testing.T) {
	h := newUncheckedHarness(t, 1_000_000)
	h.submit(1, "k", -2_000_000, 1_400_000)
	h.core.Step(h.now)
	h.finish(0, kiteslip.OK)
	h.core.Step(h.now)
	delete(h.lastRun, "k")
	h.advance(2_500_000) // within 1 s of the caller's time
	second := h.submit(1, "k", 0, 1_400_000)
	h.core.Step(h.now)
	if a := h.answers[second]; len(h.running) > 0 || len(a) != 1 || a[0].Code != Served {
		t.Errorf("%d run, %+v", len(h.running), a)
	}
}

// A duplicate exactly at the end of the window, with its margin, takes the result.
func TestDuplicateAtWindowEnd(t *testing.T) {
	for late, runs := range map[int64]int{0: 1, 1: 2} {
		h := newUncheckedHarness(t, 1_000_000)
		h.submit(1, "k", 0, 1_400_000)
		h.core.Step(h.now)
		h.finish(0, kiteslip.OK)
		h.core.Step(h.now)
		delete(h.lastRun, "k")
		h.advance(1_000_000 + keyMarginUS + late)
		h.submit(1, "k", 0, 1_400_000)
		h.core.Step(h.now)
		if got := h.keyedRuns(); got != runs {
			t.Errorf("%d us past the window: %d runs, want %d", late, got, runs)
		}
	}
}

// A longer grace that is configured during a drain lets no later request run.
func TestDrainGraceNotExtended(t *testing.T) {
	short := testSettings()
	short.DrainGrace = 100_000
	h := newHarnessWith(t, short)
	h.core.Drain(h.now, h.now+20_000_000)
	h.core.Step(h.now)
	if err := h.core.Reconfigure(testSettings(), nil, nil); err != nil {
		t.Fatal(err)
	}
	h.advance(200_000)
	late := h.submit(0, "", 0, 1_400_000)
	h.core.Step(h.now)
	if a := h.answers[late]; len(h.running) > 0 || len(a) != 1 || a[0].Code != Refused {
		t.Errorf("%d run, %+v", len(h.running), a)
	}
}

// All requests, running or queued, are answered once when the process ends.
func TestAnswerOutstanding(t *testing.T) {
	h := newHarness(t)
	executing := h.submit(0, "", 0, 1_400_000)
	keyed := h.submit(1, "k", 0, 1_400_000)
	h.core.Step(h.now)
	notStarted := h.submit(0, "", 0, 1_400_000)
	duplicate := h.submit(1, "k", 0, 1_400_000)
	if n := h.core.AnswerOutstanding(); n != 4 || h.core.Outstanding() != 0 {
		t.Errorf("%d answered, %d outstanding", n, h.core.Outstanding())
	}
	for r, code := range map[*Request]Code{executing: Failed, keyed: Failed, notStarted: Refused} {
		if a := h.answers[r]; len(a) != 1 || a[0].Code != code {
			t.Errorf("%s: %+v, want %d", r.TryID, a, code)
		}
	}
	if a := h.answers[duplicate]; len(a) != 1 || a[0].Code == Served {
		t.Errorf("the duplicate: %+v", a)
	}
	if n := h.core.AnswerOutstanding(); n != 0 {
		t.Errorf("%d are answered twice", n)
	}
	for len(h.running) > 0 {
		h.finish(0, kiteslip.OK)
	}
	h.core.Step(h.now)
}
