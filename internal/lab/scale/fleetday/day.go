// Package fleetday plays one day of the target fleet, compressed, on one machine:
// control machines and some tens of servers are whole programs, all other
// servers are hollow (see the package hollow), callers are real connections.
// Regions reach each other through fault proxies. Versions are published at ten
// times the day's pace while servers restart, racks, zones and control machines
// die and a region is cut off, by a plan that is a list.
//
// What is judged: when each version came into force on each server, in order and
// with the accepted digest; what control costs the real servers, against twins
// that serve the same content from their file and get the same requests in the
// same run; what it costs the control machine; whether hollow servers are like
// real ones; and what became of each request.
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

// Options say what is played, and with which programs.
type Options struct {
	Form           *Form
	Program        string   // bin/kiteslip
	Self           []string // the laboratory's own binary, and what it is given before a hidden sub-command
	WithoutControl bool     // the real servers alone, by their files
	Watch          io.Writer
}

// Play plays a day and judges it. It ends early when ctx does; all processes are
// ended in any case.
func Play(ctx context.Context, o Options) (*Report, error) {
	r, err := newRig(o.Form, o.Program, o.Self)
	if err != nil {
		if r != nil {
			r.close()
		}
		return nil, err
	}
	defer r.close()
	d := &day{rig: r, o: o, plan: o.Form.Plan(), drafter: NewDrafter(Content(o.Form.Sizes, o.Form.Deadline, o.Form.Seed), o.Form.Seed)}
	if o.WithoutControl {
		for _, s := range r.real {
			s.control = false
		}
	}
	if err := d.raise(ctx); err != nil {
		return nil, err
	}
	return d.play(ctx)
}

// day is one day under way.
type day struct {
	rig      *rig
	o        Options
	plan     Plan
	drafter  *Drafter
	start    time.Time
	readings []reading
	pending  chan error // what events beside the plan's own goroutine come to
	running  int
}

func (d *day) watch(format string, args ...any) {
	if d.o.Watch != nil {
		fmt.Fprintf(d.o.Watch, format+"\n", args...)
	}
}

// raise starts everything and waits until all serve by the first version.
func (d *day) raise(ctx context.Context) error {
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
	if d.o.WithoutControl {
		return each(append(append([]*server(nil), r.real...), r.twins...), func(s *server) error { return s.start(Begin, false) })
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
	d.watch("%d control machines and %d processes of hollow servers are up", len(r.machines), len(r.hollow))
	// The first of each process takes the version whole, the others share it.
	for _, h := range r.hollow {
		if err = h.command(hollow.ColdStart, h.first, Begin); err != nil {
			return err
		}
	}
	if err = d.wait(ctx, len(r.hollow)); err != nil {
		return err
	}
	for _, h := range r.hollow {
		for _, i := range h.byName {
			if i != h.first {
				if err = h.command(hollow.Start, i, Begin); err != nil {
					return err
				}
			}
		}
	}
	if err = each(append(append([]*server(nil), r.real...), r.twins...), func(s *server) error { return s.start(Begin, false) }); err != nil {
		return err
	}
	if err = d.wait(ctx, r.form.Servers); err != nil {
		return err
	}
	d.watch("%d servers serve by version %d", r.form.Servers, h.Number)
	return nil
}

// wait waits until so many servers are on the first version.
func (d *day) wait(ctx context.Context, servers int) error {
	for began := time.Now(); ; {
		on, live := d.rig.history.current(1)
		if on == servers {
			return nil
		}
		if time.Since(began) > readyWithin {
			return fmt.Errorf("%d of %d servers that live are on the first version within %v: %q", on, live, readyWithin, d.rig.said)
		}
		if err := sleep(ctx, time.Now().Add(10*time.Millisecond)); err != nil {
			return err
		}
	}
}

// accept notes what the publisher has accepted.
func (d *day) accept(h document.Header) {
	d.rig.history.accepted(Accepted{Number: h.Number, Digest: h.Digest().String(), At: time.UnixMicro(h.Time)})
}

// pendingMost bounds what ends beside the plan without being waited for meanwhile.
const pendingMost = 1 << 14

var errInterrupted = errors.New("the day was ended early")

// play runs the plan, and judges what came of it.
func (d *day) play(ctx context.Context) (*Report, error) {
	r := d.rig
	d.pending = make(chan error, pendingMost)
	d.start = time.Now().Add(time.Second)
	targets := r.targets()
	length := d.plan.Length + r.form.Settle
	callers, err := r.call(targets, d.start, length)
	defer closeCallers(callers)
	if err != nil {
		return nil, err
	}
	d.watch("%d callers of %d servers; the day takes %v", r.form.Callers, len(targets), length.Round(time.Second))
	reading, stop := context.WithCancel(ctx)
	defer stop()
	d.beside(func() error { return d.read(reading) })
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
	for ; d.running > 0; d.running-- {
		select {
		case err := <-d.pending:
			if err != nil {
				return nil, err
			}
		case <-ctx.Done():
			return nil, errInterrupted
		case <-time.After(readyWithin):
			return nil, errors.New("what the plan has begun does not end")
		}
	}
	records, err := gather(callers, r.form.Deadline+slack+10*time.Second)
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

// beside runs what takes its time beside the plan.
func (d *day) beside(f func() error) {
	d.running++
	go func() { d.pending <- f() }()
}

// event carries one event out.
func (d *day) event(ctx context.Context, e Event) error {
	r := d.rig
	if d.o.WithoutControl && (e.Kind == Publish || e.Kind == KillControl || e.Kind == BackControl || e.Kind == Cut || e.Kind == Heal) {
		return nil
	}
	if e.Kind == Phase {
		d.watch("%s", e)
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
			d.beside(func() error { // as long as a real one takes that owes little
				time.Sleep(time.Duration(r.form.StopMS) * time.Millisecond * 2 / 3)
				return h.command(hollow.Start, i, cause)
			})
			return nil
		})
	case Kill:
		return d.servers(e.Servers, func(s *server) error { s.kill(); return nil },
			func(h *hollowProcess, i int) error { return h.command(hollow.Stop, i, "") })
	case Back, BackCold:
		cold, what := e.Kind == BackCold, hollow.Start
		if cold {
			what = hollow.ColdStart
		}
		return d.servers(e.Servers, func(s *server) error { return s.start(phase, cold) },
			func(h *hollowProcess, i int) error { return h.command(what, i, phase) })
	case KillControl:
		for _, m := range e.Machines {
			r.machines[m].kill()
		}
	case BackControl:
		for _, m := range e.Machines {
			d.beside(r.machines[m].start)
		}
	case Cut:
		r.history.cut(e.Region, time.Now())
		return r.cut(e.Region, true)
	case Heal:
		r.history.heal(e.Region, time.Now())
		return r.cut(e.Region, false)
	}
	return nil
}

// servers does something with servers of the fleet: with real ones beside the plan.
func (d *day) servers(list []int, real func(*server) error, other func(*hollowProcess, int) error) error {
	for _, i := range list {
		if i < len(d.rig.real) {
			s := d.rig.real[i]
			d.beside(func() error { return real(s) })
			continue
		}
		for _, h := range d.rig.hollow {
			if d.o.WithoutControl {
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
