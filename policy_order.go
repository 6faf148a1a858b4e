// The order of the queue, and the refusal of what can't be answered in time.

package kiteslip

import (
	"cmp"
	"slices"
)

// value returns what answering r in time adds to the goal for its core time: its worth, reduced if its tenant
// is over its quota, increased if its class or tenant is the worst served.
func (w *Worker) value(r *request) float64 {
	goal, within := w.cfg.Goal, w.inShare(r.tenant)
	worth := w.cfg.Classes[r.class].Worth * (within + (1-within)*w.cfg.OverShareWorth)
	if !w.cfg.WorthByWork {
		worth /= max(w.classes[r.class].meanWork, 1) // otherwise longer requests earn more as well
	}
	class := w.serviceDeficit(&w.classes[r.class].usage, &w.allClasses)
	tenant := w.serviceDeficit(&w.tenants[r.tenant].usage, &w.allTenants)
	return worth * (goal.Whole + goal.WorstClass*class + goal.WorstTenant*tenant)
}

// inShare returns the part of a tenant's arrivals here that is within its quota. The service deficit of a
// tenant is that of this part: counted by all that it requests, a flood would pass for the worst served.
//
// Where less than one arrival is due here within decayTimeUS, most of a single arrival is over the quota.
// Counting such an arrival as within it made requests go first that the fleet counts as over quota.
func (w *Worker) inShare(tenant int) float64 {
	if w.cfg.Stage > 0 || tenant >= len(w.cfg.Tenants) {
		return 1
	}
	t := &w.tenants[tenant]
	rate, share := w.decay.refresh(&t.usage).arrived/(decayTimeUS/1e6), t.share
	return min(1, share/max(rate, 1e-9))
}

// serviceDeficit returns the weight of a class or tenant in the goal, by how much worse than all it is
// served.
func (w *Worker) serviceDeficit(u, all *usage) float64 {
	w.decay.refresh(u)
	requested := all.requested + 1e-9
	if u.requested < 1 {
		return 1
	}
	behind := (all.served/requested - u.served/u.requested) / fullDeficit
	return max(0, min(1, behind)) * requested / u.requested
}

// compareSortKeys orders two requests: the higher value density first, then the earlier soft deadline, or the
// newest while the queueing delay is too long: in order all would be answered just in time here, too late for
// those with earlier tries. A pool that can start its whole queue in guaranteed slots has no such delay.
func compareSortKeys(x, y sortKey) int {
	if byDensity := cmp.Compare(y.valueDensity, x.valueDensity); byDensity != 0 {
		return byDensity
	}
	if byDeadline := cmp.Compare(x.softDeadline, y.softDeadline); byDeadline != 0 && x.newestFirst {
		return -byDeadline
	} else if byDeadline != 0 {
		return byDeadline
	}
	return cmp.Compare(x.id, y.id)
}

// sortKey returns the sort key of request i.
func (w *Worker) sortKey(i int) sortKey {
	r := &w.reqs[i]
	newest := w.waitRatio > 1 && (w.ceilings == nil || !w.poolUsage[w.ceilings.PoolOf[r.class]].withinGuarantee)
	return sortKey{valueDensity: r.valueDensity, softDeadline: r.softDeadline, id: r.id, index: int32(i),
		newestFirst: newest}
}

// shed sorts the queue, refuses what can't be answered in time, and keeps the memory below memoryTop.
func (w *Worker) shed(acts []Action) []Action {
	w.sortKeys = w.sortKeys[:0]
	workAhead := 0.0
	w.requiredCalls, w.queuedRequiredCalls, w.heavyRuns = 0, 0, 0
	for i := range w.reqs {
		r := &w.reqs[i]
		switch r.phase {
		case queued, paused:
			if r.duplicateOf != 0 || r.answered {
				continue
			}
			if c := &w.cfg.Classes[r.class]; c.CallsDownstream && c.SkipWorth == 0 {
				w.queuedRequiredCalls++
			}
			r.valueDensity = w.value(r)
			if r.late {
				r.valueDensity *= w.cfg.Classes[r.class].LateWorth
			}
			w.sortKeys = append(w.sortKeys, w.sortKey(i))
		case running, awaitingCall, inCall:
			mean := w.classes[r.class].meanWork
			if r.phase == awaitingCall && !r.answered && w.cfg.Classes[r.class].SkipWorth == 0 {
				w.requiredCalls++
			}
			done := r.work
			if r.phase == running {
				done += w.virtualTime - r.virtualStart
			}
			if done > heavyRunMultiple*mean {
				w.heavyRuns++
			}
			workAhead += max(mean-done, mean*minRemainingShare)
			if u, _ := w.pool(r.class); u != nil {
				u.workAhead += max(mean-done, mean*minRemainingShare)
			}
		}
	}
	slices.SortFunc(w.sortKeys, compareSortKeys)
	cores := float64(w.cfg.Cores)
	lastWait := 0.0
	queue := w.queue[:0]
	for _, p := range w.sortKeys {
		r := &w.reqs[p.index]
		mean := w.classes[r.class].meanWork
		wait, useful := 0.0, r.softDeadline
		if w.onCore >= w.limit || len(queue) > 0 {
			useful = r.latestUseful
			wait = max(0, workAhead/cores-w.meanWork/2)
		}
		u, ceil := w.pool(r.class)
		if ceil != nil && ceil.GuaranteedCores > 0 { // guaranteed cores do not wait for others
			wait = min(wait, u.workAhead/ceil.GuaranteedCores)
		}
		c := &w.cfg.Classes[r.class]
		finish := w.now + int64(wait+mean*runTimeMargin+w.classes[r.class].meanCallTime)
		latest := min(useful, w.answerDeadline(r))
		if finish > latest && r.phase == queued {
			if c.LateWorth > 0 && finish <= w.answerDeadline(r) && w.now < r.softDeadline {
				r.late = true
			} else if w.classes[r.class].runs > 0 && w.inProgress > 0 {
				// Without failover: tries that go from server to server are read at a cost each time, until reading
				// alone fills the fleet. What had its chance here stays refused, even if others are idle.
				acts = w.refuse(r, w.retryAfter(finish-latest, c), true, acts)
				continue
			}
		}
		lastWait = max(lastWait, wait)
		workAhead += mean
		if u != nil {
			u.workAhead += mean
		}
		queue = append(queue, int(p.index))
	}
	w.waitRatio = max((lastWait+w.readDelay)/(queueTargetShare*w.meanTarget),
		w.readDelay/(readTargetShare*w.minTarget))
	w.queue, w.queueWait = queue, int64(lastWait)
	// Over memoryTop the least valuable queued requests are refused.
	for n := len(w.queue) - 1; n >= 0 && w.memoryKB > w.memoryTop(); n-- {
		r := &w.reqs[w.queue[n]]
		if r.phase == queued {
			acts = w.refuse(r, w.cfg.MaxRetryAfter, false, acts)
		}
	}
	return acts
}
