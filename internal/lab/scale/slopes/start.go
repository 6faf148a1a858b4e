package slopes

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"kiteslip/internal/lab/probe"
	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/slope"
	"kiteslip/internal/standin/box"
)

// readyWithinMS bounds the start of a server with the target's settings.
const readyWithinMS = 2000

// starts measures the start of the real program and the effect of a change of its
// file, by tenants and by routes.
func (m *measurement) starts() error {
	engine, err := box.Serve(box.Spec{Cores: 64})
	if err != nil {
		return err
	}
	defer engine.Close()
	tenants, routes := m.target.Fleet.Tenants, m.target.Fleet.Routes
	kinds := []struct {
		by     string
		target int
		sizes  []float64
		site   func(size float64) site
	}{
		{"tenants", tenants, m.sizes(3, 300, 1000, 3000, 10000, float64(tenants)), func(size float64) site { return site{teams: int(size), routes: 4} }},
		{"routes", routes, m.sizes(4, 50, 150, 450, 1300, float64(routes)), func(size float64) site { return site{teams: 3, routes: int(size)} }},
	}
	for _, k := range kinds {
		var memory, reload, hold []figures.Point
		refused := ""
		started, err := slope.Measure(k.sizes, m.rounds(2), slope.Best, func(size float64) (ms float64, err error) {
			o, err := m.startAndReload(engine.Address, k.site(size), 1)
			if err != nil {
				return 0, err
			}
			addValue(&memory, size, o.rssKB)
			if o.refused != nil {
				refused = fmt.Sprintf("of %.0f %s: %v", size, k.by, o.refused)
			} else {
				addValue(&reload, size, o.reloadMS)
				addValue(&hold, size, o.delayMS)
			}
			return o.startMS, nil
		})
		if err != nil {
			return err
		}
		if err = m.keep(figures.Slope{Name: "start/" + k.by, Role: figures.Settings, Description: "from the start of the process to its line \"serving\"", Unit: "ms",
			SizeName: k.by, Points: started, Target: float64(k.target), Bound: readyWithinMS}); err != nil {
			return err
		}
		if err = m.keep(figures.Slope{Name: "process/" + k.by, Role: figures.Settings, Description: "memory of the process once it serves, RSS", Unit: "KB", SizeName: k.by,
			Points: summarized(memory, slope.Median), Target: float64(k.target), Bound: m.target.Assumed.ServerMemoryMB * 1024}); err != nil {
			return err
		}
		if refused != "" {
			m.logf("a change at SIGHUP was refused, %s", refused)
			m.check(false, "a change at SIGHUP was refused, %s", refused)
		}
		for _, r := range []struct {
			name, of string
			points   []figures.Point
		}{{"reload/", "from SIGHUP to the line that the file with one changed team is in use", reload}, {"reload hold/", "the longest round trip meanwhile, less the usual one", hold}} {
			if len(r.points) < 3 {
				continue
			}
			if err = m.keep(figures.Slope{Name: r.name + k.by, Role: figures.Settings, Description: r.of, Unit: "ms", SizeName: k.by, Points: summarized(r.points, slope.Best),
				Target: float64(k.target)}); err != nil {
				return err
			}
		}
	}
	if m.short {
		return nil
	}
	return m.startAtTarget(engine.Address)
}

const longestTripText = "longest round trip meanwhile, less the usual one"

// startAtTarget measures start and changes with the target's settings.
func (m *measurement) startAtTarget(engine string) error {
	s := site{teams: m.target.Fleet.Tenants, routes: m.target.Fleet.Routes}
	for _, changed := range []int{1, manyTenants} {
		var starts, reloads, holds []float64
		for range m.rounds(2) {
			o, err := m.startAndReload(engine, s, changed)
			if err != nil {
				return err
			}
			starts = append(starts, o.startMS)
			if o.refused == nil {
				reloads, holds = append(reloads, o.reloadMS), append(holds, o.delayMS)
			}
		}
		if changed == 1 {
			m.logf("start with the target's settings: %.0f ms at best, %.0f at worst", slices.Min(starts), slices.Max(starts))
			m.figure(figures.Figure{Name: "start with the target's settings", Role: figures.Settings, State: figures.AllStart, Unit: "ms", Value: slope.Median(starts),
				Worst: slices.Max(starts), Bound: readyWithinMS, OK: slices.Max(starts) <= readyWithinMS})
		}
		if len(reloads) == 0 {
			continue // the refusal has been reported
		}
		m.logf("a file with %d changed teams: in use after %.0f ms, a round trip meanwhile takes at most %.1f ms longer", changed, slope.Best(reloads), slope.Best(holds))
		what := "one changed tenant"
		if changed > 1 {
			what = "5,000 changed tenants"
		}
		for _, g := range []figures.Figure{{Name: "SIGHUP with " + what + ", until in use", Value: slope.Median(reloads), Worst: slices.Max(reloads)},
			{Name: "SIGHUP with " + what + ", " + longestTripText, Value: slope.Median(holds), Worst: slices.Max(holds)}} {
			g.Role, g.State, g.Unit, g.OK = figures.Settings, figures.Ordinary, "ms", true
			m.figure(g)
		}
	}
	return nil
}

// startResult is the result of one process.
type startResult struct {
	startMS, rssKB, reloadMS, delayMS float64
	refused                           error // why the program refused the change, or nil
}

// startAndReload starts a process and gives it a file with changed teams while a caller sends
// requests without a pause.
func (m *measurement) startAndReload(engine string, s site, changed int) (o startResult, err error) {
	s.engine, s.cores, s.sockets = engine, 4, 256
	if err = s.assignAddresses(); err != nil {
		return o, err
	}
	err = inTempDir(func(dir string) error {
		p, err := start(m.Program, dir, s)
		if err != nil {
			return err
		}
		defer p.kill() // no open requests: nothing to drain
		o.startMS = float64(p.startDuration.Microseconds()) / 1000
		if o.rssKB, err = p.rssKB(); err != nil {
			return err
		}
		ping, err := startPinger(s.listen)
		if err != nil {
			return err
		}
		defer ping.stop()
		if err = ping.waitTrips(30); err != nil {
			return err
		}
		s.changedTeams = min(changed, s.teams-1)
		if err = p.write(s); err != nil {
			return err
		}
		signalled := time.Now()
		if err = p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return fmt.Errorf("slopes: %w", err)
		}
		at, err := p.await("configuration reloaded")
		if errors.Is(err, errRefused) {
			o.refused = err
			return nil
		}
		if err != nil {
			return err
		}
		if err = ping.waitTrips(2); err != nil { // the round trip in progress ends
			return err
		}
		if err = ping.stop(); err != nil {
			return err
		}
		o.reloadMS = float64(at.Sub(signalled).Microseconds()) / 1000
		o.delayMS, err = ping.longestDelay(signalled, at)
		return err
	})
	return o, err
}

func addValue(points *[]figures.Point, size, v float64) {
	for i := range *points {
		if p := &(*points)[i]; p.Size == size {
			p.Raw = append(p.Raw, v)
			return
		}
	}
	*points = append(*points, figures.Point{Size: size, Raw: []float64{v}})
}

func summarized(points []figures.Point, summary slope.Summary) []figures.Point {
	for i := range points {
		points[i].Value = summary(points[i].Raw)
	}
	return points
}

// pinger is a caller that sends requests without a pause.
type pinger struct {
	caller   *probe.Caller
	stopping chan struct{}
	done     chan struct{}
	stopped  bool
	mu       sync.Mutex
	trips    []trip
	err      error
}

type trip struct {
	at   time.Time
	took time.Duration
}

func startPinger(address string) (*pinger, error) {
	c, err := probe.Dial(address)
	if err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	p := &pinger{caller: c, stopping: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(p.done)
		defer c.Close()
		for {
			select {
			case <-p.stopping:
				return
			default:
			}
			at := time.Now()
			_, err := c.Send(className(0), "", "b", 4*time.Second)
			if err == nil {
				_, err = c.Next()
			}
			p.mu.Lock()
			p.err = err
			p.trips = append(p.trips, trip{at, time.Since(at)})
			p.mu.Unlock()
			if err != nil {
				return
			}
			time.Sleep(100 * time.Microsecond)
		}
	}()
	return p, nil
}

// waitTrips waits until n more round trips have ended.
func (p *pinger) waitTrips(n int) error {
	trips := func() (int, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.trips), p.err
	}
	first, err := trips()
	for deadline := time.Now().Add(processTimeout); err == nil; {
		var now int
		if now, err = trips(); now >= first+n {
			break
		}
		if time.Now().After(deadline) {
			return errors.New("slopes: the caller gets no answers during the change")
		}
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("slopes: the caller during the change: %w", err)
	}
	return nil
}

// stop ends the pinger and returns its error. It may be called again.
func (p *pinger) stop() error {
	if !p.stopped {
		p.stopped = true
		close(p.stopping)
	}
	<-p.done
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return fmt.Errorf("slopes: the caller during the change: %w", p.err)
	}
	return nil
}

// longestDelay returns the longest round trip that overlaps the span, or the first one after
// it if none does because of the caller's pause, less the median of the round trips
// before the span, ms.
func (p *pinger) longestDelay(from, to time.Time) (float64, error) {
	var usual []float64
	longest := time.Duration(0)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.trips {
		switch end := t.at.Add(t.took); {
		case end.Before(from):
			usual = append(usual, float64(t.took.Microseconds())/1000)
		case t.at.Before(to) || longest == 0:
			longest = max(longest, t.took)
		}
	}
	if len(usual) == 0 || longest == 0 {
		return 0, errors.New("slopes: no round trip before or during the change")
	}
	return max(0, float64(longest.Microseconds())/1000-slope.Median(usual)), nil
}
