package slopes

import (
	"fmt"
	"runtime"
	"strconv"

	"kiteslip"
	"kiteslip/internal/config"
	"kiteslip/internal/core"
	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/slope"
)

// liveHeap returns the bytes of live objects on the heap after garbage collection.
func liveHeap() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what the finalizers of the first released
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// retained returns the heap, in KB, that the result of f occupies.
func retained[T any](f func() (T, error)) (kb float64, err error) {
	before := liveHeap()
	made, err := f()
	if err != nil {
		return 0, err
	}
	kb = (liveHeap() - before) / 1024
	runtime.KeepAlive(made)
	return max(kb, 0), nil
}

// nowhere is a runner and answer sink that discards everything.
type nowhere struct{ runs []*core.Request }

func (n *nowhere) Run(r *core.Request)        { n.runs = append(n.runs, r) }
func (n *nowhere) Answer(uint32, core.Answer) {}

// configured is a configuration with the core that uses it.
type configured struct {
	config *config.Config
	core   *core.Core
	sink   *nowhere
}

func configure(s site) (*configured, error) {
	if s.listen == "" {
		s.listen, s.engine, s.sockets = "127.0.0.1:1", "127.0.0.1:2", 1024
	}
	c := &configured{sink: &nowhere{}}
	var err error
	if c.config, err = config.ParseOperator(s.operatorFile(), nil); err != nil {
		return nil, err
	}
	c.core, err = core.New(core.Settings{Policy: c.config.Policy}, c.sink)
	return c, err
}

// memory measures the live heap by each size.
func (m *measurement) memory() error {
	rounds := m.rounds(2) // live objects are counted: values hardly vary
	keep := func(name, role, of, by string, target float64, sizes []float64, f func(size float64) (float64, error)) error {
		points, err := slope.Measure(sizes, rounds, slope.Median, f)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		return m.keep(figures.Slope{Name: name, Role: role, Description: of, Unit: "KB", SizeName: by, Points: points, Target: target})
	}
	if err := keep("heap/tenants", figures.Settings, "configuration and core, 4 routes", "tenants", float64(m.target.Fleet.Tenants), m.tenants(), func(size float64) (float64, error) {
		return retained(func() (*configured, error) { return configure(site{teams: int(size), routes: 4, cores: 4}) })
	}); err != nil {
		return err
	}
	if err := keep("heap/routes", figures.Settings, "configuration and core, 3 tenants", "routes", float64(m.target.Fleet.Routes), m.routes(), func(size float64) (float64, error) {
		return retained(func() (*configured, error) { return configure(site{teams: 3, routes: int(size), cores: 4}) })
	}); err != nil {
		return err
	}
	body := make([]byte, m.target.Assumed.BodyBytes)
	if err := keep("heap/held", figures.Core, fmt.Sprintf("requests in the book, bodies of %d bytes", len(body)), "held requests", float64(m.target.Assumed.MaxQueued),
		m.sizes(31, 62, 125, 250, 500, 1000), func(size float64) (float64, error) {
			return m.trackedMemory(int(size), kiteslip.Repeatable, body)
		}); err != nil {
		return err
	}
	keys := m.target.RequestsPerServer() * m.target.Assumed.KeyedFraction * m.target.Assumed.KeyWindowS
	return keep("heap/keys", figures.Keys, fmt.Sprintf("results kept for keys, of %d bytes", len(body)), "kept keys", keys,
		m.sizes(100, 300, 1000, 3000, 10000), func(size float64) (float64, error) {
			return m.trackedMemory(int(size), kiteslip.Keyed, body)
		})
}

// trackedMemory returns the memory, in KB, of n requests in a core: queued ones, or
// keyed ones that have ended and whose results are kept.
func (m *measurement) trackedMemory(n int, effect kiteslip.Effect, body []byte) (float64, error) {
	set := site{teams: 3, routes: 4, cores: 4}.settings()
	for i := range set.Classes {
		set.Classes[i].Effect, set.Classes[i].Window = effect, hourUS
	}
	to := &nowhere{}
	c, err := core.New(core.Settings{Policy: set}, to)
	if err != nil {
		return 0, err
	}
	c.Step(epochUS)
	kb, err := retained(func() (*core.Core, error) {
		now := epochUS
		for i := range n {
			now += requestIntervalUS
			r := &core.Request{TryID: fmt.Sprintf("%016x", i), Class: i % 4, Tenant: i % 3, Arrived: now, Deadline: now + hourUS, SizeKB: 16,
				Body: append([]byte(nil), body...), ReplyTo: to}
			if effect == kiteslip.Keyed {
				r.Key = strconv.Itoa(i)
			}
			if err := c.Submit(now, r); err != nil {
				return nil, err
			}
			c.Step(now)
			if effect != kiteslip.Keyed {
				continue
			}
			for _, r := range to.runs {
				c.Done(r, kiteslip.OK, runUS, append([]byte(nil), body...))
			}
			to.runs = to.runs[:0]
			c.Step(now + runUS)
		}
		return c, nil
	})
	if err != nil {
		return 0, err
	}
	if requests, keys := c.Tracked(); effect == kiteslip.Keyed && keys != n || effect != kiteslip.Keyed && requests != n {
		return 0, fmt.Errorf("slopes: the core has %d requests and %d keys, want %d", requests, keys, n)
	}
	runtime.KeepAlive(to)
	return kb, nil
}
