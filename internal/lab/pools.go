package lab

import (
	"fmt"
	"math"

	"kiteslip/internal/pool"
)

// Scenario is a day on which pools are compared with none.
type Scenario struct {
	Name string
	Day  func() Day
}

// boxCores are those of the small broker that the scenarios play.
const boxCores = 4

// PoolScenarios are the days of the pools' measurement. All are of the small
// broker with four places.
func PoolScenarios() []Scenario {
	day := func(streams func() []Stream, script ...Change) func() Day {
		return func() Day {
			return Day{Policy: Broker(boxCores), Box: BrokerBox(boxCores), Streams: streams(), Length: 60 * Second,
				From: 5 * Second, Script: script}
		}
	}
	mixed := func(load float64) func() []Stream { return func() []Stream { return Mixed(boxCores, load) } }
	list := []Scenario{
		{"calm", day(mixed(0.6))},
		{"full", day(mixed(1.1))},
		{"halved", day(mixed(1.1), Change{20 * Second, Scale(0.5)}, Change{40 * Second, Scale(1)})},
		{"slow-flood", day(func() []Stream { return []Stream{Mixed(boxCores, 1)[LandmarkSearch], Only(boxCores, CodeToPoint, 3)} })},
		{"cheap-flood", day(func() []Stream { return append(Mixed(boxCores, 1), Only(boxCores, LandmarkSearch, 3)) })},
		{"twice", day(mixed(2))},
	}
	for class, name := range ClassNames {
		list = append(list, Scenario{"alone-" + name, day(func() []Stream { return []Stream{Only(boxCores, class, 1.5)} })})
	}
	return list
}

// Scale sets the speed of the box to a part of the usual.
func Scale(factor float64) func(*World) { return func(w *World) { w.Box.Scale(w.now, factor) } }

// Cold starts a warm-up of the box.
func Cold(from float64, within int64) func(*World) {
	return func(w *World) { w.Box.Cold(w.now, from, within) }
}

// Retune takes over other pools, as SIGHUP does.
func Retune(pools *pool.Settings) func(*World) {
	return func(w *World) {
		if err := w.Core.Reconfigure(w.day.Policy, nil, pools); err != nil {
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
		var day Day
		for on := range results {
			day = s.Day()
			day.Seed, day.Gauges = uint64(seed), gauges
			if on == 1 {
				day.Pools = BrokerPools(&day.Policy)
			}
			r, err := Play(day)
			if err != nil {
				return c, err
			}
			if asked := r.asked(); asked != r.counted() {
				return c, fmt.Errorf("lab: %s, seed %d: %d requests, %d final answers", s.Name, seed, asked, r.counted())
			}
			c.Overdue += r.Overdue
			results[on] = r
		}
		off, on := results[0], results[1]
		c.CheapOff = min(c.CheapOff, off.Classes[LandmarkSearch].Share())
		c.CheapOn = min(c.CheapOn, on.Classes[LandmarkSearch].Share())
		worthOff, worthOn := off.Worth(day.Policy.Classes), on.Worth(day.Policy.Classes)
		c.WorthOff += worthOff / float64(seeds)
		c.WorthOn += worthOn / float64(seeds)
		c.Worth = min(c.Worth, worthOn/worthOff)
		c.Done = min(c.Done, on.done()/off.done())
		for i := range day.Pools.Pools {
			p := &day.Pools.Pools[i]
			if p.Classes[0] == LandmarkSearch {
				continue
			}
			asked, got := 0.0, 0.0
			for _, class := range p.Classes {
				asked += on.Classes[class].AskedWork
				got += on.Classes[class].InTimeWork
			}
			carries := p.Share * boxCores * float64(day.Length-day.From)
			if asked > 0 {
				c.Kept = min(c.Kept, got/min(asked, carries))
			}
		}
	}
	return c, nil
}

func (r *Result) asked() (n int) {
	for i := range r.Classes {
		n += r.Classes[i].Asked
	}
	return n
}

// counted is the number of final answers to what was asked.
func (r *Result) counted() (n int) {
	for i := range r.Classes {
		t := &r.Classes[i]
		n += t.InTime + t.Late + t.Refused + t.Failed
	}
	return n
}

// done is the work that was answered, late or not.
func (r *Result) done() (work float64) {
	for i := range r.Classes {
		work += r.Classes[i].InTimeWork + r.Classes[i].LateWork
	}
	return work
}
