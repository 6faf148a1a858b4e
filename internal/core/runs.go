package core

import "kiteslip"

// Done handles the end of r's run, after elapsed microseconds.
func (c *Core) Done(r *Request, outcome kiteslip.Outcome, elapsed int64, result []byte) {
	if r.phase != running {
		return
	}
	c.abandonCall(r)
	if outcome == kiteslip.Cancelled && c.runHalted(r) {
		return
	}
	r.call = nil
	r.phase, r.outcome, r.result, r.endedAt = ended, outcome, result, r.startedAt+elapsed
	c.markChanged(r)
	r.outcomeUnknown = r.outcomeUnknown && outcome != kiteslip.OK
	if e := c.keyTable[r.entry]; outcome == kiteslip.NotStarted && e != nil && e.started == r {
		e.started, e.windowEnd = nil, 0 // the run is known not to have started
	}
	if outcome == kiteslip.Cancelled && !r.answered {
		// Reported as failed to free its running slot: the policy would
		// queue a cancelled request again, where nothing ends it any more.
		outcome = kiteslip.Failed
	}
	if !r.remote {
		c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: outcome, Elapsed: elapsed})
	}
	if !c.recordEnd(r) {
		c.finish(r)
	}
}

// finish reports the end of r's run to the peer, its caller and its duplicates.
func (c *Core) finish(r *Request) {
	r.recordingEnd = false
	c.notifyPeer(r)
	if r.remote {
		c.serveDuplicates(r)
		return
	}
	c.complete(r)
}

// completeAs completes r and reports the given outcome to the policy.
func (c *Core) completeAs(r *Request, elapsed int64, outcome kiteslip.Outcome) {
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: outcome, Elapsed: elapsed})
	c.complete(r)
}

// complete answers the caller of r, which has ended, and its duplicates.
func (c *Core) complete(r *Request) {
	delete(c.tracked, r.id)
	delete(c.byTryID, r.TryID)
	if !r.answered {
		switch r.outcome {
		case kiteslip.OK:
			c.answer(r, Answer{Code: Served, Result: r.result})
		case kiteslip.NotStarted:
			c.answer(r, Answer{Code: Refused})
		default:
			cause := RunFailed
			if r.outcomeUnknown {
				cause = OutcomeUnknown
			}
			c.answer(r, Answer{Code: Failed, Cause: cause})
		}
	}
	r.Body = nil
	c.serveDuplicates(r)
}

// serveDuplicates answers the requests that await the result of r.
func (c *Core) serveDuplicates(r *Request) {
	for _, t := range r.duplicates {
		c.serveDuplicate(t, r)
	}
	r.duplicates = nil
}

// serveDuplicate answers t with the outcome of its original.
func (c *Core) serveDuplicate(t, original *Request) {
	if t.phase != awaitingResult {
		return
	}
	t.phase, t.outcome, t.result, t.outcomeUnknown = ended, original.outcome, original.result, original.outcomeUnknown
	if original.outcome != kiteslip.OK {
		t.outcome = kiteslip.Failed
	}
	c.completeAs(t, 0, t.outcome)
}

// run starts r unless that would break an invariant.
func (c *Core) run(now int64, r *Request) {
	if r.phase == paused {
		c.resume(r)
	}
	if r.phase != queued {
		return
	}
	class := &c.settings.Policy.Classes[r.Class]
	// A request that arrived after the drain grace must not run, even if the policy has it queued.
	if c.drainingSince != 0 && r.Arrived > c.drainingSince+c.settings.Policy.DrainGrace {
		c.counts.PolicyViolations++
		c.endForbidden(r)
		return
	}
	if class.Effect == kiteslip.Keyed {
		e := c.keyTable[r.entry]
		if e == nil {
			e = &keyEntry{holder: r, duplicatesUntil: r.Arrived + class.Window + keyMarginUS}
			c.keyTable[r.entry] = e
		}
		// A try that arrived in the window of a key that was started takes its result instead of running.
		if e.started != nil && (r.Arrived <= e.windowEnd || e.inProgressFor(r)) {
			c.counts.PolicyViolations++
			c.awaitResultOf(r, e.started)
			return
		}
		if c.inDoubt(r.Arrived) {
			c.answer(r, Answer{Code: Failed, Cause: InDoubt})
			c.drop(r)
			c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: kiteslip.NotStarted})
			return
		}
		e.started, e.windowEnd = r, c.windowEnd(r)
	}
	r.phase, r.startedAt, r.everStarted = running, now, true
	c.markChanged(r)
	if class.Effect == kiteslip.Keyed && c.OwnsKeys() && c.journal != nil && !r.recorded {
		c.awaitingStart[r.id] = r // it was not prepared: it holds its running slot while its start is recorded
		c.recordStart(r)
		return
	}
	if class.Effect == kiteslip.Keyed && !c.OwnsKeys() {
		c.awaitingStart[r.id] = r
		c.peer.Claim(uint32(r.id), r.Class, r.Key, r.Arrived, r.bodyHash)
		return
	}
	c.runner.Run(r)
}

// endForbidden ends a queued request that the policy wanted to run and must not run.
func (c *Core) endForbidden(r *Request) {
	if !r.answered {
		c.answer(r, Answer{Code: Refused})
	}
	c.drop(r)
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: kiteslip.NotStarted})
}

// reuse serves r with the result of its original.
func (c *Core) reuse(r *Request) {
	if r.phase != queued {
		return
	}
	e := c.keyTable[r.entry]
	switch {
	case e != nil && e.started != nil && e.started != r:
		c.awaitResultOf(r, e.started)
	case e != nil && e.holder != nil && e.holder != r:
		c.awaitResultOf(r, e.holder)
	default: // the original was dropped without running
		c.counts.PolicyViolations++
		r.phase = awaitingResult
		c.serveDuplicate(r, &Request{outcome: kiteslip.Failed})
	}
}

// awaitResultOf lets r take the result of original, now or once that has ended. A
// run of the peer may have been granted after r arrived and with another body; its
// result is not the answer to r, which then fails.
func (c *Core) awaitResultOf(r, original *Request) {
	r.phase = awaitingResult
	c.markChanged(r)
	if c.keyed(r.Class) && r.bodyHash != original.bodyHash {
		c.serveDuplicate(r, &Request{outcome: kiteslip.Failed})
		return
	}
	switch {
	case !original.recordingEnd && (original.phase == ended || original.phase == dropped):
		c.serveDuplicate(r, original)
	default:
		original.duplicates = append(original.duplicates, r)
	}
}
