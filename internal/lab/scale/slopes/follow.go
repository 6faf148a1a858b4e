package slopes

import (
	"context"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/publish"
	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/slope"
	"kiteslip/internal/standin/box"
)

// follows measures what a request at a real server sees while the server applies a
// version: the server follows a publisher in this process while a caller sends
// requests without a pause. Work outside the loop is included, because a server
// limited to one core has one processor for both.
func (m *measurement) follows() error {
	full := site{teams: m.target.Fleet.Tenants, routes: m.target.Fleet.Routes}
	changes := m.sizes(1, 10, 100, 300, 1000, manyTenants)
	if m.short {
		full = site{teams: 500, routes: 40}
	}
	engine, err := box.Serve(box.Spec{Cores: 64})
	if err != nil {
		return err
	}
	defer engine.Close()
	return inTempDir(func(dir string) (err error) {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		p, err := publish.Open(publish.Settings{Name: "control", Region: "north", Listen: address, Folder: filepath.Join(dir, "log"), Seed: 1, Log: zap.NewNop()})
		if err != nil {
			return err
		}
		defer p.Close()
		first := content(full)
		if _, err = p.PublishContent(&first, changeMeta, document.Digest{}); err != nil {
			return err
		}
		ctx, end := context.WithCancel(context.Background())
		var served sync.WaitGroup
		defer served.Wait()
		defer end()
		served.Go(func() { p.Serve(ctx) }) //nolint:errcheck // a server that hears nothing from it reports that
		s := site{teams: 3, routes: 4, cores: 4, sockets: 256, engine: engine.Address, control: address}
		if err = s.assignAddresses(); err != nil {
			return err
		}
		server, err := start(m.Program, dir, s)
		if err != nil {
			return err
		}
		defer server.kill()
		startMS := float64(server.startDuration.Microseconds()) / 1000
		ping, err := startPinger(s.listen)
		if err != nil {
			return err
		}
		defer ping.stop() //nolint:errcheck // its error is returned by waitTrips
		var inForce []figures.Point
		trip, err := slope.Measure(changes, m.rounds(5), slope.Best, func(n float64) (float64, error) {
			if err := ping.waitTrips(30); err != nil {
				return 0, err
			}
			from := time.Now()
			h, err := p.Publish(quotaChanges(p.Document(), int(n)), changeMeta, document.Digest{})
			if err != nil {
				return 0, err
			}
			at, err := server.awaitVersion("version in force", h.Number)
			if err != nil {
				return 0, err
			}
			addValue(&inForce, n, float64(at.Sub(from).Microseconds())/1000)
			if err = ping.waitTrips(2); err != nil {
				return 0, err
			}
			return ping.longestDelay(from, at)
		})
		if err != nil {
			return err
		}
		return m.storeFollow(startMS, trip, inForce)
	})
}

// storeFollow stores the slopes, and the figures at the target.
func (m *measurement) storeFollow(startMS float64, trip, inForce []figures.Point) error {
	for _, s := range []figures.Slope{
		{Name: "version request/changes", Description: "the longest round trip at a real server while it takes a version over, less the usual one", Points: trip},
		{Name: "version in force/changes", Description: "from the publisher's word to a real server's, in force", Points: summarized(inForce, slope.Median)},
	} {
		s.Role, s.Unit, s.SizeName, s.Target = figures.Settings, "ms", "changes", manyTenants
		if err := m.keep(s); err != nil {
			return err
		}
	}
	if m.short {
		return nil
	}
	m.logf("a following server is ready with the target's version after %.0f ms", startMS)
	m.figure(figures.Figure{Name: "start by a version with the target's settings", Role: figures.Settings, State: figures.AllStart, Unit: "ms", Value: startMS,
		Bound: readyWithinMS, OK: startMS <= readyWithinMS})
	m.check(startMS <= readyWithinMS, "a start by the target's version takes %.0f ms, want at most %d", startMS, readyWithinMS)
	for _, g := range []struct {
		what  string
		size  float64
		bound float64
	}{{"one changed tenant", 1, maxLoopMSOne}, {"5,000 changed tenants", manyTenants, maxLoopMSMany}} {
		for _, p := range trip {
			if p.Size != g.size {
				continue
			}
			ok := p.Value <= g.bound
			m.figure(figures.Figure{Name: "a version with " + g.what + ", " + longestTripText, Role: figures.Settings, State: figures.Ordinary, Unit: "ms",
				Value: p.Value, Worst: slices.Max(p.Raw), Bound: g.bound, OK: ok})
			m.check(ok, "a request during a version with %s takes %.3g ms longer, want at most %g", g.what, p.Value, g.bound)
		}
	}
	return nil
}

// quotaChanges returns n changes of tenants' quotas, spread evenly over all tenants.
func quotaChanges(doc *document.Document, n int) []document.Change {
	teams := doc.Content().Teams
	n = min(n, len(teams))
	changes := make([]document.Change, n)
	for i := range changes {
		t := teams[i*len(teams)/n]
		t.Quota += 0.5
		changes[i] = document.Change{Team: &t}
	}
	return changes
}
