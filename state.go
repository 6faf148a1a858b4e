package kiteslip

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// check returns an error that names each unusable setting, by the names of the platform's page
// (Class.TargetTime is Aim there, Class.Timeout Limit, MaxRunsPerCore CrowdMultiple, ColdSpeed ColdFrom).
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
	// No text is formatted for valid entries: there are thousands, and the loop is blocked during Reconfigure.
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

// setDefaults sets neutral values where a setting is absent.
func (s *Settings) setDefaults() {
	s.RunFactor = max(s.RunFactor, 1)
	s.Workers, s.Callers = max(s.Workers, 1), max(s.Callers, 1)
	if s.Goal.Whole+s.Goal.WorstClass+s.Goal.WorstTenant <= 0 {
		s.Goal.Whole = 1
	}
}

// SetWarmup tells the worker when the cores were started and whether they were cold then, for hosts that
// learn it only after the worker's start.
func (w *Worker) SetWarmup(cold bool, since int64) {
	w.cfg.JustStarted, w.startedAt = cold, max(since, 0)
}

// poolUsage is what the requests of a pool use.
type poolUsage struct {
	running, queued int
	kb, workAhead   float64 // memory booked; work ahead of the next request in the queue
	withinGuarantee bool    // its whole queue could start in guaranteed slots
}

// SetCeilings sets the ceilings of the pools for the batches that follow; nil = there are none. They must
// name a pool for each class.
func (w *Worker) SetCeilings(c *Ceilings) {
	w.ceilings = c
	if c == nil {
		w.poolUsage = nil
	} else if len(w.poolUsage) != len(c.Pools) {
		w.poolUsage = make([]poolUsage, len(c.Pools))
	}
}

// Limit returns the running limit: how many requests may run now.
func (w *Worker) Limit() int { return w.limit }

// pool returns the usage and the ceiling of a class's pool; nil = there are no pools.
func (w *Worker) pool(class int) (*poolUsage, *Ceiling) {
	if w.ceilings == nil {
		return nil, nil
	}
	i := w.ceilings.PoolOf[class]
	return &w.poolUsage[i], &w.ceilings.Pools[i]
}

// Reconfigure applies new settings. Classes and tenants keep their slots, new ones follow; learned values
// stay. On an error nothing has changed. The worker keeps the slices in s: changes in them are announced by
// another Reconfigure, which is cheaper with new slices.
func (w *Worker) Reconfigure(s Settings) error {
	if err := s.check(); err != nil {
		return err
	}
	if len(s.Classes) < len(w.classes) || len(s.Tenants) < len(w.cfg.Tenants) {
		return errors.New("kiteslip: the new settings have fewer classes or tenants than before")
	}
	s.setDefaults()
	s.JustStarted = w.cfg.JustStarted
	before := w.cfg
	w.cfg = s
	for _, c := range s.Classes[len(w.classes):] {
		w.classes = append(w.classes, class{meanWork: float64(c.TargetTime) / initialWorkDivisor})
	}
	if more := len(s.Tenants) - len(w.tenants); more > 0 {
		w.tenants = append(w.tenants, make([]tenant, more)...)
	}
	w.updateTenantShares(before.Tenants, before.Workers)
	if !sameContents(before.Classes, s.Classes) {
		w.rebuildWeights()
	}
	w.limit = max(w.limit, s.Cores)
	w.sharedDownstream = s.Downstream == DownstreamShared && s.CallShare > 0 && s.CallShareWindow > 0
	w.callBudget = callBudgetShare * s.CallShare * float64(s.CallShareWindow)
	w.setCallLimit(w.callLimit)
	return nil
}

// sameContents reports whether a list has not changed, as far as that is known: not if it was changed in
// place.
func sameContents[T comparable](prev, now []T) bool {
	return len(prev) > 0 && &prev[0] != &now[0] && slices.Equal(prev, now)
}

// find returns the request with that ID, or nil.
func (w *Worker) find(id RequestID) *request {
	if i, ok := w.byID[id]; ok {
		return &w.reqs[i]
	}
	return nil
}

// removeFinished removes the requests that have ended.
func (w *Worker) removeFinished() {
	n := 0
	for i := range w.reqs {
		if w.reqs[i].phase == finished {
			delete(w.byID, w.reqs[i].id)
			continue
		}
		if n != i {
			w.reqs[n] = w.reqs[i]
			w.byID[w.reqs[n].id] = n
		}
		n++
	}
	w.reqs = w.reqs[:n]
}

// recount counts the requests by phase and sums up their memory, anew for each batch so that errors can't
// accumulate.
func (w *Worker) recount() {
	w.onCore, w.inProgress, w.awaitingCall, w.inCall, w.memoryKB = w.peerRuns, w.peerRuns, 0, 0, w.peerKB
	clear(w.poolUsage)
	w.cheapestRuns = 0
	for i := range w.reqs {
		r := &w.reqs[i]
		u, _ := w.pool(r.class)
		switch r.phase {
		case queued, awaitingResult:
			w.memoryKB += r.sizeKB
			if u != nil && r.phase == queued {
				u.queued++
				u.kb += r.sizeKB
			}
			continue
		case finished:
			continue
		case running:
			w.onCore++
		case awaitingCall:
			w.awaitingCall++
		case inCall:
			w.inCall++
		}
		w.inProgress++
		w.memoryKB += r.sizeKB * w.cfg.RunFactor
		if u != nil {
			u.running++
			u.kb += r.sizeKB * w.cfg.RunFactor
			if r.class == w.ceilings.CheapestClass {
				w.cheapestRuns++
			}
		}
	}
	for i := range w.poolUsage {
		u := &w.poolUsage[i]
		u.withinGuarantee = u.queued+u.running <= w.ceilings.Pools[i].GuaranteedRuns
	}
	w.memoryKB += float64(len(w.keyTable)) * w.cfg.KeyKB
}

// leaveCore adds the time that a run has spent on the cores.
func (w *Worker) leaveCore(r *request) {
	if r.phase == running {
		r.coreTime += w.now - r.onCoreSince
		r.work += w.virtualTime - r.virtualStart
	}
}

// enterCore records that a run is on the cores from now on.
func (w *Worker) enterCore(r *request) {
	if w.onCore == w.peerRuns {
		w.lastProgress = w.now
	}
	r.phase, r.onCoreSince, r.virtualStart = running, w.now, w.virtualTime
}

// endCallBooking records that the call of r has ended; an abandoned one may linger at the dependency.
func (w *Worker) endCallBooking(r *request, outcome Outcome) {
	for i := range w.callBookings {
		if c := &w.callBookings[i]; c.id != r.id || c.from != r.callSince {
			continue
		} else if outcome == TimedOut {
			c.until = min(c.until, w.now+w.cfg.MaxCallLinger)
		} else {
			c.until = min(c.until, w.now)
		}
	}
}
