package core

import "kiteslip"

// lateRead is how long after its end an entry is still looked up, for requests
// that came to the machine in time and were read late.
const lateRead = 2_000_000

type timer struct {
	at    int64
	token uint64
}

// Pending says whether anything waits for the next Step.
func (c *Core) Pending() bool { return len(c.events) > 0 }

// NextStep is the time at which Step is wanted even if nothing happens; 0 = never.
func (c *Core) NextStep() int64 {
	next := c.dueAt
	for _, t := range c.timers {
		if next == 0 || t.at < next {
			next = t.at
		}
	}
	return next
}

// Step hands all that happened since the last one to the module in one batch
// and carries out what comes back. What an action brings about at once (the
// result of a repeat) is handed over before Step returns.
func (c *Core) Step(now int64) {
	now = max(now, c.now) // the system's clock may be set back; the module's only advances
	c.now = now
	kept := c.timers[:0]
	for _, t := range c.timers {
		if t.at > now {
			kept = append(kept, t)
			continue
		}
		c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Timer, Token: t.token, Gauges: c.gauges})
	}
	c.timers = kept
	for first := true; len(c.events) > 0 || first && !c.started; first = false {
		c.started = true
		batch := c.events
		c.events = c.spare[:0]
		c.bookPools(now)
		c.acts = c.worker.Step(now, batch, c.acts[:0])
		c.spare = batch
		for i := range c.acts {
			c.carryOut(now, &c.acts[i])
		}
	}
	c.overdue(now)
	c.movePools(now)
	c.sweep(now)
}

// carryOut does one thing that the module asks for.
func (c *Core) carryOut(now int64, a *kiteslip.Action) {
	r := c.open[a.ID]
	switch a.Kind {
	case kiteslip.SetTimer:
		c.timers = append(c.timers, timer{now + a.After, a.Token})
		return
	case kiteslip.Health:
		c.good, c.stored = a.On, a.Cached
		return
	case kiteslip.SetIdleTimeout:
		c.idle = a.After
		return
	case kiteslip.Log:
		c.set.Log(a.Text)
		return
	}
	if r == nil {
		return // it was over before the module heard of it
	}
	switch a.Kind {
	case kiteslip.Run:
		c.run(now, r)
	case kiteslip.Prepare:
		c.prepare(r)
	case kiteslip.Refuse, kiteslip.Fail:
		if !r.answered {
			if a.Kind == kiteslip.Refuse && r.phase == held && c.pools != nil {
				c.pools.CountRefused(r.Class)
			}
			c.answer(r, c.giveUp(now, r, a))
		}
		if r.phase != running {
			c.drop(r)
		}
		c.letGo(r)
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
			e := c.table[r.entry]
			if e == nil {
				e = &entry{}
				c.table[r.entry] = e
			}
			e.kept, e.until = r, now+a.After
		}
	case kiteslip.Forget:
		c.forget(r)
	}
}

// sweep forgets the keys whose time is up, once a second.
func (c *Core) sweep(now int64) {
	if now < c.sweepAt {
		return
	}
	c.sweepAt = now + 1_000_000
	for key, e := range c.table {
		if now <= max(e.until, e.guard)+lateRead {
			continue
		}
		if e.ran != nil && (e.ran.phase == running || e.ran.phase == paused) || e.ran == nil && e.kept != nil && e.kept.phase == held {
			continue
		}
		delete(c.table, key)
	}
}
