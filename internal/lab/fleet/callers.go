package fleet

import (
	"math"
	"math/rand/v2"
	"strconv"

	"kiteslip/internal/core"
)

// initTraffic sets up the arrival stream of each class, with its first arrival,
// and the state of the callers. capacity is the work that all boxes do in a second.
func (sim *simulation) initTraffic(capacity float64) {
	day := sim.day
	meanWork := 0.0
	for i := range day.Classes {
		meanWork += day.Classes[i].TrafficShare * (day.Classes[i].MinWork + day.Classes[i].MaxWork) / 2
	}
	rate := day.Load * capacity * Second / meanWork
	for i := range day.Classes {
		s := arrivalStream{rng: rand.New(rand.NewPCG(day.Seed, uint64(i+1))), meanRate: rate * day.Classes[i].TrafficShare}
		if day.SubjectSkew > 1 {
			s.zipf = rand.NewZipf(s.rng, day.SubjectSkew, 1, max(1, day.Subjects-1))
		}
		s.next = sim.nextArrival(&s, epoch)
		sim.streams = append(sim.streams, s)
	}
	sim.roundRobin = make([]int, len(day.Callers))
	sim.avoidUntil = make([][]int64, len(day.Callers))
	sum := 0.0
	for i := range day.Callers {
		sim.roundRobin[i] = i * 7
		sim.avoidUntil[i] = make([]int64, day.Boxes)
		sum += day.Callers[i].Weight
		sim.cumulativeWeights = append(sim.cumulativeWeights, sum)
	}
}

// rateAt returns the arrival rate at the given time of the day, as a multiple of
// the mean rate, interpolated linearly between the points of RateCurve.
func (d *Day) rateAt(at int64) float64 {
	if len(d.RateCurve) == 0 {
		return 1
	}
	if at <= d.RateCurve[0].At {
		return d.RateCurve[0].Rate
	}
	for i := 1; i < len(d.RateCurve); i++ {
		if a, b := d.RateCurve[i-1], d.RateCurve[i]; at < b.At {
			return a.Rate + (b.Rate-a.Rate)*float64(at-a.At)/float64(b.At-a.At)
		}
	}
	return d.RateCurve[len(d.RateCurve)-1].Rate
}

// nextArrival returns the first arrival after the given instant, or math.MaxInt64
// if there is none before the day ends. The Poisson process at the peak rate is
// thinned to the rate of the moment (Lewis, Shedler 1979).
func (sim *simulation) nextArrival(s *arrivalStream, at int64) int64 {
	peak := 1.0
	for _, p := range sim.day.RateCurve {
		peak = max(peak, p.Rate)
	}
	end := epoch + sim.day.Length
	for s.meanRate > 0 {
		at += int64(s.rng.ExpFloat64()/(s.meanRate*peak)*Second) + 1
		if at >= end {
			break
		}
		if s.rng.Float64()*peak < sim.day.rateAt(at-epoch) {
			return at
		}
	}
	return math.MaxInt64
}

// startRequest begins a new request of a class and sends its first try. All its
// properties are drawn from the stream of its class, so that they do not depend
// on the outcome of other requests.
func (sim *simulation) startRequest(class int) {
	s, c := &sim.streams[class], &sim.day.Classes[class]
	r := &request{class: class, arrivedAt: s.next, deadline: s.next + c.Timeout, work: c.MinWork + (c.MaxWork-c.MinWork)*s.rng.Float64(), lastBox: -1}
	r.team = pickWeighted(s.rng.Float64(), len(sim.day.Teams), func(i int) float64 { return sim.day.Teams[i].TrafficShare })
	x := s.rng.Float64() * sim.cumulativeWeights[len(sim.cumulativeWeights)-1]
	for r.caller < len(sim.cumulativeWeights)-1 && x >= sim.cumulativeWeights[r.caller] {
		r.caller++
	}
	if s.zipf != nil {
		r.subject = 1 + s.zipf.Uint64()
	} else {
		r.subject = 1 + s.rng.Uint64N(max(1, sim.day.Subjects))
	}
	if r.subject == 1 && sim.day.TopSubjectFactor > 0 {
		r.work *= sim.day.TopSubjectFactor
	}
	sim.nameCount++
	r.key = "r" + strconv.FormatUint(sim.nameCount, 16)
	s.next = sim.nextArrival(s, s.next)
	sim.score.requestStarted(r)
	sim.sendTry(r)
}

// pickWeighted returns the index that x, from 0 to below 1, selects out of n with
// the given weights, which need not add up to 1.
func pickWeighted(x float64, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x *= sum
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return max(0, n-1)
}

// chooseBox returns the box for the next try of a request, or -1 if there is none.
// It leaves out boxes that are down or draining, the box of the last try and, for
// a caller that follows advice, boxes whose retry-after has not passed.
func (sim *simulation) chooseBox(r *request) int {
	c, n := &sim.day.Callers[r.caller], len(sim.boxes)
	avoidUntil := sim.avoidUntil[r.caller]
	eligible := func(i int) bool {
		return !sim.boxes[i].down && !sim.boxes[i].draining && i != r.lastBox && (!c.FollowsAdvice || avoidUntil[i] <= sim.now)
	}
	start := 0
	switch c.Balancing {
	case LeastOpen:
		best := -1
		for range 4 {
			i := sim.rng.IntN(n)
			if eligible(i) && (best < 0 || sim.boxes[i].openTries < sim.boxes[best].openTries) {
				best = i
			}
		}
		if best >= 0 {
			return best
		}
		start = sim.rng.IntN(n)
	case BySubject:
		start = int((r.subject*0x9e3779b97f4a7c15>>33)%uint64(n)) + r.tries
	default:
		start = sim.roundRobin[r.caller]
		sim.roundRobin[r.caller]++
	}
	for i := range n {
		if b := (start + i) % n; eligible(b) {
			return b
		}
	}
	return -1
}

// sendTry sends the next try of a request. The request ends as refused if no box
// is eligible.
func (sim *simulation) sendTry(r *request) {
	b := sim.chooseBox(r)
	if b < 0 {
		sim.endRequest(r, nil)
		return
	}
	m := sim.boxes[b]
	t := &try{request: r, box: b, incarnation: m.incarnation, pending: true}
	r.tries++
	r.lastBox = b
	sim.Tries++
	m.openTries++
	at := sim.now + sim.day.NetworkDelay
	if m.remote != nil {
		m.lastStream++
		m.tries[m.lastStream] = t
		m.remote.Send(RemoteTry{ID: m.lastStream, Class: r.class, Team: r.team, Caller: r.caller, Key: r.key, Subject: r.subject,
			Timeout: r.deadline - sim.now, Work: r.work})
		sim.scheduleHedge(t)
		return
	}
	i := len(m.inbox)
	m.inbox = append(m.inbox, arrival{})
	for i > 0 && m.inbox[i-1].at > at {
		m.inbox[i] = m.inbox[i-1]
		i--
	}
	m.inbox[i] = arrival{at, t}
	sim.schedule.set(b, m.nextEvent())
	sim.scheduleHedge(t)
}

// scheduleHedge schedules a further try on another box for when this one is not
// answered within the caller's HedgeDelay.
func (sim *simulation) scheduleHedge(t *try) {
	r := t.request
	if c := &sim.day.Callers[r.caller]; c.HedgeDelay > 0 && r.tries < c.MaxTries {
		sim.scheduleAt(sim.now+c.HedgeDelay, func() {
			if !r.ended && t.pending && sim.now < r.deadline {
				sim.sendTry(r)
			}
		})
	}
}

// handleAnswer processes an answer at its caller: it ends the request or sends the
// next try.
func (sim *simulation) handleAnswer(t *try, a core.Answer) {
	r := t.request
	c := &sim.day.Callers[r.caller]
	if a.Code == core.Refused && a.RetryAfter > 0 && c.FollowsAdvice && sim.boxes[t.box].incarnation == t.incarnation {
		sim.avoidUntil[r.caller][t.box] = sim.now + a.RetryAfter
	}
	if r.ended {
		return
	}
	if a.Code == core.Served {
		sim.endRequest(r, &a)
		return
	}
	if sim.now >= r.deadline || r.tries >= c.MaxTries || a.NoFailover && c.FollowsAdvice {
		if c.HedgeDelay == 0 || r.tries >= c.MaxTries {
			sim.endRequest(r, &a)
		}
		return
	}
	sim.sendTry(r)
}

// endRequest ends a request and scores it. a is the final answer, nil if no try
// could be sent.
func (sim *simulation) endRequest(r *request, a *core.Answer) {
	if !r.ended {
		r.ended = true
		sim.score.requestEnded(r, sim.now, a)
	}
}

// scheduleFailure schedules the effects of a failure on the boxes or the ledger.
func (sim *simulation) scheduleFailure(f *Failure) {
	if f.Kind == LedgerDown {
		sim.scheduleAt(epoch+f.At, func() { sim.ledger.downUntil = epoch + f.At + f.Duration })
		return
	}
	n := min(len(sim.boxes), max(1, int(math.Round(f.BoxShare*float64(len(sim.boxes))))))
	for i := range n {
		m := sim.boxes[(f.FirstBox+i)%len(sim.boxes)]
		at := epoch + f.At
		switch f.Kind {
		case Die:
			sim.scheduleAt(at, m.kill)
			sim.scheduleAt(at+f.Duration, func() { m.restart(f) })
		case Slow:
			sim.scheduleAt(at, func() { m.setSpeed(f.SpeedFactor) })
			sim.scheduleAt(at+f.Duration, func() { m.setSpeed(1) })
		case Pause:
			sim.scheduleAt(at, func() { m.pause(f.Duration) })
		case Deploy:
			at += f.Duration * int64(i) / int64(n)
			sim.scheduleAt(at, func() {
				if !m.down {
					m.draining = true
					m.drain()
				}
			})
			sim.scheduleAt(at+drainUS, func() {
				m.kill()
				m.restart(f)
			})
		}
	}
}

// drain sends the shutdown notice to the server of the box.
func (m *machine) drain() {
	if m.remote != nil {
		m.remote.Drain()
		return
	}
	m.core.Drain(m.sim.now, m.sim.now+drainUS)
	m.sim.schedule.set(m.number, m.sim.now)
}

// setSpeed sets the speed of the box to a share of its usual speed.
func (m *machine) setSpeed(factor float64) {
	if m.remote != nil {
		m.remote.SetSpeed(factor)
	} else if !m.down {
		m.box.SetSpeed(m.sim.now, factor)
		m.sim.schedule.set(m.number, m.nextEvent())
	}
}

// pause stops the cores of the box and its server for a time in microseconds:
// nothing runs and nothing is read.
func (m *machine) pause(duration int64) {
	if m.down {
		return
	}
	if m.remote != nil {
		m.remote.Pause(duration)
		return
	}
	m.box.SetSpeed(m.sim.now, 0)
	m.pausedUntil = m.sim.now + duration
	incarnation := m.incarnation
	m.sim.scheduleAt(m.pausedUntil, func() {
		if m.incarnation == incarnation {
			m.setSpeed(1)
		}
	})
	m.sim.schedule.set(m.number, m.nextEvent())
}
