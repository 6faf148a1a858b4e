// Calls below: which are made, for how long, left out or given up.

package kiteslip

import (
	"cmp"
	"math"
	"slices"
)

// called takes in the end of a call and moves the limit of calls.
func (w *Worker) called(r *request, e *Event) {
	if r.phase != calling {
		return
	}
	took := w.now - r.callAt
	r.waits += took
	w.progress = w.now
	w.callEnds(r, e.Outcome)
	if w.shared {
		w.callPause(float64(took), e.Outcome != OK)
	}
	if t := float64(took); e.Outcome == OK || e.Outcome == TimedOut && t > w.callMean {
		if w.callMean == 0 {
			w.callMean, w.callBase = t, t
		}
		w.callMean += (t - w.callMean) * 2 * learn
		w.callBase = min(w.callBase+(w.callMean-w.callBase)*callDrift, w.callMean)
	}
	if e.Outcome == OK {
		r.calls++
		w.onto(r)
	} else {
		r.phase, r.callAt = atCall, w.now
		r.tries++
		c := &w.set.Classes[r.class]
		unrun := e.Outcome == Rejected || e.Outcome == Unreachable || e.Outcome == NotStarted
		if c.Effect != Repeatable && !unrun || c.SkipWorth > 0 && e.Outcome == TimedOut {
			r.tries = math.MaxInt32 // it may have taken effect, or better do without
		}
	}
	if e.Outcome != OK || w.callMean > callSlow*w.callBase {
		if w.now >= w.callSpan {
			w.moveCalls(w.callLimit * limitCut)
			w.callSpan = w.now + int64(w.callMean)
		}
	} else if w.callsFull {
		w.moveCalls(w.callLimit + min(1, callGrow+w.callLimit*w.callLimit))
	}
}

func (w *Worker) moveCalls(limit float64) {
	least, most := 1.0, math.Inf(1)
	if w.shared {
		least, most = w.set.CallShare*shareLeast, w.set.CallShare*shareMost
	}
	w.callLimit = max(least, min(limit, most))
}

// callPause moves the time of the next call. Less than one call at a time is one now and then, by chance:
// workers that pause together return together. What is turned away at once counts as a usual call, or every
// worker would send it again at once; after the second in a row nothing is sent for as long as one takes.
func (w *Worker) callPause(took float64, failed bool) {
	part := w.callPart()
	if w.callLimit < 1 && w.callMean > callSlow*w.callBase {
		part = min(part, w.callLimit)
	}
	usual := cmp.Or(w.callMean, callShort*float64(w.set.CallShareWindow))
	if failed {
		took = max(took, usual)
	}
	after := func(from int64, pause float64) int64 {
		return max(w.now, from) + int64(min(pause, float64(w.set.CallShareWindow))*(0.5+w.rng.Float64()))
	}
	w.callNext = after(w.callNext, took*(1/part-1))
	if failed && w.callFailed {
		w.callAgain = after(w.callAgain, usual/max(1, w.callLimit))
	}
	w.callFailed = failed
}

// callPart is the part of the time in which a worker may have one call in hand, where less than one at a time
// is its due: whatever a call takes, the sum of all workers' calls stays around what their shares add up to.
func (w *Worker) callPart() float64 {
	return max(min(sharePart*w.set.CallShare*w.speed(), 1), 1e-3)
}

// callFirst spreads the first calls of workers that start together and cannot know of each other: what is
// called at once is their part by chance, and the rest comes over the told span.
func (w *Worker) callFirst() {
	if part := w.callPart(); w.shared && w.rng.Float64() >= part {
		w.callNext = w.now + int64(w.rng.Float64()*float64(w.set.CallShareWindow))
	}
}

// callRoom is how long a call made now may take. A shared dependency dies of all workers' calls on the mean
// of the told span. Each call is booked with all that it may take and linger; while what is booked in the
// last span and ahead stays under a worker's share, no span holds more, whatever the dependency does.
func (w *Worker) callRoom(r *request) int64 {
	if float64(w.out) >= max(1, w.callLimit*w.speed()) ||
		w.now < w.callNext && r.calls == 0 || w.now < w.callAgain {
		w.callsFull = true
		return 0
	}
	if !w.shared {
		return math.MaxInt64
	}
	booked := int64(0)
	for _, c := range w.calls {
		booked += c.until - max(c.from, w.now-w.set.CallShareWindow)
	}
	return int64(w.budget) - booked - w.set.MaxCallLinger
}

// callBelow makes, leaves out or gives up the calls that requests stand at.
func (w *Worker) callBelow(acts []Action) []Action {
	w.callsFull, w.places = false, w.places[:0]
	for i := range w.reqs {
		if r := &w.reqs[i]; r.phase == atCall && !r.answered {
			// What the call itself earns; what has most of its calls behind it goes first.
			unskipped := 1 - w.set.Classes[r.class].SkipWorth
			r.density = w.gain(r) * w.classes[r.class].base * unskipped * float64(1+r.calls)
			w.places = append(w.places, w.place(i))
		}
	}
	slices.SortFunc(w.places, better)
	crowd, slow := w.crowd(), w.shared && w.callMean > callSlow*w.callBase
	for n, p := range w.places {
		if float64(w.onCore+w.out+1) > crowd {
			break // what comes back from calls is on the cores at once
		}
		r := &w.reqs[p.index]
		c := &w.set.Classes[r.class]
		left := w.earnUntil(r) - w.now
		rest := max(w.classes[r.class].base-r.work, w.classes[r.class].base*restShare)
		turn := w.callMean * (1.5 + float64(n)/w.callLimit)
		if r.tries > callTries && c.SkipWorth == 0 {
			acts = w.fail(r, acts)
			continue
		}
		if c.SkipWorth > 0 && (r.tries > callTries || slow && w.must+w.wanting > 0 ||
			float64(r.aim-w.now) < turn+rest && w.now < r.aim) {
			acts = append(acts, Action{Kind: Skip, ID: r.id})
			r.waits += w.now - r.callAt
			w.onto(r)
			w.onCore++
			continue
		}
		room := w.callRoom(r)
		if c.Effect == Repeatable && w.callMean > 0 {
			left = min(left, int64(callPatience*w.callMean))
		}
		patience := max(min(left, room), w.set.Tick, 1000)
		need := min(float64(w.set.CallShareWindow)*callShort, (w.budget-float64(w.set.MaxCallLinger))/2, float64(left))
		if patience > room || float64(patience) < need {
			continue
		}
		acts = append(acts, Action{Kind: Call, ID: r.id, After: patience})
		r.waits += w.now - r.callAt
		r.phase, r.callAt = calling, w.now
		w.calls = append(w.calls, span{r.id, w.now, w.now + patience + w.set.MaxCallLinger})
		w.out++
	}
	return acts
}
