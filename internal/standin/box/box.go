// Package box models the machine that runs the work of requests: cores that are
// shared by all runs, lose throughput when there are too many of them, start cold
// and may change their speed. A Machine has no clock of its own: its owner advances it,
// in simulated time or by the system clock (see Engine). The model is processor
// sharing (Kleinrock 1967) with a loss of throughput for each excess run; it is not
// derived from measurements of a real machine.
//
// Times and work are microseconds.
package box

import (
	"container/heap"
	"math"
)

// Spec describes a Machine.
type Spec struct {
	Cores          int
	Speed          float64 // relative speed of a core; 1 = a run takes its stated work when it has a core of its own
	Knee           float64 // runs per core beyond which throughput is lost; 0 = never
	Loss           float64 // throughput is divided by 1 + Loss × (runs per core - Knee) beyond the knee
	MaxRunsPerCore float64 // mean runs per core beyond which the machine crashes; 0 = never
}

// meanRunsWindowUS is the time constant of the mean number of runs per core that
// is compared with Spec.MaxRunsPerCore.
const meanRunsWindowUS = 1_500_000

// Completion is a run that has ended.
type Completion struct {
	ID      uint64
	Started int64
	At      int64
}

// Machine is a model of one machine. Its times are on the clock of its owner.
type Machine struct {
	spec        Spec
	now         int64
	speedFactor float64 // set by SetSpeed
	coldSpeed   float64 // share of the full speed at coldAt
	coldAt      int64
	warmAt      int64   // end of the warm-up; 0 = none
	virtualTime float64 // work done by one run under processor sharing
	meanRuns    float64 // decaying mean of the runs per core
	crashed     bool
	runs        runHeap
	completions []Completion
}

type run struct {
	id      uint64
	started int64
	finish  float64 // in virtual time
}

// runHeap has the run that ends first at its top.
type runHeap []run

func (h runHeap) Len() int { return len(h) }
func (h runHeap) Less(i, j int) bool {
	return h[i].finish < h[j].finish || h[i].finish == h[j].finish && h[i].id < h[j].id
}
func (h runHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *runHeap) Push(x any)   { *h = append(*h, x.(run)) }
func (h *runHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// warmupStepUS is the interval at which the speed is adjusted during a warm-up.
const warmupStepUS = 20_000

// New returns a warm Machine at time now.
func New(spec Spec, now int64) *Machine {
	if spec.Speed <= 0 {
		spec.Speed = 1
	}
	return &Machine{spec: spec, now: now, speedFactor: 1}
}

// SetSpeed multiplies Spec.Speed by factor from now on.
func (b *Machine) SetSpeed(now int64, factor float64) {
	b.advanceTo(now)
	b.speedFactor = max(factor, 1e-3)
}

// StartWarmup starts a warm-up: the speed rises linearly from a share of the full speed
// to all of it within the given time.
func (b *Machine) StartWarmup(now int64, from float64, within int64) {
	b.advanceTo(now)
	b.coldSpeed, b.coldAt, b.warmAt = max(from, 1e-3), now, now+within
}

// Runs returns the number of runs on the cores.
func (b *Machine) Runs() int { return len(b.runs) }

// Cores returns the number of cores.
func (b *Machine) Cores() int { return b.spec.Cores }

// Start starts a run; work is the core time that it takes at speed 1.
func (b *Machine) Start(now int64, id uint64, work float64) {
	b.advanceTo(now)
	heap.Push(&b.runs, run{id, now, b.virtualTime + max(work, 0)})
}

// rate returns the speed of virtual time: the work done for each run in a microsecond.
func (b *Machine) rate(at int64) float64 {
	n := len(b.runs)
	if n == 0 {
		return 0
	}
	speed := b.spec.Speed * b.speedFactor
	if at < b.warmAt {
		done := float64(at-b.coldAt) / float64(b.warmAt-b.coldAt)
		speed *= b.coldSpeed + (1-b.coldSpeed)*done
	}
	excess := float64(n)/float64(b.spec.Cores) - b.spec.Knee
	if b.spec.Knee > 0 && excess > 0 {
		speed /= 1 + b.spec.Loss*excess
	}
	return speed * min(1, float64(b.spec.Cores)/float64(n))
}

// Next returns when Advance is to be called next if nothing else happens: at the
// end of the first run, or earlier during a warm-up. 0 means that nothing runs.
func (b *Machine) Next() int64 {
	switch {
	case len(b.completions) > 0:
		return b.now
	case len(b.runs) == 0:
		return 0
	}
	return b.nextCheck()
}

// nextCheck returns when the first run ends at the present speed, limited to one
// step of a warm-up.
func (b *Machine) nextCheck() int64 {
	remaining := b.runs[0].finish - b.virtualTime
	at := b.now + int64(remaining/b.rate(b.now)) + 1
	if b.now < b.warmAt {
		at = min(at, b.now+warmupStepUS)
	}
	return at
}

// advanceTo advances the time and virtual time, and records the runs that end.
func (b *Machine) advanceTo(now int64) {
	for b.now < now {
		if len(b.runs) == 0 {
			b.updateMeanRuns(now - b.now)
			b.now = now
			return
		}
		at := min(now, b.nextCheck())
		b.updateMeanRuns(at - b.now)
		b.virtualTime += float64(at-b.now) * b.rate(b.now)
		b.now = at
		for len(b.runs) > 0 && b.runs[0].finish <= b.virtualTime+0.5 {
			r := heap.Pop(&b.runs).(run)
			b.completions = append(b.completions, Completion{r.id, r.started, b.now})
		}
	}
}

// updateMeanRuns adds an interval with the present number of runs to the mean.
func (b *Machine) updateMeanRuns(span int64) {
	if b.spec.MaxRunsPerCore <= 0 {
		return
	}
	runs := float64(len(b.runs)) / float64(b.spec.Cores)
	b.meanRuns += (runs - b.meanRuns) * -math.Expm1(-float64(span)/meanRunsWindowUS)
	b.crashed = b.crashed || b.meanRuns > b.spec.MaxRunsPerCore
}

// Crashed reports whether the mean number of runs per core has exceeded Spec.MaxRunsPerCore.
// The owner decides what a crashed machine does.
func (b *Machine) Crashed() bool { return b.crashed }

// Advance advances the Machine to now and returns the runs that have ended since the
// last call, in order. The slice is valid until the next call.
func (b *Machine) Advance(now int64) []Completion {
	b.advanceTo(now)
	completions := b.completions
	b.completions = nil
	return completions
}

// DropRuns discards all runs, as a failure of the machine does.
func (b *Machine) DropRuns(now int64) {
	b.advanceTo(now)
	b.runs, b.completions = b.runs[:0], nil
}

// Remove removes a run from the cores and returns its remaining work, or false if
// there is no such run.
func (b *Machine) Remove(now int64, id uint64) (remaining float64, ok bool) {
	b.advanceTo(now)
	for i := range b.runs {
		if r := b.runs[i]; r.id == id {
			heap.Remove(&b.runs, i)
			return r.finish - b.virtualTime, true
		}
	}
	return 0, false
}
