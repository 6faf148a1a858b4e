// What is let in: the design's draw over memory, and the guards before it.

package kiteslip

import "math"

// top is the upper end of the band. On a small machine sixteen sizes would be most of its memory: room for
// what can be read before the next batch is enough, and one giant must not shut out all.
func (w *Worker) top() float64 {
	return max(w.set.MemoryKB-min(headroom, readRoom*float64(w.set.Cores))*w.largest, topFloor*w.set.MemoryKB)
}

// refuseChance is the design's draw: the probability of refusing an arrival at x kilobytes.
func refuseChance(x, top float64) float64 {
	start := bandStart * top
	switch {
	case x >= top:
		return 1
	case x < start:
		return 0
	}
	mid := (start + top) / 2
	k := -math.Log(1/bandEdge-1) / (top - mid)
	return 1 / (1 + math.Exp(-k*(x-mid)))
}

// admit passes the arrivals of the batch through the guards and the draw.
func (w *Worker) admit(acts []Action) []Action {
	for _, id := range w.fresh {
		r := w.find(id)
		if r == nil || r.phase != held {
			continue
		}
		c := &w.set.Classes[r.class]
		if r.head != 0 {
			if acts = w.repeat(r, acts); r.phase == copying || r.head != 0 {
				continue
			}
		}
		p := refuseChance(w.memory, w.top()) // the memory in use holds this arrival already
		if u, ceil := w.pool(r.class); ceil != nil {
			if u.held > ceil.MaxQueued || u.kb > ceil.MaxKB {
				acts = w.refuse(r, ceil.RetryAfter, false, acts)
				continue
			}
			if u.kb <= ceil.GuaranteedKB && p < 1 { // guards a pool's own memory against a flood that fills the rest
				p = 0
			}
		}
		draw := p >= 1 || p > 0 && w.rng.Float64() < p
		noRoom := c.Effect == Keyed && w.memory+w.set.KeyKB > w.top()
		leaving := w.stop != 0 && (!w.replaced && r.reached > w.drainAt+w.set.DrainGrace ||
			w.now >= w.stop-w.margin-min(leaveMargin, w.margin/2))
		// Guards against failing fast: what is refused can be served elsewhere.
		failing := w.failing > failTell && w.now < w.probeAt && w.rng.Float64() < w.failing
		if draw || noRoom || failing || leaving {
			acts = w.refuse(r, w.set.MaxRetryAfter, false, acts)
			continue
		}
		if w.failing > failTell {
			w.probeAt = w.now + failProbe
		}
		if c.Effect == Keyed {
			acts = w.keep(r, r.reached+c.Window+keyMargin, acts) // for its window, counted from its arrival
		} else if w.set.ReuseFor > 0 && c.Effect == Repeatable && p == 0 {
			acts = w.keep(r, max(r.aim, w.now+w.set.ReuseFor), acts)
		}
	}
	return acts
}
