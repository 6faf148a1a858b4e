package fleet

import (
	"math"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kiteslip/internal/core"
)

// Sent is a try on its way to a real program.
type Sent struct {
	ID                  uint32 // names it in the Reply
	Class, Team, Caller int
	Key                 string
	Subject             uint64
	Wait                int64   // how long its caller waits from now, microseconds
	Work                float64 // microseconds at the yardstick's speed
}

// Remote is a box that is a real program. Its calls do not wait; each Send is
// followed by one Reply, also where the connection ends.
type Remote interface {
	Send(s Sent)
	Die()                            // at once, with all that it holds
	Back(factor float64, warm int64) // cold
	Scale(factor float64)
	Pause(span int64) // microseconds
	Drain()
}

// Reply is the end of a try.
type Reply struct {
	Box    int
	ID     uint32
	Answer core.Answer
}

// nearby is how long before its time something is waited for awake, in microseconds.
const nearby = 1500

// Lateness is how late the caller side itself was in sending, in microseconds.
type Lateness struct{ P99, Max int64 }

// Live plays a day against real programs, one for each box, on the machine's
// clock. The draws are those of Play. watch is told four times a second how the
// day stands; stop ends it early.
func Live(day Day, remotes []Remote, replies <-chan Reply, stop <-chan struct{}, watch func(at int64, o *Outcome)) (*Outcome, Lateness, error) {
	if err := day.check(); err != nil {
		return nil, Lateness{}, err
	}
	w, err := newWorld(&day, remotes)
	if err != nil {
		return nil, Lateness{}, err
	}
	late := hdrhistogram.New(1, 60*Second, 3)
	began := time.Now()
	clock := func() int64 { return epoch + time.Since(began).Microseconds() }
	end := epoch + day.Length
	look := int64(epoch + Second/4)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		w.now = max(w.now, clock())
		who, at := w.places.first()
		if at <= w.now {
			if who >= day.Boxes && who < day.Boxes+len(w.streams) {
				late.RecordValue(max(1, w.now-at)) //nolint:errcheck // a longer one counts as the bound
			}
			w.step(who)
			continue
		}
		if w.now >= end && w.score.open == 0 || w.now > end+30*Second {
			break
		}
		if w.now >= look && watch != nil {
			look += Second / 4
			watch(w.now-epoch, w.standing())
		}
		until := min(at, look)
		if until == math.MaxInt64 {
			until = w.now + Second/4
		}
		if until-w.now <= nearby { // timers are too coarse for it
			select {
			case r := <-replies:
				w.now = max(w.now, clock())
				w.reply(r)
			default:
				runtime.Gosched()
			}
			continue
		}
		timer.Reset(time.Duration(until-w.now-nearby) * time.Microsecond)
		select {
		case r := <-replies:
			w.now = max(w.now, clock())
			w.reply(r)
		case <-timer.C:
		case <-stop:
			w.score.finish(&w.Outcome)
			return &w.Outcome, Lateness{late.ValueAtQuantile(99), late.Max()}, nil
		}
	}
	w.score.finish(&w.Outcome)
	return &w.Outcome, Lateness{late.ValueAtQuantile(99), late.Max()}, nil
}

// reply takes in an answer of a real program.
func (w *world) reply(r Reply) {
	m := w.boxes[r.Box]
	t := m.tries[r.ID]
	delete(m.tries, r.ID)
	if t == nil || !t.lively {
		return
	}
	t.lively = false
	m.open--
	if w.now > t.r.due+60_000 {
		w.Overdue++
	}
	w.answered(t, r.Answer)
}

// standing is the outcome so far.
func (w *world) standing() *Outcome {
	o := w.Outcome
	w.score.finish(&o)
	return &o
}
