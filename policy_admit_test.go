package kiteslip

import (
	"testing"
)

// The admission draw refuses nothing below the band, everything above it, and half of the arrivals in its
// middle.
func TestRefuseChance(t *testing.T) {
	for _, c := range []struct{ x, want float64 }{{929, 0}, {930, 0.01}, {965, 0.5}, {999.999, 0.99}, {1000, 1}, {5000, 1}} {
		if got := refuseChance(c.x, 1000); got < c.want-0.001 || got > c.want+0.001 {
			t.Errorf("refuseChance(%v) = %v, want %v", c.x, got, c.want)
		}
	}
}

// Servers that read slowly were sent their full part: the load signal must include the read delay.
func TestReadDelayRaisesMinRank(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.LoadSignal = LoadSignalMinRank })
	for i := range RequestID(20) {
		e := arrival(i+1, 0)
		e.Waited = 1_500_000
		h.step(1000+int64(i)*100_000, e)
	}
	if h.w.lastSignal <= 0 {
		t.Fatalf("the minimum rank sent is %v, want above 0", h.w.lastSignal)
	}
}

// A worker whose runs fail refuses most arrivals, but keeps trying some.
func TestFailingWorkerRefusesButProbes(t *testing.T) {
	h := newHarness(t, nil)
	now, ran, refused := int64(0), 0, 0
	for id := RequestID(1); id < 200; id++ {
		now += 50_000
		acts := h.step(now, arrival(id, 0))
		if hasAction(acts, Refuse, id) {
			refused++
		} else {
			ran++
			h.step(now+1000, Event{Kind: Done, ID: id, Outcome: Failed})
		}
	}
	if refused < 50 || ran < 20 {
		t.Fatalf("refused %d, ran %d", refused, ran)
	}
}

// Arrivals beyond the memory are refused; the memory in use never exceeds the top of the draw's band.
func TestRefusesAtMemoryTop(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.MemoryKB = 600 })
	refused := 0
	for id := RequestID(1); id <= 60; id++ {
		if hasAction(h.step(1000+int64(id)*2000, arrival(id, 0)), Refuse, id) {
			refused++
		}
		if h.w.recount(); h.w.memoryKB > h.w.memoryTop() {
			t.Fatalf("memory %v over the top %v", h.w.memoryKB, h.w.memoryTop())
		}
	}
	if refused == 0 {
		t.Fatal("nothing refused")
	}
}

// A keyed request is refused if there is no memory for its key entry.
func TestRefusedWithoutRoomForKeyEntry(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.KeyKB = 9990 })
	acts := h.step(1000, arrival(1, 1))
	h.want(acts, Refuse, 1, true)
	h.want(acts, Run, 1, false)
}

// Sixteen of the largest sizes were most of a small machine's memory: the draw refused three of four
// arrivals.
func TestMemoryTopOnSmallMachine(t *testing.T) {
	for cores, want := range map[int]float64{1: 2, 2: 4, 8: 16, 64: 16} {
		h := newHarness(t, func(s *Settings) { s.Cores = cores })
		h.step(1000, arrival(1, 0))
		if got := (10000 - h.w.memoryTop()) / 10; got != want {
			t.Errorf("%d cores: the top lies %v sizes below the memory, want %v", cores, got, want)
		}
	}
}

// One very large request put the top of the draw's band at zero for good: everything after it was refused.
func TestOneLargeRequestDoesNotBlockAdmission(t *testing.T) {
	h := newHarness(t, nil)
	large := arrival(1, 0)
	large.SizeKB = 9000
	h.step(1000, large)
	h.step(2000, Event{Kind: Done, ID: 1, Outcome: OK}, Event{Kind: Disconnected, ID: 1})
	h.want(h.step(3000, arrival(2, 0)), Run, 2, true)
}

// A minimum rank above the most requested class refused nearly all, fell to zero, and rose again.
func TestMinRankStopsAtLeastValuableClass(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.LoadSignal = LoadSignalMinRank })
	for now := int64(1); now < 20; now++ {
		h.w.readDelay = 3_000_000
		h.step(now*1_000_000, Event{Kind: Timer})
	}
	for now := int64(200); now < 400; now++ {
		h.w.readDelay = 3_000_000
		h.step(now*100_000, Event{Kind: Timer})
	}
	if want := 1.0 / 3; h.w.minRank < want-0.01 || h.w.minRank > want {
		t.Errorf("the minimum rank is %v, want %v for three classes", h.w.minRank, want)
	}
}

// Paused work keeps the memory of a running request until it is answered.
func TestPausedWorkCountsAgainstTheMemory(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Stop = StopFreeze })
	h.step(1000, arrival(1, 0), arrival(2, 0))
	h.w.limit = 0
	h.step(2000, Event{Kind: Done, ID: 1, Outcome: Cancelled})
	if h.w.recount(); h.w.find(1).phase != paused || h.w.memoryKB != 160 {
		t.Fatalf("phase %d, memory %v, want paused and 160", h.w.find(1).phase, h.w.memoryKB)
	}
	h.w.limit = 0
	acts := h.step(2_001_001, Event{Kind: Timer})
	h.want(acts, Refuse, 1, true)
	h.step(2_002_000, Event{Kind: Done, ID: 2, Outcome: Cancelled})
	if h.w.recount(); h.w.memoryKB != 0 {
		t.Errorf("%v kB left behind", h.w.memoryKB)
	}
}
