package slopes

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/standin/box"
)

// serverResult is the result for one server with a number of callers at one rate.
type serverResult struct {
	rate                   float64
	callers                int
	counts                 counts
	p50, p99, worst        float64 // latency, ms
	direct50, direct99     float64 // latency of the same exchange without the server, ms
	cpuUS                  float64 // processor time of the server per request, us
	waitedUS               float64 // time per request in which it was runnable without a core: a disturbance, us
	cores                  float64 // mean number of cores used
	rssKB                  float64
	descriptors            int
	connections            int     // descriptors in addition to those without callers
	rssIdle                float64 // before the first caller
	warmUpSent, lostOrLate int
}

// measureServer runs a server of the site with n callers at a rate. It first opens, at a
// higher rate, the connections that would be idle by then, and then measures for
// span.
func measureServer(program string, s site, n int, rate float64, idleTimeout, span time.Duration, seed uint64) (out serverResult, err error) {
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
	if err = s.assignAddresses(); err != nil {
		return out, err
	}
	err = inTempDir(func(dir string) error {
		p, err := start(program, dir, s)
		if err != nil {
			return err
		}
		defer p.kill() // its callers have disconnected: nothing to drain
		idle, err := p.descriptors()
		if err != nil {
			return err
		}
		if out.rssIdle, err = p.rssKB(); err != nil {
			return err
		}
		c := newCallers(s.listen, n, s, idleTimeout, seed)
		defer c.close()
		const warmUpFactor = 4
		c.run(rate*warmUpFactor, idleTimeout/warmUpFactor)
		warm := c.result()
		c.reset()
		c.run(rate, span/8) // answers the backlog of the warm-up
		late := c.result()
		c.reset()
		out.warmUpSent, out.lostOrLate = warm.sent+late.sent, warm.lost+warm.late+late.lost+late.late
		before, err := p.schedTimes()
		if err != nil {
			return err
		}
		began := time.Now()
		var directTimes []float64
		var directErr error
		var wg sync.WaitGroup
		wg.Go(func() { directTimes, directErr = directExchanges(other.Address, rate, span) })
		c.run(rate, span)
		out.counts = c.result()
		took := time.Since(began)
		after, err := p.schedTimes()
		if err != nil {
			return err
		}
		if out.rssKB, err = p.rssKB(); err != nil {
			return err
		}
		if out.descriptors, err = p.descriptors(); err != nil {
			return err
		}
		wg.Wait()
		if directErr != nil {
			return directErr
		}
		out.connections = out.descriptors - idle
		out.lostOrLate += out.counts.lost + out.counts.late
		if out.counts.served == 0 {
			return fmt.Errorf("slopes: none of %d requests of %d callers was served: %d refused, %d failed, %d lost", out.counts.sent, n, out.counts.refused, out.counts.failed, out.counts.lost)
		}
		ran := after.ran - before.ran
		out.cores = float64(ran) / float64(took)
		out.cpuUS = float64(ran.Microseconds()) / float64(out.counts.sent)
		out.waitedUS = float64((after.waited - before.waited).Microseconds()) / float64(out.counts.sent)
		out.p50, out.p99, out.worst = quantile(out.counts.times, 0.5), quantile(out.counts.times, 0.99), quantile(out.counts.times, 1)
		out.direct50, out.direct99 = quantile(directTimes, 0.5), quantile(directTimes, 0.99)
		return nil
	})
	return out, err
}

// added returns the latency that the server adds to a request, ms. The median of
// the direct exchange is subtracted from the p99 too, not its own p99, so that no
// disturbance is discounted.
func (o *serverResult) added() (p50, p99 float64) {
	return max(0, o.p50-o.direct50), max(0, o.p99-o.direct50)
}

// latencies measures the server under callers: for each number of callers, both
// rates at the same time.
func (m *measurement) latencies() error {
	rates := []float64{m.target.RequestsPerServer(), m.target.Assumed.HotServerPerS}
	var slopes [2][5]figures.Slope
	var all []serverResult
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
		outs := make([]serverResult, len(rates))
		errs := make([]error, len(rates))
		var wg sync.WaitGroup
		for i, rate := range rates {
			wg.Go(func() {
				s := site{teams: m.target.Fleet.Tenants, routes: m.target.Fleet.Routes, cores: 4, sockets: m.target.Fleet.Descriptors}
				if m.short {
					s.teams, s.routes = 30, 8
				}
				outs[i], errs[i] = measureServer(m.Program, s, n, rate, m.idleTimeout(), m.measureTime(), uint64(32+n))
			})
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
		for i := range outs {
			o := &outs[i]
			p50, p99 := o.added()
			for j, v := range []float64{p50, p99, o.cores, o.rssKB, float64(o.connections)} {
				slopes[i][j].Points = append(slopes[i][j].Points, figures.Point{Size: float64(n), Value: v, Raw: []float64{v}})
			}
			m.logf("%4d callers at %3.0f/s: added p50 %.2f ms, p99 %.2f ms, worst %.2f ms (direct %.2f, %.2f); per request %.0f us of processor time and %.0f us runnable without a core; %d descriptors, %.0f KB; "+
				"%d sent, %d served, %d refused, %d failed, %d lost, %d late, %d retries; %d connections opened, %d with a go-away, %d closed by the server",
				n, o.rate, p50, p99, o.worst, o.direct50, o.direct99, o.cpuUS, o.waitedUS, o.descriptors, o.rssKB,
				o.counts.sent, o.counts.served, o.counts.refused, o.counts.failed, o.counts.lost, o.counts.late, o.counts.retries, o.counts.opened, o.counts.goAways, o.counts.closedByServer)
			m.check(o.lostOrLate == 0, "%d requests of %d callers at %.0f/s are lost or late", o.lostOrLate, n, o.rate)
			m.check(o.descriptors <= m.target.Fleet.Descriptors+spareDescriptors, "%d descriptors are open, want at most %d", o.descriptors, m.target.Fleet.Descriptors)
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
		m.figure(figures.Figure{Name: "requests lost or late, " + name, Role: figures.FrontEnds, State: when, Unit: "requests", Value: float64(o.lostOrLate), OK: o.lostOrLate == 0})
		m.figure(figures.Figure{Name: "sent again by their callers, " + name, Role: figures.Caller, State: when, Unit: "requests", Value: float64(o.counts.retries), OK: true})
		m.figure(figures.Figure{Name: "resting connections ended by the server, " + name, Role: figures.Caller, State: when, Unit: "connections", Value: float64(o.counts.goAways + o.counts.closedByServer), OK: true})
		m.figure(figures.Figure{Name: "time for which the machine had no core for the server, by requests, " + name, Role: figures.FrontEnds, State: when, Unit: "us", Value: o.waitedUS, OK: true})
		m.figure(figures.Figure{Name: "processor time of a request, " + name, Role: figures.FrontEnds, State: when, Unit: "us", Value: o.cpuUS, OK: true})
	}
	return nil
}

// spareDescriptors is the number of descriptors allowed beyond the target's for
// what does not belong to callers: the log, the listeners, the event loop, the
// engine connection and the admin endpoint.
const spareDescriptors = 0
