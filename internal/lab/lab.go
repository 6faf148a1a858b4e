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

// Steady is a rate that never changes.
func Steady(perSecond float64) func(int64) float64 {
	return func(int64) float64 { return perSecond }
}

// Even is work between two bounds in milliseconds that never change.
func Even(least, most float64) func(int64) (float64, float64) {
	return func(int64) (float64, float64) { return least * 1000, most * 1000 }
}

// Change is something that happens to the day at a time since its start.
type Change struct {
	At int64
	Do func(w *World)
}

// Day is what a World plays.
type Day struct {
	Policy  kiteslip.Settings
	Pools   *pool.Settings
	Box     box.Spec
	Streams []Stream
	Script  []Change // in order of time
	Length  int64    // of the arrivals; all is played to its end
	From    int64    // what came before this is not counted
	Seed    uint64
	Gauges  bool                     // the box tells how busy its cores are
	Again   bool                     // refused callers come back once when they were told to, if that is in time
	Watch   func(w *World, at int64) // called four times a second, if set
}

// Tally is what became of the requests of one class.
type Tally struct {
	Asked, InTime, Late, Refused, Failed int
	AskedWork, InTimeWork, LateWork      float64 // microseconds at the yardstick's speed
}

// Share is the part answered within its wanted time; 1 where nothing was asked.
func (t *Tally) Share() float64 {
	if t.Asked == 0 {
		return 1
	}
	return float64(t.InTime) / float64(t.Asked)
}

// Result is the outcome of a day.
type Result struct {
	Classes  []Tally
	Overdue  int // answers after their due time: none may be
	Answered int // must be all that was asked
	Runs     int
}

// Worth is what was answered over what was asked, weighed by the worth of the
// classes for each unit of work.
func (r *Result) Worth(classes []kiteslip.Class) float64 {
	asked, got := 0.0, 0.0
	for i := range r.Classes {
		t, c := &r.Classes[i], &classes[i]
		asked += c.Worth * t.AskedWork
		got += c.Worth * (t.InTimeWork + c.LateWorth*t.LateWork)
	}
	if asked == 0 {
		return 1
	}
	return got / asked
}

// try is one request of the day.
type try struct {
	class, tenant int
	first, due    int64
	work          float64
	counted       bool
	again         bool
	key           string
}

type back struct {
	at int64
	t  *try
}

// World is a day in play.
type World struct {
	Core  *core.Core
	Box   *box.Box
	day   *Day
	rng   *rand.Rand
	now   int64
	next  []int64 // by stream
	tries []*try
	live  map[uint64]*core.Request // on the box
	ids   uint64
	backs []back // callers that come again, in order of time
	Result
}

// Play plays a day to its end.
func Play(day Day) (*Result, error) {
	w := &World{day: &day, rng: rand.New(rand.NewPCG(day.Seed, 1)), now: epoch, live: map[uint64]*core.Request{}}
	w.Box = box.New(day.Box, epoch)
	w.Classes = make([]Tally, len(day.Policy.Classes))
	var err error
	if w.Core, err = core.New(core.Settings{Policy: day.Policy, Seed: day.Seed, Pools: day.Pools}, w); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	w.next = make([]int64, len(day.Streams))
	for i := range w.next {
		w.next[i] = w.draw(i, epoch)
	}
	watch := int64(epoch)
	script := day.Script
	for {
		at := w.until(script)
		if at == math.MaxInt64 {
			break
		}
		w.now = max(w.now, at)
		for len(script) > 0 && script[0].At+epoch <= w.now {
			script[0].Do(w)
			script = script[1:]
		}
		w.finish()
		w.arrive()
		if day.Gauges {
			n := float32(w.Box.Runs())
			w.Core.SetGauges(kiteslip.Gauges{Valid: true, Busy: min(1, n/float32(day.Box.Cores)), Runnable: n})
		}
		w.Core.Step(w.now)
		if day.Watch != nil && w.now >= watch {
			watch = w.now + Second/4
			day.Watch(w, w.now-epoch)
		}
		if w.now > epoch+day.Length && w.Core.Outstanding() == 0 && w.Box.Runs() == 0 && len(w.backs) == 0 {
			break
		}
	}
	return &w.Result, nil
}

// until is when something happens next.
func (w *World) until(script []Change) int64 {
	at := int64(math.MaxInt64)
	for _, t := range w.next {
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
	if len(w.backs) > 0 {
		at = min(at, w.backs[0].at)
	}
	return at
}

// draw returns when stream i brings its next request after at.
func (w *World) draw(i int, at int64) int64 {
	s := &w.day.Streams[i]
	for at < epoch+w.day.Length {
		rate := s.Rate(at - epoch)
		if rate <= 0 {
			at += Second / 20
			continue
		}
		gap := w.rng.ExpFloat64() / rate * Second
		if gap < Second/4 || rate > 4 {
			if at += int64(gap) + 1; at >= epoch+w.day.Length {
				break
			}
			return at
		}
		at += Second / 4 // look at the rate anew; the gap has no memory
	}
	return math.MaxInt64
}

func (w *World) arrive() {
	for i := range w.next {
		for w.next[i] <= w.now {
			s := &w.day.Streams[i]
			least, most := s.Work(w.now - epoch)
			t := &try{class: s.Class, tenant: s.Tenant, first: w.next[i], work: least + (most-least)*w.rng.Float64()}
			t.due = t.first + w.day.Policy.Classes[t.class].Timeout
			t.counted = t.first >= epoch+w.day.From
			t.key = strconv.Itoa(len(w.tries))
			if t.counted {
				c := &w.Classes[t.class]
				c.Asked++
				c.AskedWork += t.work
			}
			w.send(t)
			w.next[i] = w.draw(i, w.next[i])
		}
	}
	for len(w.backs) > 0 && w.backs[0].at <= w.now {
		t := w.backs[0].t
		w.backs = w.backs[1:]
		w.send(t)
	}
}

// send hands a try to the core.
func (w *World) send(t *try) {
	w.tries = append(w.tries, t)
	stream := uint32(len(w.tries) - 1)
	err := w.Core.Submit(w.now, &core.Request{TryID: strconv.Itoa(int(stream)), Class: t.class, Tenant: t.tenant, Caller: 1, Key: t.key,
		Arrived: w.now, Deadline: t.due, SizeKB: 16, Body: strconv.AppendInt(nil, int64(t.work), 10), Stream: stream, ReplyTo: w})
	if err != nil {
		panic(err) // the laboratory's own fault
	}
}

// Run puts a request on the box.
func (w *World) Run(r *core.Request) {
	w.ids++
	w.Runs++
	w.live[w.ids] = r
	w.Box.Begin(w.now, w.ids, box.Work(r.Body))
}

func (w *World) finish() {
	for _, e := range w.Box.Advance(w.now) {
		r := w.live[e.ID]
		delete(w.live, e.ID)
		w.Core.Done(r, kiteslip.OK, e.At-e.Began, r.Body)
	}
}

// Answer takes a final answer.
func (w *World) Answer(stream uint32, a core.Answer) {
	t := w.tries[stream]
	w.tries[stream] = nil
	w.Answered++
	if w.now > t.due {
		w.Overdue++
	}
	if w.day.Again && a.Code == core.Refused && !a.NoFailover && !t.again && a.RetryAfter > 0 && w.now+a.RetryAfter < t.due {
		t.again = true
		at := w.now + a.RetryAfter
		i := len(w.backs)
		for i > 0 && w.backs[i-1].at > at {
			i--
		}
		w.backs = append(w.backs, back{})
		copy(w.backs[i+1:], w.backs[i:])
		w.backs[i] = back{at, t}
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
	case w.now <= t.first+w.day.Policy.Classes[t.class].TargetTime:
		c.InTime++
		c.InTimeWork += t.work
	default:
		c.Late++
		c.LateWork += t.work
	}
}
