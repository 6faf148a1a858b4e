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

// sink collects the runs that the core starts and counts its answers.
type sink struct {
	runs     []*core.Request
	answered int
}

func (s *sink) Run(r *core.Request)        { s.runs = append(s.runs, r) }
func (s *sink) Answer(uint32, core.Answer) { s.answered++ }

// DecisionCost returns the time that one request takes in the core and the policy
// while a number of requests are open: batches of requests end and as many arrive,
// until n have ended. Times are comparable only within one process on one machine.
func DecisionCost(pools bool, open, n int) (time.Duration, error) {
	policy := Broker(8)
	policy.MemoryKB = 1e9
	for i := range policy.Classes {
		policy.Classes[i].TargetTime, policy.Classes[i].Timeout = 3600*Second, 3600*Second
	}
	var poolSettings *pool.Settings
	if pools {
		poolSettings = BrokerPools(&policy)
		for i := range poolSettings.Pools {
			poolSettings.Pools[i].MaxQueued = 1 << 30
		}
	}
	to := &sink{}
	c, err := core.New(core.Settings{Policy: policy, Pools: poolSettings}, to)
	if err != nil {
		return 0, err
	}
	now, id := int64(epoch), 0
	arrive := func() error {
		id++
		tryID := strconv.Itoa(id)
		return c.Submit(now, &core.Request{TryID: tryID, Class: id % 3, Key: tryID, Arrived: now, Deadline: now + 3600*Second, SizeKB: 16, ReplyTo: to})
	}
	const batch = 8 // the same with and without pools, as the requests of a batch share the cost of a step
	runBatches := func(n int) error {
		for done := 0; done < n; done += batch {
			now += 4_000
			if len(to.runs) < batch {
				return fmt.Errorf("lab: %d requests are running, want %d", len(to.runs), batch)
			}
			ended := to.runs[:batch]
			to.runs = append([]*core.Request(nil), to.runs[batch:]...)
			for _, r := range ended {
				c.Done(r, kiteslip.OK, 4_000, nil)
				if err := arrive(); err != nil {
					return err
				}
			}
			c.SetGauges(kiteslip.Gauges{Valid: true, Busy: 1, Runnable: batch}) // keeps the running limit at the number of cores
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
	// The policy admits few requests until it has learned the work of the classes.
	if err := errors.Join(fill(2*batch), runBatches(200*batch), fill(open), runBatches(50*batch), fill(open)); err != nil {
		return 0, err
	}
	began := time.Now()
	if err := runBatches(n); err != nil {
		return 0, err
	}
	took := time.Since(began) / time.Duration(n)
	if requests, _ := c.Tracked(); requests < open*9/10 {
		return 0, fmt.Errorf("lab: %d requests are open, want %d", requests, open)
	}
	return took, nil
}

// CostRatio returns the cost of a decision with pools over that without. The two
// are measured in turn, and the fastest of the rounds counts for each, because
// other load on the machine can only make a round slower.
func CostRatio(open, n, rounds int) (ratio float64, off, on time.Duration, err error) {
	fastest := [2]time.Duration{1 << 62, 1 << 62}
	for range rounds {
		for i := range fastest {
			took, err := DecisionCost(i == 1, open, n)
			if err != nil {
				return 0, 0, 0, err
			}
			fastest[i] = min(fastest[i], took)
		}
	}
	off, on = fastest[0], fastest[1]
	return float64(on) / float64(off), off, on, nil
}
