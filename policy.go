// The policy: constants, Step, and the handling of events. The types that go in and out are in kiteslip.go.
//
// The other files by subject: policy_admit (draw), _limit (running limit), _start, _order (queue), _calls,
// _keys, _answers (deadlines, drain), _advise (health, load signal).

package kiteslip

import (
	"cmp"
	"slices"
)

// Parameters of the design page.
const (
	bandStartRatio       = 0.93 // lower end of the draw's band over its upper end, as in the article
	headroomSizes        = 16.0 // memoryTop is this many of the largest sizes below the memory
	headroomSizesPerCore = 2.0  // ... at most this many per core: twice what all cores read at once
	minTopShare          = 0.5  // ... and never below this share of the memory
	bandEdgeProb         = 0.99 // refuseChance at the upper end, 1 minus it at the lower, as there
	maxLateShare         = 0.1  // the limit is cut when a larger share of a window's runs is late
	lateMultiple         = 3.0  // late: takes longer than this times the mean work; more hides thrashing
	limitCutFactor       = 0.7  // returns the limit to about the cores in one or two windows
)

// Parameters that the design page leaves open.
const (
	busyTimerUS           = 10_000  // interval of deadline checks while there are requests
	idleTimerUS           = 100_000 // ... and while there are none; also the interval of advice
	initialWorkDivisor    = 8.0     // mean work of a class before its first run: its target time over this
	meanWeight            = 0.05    // weight of one run in a mean: about twenty runs count
	initialWorkWeight     = 3.0     // weight of the initial mean work, in runs: one short run must not set it
	heavyRunMultiple      = 6.0     // a run beyond this many times the mean work is heavy
	retryTargetShare      = 0.7     // share of the target time that a marked retry is assumed to have left
	timeoutBins           = 64      // bins of the histogram of the time that callers have left
	commonTimeoutShare    = 0.08    // a bin with this share of the arrivals is a timeout that callers use
	maxTimeoutSamples     = 400     // above this many samples all counts are halved
	minRemainingShare     = 0.25    // share of the mean work still expected of a run that took longer
	runTimeMargin         = 1.3     // a run is planned to take this many times its mean work
	safeRunsShare         = 0.8     // runs stay below this share of those that a worker survives
	maxStopMarginUS       = 650_000 // all is answered this long before the stop, at most half the time to it
	admitMarginUS         = 300_000 // admission ends this long before that: a run cut short counts as failed
	keyMarginUS           = 100_000 // a key entry outlives its window by this
	decayTimeUS           = 4e6     // time constant of decay, long against the noise of a burst
	fullDeficit           = 0.1     // a class or tenant served this much worse gets its full goal weight
	stallMeanRuns         = 20.0    // core time without progress, in mean runs, that counts as a stall
	sheddingFailureRate   = 0.25    // a failure rate above this is no coincidence: arrivals are shed
	unhealthyFailureRate  = 0.9     // nearly all fail; half may fail on all servers alike, by a dependency
	failProbeIntervalUS   = 300_000 // a failing worker still admits one request in this time
	slowCallMultiple      = 4.0     // calls are slow when their mean exceeds this many baselines
	callBaselineDrift     = 0.001   // a baseline rises by this part of the gap: overload must not become it
	maxCallLimitShare     = 0.4     // the limit of calls stays below this part of CallShare: it slows first
	minCallLimitShare     = 0.2     // ... above this part however slow calls are: others slow them too
	callBudgetShare       = 0.75    // one worker never books more of its CallShare than this, see maxCallTime
	fractionalCallShare   = 0.6     // a share below one call: one is out for this part of that time share
	minCallTimeShare      = 0.1     // no call is made with less time than this part of CallShareWindow
	callTimeoutMultiple   = 5.0     // timeout of a repeatable call, in mean call times
	callLimitGrowth       = 0.1     // the limit of calls grows by this plus its square, by one at most
	maxCallRetries        = 2       // retries of a failed call
	queueTargetShare      = 0.5     // a queueing delay beyond this part of the mean target time is too long
	allowanceTargetShare  = 0.35    // callers may have outstanding what is served in this part of it
	readTargetShare       = 0.2     // a read delay beyond this part of the shortest target time is too long
	backlogTargetShare    = 0.5     // ... and beyond this part of it reading goes before runs
	shortIdleTimeoutUS    = 300_000 // idle timeout of connections that will not be used again
	retryAfterMultiple    = 4.0     // retry-after is this many times the excess delay ...
	retryAfterTargetShare = 0.15    // ... plus this part of the target time
	retryStormRefusalRate = 0.4     // a retry storm lasts while more of the arrivals are refused
	minRankStep           = 0.01    // step of the minimum rank per idleTimerUS
	minClassWeight        = 1e-6    // constant part of a class's weight in the means, in requests
	activeClassWeight     = 1e-3    // classes of a larger weight, and the first one, count for minTarget
)

// Step processes one batch of events at time now and appends the resulting actions to acts.
func (w *Worker) Step(now int64, events []Event, acts []Action) []Action {
	if !w.started {
		w.started, w.prev, w.lastProgress = true, now, now
		if w.startedAt < 0 {
			w.startedAt = now
		}
		acts = append(acts, Action{Kind: Health, On: true, Cached: true})
		w.now = now
		w.delayFirstCall()
	}
	w.advance(now)
	w.arrived = w.arrived[:0]
	for i := range events {
		acts = w.handleEvent(&events[i], acts)
	}
	w.recount()
	w.updateMeans()
	acts = w.expire(acts)
	acts = w.admit(acts)
	acts = w.shed(acts)
	acts = w.callDownstream(acts)
	acts = w.start(acts)
	acts = w.advise(acts)
	w.removeFinished()
	return w.armTimer(acts)
}

// advance moves the clocks and applies decay. Virtual time advances by the core time that each run gets.
func (w *Worker) advance(now int64) {
	dt := now - w.prev
	w.now, w.prev = now, now
	w.virtualTime += float64(dt) * min(1, float64(w.cfg.Cores)/float64(max(w.onCore, 1)))
	w.callBookings = slices.DeleteFunc(w.callBookings, func(b callBooking) bool {
		return b.until <= now-w.cfg.CallShareWindow
	})
	w.decay.advance(now, dt)
	w.arrivals *= w.decay.factor
	w.decayTotals()
	w.keyTable = slices.DeleteFunc(w.keyTable, func(e keyEntry) bool { return e.until < now })
}

// handleEvent records one event; decisions are made when the whole batch is in.
func (w *Worker) handleEvent(e *Event, acts []Action) []Action {
	switch e.Kind {
	case Arrive:
		return w.handleArrival(e, acts)
	case Drain:
		w.drainSince, w.stopAt, w.handedOver = w.now, e.Deadline, false
		w.stopMargin = min(maxStopMarginUS, (w.stopAt-w.now)/2)
	case Handover:
		w.stopAt, w.handedOver = e.Deadline, true
		w.stopMargin = min(maxStopMarginUS, (w.stopAt-w.now)/2)
	case PeerLoad:
		w.peerRuns, w.peerKB = max(0, e.Runs), max(0, e.SizeKB)
	case Timer:
		if e.Token == w.timerToken {
			w.timerAt = 0
		}
		if e.Gauges.Valid {
			w.gauges = e.Gauges
		}
	}
	switch r := w.find(e.ID); {
	case r == nil:
	case e.Kind == Done:
		w.handleDone(r, e)
	case e.Kind == NeedsCall:
		w.leaveCore(r)
		w.lastProgress = w.now
		r.phase, r.callSince, r.failedCalls = awaitingCall, w.now, 0
	case e.Kind == CallDone:
		w.handleCallDone(r, e)
	case e.Kind == Ready:
		r.ready = true
	case e.Kind == Disconnected:
		acts = w.discard(r, acts)
	}
	return acts
}

// handleArrival adds a request. The age of a marked retry is unknown: its target time starts with this try.
func (w *Worker) handleArrival(e *Event, acts []Action) []Action {
	if w.find(e.ID) != nil {
		return acts
	}
	if e.Class < 0 || e.Class >= len(w.cfg.Classes) {
		return append(acts, Action{Kind: Refuse, ID: e.ID})
	}
	c := &w.cfg.Classes[e.Class]
	r := request{id: e.ID, duplicateOf: e.DuplicateOf, class: e.Class, arrivedAt: w.now - e.Waited,
		sizeKB: e.SizeKB, tenant: max(0, min(e.Tenant, len(w.tenants)-1))}
	if !(r.sizeKB > 0) {
		r.sizeKB = w.largestKB
	}
	r.deadline, r.softDeadline = cmp.Or(max(e.Deadline, 0), r.arrivedAt+c.Timeout), r.arrivedAt+c.TargetTime
	r.softDeadline -= w.estimateAge(e, r.deadline-r.arrivedAt, c)
	if r.latestUseful = r.softDeadline; e.Retry { // its caller has waited already, for an unknown time
		r.latestUseful -= int64((1 - retryTargetShare) * float64(c.TargetTime))
	}
	w.arrivals++
	w.refusalRate *= 1 - meanWeight
	w.readDelay += (float64(e.Waited) - w.readDelay) * 2 * meanWeight
	w.largestKB = max(w.largestKB, r.sizeKB)
	if !e.Retry {
		w.decay.refresh(&w.tenants[r.tenant].usage).arrived++
	}
	if e.DuplicateOf == 0 {
		w.recordRequested(r.class, c.Worth)
		w.recordTenantRequested(r.tenant, c.Worth*w.inShare(r.tenant))
	}
	w.byID[r.id] = len(w.reqs)
	w.reqs = append(w.reqs, r)
	w.arrived = append(w.arrived, r.id)
	return acts
}

// estimateAge returns how long the caller has waited before this try, derived from the time that it has left,
// unless that is a common timeout: many arrivals have the same time left then. It prevents answers after the
// target time, which earn nothing; it is wrong where callers with many timeouts send at similar rates.
func (w *Worker) estimateAge(e *Event, left int64, c *Class) int64 {
	if e.Deadline > 0 {
		i := int(max(0, min(float64(left)/float64(c.Timeout), 1)) * (timeoutBins - 1))
		w.timeoutCounts[i]++
		if w.timeoutSamples++; w.timeoutSamples > maxTimeoutSamples {
			w.timeoutSamples /= 2
			for j := range w.timeoutCounts {
				w.timeoutCounts[j] /= 2
			}
		}
		for j := i; j < timeoutBins; j++ {
			if w.timeoutCounts[j] >= commonTimeoutShare*w.timeoutSamples {
				return c.Timeout * int64(j-i) / (timeoutBins - 1)
			}
		}
	}
	return 0
}
