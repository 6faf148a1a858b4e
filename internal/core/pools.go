package core

import (
	"kiteslip"
	"kiteslip/internal/pool"
)

// poolState is how the pools count a request.
type poolState uint8

const (
	inNoPool poolState = iota
	queuedInPool
	runningInPool
)

// beganBeforePools is the pool mark of a run that began before the pools were set.
const beganBeforePools = -1

// markChanged records that the pool state of r may have changed. States are
// compared before and after each batch, so that a request that changed twice
// between counts once and marking one twice does no harm.
func (c *Core) markChanged(r *Request) {
	if c.pools != nil && !r.changed && !r.remote {
		r.changed = true
		c.changed = append(c.changed, r)
	}
}

// currentPoolState returns how the pools should count r.
func (r *Request) currentPoolState() poolState {
	switch {
	case r.id == 0 || r.remote:
		return inNoPool // the policy was not told of it
	case r.phase == queued && !r.answered:
		return queuedInPool
	case r.phase == running:
		return runningInPool
	}
	return inNoPool
}

// updatePools brings the pools up to date.
func (c *Core) updatePools(now int64) {
	for _, r := range c.changed {
		r.changed = false
		before, after := r.poolState, r.currentPoolState()
		if before == after || c.pools == nil {
			continue
		}
		r.poolState = after
		if before == inNoPool {
			c.pools.Arrive(now, r.Class, r.SizeKB)
			before = queuedInPool
		}
		if before == queuedInPool && after == runningInPool {
			r.poolMark = c.pools.Begin(now, r.Class, r.SizeKB)
			continue
		}
		if before == queuedInPool && after == inNoPool {
			c.pools.Leave(now, r.Class, r.SizeKB)
		}
		if before == runningInPool {
			c.pools.End(now, r.Class, r.SizeKB, r.poolMark, r.endedAt-r.startedAt, r.outcome == kiteslip.OK && r.poolMark != beganBeforePools)
		}
	}
	clear(c.changed)
	c.changed = c.changed[:0]
}

// setCeilings passes the current ceilings of the classes to the policy, for its next batch.
func (c *Core) setCeilings(now int64) {
	if c.pools == nil {
		return
	}
	c.updatePools(now)
	c.policy.SetCeilings(c.pools.Ceilings(now, c.policy.Limit()))
}

// reconfigurePools applies other pools while requests are in progress. The
// settings have passed their check.
func (c *Core) reconfigurePools(s *pool.Settings) error {
	c.settings.Pools = s
	if s == nil {
		c.pools = nil
		c.policy.SetCeilings(nil)
	} else if c.pools != nil {
		c.updatePools(c.now)
		return c.pools.Reconfigure(*s)
	} else if pools, err := pool.New(*s); err != nil {
		return err
	} else {
		c.pools = pools
	}
	c.changed = c.changed[:0]
	for _, r := range c.tracked {
		r.poolState, r.changed = inNoPool, false
		c.markChanged(r)
	}
	c.updatePools(c.now)
	for _, r := range c.tracked {
		r.poolMark = beganBeforePools
	}
	return nil
}

// Pools returns the statistics of the pools; nil = there are none.
func (c *Core) Pools() []pool.Stats {
	if c.pools == nil {
		return nil
	}
	return c.pools.Stats()
}
