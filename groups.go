// The books on classes and tenants: what is asked and served, with a fading memory, and the sums over all.
//
// A batch costs by what it touches, not by how many classes and tenants there are: a group fades when it is
// touched, from its last touch; the sums over all fade as one, since all fade alike; and what a class weighs
// in the means is taken in where it changes. No sum can drift away: the fading ones only add what is positive,
// or move by what a base moved, and their rounding errors fade with what they belong to; the one that does
// not fade carries its rounding error along. Retune adds all up anew.

package kiteslip

import (
	"math"
	"math/bits"
	"slices"
)

// group is what is known of a class or tenant, as of its last touch.
type group struct {
	asked, served float64 // worth, with the memory rateOver
	arrived       float64 // requests, with the memory rateOver
	at            int64   // of the last touch
}

// class is what is known of a class, in one cache line: that of thousands lies cold when its request comes.
type class struct {
	group
	base, runs, wait float64 // mean work of a run, runs so far, mean time of a run at calls
	rank             int     // of its aim in byAim, see weights
}

// tenant is what is known of a tenant, and its quota divided by the workers, in requests a second. It fills a
// cache line, for that of one of thousands lies cold.
type tenant struct {
	group
	share float64
	_     [3]float64
}

// fading is the clock of what fades: this batch, the one before, and what is left since.
type fading struct {
	now, before int64
	step        float64
}

// next moves the clock to a batch at now, dt after the last.
func (f *fading) next(now, dt int64) {
	f.now, f.before = now, now-dt
	f.step = math.Exp(-float64(dt) / rateOver)
}

// touch returns g as it is now. What is touched in each batch costs no exponential.
func (f *fading) touch(g *group) *group {
	if g.at == f.now {
		return g
	}
	left := f.step
	if g.at != f.before {
		left = math.Exp(-float64(max(0, f.now-g.at)) / rateOver) // the first touch may lie before a clock's zero
	}
	g.asked, g.served, g.arrived, g.at = g.asked*left, g.served*left, g.arrived*left, f.now
	return g
}

// sum adds numbers of both signs for as long as a process lives: low is the rounding error so far
// (Neumaier's compensated sum).
type sum struct{ high, low float64 }

func (s *sum) add(x float64) {
	t := s.high + x
	back := t - s.high
	s.low += (s.high - (t - back)) + (x - back)
	s.high = t
}

// weights are the sums over the classes that the means are ratios of. A class weighs what is asked of it,
// in requests, which fades, and a trifle, which does not.
type weights struct {
	asked, askedBase, askedAim float64 // fading: of weights, of weights times bases, and times aims
	bases                      sum
	aims                       float64  // of all classes
	live                       []uint64 // a bit for each of byAim: it may be lively
	byAim                      []aimed  // by aim, the shortest first
}

// inRequests is what of a class weighs as much as worth x of it.
func (c *Class) inRequests(x float64) float64 { return x / max(c.Worth, 1e-9) }

// aimed is one aim that classes have, and until when one of them at least weighs enough to be minded.
type aimed struct {
	aim   float64
	until int64
}

// ask books that worth x is asked of a class.
func (w *Worker) ask(class int, x float64) {
	g := w.fading.touch(&w.classes[class].group)
	g.asked += x
	w.allClasses.asked += x
	c, m := &w.set.Classes[class], &w.weights
	k := c.inRequests(x)
	m.asked += k
	m.askedBase += k * w.classes[class].base
	m.askedAim += k * float64(c.TargetTime)
	w.enliven(class, c.inRequests(g.asked))
}

// enliven notes until when a class that weighs so much now will be minded for its aim.
func (w *Worker) enliven(class int, asked float64) {
	if asked > lively-trifle {
		rank := w.classes[class].rank
		at := &w.weights.byAim[rank]
		at.until = max(at.until, w.fading.now+int64(math.Ceil(rateOver*math.Log(asked/(lively-trifle)))))
		w.weights.live[rank/64] |= 1 << (rank % 64)
	}
}

// askTenant books that worth x is asked for by a tenant.
func (w *Worker) askTenant(tenant int, x float64) {
	w.fading.touch(&w.tenants[tenant].group).asked += x
	w.allTenants.asked += x
}

// serve books worth x that was served on time.
func (w *Worker) serve(class, tenant int, x float64) {
	w.fading.touch(&w.classes[class].group).served += x
	w.fading.touch(&w.tenants[tenant].group).served += x
	w.allClasses.served += x
	w.allTenants.served += x
}

// rebase sets the base of a class.
func (w *Worker) rebase(class int, base float64) {
	k := w.set.Classes[class].inRequests(w.fading.touch(&w.classes[class].group).asked)
	w.weights.askedBase += k * (base - w.classes[class].base)
	w.weights.bases.add(base)
	w.weights.bases.add(-w.classes[class].base)
	w.classes[class].base = base
}

// fadeAll lets the sums fade by what is left since the batch before.
func (w *Worker) fadeAll() {
	left, m := w.fading.step, &w.weights
	w.allClasses.asked, w.allClasses.served = w.allClasses.asked*left, w.allClasses.served*left
	w.allTenants.asked, w.allTenants.served = w.allTenants.asked*left, w.allTenants.served*left
	m.asked, m.askedBase, m.askedAim = m.asked*left, m.askedBase*left, m.askedAim*left
}

// shortestAim is the shortest aim among the classes that weigh enough, and the first one.
func (w *Worker) shortestAim() float64 {
	m := &w.weights
	shortest := float64(w.set.Classes[0].TargetTime)
	for i, word := range m.live {
		for ; word != 0; word &= word - 1 {
			bit := bits.TrailingZeros64(word)
			if at := m.byAim[i*64+bit]; at.until > w.fading.now {
				return min(shortest, at.aim)
			}
			m.live[i] &^= 1 << bit
		}
	}
	return shortest
}

// allot works out what is due here of each quota that is another than before, or of all where that can't be
// told.
func (w *Worker) allot(before []Tenant, workers int) {
	now := w.set.Tenants
	all := workers != w.set.Workers || len(before) > 0 && &before[0] == &now[0]
	for i := range now {
		if all || i >= len(before) || before[i] != now[i] {
			w.tenants[i].share = now[i].Quota / float64(w.set.Workers)
		}
	}
}

// weigh adds the weights of all classes up anew, for new settings. It takes time for each class.
func (w *Worker) weigh() {
	m, classes := &w.weights, w.set.Classes
	aims := make([]float64, len(classes))
	for i := range classes {
		aims[i] = float64(classes[i].TargetTime)
	}
	slices.Sort(aims)
	aims = slices.Compact(aims)
	*m = weights{live: make([]uint64, len(aims)/64+1), byAim: make([]aimed, len(aims))}
	for i, aim := range aims {
		m.byAim[i] = aimed{aim, math.MinInt64}
	}
	for i := range classes {
		aim := float64(classes[i].TargetTime)
		w.classes[i].rank, _ = slices.BinarySearch(aims, aim)
		m.bases.add(w.classes[i].base)
		m.aims += aim
		if k := classes[i].inRequests(w.fading.touch(&w.classes[i].group).asked); k > 0 {
			m.asked += k
			m.askedBase += k * w.classes[i].base
			m.askedAim += k * aim
			w.enliven(i, k)
		}
	}
}
