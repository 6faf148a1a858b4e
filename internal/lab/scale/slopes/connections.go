package slopes

import (
	"fmt"

	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/standin/box"
)

// stormRate is how many callers come in a second when all have lost their
// connections at once.
const stormRate = 1000

// connections measures a server whose callers come all at once and never let
// go: its memory and its descriptors, and what callers see once there are more
// of them than descriptors.
func (m *measurement) connections() error {
	engine, err := box.Serve(box.Spec{Cores: 64})
	if err != nil {
		return err
	}
	defer engine.Close()
	slopes := []figures.Slope{
		{Name: "memory/connections", Role: figures.FrontEnds, Description: "memory of a server whose callers never let go, RSS", Unit: "KB", Bound: m.target.Assumed.ServerMemoryMB * 1024},
		{Name: "descriptors/connections", Role: figures.FrontEnds, Description: "descriptors of that server", Unit: "descriptors", Bound: float64(m.target.Fleet.Descriptors)},
	}
	for _, n := range m.sizes(10, 100, 300, 600, 800, 1500, float64(m.target.Fleet.Callers)) {
		memory, descriptors, again, err := m.crowd(engine.Address, int(n))
		if err != nil {
			return err
		}
		slopes[0].Points = append(slopes[0].Points, figures.Point{Size: n, Value: memory, Raw: []float64{memory}})
		slopes[1].Points = append(slopes[1].Points, figures.Point{Size: n, Value: descriptors, Raw: []float64{descriptors}})
		bad := again.lost + again.late
		m.say("%4.0f callers that never let go: %.0f KB, %.0f descriptors; asked twice, %.0f a second: %d sent, %d served, %d refused, %d failed, %d lost, %d late, %d sent again; %d opened, %d asked to close, %d closed by the server; p99 %.1f ms",
			n, memory, descriptors, float64(stormRate), again.sent, again.served, again.refused, again.failed, again.lost, again.late, again.again, again.opened, again.away, again.ended, part(again.times, 0.99))
		m.want(bad == 0, "%d requests of %.0f callers that come at once are lost or late", bad, n)
		if int(n) == m.target.Fleet.Callers {
			for _, g := range []figures.Figure{
				{Name: "lost or late while all callers come at once", Unit: "requests", Value: float64(bad), OK: bad == 0},
				{Name: "refused or failed while all callers come at once", Unit: "requests", Value: float64(again.refused + again.failed), OK: true},
				{Name: "sent again by their callers while all come at once", Unit: "requests", Value: float64(again.again), OK: true},
				{Name: "connections ended by the server while all come at once", Unit: "connections", Value: float64(again.away + again.ended), OK: true},
				{Name: "answer while all callers come at once", Unit: "ms", Value: part(again.times, 0.5), P99: part(again.times, 0.99), Worst: part(again.times, 1), OK: true},
			} {
				g.Role, g.State = figures.Caller, figures.AllStart
				m.figure(g)
			}
		}
	}
	for _, s := range slopes {
		s.SizeName, s.Target = "callers", float64(m.target.Fleet.Callers)
		if err = m.keep(s); err != nil {
			return err
		}
	}
	return nil
}

// crowd has n callers ask twice each, all of whom hold on.
func (m *measurement) crowd(engine string, n int) (memory, descriptors float64, out seen, err error) {
	s := site{teams: 3, routes: 4, cores: 4, engine: engine, sockets: m.target.Fleet.Descriptors}
	if err = s.place(); err != nil {
		return 0, 0, out, err
	}
	err = inFolder(func(dir string) error {
		p, err := start(m.Program, dir, s)
		if err != nil {
			return err
		}
		defer p.kill()
		c := newCallers(s.listen, n, s, patience, 5)
		defer c.close()
		c.each(stormRate)
		c.each(stormRate)
		out = c.take()
		if out.served == 0 {
			return fmt.Errorf("slopes: none of %d requests is served", out.sent)
		}
		if memory, err = p.rssKB(); err != nil {
			return err
		}
		open, err := p.descriptors()
		descriptors = float64(open)
		return err
	})
	return memory, descriptors, out, err
}
