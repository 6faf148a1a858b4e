// The decisions of kiteslip. The types that go in and out are in kiteslip.go.
//
// This file has the figures, the step and its batch. The others, by what they decide: policy_admit (draw),
// _limit, _start, _order (of the hold), _calls, _keys, _answers (due times, drain), _advise (health, advice).

package kiteslip

import (
	"cmp"
	"slices"
)

// The figures of the design page.
const (
	bandStart    = 0.93 // the band's lower end over its top, the post's ratio
	headroom     = 16.0 // the top lies this many of the largest held sizes below the memory
	readRoom     = 2.0  // ... but no more than this many a core: what all cores may read at once, twice
	topFloor     = 0.5  // ... and never below this part of the memory
	bandEdge     = 0.99 // f at the band's ends is 1-bandEdge and bandEdge, as in the post
	lateShare    = 0.1  // the limit is cut when more than this share of a span's finishes is late
	lateMultiple = 3.0  // a finish is late beyond this many bases; more lets cores thrash unseen
	limitCut     = 0.7  // the cut: back near the cores in one or two spans
)

// Values of our own, for what the design page leaves open.
const (
	busyTimer    = 10_000  // while requests are in hand due times are looked at this often
	idleTimer    = 100_000 // otherwise this often; advice is renewed at this pace too
	firstGuess   = 8.0     // before a class has finished, its base is taken as its aim over this
	learn        = 0.05    // weight of one finish in a learned mean: about twenty finishes count
	firstWeight  = 3.0     // the first guess counts as this many finishes: one short run is no base
	heavyRun     = 6.0     // a run beyond this many bases is a heavy one
	againAim     = 0.7     // a marked further try has this part of its aim left
	patienceBins = 64      // the told time left is counted in this many parts of a limit
	usualShare   = 0.08    // a part with this share of the arrivals is a usual patience of callers
	toldMost     = 400     // after this many, half of what was seen is forgotten
	restShare    = 0.25    // of its class's mean is still expected of a run that took longer
	runAllowance = 1.3     // a run is counted on to take this many of its class's mean
	crowdRoom    = 0.8     // runs in hand stay under this share of the crowd that kills
	stopMargin   = 650_000 // all is answered this long before the stop (half of the time to it at most)
	leaveMargin  = 300_000 // ... and nothing is taken for this long before that: a run cut short has failed
	keyMargin    = 100_000 // an entry outlives its window by this
	rateOver     = 4e6     // arrivals are counted with this memory, long against a burst's noise
	lagFull      = 0.1     // a class or tenant served this much worse than all gets its full goal weight
	stallRuns    = 20.0    // this many mean runs of core time without progress are a stall
	failTell     = 0.25    // a share of failed runs above this is no chance
	failOff      = 0.9     // when nearly all fail; half may fail on all servers alike, by what they share
	failProbe    = 300_000 // a failing worker still tries one request this often
	callSlow     = 4.0     // calls are slow when their mean exceeds this many of its own low
	callDrift    = 0.001   // the low rises by this part of the gap a call, a crowd must not make it the norm
	shareMost    = 0.4     // the limit of calls stays under this part of the told share: it slows first
	shareLeast   = 0.2     // ... and over this part, however slow calls are: it is slowed by others too
	shareSafe    = 0.75    // a worker alone never has more than this part of its share in hand, see callRoom
	sharePart    = 0.6     // less than one call at a time is one for this part of the share of the time
	callShort    = 0.1     // no call is made with less time than this part of the told span
	callPatience = 5.0     // a repeatable call is abandoned after this many of its mean
	callGrow     = 0.1     // the limit of calls grows by this and its square, by one at most
	callTries    = 2       // a call that failed is repeated this often
	holdAim      = 0.5     // the wait here is too long beyond this share of a mean aim
	allowAim     = 0.35    // callers are asked to keep no more here than is served in this share of a mean aim
	unreadAim    = 0.2     // ... and the wait to be read beyond this share of the shortest aim
	backlogAim   = 0.5     // reading comes before runs when it is behind by this share of the shortest aim
	shortIdle    = 300_000 // connections that will not be used again are closed after this
	awayTimes    = 4.0     // advice to stay away is this many times what came too much
	awayAim      = 0.15    // ... and this part of an aim
	refusedMost  = 0.4     // a storm lasts while more of the arrivals than this are refused
	floorStep    = 0.01    // the floor moves by this each idleTimer
	trifle       = 1e-6    // what a class that nobody asks for weighs in the means over the classes, in requests
	lively       = 1e-3    // the shortest aim is that of classes that weigh more than this, and of the first
)

// Step takes in one batch of events at time now and appends what is to be done.
func (w *Worker) Step(now int64, events []Event, acts []Action) []Action {
	if !w.begun {
		w.begun, w.last, w.progress = true, now, now
		if w.born < 0 {
			w.born = now
		}
		acts = append(acts, Action{Kind: Health, On: true, Cached: true})
		w.now = now
		w.callFirst()
	}
	w.advance(now)
	w.fresh = w.fresh[:0]
	for i := range events {
		acts = w.take(&events[i], acts)
	}
	w.count()
	w.mix()
	acts = w.settle(acts)
	acts = w.admit(acts)
	acts = w.shed(acts)
	acts = w.callBelow(acts)
	acts = w.start(acts)
	acts = w.advise(acts)
	w.sweep()
	return w.arm(acts)
}

// advance moves the clocks: the share clock runs as fast as one run on a core does.
func (w *Worker) advance(now int64) {
	dt := now - w.last
	w.now, w.last = now, now
	w.share += float64(dt) * min(1, float64(w.set.Cores)/float64(max(w.onCore, 1)))
	w.calls = slices.DeleteFunc(w.calls, func(c span) bool { return c.until <= now-w.set.CallShareWindow })
	w.fading.next(now, dt)
	w.arrivals *= w.fading.step
	w.fadeAll()
	w.table = slices.DeleteFunc(w.table, func(e entry) bool { return e.until < now })
}

// take notes one event; decisions wait until all of the batch are in.
func (w *Worker) take(e *Event, acts []Action) []Action {
	switch e.Kind {
	case Arrive:
		return w.arrive(e, acts)
	case Drain:
		w.drainAt, w.stop, w.replaced = w.now, e.Deadline, false
		w.margin = min(stopMargin, (w.stop-w.now)/2)
	case Handover:
		w.stop, w.replaced = e.Deadline, true
		w.margin = min(stopMargin, (w.stop-w.now)/2)
	case PeerLoad:
		w.besideRuns, w.besideKB = max(0, e.Runs), max(0, e.SizeKB)
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
		w.done(r, e)
	case e.Kind == NeedsCall:
		w.offCore(r)
		w.progress = w.now
		r.phase, r.callAt, r.tries = atCall, w.now, 0
	case e.Kind == CallDone:
		w.called(r, e)
	case e.Kind == Ready:
		r.ready = true
	case e.Kind == Disconnected:
		acts = w.drop(r, acts)
	}
	return acts
}

// arrive enters a request. Nothing tells the age of a further try: its aim is counted from here.
func (w *Worker) arrive(e *Event, acts []Action) []Action {
	if w.find(e.ID) != nil {
		return acts
	}
	if e.Class < 0 || e.Class >= len(w.set.Classes) {
		return append(acts, Action{Kind: Refuse, ID: e.ID})
	}
	c := &w.set.Classes[e.Class]
	r := request{id: e.ID, head: e.DuplicateOf, class: e.Class, reached: w.now - e.Waited, size: e.SizeKB,
		tenant: max(0, min(e.Tenant, len(w.tenants)-1))}
	if !(r.size > 0) {
		r.size = w.largest
	}
	r.due, r.aim = cmp.Or(max(e.Deadline, 0), r.reached+c.Timeout), r.reached+c.TargetTime
	r.aim -= w.age(e, r.due-r.reached, c)
	if r.hope = r.aim; e.Retry { // its client has waited, but nothing says how long
		r.hope -= int64((1 - againAim) * float64(c.TargetTime))
	}
	w.arrivals++
	w.refused *= 1 - learn
	w.unread += (float64(e.Waited) - w.unread) * 2 * learn
	w.largest = max(w.largest, r.size)
	if !e.Retry {
		w.fading.touch(&w.tenants[r.tenant].group).arrived++
	}
	if e.DuplicateOf == 0 {
		w.ask(r.class, c.Worth)
		w.askTenant(r.tenant, c.Worth*w.inShare(r.tenant))
	}
	w.at[r.id] = len(w.reqs)
	w.reqs = append(w.reqs, r)
	w.fresh = append(w.fresh, r.id)
	return acts
}

// age is how long the client has waited before this try, as far as that can be told. What is left of its time
// tells it, unless that is a caller's usual patience: many arrivals have the same then. Guards against
// answers after the aim, worth nothing; it harms where callers of many different patiences send alike.
func (w *Worker) age(e *Event, left int64, c *Class) int64 {
	if e.Deadline > 0 {
		i := int(max(0, min(float64(left)/float64(c.Timeout), 1)) * (patienceBins - 1))
		w.patience[i]++
		if w.told++; w.told > toldMost {
			w.told /= 2
			for j := range w.patience {
				w.patience[j] /= 2
			}
		}
		for j := i; j < patienceBins; j++ {
			if w.patience[j] >= usualShare*w.told {
				return c.Timeout * int64(j-i) / (patienceBins - 1)
			}
		}
	}
	return 0
}
