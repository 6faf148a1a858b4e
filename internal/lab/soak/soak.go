// Package soak plays the whole program against random trouble: several real servers on
// loopback with engines, one ledger and a registry, callers on both front ends, and a
// plan of signals, upgrades, kills and broken links that is drawn from a seed. What
// callers and engines saw is recorded and judged afterwards by the rules that every
// server keeps.
//
// The plan is the same for the same seed; what the machine does in between is not. So a
// violation is reported with the whole path of its request.
package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kiteslip/internal/standin/ledger"
)

// Violation is a rule that was not kept.
type Violation struct {
	Kind string   `json:"kind"`
	What string   `json:"what"`
	Path []string `json:"path"` // all that is known of the request or process, in the order of time
}

// Result is what one seed showed.
type Result struct {
	Seed       uint64         `json:"seed"`
	Folder     string         `json:"folder,omitempty"` // with the logs, if it is kept
	Took       time.Duration  `json:"took_ns"`
	Places     int            `json:"places"`
	Processes  int            `json:"processes"`
	Counts     map[string]int `json:"counts"` // of requests by outcome, runs, actions and what was reached
	Violations []Violation    `json:"violations"`
}

// Options say what to play.
type Options struct {
	Program string // path of the server's program
	Seed    uint64
	Keep    bool // the folder with the logs of all processes is kept, see Result.Folder
}

// counters count what was reached.
type counters struct {
	refusedConnections atomic.Int64
	heldStores         atomic.Int64 // openings of a key store that were held up
	repeatedSignals    atomic.Int64
	actions            [actions]atomic.Int64
}

// game is one seed in play.
type game struct {
	program  string
	seed     uint64
	dir      string
	history  *history
	counts   counters
	ledger   *ledger.Ledger
	calls    callLog
	registry *registryStandin
	places   []*place
	stopping atomic.Bool // callers send nothing more
	lastTry  atomic.Uint64

	mu         sync.Mutex
	violations []Violation
}

// The load on each place.
const (
	frameCallers = 4
	uwsgiCallers = 1
)

// Play plays one seed. An error says that the soak itself could not be played.
func Play(o Options) (*Result, error) {
	began := time.Now()
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	g := &game{program: o.Program, seed: o.Seed, history: &history{}}
	var err error
	if g.dir, err = os.MkdirTemp("", "soak"); err != nil {
		return nil, err
	}
	if !o.Keep {
		defer os.RemoveAll(g.dir)
	}
	if g.ledger, err = ledger.Serve(g.calls.handle); err != nil {
		return nil, err
	}
	defer g.ledger.Stop()
	if g.registry, err = newRegistry(); err != nil {
		return nil, err
	}
	defer g.registry.silence()
	watched := make(chan struct{})
	defer close(watched)
	go g.history.watchPauses(watched)
	defer g.killAll()
	p := drawPlan(rng)
	if err = g.startPlaces(p); err != nil {
		return nil, err
	}
	g.play(p, rng)
	g.checkQuiet()
	g.stopAll()
	g.judge()
	r := g.result(time.Since(began))
	if o.Keep {
		r.Folder = g.dir
	}
	return r, nil
}

// startPlaces starts the first process of every server.
func (g *game) startPlaces(p plan) error {
	for i, plan := range p.places {
		pl, err := newPlace(g, i, plan)
		if err != nil {
			return err
		}
		g.places = append(g.places, pl)
		if pl.current, err = pl.start(); err != nil {
			return err
		}
	}
	for _, pl := range g.places {
		if !pl.current.awaitReady() {
			return fmt.Errorf("soak: %s did not become ready at the start", pl.name)
		}
	}
	return nil
}

// play runs the load with the steps of the plan.
func (g *game) play(p plan, rng *rand.Rand) {
	time.Sleep(p.quiet)
	began := time.Now()
	var callers, steps sync.WaitGroup
	for i, pl := range g.places {
		for n := range frameCallers {
			c := &frameCaller{place: pl, rng: rand.New(rand.NewPCG(g.seed, uint64(100*i+n+1))), id: fmt.Sprintf("%s-%d", pl.name, n), habit: habit(n % habits)}
			callers.Go(c.run)
		}
		for n := range uwsgiCallers {
			c := &uwsgiCaller{place: pl, rng: rand.New(rand.NewPCG(g.seed, uint64(100*i+50+n))), id: fmt.Sprintf("%s-u%d", pl.name, n)}
			callers.Go(c.run)
		}
	}
	for _, s := range p.steps {
		time.Sleep(time.Until(began.Add(s.at)))
		stepRNG := rand.New(rand.NewPCG(g.seed, rng.Uint64()))
		steps.Go(func() { g.places[s.place].carryOut(s, stepRNG) })
	}
	time.Sleep(time.Until(began.Add(loadTime)))
	steps.Wait()
	g.stopping.Store(true)
	callers.Wait()
}

// stopAll tells every process to stop and waits for the ends.
func (g *game) stopAll() {
	for _, p := range g.places {
		p.current.terminate(false)
	}
	for _, p := range g.places {
		for _, pr := range p.processes {
			<-pr.ended
		}
	}
}

// killAll ends every process and closes what belongs to it.
func (g *game) killAll() {
	for _, p := range g.places {
		for _, pr := range p.processes {
			if pr.cmd != nil && pr.cmd.Process != nil {
				pr.cmd.Process.Kill() //nolint:errcheck // it may have ended
				<-pr.ended
			}
			if pr.link != nil {
				pr.link.Close()
			}
			if pr.engine != nil {
				pr.engine.Close()
			}
		}
		p.close()
	}
}

func (g *game) nextTryID() string { return fmt.Sprintf("%016x", g.lastTry.Add(1)) }

// event records something that was done.
func (g *game) event(format string, args ...any) { g.history.addEvent(fmt.Sprintf(format, args...)) }

// violate records a violation that has no request.
func (g *game) violate(kind, what string, path ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.violations = append(g.violations, Violation{Kind: kind, What: what, Path: path})
}

// result sums up the seed.
func (g *game) result(took time.Duration) *Result {
	r := &Result{Seed: g.seed, Took: took, Places: len(g.places), Violations: append([]Violation{}, g.violations...), Counts: map[string]int{}}
	for _, p := range g.places {
		r.Processes += len(p.processes)
	}
	for _, request := range g.history.requests {
		r.Counts["requests"]++
		if len(request.answers) > 0 {
			r.Counts[request.answers[0].outcome.String()]++
		}
		if !request.connEnded.IsZero() {
			r.Counts["open_at_end_of_connection"]++
		}
	}
	r.Counts["runs"] = len(g.history.runs)
	r.Counts["refused_connections"] = int(g.counts.refusedConnections.Load())
	r.Counts["held_stores"] = int(g.counts.heldStores.Load())
	r.Counts["repeated_signals"] = int(g.counts.repeatedSignals.Load())
	for a := range actions {
		r.Counts[action(a).String()] = int(g.counts.actions[a].Load())
	}
	maps.DeleteFunc(r.Counts, func(_ string, n int) bool { return n == 0 })
	slices.SortFunc(r.Violations, func(a, b Violation) int {
		if a.Kind != b.Kind {
			if a.Kind < b.Kind {
				return -1
			}
			return 1
		}
		return 0
	})
	return r
}
