// The order of the hold, and what is turned away because it can't be answered in time.

package kiteslip

import (
	"cmp"
	"slices"
)

// gain is what serving r on time adds to the goal for its core time: its worth, less where its tenant is
// beyond its share, more where its class or tenant is the one served worst.
func (w *Worker) gain(r *request) float64 {
	g, in := w.set.Goal, w.inShare(r.tenant)
	worth := w.set.Classes[r.class].Worth * (in + (1-in)*w.set.OverShareWorth)
	if !w.set.WorthByWork {
		worth /= max(w.classes[r.class].base, 1) // else what a longer one costs more, it also earns more
	}
	class := w.lag(&w.classes[r.class].group, &w.allClasses)
	tenant := w.lag(&w.tenants[r.tenant].group, &w.allTenants)
	return worth * (g.Whole + g.WorstClass*class + g.WorstTenant*tenant)
}

// inShare is the part of a tenant's arrivals here that lies within its share. A tenant lags by what it is
// served of that part: counted by all it asks, a flood would pass for the worst served.
//
// Where less than one arrival is due here within the memory, most of the one that is judged is beyond its
// share. Counting one such arrival as within was tried: what the fleet counts as beyond went first then.
func (w *Worker) inShare(tenant int) float64 {
	if w.set.Stage > 0 || tenant >= len(w.set.Tenants) {
		return 1
	}
	t := &w.tenants[tenant]
	rate, share := w.fading.touch(&t.group).arrived/(rateOver/1e6), t.share
	return min(1, share/max(rate, 1e-9))
}

// lag is the weight of one group's share in the goal, by how far it falls behind all.
func (w *Worker) lag(g, all *group) float64 {
	w.fading.touch(g)
	asked := all.asked + 1e-9
	if g.asked < 1 {
		return 1
	}
	behind := (all.served/asked - g.served/g.asked) / lagFull
	return max(0, min(1, behind)) * asked / g.asked
}

// better orders two requests: the denser first, then the earlier aim; while the wait is too long the newest:
// in turn all would be just in time here, too late for those with earlier tries. A pool that can start all it
// holds in places of its own has no such wait.
func better(x, y place) int {
	if dense := cmp.Compare(y.density, x.density); dense != 0 {
		return dense
	}
	if aim := cmp.Compare(x.aim, y.aim); aim != 0 && x.newest {
		return -aim
	} else if aim != 0 {
		return aim
	}
	return cmp.Compare(x.id, y.id)
}

// place is what orders request i.
func (w *Worker) place(i int) place {
	r := &w.reqs[i]
	newest := w.pressure > 1 && (w.ceil == nil || !w.uses[w.ceil.PoolOf[r.class]].light)
	return place{density: r.density, aim: r.aim, id: r.id, index: int32(i), newest: newest}
}

// shed orders the hold, refuses what cannot be answered in time, and keeps the memory under its top.
func (w *Worker) shed(acts []Action) []Action {
	w.places = w.places[:0]
	ahead := 0.0
	w.must, w.wanting, w.heavy = 0, 0, 0
	for i := range w.reqs {
		r := &w.reqs[i]
		switch r.phase {
		case held, paused:
			if r.head != 0 || r.answered {
				continue
			}
			if c := &w.set.Classes[r.class]; c.CallsDownstream && c.SkipWorth == 0 {
				w.wanting++
			}
			r.density = w.gain(r)
			if r.late {
				r.density *= w.set.Classes[r.class].LateWorth
			}
			w.places = append(w.places, w.place(i))
		case running, atCall, calling:
			b := w.classes[r.class].base
			if r.phase == atCall && !r.answered && w.set.Classes[r.class].SkipWorth == 0 {
				w.must++
			}
			done := r.work
			if r.phase == running {
				done += w.share - r.mark
			}
			if done > heavyRun*b {
				w.heavy++
			}
			ahead += max(b-done, b*restShare)
			if u, _ := w.pool(r.class); u != nil {
				u.ahead += max(b-done, b*restShare)
			}
		}
	}
	slices.SortFunc(w.places, better)
	cores := float64(w.set.Cores)
	tail := 0.0
	kept := w.order[:0]
	for _, p := range w.places {
		r := &w.reqs[p.index]
		b := w.classes[r.class].base
		begin, hope := 0.0, r.aim
		if w.onCore >= w.limit || len(kept) > 0 {
			hope = r.hope
			begin = max(0, ahead/cores-w.meanBase/2)
		}
		u, ceil := w.pool(r.class)
		if ceil != nil && ceil.GuaranteedCores > 0 { // what is a pool's own does not wait behind others
			begin = min(begin, u.ahead/ceil.GuaranteedCores)
		}
		c := &w.set.Classes[r.class]
		finish := w.now + int64(begin+b*runAllowance+w.classes[r.class].wait)
		aim := min(hope, w.end(r))
		if finish > aim && r.phase == held {
			if c.LateWorth > 0 && finish <= w.end(r) && w.now < r.aim {
				r.late = true
			} else if w.classes[r.class].runs > 0 && w.inHand > 0 {
				// Guards against tries that walk on: each is read again, at a cost, until readings alone fill the fleet.
				// What had its chance here stays refused; it hurts where others idle.
				acts = w.refuse(r, w.away(finish-aim, c), true, acts)
				continue
			}
		}
		tail = max(tail, begin)
		ahead += b
		if u != nil {
			u.ahead += b
		}
		kept = append(kept, int(p.index))
	}
	w.pressure = max((tail+w.unread)/(holdAim*w.meanAim), w.unread/(unreadAim*w.leastAim))
	w.order, w.tail = kept, int64(tail)
	// Memory: over the top the least valuable held requests go first.
	for n := len(w.order) - 1; n >= 0 && w.memory > w.top(); n-- {
		r := &w.reqs[w.order[n]]
		if r.phase == held {
			acts = w.refuse(r, w.set.MaxRetryAfter, false, acts)
		}
	}
	return acts
}
