package lab

import (
	"reflect"
	"testing"

	"kiteslip/internal/pool"
)

// findScenario returns the scenario with the given name.
func findScenario(t *testing.T, name string) Scenario {
	t.Helper()
	for _, s := range PoolScenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return Scenario{}
}

// Under overload or on slow cores the cheapest class is served on time with pools.
// Without pools it is not, which shows that the scenarios are hard enough.
func TestPoolsProtectCheapestClass(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		least, off float64
	}{{"full", 0.98, 0.97}, {"halved", 0.95, 0.9}, {"twice", 0.95, 0.9}} {
		for _, gauges := range []bool{false, true} {
			r, err := Compare(findScenario(t, c.name), gauges, 2)
			if err != nil {
				t.Fatal(err)
			}
			if r.CheapestOnTimeWith < c.least || r.CheapestOnTimeWithout > c.off || r.WorthRatio < 0.98 || r.DeadlineExceeded > 0 {
				t.Errorf("%s, gauges %v: %+v", c.name, gauges, r)
			}
		}
	}
}

// Too much traffic of one class leaves the other pools their share.
func TestOverloadOfOneClassLeavesOthersTheirShare(t *testing.T) {
	t.Parallel()
	r, err := Compare(findScenario(t, "slow-flood"), false, 2)
	if err != nil {
		t.Fatal(err)
	}
	if r.CheapestOnTimeWith < 0.95 || r.CheapestOnTimeWithout > 0.97 || r.WorthRatio < 0.98 {
		t.Errorf("slow flood: %+v", r)
	}
	if r, err = Compare(findScenario(t, "cheap-flood"), false, 2); err != nil {
		t.Fatal(err)
	}
	if r.ShareKept < 0.9 {
		t.Errorf("cheap flood: %+v", r)
	}
}

// With more traffic than its share for every pool at once, each gets most of its
// share of the work done.
func TestAllPoolsOverloaded(t *testing.T) {
	t.Parallel()
	spec := findScenario(t, "twice").Spec()
	spec.Seed = 3
	spec.Streams = nil
	for class, load := range []float64{0.5, 0.3, 1.2, 0.9} {
		spec.Streams = append(spec.Streams, SingleClass(brokerCores, class, load))
	}
	spec.Pools = BrokerPools(&spec.Policy)
	r, err := Simulate(spec)
	if err != nil {
		t.Fatal(err)
	}
	for i := range spec.Pools.Pools {
		p := &spec.Pools.Pools[i]
		served := 0.0
		for _, c := range p.Classes {
			served += r.Classes[c].OnTimeWork + r.Classes[c].LateWork
		}
		if guaranteed := p.Share * brokerCores * float64(spec.Length-spec.CountFrom); served < 0.85*guaranteed {
			t.Errorf("pool %s completed %.2f of its share", p.Name, served/guaranteed)
		}
	}
}

// At a cold start under full load no answer is overdue, and the cheapest class is
// served from the start.
func TestColdStartUnderFullLoad(t *testing.T) {
	t.Parallel()
	simulate := func(pools bool) *Result {
		spec := findScenario(t, "full").Spec()
		spec.Streams, spec.Length, spec.CountFrom, spec.Seed = MixedTraffic(brokerCores, 0.9), 30*Second, 0, 5
		spec.Changes = []Change{{0, StartWarmup(0.21, 17*Second)}}
		if pools {
			spec.Pools = BrokerPools(&spec.Policy)
		}
		r, err := Simulate(spec)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	on, off := simulate(true), simulate(false)
	if on.DeadlineExceeded > 0 || on.Classes[LandmarkSearch].OnTimeShare() < 0.85 || off.Classes[LandmarkSearch].OnTimeShare() > 0.8 {
		t.Errorf("landmark-search on time: %.3f with pools, %.3f without; %d overdue", on.Classes[LandmarkSearch].OnTimeShare(),
			off.Classes[LandmarkSearch].OnTimeShare(), on.DeadlineExceeded)
	}
}

// Pools are removed, resized and restored while requests are queued and running:
// every request has its final answer, none of them overdue, and the counts of the
// pools match the runs on the cores throughout.
func TestReconfigurePoolsUnderLoad(t *testing.T) {
	t.Parallel()
	spec := findScenario(t, "full").Spec()
	spec.Seed = 4
	spec.Pools = BrokerPools(&spec.Policy)
	original := BrokerPools(&spec.Policy)
	reduced, resized := *original, *original
	reduced.Pools = []pool.Spec{original.Pools[0], original.Pools[2]}
	resized.Pools = []pool.Spec{original.Pools[1], {Name: "all", Classes: []int{CodeToPoint, PointToCode, RegisterAddress}, Share: 0.5}}
	spec.Changes = []Change{{10 * Second, Reconfigure(&reduced)}, {20 * Second, Reconfigure(&resized)}, {25 * Second, Reconfigure(nil)}, {30 * Second, Reconfigure(original)}}
	observations := 0
	spec.Observe = func(w *Simulation, at int64) {
		stats := w.Core.Pools()
		if (stats == nil) != (at >= 25*Second && at < 30*Second) {
			t.Fatalf("at %d ms there are %d pools", at/1000, len(stats))
		}
		running, waiting := 0, 0
		for _, s := range stats {
			running, waiting = running+s.Running, waiting+s.Waiting
		}
		requests, _ := w.Core.Tracked()
		if stats != nil && (running != w.Box.Runs() || waiting != requests-running) {
			t.Fatalf("at %d ms the pools count %d running, %d waiting; %d run on the cores, %d are open", at/1000, running, waiting, w.Box.Runs(), requests)
		}
		observations++
	}
	r, err := Simulate(spec)
	if err != nil {
		t.Fatal(err)
	}
	if r.requests() != r.answers() || r.DeadlineExceeded > 0 || observations < 200 {
		t.Errorf("%d requests, %d answered, %d after their deadline, %d observations", r.requests(), r.answers(), r.DeadlineExceeded, observations)
	}
}

// When the work of two classes is swapped during the simulation, the reserve for the
// cheapest class moves to the pool of the other one.
func TestCheapestClassFollowsWork(t *testing.T) {
	t.Parallel()
	spec := findScenario(t, "full").Spec()
	spec.Seed, spec.Length = 6, 90*Second
	spec.Pools = BrokerPools(&spec.Policy)
	changeWork := func(class int, before, after float64) {
		spec.Streams[class].Work = func(at int64) (float64, float64) {
			if at < 40*Second {
				return before * 800, before * 1200
			}
			return after * 800, after * 1200
		}
	}
	changeWork(LandmarkSearch, 200, 400)
	changeWork(RegisterAddress, 330, 150)
	lastCheapest := map[string]int64{} // by pool: when it last had the cheapest class
	spec.Observe = func(w *Simulation, at int64) {
		for _, f := range w.Core.Pools() {
			if f.HasCheapest {
				lastCheapest[f.Name] = at
			}
		}
	}
	if _, err := Simulate(spec); err != nil {
		t.Fatal(err)
	}
	if at := lastCheapest["landmarks"]; at < 39*Second || at > 60*Second {
		t.Errorf("landmarks was the cheapest pool until %d ms, want some seconds after the swap at 40,000 ms", at/1000)
	}
	if lastCheapest["registrations"] < 85*Second {
		t.Errorf("registrations is not the cheapest pool at the end: %v", lastCheapest)
	}
}

// The same seed gives the same result.
func TestSimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	simulate := func() *Result {
		spec := findScenario(t, "halved").Spec()
		spec.Seed, spec.RetryRefused = 9, true
		spec.Pools = BrokerPools(&spec.Policy)
		r, err := Simulate(spec)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if a, b := simulate(), simulate(); !reflect.DeepEqual(a, b) {
		t.Errorf("two simulations with one seed differ: %+v, %+v", a, b)
	}
}
