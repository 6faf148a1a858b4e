package pool

import "math"

// classCost is what is known of one class.
type classCost struct {
	waiting, running    int
	queuedKB, runningKB float64
	baseline            float64 // work of one run: follows down soon and up slowly
	meanWork            float64 // ... and the plain mean
	runsSeen            int
	updatedAt           int64
}

const (
	baselineDownWeight  = 0.2       // weight of a run that took less work than the base
	baselineUpWeight    = 0.03      // ... and of one that took more
	meanWorkWeight      = 0.15      // weight in the mean once enough were seen
	baselineCatchUpUS   = 4_000_000 // a base that is too low has caught up most of the way by then, however few runs there are
	minCheapestRuns     = 20        // runs of a class before it can be the cheapest
	cheapestSwitchRatio = 0.85      // another class has to cost less than this part to take its place
)

// learn takes in the work of one run. The base is a low mean: half of the runs
// lie above it by chance alone, and a crowded machine must not pass for a slow
// one at once; but a machine that got slow must be known as such in seconds.
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

// findCheapest keeps the class that costs least for one request.
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

// CheapestClass is the class that does the least work for one request, as learned;
// -1 = not known yet.
func (b *Allocator) CheapestClass() int { return b.cheapest }

// decayingRate counts events a second with a fading memory.
type decayingRate struct {
	count     float64
	updatedAt int64
}

const (
	rateDecayUS = 2e6
	rateStepUS  = 10_000 // finer steps change nothing that matters
)

func (r *decayingRate) decay(now int64) {
	if now-r.updatedAt > rateStepUS {
		r.count *= math.Exp(-float64(now-r.updatedAt) / rateDecayUS)
		r.updatedAt = now
	}
}

func (r *decayingRate) add(now int64) {
	r.decay(now)
	r.count++
}

// perSecond is the rate of late.
func (r *decayingRate) perSecond(now int64) float64 {
	r.decay(now)
	return r.count / (rateDecayUS / 1e6)
}
