package kiteslip

import (
	"slices"
	"testing"
)

// A keyed request is retained, for its window at least, before it runs.
func TestKeyRetainedBeforeRun(t *testing.T) {
	h := newHarness(t, nil)
	acts := h.step(1000, arrival(1, 1))
	for _, a := range acts {
		switch a.Kind {
		case Retain:
			if a.After < 8_000_000 {
				t.Fatalf("retained for %d us, less than the window", a.After)
			}
			return
		case Run:
			t.Fatal("ran before it was retained")
		}
	}
	t.Fatal("never retained")
}

// A duplicate gets the result of its original, both while that runs and after it ended.
func TestDuplicateReusesResult(t *testing.T) {
	h := newHarness(t, nil)
	duplicate := arrival(2, 1)
	duplicate.DuplicateOf = 1
	acts := h.step(1000, arrival(1, 1), duplicate)
	h.want(acts, Run, 1, true)
	h.want(acts, Reuse, 2, true)
	h.want(acts, Run, 2, false)
	late := arrival(3, 1)
	late.DuplicateOf = 1
	h.step(200_000, Event{Kind: Done, ID: 1, Outcome: OK, Elapsed: 199_000})
	acts = h.step(300_000, late)
	h.want(acts, Reuse, 3, true)
	h.want(acts, Refuse, 3, false)
}

// When the caller of a queued original disconnects, its duplicate is retained and runs instead.
func TestDuplicateReplacesAbandonedRequest(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 0), arrival(2, 0)) // the cores are full
	duplicate := arrival(4, 1)
	duplicate.DuplicateOf = 3
	acts := h.step(2000, arrival(3, 1), duplicate)
	h.want(acts, Run, 3, false)
	acts = h.step(3000, Event{Kind: Disconnected, ID: 3})
	h.want(acts, Retain, 4, true)
	acts = h.step(4000, Event{Kind: Done, ID: 1, Outcome: OK, Elapsed: 3000})
	h.want(acts, Run, 4, true)
}

// A keyed run that was cancelled may have taken effect: neither a second run nor a refusal is allowed.
func TestCancelledKeyedRunFails(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 1))
	acts := h.step(2000, Event{Kind: Done, ID: 1, Outcome: Cancelled})
	h.want(acts, Fail, 1, true)
	h.want(acts, Refuse, 1, false)
	h.want(acts, Run, 1, false)
}

// A duplicate of a try that is refused in the same batch runs itself.
func TestDuplicateOfRefusedRequestRuns(t *testing.T) {
	h := newHarness(t, nil)
	first, duplicate := arrival(1, 1), arrival(2, 1)
	first.Waited = 1_990_000 // to be answered at once
	duplicate.DuplicateOf = 1
	acts := h.step(2_000_000, first, duplicate)
	h.want(acts, Refuse, 1, true)
	h.want(acts, Reuse, 2, false)
	h.want(acts, Retain, 2, true)
	h.want(acts, Run, 2, true)
}

// A read with the key of one that runs is served from its result.
func TestReadsWithOneKeyShareResult(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.ReuseFor = 100_000 })
	first := arrival(1, 0)
	first.Key = 5
	acts := h.step(1000, first)
	h.want(acts, Retain, 1, true)
	h.want(acts, Run, 1, true)
	second := arrival(2, 0)
	second.Key, second.DuplicateOf = 5, 1
	acts = h.step(2000, second)
	h.want(acts, Reuse, 2, true)
	h.want(acts, Run, 2, false)
}

// Duplicates that await one result can be neither refused nor shed: they must not outgrow the memory.
func TestDuplicatesStayWithinMemory(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Classes[1].Timeout, s.Classes[1].TargetTime = 60_000_000, 50_000_000 })
	first := arrival(1, 1)
	h.step(1000, first)
	waiting := 0
	for id := RequestID(2); id < 1200; id++ {
		duplicate := arrival(id, 1)
		duplicate.DuplicateOf = 1
		if hasAction(h.step(int64(id)*1000, duplicate), Reuse, id) {
			waiting++
		}
		if h.w.recount(); h.w.memoryKB > h.w.cfg.MemoryKB {
			t.Fatalf("%v of %v KB in use with %d duplicates", h.w.memoryKB, h.w.cfg.MemoryKB, id)
		}
	}
	if waiting < 500 {
		t.Errorf("only %d duplicates await the result", waiting)
	}
}

// A class with preparation starts only requests that are ready: at most as many are prepared at once as there
// are cores, no slot waits for them, and each is prepared once.
func TestPrepare(t *testing.T) {
	t.Parallel()
	s := testSettings()
	s.Downstream, s.Classes[0].CallsDownstream, s.Classes[1].CallsDownstream = 0, false, false
	s.Classes[1].Prepare = true
	w, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	step := func(now int64, events ...Event) (prepare, run []RequestID) {
		for _, a := range w.Step(now, events, nil) {
			switch a.Kind {
			case Prepare:
				prepare = append(prepare, a.ID)
			case Run:
				run = append(run, a.ID)
			}
		}
		return prepare, run
	}
	var events []Event
	for id := RequestID(1); id <= 4; id++ {
		events = append(events, Event{Kind: Arrive, ID: id, Class: 1, SizeKB: 10, Deadline: 1_900_000})
	}
	prepare, run := step(1, append(events, Event{Kind: Arrive, ID: 9, Class: 0, SizeKB: 10, Deadline: 4_000_000})...)
	if !slices.Equal(prepare, []RequestID{1, 2}) || !slices.Equal(run, []RequestID{9}) {
		t.Errorf("prepares %v, runs %v", prepare, run)
	}
	if prepare, run = step(10_000); prepare != nil || run != nil {
		t.Errorf("with nothing ready: prepares %v, runs %v", prepare, run)
	}
	if prepare, run = step(20_000, Event{Kind: Ready, ID: 2}); prepare != nil || !slices.Equal(run, []RequestID{2}) {
		t.Errorf("with one ready: prepares %v, runs %v", prepare, run)
	}
	if prepare, run = step(30_000, Event{Kind: Disconnected, ID: 1}); !slices.Equal(prepare, []RequestID{3, 4}) || run != nil {
		t.Errorf("with one disconnected: prepares %v, runs %v", prepare, run)
	}
}
