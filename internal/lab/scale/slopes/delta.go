package slopes

import (
	"fmt"
	"runtime"
	"time"

	"kiteslip/internal/control/document"
	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/slope"
)

// content is what a version of the fleet's document holds at such sizes.
func content(s site) document.Content {
	var c document.Content
	for i := range s.teams {
		c.Teams = append(c.Teams, document.Team{Name: teamName(i), Quota: teamQuota(i)})
	}
	ms := func(v float64) *float64 { return &v }
	for i := range s.routes {
		if i%serviceRoutes == 0 {
			c.Services = append(c.Services, document.Service{Name: fmt.Sprintf("service-%03d", i/serviceRoutes), Owner: teamName(i / serviceRoutes % s.teams)})
		}
		of := &c.Services[len(c.Services)-1]
		of.Contracts = append(of.Contracts, document.Contract{Class: className(i), Effect: "repeatable", TargetTimeMS: ms(1400), DeadlineMS: ms(4200), Worth: ms(float64(1 + i%3))})
	}
	return c
}

// versionOf is the first version with that content.
func versionOf(c document.Content) (*document.Document, error) {
	from := document.Empty()
	return stepped(from, from.Diff(&c))
}

func stepped(from *document.Document, changes []document.Change) (*document.Document, error) {
	d, err := from.Draft(changes, by)
	if err != nil {
		return nil, err
	}
	return from.Apply(d)
}

var by = document.Meta{Author: "operator", Reason: "a change as measured", Time: epoch}

// deltas measures the bytes and the times of versions: a delta by its changes,
// a snapshot by tenants.
func (m *measurement) deltas() error {
	full := site{teams: m.target.Fleet.Tenants, routes: m.target.Fleet.Routes}
	if m.short {
		full = site{teams: 500, routes: 40}
	}
	base, err := versionOf(content(full))
	if err != nil {
		return err
	}
	sizes := m.sizes(1, 10, 100, 300, 1000, 5000)
	bytes, err := slope.Measure(sizes, 1, slope.Median, func(n float64) (float64, error) {
		b, err := changed(base, int(n))
		return float64(len(b)), err
	})
	if err != nil {
		return err
	}
	apply, err := slope.Measure(sizes, m.rounds(5), slope.Best, func(n float64) (float64, error) {
		b, err := changed(base, int(n))
		if err != nil {
			return 0, err
		}
		return timed(func() error {
			d, err := document.DecodeDelta(b)
			if err == nil {
				_, err = base.Apply(d)
			}
			return err
		})
	})
	if err != nil {
		return err
	}
	snapshots := map[float64][]byte{}
	snapshot, err := slope.Measure(m.tenants(), 1, slope.Median, func(n float64) (float64, error) {
		d, err := versionOf(content(site{teams: int(n), routes: full.routes}))
		if err != nil {
			return 0, err
		}
		snapshots[n], err = d.Snapshot()
		return float64(len(snapshots[n])), err
	})
	if err != nil {
		return err
	}
	opened, err := slope.Measure(m.tenants(), m.rounds(3), slope.Best, func(n float64) (float64, error) {
		return timed(func() error { _, err := document.DecodeSnapshot(snapshots[n]); return err })
	})
	if err != nil {
		return err
	}
	whole := float64(len(full.text()))
	m.figure(figures.Figure{Name: "operator's file at the target, whole", Role: figures.Operator, State: figures.Ordinary, Unit: "bytes", Value: whole, OK: true})
	for _, s := range []figures.Slope{
		{Name: "delta bytes/changes", Description: "a delta that changes so many tenants", Unit: "bytes", SizeName: "changes", Points: bytes, Target: 5000},
		{Name: "delta apply/changes", Description: "such a delta is read and applied", Unit: "ms", SizeName: "changes", Points: apply, Target: 5000},
		{Name: "snapshot bytes/tenants", Description: "a snapshot with the target's routes", Unit: "bytes", SizeName: "tenants", Points: snapshot, Target: float64(m.target.Fleet.Tenants)},
		{Name: "snapshot open/tenants", Description: "such a snapshot is read and checked", Unit: "ms", SizeName: "tenants", Points: opened, Target: float64(m.target.Fleet.Tenants)},
	} {
		s.Role = figures.Settings
		if err = m.keep(s); err != nil {
			return err
		}
	}
	return nil
}

// changed is the bytes of a delta that gives n tenants another quota, spread over all.
func changed(base *document.Document, n int) ([]byte, error) {
	changes := another(base, n)
	if len(changes) < n {
		return nil, fmt.Errorf("slopes: %d changes of %d tenants", n, len(changes))
	}
	d, err := base.Draft(changes, by)
	if err != nil {
		return nil, err
	}
	return d.Encode()
}

// timed is the processor time of f on this thread, ms.
func timed(f func() error) (float64, error) {
	runtime.GC() // what was made for it is no part of it
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := threadTime()
	err := f()
	return float64(threadTime()-began) / float64(time.Millisecond), err
}
