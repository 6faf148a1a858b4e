package lab

import (
	"fmt"
	"math"

	"kiteslip/internal/pool"
)

// Scenario is a day on which pools are compared with none.
type Scenario struct {
	Name string
	Spec func() Spec
}

// brokerCores are those of the small broker that the scenarios play.
const brokerCores = 4

// PoolScenarios are the days of the pools' measurement. All are of the small
// broker with four places.
func PoolScenarios() []Scenario {
	day := func(streams func() []Stream, script ...Change) func() Spec {
		return func() Spec {
			return Spec{Policy: Broker(brokerCores), Box: BrokerBox(brokerCores), Streams: streams(), Length: 60 * Second,
				CountFrom: 5 * Second, Changes: script}
		}
	}
	mixed := func(load float64) func() []Stream { return func() []Stream { return MixedTraffic(brokerCores, load) } }
	list := []Scenario{
		{"calm", day(mixed(0.6))},
		{"full", day(mixed(1.1))},
		{"halved", day(mixed(1.1), Change{20 * Second, SetSpeed(0.5)}, Change{40 * Second, SetSpeed(1)})},
		{"slow-flood", day(func() []Stream {
			return []Stream{MixedTraffic(brokerCores, 1)[LandmarkSearch], SingleClass(brokerCores, CodeToPoint, 3)}
		})},
		{"cheap-flood", day(func() []Stream {
			return append(MixedTraffic(brokerCores, 1), SingleClass(brokerCores, LandmarkSearch, 3))
		})},
		{"twice", day(mixed(2))},
	}
	for class, name := range ClassNames {
		list = append(list, Scenario{"alone-" + name, day(func() []Stream { return []Stream{SingleClass(brokerCores, class, 1.5)} })})
	}
	return list
}

// SetSpeed sets the speed of the box to a part of the usual.
func SetSpeed(factor float64) func(*Simulation) {
	return func(w *Simulation) { w.Box.Scale(w.now, factor) }
}

// StartWarmup starts a warm-up of the box.
func StartWarmup(from float64, within int64) func(*Simulation) {
	return func(w *Simulation) { w.Box.Cold(w.now, from, within) }
}

// Reconfigure takes over other pools, as SIGHUP does.
func Reconfigure(pools *pool.Settings) func(*Simulation) {
	return func(w *Simulation) {
		if err := w.Core.Reconfigure(w.spec.Policy, nil, pools); err != nil {
			panic(err) // the scenario's own fault
		}
	}
}

// Compared is a scenario with and without pools, over several seeds.
type Compared struct {
	Name              string
	Gauges            bool
	CheapOff, CheapOn float64 // worst share of landmark-search answered within its wanted time
	Worth             float64 // worst ratio of the worth, on over off
	WorthOff, WorthOn float64 // means
	Done              float64 // worst ratio of the work answered at all, on over off
	Kept              float64 // worst, over the other pools: work answered in time over what the share can carry or was asked
	Overdue           int
}

// Compare plays a scenario with and without pools.
func Compare(s Scenario, gauges bool, seeds int) (Compared, error) {
	c := Compared{Name: s.Name, Gauges: gauges, CheapOff: 1, CheapOn: 1, Worth: math.Inf(1), Done: math.Inf(1), Kept: math.Inf(1)}
	for seed := 1; seed <= seeds; seed++ {
		var results [2]*Result
		var day Spec
		for on := range results {
			day = s.Spec()
			day.Seed, day.Gauges = uint64(seed), gauges
			if on == 1 {
				day.Pools = BrokerPools(&day.Policy)
			}
			r, err := Simulate(day)
			if err != nil {
				return c, err
			}
			if asked := r.requests(); asked != r.answers() {
				return c, fmt.Errorf("lab: %s, seed %d: %d requests, %d final answers", s.Name, seed, asked, r.answers())
			}
			c.Overdue += r.Overdue
			results[on] = r
		}
		off, on := results[0], results[1]
		c.CheapOff = min(c.CheapOff, off.Classes[LandmarkSearch].OnTimeShare())
		c.CheapOn = min(c.CheapOn, on.Classes[LandmarkSearch].OnTimeShare())
		worthOff, worthOn := off.WorthShare(day.Policy.Classes), on.WorthShare(day.Policy.Classes)
		c.WorthOff += worthOff / float64(seeds)
		c.WorthOn += worthOn / float64(seeds)
		c.Worth = min(c.Worth, worthOn/worthOff)
		c.Done = min(c.Done, on.answeredWork()/off.answeredWork())
		for i := range day.Pools.Pools {
			p := &day.Pools.Pools[i]
			if p.Classes[0] == LandmarkSearch {
				continue
			}
			asked, got := 0.0, 0.0
			for _, class := range p.Classes {
				asked += on.Classes[class].RequestedWork
				got += on.Classes[class].OnTimeWork
			}
			carries := p.Share * brokerCores * float64(day.Length-day.CountFrom)
			if asked > 0 {
				c.Kept = min(c.Kept, got/min(asked, carries))
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

// answers is the number of final answers to what was asked.
func (r *Result) answers() (n int) {
	for i := range r.Classes {
		t := &r.Classes[i]
		n += t.OnTime + t.Late + t.Refused + t.Failed
	}
	return n
}

// answeredWork is the work that was answered, late or not.
func (r *Result) answeredWork() (work float64) {
	for i := range r.Classes {
		work += r.Classes[i].OnTimeWork + r.Classes[i].LateWork
	}
	return work
}
