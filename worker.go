// What a Worker knows. It is kept here and decided upon in the policy files.

package kiteslip

import (
	"math/rand/v2"
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

// place is what the order of a request hangs on. These are sorted, small and in a row, not the requests.
type place struct {
	density float64
	aim     int64
	id      RequestID
	index   int32
	newest  bool // among equals the newest goes first
}

// Worker decides for one server process.
type Worker struct {
	set       Settings
	rng       *rand.Rand
	now, last int64   // this batch and the previous one
	share     float64 // the share clock, see advance
	reqs      []request
	at        map[RequestID]int
	fresh     []RequestID // arrivals of this batch
	order     []int       // the hold, best first
	places    []place     // what is sorted in this batch: the hold, then the calls to make
	table     []entry

	onCore, inHand, atCalls, out int // running, all begun, standing at calls, calls made
	memory, largest              float64

	limit, spanDone, spanLate     int
	progress                      int64 // the last sign of work getting on
	classes                       []class
	tenants                       []tenant
	allClasses, allTenants        group // asked and served of all together, as of this batch
	fading                        fading
	weights                       weights // of the classes in the means below
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
	callNext, callAgain           int64   // no first call before this; none at all
	callFailed                    bool    // the last call failed
	born, drainAt, stop, margin   int64   // margin: all is answered this long before the stop
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
// used. The slices in s are the worker's from then on.
func New(s Settings, seed uint64) (*Worker, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	s.fill()
	w := &Worker{
		shared: s.Downstream == DownstreamShared && s.CallShare > 0 && s.CallShareWindow > 0,
		set:    s, rng: rand.New(rand.NewPCG(seed, 0)), at: map[RequestID]int{}, limit: s.Cores,
		classes: make([]class, len(s.Classes)), tenants: make([]tenant, max(len(s.Tenants), 1)),
		healthy: true, born: -1, said: -1,
	}
	for i, c := range s.Classes {
		w.classes[i].base = float64(c.TargetTime) / firstGuess
	}
	w.weigh()
	w.allot(nil, 0)
	w.budget = shareSafe * s.CallShare * float64(s.CallShareWindow)
	w.moveCalls(float64(s.Cores))
	return w, nil
}
