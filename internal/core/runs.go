package core

import "kiteslip"

// Done takes in the end of r's run, after elapsed microseconds.
func (c *Core) Done(r *Request, outcome kiteslip.Outcome, elapsed int64, result []byte) {
	if r.phase != running {
		return
	}
	c.abandon(r)
	if outcome == kiteslip.Cancelled && c.stopped(r) {
		return
	}
	r.stand = nil
	r.phase, r.outcome, r.result, r.endedAt = ended, outcome, result, r.began+elapsed
	c.touch(r)
	r.unknown = r.unknown && outcome != kiteslip.OK
	if e := c.table[r.entry]; outcome == kiteslip.NotStarted && e != nil && e.ran == r {
		e.ran, e.guard = nil, 0 // proved never to have run
	}
	if outcome == kiteslip.Cancelled && !r.answered {
		// Guards a place in the module's limit: the module would take the
		// request back into the hold, where nothing ends it any more.
		outcome = kiteslip.Failed
	}
	if !r.elsewhere {
		c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: outcome, Elapsed: elapsed})
	}
	if !c.recordEnd(r) {
		c.finish(r)
	}
}

// finish tells all who wait what became of r, whose run is over.
func (c *Core) finish(r *Request) {
	r.ending = false
	c.tell(r)
	if r.elsewhere {
		c.serveCopies(r)
		return
	}
	c.close(r)
}

// over ends a run or a copy and tells the module the outcome given.
func (c *Core) over(r *Request, elapsed int64, outcome kiteslip.Outcome) {
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: outcome, Elapsed: elapsed})
	c.close(r)
}

// close answers the caller of r, which is over, and those that wait for the same.
func (c *Core) close(r *Request) {
	delete(c.open, r.id)
	delete(c.names, r.TryID)
	if !r.answered {
		switch r.outcome {
		case kiteslip.OK:
			c.answer(r, Answer{Code: Served, Result: r.result})
		case kiteslip.NotStarted:
			c.answer(r, Answer{Code: Refused})
		default:
			cause := RunFailed
			if r.unknown {
				cause = OutcomeUnknown
			}
			c.answer(r, Answer{Code: Failed, Cause: cause})
		}
	}
	r.Body = nil
	c.serveCopies(r)
}

// serveCopies answers those that wait for the result of r.
func (c *Core) serveCopies(r *Request) {
	for _, t := range r.copies {
		c.serveCopy(t, r)
	}
	r.copies = nil
}

// serveCopy answers t with what became of the request that it repeats.
func (c *Core) serveCopy(t, of *Request) {
	if t.phase != copying {
		return
	}
	t.phase, t.outcome, t.result, t.unknown = ended, of.outcome, of.result, of.unknown
	if of.outcome != kiteslip.OK {
		t.outcome = kiteslip.Failed
	}
	c.over(t, 0, t.outcome)
}

// run starts r unless a rule forbids it.
func (c *Core) run(now int64, r *Request) {
	if r.phase == paused {
		c.resume(r)
	}
	if r.phase != held {
		return
	}
	class := &c.set.Policy.Classes[r.Class]
	// Guards the drain: what came after the grace must not run, whatever the module holds.
	if c.drainAt != 0 && r.Arrived > c.drainAt+c.set.Policy.DrainGrace {
		c.counts.PolicyViolations++
		c.never(r)
		return
	}
	if class.Effect == kiteslip.Keyed {
		e := c.table[r.entry]
		if e == nil {
			e = &entry{kept: r, until: r.Arrived + class.Window + keyMargin}
			c.table[r.entry] = e
		}
		// Guards the single run of a key: a try that came in the window of one that ran takes its result.
		if e.ran != nil && (r.Arrived <= e.guard || e.runsFor(r)) {
			c.counts.PolicyViolations++
			c.copyOf(r, e.ran)
			return
		}
		if c.inDoubt(r.Arrived) {
			c.answer(r, Answer{Code: Failed, Cause: InDoubt})
			c.drop(r)
			c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: kiteslip.NotStarted})
			return
		}
		e.ran, e.guard = r, c.windowEnd(r)
	}
	r.phase, r.began, r.begun = running, now, true
	c.touch(r)
	if class.Effect == kiteslip.Keyed && c.owner && c.journal != nil && !r.recorded {
		c.claims[r.id] = r // it was not prepared: its place waits for the record
		c.record(r)
		return
	}
	if class.Effect == kiteslip.Keyed && !c.owner {
		c.claims[r.id] = r
		c.peer.Claim(uint32(r.id), r.Class, r.Key, r.Arrived, r.sum)
		return
	}
	c.runner.Run(r)
}

// never ends a held request that the module wanted to run and a rule forbids.
func (c *Core) never(r *Request) {
	if !r.answered {
		c.answer(r, Answer{Code: Refused})
	}
	c.drop(r)
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: kiteslip.NotStarted})
}

// reuse serves r from the request that it repeats.
func (c *Core) reuse(r *Request) {
	if r.phase != held {
		return
	}
	e := c.table[r.entry]
	switch {
	case e != nil && e.ran != nil && e.ran != r:
		c.copyOf(r, e.ran)
	case e != nil && e.kept != nil && e.kept != r:
		c.copyOf(r, e.kept)
	default: // the other one was dropped without running
		c.counts.PolicyViolations++
		r.phase = copying
		c.serveCopy(r, &Request{outcome: kiteslip.Failed})
	}
}

// copyOf lets r take the result of head, now or once that has ended. Guards
// the meaning of 'served': head may be a run of the other process of an upgrade
// that was let start after r had come, with another body.
func (c *Core) copyOf(r, head *Request) {
	r.phase = copying
	c.touch(r)
	if c.keyed(r.Class) && r.sum != head.sum {
		c.serveCopy(r, &Request{outcome: kiteslip.Failed})
		return
	}
	switch {
	case !head.ending && (head.phase == ended || head.phase == dropped):
		c.serveCopy(r, head)
	default:
		head.copies = append(head.copies, r)
	}
}
