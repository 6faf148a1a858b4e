// Downstream calls: which are made, their timeouts, and which are skipped or fail.

package kiteslip

import (
	"cmp"
	"math"
	"slices"
)

// handleCallDone records the end of a call and adapts the limit of calls.
func (w *Worker) handleCallDone(r *request, e *Event) {
	if r.phase != inCall {
		return
	}
	took := w.now - r.callSince
	r.callTime += took
	w.lastProgress = w.now
	w.endCallBooking(r, e.Outcome)
	if w.sharedDownstream {
		w.delayNextCall(float64(took), e.Outcome != OK)
	}
	if t := float64(took); e.Outcome == OK || e.Outcome == TimedOut && t > w.callMean {
		if w.callMean == 0 {
			w.callMean, w.callBaseline = t, t
		}
		w.callMean += (t - w.callMean) * 2 * meanWeight
		w.callBaseline = min(w.callBaseline+(w.callMean-w.callBaseline)*callBaselineDrift, w.callMean)
	}
	if e.Outcome == OK {
		r.callsDone++
		w.enterCore(r)
	} else {
		r.phase, r.callSince = awaitingCall, w.now
		r.failedCalls++
		c := &w.cfg.Classes[r.class]
		neverRan := e.Outcome == Rejected || e.Outcome == Unreachable || e.Outcome == NotStarted
		if c.Effect != Repeatable && !neverRan || c.SkipWorth > 0 && e.Outcome == TimedOut {
			r.failedCalls = math.MaxInt32 // it may have taken effect, or skipping it is better
		}
	}
	if e.Outcome != OK || w.callMean > slowCallMultiple*w.callBaseline {
		if w.now >= w.nextCallCut {
			w.setCallLimit(w.callLimit * limitCutFactor)
			w.nextCallCut = w.now + int64(w.callMean)
		}
	} else if w.callsLimited {
		w.setCallLimit(w.callLimit + min(1, callLimitGrowth+w.callLimit*w.callLimit))
	}
}

// setCallLimit sets the limit of calls, within bounds.
func (w *Worker) setCallLimit(limit float64) {
	minLimit, maxLimit := 1.0, math.Inf(1)
	if w.sharedDownstream {
		minLimit, maxLimit = w.cfg.CallShare*minCallLimitShare, w.cfg.CallShare*maxCallLimitShare
	}
	w.callLimit = max(minLimit, min(limit, maxLimit))
}

// delayNextCall moves the earliest time of the next call. The pause is random: workers that pause together
// would return together. A call rejected at once counts as one of the usual time, otherwise every worker
// would repeat it at once; after the second failure in a row nothing is sent for the usual time of a call.
func (w *Worker) delayNextCall(took float64, failed bool) {
	dutyCycle := w.callDutyCycle()
	if w.callLimit < 1 && w.callMean > slowCallMultiple*w.callBaseline {
		dutyCycle = min(dutyCycle, w.callLimit)
	}
	usualTime := cmp.Or(w.callMean, minCallTimeShare*float64(w.cfg.CallShareWindow))
	if failed {
		took = max(took, usualTime)
	}
	after := func(from int64, pause float64) int64 {
		return max(w.now, from) + int64(min(pause, float64(w.cfg.CallShareWindow))*(0.5+w.rng.Float64()))
	}
	w.nextFirstCall = after(w.nextFirstCall, took*(1/dutyCycle-1))
	if failed && w.lastCallFailed {
		w.nextCall = after(w.nextCall, usualTime/max(1, w.callLimit))
	}
	w.lastCallFailed = failed
}

// callDutyCycle returns the share of the time in which a worker with a share below one call may have one
// outstanding: however long calls take, the calls of all workers add up to about the sum of their shares.
func (w *Worker) callDutyCycle() float64 {
	return max(min(fractionalCallShare*w.cfg.CallShare*w.coreSpeed(), 1), 1e-3)
}

// delayFirstCall spreads the first calls of workers that start together and know nothing of each other: a
// random part of them, as large as the duty cycle, may call at once, the others within CallShareWindow.
func (w *Worker) delayFirstCall() {
	if dutyCycle := w.callDutyCycle(); w.sharedDownstream && w.rng.Float64() >= dutyCycle {
		w.nextFirstCall = w.now + int64(w.rng.Float64()*float64(w.cfg.CallShareWindow))
	}
}

// maxCallTime returns how long a call made now may take. A shared dependency fails by the calls of all
// workers, averaged over CallShareWindow. Each call is booked with the longest time that it may take and
// linger; while the bookings of the last window and ahead stay below the share, no window has more, however
// long calls take.
func (w *Worker) maxCallTime(r *request) int64 {
	if float64(w.inCall) >= max(1, w.callLimit*w.coreSpeed()) ||
		w.now < w.nextFirstCall && r.callsDone == 0 || w.now < w.nextCall {
		w.callsLimited = true
		return 0
	}
	if !w.sharedDownstream {
		return math.MaxInt64
	}
	booked := int64(0)
	for _, c := range w.callBookings {
		booked += c.until - max(c.from, w.now-w.cfg.CallShareWindow)
	}
	return int64(w.callBudget) - booked - w.cfg.MaxCallLinger
}

// callDownstream makes, skips or fails the calls that requests wait for.
func (w *Worker) callDownstream(acts []Action) []Action {
	w.callsLimited, w.sortKeys = false, w.sortKeys[:0]
	for i := range w.reqs {
		if r := &w.reqs[i]; r.phase == awaitingCall && !r.answered {
			// The value of the call itself; requests that have most of their calls behind them go first.
			unskipped := 1 - w.cfg.Classes[r.class].SkipWorth
			r.valueDensity = w.value(r) * w.classes[r.class].meanWork * unskipped * float64(1+r.callsDone)
			w.sortKeys = append(w.sortKeys, w.sortKey(i))
		}
	}
	slices.SortFunc(w.sortKeys, compareSortKeys)
	safe, slowCalls := w.safeRuns(), w.sharedDownstream && w.callMean > slowCallMultiple*w.callBaseline
	for n, p := range w.sortKeys {
		if float64(w.onCore+w.inCall+1) > safe {
			break // runs whose calls return need cores at once
		}
		r := &w.reqs[p.index]
		c := &w.cfg.Classes[r.class]
		left := w.usefulUntil(r) - w.now
		remaining := max(w.classes[r.class].meanWork-r.work, w.classes[r.class].meanWork*minRemainingShare)
		expected := w.callMean * (1.5 + float64(n)/w.callLimit)
		if r.failedCalls > maxCallRetries && c.SkipWorth == 0 {
			acts = w.fail(r, acts)
			continue
		}
		if c.SkipWorth > 0 && (r.failedCalls > maxCallRetries ||
			slowCalls && w.requiredCalls+w.queuedRequiredCalls > 0 ||
			float64(r.softDeadline-w.now) < expected+remaining && w.now < r.softDeadline) {
			acts = append(acts, Action{Kind: Skip, ID: r.id})
			r.callTime += w.now - r.callSince
			w.enterCore(r)
			w.onCore++
			continue
		}
		maxTime := w.maxCallTime(r)
		if c.Effect == Repeatable && w.callMean > 0 {
			left = min(left, int64(callTimeoutMultiple*w.callMean))
		}
		timeout := max(min(left, maxTime), w.cfg.Tick, 1000)
		minTime := min(float64(w.cfg.CallShareWindow)*minCallTimeShare,
			(w.callBudget-float64(w.cfg.MaxCallLinger))/2, float64(left))
		if timeout > maxTime || float64(timeout) < minTime {
			continue
		}
		acts = append(acts, Action{Kind: Call, ID: r.id, After: timeout})
		r.callTime += w.now - r.callSince
		r.phase, r.callSince = inCall, w.now
		w.callBookings = append(w.callBookings, callBooking{r.id, w.now, w.now + timeout + w.cfg.MaxCallLinger})
		w.inCall++
	}
	return acts
}
