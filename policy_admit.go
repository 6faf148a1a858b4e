// Admission: the draw by the memory in use, and the checks before it.

package kiteslip

import "math"

// memoryTop returns the upper end of the draw's band. On a small machine headroomSizes would be most of its
// memory: room for what is read before the next batch is enough. One large request must not block all others.
func (w *Worker) memoryTop() float64 {
	return max(w.cfg.MemoryKB-min(headroomSizes, headroomSizesPerCore*float64(w.cfg.Cores))*w.largestKB,
		minTopShare*w.cfg.MemoryKB)
}

// refuseChance is the admission draw: the probability of refusing an arrival with x kilobytes in use.
func refuseChance(x, top float64) float64 {
	start := bandStartRatio * top
	switch {
	case x >= top:
		return 1
	case x < start:
		return 0
	}
	mid := (start + top) / 2
	k := -math.Log(1/bandEdgeProb-1) / (top - mid)
	return 1 / (1 + math.Exp(-k*(x-mid)))
}

// admit applies the checks and the draw to the arrivals of the batch.
func (w *Worker) admit(acts []Action) []Action {
	for _, id := range w.arrived {
		r := w.find(id)
		if r == nil || r.phase != queued {
			continue
		}
		c := &w.cfg.Classes[r.class]
		if r.duplicateOf != 0 {
			if acts = w.handleDuplicate(r, acts); r.phase == awaitingResult || r.duplicateOf != 0 {
				continue
			}
		}
		p := refuseChance(w.memoryKB, w.memoryTop()) // memoryKB includes this arrival already
		if u, ceil := w.pool(r.class); ceil != nil {
			if u.queued > ceil.MaxQueued || u.kb > ceil.MaxKB {
				acts = w.refuse(r, ceil.RetryAfter, false, acts)
				continue
			}
			if u.kb <= ceil.GuaranteedKB && p < 1 { // protects a pool's memory from a flood elsewhere
				p = 0
			}
		}
		draw := p >= 1 || p > 0 && w.rng.Float64() < p
		noRoom := c.Effect == Keyed && w.memoryKB+w.cfg.KeyKB > w.memoryTop()
		stopping := w.stopAt != 0 && (!w.handedOver && r.arrivedAt > w.drainSince+w.cfg.DrainGrace ||
			w.now >= w.stopAt-w.stopMargin-min(admitMarginUS, w.stopMargin/2))
		// Fast failures would attract requests: what is refused can be served elsewhere.
		failing := w.failureRate > sheddingFailureRate && w.now < w.nextProbe && w.rng.Float64() < w.failureRate
		if draw || noRoom || failing || stopping {
			acts = w.refuse(r, w.cfg.MaxRetryAfter, false, acts)
			continue
		}
		if w.failureRate > sheddingFailureRate {
			w.nextProbe = w.now + failProbeIntervalUS
		}
		if c.Effect == Keyed {
			acts = w.retain(r, r.arrivedAt+c.Window+keyMarginUS, acts) // its window counts from its arrival
		} else if w.cfg.ReuseFor > 0 && c.Effect == Repeatable && p == 0 {
			acts = w.retain(r, max(r.softDeadline, w.now+w.cfg.ReuseFor), acts)
		}
	}
	return acts
}
