// Keys: what is retained, and how duplicates are answered.

package kiteslip

import "slices"

// retain adds a key entry for r that lasts until the given time.
func (w *Worker) retain(r *request, until int64, acts []Action) []Action {
	until = max(until, w.now+1)
	r.retained = true
	w.keyTable = append(w.keyTable, keyEntry{r.id, until})
	w.memoryKB += w.cfg.KeyKB
	return append(acts, Action{Kind: Retain, ID: r.id, After: until - w.now})
}

// handleDuplicate decides about an arrival that duplicates a retained request: it waits while the original is
// queued, and is served from its result once that has started.
func (w *Worker) handleDuplicate(r *request, acts []Action) []Action {
	original := w.find(r.duplicateOf)
	for n := 0; original != nil && original.phase == queued && original.duplicateOf != 0 && n < 64; n++ {
		original = w.find(original.duplicateOf)
	}
	keyed := w.cfg.Classes[r.class].Effect == Keyed
	switch {
	case original == r:
		r.duplicateOf = 0
	case original != nil && original.phase == queued && !original.ran:
		if r.duplicateOf = 0; keyed {
			r.duplicateOf = original.id
		}
	case original != nil && original.phase == finished && (!keyed || !original.ran):
		r.duplicateOf = 0
	case w.memoryKB+float64(w.cfg.Cores)*w.largestKB > w.cfg.MemoryKB:
		// Duplicates that await one result can be neither refused nor shed: they must not fill the memory.
		acts = w.fail(r, acts)
	default:
		r.duplicateOf, r.ran, r.phase = 0, true, awaitingResult
		acts = append(acts, Action{Kind: Reuse, ID: r.id})
	}
	return acts
}

// serveDuplicates lets the queued duplicates of a request that has just started await its result.
func (w *Worker) serveDuplicates(r *request, acts []Action) []Action {
	if !r.retained {
		return acts
	}
	for i := range w.reqs {
		if dup := &w.reqs[i]; dup.duplicateOf == r.id && dup.phase == queued {
			dup.duplicateOf, dup.ran, dup.phase = 0, true, awaitingResult
			acts = append(acts, Action{Kind: Reuse, ID: dup.id})
		}
	}
	return acts
}

// remove ends a request that is not running. If it never ran, its oldest duplicate replaces it.
func (w *Worker) remove(r *request, acts []Action) []Action {
	prevPhase := r.phase
	r.phase = finished
	w.memoryKB -= r.sizeKB
	if u, _ := w.pool(r.class); u != nil && prevPhase == queued {
		u.queued, u.kb = u.queued-1, u.kb-r.sizeKB
	}
	if prevPhase != queued || r.ran || !r.retained {
		return acts
	}
	r.retained = false
	w.keyTable = slices.DeleteFunc(w.keyTable, func(e keyEntry) bool { return e.id == r.id })
	acts = append(acts, Action{Kind: Forget, ID: r.id})
	successor := RequestID(0)
	for i := range w.reqs {
		dup := &w.reqs[i]
		if dup.duplicateOf != r.id || dup.phase != queued {
			continue
		}
		if dup.duplicateOf = successor; successor == 0 {
			successor = dup.id
			acts = w.retain(dup, dup.arrivedAt+w.cfg.Classes[dup.class].Window+keyMarginUS, acts)
		}
	}
	return acts
}
