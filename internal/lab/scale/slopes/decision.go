package slopes

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"kiteslip"
	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/slope"
)

// decider drives one kiteslip.Worker with a constant number of queued requests. For
// each request of a random tenant and class it runs three steps of one event each:
// a request arrives, a run ends, and the timer fires.
type decider struct {
	worker     *kiteslip.Worker
	settings   kiteslip.Settings
	rng        *rand.Rand
	actions    []kiteslip.Action
	event      [1]kiteslip.Event
	now        int64
	lastID     kiteslip.RequestID
	running    []kiteslip.RequestID
	queued     map[kiteslip.RequestID]bool
	timerToken uint64
	lost       int // requests refused, failed or halted; must stay 0
}

const (
	epochUS           = int64(1_700_000_000_000_000)
	runUS             = 4_000 // work of each request, microseconds
	requestIntervalUS = 4_500 // between two requests by the policy's clock, microseconds
)

// newDecider returns a decider with the given number of queued requests.
func newDecider(s site, queued int, seed uint64) (*decider, error) {
	return newDeciderWith(s.settings(), queued, seed)
}

func newDeciderWith(settings kiteslip.Settings, queued int, seed uint64) (*decider, error) {
	w, err := kiteslip.New(settings, seed)
	if err != nil {
		return nil, err
	}
	d := &decider{worker: w, settings: settings, rng: rand.New(rand.NewPCG(seed, 32)), now: epochUS, queued: map[kiteslip.RequestID]bool{}}
	d.step(kiteslip.Event{Kind: kiteslip.Timer})
	// The policy admits little until it has learned the mean work.
	for range 300 {
		d.request()
	}
	for i := 0; len(d.queued) < queued; i++ {
		if i > 4*queued+100 {
			return nil, fmt.Errorf("slopes: %d requests are queued, want %d", len(d.queued), queued)
		}
		d.arrive()
	}
	for range 30 {
		d.request()
	}
	if len(d.queued) < queued*9/10 || d.lost > 0 {
		return nil, fmt.Errorf("slopes: %d requests are queued and %d refused or failed, want %d and none", len(d.queued), d.lost, queued)
	}
	return d, nil
}

// step runs one step of one event and carries out its actions.
func (d *decider) step(e kiteslip.Event) {
	d.event[0] = e
	d.actions = d.worker.Step(d.now, d.event[:], d.actions[:0])
	for i := range d.actions {
		switch a := &d.actions[i]; a.Kind {
		case kiteslip.Run:
			delete(d.queued, a.ID)
			d.running = append(d.running, a.ID)
		case kiteslip.SetTimer:
			d.timerToken = a.Token
		case kiteslip.Refuse, kiteslip.Fail, kiteslip.Halt:
			delete(d.queued, a.ID)
			d.lost++
		}
	}
}

func (d *decider) arrive() {
	d.lastID++
	d.now += 500
	d.queued[d.lastID] = true
	d.step(kiteslip.Event{Kind: kiteslip.Arrive, ID: d.lastID, Class: d.rng.IntN(len(d.settings.Classes)), Tenant: d.rng.IntN(max(1, len(d.settings.Tenants))),
		Caller: d.rng.IntN(4200), SizeKB: 16, Key: uint64(d.lastID)})
}

// request runs the three steps of one request.
func (d *decider) request() {
	d.arrive()
	d.now += 2_000
	if len(d.running) > 0 {
		id := d.running[0]
		d.running = append(d.running[:0], d.running[1:]...)
		d.step(kiteslip.Event{Kind: kiteslip.Done, Outcome: kiteslip.OK, ID: id, Elapsed: runUS})
	}
	d.now += 2_000
	d.step(kiteslip.Event{Kind: kiteslip.Timer, Token: d.timerToken, Gauges: kiteslip.Gauges{Valid: true, Busy: 1, Runnable: float32(len(d.running))}})
}

// cost returns the mean processor time of one request in microseconds, measured
// for at least span. It counts the time of this thread only, so that other load on
// the machine has an effect only through the caches.
func (d *decider) cost(span time.Duration) (us float64, err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	queued, lost := len(d.queued), d.lost
	began, n, took := threadTime(), 0, time.Duration(0)
	for took < span || n < 20 {
		for range 10 {
			d.request()
		}
		n += 10
		took = threadTime() - began
	}
	if d.lost > lost || len(d.queued) < queued*9/10 || len(d.queued) > queued+max(10, queued/5) {
		return 0, fmt.Errorf("slopes: %d requests are queued, want %d, and %d were refused or failed", len(d.queued), queued, d.lost-lost)
	}
	return float64(took.Nanoseconds()) / 1000 / float64(n), nil
}

// threadTime returns the processor time of this thread.
func threadTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return time.Duration(time.Now().UnixNano()) // not supported: elapsed time instead
	}
	return time.Duration(t.Nano())
}

// deciders holds one decider per size, created at its first measurement.
type deciders struct {
	made map[float64]*decider
	make func(size float64) (*decider, error)
	span time.Duration
}

func (ds *deciders) at(size float64) (float64, error) {
	d := ds.made[size]
	if d == nil {
		var err error
		if d, err = ds.make(size); err != nil {
			return 0, err
		}
		ds.made[size] = d
	}
	return d.cost(ds.span)
}

const (
	decisionCores    = 4
	decisionSeed     = 7
	decisionSpan     = 15 * time.Millisecond
	maxDecisionRatio = 1.25 // most that a decision at the target may cost relative to one with 3 tenants and 4 classes
)

// decisions measures the processor time of the decisions on one request.
func (m *measurement) decisions() error {
	span, rounds := decisionSpan, m.rounds(7)
	if m.short {
		span = time.Millisecond
	}
	tenants, routes := m.target.Fleet.Tenants, m.target.Fleet.Routes
	slopeOf := func(name, of, by string, target float64, sizes []float64, f func(size float64) (*decider, error)) error {
		ds := &deciders{made: map[float64]*decider{}, make: f, span: span}
		points, err := slope.Measure(sizes, rounds, slope.Best, ds.at)
		if err != nil {
			return err
		}
		return m.keep(figures.Slope{Name: name, Role: figures.Core, Description: of, Unit: "us", SizeName: by, Points: points, Target: target})
	}
	for _, queued := range []int{0, m.target.Assumed.Queued, m.target.Assumed.MaxQueued} {
		err := slopeOf(fmt.Sprintf("decision/tenants/held=%d", queued), fmt.Sprintf("one request's decisions with %d held, routes as many as tenants let", queued),
			"tenants", float64(tenants), m.tenants(), func(size float64) (*decider, error) {
				// Classes grow linearly with tenants, from 4 with 3 tenants to 2,800 with 21,000.
				classes := 4 + int(float64(routes-4)*(size-3)/float64(max(tenants-3, 1)))
				return newDecider(site{teams: int(size), routes: classes, cores: decisionCores}, queued, decisionSeed)
			})
		if err != nil {
			return err
		}
		s := &m.file.Slopes[len(m.file.Slopes)-1]
		ratio := s.Points[len(s.Points)-1].Value / s.Points[0].Value
		m.logf("%s: %.3g times the cost with 3 tenants", s.Name, ratio)
		m.figure(figures.Figure{Name: fmt.Sprintf("decision over that of 3 tenants and 4 routes, %d held", queued), Role: figures.Core, State: figures.Peak, Unit: "times",
			Value: ratio, Bound: maxDecisionRatio, OK: ratio <= maxDecisionRatio})
		if !m.short {
			m.check(ratio <= maxDecisionRatio, "a decision with %d queued costs %.2f times that with 3 tenants, want at most %.2f", queued, ratio, maxDecisionRatio)
		}
	}
	if err := slopeOf("decision/routes", "one request's decisions with 50 held and 3 tenants", "routes", float64(routes), m.routes(), func(size float64) (*decider, error) {
		return newDecider(site{teams: 3, routes: int(size), cores: decisionCores}, m.target.Assumed.Queued, decisionSeed)
	}); err != nil {
		return err
	}
	if err := slopeOf("decision/held", "one request's decisions at the target's tenants and routes", "held requests", float64(m.target.Assumed.MaxQueued),
		m.sizes(0, 8, 16, 31, 62, 125, 250, 500), func(size float64) (*decider, error) {
			s := site{teams: tenants, routes: routes, cores: decisionCores}
			if m.short {
				s.teams, s.routes = 30, 8
			}
			return newDecider(s, int(size), decisionSeed)
		}); err != nil {
		return err
	}
	keys := m.target.RequestsPerServer() * m.target.Assumed.KeyedFraction * m.target.Assumed.KeyWindowS
	return slopeOf("decision/keys", "one keyed request's decisions with so many keys kept", "kept keys", keys, m.sizes(30, 100, 300, 1000, 3000, 10000), func(size float64) (*decider, error) {
		settings := site{teams: 3, routes: 4, cores: decisionCores}.settings()
		for i := range settings.Classes {
			settings.Classes[i].Effect = kiteslip.Keyed
			settings.Classes[i].Window = int64(size) * requestIntervalUS // size keys are kept once size requests have ended
		}
		d, err := newDeciderWith(settings, 0, decisionSeed)
		for i := 0; err == nil && i < int(size); i++ {
			d.request()
		}
		return d, err
	})
}
