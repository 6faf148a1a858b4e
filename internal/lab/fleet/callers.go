package fleet

import (
	"math"
	"math/rand/v2"
	"strconv"

	"kiteslip/internal/core"
)

// traffic draws the first arrival of each class, for a capacity in work a second.
func (w *world) traffic(capacity float64) {
	day := w.day
	mean := 0.0
	for i := range day.Classes {
		mean += day.Classes[i].Part * (day.Classes[i].Least + day.Classes[i].Most) / 2
	}
	rate := day.Load * capacity * Second / mean
	for i := range day.Classes {
		s := stream{rng: rand.New(rand.NewPCG(day.Seed, uint64(i+1))), mean: rate * day.Classes[i].Part}
		if day.Skew > 1 {
			s.zipf = rand.NewZipf(s.rng, day.Skew, 1, max(1, day.Subjects-1))
		}
		s.next = w.draw(&s, epoch)
		w.streams = append(w.streams, s)
	}
	w.turn = make([]int, len(day.Callers))
	w.away = make([][]int64, len(day.Callers))
	sum := 0.0
	for i := range day.Callers {
		w.turn[i] = i * 7
		w.away[i] = make([]int64, day.Boxes)
		sum += day.Callers[i].Weight
		w.weights = append(w.weights, sum)
	}
}

// shape is the rate at a time, over the mean.
func (d *Day) shape(at int64) float64 {
	if len(d.Shape) == 0 {
		return 1
	}
	if at <= d.Shape[0].At {
		return d.Shape[0].Rate
	}
	for i := 1; i < len(d.Shape); i++ {
		if a, b := d.Shape[i-1], d.Shape[i]; at < b.At {
			return a.Rate + (b.Rate-a.Rate)*float64(at-a.At)/float64(b.At-a.At)
		}
	}
	return d.Shape[len(d.Shape)-1].Rate
}

// draw returns the next arrival after at: of the highest rate, thinned to the
// one of the moment (Lewis, Shedler 1979).
func (w *world) draw(s *stream, at int64) int64 {
	peak := 1.0
	for _, p := range w.day.Shape {
		peak = max(peak, p.Rate)
	}
	end := epoch + w.day.Length
	for s.mean > 0 {
		at += int64(s.rng.ExpFloat64()/(s.mean*peak)*Second) + 1
		if at >= end {
			break
		}
		if s.rng.Float64()*peak < w.day.shape(at-epoch) {
			return at
		}
	}
	return math.MaxInt64
}

// ask lets a client ask: all that is drawn for the request comes from its own
// stream, so that it is the same whatever becomes of others.
func (w *world) ask(class int) {
	s, c := &w.streams[class], &w.day.Classes[class]
	r := &request{class: class, first: s.next, due: s.next + c.Timeout, work: c.Least + (c.Most-c.Least)*s.rng.Float64(), last: -1}
	r.team = pickPart(s.rng.Float64(), len(w.day.Teams), func(i int) float64 { return w.day.Teams[i].Part })
	x := s.rng.Float64() * w.weights[len(w.weights)-1]
	for r.caller < len(w.weights)-1 && x >= w.weights[r.caller] {
		r.caller++
	}
	if s.zipf != nil {
		r.subject = 1 + s.zipf.Uint64()
	} else {
		r.subject = 1 + s.rng.Uint64N(max(1, w.day.Subjects))
	}
	if r.subject == 1 && w.day.Poison > 0 {
		r.work *= w.day.Poison
	}
	w.names++
	r.name = "r" + strconv.FormatUint(w.names, 16)
	s.next = w.draw(s, s.next)
	w.score.asked(r)
	w.try(r)
}

// pickPart picks by parts that need not add up to 1.
func pickPart(x float64, n int, part func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += part(i)
	}
	x *= sum
	for i := range n {
		if x -= part(i); x < 0 {
			return i
		}
	}
	return max(0, n-1)
}

// choose picks a box for the next try, or -1: boxes that the caller was told to
// stay away from come last, and so does the one tried before.
func (w *world) choose(r *request) int {
	c, n := &w.day.Callers[r.caller], len(w.boxes)
	away := w.away[r.caller]
	fits := func(i int) bool {
		return !w.boxes[i].dead && !w.boxes[i].leaving && i != r.last && (!c.Heeds || away[i] <= w.now)
	}
	at := 0
	switch c.Choose {
	case Two:
		best := -1
		for range 4 {
			i := w.pick.IntN(n)
			if fits(i) && (best < 0 || w.boxes[i].open < w.boxes[best].open) {
				best = i
			}
		}
		if best >= 0 {
			return best
		}
		at = w.pick.IntN(n)
	case Subject:
		at = int((r.subject*0x9e3779b97f4a7c15>>33)%uint64(n)) + r.tries
	default:
		at = w.turn[r.caller]
		w.turn[r.caller]++
	}
	for i := range n {
		if b := (at + i) % n; fits(b) {
			return b
		}
	}
	return -1
}

// try sends a try, if there is anywhere to send it.
func (w *world) try(r *request) {
	b := w.choose(r)
	if b < 0 {
		w.end(r, nil)
		return
	}
	m := w.boxes[b]
	t := &try{r: r, box: b, life: m.life, lively: true}
	r.tries++
	r.last = b
	w.Tries++
	m.open++
	at := w.now + w.day.Delay
	if m.remote != nil {
		m.stream++
		m.tries[m.stream] = t
		m.remote.Send(Sent{ID: m.stream, Class: r.class, Team: r.team, Caller: r.caller, Key: r.name, Subject: r.subject,
			Wait: r.due - w.now, Work: r.work})
		w.hasten(t)
		return
	}
	i := len(m.inbox)
	m.inbox = append(m.inbox, arrival{})
	for i > 0 && m.inbox[i-1].at > at {
		m.inbox[i] = m.inbox[i-1]
		i--
	}
	m.inbox[i] = arrival{at, t}
	w.places.set(b, m.next())
	w.hasten(t)
}

// hasten lets a hasty caller try another box after a while.
func (w *world) hasten(t *try) {
	r := t.r
	if c := &w.day.Callers[r.caller]; c.Hasty > 0 && r.tries < c.Tries {
		w.after(w.now+c.Hasty, func() {
			if !r.over && t.lively && w.now < r.due {
				w.try(r)
			}
		})
	}
}

// answered takes an answer in at its caller.
func (w *world) answered(t *try, a core.Answer) {
	r := t.r
	c := &w.day.Callers[r.caller]
	if a.Code == core.Refused && a.RetryAfter > 0 && c.Heeds && w.boxes[t.box].life == t.life {
		w.away[r.caller][t.box] = w.now + a.RetryAfter
	}
	if r.over {
		return
	}
	if a.Code == core.Served {
		w.end(r, &a)
		return
	}
	if w.now >= r.due || r.tries >= c.Tries || a.NoFailover && c.Heeds {
		if c.Hasty == 0 || r.tries >= c.Tries {
			w.end(r, &a)
		}
		return
	}
	w.try(r)
}

// end is the end of a request for its client.
func (w *world) end(r *request, a *core.Answer) {
	if !r.over {
		r.over = true
		w.score.ended(r, w.now, a)
	}
}

// plan puts a failure on the agenda.
func (w *world) plan(f *Failure) {
	if f.Kind == Down {
		w.after(epoch+f.At, func() { w.ledger.downTo = epoch + f.At + f.For })
		return
	}
	n := min(len(w.boxes), max(1, int(math.Round(f.Share*float64(len(w.boxes))))))
	for i := range n {
		m := w.boxes[(f.First+i)%len(w.boxes)]
		at := epoch + f.At
		switch f.Kind {
		case Die:
			w.after(at, m.die)
			w.after(at+f.For, func() { m.back(f) })
		case Slow:
			w.after(at, func() { m.scale(f.Factor) })
			w.after(at+f.For, func() { m.scale(1) })
		case Pause:
			w.after(at, func() { m.pause(f.For) })
		case Deploy:
			at += f.For * int64(i) / int64(n)
			w.after(at, func() {
				if !m.dead {
					m.leaving = true
					m.drain()
				}
			})
			w.after(at+drainFor, func() {
				m.die()
				m.back(f)
			})
		}
	}
}

// drain gives the notice to leave.
func (m *machine) drain() {
	if m.remote != nil {
		m.remote.Drain()
		return
	}
	m.core.Drain(m.w.now, m.w.now+drainFor)
	m.w.places.set(m.number, m.w.now)
}

func (m *machine) scale(factor float64) {
	if m.remote != nil {
		m.remote.Scale(factor)
	} else if !m.dead {
		m.box.Scale(m.w.now, factor)
		m.w.places.set(m.number, m.next())
	}
}

// pause stops the box and its server: the cores do nothing, nothing is read.
func (m *machine) pause(span int64) {
	if m.dead {
		return
	}
	if m.remote != nil {
		m.remote.Pause(span)
		return
	}
	m.box.Scale(m.w.now, 0)
	m.paused = m.w.now + span
	life := m.life
	m.w.after(m.paused, func() {
		if m.life == life {
			m.scale(1)
		}
	})
	m.w.places.set(m.number, m.next())
}
