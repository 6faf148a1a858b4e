package slopes

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/standin/box"
)

// served is what one server showed under so many callers at one rate.
type served struct {
	rate                float64
	callers             int
	seen                seen
	p50, p99, worst     float64 // ms, end to end
	direct50, direct99  float64 // ms, the same exchange without the server
	cpuUS               float64 // processor time of the server for a request
	waitedUS            float64 // for which it was ready and the machine had no core for it, for a request: a disturbance
	core                float64 // the processor time as part of a core
	rssKB               float64
	descriptors         int
	connections         int     // descriptors beyond those of a server without callers
	rssIdle             float64 // before the first caller
	sentInWarm, lostAll int
}

// serve has a server of the site with so many callers at a rate: first the
// connections that would rest by then are opened at a quicker pace, then it is
// looked at for span.
func serve(program string, s site, n int, rate float64, rest, span time.Duration, seed uint64) (out served, err error) {
	out.rate, out.callers = rate, n
	engine, err := box.Serve(box.Spec{Cores: 64})
	if err != nil {
		return out, err
	}
	defer engine.Close()
	other, err := box.Serve(box.Spec{Cores: 64})
	if err != nil {
		return out, err
	}
	defer other.Close()
	s.engine = engine.Address
	if err = s.place(); err != nil {
		return out, err
	}
	err = inFolder(func(dir string) error {
		p, err := start(program, dir, s)
		if err != nil {
			return err
		}
		defer p.kill() // its callers have left: it need not drain
		idle, err := p.descriptors()
		if err != nil {
			return err
		}
		if out.rssIdle, err = p.rssKB(); err != nil {
			return err
		}
		c := newCallers(s.listen, n, s, rest, seed)
		defer c.close()
		const quick = 4
		c.ask(rate*quick, rest/quick)
		warm := c.take()
		c.reset()
		c.ask(rate, span/8) // what was waiting is gone
		late := c.take()
		c.reset()
		out.sentInWarm, out.lostAll = warm.sent+late.sent, warm.lost+warm.late+late.lost+late.late
		before, err := p.used()
		if err != nil {
			return err
		}
		began := time.Now()
		var exchange []float64
		var failed error
		var beside sync.WaitGroup
		beside.Go(func() { exchange, failed = direct(other.Address, rate, span) })
		c.ask(rate, span)
		out.seen = c.take()
		took := time.Since(began)
		after, err := p.used()
		if err != nil {
			return err
		}
		if out.rssKB, err = p.rssKB(); err != nil {
			return err
		}
		if out.descriptors, err = p.descriptors(); err != nil {
			return err
		}
		beside.Wait()
		if failed != nil {
			return failed
		}
		out.connections = out.descriptors - idle
		out.lostAll += out.seen.lost + out.seen.late
		if out.seen.served == 0 {
			return fmt.Errorf("slopes: none of %d requests of %d callers is served: %d refused, %d failed, %d lost", out.seen.sent, n, out.seen.refused, out.seen.failed, out.seen.lost)
		}
		ran := after.ran - before.ran
		out.core = float64(ran) / float64(took)
		out.cpuUS = float64(ran.Microseconds()) / float64(out.seen.sent)
		out.waitedUS = float64((after.waited - before.waited).Microseconds()) / float64(out.seen.sent)
		out.p50, out.p99, out.worst = part(out.seen.times, 0.5), part(out.seen.times, 0.99), part(out.seen.times, 1)
		out.direct50, out.direct99 = part(exchange, 0.5), part(exchange, 0.99)
		return nil
	})
	return out, err
}

// added is what the server adds to a request, ms. From the slowest hundredth the
// usual direct exchange is taken, not its slowest: no disturbance is excused.
func (o *served) added() (p50, p99 float64) {
	return max(0, o.p50-o.direct50), max(0, o.p99-o.direct50)
}

// latencies measures the server under callers: both rates side by side, each
// number of callers in turn.
func (m *measurement) latencies() error {
	rates := []float64{m.target.RequestsPerServer(), m.target.Assumed.HotServerPerS}
	var slopes [2][5]figures.Slope
	var all []served
	for i, rate := range rates {
		at := fmt.Sprintf("%.0f/s", rate)
		slopes[i] = [5]figures.Slope{
			{Name: "added p50/callers/" + at, Role: figures.FrontEnds, Unit: "ms", Description: "added to a request, half of them, at " + at},
			{Name: "added p99/callers/" + at, Role: figures.FrontEnds, Unit: "ms", Description: "added to a request, 99 in 100, at " + at, Bound: m.target.Promise.AddedP99MS},
			{Name: "core/callers/" + at, Role: figures.FrontEnds, Unit: "cores", Description: "processor time of a server at " + at, Bound: m.target.Assumed.ServerCores},
			{Name: "memory/callers/" + at, Role: figures.FrontEnds, Unit: "KB", Description: "memory of a server at " + at, Bound: m.target.Assumed.ServerMemoryMB * 1024},
			{Name: "connections/callers/" + at, Role: figures.Caller, Unit: "descriptors", Description: "connections open at a server at " + at},
		}
	}
	for _, n := range m.callerCounts() {
		outs := make([]served, len(rates))
		errs := make([]error, len(rates))
		var both sync.WaitGroup
		for i, rate := range rates {
			both.Go(func() {
				s := site{teams: m.target.Fleet.Tenants, routes: m.target.Fleet.Routes, cores: 4, sockets: m.target.Fleet.Descriptors}
				if m.short {
					s.teams, s.routes = 30, 8
				}
				outs[i], errs[i] = serve(m.Program, s, n, rate, m.rest(), m.span(), uint64(32+n))
			})
		}
		both.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
		for i := range outs {
			o := &outs[i]
			p50, p99 := o.added()
			for j, v := range []float64{p50, p99, o.core, o.rssKB, float64(o.connections)} {
				slopes[i][j].Points = append(slopes[i][j].Points, figures.Point{Size: float64(n), Value: v, Raw: []float64{v}})
			}
			m.say("%4d callers at %3.0f/s: added p50 %.2f ms, p99 %.2f ms, worst %.2f ms (direct %.2f, %.2f); %.0f us of processor time a request, and %.0f us without a core; %d descriptors, %.0f KB; "+
				"%d sent, %d served, %d refused, %d failed, %d lost, %d late, %d sent again; %d opened, %d asked to close, %d closed by the server",
				n, o.rate, p50, p99, o.worst, o.direct50, o.direct99, o.cpuUS, o.waitedUS, o.descriptors, o.rssKB,
				o.seen.sent, o.seen.served, o.seen.refused, o.seen.failed, o.seen.lost, o.seen.late, o.seen.again, o.seen.opened, o.seen.away, o.seen.ended)
			m.want(o.lostAll == 0, "%d requests of %d callers at %.0f/s are lost or late", o.lostAll, n, o.rate)
			m.want(o.descriptors <= m.target.Fleet.Descriptors+spareDescriptors, "%d descriptors are open, want %d at most", o.descriptors, m.target.Fleet.Descriptors)
		}
		all = append(all, outs...)
	}
	for i := range slopes {
		for j := range slopes[i] {
			s := &slopes[i][j]
			s.SizeName, s.Target = "callers", float64(m.target.Fleet.Callers)
			if err := m.keep(*s); err != nil {
				return err
			}
		}
	}
	for _, o := range all {
		if o.callers != m.target.Fleet.Callers {
			continue
		}
		when := figures.Peak
		name := "the mean server"
		if o.rate != rates[0] {
			name = "a hot server"
		}
		_, p99 := o.added()
		m.figure(figures.Figure{Name: "added to a request, " + name, Role: figures.FrontEnds, State: when, Unit: "ms", Value: o.p50 - o.direct50, P99: p99, Worst: o.worst - o.direct50,
			Bound: m.target.Promise.AddedP99MS, OK: p99 < m.target.Promise.AddedP99MS})
		m.figure(figures.Figure{Name: "requests lost or late, " + name, Role: figures.FrontEnds, State: when, Unit: "requests", Value: float64(o.lostAll), OK: o.lostAll == 0})
		m.figure(figures.Figure{Name: "sent again by their callers, " + name, Role: figures.Caller, State: when, Unit: "requests", Value: float64(o.seen.again), OK: true})
		m.figure(figures.Figure{Name: "resting connections ended by the server, " + name, Role: figures.Caller, State: when, Unit: "connections", Value: float64(o.seen.away + o.seen.ended), OK: true})
		m.figure(figures.Figure{Name: "time for which the machine had no core for the server, by requests, " + name, Role: figures.FrontEnds, State: when, Unit: "us", Value: o.waitedUS, OK: true})
		m.figure(figures.Figure{Name: "processor time of a request, " + name, Role: figures.FrontEnds, State: when, Unit: "us", Value: o.cpuUS, OK: true})
	}
	return nil
}

// spareDescriptors are those that a server has besides its callers': its log, its
// listeners, the loop's own, the engine's link and the operators' door.
const spareDescriptors = 0
