// What starts next, within the running limit, the safe runs and the ceilings of the pools.

package kiteslip

// start starts queued requests in their order, while the limits allow.
func (w *Worker) start(acts []Action) []Action {
	safe, limit := w.safeRuns(), w.limit
	// Callers that leave before their requests are read get neither refusal nor retry-after and send more: half
	// of the cores are left to reading until the backlog is gone.
	if w.readDelay > backlogTargetShare*w.minTarget {
		limit = max(1, w.cfg.Cores/2)
	}
	// A few heavy runs must not occupy all slots while others could run beside them: those run beyond the limit
	// and show that there is progress. It is harmful where heavy runs overload the cores already.
	limit += min(w.heavyRuns, w.cfg.Cores)
	// Requests are prepared while others run: no slot waits for it. Only a few at once: it is wasted if they are
	// refused then.
	preparing := 0
	for _, i := range w.queue {
		r := &w.reqs[i]
		if !w.cfg.Classes[r.class].Prepare || r.duplicateOf != 0 || !r.prepareSent && preparing >= w.cfg.Cores {
			continue
		}
		if preparing++; !r.prepareSent {
			r.prepareSent = true
			acts = append(acts, Action{Kind: Prepare, ID: r.id})
		}
	}
	if w.ceilings != nil {
		limit = min(limit, max(1, w.ceilings.MaxRuns))
	}
	for guaranteed := w.ceilings != nil; ; guaranteed = false { // guaranteed slots first
		starts := 0
		if guaranteed {
			starts = w.guaranteedStarts(limit)
		}
		for _, i := range w.queue {
			r := &w.reqs[i]
			if float64(w.onCore+w.inCall+1) > safe || guaranteed && starts <= 0 || !guaranteed && w.onCore >= limit {
				break
			}
			if r.phase != queued && r.phase != paused || r.duplicateOf != 0 || r.answered ||
				!w.poolAllows(r, guaranteed, limit) || w.cfg.Classes[r.class].Prepare && !r.ready {
				continue
			}
			if r.phase == queued {
				// A run that waits too long for its call is lost, a keyed one for good: it stays in the queue instead.
				if c := &w.cfg.Classes[r.class]; w.sharedDownstream && c.CallsDownstream && c.SkipWorth == 0 &&
					(float64(w.requiredCalls) >= w.callLimit ||
						w.nextFirstCall > w.now+int64(w.classes[r.class].meanWork*minRemainingShare)) {
					continue
				}
				extraKB := r.sizeKB * (w.cfg.RunFactor - 1)
				if w.memoryKB+extraKB > w.memoryTop() && w.inProgress > 0 || w.memoryKB+extraKB > w.cfg.MemoryKB {
					continue
				}
				w.memoryKB += extraKB
				w.inProgress++
			}
			starts--
			r.ran = true
			w.enterCore(r)
			w.onCore++
			if u, _ := w.pool(r.class); u != nil {
				u.running, u.queued = u.running+1, u.queued-1
				if r.class == w.ceilings.CheapestClass {
					w.cheapestRuns++
				}
			}
			acts = append(acts, Action{Kind: Run, ID: r.id})
			acts = w.serveDuplicates(r, acts)
		}
		if !guaranteed {
			return acts
		}
	}
}

// poolAllows reports whether the pool of r has a running slot: a guaranteed one, also beyond the limit where
// it has reserved slots, or any below its maximum.
func (w *Worker) poolAllows(r *request, guaranteed bool, limit int) bool {
	u, c := w.pool(r.class)
	switch {
	case c == nil:
		return true
	case !guaranteed:
		return u.running < c.MaxRuns
	}
	reserved := 0
	if r.class == w.ceilings.CheapestClass {
		reserved = w.ceilings.CheapestReserved
	}
	return w.onCore < limit+reserved && u.running < c.GuaranteedRuns || u.running < c.ReservedRuns ||
		w.cheapestRuns < reserved
}

// guaranteedStarts returns how many queued requests may start in guaranteed slots, or beyond the limit.
func (w *Worker) guaranteedStarts(limit int) int {
	n := 0
	for i := range w.poolUsage {
		u, c := &w.poolUsage[i], &w.ceilings.Pools[i]
		n += max(0, min(u.queued, c.GuaranteedRuns-u.running))
	}
	n = min(n, max(0, limit-w.onCore))
	for i := range w.poolUsage {
		u, c := &w.poolUsage[i], &w.ceilings.Pools[i]
		n += max(0, min(u.queued, c.ReservedRuns-u.running))
	}
	if w.ceilings.CheapestClass >= 0 {
		u, c := w.pool(w.ceilings.CheapestClass)
		room := min(limit+w.ceilings.CheapestReserved-w.onCore, c.GuaranteedRuns-u.running)
		n += max(0, min(u.queued, max(room, w.ceilings.CheapestReserved-w.cheapestRuns)))
	}
	return n
}
