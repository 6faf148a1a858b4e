package kiteslip

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// check returns an error that names each setting which cannot be used.
func (s *Settings) check() error {
	var errs []error
	need := func(ok bool, name string, value any) {
		if !ok {
			errs = append(errs, fmt.Errorf("kiteslip: Settings.%s is %v", name, value))
		}
	}
	size := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	need(s.Cores > 0, "Cores", s.Cores)
	need(s.MemoryKB > 0 && size(s.MemoryKB), "MemoryKB", s.MemoryKB)
	need(size(s.RunFactor), "RunFactor", s.RunFactor)
	need(size(s.KeyKB), "KeyKB", s.KeyKB)
	need(size(s.CallShare), "CallShare", s.CallShare)
	need(s.IdleAfter >= 0, "IdleAfter", s.IdleAfter)
	need(size(s.MaxRunsPerCore), "CrowdMultiple", s.MaxRunsPerCore)
	need(s.ColdSpeed >= 0 && s.ColdSpeed <= 1, "ColdFrom", s.ColdSpeed)
	need(len(s.Classes) > 0, "Classes", s.Classes)
	// Nothing is worded for what is sound: there are thousands of entries, and Retune holds the loop meanwhile.
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Effect <= Once && c.TargetTime >= 0 && c.Timeout > 0 && c.Window >= 0 && size(c.Worth) {
			continue
		}
		at := fmt.Sprintf("Classes[%d].", i)
		need(c.Effect <= Once, at+"Effect", c.Effect)
		need(c.TargetTime >= 0, at+"Aim", c.TargetTime)
		need(c.Timeout > 0, at+"Limit", c.Timeout)
		need(c.Window >= 0, at+"Window", c.Window)
		need(size(c.Worth), at+"Worth", c.Worth)
	}
	for i := range s.Tenants {
		if quota := s.Tenants[i].Quota; !size(quota) {
			need(false, fmt.Sprintf("Tenants[%d].Quota", i), quota)
		}
	}
	return errors.Join(errs...)
}

// fill puts neutral values where a setting is absent.
func (s *Settings) fill() {
	s.RunFactor = max(s.RunFactor, 1)
	s.Workers, s.Callers = max(s.Workers, 1), max(s.Callers, 1)
	if s.Goal.Whole+s.Goal.WorstClass+s.Goal.WorstTenant <= 0 {
		s.Goal.Whole = 1
	}
}

// SetWarmup tells when the cores came up, and whether they were cold then, to a
// worker whose host learns it only after the start.
func (w *Worker) SetWarmup(cold bool, since int64) {
	w.set.JustStarted, w.born = cold, max(since, 0)
}

// use is what a pool has in hand.
type use struct {
	running, held int
	kb, ahead     float64 // memory booked; work that is ahead of the next one in the hold
	light         bool    // all that it holds could start in places of its own
}

// SetCeilings hands in the ceilings of the pools for the batches that follow; nil =
// there are none. They must name a pool for each class.
func (w *Worker) SetCeilings(c *Ceilings) {
	w.ceil = c
	if c == nil {
		w.uses = nil
	} else if len(w.uses) != len(c.Pools) {
		w.uses = make([]use, len(c.Pools))
	}
}

// Limit is how many requests may run by the running limit now.
func (w *Worker) Limit() int { return w.limit }

// pool returns what the pool of a class has and may have; nil = there are no pools.
func (w *Worker) pool(class int) (*use, *Ceiling) {
	if w.ceil == nil {
		return nil, nil
	}
	at := w.ceil.PoolOf[class]
	return &w.uses[at], &w.ceil.Pools[at]
}

// Reconfigure takes over new settings. Classes and tenants keep their places, new
// ones follow; what was learned stays. On an error nothing has changed. The
// slices in s are the worker's from then on: what changes in them comes by
// another Retune, which is cheaper with fresh slices.
func (w *Worker) Reconfigure(s Settings) error {
	if err := s.check(); err != nil {
		return err
	}
	if len(s.Classes) < len(w.classes) || len(s.Tenants) < len(w.set.Tenants) {
		return errors.New("kiteslip: a class or tenant has lost its place")
	}
	s.fill()
	s.JustStarted = w.set.JustStarted
	before := w.set
	w.set = s
	for _, c := range s.Classes[len(w.classes):] {
		w.classes = append(w.classes, class{base: float64(c.TargetTime) / firstGuess})
	}
	if more := len(s.Tenants) - len(w.tenants); more > 0 {
		w.tenants = append(w.tenants, make([]tenant, more)...)
	}
	w.allot(before.Tenants, before.Workers)
	if !unchanged(before.Classes, s.Classes) {
		w.weigh()
	}
	w.limit = max(w.limit, s.Cores)
	w.shared = s.Downstream == DownstreamShared && s.CallShare > 0 && s.CallShareWindow > 0
	w.budget = shareSafe * s.CallShare * float64(s.CallShareWindow)
	w.moveCalls(w.callLimit)
	return nil
}

// unchanged says whether nothing in a list has changed, as far as can be told: not where it was changed in place.
func unchanged[T comparable](before, now []T) bool {
	return len(before) > 0 && &before[0] != &now[0] && slices.Equal(before, now)
}

// find returns the request of that id, or nil.
func (w *Worker) find(id RequestID) *request {
	if i, ok := w.at[id]; ok {
		return &w.reqs[i]
	}
	return nil
}

// sweep drops what is over.
func (w *Worker) sweep() {
	n := 0
	for i := range w.reqs {
		if w.reqs[i].phase == over {
			delete(w.at, w.reqs[i].id)
			continue
		}
		if n != i {
			w.reqs[n] = w.reqs[i]
			w.at[w.reqs[n].id] = n
		}
		n++
	}
	w.reqs = w.reqs[:n]
}

// count adds up what is in hand. It is done anew for each batch, so that no error can build up.
func (w *Worker) count() {
	w.onCore, w.inHand, w.atCalls, w.out, w.memory = w.besideRuns, w.besideRuns, 0, 0, w.besideKB
	clear(w.uses)
	w.cheapRuns = 0
	for i := range w.reqs {
		r := &w.reqs[i]
		u, _ := w.pool(r.class)
		switch r.phase {
		case held, copying:
			w.memory += r.size
			if u != nil && r.phase == held {
				u.held++
				u.kb += r.size
			}
			continue
		case over:
			continue
		case running:
			w.onCore++
		case atCall:
			w.atCalls++
		case calling:
			w.out++
		}
		w.inHand++
		w.memory += r.size * w.set.RunFactor
		if u != nil {
			u.running++
			u.kb += r.size * w.set.RunFactor
			if r.class == w.ceil.CheapestClass {
				w.cheapRuns++
			}
		}
	}
	for i := range w.uses {
		u := &w.uses[i]
		u.light = u.held+u.running <= w.ceil.Pools[i].GuaranteedRuns
	}
	w.memory += float64(len(w.table)) * w.set.KeyKB
}

// offCore books the time that a run spent on the cores.
func (w *Worker) offCore(r *request) {
	if r.phase == running {
		r.wall += w.now - r.began
		r.work += w.share - r.mark
	}
}

// onto notes that a run is on the cores from now.
func (w *Worker) onto(r *request) {
	if w.onCore == w.besideRuns {
		w.progress = w.now
	}
	r.phase, r.began, r.mark = running, w.now, w.share
}

// callEnds notes that the call of r is over; an abandoned one may linger below.
func (w *Worker) callEnds(r *request, how Outcome) {
	for i := range w.calls {
		if c := &w.calls[i]; c.id != r.id || c.from != r.callAt {
			continue
		} else if how == TimedOut {
			c.until = min(c.until, w.now+w.set.MaxCallLinger)
		} else {
			c.until = min(c.until, w.now)
		}
	}
}
