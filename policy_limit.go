// The running limit: its growth and cuts, the mean work of classes, and the number of safe runs.

package kiteslip

import "math"

// handleDone records the end of a run or reuse, and adapts the running limit.
func (w *Worker) handleDone(r *request, e *Event) {
	if e.Outcome == NotStarted {
		r.phase = finished
		return
	}
	wasReuse := r.phase == awaitingResult
	if r.phase == inCall && w.sharedDownstream { // the call is abandoned with its request
		w.delayNextCall(float64(w.now-r.callSince), true)
	}
	w.endCallBooking(r, TimedOut)
	full := w.onCore >= w.limit
	w.leaveCore(r)
	if e.Outcome == Cancelled && !r.answered {
		if r.phase = queued; w.cfg.Stop == StopFreeze {
			r.phase = paused
		}
		return
	}
	r.phase = finished
	w.lastProgress = w.now
	if !wasReuse && !r.answered {
		w.failureRate *= 1 - 2*meanWeight
		if e.Outcome == Failed {
			w.failureRate += 2 * meanWeight
		}
	}
	if stopped := e.Outcome == Cancelled && r.work > w.classes[r.class].meanWork; stopped && !wasReuse {
		w.updateMeanWork(r) // it would have taken longer still; otherwise only short runs would count
	}
	if e.Outcome != OK {
		return
	}
	c := &w.cfg.Classes[r.class]
	if !r.answered && w.now <= r.softDeadline {
		w.recordServed(r.class, r.tenant, c.Worth)
	}
	if wasReuse {
		return
	}
	late := float64(r.coreTime) > lateMultiple*w.classes[r.class].meanWork
	w.updateMeanWork(r)
	w.windowDone++
	if late {
		w.windowLate++
	} else if full && w.now <= r.deadline && !(w.gauges.Valid && w.gauges.Runnable >= float32(w.cfg.Cores)) {
		// Only with a core to spare: more runs would only divide cores that reading needs too.
		w.limit = min(w.limit+1, int(w.safeRuns()))
	}
	w.overdue = w.overdue || w.now > r.deadline
	// With fewer runs than 1/maxLateShare one late run exceeds it: on few cores, single long runs cut the limit.
	if w.now >= w.windowEnd && (w.overdue || float64(w.windowDone)*maxLateShare >= 1) {
		if w.overdue || float64(w.windowLate) > maxLateShare*float64(w.windowDone) {
			w.limit = int(float64(w.limit) * limitCutFactor)
		}
		w.limit = max(w.limit, w.cfg.Cores)
		w.windowEnd = w.now + int64(w.meanWork)
		w.windowDone, w.windowLate, w.overdue = 0, 0, false
	}
}

// updateMeanWork adds the work of r to the mean of its class, as heavyRunMultiple times the mean at most.
func (w *Worker) updateMeanWork(r *request) {
	w.classes[r.class].runs++
	weight := max(meanWeight, 1/(w.classes[r.class].runs+initialWorkWeight))
	mean := w.classes[r.class].meanWork
	w.setMeanWork(r.class, mean+(min(r.work, heavyRunMultiple*mean)-mean)*weight)
	w.classes[r.class].meanCallTime += (float64(r.callTime) - w.classes[r.class].meanCallTime) * weight
}

// updateMeans sets the means over the classes, weighted by the worth requested.
func (w *Worker) updateMeans() {
	m := &w.weights
	n := m.total + minClassWeight*float64(len(w.classes))
	w.meanWork = max((m.totalWork+minClassWeight*(m.sumWork.high+m.sumWork.low))/n, 1)
	w.meanTarget = max((m.totalTarget+minClassWeight*m.sumTargets)/n, 1)
	w.minTarget = max(w.shortestTarget(), 1)
}

// safeRuns returns how many started requests are safe, for the slowest warm-up that the settings allow.
func (w *Worker) safeRuns() float64 {
	if w.cfg.MaxRunsPerCore <= 0 {
		return math.MaxInt32
	}
	return max(1, safeRunsShare*float64(w.cfg.Cores)*(1+(w.cfg.MaxRunsPerCore-1)*w.coreSpeed()))
}

// coreSpeed returns the lowest speed that the settings allow the cores to have now, as a share of full speed.
func (w *Worker) coreSpeed() float64 {
	if !w.cfg.JustStarted || w.cfg.WarmupTime <= 0 {
		return 1
	}
	return min(1, w.cfg.ColdSpeed+
		(1-w.cfg.ColdSpeed)*float64(max(0, w.now-w.startedAt))/float64(w.cfg.WarmupTime))
}
