// Package fleetday plays a compressed day of the target fleet on one machine.
// Control machines and some tens of servers are whole programs, all other servers
// are hollow (see package hollow), and callers use real connections. Regions reach
// each other through fault proxies. Versions are published at ten times the day's
// rate while servers restart, racks, zones and control machines fail and a region
// is cut off, according to a plan, which is a list of events.
//
// The report covers: when each version came into force on each server, in order and
// with the accepted digest; what control costs the real servers, compared with twins
// that serve the same content from their file and get the same requests in the same
// run; what it costs the control machines; whether hollow servers behave like real
// ones; and the outcome of each request.
package fleetday

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/publish"
	"kiteslip/internal/lab/scale/hollow"
)

// Options selects what is played, and with which programs.
type Options struct {
	Form           *Form
	Program        string   // path of the kiteslip program
	Self           []string // the laboratory's own binary, and its arguments before a hidden subcommand
	WithoutControl bool     // only the real servers, configured by their files
	Progress       io.Writer
}

// Play plays a day and evaluates it. It ends early when ctx is done. All processes
// are ended in any case.
func Play(ctx context.Context, o Options) (*Report, error) {
	r, err := newRig(o.Form, o.Program, o.Self)
	if err != nil {
		if r != nil {
			r.close()
		}
		return nil, err
	}
	defer r.close()
	d := &day{rig: r, options: o, plan: o.Form.Plan(), drafter: NewDrafter(Content(o.Form.Sizes, o.Form.Deadline, o.Form.Seed), o.Form.Seed)}
	if o.WithoutControl {
		for _, s := range r.real {
			s.control = false
		}
	}
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	return d.play(ctx)
}

// day is a day in progress.
type day struct {
	rig             *rig
	options         Options
	plan            Plan
	drafter         *Drafter
	start           time.Time
	readings        []reading
	pending         chan error // results of the background tasks of events
	backgroundTasks int
}

func (d *day) progressf(format string, args ...any) {
	if d.options.Progress != nil {
		fmt.Fprintf(d.options.Progress, format+"\n", args...)
	}
}

// startAll starts everything and waits until all servers serve by the first version.
func (d *day) startAll(ctx context.Context) error {
	r := d.rig
	for i, s := range r.real {
		if err := s.prepare(1, i); err != nil {
			return err
		}
	}
	for i, s := range r.twins {
		if err := s.prepare(3, i); err != nil {
			return err
		}
	}
	if d.options.WithoutControl {
		return each(append(append([]*server(nil), r.real...), r.twins...), func(s *server) error { return s.start(FirstStart, false) })
	}
	if err := r.machines[0].start(); err != nil {
		return err
	}
	client := publish.Client{Address: r.machines[0].listen}
	h, err := client.PublishFile(ctx, []byte(Operator(&r.content)), document.Meta{Author: "fleetday", Reason: "the first version"}, document.Digest{})
	if err != nil {
		return err
	}
	d.accept(h)
	if err = each(r.machines[1:], (*machine).start); err != nil {
		return err
	}
	if err = each(r.hollow, (*hollowProcess).start); err != nil {
		return err
	}
	d.progressf("%d control machines and %d processes of hollow servers are up", len(r.machines), len(r.hollow))
	// The first server of each process receives a snapshot, which the others share.
	for _, h := range r.hollow {
		if err = h.command(hollow.ColdStart, h.first, FirstStart); err != nil {
			return err
		}
	}
	if err = d.waitForServers(ctx, len(r.hollow)); err != nil {
		return err
	}
	for _, h := range r.hollow {
		for _, i := range h.byName {
			if i != h.first {
				if err = h.command(hollow.Start, i, FirstStart); err != nil {
					return err
				}
			}
		}
	}
	if err = each(append(append([]*server(nil), r.real...), r.twins...), func(s *server) error { return s.start(FirstStart, false) }); err != nil {
		return err
	}
	if err = d.waitForServers(ctx, r.form.Servers); err != nil {
		return err
	}
	d.progressf("%d servers are on version %d", r.form.Servers, h.Number)
	return nil
}

// waitForServers waits until the given number of servers are on the first version.
func (d *day) waitForServers(ctx context.Context, servers int) error {
	for began := time.Now(); ; {
		on, live := d.rig.history.current(1)
		if on == servers {
			return nil
		}
		if time.Since(began) > readyTimeout {
			return fmt.Errorf("%d of %d live servers are on the first version after %v: %q", on, live, readyTimeout, d.rig.errors)
		}
		if err := sleep(ctx, time.Now().Add(10*time.Millisecond)); err != nil {
			return err
		}
	}
}

// accept records a version that the publisher accepted.
func (d *day) accept(h document.Header) {
	d.rig.history.accepted(Accepted{Number: h.Number, Digest: h.Digest().String(), At: time.UnixMicro(h.Time)})
}

// maxPending bounds the results of background tasks before they are read.
const maxPending = 1 << 14

var errInterrupted = errors.New("the day was interrupted")

// play runs the plan and evaluates the result.
func (d *day) play(ctx context.Context) (*Report, error) {
	r := d.rig
	d.pending = make(chan error, maxPending)
	d.start = time.Now().Add(time.Second)
	targets := r.targets()
	length := d.plan.Length + r.form.SettleTime
	callers, err := r.startCallers(targets, d.start, length)
	defer closeCallers(callers)
	if err != nil {
		return nil, err
	}
	d.progressf("%d callers of %d servers; the day takes %v", r.form.Callers, len(targets), length.Round(time.Second))
	readCtx, stop := context.WithCancel(ctx)
	defer stop()
	d.background(func() error { return d.readTraffic(readCtx) })
	for _, e := range d.plan.Events {
		if err := sleep(ctx, d.start.Add(e.At)); err != nil {
			return nil, err
		}
		if err := d.event(ctx, e); err != nil {
			return nil, fmt.Errorf("%s: %w", e, err)
		}
	}
	if err := sleep(ctx, d.start.Add(d.plan.Length)); err != nil {
		return nil, err
	}
	r.history.phase("settled", time.Now())
	if err := sleep(ctx, d.start.Add(length)); err != nil {
		return nil, err
	}
	stop()
	for ; d.backgroundTasks > 0; d.backgroundTasks-- {
		select {
		case err := <-d.pending:
			if err != nil {
				return nil, err
			}
		case <-ctx.Done():
			return nil, errInterrupted
		case <-time.After(readyTimeout):
			return nil, errors.New("background tasks of the plan did not end")
		}
	}
	records, err := collect(callers, r.form.Deadline+slack+10*time.Second)
	if err != nil {
		return nil, err
	}
	return d.report(targets, records), nil
}

func sleep(ctx context.Context, until time.Time) error {
	select {
	case <-ctx.Done():
		return errInterrupted
	case <-time.After(time.Until(until)):
		return nil
	}
}

// background runs f in the background; play waits for its result.
func (d *day) background(f func() error) {
	d.backgroundTasks++
	go func() { d.pending <- f() }()
}

// event executes one event.
func (d *day) event(ctx context.Context, e Event) error {
	r := d.rig
	if d.options.WithoutControl && (e.Kind == Publish || e.Kind == KillControl || e.Kind == StartControl || e.Kind == CutRegion || e.Kind == HealRegion) {
		return nil
	}
	if e.Kind == Phase {
		d.progressf("%s", e)
		r.history.phase(e.Name, time.Now())
		return nil
	}
	phase := r.history.phaseAt(time.Now())
	switch e.Kind {
	case Publish:
		client := publish.Client{Address: r.machines[0].listen}
		ctx, end := context.WithTimeout(ctx, 10*time.Second)
		defer end()
		h, err := client.PublishChanges(ctx, d.drafter.Next(e.Tenants), document.Meta{Author: "fleetday", Reason: phase}, document.Digest{})
		if err != nil {
			return err
		}
		d.accept(h)
		return nil
	case Restart:
		cause := Restarted
		if len(e.Servers) > 1 {
			cause = phase
		}
		return d.servers(e.Servers, func(s *server) error { return s.restart(cause) }, func(h *hollowProcess, i int) error {
			if err := h.command(hollow.Stop, i, ""); err != nil {
				return err
			}
			d.background(func() error { // about as long as a real server with few outstanding requests takes to shut down
				time.Sleep(time.Duration(r.form.StopMS) * time.Millisecond * 2 / 3)
				return h.command(hollow.Start, i, cause)
			})
			return nil
		})
	case Kill:
		return d.servers(e.Servers, func(s *server) error { s.kill(); return nil },
			func(h *hollowProcess, i int) error { return h.command(hollow.Stop, i, "") })
	case StartAgain, StartCold:
		cold, what := e.Kind == StartCold, hollow.Start
		if cold {
			what = hollow.ColdStart
		}
		return d.servers(e.Servers, func(s *server) error { return s.start(phase, cold) },
			func(h *hollowProcess, i int) error { return h.command(what, i, phase) })
	case KillControl:
		for _, m := range e.Machines {
			r.machines[m].kill()
		}
	case StartControl:
		for _, m := range e.Machines {
			d.background(r.machines[m].start)
		}
	case CutRegion:
		r.history.cut(e.Region, time.Now())
		return r.cut(e.Region, true)
	case HealRegion:
		r.history.restore(e.Region, time.Now())
		return r.cut(e.Region, false)
	}
	return nil
}

// servers calls real or other for each of the listed servers; real in the background.
func (d *day) servers(list []int, real func(*server) error, other func(*hollowProcess, int) error) error {
	for _, i := range list {
		if i < len(d.rig.real) {
			s := d.rig.real[i]
			d.background(func() error { return real(s) })
			continue
		}
		for _, h := range d.rig.hollow {
			if d.options.WithoutControl {
				break
			}
			if name := fmt.Sprintf("hollow-%03d", i); has(h, name) {
				if err := other(h, i); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func has(h *hollowProcess, name string) bool { _, ok := h.byName[name]; return ok }
