// Package lab simulates traffic against a core with its policy and a model of the
// machine (box.Machine), in simulated time: the same seed gives the same result. It is
// for measurements and tests; the server does not import it.
//
// Instants and durations are microseconds.
package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"

	"kiteslip"
	"kiteslip/internal/core"
	"kiteslip/internal/pool"
	"kiteslip/internal/standin/box"
)

// Second is one second of simulated time.
const Second = 1_000_000

// epoch is the instant at which a simulation starts; not 0, because instants of 0
// mean "none".
const epoch = 1_000 * Second

// Stream is traffic of one class: independent arrivals at a rate that may change
// over time, and uniformly distributed work.
type Stream struct {
	Class, Tenant int
	Rate          func(at int64) float64 // requests per second, by the time since the start
	Work          func(at int64) (least, most float64)
}

// ConstantRate returns a rate that does not change over time.
func ConstantRate(perSecond float64) func(int64) float64 {
	return func(int64) float64 { return perSecond }
}

// UniformWork returns work between two bounds in milliseconds that do not change
// over time.
func UniformWork(least, most float64) func(int64) (float64, float64) {
	return func(int64) (float64, float64) { return least * 1000, most * 1000 }
}

// Change is an event of a simulation.
type Change struct {
	At    int64 // since the start
	Apply func(w *Simulation)
}

// Spec describes a simulation.
type Spec struct {
	Policy       kiteslip.Settings
	Pools        *pool.Settings
	Box          box.Spec
	Streams      []Stream
	Changes      []Change // in order of time
	Length       int64    // of the arrivals; the simulation goes on until every request is answered
	CountFrom    int64    // requests that arrive before this are not counted
	Seed         uint64
	Gauges       bool                          // the core is told how busy the machine is
	RetryRefused bool                          // refused callers retry once at their retry-after, if that is before the deadline
	Observe      func(w *Simulation, at int64) // if set, called four times per simulated second
}

// ClassCounts has the results of the requests of one class.
type ClassCounts struct {
	Requests, OnTime, Late, Refused, Failed int
	RequestedWork, OnTimeWork, LateWork     float64 // core time at speed 1
}

// OnTimeShare returns the share of requests served within their target time, or 1
// if there were none.
func (t *ClassCounts) OnTimeShare() float64 {
	if t.Requests == 0 {
		return 1
	}
	return float64(t.OnTime) / float64(t.Requests)
}

// Result is the outcome of a simulation.
type Result struct {
	Classes          []ClassCounts
	DeadlineExceeded int // answers after their deadline; must be 0
	Answered         int // answers, those of retries included
	Runs             int
}

// WorthShare returns the work served over the work requested, weighted by the worth
// of the classes.
func (r *Result) WorthShare(classes []kiteslip.Class) float64 {
	requested, served := 0.0, 0.0
	for i := range r.Classes {
		counts, c := &r.Classes[i], &classes[i]
		requested += c.Worth * counts.RequestedWork
		served += c.Worth * (counts.OnTimeWork + c.LateWorth*counts.LateWork)
	}
	if requested == 0 {
		return 1
	}
	return served / requested
}

// try is a request of the simulation.
type try struct {
	class, tenant     int
	arrived, deadline int64
	work              float64
	counted           bool
	retried           bool
	key               string
}

// retry is a refused request that is sent again later.
type retry struct {
	at int64
	t  *try
}

// Simulation is the state of a running simulation.
type Simulation struct {
	Core         *core.Core
	Box          *box.Machine
	spec         *Spec
	rng          *rand.Rand
	now          int64
	nextArrivals []int64 // next arrival of each stream
	tries        []*try
	running      map[uint64]*core.Request // on the cores, by run
	lastID       uint64
	retries      []retry // in order of time
	Result
}

// Simulate runs a simulation to its end.
func Simulate(spec Spec) (*Result, error) {
	w := &Simulation{spec: &spec, rng: rand.New(rand.NewPCG(spec.Seed, 1)), now: epoch, running: map[uint64]*core.Request{}}
	w.Box = box.New(spec.Box, epoch)
	w.Classes = make([]ClassCounts, len(spec.Policy.Classes))
	var err error
	if w.Core, err = core.New(core.Settings{Policy: spec.Policy, Seed: spec.Seed, Pools: spec.Pools}, w); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	w.nextArrivals = make([]int64, len(spec.Streams))
	for i := range w.nextArrivals {
		w.nextArrivals[i] = w.nextArrival(i, epoch)
	}
	nextObservation := int64(epoch)
	changes := spec.Changes
	for {
		at := w.nextEvent(changes)
		if at == math.MaxInt64 {
			break
		}
		w.now = max(w.now, at)
		for len(changes) > 0 && changes[0].At+epoch <= w.now {
			changes[0].Apply(w)
			changes = changes[1:]
		}
		w.completeRuns()
		w.submitArrivals()
		if spec.Gauges {
			n := float32(w.Box.Runs())
			w.Core.SetGauges(kiteslip.Gauges{Valid: true, Busy: min(1, n/float32(spec.Box.Cores)), Runnable: n})
		}
		w.Core.Step(w.now)
		if spec.Observe != nil && w.now >= nextObservation {
			nextObservation = w.now + Second/4
			spec.Observe(w, w.now-epoch)
		}
		if w.now > epoch+spec.Length && w.Core.Outstanding() == 0 && w.Box.Runs() == 0 && len(w.retries) == 0 {
			break
		}
	}
	return &w.Result, nil
}

// nextEvent returns the instant of the next event.
func (w *Simulation) nextEvent(changes []Change) int64 {
	at := int64(math.MaxInt64)
	for _, t := range w.nextArrivals {
		at = min(at, t)
	}
	for _, t := range []int64{w.Box.Next(), w.Core.NextStep()} {
		if t != 0 {
			at = min(at, t)
		}
	}
	if len(changes) > 0 {
		at = min(at, changes[0].At+epoch)
	}
	if len(w.retries) > 0 {
		at = min(at, w.retries[0].at)
	}
	return at
}

// nextArrival returns the instant of the first arrival of stream i after at. A long
// gap is drawn again in steps, so that it follows changes of the rate.
func (w *Simulation) nextArrival(i int, at int64) int64 {
	s := &w.spec.Streams[i]
	for at < epoch+w.spec.Length {
		rate := s.Rate(at - epoch)
		if rate <= 0 {
			at += Second / 20
			continue
		}
		gap := w.rng.ExpFloat64() / rate * Second
		if gap < Second/4 || rate > 4 {
			if at += int64(gap) + 1; at >= epoch+w.spec.Length {
				break
			}
			return at
		}
		at += Second / 4 // exponential gaps are memoryless, so that drawing again does not bias them
	}
	return math.MaxInt64
}

func (w *Simulation) submitArrivals() {
	for i := range w.nextArrivals {
		for w.nextArrivals[i] <= w.now {
			s := &w.spec.Streams[i]
			least, most := s.Work(w.now - epoch)
			t := &try{class: s.Class, tenant: s.Tenant, arrived: w.nextArrivals[i], work: least + (most-least)*w.rng.Float64()}
			t.deadline = t.arrived + w.spec.Policy.Classes[t.class].Timeout
			t.counted = t.arrived >= epoch+w.spec.CountFrom
			t.key = strconv.Itoa(len(w.tries))
			if t.counted {
				c := &w.Classes[t.class]
				c.Requests++
				c.RequestedWork += t.work
			}
			w.submit(t)
			w.nextArrivals[i] = w.nextArrival(i, w.nextArrivals[i])
		}
	}
	for len(w.retries) > 0 && w.retries[0].at <= w.now {
		t := w.retries[0].t
		w.retries = w.retries[1:]
		w.submit(t)
	}
}

// submit passes a try to the core.
func (w *Simulation) submit(t *try) {
	w.tries = append(w.tries, t)
	stream := uint32(len(w.tries) - 1)
	err := w.Core.Submit(w.now, &core.Request{TryID: strconv.Itoa(int(stream)), Class: t.class, Tenant: t.tenant, Caller: 1, Key: t.key,
		Arrived: w.now, Deadline: t.deadline, SizeKB: 16, Body: strconv.AppendInt(nil, int64(t.work), 10), Stream: stream, ReplyTo: w})
	if err != nil {
		panic(err) // a bug in this package
	}
}

// Run starts a request on the cores.
func (w *Simulation) Run(r *core.Request) {
	w.lastID++
	w.Runs++
	w.running[w.lastID] = r
	w.Box.Start(w.now, w.lastID, box.Work(r.Body))
}

func (w *Simulation) completeRuns() {
	for _, e := range w.Box.Advance(w.now) {
		r := w.running[e.ID]
		delete(w.running, e.ID)
		w.Core.Done(r, kiteslip.OK, e.At-e.Started, r.Body)
	}
}

// Answer counts a final answer, or schedules the retry of a refused request.
func (w *Simulation) Answer(stream uint32, a core.Answer) {
	t := w.tries[stream]
	w.tries[stream] = nil
	w.Answered++
	if w.now > t.deadline {
		w.DeadlineExceeded++
	}
	if w.spec.RetryRefused && a.Code == core.Refused && !a.NoFailover && !t.retried && a.RetryAfter > 0 && w.now+a.RetryAfter < t.deadline {
		t.retried = true
		at := w.now + a.RetryAfter
		i := len(w.retries)
		for i > 0 && w.retries[i-1].at > at {
			i--
		}
		w.retries = append(w.retries, retry{})
		copy(w.retries[i+1:], w.retries[i:])
		w.retries[i] = retry{at, t}
		return
	}
	if !t.counted {
		return
	}
	c := &w.Classes[t.class]
	switch {
	case a.Code == core.Refused:
		c.Refused++
	case a.Code == core.Failed:
		c.Failed++
	case w.now <= t.arrived+w.spec.Policy.Classes[t.class].TargetTime:
		c.OnTime++
		c.OnTimeWork += t.work
	default:
		c.Late++
		c.LateWork += t.work
	}
}
