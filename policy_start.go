// What begins next, within the limit, the crowd and the pools' places.

package kiteslip

// start begins held requests, best first, while the limit and the guards allow.
func (w *Worker) start(acts []Action) []Action {
	crowd, limit := w.crowd(), w.limit
	// Guards against a backlog that callers leave before it is read: they hear neither refusal nor advice then,
	// and send more. Half of the cores are left to reading until it is caught up.
	if w.unread > backlogAim*w.leastAim {
		limit = max(1, w.set.Cores/2)
	}
	// Guards against a few heavy runs that hold all places while others could be done beside them: these run
	// beyond the limit, and show that the cores get on. It harms where heavy runs crowd the cores already.
	limit += min(w.heavy, w.set.Cores)
	// What must be prepared before it begins is, while others run: no place waits for it. Not many at once:
	// what is prepared and then refused was prepared in vain.
	ahead := 0
	for _, i := range w.order {
		r := &w.reqs[i]
		if !w.set.Classes[r.class].Prepare || r.head != 0 || !r.asked && ahead >= w.set.Cores {
			continue
		}
		if ahead++; !r.asked {
			r.asked = true
			acts = append(acts, Action{Kind: Prepare, ID: r.id})
		}
	}
	if w.ceil != nil {
		limit = min(limit, max(1, w.ceil.MaxRuns))
	}
	for own := w.ceil != nil; ; own = false { // first what pools have of their own
		owed := 0
		if own {
			owed = w.owed(limit)
		}
		for _, i := range w.order {
			r := &w.reqs[i]
			if float64(w.onCore+w.out+1) > crowd || own && owed <= 0 || !own && w.onCore >= limit {
				break
			}
			if r.phase != held && r.phase != paused || r.head != 0 || r.answered || !w.fits(r, own, limit) ||
				w.set.Classes[r.class].Prepare && !r.ready {
				continue
			}
			if r.phase == held {
				// What runs and then waits for its call too long is lost, and a keyed one for good: it is held.
				if c := &w.set.Classes[r.class]; w.shared && c.CallsDownstream && c.SkipWorth == 0 &&
					(float64(w.must) >= w.callLimit || w.callNext > w.now+int64(w.classes[r.class].base*restShare)) {
					continue
				}
				more := r.size * (w.set.RunFactor - 1)
				if w.memory+more > w.top() && w.inHand > 0 || w.memory+more > w.set.MemoryKB {
					continue
				}
				w.memory += more
				w.inHand++
			}
			owed--
			r.ran = true
			w.onto(r)
			w.onCore++
			if u, _ := w.pool(r.class); u != nil {
				u.running, u.held = u.running+1, u.held-1
				if r.class == w.ceil.CheapestClass {
					w.cheapRuns++
				}
			}
			acts = append(acts, Action{Kind: Run, ID: r.id})
			acts = w.copies(r, acts)
		}
		if !own {
			return acts
		}
	}
}

// fits says whether the pool of r has a place for it: one of its own, beyond the limit too where it has some
// to spare, or any below its most.
func (w *Worker) fits(r *request, own bool, limit int) bool {
	u, c := w.pool(r.class)
	switch {
	case c == nil:
		return true
	case !own:
		return u.running < c.MaxRuns
	}
	spare := 0
	if r.class == w.ceil.CheapestClass {
		spare = w.ceil.CheapestReserved
	}
	return w.onCore < limit+spare && u.running < c.GuaranteedRuns || u.running < c.ReservedRuns || w.cheapRuns < spare
}

// owed is how many held requests may start in places of their pools' own, or beyond the limit.
func (w *Worker) owed(limit int) int {
	n := 0
	for i := range w.uses {
		u, c := &w.uses[i], &w.ceil.Pools[i]
		n += max(0, min(u.held, c.GuaranteedRuns-u.running))
	}
	n = min(n, max(0, limit-w.onCore))
	for i := range w.uses {
		u, c := &w.uses[i], &w.ceil.Pools[i]
		n += max(0, min(u.held, c.ReservedRuns-u.running))
	}
	if w.ceil.CheapestClass >= 0 {
		u, c := w.pool(w.ceil.CheapestClass)
		room := min(limit+w.ceil.CheapestReserved-w.onCore, c.GuaranteedRuns-u.running)
		n += max(0, min(u.held, max(room, w.ceil.CheapestReserved-w.cheapRuns)))
	}
	return n
}
