package calls

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"kiteslip/internal/frame"
	"kiteslip/internal/lab/probe"
	"kiteslip/internal/standin/ledger"
)

// Faulty is a script of the ledger in which one call in four goes wrong, each in
// one of the ways that there are; the same call meets the same fate each time.
func Faulty(c ledger.Call) ledger.Act {
	h := fnv.New64a()
	fmt.Fprint(h, c.Body, c.Try)
	switch h.Sum64() % 40 {
	case 0:
		return ledger.Act{Status: http.StatusServiceUnavailable, Untouched: true}
	case 1:
		return ledger.Act{Status: http.StatusServiceUnavailable, Ran: true}
	case 2:
		return ledger.Act{Status: http.StatusInternalServerError, Ran: true}
	case 3:
		return ledger.Act{Status: http.StatusGatewayTimeout, Ran: true}
	case 4:
		return ledger.Act{Status: http.StatusConflict, Untouched: true}
	case 5:
		return ledger.Act{Break: true, Ran: true}
	case 6:
		return ledger.Act{Garble: true, Ran: true}
	case 7:
		return ledger.Act{Size: 100 << 10}
	case 8:
		return ledger.Act{After: 200 * time.Millisecond}
	case 9:
		return ledger.Act{After: 10 * time.Second, Ran: h.Sum64()%80 == 9}
	}
	return ledger.Act{}
}

// Outcome is what became of the runs under faults.
type Outcome struct {
	Runs                     int
	Served, Refused, Failed  int
	Calls, GivenUp           int
	Late, Wrong              int // answers after their time; results that no run made
	Unanswered               int // requests without an answer; over all connections
	SecondRuns, SecondEffect int // keyed runs begun twice; their calls with an effect made twice
	Unended                  int // calls that the engine still waits for, or that ended more than once
	Cuts, Downs              int
}

func (o *Outcome) String() string {
	return fmt.Sprintf("%d runs over %d cuts of the engine's link and %d times without a ledger: %d served, %d refused, %d failed; %d calls, %d given up; "+
		"%d answers late, %d wrong, %d absent; %d second runs, %d second effects, %d calls without one end", o.Runs, o.Cuts, o.Downs, o.Served, o.Refused,
		o.Failed, o.Calls, o.GivenUp, o.Late, o.Wrong, o.Unanswered, o.SecondRuns, o.SecondEffect, o.Unended)
}

// faultConnections are connections that ask, one request after the other each.
const faultConnections = 96

// Faults lets runs meet all faults that there are.
func (l *Lab) Faults(runs int, seed uint64) (*Outcome, error) {
	o := &Outcome{Runs: runs}
	var mu sync.Mutex
	var all, breaker sync.WaitGroup
	done := make(chan struct{})
	breaker.Go(func() { l.injectFaults(o, rand.New(rand.NewPCG(seed, 1)), done) })
	errs := make(chan error, faultConnections)
	for lane := range faultConnections {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(lane)+2))
			c, err := probe.Dial(l.listen)
			if err != nil {
				errs <- err
				return
			}
			defer c.Close()
			for i := lane; i < runs; i += faultConnections {
				if err := l.requestOne(c, o, &mu, rng, i); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	all.Wait()
	close(done)
	breaker.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
	}
	return o, l.collect(o)
}

// requestOne asks for a run and judges what comes back.
func (l *Lab) requestOne(c *probe.Caller, o *Outcome, mu *sync.Mutex, rng *rand.Rand, i int) error {
	class, key := []string{ClassCallOptional, ClassCallRequired, ClassKeyed}[rng.IntN(3)], ""
	if class == ClassKeyed {
		key = fmt.Sprint("k", i)
	}
	body := fmt.Sprintf("%d*%d %s%d", 100+rng.IntN(2000), 1+rng.IntN(10)/9, class, i)
	due := time.Now().Add(classTimeout)
	name, err := c.SendTry(class, key, body, classTimeout)
	if err != nil {
		return err
	}
	r, err := c.Next()
	took := time.Now()
	l.engine.Over(name) // as the platform's engine sees for itself
	mu.Lock()
	defer mu.Unlock()
	if err != nil {
		o.Unanswered++
		return err
	}
	if took.After(due.Add(answerSlack)) {
		o.Late++
	}
	switch r.Code {
	case frame.Served:
		o.Served++
		if !resultCorrect(body, r.Body, class == ClassCallOptional) {
			o.Wrong++
		}
	case frame.Refused:
		o.Refused++
	default:
		o.Failed++
	}
	return nil
}

// injectFaults takes the ledger down and cuts the engine's link, until done.
func (l *Lab) injectFaults(o *Outcome, rng *rand.Rand, done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(200+rng.IntN(200)) * time.Millisecond):
		}
		if n%3 == 2 {
			l.ledger.Down()
			time.Sleep(time.Duration(50+rng.IntN(150)) * time.Millisecond)
			if l.ledger.Up() != nil {
				return // the program is told no other address; all calls fail from here, and show
			}
			o.Downs++
			continue
		}
		l.engine.Cut()
		o.Cuts++
	}
}

// collect waits until nothing is in hand, and counts what the engine and the ledger saw.
func (l *Lab) collect(o *Outcome) error {
	for began := time.Now(); l.engine.Open() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			break
		}
	}
	log := l.engine.Log()
	o.Unended = l.engine.Open() + log.RequestedCalls - log.Fed - log.SkippedCalls - log.EndedAtCall
	o.Calls, o.GivenUp = l.ledger.Seen()
	for body, n := range log.Begun {
		if n > 1 && isKeyed(body) {
			o.SecondRuns++
		}
	}
	for body, n := range l.ledger.Effects() {
		if _, run, _ := strings.Cut(body, " of "); n > 1 && isKeyed(run) {
			o.SecondEffect++
		}
	}
	return nil
}

// isKeyed says whether the run of that body is of the keyed class.
func isKeyed(body string) bool { return strings.Contains(body, " "+ClassKeyed) }
