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

// decider is one Worker with so many requests held, which decides on requests
// of tenants and classes drawn at random: each arrives, one ends, and the timer
// that fell due is told, a batch for each of the three.
type decider struct {
	w       *kiteslip.Worker
	set     kiteslip.Settings
	rng     *rand.Rand
	acts    []kiteslip.Action
	event   [1]kiteslip.Event
	now     int64
	id      kiteslip.RequestID
	running []kiteslip.RequestID
	held    map[kiteslip.RequestID]bool
	token   uint64
	lost    int // turned away or given up: it must stay 0
}

const (
	epoch        = int64(1_700_000_000_000_000)
	runTime      = 4_000 // microseconds of work
	requestEvery = 4_500 // between two requests, by the module's clock
)

// newDecider fills a worker until so many requests are held.
func newDecider(s site, held int, seed uint64) (*decider, error) {
	return decide(s.settings(), held, seed)
}

func decide(set kiteslip.Settings, held int, seed uint64) (*decider, error) {
	w, err := kiteslip.New(set, seed)
	if err != nil {
		return nil, err
	}
	d := &decider{w: w, set: set, rng: rand.New(rand.NewPCG(seed, 32)), now: epoch, held: map[kiteslip.RequestID]bool{}}
	d.step(kiteslip.Event{Kind: kiteslip.Timer})
	// Until it has learned what the work is, the module takes little.
	for range 300 {
		d.request()
	}
	for i := 0; len(d.held) < held; i++ {
		if i > 4*held+100 {
			return nil, fmt.Errorf("slopes: %d requests are held, want %d", len(d.held), held)
		}
		d.arrive()
	}
	for range 30 {
		d.request()
	}
	if len(d.held) < held*9/10 || d.lost > 0 {
		return nil, fmt.Errorf("slopes: %d requests are held and %d turned away, want %d and none", len(d.held), d.lost, held)
	}
	return d, nil
}

// step is one batch of one event, and carries out what comes of it.
func (d *decider) step(e kiteslip.Event) {
	d.event[0] = e
	d.acts = d.w.Step(d.now, d.event[:], d.acts[:0])
	for i := range d.acts {
		switch a := &d.acts[i]; a.Kind {
		case kiteslip.Run:
			delete(d.held, a.ID)
			d.running = append(d.running, a.ID)
		case kiteslip.SetTimer:
			d.token = a.Token
		case kiteslip.Refuse, kiteslip.Fail, kiteslip.Halt:
			delete(d.held, a.ID)
			d.lost++
		}
	}
}

func (d *decider) arrive() {
	d.id++
	d.now += 500
	d.held[d.id] = true
	d.step(kiteslip.Event{Kind: kiteslip.Arrive, ID: d.id, Class: d.rng.IntN(len(d.set.Classes)), Tenant: d.rng.IntN(max(1, len(d.set.Tenants))),
		Caller: d.rng.IntN(4200), SizeKB: 16, Key: uint64(d.id)})
}

// request is one request's three batches.
func (d *decider) request() {
	d.arrive()
	d.now += 2_000
	if len(d.running) > 0 {
		id := d.running[0]
		d.running = append(d.running[:0], d.running[1:]...)
		d.step(kiteslip.Event{Kind: kiteslip.Done, Outcome: kiteslip.OK, ID: id, Elapsed: runTime})
	}
	d.now += 2_000
	d.step(kiteslip.Event{Kind: kiteslip.Timer, Token: d.token, Gauges: kiteslip.Gauges{Valid: true, Busy: 1, Runnable: float32(len(d.running))}})
}

// cost is the mean processor time of one request, microseconds, over such a
// span of it. The time is this thread's own: what else the machine does counts
// only by what it leaves in the caches.
func (d *decider) cost(span time.Duration) (us float64, err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	held, lost := len(d.held), d.lost
	began, n, took := threadTime(), 0, time.Duration(0)
	for took < span || n < 20 {
		for range 10 {
			d.request()
		}
		n += 10
		took = threadTime() - began
	}
	if d.lost > lost || len(d.held) < held*9/10 || len(d.held) > held+max(10, held/5) {
		return 0, fmt.Errorf("slopes: %d requests are held, want %d, and %d were turned away", len(d.held), held, d.lost-lost)
	}
	return float64(took.Nanoseconds()) / 1000 / float64(n), nil
}

// threadTime is the processor time of this thread.
func threadTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return time.Duration(time.Now().UnixNano()) // a system without it: the time that passes
	}
	return time.Duration(t.Nano())
}

// deciders are made once for each size, and measured in turn.
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
	decisionCores = 4
	decisionSeed  = 7
	decisionSpan  = 15 * time.Millisecond
	worstRatio    = 1.25 // a decision at the target over one with three tenants and four classes
)

// decisions measures what one request's decisions cost.
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
	for _, held := range []int{0, m.target.Assumed.Queued, m.target.Assumed.MaxQueued} {
		err := slopeOf(fmt.Sprintf("decision/tenants/held=%d", held), fmt.Sprintf("one request's decisions with %d held, routes as many as tenants let", held),
			"tenants", float64(tenants), m.tenants(), func(size float64) (*decider, error) {
				// 3 tenants with 4 classes and 21,000 with 2,800 are the ends; between them the classes grow alike.
				classes := 4 + int(float64(routes-4)*(size-3)/float64(max(tenants-3, 1)))
				return newDecider(site{teams: int(size), routes: classes, cores: decisionCores}, held, decisionSeed)
			})
		if err != nil {
			return err
		}
		s := &m.file.Slopes[len(m.file.Slopes)-1]
		ratio := s.Points[len(s.Points)-1].Value / s.Points[0].Value
		m.say("%s: %.3g times that of 3 tenants", s.Name, ratio)
		m.figure(figures.Figure{Name: fmt.Sprintf("decision over that of 3 tenants and 4 routes, %d held", held), Role: figures.Core, State: figures.Peak, Unit: "times",
			Value: ratio, Bound: worstRatio, OK: ratio <= worstRatio})
		if !m.short {
			m.want(ratio <= worstRatio, "a decision with %d held costs %.2f times that of 3 tenants, want %.2f at most", held, ratio, worstRatio)
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
		set := site{teams: 3, routes: 4, cores: decisionCores}.settings()
		for i := range set.Classes {
			set.Classes[i].Effect = kiteslip.Keyed
			set.Classes[i].Window = int64(size) * requestEvery // so many are kept once as many have come and gone
		}
		d, err := decide(set, 0, decisionSeed)
		for i := 0; err == nil && i < int(size); i++ {
			d.request()
		}
		return d, err
	})
}
