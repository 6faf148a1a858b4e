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

// alive is what lives on the heap, bytes, once what does not is collected.
func alive() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC() // what finalizers let go
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// settled is the memory, KB, of what f makes while it is kept.
func settled[T any](f func() (T, error)) (kb float64, err error) {
	before := alive()
	made, err := f()
	if err != nil {
		return 0, err
	}
	kb = (alive() - before) / 1024
	runtime.KeepAlive(made)
	return max(kb, 0), nil
}

// served by nobody: runs and answers go nowhere.
type nowhere struct{ runs []*core.Request }

func (n *nowhere) Run(r *core.Request)        { n.runs = append(n.runs, r) }
func (n *nowhere) Answer(uint32, core.Answer) {}

// configured is a configuration and the core that serves by it.
type configured struct {
	config *config.Config
	core   *core.Core
	to     *nowhere
}

func configure(s site) (*configured, error) {
	if s.listen == "" {
		s.listen, s.engine, s.sockets = "127.0.0.1:1", "127.0.0.1:2", 1024
	}
	c := &configured{to: &nowhere{}}
	var err error
	if c.config, err = config.ParseOperator(s.text(), nil); err != nil {
		return nil, err
	}
	c.core, err = core.New(core.Settings{Policy: c.config.Policy}, c.to)
	return c, err
}

// memory measures what lives on the heap by each size.
func (m *measurement) memory() error {
	rounds := m.rounds(2) // what lives is counted: it hardly differs
	keep := func(name, role, of, by string, target float64, sizes []float64, f func(size float64) (float64, error)) error {
		points, err := slope.Measure(sizes, rounds, slope.Median, f)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		return m.keep(figures.Slope{Name: name, Role: role, Description: of, Unit: "KB", SizeName: by, Points: points, Target: target})
	}
	if err := keep("heap/tenants", figures.Settings, "configuration and core, 4 routes", "tenants", float64(m.target.Fleet.Tenants), m.tenants(), func(size float64) (float64, error) {
		return settled(func() (*configured, error) { return configure(site{teams: int(size), routes: 4, cores: 4}) })
	}); err != nil {
		return err
	}
	if err := keep("heap/routes", figures.Settings, "configuration and core, 3 tenants", "routes", float64(m.target.Fleet.Routes), m.routes(), func(size float64) (float64, error) {
		return settled(func() (*configured, error) { return configure(site{teams: 3, routes: int(size), cores: 4}) })
	}); err != nil {
		return err
	}
	body := make([]byte, m.target.Assumed.BodyBytes)
	if err := keep("heap/held", figures.Core, fmt.Sprintf("requests in the book, bodies of %d bytes", len(body)), "held requests", float64(m.target.Assumed.MaxQueued),
		m.sizes(31, 62, 125, 250, 500, 1000), func(size float64) (float64, error) {
			return m.book(int(size), kiteslip.Repeatable, body)
		}); err != nil {
		return err
	}
	keys := m.target.RequestsPerServer() * m.target.Assumed.KeyedFraction * m.target.Assumed.KeyWindowS
	return keep("heap/keys", figures.Keys, fmt.Sprintf("results kept for keys, of %d bytes", len(body)), "kept keys", keys,
		m.sizes(100, 300, 1000, 3000, 10000), func(size float64) (float64, error) {
			return m.book(int(size), kiteslip.Keyed, body)
		})
}

// book is what n requests in a core amount to, KB: held ones, or keyed ones that are over.
func (m *measurement) book(n int, effect kiteslip.Effect, body []byte) (float64, error) {
	set := site{teams: 3, routes: 4, cores: 4}.settings()
	for i := range set.Classes {
		set.Classes[i].Effect, set.Classes[i].Window = effect, hour
	}
	to := &nowhere{}
	c, err := core.New(core.Settings{Policy: set}, to)
	if err != nil {
		return 0, err
	}
	c.Step(epoch)
	kb, err := settled(func() (*core.Core, error) {
		now := epoch
		for i := range n {
			now += requestEvery
			r := &core.Request{TryID: fmt.Sprintf("%016x", i), Class: i % 4, Tenant: i % 3, Arrived: now, Deadline: now + hour, SizeKB: 16,
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
				c.Done(r, kiteslip.OK, runTime, append([]byte(nil), body...))
			}
			to.runs = to.runs[:0]
			c.Step(now + runTime)
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
