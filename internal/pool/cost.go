package pool

import "math"

// cost is what is known of one class.
type cost struct {
	waiting, running int
	heldKB, ranKB    float64
	base             float64 // work of one run: follows down soon and up slowly
	mean             float64 // ... and the plain mean
	seen             int
	at               int64
}

const (
	learnDown = 0.2       // weight of a run that took less work than the base
	learnUp   = 0.03      // ... and of one that took more
	learnMean = 0.15      // weight in the mean once enough were seen
	upWithin  = 4_000_000 // a base that is too low has caught up most of the way by then, however few runs there are
	cheapSeen = 20        // runs of a class before it can be the cheapest
	cheapGap  = 0.85      // another class has to cost less than this part to take its place
)

// learn takes in the work of one run. The base is a low mean: half of the runs
// lie above it by chance alone, and a crowded machine must not pass for a slow
// one at once; but a machine that got slow must be known as such in seconds.
func (k *cost) learn(now int64, work float64) {
	work = max(work, 1)
	k.seen++
	if k.seen == 1 {
		k.base, k.mean, k.at = work, work, now
		return
	}
	weight := max(learnMean, 1/float64(k.seen))
	k.mean += (work - k.mean) * weight
	first := 1 / float64(k.seen)
	up := max(learnUp, float64(now-k.at)/upWithin, first)
	k.at = now
	if work < k.base {
		k.base += (work - k.base) * max(learnDown, first)
	} else {
		k.base += (work - k.base) * min(up, max(learnDown, first))
	}
}

// findCheapest keeps the class that costs least for one request.
func (b *Allocator) findCheapest() {
	best := -1
	for c := range b.classes {
		if k := &b.classes[c]; k.seen >= cheapSeen && (best < 0 || k.mean < b.classes[best].mean) {
			best = c
		}
	}
	if best < 0 || best == b.cheap {
		return
	}
	if b.cheap < 0 || b.classes[best].mean < cheapGap*b.classes[b.cheap].mean {
		b.cheap = best
	}
}

// CheapestClass is the class that does the least work for one request, as learned;
// -1 = not known yet.
func (b *Allocator) CheapestClass() int { return b.cheap }

// rate counts events a second with a fading memory.
type rate struct {
	n  float64
	at int64
}

const (
	rateOver = 2e6
	rateStep = 10_000 // finer steps change nothing that matters
)

func (r *rate) fade(now int64) {
	if now-r.at > rateStep {
		r.n *= math.Exp(-float64(now-r.at) / rateOver)
		r.at = now
	}
}

func (r *rate) add(now int64) {
	r.fade(now)
	r.n++
}

// perSecond is the rate of late.
func (r *rate) perSecond(now int64) float64 {
	r.fade(now)
	return r.n / (rateOver / 1e6)
}
