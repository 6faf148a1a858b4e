package fleet

import (
	order "container/heap"
	"hash/fnv"
	"math"

	"kiteslip"
	"kiteslip/internal/core"
)

// Calls below and pauses, in simulated time. All boxes share one ledger with a
// number of places, each of which serves one call at a time, in order of
// arrival (a queue with many servers; it does not thrash as a real one may). A
// run of a class that calls does half of its work before its call.

// Below describes the ledger.
type Below struct {
	Places      int     // calls that it serves at once, for all boxes
	Least, Most int64   // microseconds for one call
	Turns       float64 // share of the calls that it turns away unseen
	Loses       float64 // share that it never answers
}

// Down is a failure in which the ledger refuses every call.
const Down FailureKind = Deploy + 1

// ledger is the one that all boxes call.
type ledger struct {
	Below
	free   times // when each place is free
	downTo int64
	calls  int64
}

type times []int64

func (t times) Len() int           { return len(t) }
func (t times) Less(i, j int) bool { return t[i] < t[j] }
func (t times) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *times) Push(x any)        { *t = append(*t, x.(int64)) }
func (t *times) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func newLedger(b *Below) *ledger {
	if b == nil {
		return nil
	}
	return &ledger{Below: *b, free: make(times, b.Places)}
}

// call says when and how a call made at now ends, if nobody gives it up.
func (l *ledger) call(now int64, ref string) (at int64, outcome kiteslip.Outcome) {
	l.calls++
	h := fnv.New64a()
	h.Write([]byte(ref))                                                    //nolint:errcheck // it never fails
	h.Write([]byte{byte(l.calls), byte(l.calls >> 8), byte(l.calls >> 16)}) //nolint:errcheck // as above
	part := func(n uint) float64 { return float64(h.Sum64()>>n&0xffff) / 0x10000 }
	switch {
	case now < l.downTo:
		return now, kiteslip.Unreachable
	case part(0) < l.Turns:
		return now, kiteslip.Rejected
	}
	start := max(now, l.free[0])
	l.free[0] = start + l.Least + int64(part(16)*float64(l.Most-l.Least))
	end := l.free[0]
	order.Fix(&l.free, 0)
	if part(32) < l.Loses {
		return math.MaxInt64, kiteslip.OK
	}
	return end, kiteslip.OK
}

// piece is a run that has not ended: what is left of it after its call, whether
// it stands there, and the work that was left when it was stopped.
type piece struct {
	id      uint64 // on the cores
	began   int64
	rest    float64 // work after the call; 0 = it makes none, or has made it
	stands  bool
	stopped bool
	left    float64
}

// begin puts the first piece of a run on the cores.
func (m *machine) begin(r *core.Request, work float64) {
	p := &piece{began: m.w.now}
	if m.w.ledger != nil && m.w.day.Classes[r.Class].CallsDownstream {
		p.rest = work / 2
	}
	m.pieces[r] = p
	m.onCores(r, p, work-p.rest)
}

func (m *machine) onCores(r *core.Request, p *piece, work float64) {
	m.runs++
	p.id, p.stands, p.stopped = m.runs, false, false
	m.live[p.id] = r
	m.box.Begin(m.w.now, p.id, work)
}

// pieceOver takes in that a piece is done: the run stands at its call, or is over.
func (m *machine) pieceOver(r *core.Request, at int64) {
	p := m.pieces[r]
	if p.rest == 0 {
		delete(m.pieces, r)
		m.core.Done(r, kiteslip.OK, at-p.began, r.Body)
		return
	}
	if m.over(r) {
		m.cancel(r)
		return
	}
	p.stands = true
	m.core.NeedsCall(r, p.id, nil)
}

// over says whether the caller of r has its answer.
func (m *machine) over(r *core.Request) bool { return m.tries[r.Stream] == nil }

// cancel ends a run whose request is over, as an engine does at a call.
func (m *machine) cancel(r *core.Request) {
	p := m.pieces[r]
	delete(m.pieces, r)
	m.core.Done(r, kiteslip.Cancelled, m.w.now-p.began, nil)
}

// soon lets what f tells the box's server be taken in at that time, in the
// box's life of now, and not while it is paused.
func (m *machine) soon(at int64, f func()) {
	life := m.life
	m.w.after(at, func() {
		switch {
		case m.dead || m.life != life:
		case m.w.now < m.paused:
			m.soon(m.paused, f)
		default:
			f()
			m.core.Step(m.w.now)
			m.w.places.set(m.number, m.next())
		}
	})
}

// requestOver lets the engine see that a request is over: a run that stands at a
// call, or is stopped, ends.
func (m *machine) requestOver(stream uint32) {
	for r, p := range m.pieces {
		if r.Stream == stream && (p.stands || p.stopped) {
			m.soon(m.w.now, func() {
				if m.pieces[r] == p {
					m.cancel(r)
				}
			})
		}
	}
}

// Call makes a call: it ends as the ledger says, or at the end of its patience.
func (m *machine) Call(token uint64, ref string, _ []byte, patience int64) {
	now := m.w.now
	m.w.Calls++
	at, outcome := m.w.ledger.call(now+m.w.day.Delay, ref)
	if at >= now+patience-m.w.day.Delay {
		at, outcome = now+patience, kiteslip.TimedOut
	} else {
		at += m.w.day.Delay
	}
	m.soon(at, func() { m.core.CallDone(m.w.now, token, outcome, nil) })
}

// Abandon gives a call up. The ledger goes on with it.
func (m *machine) Abandon(uint64) {}

// Reply goes on after a call.
func (m *machine) Reply(r *core.Request, _ []byte) { m.proceed(r) }

// Skip goes on without it.
func (m *machine) Skip(r *core.Request, _ uint64) {
	m.w.Skips++
	m.proceed(r)
}

func (m *machine) proceed(r *core.Request) {
	p := m.pieces[r]
	rest := p.rest
	p.rest = 0
	m.onCores(r, p, rest)
}

// Halt stops a run that is on the cores.
func (m *machine) Halt(r *core.Request) {
	p := m.pieces[r]
	if p == nil || p.stands || p.stopped {
		return
	}
	left, ok := m.box.Take(m.w.now, p.id)
	if !ok {
		return // its end is on the way
	}
	delete(m.live, p.id)
	p.left, p.stopped = left, true
	m.soon(m.w.now, func() {
		if m.pieces[r] != p || !p.stopped {
			return
		}
		if m.w.day.Policy.Stop != kiteslip.StopFreeze || m.over(r) {
			delete(m.pieces, r)
		}
		m.core.Done(r, kiteslip.Cancelled, m.w.now-p.began, nil)
	})
}

// Resume goes on with a run that was stopped.
func (m *machine) Resume(r *core.Request) {
	if p := m.pieces[r]; p != nil {
		m.onCores(r, p, p.left)
	}
}
