// Deadlines, the drain, and what is answered without a run.

package kiteslip

// answerDeadline returns the last moment for an answer: two ticks and a timer before the deadline or stop.
func (w *Worker) answerDeadline(r *request) int64 {
	last := r.deadline - 2*w.cfg.Tick - busyTimerUS
	if w.stopAt != 0 {
		last = min(last, w.stopAt-w.stopMargin)
	}
	return last
}

// usefulUntil returns the last moment at which an answer earns anything.
func (w *Worker) usefulUntil(r *request) int64 {
	if w.cfg.Classes[r.class].LateWorth > 0 {
		return w.answerDeadline(r)
	}
	return min(w.answerDeadline(r), r.softDeadline)
}

// retryAfter returns how long a caller should stay away whose request came too late by excess. With just the
// excess all callers would return at once, when others have arrived too: the queue would never get shorter,
// and evenly spread load would stay with slow servers. It is too long where one caller sends most requests.
func (w *Worker) retryAfter(excess int64, c *Class) int64 {
	return int64(retryAfterMultiple*float64(excess) + retryAfterTargetShare*float64(c.TargetTime))
}

// refuse answers a request that never ran, or that may run again.
func (w *Worker) refuse(r *request, retryAfter int64, noFailover bool, acts []Action) []Action {
	w.refusalRate += meanWeight
	acts = append(acts, Action{Kind: Refuse, ID: r.id, After: min(max(0, retryAfter), w.cfg.MaxRetryAfter),
		On: noFailover})
	return w.discard(r, acts)
}

// fail answers a request that may have run. A repeatable one is refused without failover: callers answer an
// error with another try, too late to earn anything, and such retries outlive their cause. A caller that has
// time left loses by it.
func (w *Worker) fail(r *request, acts []Action) []Action {
	if w.cfg.Classes[r.class].Effect == Repeatable {
		return w.refuse(r, 0, w.stopAt == 0, acts) // in a drain other servers may run it
	}
	return w.discard(r, append(acts, Action{Kind: Fail, ID: r.id}))
}

// discard ends a request that is answered or whose caller has disconnected. Its run is halted where that is
// allowed, unless it is not repeatable: then a duplicate may still need the result.
func (w *Worker) discard(r *request, acts []Action) []Action {
	r.answered = true
	if r.phase == queued || r.phase == awaitingResult || r.phase == paused {
		return w.remove(r, acts)
	}
	if r.phase != running || w.cfg.Stop == StopNever || w.cfg.Classes[r.class].Effect != Repeatable {
		return acts
	}
	return append(acts, Action{Kind: Halt, ID: r.id})
}

// expire answers all requests at their deadline, and those that can no longer earn anything.
func (w *Worker) expire(acts []Action) []Action {
	for i := range w.reqs {
		r := &w.reqs[i]
		if r.answered || r.phase == finished {
			continue
		}
		repeatable, useless := w.cfg.Classes[r.class].Effect == Repeatable, w.now >= w.usefulUntil(r)
		switch {
		case r.phase == queued && useless && (repeatable || !r.ran):
			acts = w.refuse(r, w.retryAfter(w.queueWait, &w.cfg.Classes[r.class]), true, acts)
		case r.phase == queued && r.ran && !repeatable, // a halt lost its work: neither run again nor refused
			w.now >= w.answerDeadline(r),
			useless && (repeatable || r.phase == awaitingCall) && (r.phase != running || w.cfg.Stop != StopNever):
			acts = w.fail(r, acts)
		}
	}
	return acts
}
