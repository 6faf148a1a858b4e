package slopes

import (
	"fmt"

	"kiteslip/internal/config"
	"kiteslip/internal/control/document"
	"kiteslip/internal/core"
	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/slope"
)

// What a change may hold the loop for, ms, at the target's settings.
const (
	holdOne  = 1.0  // of one tenant
	holdMany = 10.0 // of 5,000
	many     = 5000
)

// follower is what a server makes of versions, without its sockets: the places
// of its configuration, which are worked out beside the loop, and the core that
// the loop retunes.
type follower struct {
	doc    *document.Document
	places *config.Updater
	first  *config.Change
	core   *core.Core
}

func newFollower(s site) (*follower, error) {
	f := &follower{}
	var err error
	if f.doc, err = versionOf(content(s)); err != nil {
		return nil, err
	}
	few := site{teams: 3, routes: 4, cores: 4, listen: "127.0.0.1:1", engine: "127.0.0.1:2", sockets: 1024}
	c, err := config.ParseOperator(few.text(), nil)
	if err != nil {
		return nil, err
	}
	f.places = config.NewUpdater(c)
	f.places.SetTime(epoch)
	if f.first, err = f.places.PrepareVersion(f.doc, nil); err != nil {
		return nil, err
	}
	f.places.Commit(f.first)
	f.core, err = core.New(core.Settings{Policy: f.first.Config.Policy}, &nowhere{})
	return f, err
}

// change has a version with n changed tenants worked out, and put into the core;
// the one before is in force again afterwards. Both times are ms of this thread.
func (f *follower) change(n int) (beside, loop float64, err error) {
	b, err := changed(f.doc, n)
	if err != nil {
		return 0, 0, err
	}
	var ch *config.Change
	beside, err = timed(func() error {
		delta, err := document.DecodeDelta(b)
		if err != nil {
			return err
		}
		next, err := f.doc.Apply(delta)
		if err == nil {
			ch, err = f.places.PrepareVersion(next, delta)
		}
		return err
	})
	if err != nil {
		return 0, 0, err
	}
	if len(ch.Tenants) != n {
		return 0, 0, fmt.Errorf("slopes: a version with %d changed tenants changes %d", n, len(ch.Tenants))
	}
	loop, err = timed(func() error { return f.core.Reconfigure(ch.Config.Policy, ch.Config.RetiredClasses, ch.Pools) })
	if err == nil {
		err = f.core.Reconfigure(f.first.Config.Policy, f.first.Config.RetiredClasses, f.first.Pools)
	}
	return beside, loop, err
}

// versions measures what a server does to take a version over: beside the loop,
// and on it.
func (m *measurement) versions() error {
	full := site{teams: m.target.Fleet.Tenants, routes: m.target.Fleet.Routes}
	changes := m.sizes(1, 10, 100, 300, 1000, many)
	if m.short {
		full = site{teams: 500, routes: 40}
	}
	at, err := newFollower(full)
	if err != nil {
		return err
	}
	if err = m.taken("changes", many, changes, func(n float64) (beside, loop float64, err error) { return at.change(int(n)) }); err != nil {
		return err
	}
	followers := map[float64]*follower{}
	if err = m.taken("tenants", float64(m.target.Fleet.Tenants), m.tenants(), func(n float64) (beside, loop float64, err error) {
		if followers[n] == nil {
			if followers[n], err = newFollower(site{teams: int(n), routes: full.routes}); err != nil {
				return 0, 0, err
			}
		}
		return followers[n].change(1)
	}); err != nil {
		return err
	}
	if m.short {
		return nil
	}
	for _, g := range []struct {
		name  string
		n     float64
		bound float64
	}{{"a version that changes one tenant, on the loop", 1, holdOne}, {"a version that changes 5,000 tenants, on the loop", many, holdMany}} {
		p := m.file.Slope("version on the loop/changes").Points
		for _, p := range p {
			if p.Size != g.n {
				continue
			}
			ok := p.Value <= g.bound
			m.figure(figures.Figure{Name: g.name, Role: figures.Settings, State: figures.Ordinary, Unit: "ms", Value: p.Value, Bound: g.bound, OK: ok})
			m.want(ok, "%s: %.3g ms, want %g at most", g.name, p.Value, g.bound)
		}
	}
	return nil
}

// taken keeps the two slopes by one size. Of each size the best round counts.
func (m *measurement) taken(size string, target float64, sizes []float64, f func(n float64) (beside, loop float64, err error)) error {
	var on []figures.Point
	beside, err := slope.Measure(sizes, m.rounds(5), slope.Best, func(n float64) (float64, error) {
		b, l, err := f(n)
		add(&on, n, l)
		return b, err
	})
	if err != nil {
		return err
	}
	for _, s := range []figures.Slope{
		{Name: "version beside the loop/" + size, Description: "a delta is read, applied and laid over the configuration", Points: beside},
		{Name: "version on the loop/" + size, Description: "the core takes it over (the names of what has changed come on top)", Points: picked(on, slope.Best)},
	} {
		s.Role, s.Unit, s.SizeName, s.Target = figures.Settings, "ms", size, target
		if err = m.keep(s); err != nil {
			return err
		}
	}
	return nil
}
