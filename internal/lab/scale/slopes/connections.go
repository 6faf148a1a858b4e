package slopes

import (
	"fmt"

	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/standin/box"
)

// reconnectRate is the rate per second at which callers reconnect after all have lost
// their connections at once.
const reconnectRate = 1000

// connections measures a server whose callers all come at once and keep their
// connections: its memory, its descriptors, and what callers see once there are
// more of them than descriptors.
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
		memory, descriptors, result, err := m.simultaneousCallers(engine.Address, int(n))
		if err != nil {
			return err
		}
		slopes[0].Points = append(slopes[0].Points, figures.Point{Size: n, Value: memory, Raw: []float64{memory}})
		slopes[1].Points = append(slopes[1].Points, figures.Point{Size: n, Value: descriptors, Raw: []float64{descriptors}})
		lostOrLate := result.lost + result.late
		m.logf("%4.0f callers that keep their connections: %.0f KB, %.0f descriptors; two requests each at %.0f/s: %d sent, %d served, %d refused, %d failed, %d lost, %d late, %d retries; %d connections opened, %d with a go-away, %d closed by the server; p99 %.1f ms",
			n, memory, descriptors, float64(reconnectRate), result.sent, result.served, result.refused, result.failed, result.lost, result.late, result.retries, result.opened, result.goAways, result.closedByServer, quantile(result.times, 0.99))
		m.check(lostOrLate == 0, "%d requests of %.0f simultaneous callers are lost or late", lostOrLate, n)
		if int(n) == m.target.Fleet.Callers {
			for _, g := range []figures.Figure{
				{Name: "lost or late while all callers come at once", Unit: "requests", Value: float64(lostOrLate), OK: lostOrLate == 0},
				{Name: "refused or failed while all callers come at once", Unit: "requests", Value: float64(result.refused + result.failed), OK: true},
				{Name: "sent again by their callers while all come at once", Unit: "requests", Value: float64(result.retries), OK: true},
				{Name: "connections ended by the server while all come at once", Unit: "connections", Value: float64(result.goAways + result.closedByServer), OK: true},
				{Name: "answer while all callers come at once", Unit: "ms", Value: quantile(result.times, 0.5), P99: quantile(result.times, 0.99), Worst: quantile(result.times, 1), OK: true},
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

// simultaneousCallers makes n callers send two requests each and keep their connections.
func (m *measurement) simultaneousCallers(engine string, n int) (memory, descriptors float64, out counts, err error) {
	s := site{teams: 3, routes: 4, cores: 4, engine: engine, sockets: m.target.Fleet.Descriptors}
	if err = s.assignAddresses(); err != nil {
		return 0, 0, out, err
	}
	err = inTempDir(func(dir string) error {
		p, err := start(m.Program, dir, s)
		if err != nil {
			return err
		}
		defer p.kill()
		c := newCallers(s.listen, n, s, processTimeout, 5)
		defer c.close()
		c.eachOnce(reconnectRate)
		c.eachOnce(reconnectRate)
		out = c.result()
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
