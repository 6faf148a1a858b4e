package slopes

import (
	"fmt"
	"runtime"
	"time"

	"kiteslip/internal/control/document"
	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/slope"
)

// content returns the document content for the sizes of s.
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

// versionOf returns the first version with the content.
func versionOf(c document.Content) (*document.Document, error) {
	from := document.Empty()
	return applyChanges(from, from.Diff(&c))
}

func applyChanges(from *document.Document, changes []document.Change) (*document.Document, error) {
	d, err := from.Draft(changes, changeMeta)
	if err != nil {
		return nil, err
	}
	return from.Apply(d)
}

var changeMeta = document.Meta{Author: "operator", Reason: "a change as measured", Time: epochUS}

// deltas measures the sizes of versions and the time to read them: deltas by number
// of changes, snapshots by number of tenants.
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
		b, err := encodeChanges(base, int(n))
		return float64(len(b)), err
	})
	if err != nil {
		return err
	}
	apply, err := slope.Measure(sizes, m.rounds(5), slope.Best, func(n float64) (float64, error) {
		b, err := encodeChanges(base, int(n))
		if err != nil {
			return 0, err
		}
		return threadTimeOf(func() error {
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
		return threadTimeOf(func() error { _, err := document.DecodeSnapshot(snapshots[n]); return err })
	})
	if err != nil {
		return err
	}
	whole := float64(len(full.operatorFile()))
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

// encodeChanges encodes a delta that changes the quota of n tenants, spread evenly over all.
func encodeChanges(base *document.Document, n int) ([]byte, error) {
	changes := quotaChanges(base, n)
	if len(changes) < n {
		return nil, fmt.Errorf("slopes: %d changes requested of %d tenants", n, len(changes))
	}
	d, err := base.Draft(changes, changeMeta)
	if err != nil {
		return nil, err
	}
	return d.Encode()
}

// threadTimeOf returns the processor time of f on this thread, ms.
func threadTimeOf(f func() error) (float64, error) {
	runtime.GC() // garbage of the preparation must not be collected within f
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := threadTime()
	err := f()
	return float64(threadTime()-began) / float64(time.Millisecond), err
}
