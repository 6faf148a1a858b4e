package fleet

import (
	"container/heap"
	"hash/fnv"
	"math"

	"kiteslip"
	"kiteslip/internal/core"
)

// This file simulates downstream calls and halted runs. All boxes share one
// ledger, which is a first-come, first-served queue with Concurrency parallel
// servers; unlike a real one it does not slow down under overload. A run of a
// class that calls the ledger does half of its work before its call.

// LedgerSpec describes the ledger.
type LedgerSpec struct {
	Concurrency      int     // calls that it serves at once, for all boxes together
	MinTime, MaxTime int64   // bounds of the time for one call, microseconds
	RejectShare      float64 // share of the calls that it rejects at once
	LossShare        float64 // share of the calls that it never answers
}

// LedgerDown is a failure in which no call reaches the ledger.
const LedgerDown FailureKind = Deploy + 1

// ledger is the state of the ledger that all boxes call.
type ledger struct {
	LedgerSpec
	freeAt    instantHeap // when each of the parallel servers is free
	downUntil int64
	calls     int64
}

// instantHeap is a min-heap of instants, for container/heap.
type instantHeap []int64

func (t instantHeap) Len() int           { return len(t) }
func (t instantHeap) Less(i, j int) bool { return t[i] < t[j] }
func (t instantHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *instantHeap) Push(x any)        { *t = append(*t, x.(int64)) }
func (t *instantHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// newLedger returns a ledger in which nothing runs, or nil if there is no spec.
func newLedger(spec *LedgerSpec) *ledger {
	if spec == nil {
		return nil
	}
	return &ledger{LedgerSpec: *spec, freeAt: make(instantHeap, spec.Concurrency)}
}

// call returns when and how a call that arrives at now ends unless it is abandoned;
// math.MaxInt64 is never. The draws depend on ref and the number of earlier calls.
func (l *ledger) call(now int64, ref string) (at int64, outcome kiteslip.Outcome) {
	l.calls++
	h := fnv.New64a()
	h.Write([]byte(ref))                                                    //nolint:errcheck // it never fails
	h.Write([]byte{byte(l.calls), byte(l.calls >> 8), byte(l.calls >> 16)}) //nolint:errcheck // as above
	draw := func(n uint) float64 { return float64(h.Sum64()>>n&0xffff) / 0x10000 }
	switch {
	case now < l.downUntil:
		return now, kiteslip.Unreachable
	case draw(0) < l.RejectShare:
		return now, kiteslip.Rejected
	}
	start := max(now, l.freeAt[0])
	l.freeAt[0] = start + l.MinTime + int64(draw(16)*float64(l.MaxTime-l.MinTime))
	end := l.freeAt[0]
	heap.Fix(&l.freeAt, 0)
	if draw(32) < l.LossShare {
		return math.MaxInt64, kiteslip.OK
	}
	return end, kiteslip.OK
}

// runState is the state of a run that has not ended. It is on the cores unless
// atCall or halted is set. Work is in microseconds at speed 1.
type runState struct {
	id            uint64 // of the part that is on the cores
	began         int64
	workAfterCall float64 // 0 = it makes no call, or has made it
	atCall        bool    // it waits for its call
	halted        bool
	workLeft      float64 // when it was halted
}

// beginRun puts the part of a run before its call on the cores, or all of it if it
// makes no call.
func (m *machine) beginRun(r *core.Request, work float64) {
	run := &runState{began: m.sim.now}
	if m.sim.ledger != nil && m.sim.day.Classes[r.Class].CallsDownstream {
		run.workAfterCall = work / 2
	}
	m.runStates[r] = run
	m.runOnCores(r, run, work-run.workAfterCall)
}

// runOnCores puts the given work of a run on the cores, under a new ID.
func (m *machine) runOnCores(r *core.Request, run *runState, work float64) {
	m.lastRunID++
	run.id, run.atCall, run.halted = m.lastRunID, false, false
	m.runsByID[run.id] = r
	m.box.Start(m.sim.now, run.id, work)
}

// phaseDone is called when the part of a run that was on the cores is done: the run
// makes its call, is cancelled if its request was answered meanwhile, or is over.
func (m *machine) phaseDone(r *core.Request, at int64) {
	run := m.runStates[r]
	if run.workAfterCall == 0 {
		delete(m.runStates, r)
		m.core.Done(r, kiteslip.OK, at-run.began, r.Body)
		return
	}
	if m.isAnswered(r) {
		m.cancelRun(r)
		return
	}
	run.atCall = true
	m.core.NeedsCall(r, run.id, nil)
}

// isAnswered reports whether r has its final answer.
func (m *machine) isAnswered(r *core.Request) bool { return m.tries[r.Stream] == nil }

// cancelRun ends a run whose request has been answered, as an engine does when the
// run makes its call.
func (m *machine) cancelRun(r *core.Request) {
	run := m.runStates[r]
	delete(m.runStates, r)
	m.core.Done(r, kiteslip.Cancelled, m.sim.now-run.began, nil)
}

// scheduleStep schedules f and then a step of the core. It does nothing if the box
// is down by then, and is put off to the end of a pause.
func (m *machine) scheduleStep(at int64, f func()) {
	incarnation := m.incarnation
	m.sim.scheduleAt(at, func() {
		switch {
		case m.down || m.incarnation != incarnation:
		case m.sim.now < m.pausedUntil:
			m.scheduleStep(m.pausedUntil, f)
		default:
			f()
			m.core.Step(m.sim.now)
			m.sim.schedule.set(m.number, m.nextEvent())
		}
	})
}

// requestAnswered cancels the run of a request that has its answer, if the run waits
// for a call or is halted.
func (m *machine) requestAnswered(stream uint32) {
	for r, run := range m.runStates {
		if r.Stream == stream && (run.atCall || run.halted) {
			m.scheduleStep(m.sim.now, func() {
				if m.runStates[r] == run {
					m.cancelRun(r)
				}
			})
		}
	}
}

// Call makes a downstream call, which ends as the ledger decides or at its timeout.
func (m *machine) Call(token uint64, ref string, _ []byte, timeout int64) {
	now := m.sim.now
	m.sim.Calls++
	at, outcome := m.sim.ledger.call(now+m.sim.day.NetworkDelay, ref)
	if at >= now+timeout-m.sim.day.NetworkDelay {
		at, outcome = now+timeout, kiteslip.TimedOut
	} else {
		at += m.sim.day.NetworkDelay
	}
	m.scheduleStep(at, func() { m.core.CallDone(m.sim.now, token, outcome, nil) })
}

// Abandon does nothing: the ledger carries on with a call that was abandoned.
func (m *machine) Abandon(uint64) {}

// Reply continues a run whose call has ended.
func (m *machine) Reply(r *core.Request, _ []byte) { m.continueAfterCall(r) }

// Skip continues a run without its call.
func (m *machine) Skip(r *core.Request, _ uint64) {
	m.sim.SkippedCalls++
	m.continueAfterCall(r)
}

// continueAfterCall puts the rest of a run on the cores.
func (m *machine) continueAfterCall(r *core.Request) {
	run := m.runStates[r]
	rest := run.workAfterCall
	run.workAfterCall = 0
	m.runOnCores(r, run, rest)
}

// Halt stops a run that is on the cores.
func (m *machine) Halt(r *core.Request) {
	run := m.runStates[r]
	if run == nil || run.atCall || run.halted {
		return
	}
	left, ok := m.box.Remove(m.sim.now, run.id)
	if !ok {
		return // it has ended, and its end is about to be processed
	}
	delete(m.runsByID, run.id)
	run.workLeft, run.halted = left, true
	m.scheduleStep(m.sim.now, func() {
		if m.runStates[r] != run || !run.halted {
			return
		}
		if m.sim.day.Policy.Stop != kiteslip.StopFreeze || m.isAnswered(r) {
			delete(m.runStates, r)
		}
		m.core.Done(r, kiteslip.Cancelled, m.sim.now-run.began, nil)
	})
}

// Resume continues a run that was halted.
func (m *machine) Resume(r *core.Request) {
	if run := m.runStates[r]; run != nil {
		m.runOnCores(r, run, run.workLeft)
	}
}
