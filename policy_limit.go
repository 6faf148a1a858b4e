// The running limit: its growth and cut, what a finished run teaches, and the crowd that is safe.

package kiteslip

import "math"

// done takes in the end of a run or reuse, and moves the limit.
func (w *Worker) done(r *request, e *Event) {
	if e.Outcome == NotStarted {
		r.phase = over
		return
	}
	wasCopy := r.phase == copying
	if r.phase == calling && w.shared { // given up with its request
		w.callPause(float64(w.now-r.callAt), true)
	}
	w.callEnds(r, TimedOut)
	full := w.onCore >= w.limit
	w.offCore(r)
	if e.Outcome == Cancelled && !r.answered {
		if r.phase = held; w.set.Stop == StopFreeze {
			r.phase = paused
		}
		return
	}
	r.phase = over
	w.progress = w.now
	if !wasCopy && !r.answered {
		w.failing *= 1 - 2*learn
		if e.Outcome == Failed {
			w.failing += 2 * learn
		}
	}
	if stopped := e.Outcome == Cancelled && r.work > w.classes[r.class].base; stopped && !wasCopy {
		w.learn(r) // it would have taken longer still: without these, only what is short is learned
	}
	if e.Outcome != OK {
		return
	}
	c := &w.set.Classes[r.class]
	if !r.answered && w.now <= r.aim {
		w.serve(r.class, r.tenant, c.Worth)
	}
	if wasCopy {
		return
	}
	late := float64(r.wall) > lateMultiple*w.classes[r.class].base
	w.learn(r)
	w.spanDone++
	if late {
		w.spanLate++
	} else if full && w.now <= r.due && !(w.gauges.Valid && w.gauges.Runnable >= float32(w.set.Cores)) {
		// Only with a core to spare: more runs would only share out cores that reading needs too.
		w.limit = min(w.limit+1, int(w.crowd()))
	}
	w.overdue = w.overdue || w.now > r.due
	// A tenth of fewer than ten is no share: on a few cores one long run in a base latency cut the limit.
	if w.now >= w.spanEnd && (w.overdue || float64(w.spanDone)*lateShare >= 1) {
		if w.overdue || float64(w.spanLate) > lateShare*float64(w.spanDone) {
			w.limit = int(float64(w.limit) * limitCut)
		}
		w.limit = max(w.limit, w.set.Cores)
		w.spanEnd = w.now + int64(w.meanBase)
		w.spanDone, w.spanLate, w.overdue = 0, 0, false
	}
}

// learn takes the work of r into the base of its class. One run of many times the usual work moves it no
// further than one of heavyRun bases.
func (w *Worker) learn(r *request) {
	w.classes[r.class].runs++
	weight := max(learn, 1/(w.classes[r.class].runs+firstWeight))
	base := w.classes[r.class].base
	w.rebase(r.class, base+(min(r.work, heavyRun*base)-base)*weight)
	w.classes[r.class].wait += (float64(r.waits) - w.classes[r.class].wait) * weight
}

// mix takes the means over the classes, weighed by what is asked for.
func (w *Worker) mix() {
	m := &w.weights
	n := m.asked + trifle*float64(len(w.classes))
	w.meanBase = max((m.askedBase+trifle*(m.bases.high+m.bases.low))/n, 1)
	w.meanAim = max((m.askedAim+trifle*m.aims)/n, 1)
	w.leastAim = max(w.shortestAim(), 1)
}

// crowd is how many begun requests are safe, with the slowest warming that the settings allow.
func (w *Worker) crowd() float64 {
	if w.set.MaxRunsPerCore <= 0 {
		return math.MaxInt32
	}
	return max(1, crowdRoom*float64(w.set.Cores)*(1+(w.set.MaxRunsPerCore-1)*w.speed()))
}

// speed is the least share of their full speed that the settings allow the cores to have now.
func (w *Worker) speed() float64 {
	if !w.set.JustStarted || w.set.WarmupTime <= 0 {
		return 1
	}
	return min(1, w.set.ColdSpeed+(1-w.set.ColdSpeed)*float64(max(0, w.now-w.born))/float64(w.set.WarmupTime))
}
