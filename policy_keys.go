// Keys: what is recorded, and what a repeat gets.

package kiteslip

import "slices"

// keep records r until then.
func (w *Worker) keep(r *request, until int64, acts []Action) []Action {
	until = max(until, w.now+1)
	r.kept = true
	w.table = append(w.table, entry{r.id, until})
	w.memory += w.set.KeyKB
	return append(acts, Action{Kind: Retain, ID: r.id, After: until - w.now})
}

// repeat deals with an arrival that repeats a kept request: it waits while that is held, and is served from
// its result once it has begun.
func (w *Worker) repeat(r *request, acts []Action) []Action {
	head := w.find(r.head)
	for n := 0; head != nil && head.phase == held && head.head != 0 && n < 64; n++ {
		head = w.find(head.head)
	}
	keyed := w.set.Classes[r.class].Effect == Keyed
	switch {
	case head == r:
		r.head = 0
	case head != nil && head.phase == held && !head.ran:
		if r.head = 0; keyed {
			r.head = head.id
		}
	case head != nil && head.phase == over && (!keyed || !head.ran):
		r.head = 0
	case w.memory+float64(w.set.Cores)*w.largest > w.set.MemoryKB:
		// Guards against repeats that pile up behind one run: these can neither be refused nor shed.
		acts = w.fail(r, acts)
	default:
		r.head, r.ran, r.phase = 0, true, copying
		acts = append(acts, Action{Kind: Reuse, ID: r.id})
	}
	return acts
}

// copies serves the held repeats of a request that has just begun.
func (w *Worker) copies(r *request, acts []Action) []Action {
	if !r.kept {
		return acts
	}
	for i := range w.reqs {
		if t := &w.reqs[i]; t.head == r.id && t.phase == held {
			t.head, t.ran, t.phase = 0, true, copying
			acts = append(acts, Action{Kind: Reuse, ID: t.id})
		}
	}
	return acts
}

// leave ends a request that is not running. If it never ran, its oldest repeat takes its place.
func (w *Worker) leave(r *request, acts []Action) []Action {
	was := r.phase
	r.phase = over
	w.memory -= r.size
	if u, _ := w.pool(r.class); u != nil && was == held {
		u.held, u.kb = u.held-1, u.kb-r.size
	}
	if was != held || r.ran || !r.kept {
		return acts
	}
	r.kept = false
	w.table = slices.DeleteFunc(w.table, func(e entry) bool { return e.id == r.id })
	acts = append(acts, Action{Kind: Forget, ID: r.id})
	next := RequestID(0)
	for i := range w.reqs {
		t := &w.reqs[i]
		if t.head != r.id || t.phase != held {
			continue
		}
		if t.head = next; next == 0 {
			next = t.id
			acts = w.keep(t, t.reached+w.set.Classes[t.class].Window+keyMargin, acts)
		}
	}
	return acts
}
