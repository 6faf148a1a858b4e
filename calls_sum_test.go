package kiteslip

import (
	"cmp"
	"math"
	"slices"
	"testing"
)

// fleet is a number of workers that start at the same moment, know nothing of each other, and call one
// dependency. It counts their calls: those outstanding at the dependency, and those sent.
type fleet struct {
	workers        []*Worker
	now            int64
	queue          []scheduled
	outstanding    int
	maxOutstanding int     // maximum of outstanding
	sent           []int64 // when each call was made
	served         int
	next           RequestID
	callResult     func(now int64) (int64, Outcome) // duration and outcome of a call made now
}

// scheduled is an event to come.
type scheduled struct {
	at               int64
	worker           int
	event            Event
	outstandingDelta int // change of outstanding
}

// newFleet returns n workers, each with that share of calls.
func newFleet(t *testing.T, n int, share float64, callResult func(int64) (int64, Outcome)) *fleet {
	t.Helper()
	c := &fleet{callResult: callResult}
	for i := range n {
		s := testSettings()
		s.CallShare, s.Workers, s.JustStarted, s.Cores, s.Stop = share, n, true, 6, StopNever
		s.MemoryKB = 400_000
		w, err := New(s, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		c.workers = append(c.workers, w)
	}
	return c
}

// schedule adds an event to the queue.
func (c *fleet) schedule(d scheduled) {
	at, _ := slices.BinarySearchFunc(c.queue, d.at+1, func(q scheduled, at int64) int { return cmp.Compare(q.at, at) })
	c.queue = slices.Insert(c.queue, at, d)
}

// run advances the time by span in ticks, with an arrival at each worker at intervals of every.
func (c *fleet) run(span, every int64) {
	const tick = 5_000
	batch := make([][]Event, len(c.workers))
	for end := c.now + span; c.now < end; c.now += tick {
		for i := range batch {
			batch[i] = batch[i][:0]
		}
		for len(c.queue) > 0 && c.queue[0].at <= c.now {
			d := c.queue[0]
			c.queue = c.queue[1:]
			c.outstanding += d.outstandingDelta
			if d.event.Kind != Timer {
				batch[d.worker] = append(batch[d.worker], d.event)
			}
		}
		for i, w := range c.workers {
			if c.now%every == 0 {
				c.next++
				batch[i] = append(batch[i], Event{Kind: Arrive, ID: c.next, Class: 1, SizeKB: 20, WorkHint: 10_000})
			}
			batch[i] = append(batch[i], Event{Kind: Timer})
			for _, a := range w.Step(c.now, batch[i], nil) {
				c.act(i, a)
			}
		}
	}
}

// act carries out an action of worker i.
func (c *fleet) act(i int, a Action) {
	switch a.Kind {
	case Run:
		c.schedule(scheduled{at: c.now + 20_000, worker: i, event: Event{Kind: NeedsCall, ID: a.ID}})
	case Call:
		c.outstanding++
		c.maxOutstanding = max(c.maxOutstanding, c.outstanding)
		c.sent = append(c.sent, c.now)
		took, outcome := c.callResult(c.now)
		lingers := took // when the dependency has ended it
		if took > a.After {
			took, outcome = a.After, TimedOut
			lingers = min(lingers, a.After+c.workers[i].cfg.MaxCallLinger)
		}
		c.schedule(scheduled{at: c.now + took, worker: i, event: Event{Kind: CallDone, ID: a.ID, Outcome: outcome, Elapsed: took}})
		c.schedule(scheduled{at: c.now + lingers, worker: i, event: Event{Kind: Timer}, outstandingDelta: -1})
		if outcome == OK {
			c.served++
			c.schedule(scheduled{at: c.now + took + 20_000, worker: i, event: Event{Kind: Done, ID: a.ID, Outcome: OK}})
		}
	case Fail:
		c.schedule(scheduled{at: c.now + 5_000, worker: i, event: Event{Kind: Done, ID: a.ID, Outcome: Cancelled}})
	}
}

// maxSentWithin returns the largest number of calls that were sent within any interval of that length.
func (c *fleet) maxSentWithin(span int64) int {
	maxSent, from := 0, 0
	for i, at := range c.sent {
		for c.sent[from] < at-span {
			from++
		}
		maxSent = max(maxSent, i-from+1)
	}
	return maxSent
}

// withChance returns how many calls may be sent with a budget of n: it is exceeded a little by chance.
func withChance(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// A share below one call was rounded up to one by every worker at once: thirty that started together had
// thirty calls outstanding, where the dependency survives fifteen, or three. Cold workers must make still
// fewer calls.
func TestSumOfCallsKeepsTheBudget(t *testing.T) {
	for name, result := range map[string]func(int64) (int64, Outcome){
		"quick": func(int64) (int64, Outcome) { return 100_000, OK },
		"cold": func(now int64) (int64, Outcome) { // five times as slow at first
			return int64(200_000 * max(1, 5-4*float64(now)/10e6)), OK
		},
		"hangs": func(int64) (int64, Outcome) { return 60_000_000, OK },
	} {
		for _, n := range []int{20, 30} {
			for _, share := range []float64{0.1, 0.3, 0.5, 0.8, 1.3, 2.5} {
				c := newFleet(t, n, share, result)
				c.run(20_000_000, 250_000)
				if budget := float64(n) * share; float64(c.maxOutstanding) > withChance(budget) {
					t.Errorf("%s, %d workers with a share of %v: %d calls outstanding at once, %.1f allowed", name, n, share, c.maxOutstanding, withChance(budget))
				}
				if name == "quick" && float64(c.served) < float64(n)*share*10 {
					t.Errorf("%s, %d workers with a share of %v: only %d calls succeeded", name, n, share, c.served)
				}
			}
		}
	}
}

// Calls that are rejected at once return at once, from every worker: a dependency that rejects all must still
// be sent no more calls than its budget.
func TestSumOfCallsWhenDownstreamRejects(t *testing.T) {
	for _, outcome := range []Outcome{Rejected, Unreachable, Failed} {
		for _, share := range []float64{0.3, 0.8, 1.3, 2.5} {
			const n, usual = 30, 200_000 // duration of a call once the dependency works
			c := newFleet(t, n, share, func(now int64) (int64, Outcome) {
				if now > 3_000_000 && now < 13_000_000 {
					return 1_000, outcome
				}
				return usual, OK
			})
			c.run(20_000_000, 100_000)
			window := c.workers[0].cfg.CallShareWindow
			if budget := n * share * float64(window) / usual; float64(c.maxSentWithin(window)) > withChance(budget) {
				t.Errorf("outcome %d, a share of %v: %d calls in %d s, %.0f allowed", outcome, share, c.maxSentWithin(window), window/1_000_000, withChance(budget))
			}
			if last := c.sent[len(c.sent)-1]; last < 19_000_000 {
				t.Errorf("outcome %d, a share of %v: nothing is sent after %d s", outcome, share, last/1_000_000)
			}
		}
	}
}
