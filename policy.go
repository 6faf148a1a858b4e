// The decisions of kiteslip. The types that go in and out are in kiteslip.go.
//
// Read from top to bottom: settings and constants, state, Step, admission draw,
// running limit, hold order, calls, keys, drain and due times, health and advice.

package kiteslip

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
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
	stopMargin   = 650_000 // all is answered this long before the stop: a standstill holds answers back
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
)

type phase uint8

const (
	held    phase = iota // waits for us; twins of a held request too
	running              // on the cores
	atCall               // stands at a call, waits for us
	calling              // waits for the call
	paused               // stopped with its work kept
	copying              // waits on the result of another
	over                 // nothing of it is left
)

type request struct {
	id, head            RequestID // head: the kept request that it repeats, if that is still held
	class, tenant       int
	phase               phase
	kept, ran, answered bool
	asked, ready        bool // it was to be prepared; it is
	late                bool // will miss its aim, may still earn late worth
	size, density       float64
	reached, due, aim   int64
	hope                int64   // it is worth beginning if it ends by this
	began, wall         int64   // when it last got a core, time on the cores before that
	work, mark          float64 // its part of a core so far, and the share clock at began
	callAt, waits       int64   // when it came to its call or made it, time spent at calls
	tries, calls        int     // calls of this stand that failed, calls that were made
}

// entry is one record of the table of keys.
type entry struct {
	id    RequestID
	until int64
}

// span is the time that one call is in hand below: until it ends, or could at the latest.
type span struct {
	id          RequestID
	from, until int64
}

// group is what is known of a class or tenant: rates with a fading memory.
type group struct{ asked, served, arrived float64 }

// Worker decides for one server process.
type Worker struct {
	set            Settings
	rng            *rand.Rand
	now, last      int64   // this batch and the previous one
	share          float64 // the share clock, see advance
	reqs           []request
	at             map[RequestID]int
	fresh          []RequestID // arrivals of this batch
	order, waiting []int       // the hold and the calls to make, best first
	table          []entry

	onCore, inHand, atCalls, out int // running, all begun, standing at calls, calls made
	memory, largest              float64

	limit, spanDone, spanLate     int
	base, baseN, wait             []float64 // per class: mean work of a run, runs, time at calls of one
	progress                      int64     // the last sign of work getting on
	classes, tenants              []group
	gauges                        Gauges
	arrivals, failing             float64 // arrivals and the share of failed runs, with a fading memory
	refused                       float64 // the share of refused arrivals, of late
	begun, healthy, overdue       bool
	closing, storm                bool // connections are closed early; most is refused, and late to be read
	shared, callsFull             bool // all workers share what lies below; calls wait for room there
	heavy                         int  // runs of many times the usual work
	must, wanting                 int  // how many wait for a call that can't be left out, at it or held
	callLimit, callBase, callMean float64
	budget                        float64 // call time of the told span that may be booked
	calls                         []span  // calls of the told span and those in hand
	probeAt, spanEnd, callSpan    int64
	callNext                      int64 // no call before this
	born, drainAt, stop           int64
	replaced                      bool    // another worker has this one's place: stop is no notice to leave
	besideRuns                    int     // what another worker has on this machine
	besideKB                      float64 // ... and has booked
	timerAt, adviseAt, tail       int64   // tail: the wait of the last in the hold
	timerToken                    uint64
	floor, said, unread           float64               // unread: mean time to be read, of late
	meanBase, meanAim, leastAim   float64               // over the classes as they are asked for
	pressure, told                float64               // the wait over its part of an aim; all of patience
	patience                      [patienceBins]float64 // arrivals by the part of their limit left
	ceil                          *Ceilings             // of the pools; nil = there are none
	uses                          []use                 // by pool
	cheapRuns                     int                   // runs of the cheapest class
}

// New returns a worker that has just started. It returns an error that names the setting which cannot be
// used.
func New(s Settings, seed uint64) (*Worker, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	s.fill()
	n := len(s.Classes)
	w := &Worker{
		shared: s.Below == BelowShared && s.CallShare > 0 && s.CallsOver > 0,
		set:    s, rng: rand.New(rand.NewPCG(seed, 0)), at: map[RequestID]int{}, limit: s.Cores,
		base: make([]float64, n), baseN: make([]float64, n), wait: make([]float64, n),
		classes: make([]group, n), tenants: make([]group, max(len(s.Tenants), 1)),
		healthy: true, born: -1, said: -1,
	}
	for i, c := range s.Classes {
		w.base[i] = float64(c.Aim) / firstGuess
	}
	w.budget = shareSafe * s.CallShare * float64(s.CallsOver)
	w.moveCalls(float64(s.Cores))
	return w, nil
}

// Step takes in one batch of events at time now and appends what is to be done.
func (w *Worker) Step(now int64, events []Event, acts []Action) []Action {
	if !w.begun {
		w.begun, w.last, w.progress = true, now, now
		if w.born < 0 {
			w.born = now
		}
		acts = append(acts, Action{Kind: Health, On: true, Stored: true})
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
	w.calls = slices.DeleteFunc(w.calls, func(c span) bool { return c.until <= now-w.set.CallsOver })
	fade := math.Exp(-float64(dt) / rateOver)
	w.arrivals *= fade
	for _, groups := range [][]group{w.classes, w.tenants} {
		for i := range groups {
			g := &groups[i]
			g.asked, g.served, g.arrived = g.asked*fade, g.served*fade, g.arrived*fade
		}
	}
	w.table = slices.DeleteFunc(w.table, func(e entry) bool { return e.until < now })
}

// take notes one event; decisions wait until all of the batch are in.
func (w *Worker) take(e *Event, acts []Action) []Action {
	switch e.Kind {
	case Arrive:
		return w.arrive(e, acts)
	case Drain:
		w.drainAt, w.stop, w.replaced = w.now, e.Deadline, false
	case Handover:
		w.stop, w.replaced = e.Deadline, true
	case Beside:
		w.besideRuns, w.besideKB = max(0, e.Runs), max(0, e.SizeKB)
	case Timer:
		if e.Token == w.timerToken {
			w.timerAt = 0
		}
		if e.Gauges.Set {
			w.gauges = e.Gauges
		}
	}
	switch r := w.find(e.ID); {
	case r == nil:
	case e.Kind == Done:
		w.done(r, e)
	case e.Kind == Needs:
		w.offCore(r)
		w.progress = w.now
		r.phase, r.callAt, r.tries = atCall, w.now, 0
	case e.Kind == Called:
		w.called(r, e)
	case e.Kind == Ready:
		r.ready = true
	case e.Kind == Gone:
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
	r := request{id: e.ID, head: e.Prior, class: e.Class, reached: w.now - e.Waited, size: e.SizeKB,
		tenant: max(0, min(e.Tenant, len(w.tenants)-1))}
	if !(r.size > 0) {
		r.size = w.largest
	}
	r.due, r.aim = cmp.Or(max(e.Deadline, 0), r.reached+c.Limit), r.reached+c.Aim
	r.aim -= w.age(e, r.due-r.reached, c)
	if r.hope = r.aim; e.Again { // its client has waited, but nothing says how long
		r.hope -= int64((1 - againAim) * float64(c.Aim))
	}
	w.arrivals++
	w.refused *= 1 - learn
	w.unread += (float64(e.Waited) - w.unread) * 2 * learn
	w.largest = max(w.largest, r.size)
	if !e.Again {
		w.tenants[r.tenant].arrived++
	}
	if e.Prior == 0 {
		w.classes[r.class].asked += c.Worth
		w.tenants[r.tenant].asked += c.Worth * w.inShare(r.tenant)
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
		i := int(max(0, min(float64(left)/float64(c.Limit), 1)) * (patienceBins - 1))
		w.patience[i]++
		if w.told++; w.told > toldMost {
			w.told /= 2
			for j := range w.patience {
				w.patience[j] /= 2
			}
		}
		for j := i; j < patienceBins; j++ {
			if w.patience[j] >= usualShare*w.told {
				return c.Limit * int64(j-i) / (patienceBins - 1)
			}
		}
	}
	return 0
}

// top is the upper end of the band. On a small machine sixteen sizes would be most of its memory: room for
// what can be read before the next batch is enough, and one giant must not shut out all.
func (w *Worker) top() float64 {
	return max(w.set.MemoryKB-min(headroom, readRoom*float64(w.set.Cores))*w.largest, topFloor*w.set.MemoryKB)
}

// refuseChance is the design's draw: the probability of refusing an arrival at x kilobytes.
func refuseChance(x, top float64) float64 {
	start := bandStart * top
	switch {
	case x >= top:
		return 1
	case x < start:
		return 0
	}
	mid := (start + top) / 2
	k := -math.Log(1/bandEdge-1) / (top - mid)
	return 1 / (1 + math.Exp(-k*(x-mid)))
}

// admit passes the arrivals of the batch through the guards and the draw.
func (w *Worker) admit(acts []Action) []Action {
	for _, id := range w.fresh {
		r := w.find(id)
		if r == nil || r.phase != held {
			continue
		}
		c := &w.set.Classes[r.class]
		if r.head != 0 {
			if acts = w.repeat(r, acts); r.phase == copying || r.head != 0 {
				continue
			}
		}
		p := refuseChance(w.memory, w.top()) // the memory in use holds this arrival already
		if u, ceil := w.pool(r.class); ceil != nil {
			if u.held > ceil.Waiting || u.kb > ceil.MostKB {
				acts = w.refuse(r, ceil.After, false, acts)
				continue
			}
			if u.kb <= ceil.OwnKB && p < 1 { // guards a pool's own memory against a flood that fills the rest
				p = 0
			}
		}
		draw := p >= 1 || p > 0 && w.rng.Float64() < p
		noRoom := c.Effect == Keyed && w.memory+w.set.KeyKB > w.top()
		leaving := w.stop != 0 && (!w.replaced && r.reached > w.drainAt+w.set.DrainGrace ||
			w.now >= w.stop-stopMargin-leaveMargin)
		// Guards against failing fast: what is refused can be served elsewhere.
		failing := w.failing > failTell && w.now < w.probeAt && w.rng.Float64() < w.failing
		if draw || noRoom || failing || leaving {
			acts = w.refuse(r, w.set.MaxRetryAfter, false, acts)
			continue
		}
		if w.failing > failTell {
			w.probeAt = w.now + failProbe
		}
		if c.Effect == Keyed {
			acts = w.keep(r, r.reached+c.Window+keyMargin, acts) // for its window, counted from its arrival
		} else if w.set.ReuseFor > 0 && c.Effect == Repeatable && p == 0 {
			acts = w.keep(r, max(r.aim, w.now+w.set.ReuseFor), acts)
		}
	}
	return acts
}

// Running limit.

// done takes in the end of a run or reuse, and moves the limit.
func (w *Worker) done(r *request, e *Event) {
	if e.Outcome == Moot {
		r.phase = over
		return
	}
	wasCopy := r.phase == copying
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
	if stopped := e.Outcome == Cancelled && r.work > w.base[r.class]; stopped && !wasCopy {
		w.learn(r) // it would have taken longer still: without these, only what is short is learned
	}
	if e.Outcome != OK {
		return
	}
	c := &w.set.Classes[r.class]
	if !r.answered && w.now <= r.aim {
		w.classes[r.class].served += c.Worth
		w.tenants[r.tenant].served += c.Worth
	}
	if wasCopy {
		return
	}
	late := float64(r.wall) > lateMultiple*w.base[r.class]
	w.learn(r)
	w.spanDone++
	if late {
		w.spanLate++
	} else if full && w.now <= r.due && !(w.gauges.Set && w.gauges.Runnable >= float32(w.set.Cores)) {
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
	w.baseN[r.class]++
	weight := max(learn, 1/(w.baseN[r.class]+firstWeight))
	w.base[r.class] += (min(r.work, heavyRun*w.base[r.class]) - w.base[r.class]) * weight
	w.wait[r.class] += (float64(r.waits) - w.wait[r.class]) * weight
}

// mix takes the means over the classes, weighed by what is asked for.
func (w *Worker) mix() {
	n := 0.0
	w.meanBase, w.meanAim, w.leastAim = 0, 0, math.Inf(1)
	for i, c := range w.set.Classes {
		k := w.classes[i].asked/max(c.Worth, 1e-9) + 1e-6
		w.meanBase += k * w.base[i]
		w.meanAim += k * float64(c.Aim)
		n += k
		if k > 1e-3 || i == 0 {
			w.leastAim = min(w.leastAim, float64(c.Aim))
		}
	}
	w.meanBase, w.meanAim, w.leastAim = max(w.meanBase/n, 1), max(w.meanAim/n, 1), max(w.leastAim, 1)
}

// crowd is how many begun requests are safe, with the slowest warming that the settings allow.
func (w *Worker) crowd() float64 {
	if w.set.CrowdMultiple <= 0 {
		return math.MaxInt32
	}
	speed := 1.0
	if w.set.JustStarted && w.set.WarmWithin > 0 {
		speed = min(1, w.set.ColdFrom+(1-w.set.ColdFrom)*float64(w.now-w.born)/float64(w.set.WarmWithin))
	}
	return max(1, crowdRoom*float64(w.set.Cores)*(1+(w.set.CrowdMultiple-1)*speed))
}

// start begins held requests, best first, while the limit and the guards allow.
func (w *Worker) start(acts []Action) []Action {
	crowd, limit := w.crowd(), w.limit
	// Guards against a backlog that callers leave before it is read: they hear neither refusal nor advice then,
	// and send more. Half of the cores are left to reading until it is caught up.
	if w.unread > backlogAim*w.leastAim {
		limit = max(1, w.set.Cores/2)
	}
	// Guards against a few heavy runs that hold all places while others could be done beside them: these run
	// beyond the limit, and show that the cores get on. It harms where heavy runs crowd the cores already.
	limit += min(w.heavy, w.set.Cores)
	// What must be prepared before it begins is, while others run: no place waits for it. Not many at once:
	// what is prepared and then refused was prepared in vain.
	ahead := 0
	for _, i := range w.order {
		r := &w.reqs[i]
		if !w.set.Classes[r.class].Prepare || r.head != 0 || !r.asked && ahead >= w.set.Cores {
			continue
		}
		if ahead++; !r.asked {
			r.asked = true
			acts = append(acts, Action{Kind: Prepare, ID: r.id})
		}
	}
	if w.ceil != nil {
		limit = min(limit, max(1, w.ceil.Places))
	}
	for own := w.ceil != nil; ; own = false { // first what pools have of their own
		owed := 0
		if own {
			owed = w.owed(limit)
		}
		for _, i := range w.order {
			r := &w.reqs[i]
			if float64(w.onCore+w.out+1) > crowd || own && owed <= 0 || !own && w.onCore >= limit {
				break
			}
			if r.phase != held && r.phase != paused || r.head != 0 || r.answered || !w.fits(r, own, limit) ||
				w.set.Classes[r.class].Prepare && !r.ready {
				continue
			}
			if r.phase == held {
				// What runs and then waits for its call too long is lost, and a keyed one for good: it is held.
				if c := &w.set.Classes[r.class]; w.shared && c.Calls && c.SkipWorth == 0 &&
					(float64(w.must) >= w.callLimit || w.callNext > w.now+int64(w.base[r.class]*restShare)) {
					continue
				}
				more := r.size * (w.set.RunFactor - 1)
				if w.memory+more > w.top() && w.inHand > 0 || w.memory+more > w.set.MemoryKB {
					continue
				}
				w.memory += more
				w.inHand++
			}
			owed--
			r.ran = true
			w.onto(r)
			w.onCore++
			if u, _ := w.pool(r.class); u != nil {
				u.running, u.held = u.running+1, u.held-1
				if r.class == w.ceil.Cheap {
					w.cheapRuns++
				}
			}
			acts = append(acts, Action{Kind: Run, ID: r.id})
			acts = w.copies(r, acts)
		}
		if !own {
			return acts
		}
	}
}

// fits says whether the pool of r has a place for it: one of its own, beyond the limit too where it has some
// to spare, or any below its most.
func (w *Worker) fits(r *request, own bool, limit int) bool {
	u, c := w.pool(r.class)
	switch {
	case c == nil:
		return true
	case !own:
		return u.running < c.Most
	}
	spare := 0
	if r.class == w.ceil.Cheap {
		spare = w.ceil.CheapSpare
	}
	return w.onCore < limit+spare && u.running < c.Own || u.running < c.Spare || w.cheapRuns < spare
}

// Hold order.

// gain is what serving r on time adds to the goal for its core time: its worth, less where its tenant is
// beyond its share, more where its class or tenant is the one served worst.
func (w *Worker) gain(r *request) float64 {
	g, in := w.set.Goal, w.inShare(r.tenant)
	worth := w.set.Classes[r.class].Worth * (in + (1-in)*w.set.OverShareWorth)
	if !w.set.WorthByWork {
		worth /= max(w.base[r.class], 1) // else what a longer one costs more, it also earns more
	}
	return worth * (g.Whole + g.WorstClass*lag(w.classes, r.class) + g.WorstTenant*lag(w.tenants, r.tenant))
}

// inShare is the part of a tenant's arrivals here that lies within its share. A tenant lags by what it is
// served of that part: counted by all it asks, a flood would pass for the worst served.
func (w *Worker) inShare(tenant int) float64 {
	if w.set.Stage > 0 || tenant >= len(w.set.Tenants) {
		return 1
	}
	rate := w.tenants[tenant].arrived / (rateOver / 1e6)
	return min(1, w.set.Tenants[tenant].Quota/float64(w.set.Workers)/max(rate, 1e-9))
}

// lag is the weight of one group's share in the goal, by how far it falls behind all.
func lag(groups []group, i int) float64 {
	asked, served := 1e-9, 0.0
	for _, g := range groups {
		asked += g.asked
		served += g.served
	}
	g := groups[i]
	if g.asked < 1 {
		return 1
	}
	behind := (served/asked - g.served/g.asked) / lagFull
	return max(0, min(1, behind)) * asked / g.asked
}

// better orders two requests: the denser first, then the earlier aim; while the wait is too long the newest:
// in turn all would be just in time here, too late for those with earlier tries. A pool that can start all it
// holds in places of its own has no such wait.
func (w *Worker) better(a, b int) int {
	x, y := &w.reqs[a], &w.reqs[b]
	if dense := cmp.Compare(y.density, x.density); dense != 0 || w.pressure <= 1 ||
		w.ceil != nil && w.uses[w.ceil.Of[x.class]].light {
		return cmp.Or(dense, cmp.Compare(x.aim, y.aim), cmp.Compare(x.id, y.id))
	}
	return cmp.Or(cmp.Compare(y.aim, x.aim), cmp.Compare(x.id, y.id))
}

// shed orders the hold, refuses what cannot be answered in time, and keeps the memory under its top.
func (w *Worker) shed(acts []Action) []Action {
	w.order = w.order[:0]
	ahead := 0.0
	w.must, w.wanting, w.heavy = 0, 0, 0
	for i := range w.reqs {
		r := &w.reqs[i]
		switch r.phase {
		case held, paused:
			if r.head != 0 || r.answered {
				continue
			}
			if c := &w.set.Classes[r.class]; c.Calls && c.SkipWorth == 0 {
				w.wanting++
			}
			r.density = w.gain(r)
			if r.late {
				r.density *= w.set.Classes[r.class].LateWorth
			}
			w.order = append(w.order, i)
		case running, atCall, calling:
			b := w.base[r.class]
			if r.phase == atCall && !r.answered && w.set.Classes[r.class].SkipWorth == 0 {
				w.must++
			}
			done := r.work
			if r.phase == running {
				done += w.share - r.mark
			}
			if done > heavyRun*b {
				w.heavy++
			}
			ahead += max(b-done, b*restShare)
			if u, _ := w.pool(r.class); u != nil {
				u.ahead += max(b-done, b*restShare)
			}
		}
	}
	slices.SortFunc(w.order, w.better)
	cores := float64(w.set.Cores)
	tail := 0.0
	kept := w.order[:0]
	for _, i := range w.order {
		r := &w.reqs[i]
		b := w.base[r.class]
		begin, hope := 0.0, r.aim
		if w.onCore >= w.limit || len(kept) > 0 {
			hope = r.hope
			begin = max(0, ahead/cores-w.meanBase/2)
		}
		u, ceil := w.pool(r.class)
		if ceil != nil && ceil.Cores > 0 { // what is a pool's own does not wait behind others
			begin = min(begin, u.ahead/ceil.Cores)
		}
		c := &w.set.Classes[r.class]
		finish := w.now + int64(begin+b*runAllowance+w.wait[r.class])
		aim := min(hope, w.end(r))
		if finish > aim && r.phase == held {
			if c.LateWorth > 0 && finish <= w.end(r) && w.now < r.aim {
				r.late = true
			} else if w.baseN[r.class] > 0 && w.inHand > 0 {
				// Guards against tries that walk on: each is read again, at a cost, until readings alone fill the fleet.
				// What had its chance here stays refused; it hurts where others idle.
				acts = w.refuse(r, w.away(finish-aim, c), true, acts)
				continue
			}
		}
		tail = max(tail, begin)
		ahead += b
		if u != nil {
			u.ahead += b
		}
		kept = append(kept, i)
	}
	w.pressure = max((tail+w.unread)/(holdAim*w.meanAim), w.unread/(unreadAim*w.leastAim))
	w.order, w.tail = kept, int64(tail)
	// Memory: over the top the least valuable held requests go first.
	for n := len(w.order) - 1; n >= 0 && w.memory > w.top(); n-- {
		r := &w.reqs[w.order[n]]
		if r.phase == held {
			acts = w.refuse(r, w.set.MaxRetryAfter, false, acts)
		}
	}
	return acts
}

// Calls.

// called takes in the end of a call and moves the limit of calls.
func (w *Worker) called(r *request, e *Event) {
	if r.phase != calling {
		return
	}
	took := w.now - r.callAt
	r.waits += took
	w.progress = w.now
	w.callEnds(r, e.Outcome)
	if w.callLimit < 1 && w.callMean > callSlow*w.callBase {
		// Less than one call at a time is one now and then, by chance: workers that pause together return together.
		pause := min(float64(took)*(1/w.callLimit-1), float64(w.set.CallsOver))
		w.callNext = max(w.now, w.callNext) + int64(pause*(0.5+w.rng.Float64()))
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
		unrun := e.Outcome == Full || e.Outcome == Unreachable || e.Outcome == Moot
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

// callRoom is how long a call made now may take. A shared dependency dies of all workers' calls on the mean
// of the told span. Each call is booked with all that it may take and linger; while what is booked in the
// last span and ahead stays under a worker's share, no span holds more, whatever the dependency does.
func (w *Worker) callRoom(r *request) int64 {
	if float64(w.out) >= max(1, w.callLimit) || w.now < w.callNext && r.calls == 0 {
		w.callsFull = true
		return 0
	}
	if !w.shared {
		return math.MaxInt64
	}
	booked := int64(0)
	for _, c := range w.calls {
		booked += c.until - max(c.from, w.now-w.set.CallsOver)
	}
	return int64(w.budget) - booked - w.set.Lingers
}

// callBelow makes, leaves out or gives up the calls that requests stand at.
func (w *Worker) callBelow(acts []Action) []Action {
	w.callsFull, w.waiting = false, w.waiting[:0]
	for i := range w.reqs {
		if r := &w.reqs[i]; r.phase == atCall && !r.answered {
			// What the call itself earns; what has most of its calls behind it goes first.
			r.density = w.gain(r) * w.base[r.class] * (1 - w.set.Classes[r.class].SkipWorth) * float64(1+r.calls)
			w.waiting = append(w.waiting, i)
		}
	}
	slices.SortFunc(w.waiting, w.better)
	crowd, slow := w.crowd(), w.shared && w.callMean > callSlow*w.callBase
	for n, i := range w.waiting {
		if float64(w.onCore+w.out+1) > crowd {
			break // what comes back from calls is on the cores at once
		}
		r := &w.reqs[i]
		c := &w.set.Classes[r.class]
		left := w.earnUntil(r) - w.now
		rest := max(w.base[r.class]-r.work, w.base[r.class]*restShare)
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
		need := min(float64(w.set.CallsOver)*callShort, w.budget/2, float64(left))
		if patience > room || float64(patience) < need {
			continue
		}
		acts = append(acts, Action{Kind: Call, ID: r.id, After: patience})
		r.waits += w.now - r.callAt
		r.phase, r.callAt = calling, w.now
		w.calls = append(w.calls, span{r.id, w.now, w.now + patience + w.set.Lingers})
		w.out++
	}
	return acts
}

// Keys.

// keep records r until then.
func (w *Worker) keep(r *request, until int64, acts []Action) []Action {
	until = max(until, w.now+1)
	r.kept = true
	w.table = append(w.table, entry{r.id, until})
	w.memory += w.set.KeyKB
	return append(acts, Action{Kind: Keep, ID: r.id, After: until - w.now})
}

// repeat deals with an arrival that repeats a kept request: it waits while that is held, and is served from
// its result once it has begun.
func (w *Worker) repeat(r *request, acts []Action) []Action {
	head := w.find(r.head)
	for n := 0; head != nil && head.phase == held && head.head != 0 && n < 64; n++ {
		head = w.find(head.head)
	}
	keyed := w.set.Classes[r.class].Effect == Keyed
	switch {
	case head == r:
		r.head = 0
	case head != nil && head.phase == held && !head.ran:
		if r.head = 0; keyed {
			r.head = head.id
		}
	case head != nil && head.phase == over && (!keyed || !head.ran):
		r.head = 0
	case w.memory+float64(w.set.Cores)*w.largest > w.set.MemoryKB:
		// Guards against repeats that pile up behind one run: these can neither be refused nor shed.
		acts = w.fail(r, acts)
	default:
		r.head, r.ran, r.phase = 0, true, copying
		acts = append(acts, Action{Kind: Reuse, ID: r.id})
	}
	return acts
}

// copies serves the held repeats of a request that has just begun.
func (w *Worker) copies(r *request, acts []Action) []Action {
	if !r.kept {
		return acts
	}
	for i := range w.reqs {
		if t := &w.reqs[i]; t.head == r.id && t.phase == held {
			t.head, t.ran, t.phase = 0, true, copying
			acts = append(acts, Action{Kind: Reuse, ID: t.id})
		}
	}
	return acts
}

// leave ends a request that is not running. If it never ran, its oldest repeat takes its place.
func (w *Worker) leave(r *request, acts []Action) []Action {
	was := r.phase
	r.phase = over
	w.memory -= r.size
	if u, _ := w.pool(r.class); u != nil && was == held {
		u.held, u.kb = u.held-1, u.kb-r.size
	}
	if was != held || r.ran || !r.kept {
		return acts
	}
	r.kept = false
	w.table = slices.DeleteFunc(w.table, func(e entry) bool { return e.id == r.id })
	acts = append(acts, Action{Kind: Forget, ID: r.id})
	next := RequestID(0)
	for i := range w.reqs {
		t := &w.reqs[i]
		if t.head != r.id || t.phase != held {
			continue
		}
		if t.head = next; next == 0 {
			next = t.id
			acts = w.keep(t, t.reached+w.set.Classes[t.class].Window+keyMargin, acts)
		}
	}
	return acts
}

// Due times and drain.

// end is the last moment for an answer: two ticks and a timer before it is due.
func (w *Worker) end(r *request) int64 {
	end := r.due - 2*w.set.Tick - busyTimer
	if w.stop != 0 {
		end = min(end, w.stop-stopMargin)
	}
	return end
}

// earnUntil is the last moment at which an answer earns anything.
func (w *Worker) earnUntil(r *request) int64 {
	if w.set.Classes[r.class].LateWorth > 0 {
		return w.end(r)
	}
	return min(w.end(r), r.aim)
}

// away is how long a caller should stay away that came so much too late to be served in time. Guards
// against a line that never gets shorter: advice of just that much brings all back at once, when others
// have come too, and what callers spread evenly stays with the slow. It harms where one caller sends most.
func (w *Worker) away(over int64, c *Class) int64 {
	return int64(awayTimes*float64(over) + awayAim*float64(c.Aim))
}

// refuse answers a request that never ran, or that may run again.
func (w *Worker) refuse(r *request, after int64, last bool, acts []Action) []Action {
	w.refused += learn
	acts = append(acts, Action{Kind: Refuse, ID: r.id, After: min(max(0, after), w.set.MaxRetryAfter), On: last})
	return w.drop(r, acts)
}

// fail answers a request that may have run. Guards against storms of tries that outlive their cause: callers
// answer an error with another try, too late to earn; a refusal that asks for none ends it. It harms where a
// caller would have had the time.
func (w *Worker) fail(r *request, acts []Action) []Action {
	if w.set.Classes[r.class].Effect == Repeatable {
		return w.refuse(r, 0, w.stop == 0, acts) // others may take what a drain cut short
	}
	return w.drop(r, append(acts, Action{Kind: Fail, ID: r.id}))
}

// drop ends what is answered or left by its caller. Work on the cores is stopped where that is allowed,
// unless a repeat may yet want its result.
func (w *Worker) drop(r *request, acts []Action) []Action {
	r.answered = true
	if r.phase == held || r.phase == copying || r.phase == paused {
		return w.leave(r, acts)
	}
	if r.phase != running || w.set.Stop == StopNever || w.set.Classes[r.class].Effect != Repeatable {
		return acts
	}
	return append(acts, Action{Kind: Halt, ID: r.id})
}

// settle answers all that is due, and gives up what can earn nothing more.
func (w *Worker) settle(acts []Action) []Action {
	for i := range w.reqs {
		r := &w.reqs[i]
		if r.answered || r.phase == over {
			continue
		}
		safe, past := w.set.Classes[r.class].Effect == Repeatable, w.now >= w.earnUntil(r)
		switch {
		case r.phase == held && past && (safe || !r.ran):
			acts = w.refuse(r, w.away(w.tail, &w.set.Classes[r.class]), true, acts)
		case r.phase == held && r.ran && !safe, // a stop lost its work: neither run again nor refused
			w.now >= w.end(r),
			past && (safe || r.phase == atCall) && (r.phase != running || w.set.Stop != StopNever):
			acts = w.fail(r, acts)
		}
	}
	return acts
}

// Health and advice.

// advise tells callers how much to send, from this worker's own load.
func (w *Worker) advise(acts []Action) []Action {
	healthy := (w.stop == 0 || w.replaced) && w.failing < failOff && !w.stalled()
	if healthy != w.healthy {
		w.healthy = healthy
		acts = append(acts, Action{Kind: Health, On: healthy, Stored: true})
		acts = append(acts, Action{Kind: Log, Text: fmt.Sprintf("health %v: failing %.2f, last progress %d ms ago",
			healthy, w.failing, (w.now-w.progress)/1000)})
	}
	if w.now < w.adviseAt {
		return acts
	}
	w.adviseAt = w.now + idleTimer
	acts = w.connections(acts)
	if w.set.Free == FreeNone {
		return acts
	}
	v := 0.0
	switch {
	case w.set.Free == FreeFloor:
		move := w.pressure - 1
		if !healthy {
			move = 1
		}
		// Up to the least valuable class (equal portions of rank): taking more, it swings from nothing to all.
		w.floor = max(0, min(1/float64(len(w.set.Classes)), w.floor+floorStep*max(-1, min(2, move))))
		v = w.floor
	case healthy && w.set.Free == FreeAllowance:
		v = allowAim * w.meanAim * float64(w.set.Cores) / w.meanBase / float64(w.set.Callers)
		v *= (1 - w.failing) / max(1, w.pressure)
	case healthy:
		v = 1 / max(1, w.pressure)
	}
	if math.Abs(v-w.said) > 0.01 {
		w.said = v
		acts = append(acts, Action{Kind: Say, Value: v})
	}
	return acts
}

// connections guards against a table full of connections that nobody uses: where a caller comes back, on the
// mean, only after its connection has closed by itself, it is closed at once. It harms where few of many
// callers send nearly all. Not in a storm, where most is refused and read late: a full table turns tries away
// unread then. That harms if the storm is short: the table takes part of the cores.
func (w *Worker) connections(acts []Action) []Action {
	w.storm = (w.storm || w.unread > backlogAim*w.leastAim) && w.refused > refusedMost
	closing := float64(w.set.Callers)*rateOver > w.arrivals*float64(w.set.IdleAfter) && !w.storm
	if closing == w.closing || w.set.IdleAfter <= 0 {
		return acts
	}
	after := w.set.IdleAfter
	if w.closing = closing; closing {
		after = min(after, shortIdle)
	}
	return append(acts, Action{Kind: Idle, After: after})
}

// stalled says that none of what is on the cores gets on; one long run on a small machine is no stall.
func (w *Worker) stalled() bool {
	return float64(w.now-w.progress)*float64(min(w.onCore-w.besideRuns, w.set.Cores)) > stallRuns*w.meanBase
}

// arm keeps a timer going.
func (w *Worker) arm(acts []Action) []Action {
	span := int64(idleTimer)
	if len(w.reqs) > 0 {
		span = busyTimer
	}
	if w.timerAt != 0 && w.timerAt <= w.now+span {
		return acts
	}
	w.timerToken++
	w.timerAt = w.now + span
	return append(acts, Action{Kind: SetTimer, After: span, Token: w.timerToken})
}
