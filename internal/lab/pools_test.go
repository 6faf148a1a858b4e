package lab

import (
	"reflect"
	"testing"

	"kiteslip/internal/pool"
)

// findScenario returns the scenario of that name.
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

// The days that the pools are for: the cheapest class keeps its answers, and
// without pools it does not, so that the test could fail.
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
			if r.CheapOn < c.least || r.CheapOff > c.off || r.Worth < 0.98 || r.Overdue > 0 {
				t.Errorf("%s, gauges %v: %+v", c.name, gauges, r)
			}
		}
	}
}

// Floods of one class leave the others what is their own.
func TestOverloadOfOneClassLeavesOthersTheirShare(t *testing.T) {
	t.Parallel()
	r, err := Compare(findScenario(t, "slow-flood"), false, 2)
	if err != nil {
		t.Fatal(err)
	}
	if r.CheapOn < 0.95 || r.CheapOff > 0.97 || r.Worth < 0.98 {
		t.Errorf("slow flood: %+v", r)
	}
	if r, err = Compare(findScenario(t, "cheap-flood"), false, 2); err != nil {
		t.Fatal(err)
	}
	if r.Kept < 0.9 {
		t.Errorf("cheap flood: %+v", r)
	}
}

// All pools over their share at once: each gets most of its own done in time.
func TestAllPoolsOverloaded(t *testing.T) {
	t.Parallel()
	day := findScenario(t, "twice").Spec()
	day.Seed = 3
	day.Streams = nil
	for class, load := range []float64{0.5, 0.3, 1.2, 0.9} {
		day.Streams = append(day.Streams, SingleClass(brokerCores, class, load))
	}
	day.Pools = BrokerPools(&day.Policy)
	r, err := Simulate(day)
	if err != nil {
		t.Fatal(err)
	}
	for i := range day.Pools.Pools {
		p := &day.Pools.Pools[i]
		got := 0.0
		for _, c := range p.Classes {
			got += r.Classes[c].OnTimeWork + r.Classes[c].LateWork
		}
		if own := p.Share * brokerCores * float64(day.Length-day.CountFrom); got < 0.85*own {
			t.Errorf("pool %s got %.2f of its share done", p.Name, got/own)
		}
	}
}

// A cold start under full load: nothing is answered too late, and the cheapest
// class is served from the start.
func TestColdStartUnderFullLoad(t *testing.T) {
	t.Parallel()
	play := func(pools bool) *Result {
		day := findScenario(t, "full").Spec()
		day.Streams, day.Length, day.CountFrom, day.Seed = MixedTraffic(brokerCores, 0.9), 30*Second, 0, 5
		day.Changes = []Change{{0, StartWarmup(0.21, 17*Second)}}
		if pools {
			day.Pools = BrokerPools(&day.Policy)
		}
		r, err := Simulate(day)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	on, off := play(true), play(false)
	if on.Overdue > 0 || on.Classes[LandmarkSearch].OnTimeShare() < 0.85 || off.Classes[LandmarkSearch].OnTimeShare() > 0.8 {
		t.Errorf("landmark-search in time: %.3f with pools, %.3f without; %d overdue", on.Classes[LandmarkSearch].OnTimeShare(),
			off.Classes[LandmarkSearch].OnTimeShare(), on.Overdue)
	}
}

// Pools are dropped, resized and brought back while work waits and runs: each
// request has its answer, the book has what the box has all along, and a pool
// that is back keeps its promise again.
func TestReconfigurePoolsUnderLoad(t *testing.T) {
	t.Parallel()
	day := findScenario(t, "full").Spec()
	day.Seed = 4
	day.Pools = BrokerPools(&day.Policy)
	whole := BrokerPools(&day.Policy)
	dropped, resized := *whole, *whole
	dropped.Pools = []pool.Spec{whole.Pools[0], whole.Pools[2]}
	resized.Pools = []pool.Spec{whole.Pools[1], {Name: "all", Classes: []int{CodeToPoint, PointToCode, RegisterAddress}, Share: 0.5}}
	day.Changes = []Change{{10 * Second, Reconfigure(&dropped)}, {20 * Second, Reconfigure(&resized)}, {25 * Second, Reconfigure(nil)}, {30 * Second, Reconfigure(whole)}}
	looks := 0
	day.Observe = func(w *Simulation, at int64) {
		figures := w.Core.Pools()
		if (figures == nil) != (at >= 25*Second && at < 30*Second) {
			t.Fatalf("at %d ms there are %d pools", at/1000, len(figures))
		}
		running, waiting := 0, 0
		for _, f := range figures {
			running, waiting = running+f.Running, waiting+f.Waiting
		}
		requests, _ := w.Core.Tracked()
		if figures != nil && (running != w.Box.Runs() || waiting != requests-running) {
			t.Fatalf("at %d ms the book has %d running, %d waiting; the box runs %d, %d are open", at/1000, running, waiting, w.Box.Runs(), requests)
		}
		looks++
	}
	r, err := Simulate(day)
	if err != nil {
		t.Fatal(err)
	}
	if r.requests() != r.answers() || r.Overdue > 0 || looks < 200 {
		t.Errorf("%d asked, %d answered, %d overdue, %d looks", r.requests(), r.answers(), r.Overdue, looks)
	}
}

// The costs of two classes swap places mid-day: the reserve follows.
func TestCheapestClassFollowsWork(t *testing.T) {
	t.Parallel()
	day := findScenario(t, "full").Spec()
	day.Seed, day.Length = 6, 90*Second
	day.Pools = BrokerPools(&day.Policy)
	work := func(class int, before, after float64) {
		day.Streams[class].Work = func(at int64) (float64, float64) {
			if at < 40*Second {
				return before * 800, before * 1200
			}
			return after * 800, after * 1200
		}
	}
	work(LandmarkSearch, 200, 400)
	work(RegisterAddress, 330, 150)
	cheapest := map[string]int64{}
	day.Observe = func(w *Simulation, at int64) {
		for _, f := range w.Core.Pools() {
			if f.HasCheapest {
				cheapest[f.Name] = at
			}
		}
	}
	if _, err := Simulate(day); err != nil {
		t.Fatal(err)
	}
	if at := cheapest["landmarks"]; at < 39*Second || at > 60*Second {
		t.Errorf("landmarks were the cheapest until %d ms, want some seconds after the swap at 40,000", at/1000)
	}
	if cheapest["registrations"] < 85*Second {
		t.Errorf("registrations are not the cheapest at the end: %v", cheapest)
	}
}

// The same seed gives the same day.
func TestSimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	play := func() *Result {
		day := findScenario(t, "halved").Spec()
		day.Seed, day.RetryRefused = 9, true
		day.Pools = BrokerPools(&day.Policy)
		r, err := Simulate(day)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Errorf("two plays of one day differ: %+v, %+v", a, b)
	}
}
