package kiteslip

import (
	"slices"
	"testing"
)

// The running limit grows with runs that end in time, but not while all cores are in use: such growth left
// arrivals unread for seconds.
func TestLimitGrowsOnlyWithSpareCore(t *testing.T) {
	for runnable, grows := range map[float32]bool{1: true, 2: false, 6: false} {
		h := newHarness(t, nil)
		now, id := int64(1000), RequestID(1)
		h.step(now, Event{Kind: Timer, Gauges: Gauges{Valid: true, Runnable: runnable}}, arrival(1, 0), arrival(2, 0))
		for range 8 {
			now += 100_000
			h.step(now, Event{Kind: Done, ID: id, Outcome: OK}, arrival(id+2, 0), arrival(id+100, 0))
			id++
		}
		if got := h.w.limit > 2; got != grows {
			t.Errorf("runnable %v: limit %d, grows want %v", runnable, h.w.limit, grows)
		}
	}
}

// Callers left before a backlog of unread requests was read: half of the cores are left to reading it.
func TestReadBacklogHalvesRuns(t *testing.T) {
	for waited, want := range map[int64]int{0: 2, 1_500_000: 1} {
		h := newHarness(t, nil)
		h.w.readDelay = float64(waited)
		one, two := arrival(1, 0), arrival(2, 0)
		one.Waited, two.Waited = waited, waited
		runs := 0
		for _, a := range h.step(2_000_000, one, two) {
			if a.Kind == Run {
				runs++
			}
		}
		if runs != want {
			t.Errorf("waited %d: %d runs, want %d", waited, runs, want)
		}
	}
}

// A cold server survives fewer concurrent runs than a warm one.
func TestSafeRunsOfColdServer(t *testing.T) {
	for cold, want := range map[bool]float64{false: 0.8 * 2 * 8, true: 0.8 * 2 * (1 + 7*0.2)} {
		h := newHarness(t, func(s *Settings) { s.JustStarted = cold })
		h.step(1000)
		if got := h.w.safeRuns(); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("cold %v: %v safe runs, want %v", cold, got, want)
		}
	}
}

// One short first run set a mean work of a few milliseconds: health flapped and the limit was cut at every
// start.
func TestOneShortRunDoesNotSetMeanWork(t *testing.T) {
	h := newHarness(t, nil)
	initial := h.w.classes[0].meanWork
	h.step(1000, arrival(1, 0))
	h.step(3000, Event{Kind: Done, ID: 1, Outcome: OK})
	if h.w.classes[0].meanWork < initial/2 || h.w.classes[0].meanWork >= initial {
		t.Errorf("the mean work went from %v to %v by one run of 2000 us", initial, h.w.classes[0].meanWork)
	}
}

// With work that varies so that a tenth of the runs takes twice the mean, and two or three runs in a window,
// one long run cut the limit each time: fast servers were half idle while they refused requests.
func TestOneLongRunDoesNotCutTheLimit(t *testing.T) {
	h := newHarness(t, nil)
	h.w.limit = 6
	h.w.setMeanWork(0, 200_000)
	h.step(1000, arrival(1, 0))
	h.step(901_000, Event{Kind: Done, ID: 1, Outcome: OK})
	if h.w.limit < 6 {
		t.Errorf("one long run cut the limit to %d", h.w.limit)
	}
	now, id := int64(1_000_000), RequestID(2)
	for range 12 { // all late
		h.step(now, arrival(id, 0))
		h.w.setMeanWork(0, 200_000)
		now += 900_000
		h.step(now, Event{Kind: Done, ID: id, Outcome: OK})
		id++
	}
	if h.w.limit >= 6 {
		t.Errorf("twelve late runs left the limit at %d", h.w.limit)
	}
}

// One run of thirty times the usual work doubled the mean work of its class.
func TestHeavyRunIsClampedInMeanWork(t *testing.T) {
	h := newHarness(t, nil)
	h.w.setMeanWork(0, 200_000)
	h.w.classes[0].runs = 100
	h.w.cfg.Classes[0].TargetTime, h.w.cfg.Classes[0].Timeout = 20_000_000, 20_000_000
	h.step(1000, arrival(1, 0))
	h.step(6_001_000, Event{Kind: Done, ID: 1, Outcome: OK})
	if h.w.classes[0].meanWork > 260_000 {
		t.Errorf("the mean work went from 200000 to %v by one heavy run", h.w.classes[0].meanWork)
	}
}

// Two heavy runs on two cores kept everything else waiting, and turned health bad for lack of progress.
func TestHeavyRunsLeaveRoomForOthers(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Classes[0].TargetTime, s.Classes[0].Timeout = 20_000_000, 20_000_000 })
	h.w.setMeanWork(0, 200_000)
	h.w.classes[0].runs = 100
	h.step(1000, arrival(1, 0), arrival(2, 0))
	h.want(h.step(500_000, arrival(3, 0)), Run, 3, false)
	h.want(h.step(1_500_000, Event{Kind: Timer}), Run, 3, true)
	h.step(1_900_000, Event{Kind: Done, ID: 3, Outcome: OK})
	if h.step(3_000_000, Event{Kind: Timer}); !h.w.healthy {
		t.Error("two heavy runs turned health bad")
	}
}

// Only completed, short runs counted in the mean work: those halted at their soft deadline looked quick again
// and again.
func TestStoppedRunsCountInMeanWork(t *testing.T) {
	h := newHarness(t, nil)
	h.w.setMeanWork(0, 200_000)
	h.w.classes[0].runs = 100
	h.step(1000, arrival(1, 0))
	h.step(2_001_001, Event{Kind: Timer}) // halted and answered at its soft deadline
	h.step(2_002_000, Event{Kind: Done, ID: 1, Outcome: Cancelled})
	if h.w.classes[0].meanWork <= 210_000 {
		t.Errorf("the mean work stays at %v after a run halted at 2000000 us", h.w.classes[0].meanWork)
	}
}

// Runs and memory of the peer count as this worker's own, but not as a stall of it.
func TestPeerRunsCount(t *testing.T) {
	h := newHarness(t, func(s *Settings) {
		s.Downstream, s.Classes[0].CallsDownstream, s.Classes[0].SkipWorth = DownstreamNone, false, 0
	})
	h.step(0)
	h.want(h.step(1000, Event{Kind: PeerLoad, Runs: 2, SizeKB: 100}, arrival(1, 0)), Run, 1, false)
	h.want(h.step(2000, Event{Kind: PeerLoad}), Run, 1, true)
	h.step(3000, Event{Kind: Done, ID: 1, Outcome: OK, Elapsed: 1000})
	h.step(4000, Event{Kind: PeerLoad, SizeKB: 10_000})
	h.want(h.step(5000, arrival(2, 0)), Refuse, 2, true) // the peer uses all memory
	h.step(6000, Event{Kind: PeerLoad, Runs: 2})
	for now := int64(10_000); now < 60_000_000; now += 10_000 {
		for _, a := range h.step(now) {
			if a.Kind == Health && !a.On {
				t.Fatal("runs of the peer count as a stall")
			}
		}
	}
}

// The ceilings of pools hold: guaranteed slots go before worth, the maximum is not exceeded, reserved slots
// lie beyond the limit, and the queue is bounded.
func TestCeilings(t *testing.T) {
	t.Parallel()
	s := testSettings()
	s.Downstream, s.Classes[0].CallsDownstream, s.Classes[1].CallsDownstream, s.MaxRunsPerCore, s.ColdSpeed = 0, false, false, 0, 0
	play := func(c *Ceilings, classes ...int) (runs, refused []int) {
		w, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		w.SetCeilings(c)
		var events []Event
		for i, class := range classes {
			events = append(events, Event{Kind: Arrive, ID: RequestID(i + 1), Class: class, SizeKB: 10, Deadline: 1_800_000})
		}
		for _, a := range w.Step(1, events, nil) {
			switch a.Kind {
			case Run:
				runs = append(runs, classes[a.ID-1])
			case Refuse:
				refused = append(refused, classes[a.ID-1])
			}
		}
		return runs, refused
	}
	open := Ceiling{MaxRuns: 9, MaxQueued: 9, GuaranteedKB: 1e4, MaxKB: 1e4, GuaranteedCores: 2}
	with := func(f func(a, b *Ceiling, c *Ceilings)) *Ceilings {
		c := &Ceilings{PoolOf: []int{0, 1, 0}, Pools: []Ceiling{open, open}, MaxRuns: 2, CheapestClass: -1}
		f(&c.Pools[0], &c.Pools[1], c)
		return c
	}
	costly, cheap := []int{0, 0, 1, 1, 1}, []int{1, 1}
	for name, c := range map[string]struct {
		ceil          *Ceilings
		runs, refused []int
	}{
		"none":             {nil, cheap, nil},
		"no bounds":        {with(func(a, b *Ceiling, c *Ceilings) {}), cheap, nil},
		"guaranteed slots": {with(func(a, b *Ceiling, c *Ceilings) { a.GuaranteedRuns = 1 }), []int{0, 1}, nil},
		"most":             {with(func(a, b *Ceiling, c *Ceilings) { b.MaxRuns = 1 }), []int{1, 0}, nil},
		"spare":            {with(func(a, b *Ceiling, c *Ceilings) { a.ReservedRuns = 1 }), []int{0, 1}, nil},
		"cheap": {with(func(a, b *Ceiling, c *Ceilings) {
			c.CheapestClass, c.CheapestReserved, a.GuaranteedRuns, b.GuaranteedRuns = 0, 1, 1, 2
		}), []int{1, 1, 0}, nil},
		"places":  {with(func(a, b *Ceiling, c *Ceilings) { c.MaxRuns = 1 }), []int{1}, nil},
		"waiting": {with(func(a, b *Ceiling, c *Ceilings) { b.MaxQueued = 2 }), cheap, []int{1}},
		"memory":  {with(func(a, b *Ceiling, c *Ceilings) { a.MaxKB = 15 }), cheap, []int{0}},
	} {
		if runs, refused := play(c.ceil, costly...); !slices.Equal(runs, c.runs) || !slices.Equal(refused, c.refused) {
			t.Errorf("%s: runs %v, refuses %v; want %v, %v", name, runs, refused, c.runs, c.refused)
		}
	}
}
