package pool

import "math"

// classCost is the load of one class and what is known of its cost.
type classCost struct {
	waiting, running    int
	queuedKB, runningKB float64
	baseline            float64 // low estimate of the work of a run: falls quickly and rises slowly
	meanWork            float64 // plain mean work of a run
	runsSeen            int
	updatedAt           int64
}

const (
	baselineDownWeight  = 0.2       // weight of a run below the baseline
	baselineUpWeight    = 0.03      // weight of a run above it
	meanWorkWeight      = 0.15      // weight of a run in the mean once there are enough
	baselineCatchUpUS   = 4_000_000 // a low baseline has mostly caught up within this, at any rate of runs
	minCheapestRuns     = 20        // runs of a class before it can be the cheapest
	cheapestSwitchRatio = 0.85      // another class must cost less than this part to become the cheapest
)

// learn adds the work of one run. The baseline is a low mean: half of the runs are
// above it by chance alone, and an overloaded machine must not pass for a slow one
// at once; but a machine that has become slow must be recognised within seconds.
func (k *classCost) learn(now int64, work float64) {
	work = max(work, 1)
	k.runsSeen++
	if k.runsSeen == 1 {
		k.baseline, k.meanWork, k.updatedAt = work, work, now
		return
	}
	weight := max(meanWorkWeight, 1/float64(k.runsSeen))
	k.meanWork += (work - k.meanWork) * weight
	first := 1 / float64(k.runsSeen)
	up := max(baselineUpWeight, float64(now-k.updatedAt)/baselineCatchUpUS, first)
	k.updatedAt = now
	if work < k.baseline {
		k.baseline += (work - k.baseline) * max(baselineDownWeight, first)
	} else {
		k.baseline += (work - k.baseline) * min(up, max(baselineDownWeight, first))
	}
}

// findCheapest updates the class that costs least per request.
func (b *Allocator) findCheapest() {
	best := -1
	for c := range b.classes {
		if k := &b.classes[c]; k.runsSeen >= minCheapestRuns && (best < 0 || k.meanWork < b.classes[best].meanWork) {
			best = c
		}
	}
	if best < 0 || best == b.cheapest {
		return
	}
	if b.cheapest < 0 || b.classes[best].meanWork < cheapestSwitchRatio*b.classes[b.cheapest].meanWork {
		b.cheapest = best
	}
}

// CheapestClass returns the class with the least work per request, as learned;
// -1 = not known yet.
func (b *Allocator) CheapestClass() int { return b.cheapest }

// decayingRate counts events per second, with decay.
type decayingRate struct {
	count     float64
	updatedAt int64
}

const (
	rateDecayUS = 2e6
	rateStepUS  = 10_000 // finer steps make no difference
)

// decay applies the decay up to now.
func (r *decayingRate) decay(now int64) {
	if now-r.updatedAt > rateStepUS {
		r.count *= math.Exp(-float64(now-r.updatedAt) / rateDecayUS)
		r.updatedAt = now
	}
}

// add counts one event.
func (r *decayingRate) add(now int64) {
	r.decay(now)
	r.count++
}

// perSecond returns the recent rate.
func (r *decayingRate) perSecond(now int64) float64 {
	r.decay(now)
	return r.count / (rateDecayUS / 1e6)
}
