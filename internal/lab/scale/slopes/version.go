package slopes

import (
	"fmt"

	"kiteslip/internal/config"
	"kiteslip/internal/control/document"
	"kiteslip/internal/core"
	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/slope"
)

// Bounds of the time that a change blocks the loop, ms, at the target's settings.
const (
	maxLoopMSOne  = 1.0  // a change of one tenant
	maxLoopMSMany = 10.0 // a change of manyTenants tenants
	manyTenants   = 5000
)

// follower does what a server does with versions, without its sockets: it prepares
// the configuration outside the loop and reconfigures the core as the loop would.
type follower struct {
	doc     *document.Document
	updater *config.Updater
	first   *config.Change
	core    *core.Core
}

func newFollower(s site) (*follower, error) {
	f := &follower{}
	var err error
	if f.doc, err = versionOf(content(s)); err != nil {
		return nil, err
	}
	own := site{teams: 3, routes: 4, cores: 4, listen: "127.0.0.1:1", engine: "127.0.0.1:2", sockets: 1024}
	c, err := config.ParseOperator(own.operatorFile(), nil)
	if err != nil {
		return nil, err
	}
	f.updater = config.NewUpdater(c)
	f.updater.SetTime(epochUS)
	if f.first, err = f.updater.PrepareVersion(f.doc, nil); err != nil {
		return nil, err
	}
	f.updater.Commit(f.first)
	f.core, err = core.New(core.Settings{Policy: f.first.Config.Policy}, &nowhere{})
	return f, err
}

// change prepares a version with n changed tenants and applies it to the core, then
// restores the first version. It returns the thread's processor time for the
// preparation and for the core, ms.
func (f *follower) change(n int) (beside, loop float64, err error) {
	b, err := encodeChanges(f.doc, n)
	if err != nil {
		return 0, 0, err
	}
	var ch *config.Change
	beside, err = threadTimeOf(func() error {
		delta, err := document.DecodeDelta(b)
		if err != nil {
			return err
		}
		next, err := f.doc.Apply(delta)
		if err == nil {
			ch, err = f.updater.PrepareVersion(next, delta)
		}
		return err
	})
	if err != nil {
		return 0, 0, err
	}
	if len(ch.Tenants) != n {
		return 0, 0, fmt.Errorf("slopes: a version with %d changed tenants has %d", n, len(ch.Tenants))
	}
	loop, err = threadTimeOf(func() error { return f.core.Reconfigure(ch.Config.Policy, ch.Config.RetiredClasses, ch.Pools) })
	if err == nil {
		err = f.core.Reconfigure(f.first.Config.Policy, f.first.Config.RetiredClasses, f.first.Pools)
	}
	return beside, loop, err
}

// versions measures what it costs a server to apply a version: outside the loop and
// on it.
func (m *measurement) versions() error {
	full := site{teams: m.target.Fleet.Tenants, routes: m.target.Fleet.Routes}
	changes := m.sizes(1, 10, 100, 300, 1000, manyTenants)
	if m.short {
		full = site{teams: 500, routes: 40}
	}
	target, err := newFollower(full)
	if err != nil {
		return err
	}
	if err = m.measureChanges("changes", manyTenants, changes, func(n float64) (beside, loop float64, err error) { return target.change(int(n)) }); err != nil {
		return err
	}
	followers := map[float64]*follower{}
	if err = m.measureChanges("tenants", float64(m.target.Fleet.Tenants), m.tenants(), func(n float64) (beside, loop float64, err error) {
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
	}{{"a version that changes one tenant, on the loop", 1, maxLoopMSOne}, {"a version that changes 5,000 tenants, on the loop", manyTenants, maxLoopMSMany}} {
		p := m.file.Slope("version on the loop/changes").Points
		for _, p := range p {
			if p.Size != g.n {
				continue
			}
			ok := p.Value <= g.bound
			m.figure(figures.Figure{Name: g.name, Role: figures.Settings, State: figures.Ordinary, Unit: "ms", Value: p.Value, Bound: g.bound, OK: ok})
			m.check(ok, "%s: %.3g ms, want at most %g", g.name, p.Value, g.bound)
		}
	}
	return nil
}

// measureChanges measures and stores the two slopes over one size, from the best
// round at each size.
func (m *measurement) measureChanges(size string, target float64, sizes []float64, f func(n float64) (beside, loop float64, err error)) error {
	var on []figures.Point
	beside, err := slope.Measure(sizes, m.rounds(5), slope.Best, func(n float64) (float64, error) {
		b, l, err := f(n)
		addValue(&on, n, l)
		return b, err
	})
	if err != nil {
		return err
	}
	for _, s := range []figures.Slope{
		{Name: "version beside the loop/" + size, Description: "a delta is read, applied and laid over the configuration", Points: beside},
		{Name: "version on the loop/" + size, Description: "the core takes it over (the names of what has changed come on top)", Points: summarized(on, slope.Best)},
	} {
		s.Role, s.Unit, s.SizeName, s.Target = figures.Settings, "ms", size, target
		if err = m.keep(s); err != nil {
			return err
		}
	}
	return nil
}
