// Package lab plays traffic against a core with its module and an emulated box,
// in simulated time: the same seed gives the same day. It is for measurements
// and tests; nothing that serves imports it.
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

// Second is one second of the simulated clock, which counts microseconds.
const Second = 1_000_000

// epoch is when a day starts: no time stamp may be zero.
const epoch = 1_000 * Second

// Stream is traffic of one class: independent arrivals at a rate that may
// change, and work drawn evenly between two bounds.
type Stream struct {
	Class, Tenant int
	Rate          func(at int64) float64 // a second, at microseconds since the start
	Work          func(at int64) (least, most float64)
}

// ConstantRate is a rate that never changes.
func ConstantRate(perSecond float64) func(int64) float64 {
	return func(int64) float64 { return perSecond }
}

// UniformWork is work between two bounds in milliseconds that never change.
func UniformWork(least, most float64) func(int64) (float64, float64) {
	return func(int64) (float64, float64) { return least * 1000, most * 1000 }
}

// Change is something that happens to the day at a time since its start.
type Change struct {
	At    int64
	Apply func(w *Simulation)
}

// Spec is what a World plays.
type Spec struct {
	Policy       kiteslip.Settings
	Pools        *pool.Settings
	Box          box.Spec
	Streams      []Stream
	Changes      []Change // in order of time
	Length       int64    // of the arrivals; all is played to its end
	CountFrom    int64    // what came before this is not counted
	Seed         uint64
	Gauges       bool                          // the box tells how busy its cores are
	RetryRefused bool                          // refused callers come back once when they were told to, if that is in time
	Observe      func(w *Simulation, at int64) // called four times a second, if set
}

// ClassCounts is what became of the requests of one class.
type ClassCounts struct {
	Requests, OnTime, Late, Refused, Failed int
	RequestedWork, OnTimeWork, LateWork     float64 // microseconds at the yardstick's speed
}

// OnTimeShare is the part answered within its wanted time; 1 where nothing was asked.
func (t *ClassCounts) OnTimeShare() float64 {
	if t.Requests == 0 {
		return 1
	}
	return float64(t.OnTime) / float64(t.Requests)
}

// Result is the outcome of a day.
type Result struct {
	Classes  []ClassCounts
	Overdue  int // answers after their due time: none may be
	Answered int // must be all that was asked
	Runs     int
}

// WorthShare is what was answered over what was asked, weighed by the worth of the
// classes for each unit of work.
func (r *Result) WorthShare(classes []kiteslip.Class) float64 {
	asked, got := 0.0, 0.0
	for i := range r.Classes {
		t, c := &r.Classes[i], &classes[i]
		asked += c.Worth * t.RequestedWork
		got += c.Worth * (t.OnTimeWork + c.LateWorth*t.LateWork)
	}
	if asked == 0 {
		return 1
	}
	return got / asked
}

// try is one request of the day.
type try struct {
	class, tenant     int
	arrived, deadline int64
	work              float64
	counted           bool
	retried           bool
	key               string
}

type retry struct {
	at int64
	t  *try
}

// Simulation is a day in play.
type Simulation struct {
	Core         *core.Core
	Box          *box.Box
	spec         *Spec
	rng          *rand.Rand
	now          int64
	nextArrivals []int64 // by stream
	tries        []*try
	running      map[uint64]*core.Request // on the box
	lastID       uint64
	retries      []retry // callers that come again, in order of time
	Result
}

// Simulate plays a day to its end.
func Simulate(day Spec) (*Result, error) {
	w := &Simulation{spec: &day, rng: rand.New(rand.NewPCG(day.Seed, 1)), now: epoch, running: map[uint64]*core.Request{}}
	w.Box = box.New(day.Box, epoch)
	w.Classes = make([]ClassCounts, len(day.Policy.Classes))
	var err error
	if w.Core, err = core.New(core.Settings{Policy: day.Policy, Seed: day.Seed, Pools: day.Pools}, w); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	w.nextArrivals = make([]int64, len(day.Streams))
	for i := range w.nextArrivals {
		w.nextArrivals[i] = w.nextArrival(i, epoch)
	}
	watch := int64(epoch)
	script := day.Changes
	for {
		at := w.nextEvent(script)
		if at == math.MaxInt64 {
			break
		}
		w.now = max(w.now, at)
		for len(script) > 0 && script[0].At+epoch <= w.now {
			script[0].Apply(w)
			script = script[1:]
		}
		w.completeRuns()
		w.submitArrivals()
		if day.Gauges {
			n := float32(w.Box.Runs())
			w.Core.SetGauges(kiteslip.Gauges{Valid: true, Busy: min(1, n/float32(day.Box.Cores)), Runnable: n})
		}
		w.Core.Step(w.now)
		if day.Observe != nil && w.now >= watch {
			watch = w.now + Second/4
			day.Observe(w, w.now-epoch)
		}
		if w.now > epoch+day.Length && w.Core.Outstanding() == 0 && w.Box.Runs() == 0 && len(w.retries) == 0 {
			break
		}
	}
	return &w.Result, nil
}

// nextEvent is when something happens next.
func (w *Simulation) nextEvent(script []Change) int64 {
	at := int64(math.MaxInt64)
	for _, t := range w.nextArrivals {
		at = min(at, t)
	}
	for _, t := range []int64{w.Box.Next(), w.Core.NextStep()} {
		if t != 0 {
			at = min(at, t)
		}
	}
	if len(script) > 0 {
		at = min(at, script[0].At+epoch)
	}
	if len(w.retries) > 0 {
		at = min(at, w.retries[0].at)
	}
	return at
}

// nextArrival returns when stream i brings its next request after at.
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
		at += Second / 4 // look at the rate anew; the gap has no memory
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

// submit hands a try to the core.
func (w *Simulation) submit(t *try) {
	w.tries = append(w.tries, t)
	stream := uint32(len(w.tries) - 1)
	err := w.Core.Submit(w.now, &core.Request{TryID: strconv.Itoa(int(stream)), Class: t.class, Tenant: t.tenant, Caller: 1, Key: t.key,
		Arrived: w.now, Deadline: t.deadline, SizeKB: 16, Body: strconv.AppendInt(nil, int64(t.work), 10), Stream: stream, ReplyTo: w})
	if err != nil {
		panic(err) // the laboratory's own fault
	}
}

// Run puts a request on the box.
func (w *Simulation) Run(r *core.Request) {
	w.lastID++
	w.Runs++
	w.running[w.lastID] = r
	w.Box.Begin(w.now, w.lastID, box.Work(r.Body))
}

func (w *Simulation) completeRuns() {
	for _, e := range w.Box.Advance(w.now) {
		r := w.running[e.ID]
		delete(w.running, e.ID)
		w.Core.Done(r, kiteslip.OK, e.At-e.Started, r.Body)
	}
}

// Answer takes a final answer.
func (w *Simulation) Answer(stream uint32, a core.Answer) {
	t := w.tries[stream]
	w.tries[stream] = nil
	w.Answered++
	if w.now > t.deadline {
		w.Overdue++
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
