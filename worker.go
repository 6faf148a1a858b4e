// The state of a Worker. The policy files decide on it.

package kiteslip

import (
	"math/rand/v2"
)

// phase is the state of a request.
type phase uint8

const (
	queued         phase = iota // waits to run; duplicates of a queued request too
	running                     // on the cores
	awaitingCall                // waits for permission to make a call
	inCall                      // its call is outstanding
	paused                      // stopped with its work kept
	awaitingResult              // a duplicate that waits for the original's result
	finished                    // ended, removed at the end of the batch
)

// request is one try that has arrived and has not ended.
type request struct {
	id, duplicateOf                   RequestID // duplicateOf: the queued original, retained
	class, tenant                     int
	phase                             phase
	retained, ran, answered           bool
	prepareSent, ready                bool // Prepare was sent; the preparation is complete
	late                              bool // will miss its soft deadline, may still earn late worth
	sizeKB, valueDensity              float64
	arrivedAt, deadline, softDeadline int64
	latestUseful                      int64   // its run must end by this to be worth starting
	onCoreSince, coreTime             int64   // when it last got a core; time on the cores before that
	work, virtualStart                float64 // its work so far; the virtual time at onCoreSince
	callSince, callTime               int64   // when it began to wait for or made its call; time spent at calls
	failedCalls, callsDone            int     // failed tries of the current call; completed calls
}

// keyEntry is an entry of the key table.
type keyEntry struct {
	id    RequestID
	until int64
}

// callBooking is the time during which a call may occupy the dependency: until it ends, or could end at the
// latest.
type callBooking struct {
	id          RequestID
	from, until int64
}

// sortKey is what the order of a request depends on. The keys are sorted instead of the requests: small and
// contiguous.
type sortKey struct {
	valueDensity float64
	softDeadline int64
	id           RequestID
	index        int32
	newestFirst  bool // at equal value density the newest goes first
}

// Worker decides for one server process.
type Worker struct {
	cfg         Settings
	rng         *rand.Rand
	now, prev   int64   // this batch and the previous one
	virtualTime float64 // see advance
	reqs        []request
	byID        map[RequestID]int
	arrived     []RequestID // arrivals of this batch
	queue       []int       // indexes of the queued requests, best first
	sortKeys    []sortKey   // what is sorted in this batch: the queue, then the calls to make
	keyTable    []keyEntry

	onCore, inProgress, awaitingCall, inCall int // running; all started; waiting to call; calls outstanding
	memoryKB, largestKB                      float64

	limit, windowDone, windowLate             int
	lastProgress                              int64 // the last sign of progress
	classes                                   []class
	tenants                                   []tenant
	allClasses, allTenants                    usage // totals of all, as of this batch
	decay                                     decay
	weights                                   classWeights // of the classes in the means below
	gauges                                    Gauges
	arrivals, failureRate                     float64 // arrivals and share of failed runs, decaying
	refusalRate                               float64 // recent share of refused arrivals
	started, healthy, overdue                 bool
	closeIdleEarly, retryStorm                bool // idle connections close early; most is refused, read late
	sharedDownstream, callsLimited            bool // all workers share the dependency; calls wait for the limit
	heavyRuns                                 int  // runs of many times the mean work
	requiredCalls, queuedRequiredCalls        int  // requests that wait for a required call; queued ones to come
	callLimit, callBaseline, callMean         float64
	callBudget                                float64       // call time that may be booked in CallShareWindow
	callBookings                              []callBooking // of CallShareWindow and ahead
	nextProbe, windowEnd, nextCallCut         int64
	nextFirstCall, nextCall                   int64   // no first call of a request before this; no call at all
	lastCallFailed                            bool    // the last call failed
	startedAt, drainSince, stopAt, stopMargin int64   // margin: all is answered this long before stopAt
	handedOver                                bool    // a successor took over: stopAt is no shutdown notice
	peerRuns                                  int     // runs of another worker on this machine
	peerKB                                    float64 // ... and the memory that it has booked
	timerAt, nextAdvice, queueWait            int64   // queueWait: the wait of the last in the queue
	timerToken                                uint64
	minRank, lastSignal, readDelay            float64              // readDelay: recent mean
	meanWork, meanTarget, minTarget           float64              // over the classes, weighted by requested worth
	waitRatio, timeoutSamples                 float64              // queueing delay / allowance; sum of counts
	timeoutCounts                             [timeoutBins]float64 // arrivals by the share of their timeout left
	ceilings                                  *Ceilings            // of the pools; nil = there are none
	poolUsage                                 []poolUsage          // by pool
	cheapestRuns                              int                  // runs of the cheapest class
}

// New returns a worker that has just started, or an error that names each unusable setting. The worker keeps
// the slices in s.
func New(s Settings, seed uint64) (*Worker, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	s.setDefaults()
	w := &Worker{
		sharedDownstream: s.Downstream == DownstreamShared && s.CallShare > 0 && s.CallShareWindow > 0,
		cfg:              s, rng: rand.New(rand.NewPCG(seed, 0)), byID: map[RequestID]int{}, limit: s.Cores,
		classes: make([]class, len(s.Classes)), tenants: make([]tenant, max(len(s.Tenants), 1)),
		healthy: true, startedAt: -1, lastSignal: -1,
	}
	for i, c := range s.Classes {
		w.classes[i].meanWork = float64(c.TargetTime) / initialWorkDivisor
	}
	w.rebuildWeights()
	w.updateTenantShares(nil, 0)
	w.callBudget = callBudgetShare * s.CallShare * float64(s.CallShareWindow)
	w.setCallLimit(float64(s.Cores))
	return w, nil
}
