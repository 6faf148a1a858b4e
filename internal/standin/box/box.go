// Package box stands in for the machine that does the work: cores that are
// shared by all that runs, get less done in total when crowded, start cold and
// may change their speed. A Box knows no clock: it is advanced by its owner, in
// simulated time or by a real one (see Engine). It is a model, not a
// measurement: processor sharing (Kleinrock 1967) with a loss per excess run.
package box

import (
	"container/heap"
	"math"
)

// Spec describes a box.
type Spec struct {
	Cores int
	Speed float64 // work done in a second by one core; 1 = the yardstick
	Knee  float64 // runs a core beyond which the cores get less done; 0 = never
	Loss  float64 // part of the throughput lost for each run a core beyond the knee
	Falls float64 // runs a core, in the mean of FallsOver, beyond which it falls over; 0 = never
}

// fallsOver is the time over which runs are averaged before a box falls, microseconds.
const fallsOver = 1_500_000

// End is a run that is over.
type End struct {
	ID    uint64
	Began int64 // microseconds
	At    int64
}

// Box is one machine. Times are microseconds on its owner's clock.
type Box struct {
	spec     Spec
	now      int64
	factor   float64 // of the speed, as set last
	coldFrom float64 // share of the speed at coldAt
	coldAt   int64
	warmAt   int64 // 0 = warm
	share    float64
	crowd    float64 // runs a core, in the fading mean of fallsOver
	fallen   bool
	runs     runs
	ends     []End
}

type run struct {
	id     uint64
	began  int64
	finish float64 // on the share clock
}

type runs []run

func (h runs) Len() int { return len(h) }
func (h runs) Less(i, j int) bool {
	return h[i].finish < h[j].finish || h[i].finish == h[j].finish && h[i].id < h[j].id
}
func (h runs) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *runs) Push(x any)   { *h = append(*h, x.(run)) }
func (h *runs) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// warmStep is how often the speed of a warming box is looked at anew.
const warmStep = 20_000

// New returns a warm box at time now.
func New(spec Spec, now int64) *Box {
	if spec.Speed <= 0 {
		spec.Speed = 1
	}
	return &Box{spec: spec, now: now, factor: 1}
}

// Scale sets the speed to a part of the usual, from now on.
func (b *Box) Scale(now int64, factor float64) { b.to(now); b.factor = max(factor, 1e-3) }

// Cold starts a warm-up: from a share of the speed to all of it within that time.
func (b *Box) Cold(now int64, from float64, within int64) {
	b.to(now)
	b.coldFrom, b.coldAt, b.warmAt = max(from, 1e-3), now, now+within
}

// Runs is the number of requests on the cores.
func (b *Box) Runs() int { return len(b.runs) }

// Cores is the number of cores.
func (b *Box) Cores() int { return b.spec.Cores }

// Begin puts work (microseconds at the yardstick's speed) on the cores.
func (b *Box) Begin(now int64, id uint64, work float64) {
	b.to(now)
	heap.Push(&b.runs, run{id, now, b.share + max(work, 0)})
}

// rate is how fast the share clock runs: the work that each run gets done in a microsecond.
func (b *Box) rate(at int64) float64 {
	n := len(b.runs)
	if n == 0 {
		return 0
	}
	speed := b.spec.Speed * b.factor
	if at < b.warmAt {
		done := float64(at-b.coldAt) / float64(b.warmAt-b.coldAt)
		speed *= b.coldFrom + (1-b.coldFrom)*done
	}
	crowd := float64(n)/float64(b.spec.Cores) - b.spec.Knee
	if b.spec.Knee > 0 && crowd > 0 {
		speed /= 1 + b.spec.Loss*crowd
	}
	return speed * min(1, float64(b.spec.Cores)/float64(n))
}

// Next is when a run ends if nothing else happens, 0 = nothing runs. While the
// box warms up it is when to look again at the latest.
func (b *Box) Next() int64 {
	switch {
	case len(b.ends) > 0:
		return b.now
	case len(b.runs) == 0:
		return 0
	}
	return b.look()
}

// look is when the first run ends at the speed of now, or when to look again.
func (b *Box) look() int64 {
	left := b.runs[0].finish - b.share
	at := b.now + int64(left/b.rate(b.now)) + 1
	if b.now < b.warmAt {
		at = min(at, b.now+warmStep)
	}
	return at
}

// to moves the clocks, and the runs that end meanwhile to the ends.
func (b *Box) to(now int64) {
	for b.now < now {
		if len(b.runs) == 0 {
			b.crowded(now - b.now)
			b.now = now
			return
		}
		at := min(now, b.look())
		b.crowded(at - b.now)
		b.share += float64(at-b.now) * b.rate(b.now)
		b.now = at
		for len(b.runs) > 0 && b.runs[0].finish <= b.share+0.5 {
			r := heap.Pop(&b.runs).(run)
			b.ends = append(b.ends, End{r.id, r.began, b.now})
		}
	}
}

// crowded takes the runs of a span into the mean.
func (b *Box) crowded(span int64) {
	if b.spec.Falls <= 0 {
		return
	}
	runs := float64(len(b.runs)) / float64(b.spec.Cores)
	b.crowd += (runs - b.crowd) * -math.Expm1(-float64(span)/fallsOver)
	b.fallen = b.fallen || b.crowd > b.spec.Falls
}

// Fallen says whether too many runs have shared the cores for too long. What a
// fallen box does next is its owner's matter.
func (b *Box) Fallen() bool { return b.fallen }

// Advance moves the box to now and returns what has ended since the last call,
// in order. The slice is the caller's until the next call.
func (b *Box) Advance(now int64) []End {
	b.to(now)
	ends := b.ends
	b.ends = nil
	return ends
}

// Die drops all that runs, as a killed machine does.
func (b *Box) Die(now int64) {
	b.to(now)
	b.runs, b.ends = b.runs[:0], nil
}

// Take takes a run off the cores and returns the work that is left of it;
// false = no such run is on them.
func (b *Box) Take(now int64, id uint64) (left float64, ok bool) {
	b.to(now)
	for i := range b.runs {
		if r := b.runs[i]; r.id == id {
			heap.Remove(&b.runs, i)
			return r.finish - b.share, true
		}
	}
	return 0, false
}
