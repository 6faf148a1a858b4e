// Due times, the drain, and what is answered without a run.

package kiteslip

// end is the last moment for an answer: two ticks and a timer before it is due.
func (w *Worker) end(r *request) int64 {
	end := r.due - 2*w.set.Tick - busyTimer
	if w.stop != 0 {
		end = min(end, w.stop-w.margin)
	}
	return end
}

// earnUntil is the last moment at which an answer earns anything.
func (w *Worker) earnUntil(r *request) int64 {
	if w.set.Classes[r.class].LateWorth > 0 {
		return w.end(r)
	}
	return min(w.end(r), r.aim)
}

// away is how long a caller should stay away that came so much too late to be served in time. Guards
// against a line that never gets shorter: advice of just that much brings all back at once, when others
// have come too, and what callers spread evenly stays with the slow. It harms where one caller sends most.
func (w *Worker) away(over int64, c *Class) int64 {
	return int64(awayTimes*float64(over) + awayAim*float64(c.TargetTime))
}

// refuse answers a request that never ran, or that may run again.
func (w *Worker) refuse(r *request, after int64, last bool, acts []Action) []Action {
	w.refused += learn
	acts = append(acts, Action{Kind: Refuse, ID: r.id, After: min(max(0, after), w.set.MaxRetryAfter), On: last})
	return w.drop(r, acts)
}

// fail answers a request that may have run. Guards against storms of tries that outlive their cause: callers
// answer an error with another try, too late to earn; a refusal that asks for none ends it. It harms where a
// caller would have had the time.
func (w *Worker) fail(r *request, acts []Action) []Action {
	if w.set.Classes[r.class].Effect == Repeatable {
		return w.refuse(r, 0, w.stop == 0, acts) // others may take what a drain cut short
	}
	return w.drop(r, append(acts, Action{Kind: Fail, ID: r.id}))
}

// drop ends what is answered or left by its caller. Work on the cores is stopped where that is allowed,
// unless a repeat may yet want its result.
func (w *Worker) drop(r *request, acts []Action) []Action {
	r.answered = true
	if r.phase == held || r.phase == copying || r.phase == paused {
		return w.leave(r, acts)
	}
	if r.phase != running || w.set.Stop == StopNever || w.set.Classes[r.class].Effect != Repeatable {
		return acts
	}
	return append(acts, Action{Kind: Halt, ID: r.id})
}

// settle answers all that is due, and gives up what can earn nothing more.
func (w *Worker) settle(acts []Action) []Action {
	for i := range w.reqs {
		r := &w.reqs[i]
		if r.answered || r.phase == over {
			continue
		}
		safe, past := w.set.Classes[r.class].Effect == Repeatable, w.now >= w.earnUntil(r)
		switch {
		case r.phase == held && past && (safe || !r.ran):
			acts = w.refuse(r, w.away(w.tail, &w.set.Classes[r.class]), true, acts)
		case r.phase == held && r.ran && !safe, // a stop lost its work: neither run again nor refused
			w.now >= w.end(r),
			past && (safe || r.phase == atCall) && (r.phase != running || w.set.Stop != StopNever):
			acts = w.fail(r, acts)
		}
	}
	return acts
}
