package fleetday

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"kiteslip/internal/lab/scale/hollow"
)

// callersProcess is a process of hollow callers.
type callersProcess struct {
	spec hollow.CallersSpec
	p    *process
	done chan struct{}
}

// targets returns the real servers that have callers. Retries go to servers within
// the region for servers with control, and to other twins for twins. A twin and its
// server get the same requests at the same times.
func (r *rig) targets() []hollow.Target {
	var list []hollow.Target
	perServer := r.form.Callers / (r.form.Real - r.form.Idle)
	add := func(s *server, group int) {
		if s.rate > 0 {
			list = append(list, hollow.Target{Name: s.name, Address: s.listen, Group: group, Rate: s.rate, Callers: perServer, Seed: uint64(s.number)})
		}
	}
	for _, s := range r.real {
		group := s.region
		if r.form.Short {
			group = 0 // with so few servers a region might have none
		}
		add(s, group)
	}
	for _, s := range r.twins {
		add(s, r.form.Regions)
	}
	return list
}

// startCallers starts the callers' processes. Their requests are due from start on,
// for length.
func (r *rig) startCallers(targets []hollow.Target, start time.Time, length time.Duration) ([]*callersProcess, error) {
	spec := hollow.CallersSpec{Seed: r.form.Seed, Start: start.UnixMicro(), Length: length.Microseconds(), Deadline: r.form.Deadline.Microseconds(),
		Slack: slack.Microseconds(), WorkUS: workUS, Targets: targets}
	for i := range r.content.Teams {
		spec.Teams = append(spec.Teams, r.content.Teams[i].Name)
	}
	for i := range r.content.Services {
		for _, t := range r.content.Services[i].Contracts {
			if t.Effect == "repeatable" {
				spec.Classes = append(spec.Classes, t.Class)
			}
		}
	}
	processes := max(1, (r.form.Callers+r.form.CallersPerProcess-1)/r.form.CallersPerProcess)
	list := make([]*callersProcess, processes)
	for i := range list {
		list[i] = &callersProcess{spec: spec, done: make(chan struct{})}
		list[i].spec.Records = filepath.Join(r.dir, fmt.Sprint("records-", i))
	}
	for t := range targets {
		c := list[t%processes]
		c.spec.LocalTargets = append(c.spec.LocalTargets, t)
	}
	return list, each(list, func(c *callersProcess) error {
		name := "callers-" + strings.TrimPrefix(filepath.Base(c.spec.Records), "records-")
		file, err := r.writeSpec(name, &c.spec)
		if err != nil {
			return err
		}
		c.p, err = launch(name, r.subcommand(hollow.CommandCallers, file), hollow.Ready, true, func(line string, _ time.Time) {
			switch line {
			case "done":
				close(c.done)
			case hollow.Ready:
			default:
				r.errorf("%s: %s", name, line)
			}
		})
		if err != nil {
			return err
		}
		r.sampler.watchProcess(name, c.p.cmd.Process.Pid)
		return c.p.waitReady()
	})
}

// collect waits for the callers to end and reads their records.
func collect(list []*callersProcess, within time.Duration) ([]hollow.Record, error) {
	var all []hollow.Record
	late := time.After(within)
	for _, c := range list {
		select {
		case <-c.done:
		case <-c.p.done:
			select {
			case <-c.done:
			default:
				return nil, fmt.Errorf("%s ended early: %w", c.p.name, orExited(c.p.err))
			}
		case <-late:
			return nil, errors.New("the callers did not end in time")
		}
		records, err := hollow.ReadRecords(c.spec.Records)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}

func closeCallers(list []*callersProcess) {
	for _, c := range list {
		if c.p != nil {
			c.p.kill()
		}
	}
}
