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

// Faulty is a script of the ledger in which one call in four has a fault, of each
// kind that the protocol has. It depends on the body and the number of the try only.
func Faulty(c ledger.Call) ledger.Response {
	hash := fnv.New64a()
	fmt.Fprint(hash, c.Body, c.Try)
	switch hash.Sum64() % 40 {
	case 0:
		return ledger.Response{Status: http.StatusServiceUnavailable, Untouched: true}
	case 1:
		return ledger.Response{Status: http.StatusServiceUnavailable, TakesEffect: true}
	case 2:
		return ledger.Response{Status: http.StatusInternalServerError, TakesEffect: true}
	case 3:
		return ledger.Response{Status: http.StatusGatewayTimeout, TakesEffect: true}
	case 4:
		return ledger.Response{Status: http.StatusConflict, Untouched: true}
	case 5:
		return ledger.Response{CloseEarly: true, TakesEffect: true}
	case 6:
		return ledger.Response{Malformed: true, TakesEffect: true}
	case 7:
		return ledger.Response{ReplyBytes: 100 << 10}
	case 8:
		return ledger.Response{Delay: 200 * time.Millisecond}
	case 9:
		return ledger.Response{Delay: 10 * time.Second, TakesEffect: hash.Sum64()%80 == 9}
	}
	return ledger.Response{}
}

// Outcome is the result of Faults.
type Outcome struct {
	Runs                          int
	Served, Refused, Failed       int
	Calls, GivenUp                int
	Late, Wrong                   int // answers after the class timeout; results that do not belong to their request
	Unanswered                    int // requests without an answer
	RepeatedRuns, RepeatedEffects int // keyed runs that were started, and calls of them that took effect, more than once
	UnfinishedCalls               int // 0 if no run is active and every call has ended exactly once
	LinkCuts, LedgerOutages       int // of the engine's link; of the ledger
}

func (o *Outcome) String() string {
	return fmt.Sprintf("%d runs, %d cuts of the engine's link, %d outages of the ledger: %d served, %d refused, %d failed; %d calls, %d given up; "+
		"%d answers late, %d wrong, %d missing; %d second runs, %d second effects, %d calls not ended exactly once", o.Runs, o.LinkCuts, o.LedgerOutages, o.Served, o.Refused,
		o.Failed, o.Calls, o.GivenUp, o.Late, o.Wrong, o.Unanswered, o.RepeatedRuns, o.RepeatedEffects, o.UnfinishedCalls)
}

// faultConnections is how many connections send at once, one request each.
const faultConnections = 96

// Faults sends requests while the ledger and the engine's link fail.
func (l *Lab) Faults(runs int, seed uint64) (*Outcome, error) {
	o := &Outcome{Runs: runs}
	var mu sync.Mutex
	var connections, faults sync.WaitGroup
	done := make(chan struct{})
	faults.Go(func() { l.injectFaults(o, rand.New(rand.NewPCG(seed, 1)), done) })
	errs := make(chan error, faultConnections)
	for first := range faultConnections {
		connections.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(first)+2))
			c, err := probe.Dial(l.listen)
			if err != nil {
				errs <- err
				return
			}
			defer c.Close()
			for i := first; i < runs; i += faultConnections {
				if err := l.requestOne(c, o, &mu, rng, i); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	connections.Wait()
	close(done)
	faults.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
	}
	return o, l.collect(o)
}

// requestOne sends a request and checks its answer.
func (l *Lab) requestOne(c *probe.Caller, o *Outcome, mu *sync.Mutex, rng *rand.Rand, i int) error {
	class, key := []string{ClassCallOptional, ClassCallRequired, ClassKeyed}[rng.IntN(3)], ""
	if class == ClassKeyed {
		key = fmt.Sprint("k", i)
	}
	body := fmt.Sprintf("%d*%d %s%d", 100+rng.IntN(2000), 1+rng.IntN(10)/9, class, i)
	deadline := time.Now().Add(classTimeout)
	tryID, err := c.SendTry(class, key, body, classTimeout)
	if err != nil {
		return err
	}
	r, err := c.Next()
	answered := time.Now()
	l.engine.RequestDone(tryID) // the platform's engine notices this by itself
	mu.Lock()
	defer mu.Unlock()
	if err != nil {
		o.Unanswered++
		return err
	}
	if answered.After(deadline.Add(answerSlack)) {
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

// injectFaults takes the ledger down and cuts the engine's link at random times,
// until done is closed.
func (l *Lab) injectFaults(o *Outcome, rng *rand.Rand, done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(200+rng.IntN(200)) * time.Millisecond):
		}
		if n%3 == 2 {
			l.ledger.Stop()
			time.Sleep(time.Duration(50+rng.IntN(150)) * time.Millisecond)
			if l.ledger.Start() != nil {
				return // the server knows no other address: all further calls fail, and show in the outcome
			}
			o.LedgerOutages++
			continue
		}
		l.engine.Disconnect()
		o.LinkCuts++
	}
}

// collect waits until no run is active, and adds the counts of the engine and the
// ledger to the outcome.
func (l *Lab) collect(o *Outcome) error {
	for began := time.Now(); l.engine.ActiveRuns() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			break
		}
	}
	log := l.engine.Log()
	o.UnfinishedCalls = l.engine.ActiveRuns() + log.RequestedCalls - log.CallResults - log.SkippedCalls - log.EndedAtCall
	o.Calls, o.GivenUp = l.ledger.Received()
	for body, n := range log.Started {
		if n > 1 && isKeyed(body) {
			o.RepeatedRuns++
		}
	}
	for body, n := range l.ledger.Effects() {
		if _, run, _ := strings.Cut(body, " of "); n > 1 && isKeyed(run) {
			o.RepeatedEffects++
		}
	}
	return nil
}

// isKeyed reports whether a body is of the keyed class.
func isKeyed(body string) bool { return strings.Contains(body, " "+ClassKeyed) }
