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

// readyWithinMS is how soon a start with the target's settings has to be ready.
const readyWithinMS = 2000

// starts measures the real program's start and what a change of its file does
// to it, by tenants and by routes.
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
			o, err := m.once(engine.Address, k.site(size), 1)
			if err != nil {
				return 0, err
			}
			add(&memory, size, o.rssKB)
			if o.refused != nil {
				refused = fmt.Sprintf("of %.0f %s: %v", size, k.by, o.refused)
			} else {
				add(&reload, size, o.reloadMS)
				add(&hold, size, o.holdMS)
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
			Points: picked(memory, slope.Median), Target: float64(k.target), Bound: m.target.Assumed.ServerMemoryMB * 1024}); err != nil {
			return err
		}
		if refused != "" {
			m.say("a change at SIGHUP is refused, %s", refused)
			m.want(false, "a change at SIGHUP is refused, %s", refused)
		}
		for _, r := range []struct {
			name, of string
			points   []figures.Point
		}{{"reload/", "from SIGHUP to the line that the file with one changed team is in use", reload}, {"reload hold/", "the longest round trip meanwhile, less the usual one", hold}} {
			if len(r.points) < 3 {
				continue
			}
			if err = m.keep(figures.Slope{Name: r.name + k.by, Role: figures.Settings, Description: r.of, Unit: "ms", SizeName: k.by, Points: picked(r.points, slope.Best),
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

const longestTrip = "longest round trip meanwhile, less the usual one"

// startAtTarget measures the start and the changes with the target's settings.
func (m *measurement) startAtTarget(engine string) error {
	s := site{teams: m.target.Fleet.Tenants, routes: m.target.Fleet.Routes}
	for _, changed := range []int{1, many} {
		var starts, reloads, holds []float64
		for range m.rounds(2) {
			o, err := m.once(engine, s, changed)
			if err != nil {
				return err
			}
			starts = append(starts, o.startMS)
			if o.refused == nil {
				reloads, holds = append(reloads, o.reloadMS), append(holds, o.holdMS)
			}
		}
		if changed == 1 {
			m.say("start with the target's settings: %.0f ms at best, %.0f at worst", slices.Min(starts), slices.Max(starts))
			m.figure(figures.Figure{Name: "start with the target's settings", Role: figures.Settings, State: figures.AllStart, Unit: "ms", Value: slope.Median(starts),
				Worst: slices.Max(starts), Bound: readyWithinMS, OK: slices.Max(starts) <= readyWithinMS})
		}
		if len(reloads) == 0 {
			continue // the refusal is told already
		}
		m.say("a file with %d changed teams: in use after %.0f ms, a round trip meanwhile takes %.1f ms longer at most", changed, slope.Best(reloads), slope.Best(holds))
		what := "one changed tenant"
		if changed > 1 {
			what = "5,000 changed tenants"
		}
		for _, g := range []figures.Figure{{Name: "SIGHUP with " + what + ", until in use", Value: slope.Median(reloads), Worst: slices.Max(reloads)},
			{Name: "SIGHUP with " + what + ", " + longestTrip, Value: slope.Median(holds), Worst: slices.Max(holds)}} {
			g.Role, g.State, g.Unit, g.OK = figures.Settings, figures.Ordinary, "ms", true
			m.figure(g)
		}
	}
	return nil
}

// life is what one process showed.
type life struct {
	startMS, rssKB, reloadMS, holdMS float64
	refused                          error // the change is refused
}

// once starts a process, and hands it a file in which so many teams are changed
// while a caller asks without a pause.
func (m *measurement) once(engine string, s site, changed int) (o life, err error) {
	s.engine, s.cores, s.sockets = engine, 4, 256
	if err = s.place(); err != nil {
		return o, err
	}
	err = inFolder(func(dir string) error {
		p, err := start(m.Program, dir, s)
		if err != nil {
			return err
		}
		defer p.kill() // nothing is open: it need not drain
		o.startMS = float64(p.took.Microseconds()) / 1000
		if o.rssKB, err = p.rssKB(); err != nil {
			return err
		}
		ask, err := ping(s.listen)
		if err != nil {
			return err
		}
		defer ask.stop()
		if err = ask.more(30); err != nil {
			return err
		}
		s.changed = min(changed, s.teams-1)
		if err = p.write(s); err != nil {
			return err
		}
		hup := time.Now()
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
		if err = ask.more(2); err != nil { // the round trip under way ends
			return err
		}
		if err = ask.stop(); err != nil {
			return err
		}
		o.reloadMS = float64(at.Sub(hup).Microseconds()) / 1000
		o.holdMS, err = ask.worst(hup, at)
		return err
	})
	return o, err
}

func add(points *[]figures.Point, size, v float64) {
	for i := range *points {
		if p := &(*points)[i]; p.Size == size {
			p.Raw = append(p.Raw, v)
			return
		}
	}
	*points = append(*points, figures.Point{Size: size, Raw: []float64{v}})
}

func picked(points []figures.Point, pick slope.Summary) []figures.Point {
	for i := range points {
		points[i].Value = pick(points[i].Raw)
	}
	return points
}

// pinger is a caller that asks without a pause.
type pinger struct {
	caller *probe.Caller
	quit   chan struct{}
	ended  chan struct{}
	over   bool
	mu     sync.Mutex
	trips  []trip
	err    error
}

type trip struct {
	at   time.Time
	took time.Duration
}

func ping(address string) (*pinger, error) {
	c, err := probe.Dial(address)
	if err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	p := &pinger{caller: c, quit: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		defer c.Close()
		for {
			select {
			case <-p.quit:
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

// more waits until n more round trips are over.
func (p *pinger) more(n int) error {
	trips := func() (int, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.trips), p.err
	}
	first, err := trips()
	for over := time.Now().Add(patience); err == nil; {
		var now int
		if now, err = trips(); now >= first+n {
			break
		}
		if time.Now().After(over) {
			return errors.New("slopes: a caller beside the reload gets no answers")
		}
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("slopes: a caller beside the reload: %w", err)
	}
	return nil
}

// stop ends it; it may be called again.
func (p *pinger) stop() error {
	if !p.over {
		p.over = true
		close(p.quit)
	}
	<-p.ended
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return fmt.Errorf("slopes: a caller beside the reload: %w", p.err)
	}
	return nil
}

// worst is the longest round trip that overlaps a span, or the first after it
// where the span is shorter than the caller's pause, less the median of those
// before it, ms.
func (p *pinger) worst(from, to time.Time) (float64, error) {
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
		return 0, errors.New("slopes: no round trip beside the reload")
	}
	return max(0, float64(longest.Microseconds())/1000-slope.Median(usual)), nil
}
