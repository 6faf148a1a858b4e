// Usage of classes and tenants: worth requested and served, with decay, and the sums over all of them.
//
// The cost of a batch depends on what it touches, not on the number of classes and tenants: the usage of each
// decays when it is used, from its last update; the sums over all decay together, since all decay alike; and
// the weight of a class in the means is updated where it changes. No sum drifts: the decaying ones only add
// positive values, or move by the change of a mean work, and their rounding errors decay with them; the one
// that does not decay is a compensated sum. Reconfigure computes all of them anew.

package kiteslip

import (
	"math"
	"math/bits"
	"slices"
)

// usage is the usage of a class or tenant, as of its last update.
type usage struct {
	requested, served float64 // worth, decaying
	arrived           float64 // requests, decaying
	updatedAt         int64
}

// class is the state of a class. It fills one cache line: with thousands of classes it is not in the cache
// when a request arrives.
type class struct {
	usage
	meanWork, runs, meanCallTime float64 // mean work of a run, number of runs, mean time of a run at calls
	targetRank                   int     // index of its target time in byTarget, see classWeights
}

// tenant is the usage of a tenant, and its quota divided by the workers, in requests per second. It fills one
// cache line: with thousands of tenants it is not in the cache when a request arrives.
type tenant struct {
	usage
	share float64
	_     [3]float64
}

// decay is the clock of decay: the time of this batch and of the one before, and the decay factor between
// them.
type decay struct {
	now, prev int64
	factor    float64
}

// advance moves the clock to a batch at now, dt after the last.
func (d *decay) advance(now, dt int64) {
	d.now, d.prev = now, now-dt
	d.factor = math.Exp(-float64(dt) / decayTimeUS)
}

// refresh applies decay to u up to now and returns it. What is used in each batch costs no exponential.
func (d *decay) refresh(u *usage) *usage {
	if u.updatedAt == d.now {
		return u
	}
	factor := d.factor
	if u.updatedAt != d.prev {
		factor = math.Exp(-float64(max(0, d.now-u.updatedAt)) / decayTimeUS) // updatedAt may be before 0
	}
	u.requested, u.served, u.arrived, u.updatedAt = u.requested*factor, u.served*factor, u.arrived*factor, d.now
	return u
}

// compensatedSum adds numbers of both signs over the lifetime of a process (Neumaier's algorithm): low is the
// rounding error so far.
type compensatedSum struct{ high, low float64 }

func (s *compensatedSum) add(x float64) {
	t := s.high + x
	back := t - s.high
	s.low += (s.high - (t - back)) + (x - back)
	s.high = t
}

// classWeights are the sums over the classes that the means are computed from. The weight of a class is the
// worth requested of it, in requests, which decays, plus minClassWeight, which does not.
type classWeights struct {
	total, totalWork, totalTarget float64 // decaying: of weights, times mean work, and times target time
	sumWork                       compensatedSum
	sumTargets                    float64       // of all classes
	active                        []uint64      // a bit for each of byTarget: it may be active
	byTarget                      []targetEntry // ascending by target time
}

// worthInRequests converts worth x to a number of requests of the class.
func (c *Class) worthInRequests(x float64) float64 { return x / max(c.Worth, 1e-9) }

// targetEntry is a target time, and until when a class that has it is active, i.e. weighs over
// activeClassWeight.
type targetEntry struct {
	target      float64
	activeUntil int64
}

// recordRequested adds worth x that was requested of a class.
func (w *Worker) recordRequested(class int, x float64) {
	u := w.decay.refresh(&w.classes[class].usage)
	u.requested += x
	w.allClasses.requested += x
	c, m := &w.cfg.Classes[class], &w.weights
	k := c.worthInRequests(x)
	m.total += k
	m.totalWork += k * w.classes[class].meanWork
	m.totalTarget += k * float64(c.TargetTime)
	w.markActive(class, c.worthInRequests(u.requested))
}

// markActive extends the time during which a class of this weight is active.
func (w *Worker) markActive(class int, weight float64) {
	if weight > activeClassWeight-minClassWeight {
		rank := w.classes[class].targetRank
		entry := &w.weights.byTarget[rank]
		entry.activeUntil = max(entry.activeUntil,
			w.decay.now+int64(math.Ceil(decayTimeUS*math.Log(weight/(activeClassWeight-minClassWeight)))))
		w.weights.active[rank/64] |= 1 << (rank % 64)
	}
}

// recordTenantRequested adds worth x that was requested by a tenant.
func (w *Worker) recordTenantRequested(tenant int, x float64) {
	w.decay.refresh(&w.tenants[tenant].usage).requested += x
	w.allTenants.requested += x
}

// recordServed adds worth x that was served in time.
func (w *Worker) recordServed(class, tenant int, x float64) {
	w.decay.refresh(&w.classes[class].usage).served += x
	w.decay.refresh(&w.tenants[tenant].usage).served += x
	w.allClasses.served += x
	w.allTenants.served += x
}

// setMeanWork sets the mean work of a class.
func (w *Worker) setMeanWork(class int, mean float64) {
	k := w.cfg.Classes[class].worthInRequests(w.decay.refresh(&w.classes[class].usage).requested)
	w.weights.totalWork += k * (mean - w.classes[class].meanWork)
	w.weights.sumWork.add(mean)
	w.weights.sumWork.add(-w.classes[class].meanWork)
	w.classes[class].meanWork = mean
}

// decayTotals applies the decay since the previous batch to the sums.
func (w *Worker) decayTotals() {
	factor, m := w.decay.factor, &w.weights
	w.allClasses.requested, w.allClasses.served = w.allClasses.requested*factor, w.allClasses.served*factor
	w.allTenants.requested, w.allTenants.served = w.allTenants.requested*factor, w.allTenants.served*factor
	m.total, m.totalWork, m.totalTarget = m.total*factor, m.totalWork*factor, m.totalTarget*factor
}

// shortestTarget returns the shortest target time of the active classes and of the first class.
func (w *Worker) shortestTarget() float64 {
	m := &w.weights
	shortest := float64(w.cfg.Classes[0].TargetTime)
	for i, word := range m.active {
		for ; word != 0; word &= word - 1 {
			bit := bits.TrailingZeros64(word)
			if entry := m.byTarget[i*64+bit]; entry.activeUntil > w.decay.now {
				return min(shortest, entry.target)
			}
			m.active[i] &^= 1 << bit
		}
	}
	return shortest
}

// updateTenantShares computes this worker's share of each quota that has changed, or of all quotas if the
// number of workers has changed or the list was changed in place.
func (w *Worker) updateTenantShares(before []Tenant, workers int) {
	now := w.cfg.Tenants
	all := workers != w.cfg.Workers || len(before) > 0 && &before[0] == &now[0]
	for i := range now {
		if all || i >= len(before) || before[i] != now[i] {
			w.tenants[i].share = now[i].Quota / float64(w.cfg.Workers)
		}
	}
}

// rebuildWeights computes the weights of all classes anew, for new settings, in time proportional to their
// number.
func (w *Worker) rebuildWeights() {
	m, classes := &w.weights, w.cfg.Classes
	targets := make([]float64, len(classes))
	for i := range classes {
		targets[i] = float64(classes[i].TargetTime)
	}
	slices.Sort(targets)
	targets = slices.Compact(targets)
	*m = classWeights{active: make([]uint64, len(targets)/64+1), byTarget: make([]targetEntry, len(targets))}
	for i, target := range targets {
		m.byTarget[i] = targetEntry{target, math.MinInt64}
	}
	for i := range classes {
		target := float64(classes[i].TargetTime)
		w.classes[i].targetRank, _ = slices.BinarySearch(targets, target)
		m.sumWork.add(w.classes[i].meanWork)
		m.sumTargets += target
		if k := classes[i].worthInRequests(w.decay.refresh(&w.classes[i].usage).requested); k > 0 {
			m.total += k
			m.totalWork += k * w.classes[i].meanWork
			m.totalTarget += k * target
			w.markActive(i, k)
		}
	}
}
