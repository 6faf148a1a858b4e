package pool

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"kiteslip"
)

const second = 1_000_000

// testSettings declare a small server: three pools on four cores, the last class in none of them.
func testSettings() Settings {
	return Settings{Cores: 4, MemoryKB: 10_000, RunFactor: 4, MaxRetryAfter: second, CheapReserve: 0.25,
		Classes: []Class{{second, 4 * second}, {second, 4 * second}, {second, 3 * second}, {second, 4 * second}},
		Pools: []Spec{
			{Name: "slow", Classes: []int{0}, Share: 0.3},
			{Name: "cheap", Classes: []int{2}, Share: 0.4, Reserve: 0.25},
			{Name: "other", Classes: []int{1}, Share: 0.2, MaxShare: 0.5, MaxMemoryShare: 0.5},
		}}
}

// An error about settings names the faulty key, and faulty settings are not applied.
func TestSettingsErrorsNameTheKey(t *testing.T) {
	t.Parallel()
	s := testSettings()
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	for key, spoil := range map[string]func(*Settings){
		"cores":                func(s *Settings) { s.Cores = 0 },
		"memory ":              func(s *Settings) { s.MemoryKB = math.NaN() },
		"pools.cheap_reserve":  func(s *Settings) { s.CheapReserve = 1.5 },
		"pool[0].name":         func(s *Settings) { s.Pools[0].Name = DefaultPool },
		"pool[1].name":         func(s *Settings) { s.Pools[1].Name = "slow" },
		"pool[0].classes":      func(s *Settings) { s.Pools[0].Classes = nil },
		"pool[2].classes":      func(s *Settings) { s.Pools[2].Classes = []int{0} },
		"pool[1].classes":      func(s *Settings) { s.Pools[1].Classes = []int{9} },
		"pool[0].share":        func(s *Settings) { s.Pools[0].Share = -0.1 },
		"pool[2].most":         func(s *Settings) { s.Pools[2].MaxShare = 0.1 },
		"pool[1].reserve":      func(s *Settings) { s.Pools[1].Reserve = math.NaN() },
		"pool[2].memory_most":  func(s *Settings) { s.Pools[2].MaxMemoryShare = 0.1 },
		"pool[2].waiting":      func(s *Settings) { s.Pools[2].MaxQueued = -1 },
		"pool.share adds up":   func(s *Settings) { s.Pools[0].Share, s.Pools[0].MemoryShare = 0.9, 0.1 },
		"pool.memory adds up":  func(s *Settings) { s.Pools[0].MemoryShare = 0.9 },
		"pool is there 65 tim": func(s *Settings) { s.Pools = append(make([]Spec, 62), s.Pools...) },
	} {
		s := testSettings()
		spoil(&s)
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
		if b, err := New(testSettings()); err != nil || b.Reconfigure(s) == nil {
			t.Errorf("%s: faulty settings are applied (%v)", key, err)
		}
	}
}

// modelRequest is a request in the model.
type modelRequest struct {
	class int
	kb    float64
	mark  float64
	began int64
	runs  bool
}

// For any sequence of arrivals, starts, ends, departures and new settings: the
// counts match the model, no core is left idle by a limit, and all ceilings stay
// within their bounds.
func TestAllocatorAgainstModel(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		b, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		now := int64(second)
		var all []modelRequest
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, second).Draw(t, "dt")
			pick := func() int { return rapid.IntRange(0, len(all)-1).Draw(t, "which") }
			switch op := rapid.IntRange(0, 6).Draw(t, "op"); {
			case op <= 2 || len(all) == 0:
				o := modelRequest{class: rapid.IntRange(0, 3).Draw(t, "class"), kb: float64(rapid.IntRange(1, 64).Draw(t, "kb"))}
				b.Arrive(now, o.class, o.kb)
				all = append(all, o)
			case op == 3:
				if o := &all[pick()]; !o.runs {
					o.mark, o.began, o.runs = b.Begin(now, o.class, o.kb), now, true
				}
			case op <= 5:
				i := pick()
				if o := all[i]; o.runs {
					b.End(now, o.class, o.kb, o.mark, now-o.began, rapid.Bool().Draw(t, "ok"))
				} else {
					b.Leave(now, o.class, o.kb)
				}
				all = append(all[:i], all[i+1:]...)
			default:
				next := testSettings()
				next.Pools = next.Pools[rapid.IntRange(0, 2).Draw(t, "dropped"):]
				if err := b.Reconfigure(next); err != nil {
					t.Fatal(err)
				}
				s = next
			}
			checkInvariants(t, b, &s, now, all)
		}
	})
}

// checkInvariants compares the allocator with the requests of the model.
func checkInvariants(t *rapid.T, b *Allocator, s *Settings, now int64, all []modelRequest) {
	limit := rapid.IntRange(1, 40).Draw(t, "limit")
	out := b.Ceilings(now, limit)
	poolOf := map[int]int{}
	for i, p := range s.Pools {
		for _, c := range p.Classes {
			poolOf[c] = i + 1
		}
	}
	running, waiting, total := make([]int, len(s.Pools)+1), make([]int, len(s.Pools)+1), 0
	kb := make([]float64, len(s.Pools)+1)
	for _, o := range all {
		if at := poolOf[o.class]; o.runs {
			running[at]++
			total++
			kb[at] += o.kb * s.RunFactor
		} else {
			waiting[at]++
			kb[at] += o.kb
		}
	}
	if out.MaxRuns < s.Cores {
		t.Fatalf("%d running slots on %d cores", out.MaxRuns, s.Cores)
	}
	for i, stats := range b.Stats() {
		c := out.Pools[i]
		if stats.Running != running[i] || stats.Waiting != waiting[i] || math.Abs(stats.BookedKB-kb[i]) > 1e-6 {
			t.Fatalf("pool %s: %+v, want %d running, %d waiting, %v KB", stats.Name, stats, running[i], waiting[i], kb[i])
		}
		maxShare := 1.0
		if i > 0 {
			maxShare = s.Pools[i-1].EffectiveMaxShare()
		}
		idle := min(s.Cores-total, int(math.Ceil(maxShare*float64(limit)))-running[i])
		if c.MaxRuns < 1 || idle > 0 && c.MaxRuns < running[i]+idle {
			t.Fatalf("pool %s may have %d runs, has %d, and %d of %d cores are idle", stats.Name, c.MaxRuns, running[i], s.Cores-total, s.Cores)
		}
		if c.GuaranteedRuns < 0 || c.GuaranteedRuns > 64 || c.MaxQueued < 1 || c.MaxKB < 0 || c.MaxKB > s.MemoryKB || c.GuaranteedKB > c.MaxKB+1e-6 ||
			c.RetryAfter < 1000 || c.RetryAfter > s.MaxRetryAfter || c.GuaranteedCores < 0 || c.GuaranteedCores > float64(s.Cores) || math.IsNaN(c.GuaranteedCores) {
			t.Fatalf("pool %s: %+v", stats.Name, c)
		}
		if i > 0 && running[i] == 0 && waiting[i] > 0 && c.GuaranteedRuns < int(s.Pools[i-1].Share*float64(s.Cores)) {
			t.Fatalf("pool %s has %d guaranteed slots, its share is %v of %d", stats.Name, c.GuaranteedRuns, s.Pools[i-1].Share, s.Cores)
		}
	}
}

// runClass runs one class on a machine whose cores are shared evenly: a constant number of concurrent runs,
// each of which takes that much work.
func runClass(b *Allocator, now int64, class, concurrent int, work float64, length int64, watch func(now int64)) int64 {
	type run struct {
		mark  float64
		began int64
	}
	var runs []run
	duration := int64(work * max(1, float64(concurrent)/4))
	for end := now + length; now < end; now += duration / int64(concurrent) {
		for len(runs) < concurrent {
			b.Arrive(now, class, 1)
			runs = append(runs, run{b.Begin(now, class, 1), now})
		}
		for len(runs) > 0 && now-runs[0].began >= duration {
			b.End(now, class, 1, runs[0].mark, now-runs[0].began, true)
			runs = runs[1:]
		}
		b.Ceilings(now, 40)
		if watch != nil {
			watch(now)
		}
	}
	for _, r := range runs {
		b.End(now, class, 1, r.mark, now-r.began, false)
	}
	return now
}

// Overload drives the limit to its minimum; once it is over, the limit recovers
// within seconds, without oscillating.
func TestLimitRecovers(t *testing.T) {
	t.Parallel()
	b, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	const slow = 1 // index of the pool
	limit := func() float64 { return b.pools[slow].limiter.limit }
	now := runClass(b, second, 0, 4, 50_000, 5*second, nil)
	normal := limit()
	now = runClass(b, now, 0, 40, 50_000, 5*second, nil)
	lowest := limit()
	if lowest > 0.6*normal {
		t.Fatalf("ten runs a core leave the limit at %.1f of %.1f", lowest, normal)
	}
	recovered, lowestAfter, highestAfter := int64(0), math.Inf(1), 0.0
	began := now
	runClass(b, now, 0, 4, 50_000, 10*second, func(now int64) {
		if recovered == 0 && limit() >= 4 {
			recovered = now - began
		}
		if now >= began+3*second {
			lowestAfter, highestAfter = min(lowestAfter, limit()), max(highestAfter, limit())
		}
	})
	if recovered == 0 || recovered > 3*second {
		t.Errorf("the limit is at %.1f; it took %d ms to recover to the number of cores", limit(), recovered/1000)
	}
	if highestAfter > 1.1*lowestAfter {
		t.Errorf("the limit varies between %.1f and %.1f after its recovery", lowestAfter, highestAfter)
	}
}

// A machine that runs at half speed for good is slow, not overloaded: the limit
// recovers within seconds though every run takes twice as long.
func TestLimitFollowsASlowMachine(t *testing.T) {
	t.Parallel()
	b, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	now := runClass(b, second, 0, 4, 50_000, 5*second, nil)
	normal := b.pools[1].limiter.limit
	lowest, highestRatio := normal, 0.0
	runClass(b, now, 0, 4, 100_000, 12*second, func(int64) {
		lowest, highestRatio = min(lowest, b.pools[1].limiter.limit), max(highestRatio, b.pools[1].limiter.latencyRatio)
	})
	if highestRatio < toleratedRatio {
		t.Errorf("runs of twice the time give a latency ratio of %.2f", highestRatio)
	}
	if l := b.pools[1].limiter.limit; lowest < 0.6*normal || l < 0.9*normal {
		t.Errorf("at half the speed the limit falls from %.1f to %.1f and is at %.1f after 12 s", normal, lowest, l)
	}
}

// The cheapest class is learned, changes when the costs are exchanged, and does not
// alternate between classes of similar cost.
func TestCheapestIsLearned(t *testing.T) {
	t.Parallel()
	b, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	now := runClass(b, second, 0, 2, 80_000, 3*second, nil)
	if b.CheapestClass() != 0 {
		t.Errorf("the only class that runs is not the cheapest, but %d", b.CheapestClass())
	}
	now = runClass(b, now, 2, 2, 20_000, 3*second, nil)
	if b.CheapestClass() != 2 {
		t.Errorf("cheapest is %d, want 2", b.CheapestClass())
	}
	for range 5 { // similar costs, in turn
		now = runClass(b, now, 1, 2, 19_000, second, nil)
		now = runClass(b, now, 2, 2, 21_000, second, nil)
		if b.CheapestClass() != 2 {
			t.Fatalf("the reserve moved to class %d for a tenth of the cost", b.CheapestClass())
		}
	}
	now = runClass(b, now, 2, 2, 90_000, 8*second, nil)
	if b.CheapestClass() != 1 {
		t.Errorf("cheapest is %d after class 2 became expensive, want 1", b.CheapestClass())
	}
	if out := b.Ceilings(now, 8); out.CheapestClass != 1 || out.CheapestReserved != 1 {
		t.Errorf("the reserve is %d slots for class %d", out.CheapestReserved, out.CheapestClass)
	}
}

// A pool without work for an hour saves up a bounded number of runs.
func TestCreditIsBounded(t *testing.T) {
	t.Parallel()
	b, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	now := runClass(b, second, 2, 2, 50_000, 2*second, nil)
	b.Arrive(now+3600*second, 2, 1)
	out := b.Ceilings(now+3600*second, 8)
	if slots := out.Pools[2].GuaranteedRuns; slots < 2 || float64(slots) > 2+maxCreditRuns*4*0.4 {
		t.Errorf("after an hour the pool has %d guaranteed slots", slots)
	}
	now = runClass(b, now+3600*second, 2, 8, 50_000, 3*second, nil)
	b.Arrive(now, 2, 1)
	if slots := b.Ceilings(now, 8).Pools[2].GuaranteedRuns; slots > 2 {
		t.Errorf("a pool in debt has %d guaranteed slots", slots)
	}
}

// Guaranteed memory that another pool may claim is not lent, and memory that
// nobody claims is.
func TestUnclaimedMemoryIsLent(t *testing.T) {
	t.Parallel()
	b, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	for range 70 {
		b.Arrive(second, 0, 100) // 7,000 of 10,000 KB
	}
	out := b.Ceilings(second, 4)
	if kb := out.Pools[1].MaxKB; kb != 10_000 {
		t.Errorf("with no other pool in use a pool may book %v KB of 10,000", kb)
	}
	b.Arrive(second, 2, 100)
	out = b.Ceilings(second, 4)
	if kb := out.Pools[1].MaxKB; kb != 6_000 {
		t.Errorf("beside a pool with a share of 0.4 another may book %v KB, want 6,000", kb)
	}
	if kb := out.Pools[2].MaxKB; kb < 4_000 {
		t.Errorf("a pool may book %v KB of its guaranteed 4,000", kb)
	}
	if kb := out.Pools[3].MaxKB; kb > 5_000 {
		t.Errorf("a pool with a bound of half may book %v KB", kb)
	}
	var none kiteslip.Ceiling
	if out.Pools[0] == none {
		t.Error("the default pool has no ceiling at all")
	}
}
