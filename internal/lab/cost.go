package lab

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"kiteslip"
	"kiteslip/internal/core"
	"kiteslip/internal/pool"
)

// sink takes runs and answers and does nothing.
type sink struct {
	runs     []*core.Request
	answered int
}

func (s *sink) Run(r *core.Request)        { s.runs = append(s.runs, r) }
func (s *sink) Answer(uint32, core.Answer) { s.answered++ }

// DecisionCost returns the processor time that one request takes in the core and
// the module while so many are open: as many arrive as end, a few at a
// time, until n have ended. The time is the machine's own, so only ratios of one run mean anything.
func DecisionCost(pools bool, open, n int) (time.Duration, error) {
	m := Broker(8)
	m.MemoryKB = 1e9
	for i := range m.Classes {
		m.Classes[i].TargetTime, m.Classes[i].Timeout = 3600*Second, 3600*Second
	}
	var s *pool.Settings
	if pools {
		s = BrokerPools(&m)
		for i := range s.Pools {
			s.Pools[i].MaxQueued = 1 << 30
		}
	}
	to := &sink{}
	c, err := core.New(core.Settings{Policy: m, Pools: s}, to)
	if err != nil {
		return 0, err
	}
	now, id := int64(epoch), 0
	arrive := func() error {
		id++
		name := strconv.Itoa(id)
		return c.Submit(now, &core.Request{TryID: name, Class: id % 3, Key: name, Arrived: now, Deadline: now + 3600*Second, SizeKB: 16, ReplyTo: to})
	}
	const batch = 8 // in both cases: what a batch costs is shared by its requests
	play := func(n int) error {
		for done := 0; done < n; done += batch {
			now += 4_000
			if len(to.runs) < batch {
				return fmt.Errorf("lab: %d requests run, want %d", len(to.runs), batch)
			}
			ended := to.runs[:batch]
			to.runs = append([]*core.Request(nil), to.runs[batch:]...)
			for _, r := range ended {
				c.Done(r, kiteslip.OK, 4_000, nil)
				if err := arrive(); err != nil {
					return err
				}
			}
			c.SetGauges(kiteslip.Gauges{Valid: true, Busy: 1, Runnable: batch}) // the running limit stays at the cores
			c.Step(now)
		}
		return nil
	}
	fill := func(n int) error {
		for requests, _ := c.Tracked(); requests < n; requests++ {
			if err := arrive(); err != nil {
				return err
			}
		}
		c.Step(now)
		return nil
	}
	// Until it has learned what the work is, the module takes little.
	if err := errors.Join(fill(2*batch), play(200*batch), fill(open), play(50*batch), fill(open)); err != nil {
		return 0, err
	}
	began := time.Now()
	if err := play(n); err != nil {
		return 0, err
	}
	took := time.Since(began) / time.Duration(n)
	if requests, _ := c.Tracked(); requests < open*9/10 {
		return 0, fmt.Errorf("lab: %d requests are open, want %d", requests, open)
	}
	return took, nil
}

// CostRatio is the cost of a decision with pools over that without. Both are
// played in turn, and the quickest play of each counts: what else the machine
// does only ever makes one slower.
func CostRatio(open, n, plays int) (ratio float64, off, on time.Duration, err error) {
	quickest := [2]time.Duration{1 << 62, 1 << 62}
	for range plays {
		for i := range quickest {
			took, err := DecisionCost(i == 1, open, n)
			if err != nil {
				return 0, 0, 0, err
			}
			quickest[i] = min(quickest[i], took)
		}
	}
	off, on = quickest[0], quickest[1]
	return float64(on) / float64(off), off, on, nil
}
