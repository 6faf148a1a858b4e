package core

import "kiteslip"

// lateReadUS is how long after its expiry an entry is still looked up, for
// requests that reached the machine in time and were read late.
const lateReadUS = 2_000_000

// timer is a timer that the policy has set.
type timer struct {
	at    int64
	token uint64
}

// Pending reports whether events wait for the next Step.
func (c *Core) Pending() bool { return len(c.events) > 0 }

// NextStep returns the time at which Step must be called even if nothing happens; 0 = never.
func (c *Core) NextStep() int64 {
	next := c.overdueAt
	for _, t := range c.timers {
		if next == 0 || t.at < next {
			next = t.at
		}
	}
	return next
}

// Step passes all events since the last one to the policy in one batch and
// carries out the actions that it returns. Events that an action causes at once,
// such as the result of a duplicate, are passed on before Step returns.
func (c *Core) Step(now int64) {
	now = max(now, c.now) // the system's clock may be set back; the policy's only advances
	c.now = now
	remaining := c.timers[:0]
	for _, t := range c.timers {
		if t.at > now {
			remaining = append(remaining, t)
			continue
		}
		c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Timer, Token: t.token, Gauges: c.gauges})
	}
	c.timers = remaining
	for first := true; len(c.events) > 0 || first && !c.started; first = false {
		c.started = true
		batch := c.events
		c.events = c.spare[:0]
		c.setCeilings(now)
		c.actions = c.policy.Step(now, batch, c.actions[:0])
		c.spare = batch
		for i := range c.actions {
			c.apply(now, &c.actions[i])
		}
	}
	c.answerOverdue(now)
	c.updatePools(now)
	c.expireKeys(now)
	c.expireClaims(now)
}

// apply carries out one action of the policy.
func (c *Core) apply(now int64, a *kiteslip.Action) {
	r := c.tracked[a.ID]
	switch a.Kind {
	case kiteslip.SetTimer:
		c.timers = append(c.timers, timer{now + a.After, a.Token})
		return
	case kiteslip.Health:
		c.healthy, c.cachedHealth = a.On, a.Cached
		return
	case kiteslip.SetIdleTimeout:
		c.idleTimeout = a.After
		return
	case kiteslip.Log:
		c.settings.Log(a.Text)
		return
	}
	if r == nil {
		return // it has ended, and the policy did not know that yet
	}
	switch a.Kind {
	case kiteslip.Run:
		c.run(now, r)
	case kiteslip.Prepare:
		c.prepare(r)
	case kiteslip.Refuse, kiteslip.Fail:
		if !r.answered {
			if a.Kind == kiteslip.Refuse && r.phase == queued && c.pools != nil {
				c.pools.CountRefused(r.Class)
			}
			c.answer(r, c.answerFor(now, r, a))
		}
		if r.phase != running {
			c.drop(r)
		}
		c.releaseRunningSlot(r)
	case kiteslip.Call:
		c.call(now, r, a.After)
	case kiteslip.Skip:
		c.skip(r)
	case kiteslip.Halt:
		c.halt(r)
	case kiteslip.Reuse:
		c.reuse(r)
	case kiteslip.Retain:
		if r.entry != "" {
			e := c.keyTable[r.entry]
			if e == nil {
				e = &keyEntry{}
				c.keyTable[r.entry] = e
			}
			e.holder, e.duplicatesUntil = r, now+a.After
		}
	case kiteslip.Forget:
		c.removeEntry(r)
	}
}

// expireKeys deletes expired key entries, once a second.
func (c *Core) expireKeys(now int64) {
	if now < c.nextExpiry {
		return
	}
	c.nextExpiry = now + 1_000_000
	for key, e := range c.keyTable {
		if now <= max(e.duplicatesUntil, e.windowEnd)+lateReadUS {
			continue
		}
		if e.started != nil && (e.started.phase == running || e.started.phase == paused) || e.started == nil && e.holder != nil && e.holder.phase == queued {
			continue
		}
		delete(c.keyTable, key)
	}
}
