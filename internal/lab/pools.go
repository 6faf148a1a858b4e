package lab

import (
	"fmt"
	"math"

	"kiteslip/internal/pool"
)

// Scenario is a simulation on which pools are compared with none.
type Scenario struct {
	Name string
	Spec func() Spec
}

// brokerCores is the number of cores of the broker in the scenarios.
const brokerCores = 4

// PoolScenarios returns the scenarios of the measurement of pools, all of the small
// broker (see Broker) with brokerCores cores.
func PoolScenarios() []Scenario {
	spec := func(streams func() []Stream, changes ...Change) func() Spec {
		return func() Spec {
			return Spec{Policy: Broker(brokerCores), Box: BrokerBox(brokerCores), Streams: streams(), Length: 60 * Second,
				CountFrom: 5 * Second, Changes: changes}
		}
	}
	mixed := func(load float64) func() []Stream { return func() []Stream { return MixedTraffic(brokerCores, load) } }
	list := []Scenario{
		{"calm", spec(mixed(0.6))},
		{"full", spec(mixed(1.1))},
		{"halved", spec(mixed(1.1), Change{20 * Second, SetSpeed(0.5)}, Change{40 * Second, SetSpeed(1)})},
		{"slow-flood", spec(func() []Stream {
			return []Stream{MixedTraffic(brokerCores, 1)[LandmarkSearch], SingleClass(brokerCores, CodeToPoint, 3)}
		})},
		{"cheap-flood", spec(func() []Stream {
			return append(MixedTraffic(brokerCores, 1), SingleClass(brokerCores, LandmarkSearch, 3))
		})},
		{"twice", spec(mixed(2))},
	}
	for class, name := range ClassNames {
		list = append(list, Scenario{"alone-" + name, spec(func() []Stream { return []Stream{SingleClass(brokerCores, class, 1.5)} })})
	}
	return list
}

// SetSpeed returns a change that multiplies the speed of the cores by factor.
func SetSpeed(factor float64) func(*Simulation) {
	return func(w *Simulation) { w.Box.SetSpeed(w.now, factor) }
}

// StartWarmup returns a change that starts a warm-up of the cores.
func StartWarmup(from float64, within int64) func(*Simulation) {
	return func(w *Simulation) { w.Box.StartWarmup(w.now, from, within) }
}

// Reconfigure returns a change that applies other pools, as a reload does.
func Reconfigure(pools *pool.Settings) func(*Simulation) {
	return func(w *Simulation) {
		if err := w.Core.Reconfigure(w.spec.Policy, nil, pools); err != nil {
			panic(err) // the scenario has invalid pools
		}
	}
}

// Comparison is the result of a scenario with and without pools, over several seeds.
type Comparison struct {
	Name                                      string
	Gauges                                    bool
	CheapestOnTimeWithout, CheapestOnTimeWith float64 // worst share of landmark-search served within its target time
	WorthRatio                                float64 // worst ratio of the worth shares, on over off
	WorthWithout, WorthWith                   float64 // mean worth shares
	ServedWorkRatio                           float64 // worst ratio of the work served, on over off
	ShareKept                                 float64 // worst of the other pools: work served on time over the smaller of the pool's capacity and the work requested
	DeadlineExceeded                          int     // answers after their deadline
}

// Compare simulates a scenario with and without pools for each of several seeds.
func Compare(s Scenario, gauges bool, seeds int) (Comparison, error) {
	c := Comparison{Name: s.Name, Gauges: gauges, CheapestOnTimeWithout: 1, CheapestOnTimeWith: 1, WorthRatio: math.Inf(1), ServedWorkRatio: math.Inf(1), ShareKept: math.Inf(1)}
	for seed := 1; seed <= seeds; seed++ {
		var results [2]*Result
		var spec Spec
		for on := range results {
			spec = s.Spec()
			spec.Seed, spec.Gauges = uint64(seed), gauges
			if on == 1 {
				spec.Pools = BrokerPools(&spec.Policy)
			}
			r, err := Simulate(spec)
			if err != nil {
				return c, err
			}
			if requests := r.requests(); requests != r.answers() {
				return c, fmt.Errorf("lab: %s, seed %d: %d requests, %d final answers", s.Name, seed, requests, r.answers())
			}
			c.DeadlineExceeded += r.DeadlineExceeded
			results[on] = r
		}
		off, on := results[0], results[1]
		c.CheapestOnTimeWithout = min(c.CheapestOnTimeWithout, off.Classes[LandmarkSearch].OnTimeShare())
		c.CheapestOnTimeWith = min(c.CheapestOnTimeWith, on.Classes[LandmarkSearch].OnTimeShare())
		worthOff, worthOn := off.WorthShare(spec.Policy.Classes), on.WorthShare(spec.Policy.Classes)
		c.WorthWithout += worthOff / float64(seeds)
		c.WorthWith += worthOn / float64(seeds)
		c.WorthRatio = min(c.WorthRatio, worthOn/worthOff)
		c.ServedWorkRatio = min(c.ServedWorkRatio, on.answeredWork()/off.answeredWork())
		for i := range spec.Pools.Pools {
			p := &spec.Pools.Pools[i]
			if p.Classes[0] == LandmarkSearch {
				continue
			}
			requested, served := 0.0, 0.0
			for _, class := range p.Classes {
				requested += on.Classes[class].RequestedWork
				served += on.Classes[class].OnTimeWork
			}
			capacity := p.Share * brokerCores * float64(spec.Length-spec.CountFrom)
			if requested > 0 {
				c.ShareKept = min(c.ShareKept, served/min(requested, capacity))
			}
		}
	}
	return c, nil
}

func (r *Result) requests() (n int) {
	for i := range r.Classes {
		n += r.Classes[i].Requests
	}
	return n
}

// answers returns the number of final answers to the requests that are counted.
func (r *Result) answers() (n int) {
	for i := range r.Classes {
		t := &r.Classes[i]
		n += t.OnTime + t.Late + t.Refused + t.Failed
	}
	return n
}

// answeredWork returns the work that was served, on time or late.
func (r *Result) answeredWork() (work float64) {
	for i := range r.Classes {
		work += r.Classes[i].OnTimeWork + r.Classes[i].LateWork
	}
	return work
}
