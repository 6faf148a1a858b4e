package kiteslip

import (
	"cmp"
	"math"
	"slices"
	"testing"
)

// fleet is many workers that start in the same moment, cannot talk, and call
// one dependency. It counts what all of them have in hand there, and send it.
type fleet struct {
	workers    []*Worker
	now        int64
	queue      []scheduled
	inHand     int
	maxInHand  int     // in hand at once
	sent       []int64 // when each call was made
	served     int
	next       RequestID
	callResult func(now int64) (int64, Outcome) // what a call made now takes, and how it ends
}

type scheduled struct {
	at          int64
	worker      int
	event       Event
	inHandDelta int // by how much it changes what is in hand
}

func newFleet(t *testing.T, n int, share float64, takes func(int64) (int64, Outcome)) *fleet {
	t.Helper()
	c := &fleet{callResult: takes}
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

func (c *fleet) schedule(d scheduled) {
	at, _ := slices.BinarySearchFunc(c.queue, d.at+1, func(q scheduled, at int64) int { return cmp.Compare(q.at, at) })
	c.queue = slices.Insert(c.queue, at, d)
}

// run lets time go by in ticks, with an arrival at each worker every so often.
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
			c.inHand += d.inHandDelta
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

func (c *fleet) act(i int, a Action) {
	switch a.Kind {
	case Run:
		c.schedule(scheduled{at: c.now + 20_000, worker: i, event: Event{Kind: NeedsCall, ID: a.ID}})
	case Call:
		c.inHand++
		c.maxInHand = max(c.maxInHand, c.inHand)
		c.sent = append(c.sent, c.now)
		took, outcome := c.callResult(c.now)
		gone := took // from the dependency
		if took > a.After {
			took, outcome = a.After, TimedOut
			gone = min(gone, a.After+c.workers[i].cfg.MaxCallLinger)
		}
		c.schedule(scheduled{at: c.now + took, worker: i, event: Event{Kind: CallDone, ID: a.ID, Outcome: outcome, Elapsed: took}})
		c.schedule(scheduled{at: c.now + gone, worker: i, event: Event{Kind: Timer}, inHandDelta: -1})
		if outcome == OK {
			c.served++
			c.schedule(scheduled{at: c.now + took + 20_000, worker: i, event: Event{Kind: Done, ID: a.ID, Outcome: OK}})
		}
	case Fail:
		c.schedule(scheduled{at: c.now + 5_000, worker: i, event: Event{Kind: Done, ID: a.ID, Outcome: Cancelled}})
	}
}

// maxSentWithin is the most that was sent within any span.
func (c *fleet) maxSentWithin(span int64) int {
	most, from := 0, 0
	for i, at := range c.sent {
		for c.sent[from] < at-span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// withChance is what may be sent beyond a budget of n calls by chance alone.
func withChance(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// A share below one call each was rounded up to one, by every worker at once:
// thirty that started together had thirty calls in hand, where fifteen, or three,
// were what the dependency survives. Cold ones call less still.
func TestSumOfCallsKeepsTheBudget(t *testing.T) {
	for name, takes := range map[string]func(int64) (int64, Outcome){
		"quick": func(int64) (int64, Outcome) { return 100_000, OK },
		"cold": func(now int64) (int64, Outcome) { // five times as slow at first
			return int64(200_000 * max(1, 5-4*float64(now)/10e6)), OK
		},
		"hangs": func(int64) (int64, Outcome) { return 60_000_000, OK },
	} {
		for _, n := range []int{20, 30} {
			for _, share := range []float64{0.1, 0.3, 0.5, 0.8, 1.3, 2.5} {
				c := newFleet(t, n, share, takes)
				c.run(20_000_000, 250_000)
				if budget := float64(n) * share; float64(c.maxInHand) > withChance(budget) {
					t.Errorf("%s, %d workers with a share of %v: %d calls in hand at once, %.1f allowed", name, n, share, c.maxInHand, withChance(budget))
				}
				if name == "quick" && float64(c.served) < float64(n)*share*10 {
					t.Errorf("%s, %d workers with a share of %v: %d calls went well", name, n, share, c.served)
				}
			}
		}
	}
}

// A dependency that turns all away is sent no more than its budget's calls: what
// is turned away at once comes back at once otherwise, from every worker.
func TestSumOfCallsWhenDownstreamRejects(t *testing.T) {
	for _, outcome := range []Outcome{Rejected, Unreachable, Failed} {
		for _, share := range []float64{0.3, 0.8, 1.3, 2.5} {
			const n, usual = 30, 200_000 // a call takes so long once the dependency is well
			c := newFleet(t, n, share, func(now int64) (int64, Outcome) {
				if now > 3_000_000 && now < 13_000_000 {
					return 1_000, outcome
				}
				return usual, OK
			})
			c.run(20_000_000, 100_000)
			over := c.workers[0].cfg.CallShareWindow
			if budget := n * share * float64(over) / usual; float64(c.maxSentWithin(over)) > withChance(budget) {
				t.Errorf("outcome %d, a share of %v: %d calls in %d s, %.0f allowed", outcome, share, c.maxSentWithin(over), over/1_000_000, withChance(budget))
			}
			if last := c.sent[len(c.sent)-1]; last < 19_000_000 {
				t.Errorf("outcome %d, a share of %v: nothing is sent any more after %d s", outcome, share, last/1_000_000)
			}
		}
	}
}
