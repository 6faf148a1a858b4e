package fleetday

import (
	"fmt"
	"math"
	"time"

	"kiteslip/internal/lab/scale/figures"
)

// alive reports whether one life of a server covers the interval, without its start.
func (h *History) alive(server int, from, to time.Time) bool {
	for _, l := range h.Lives[server] {
		if !l.From.After(from.Add(-h.CatchUpTime)) && (l.To.IsZero() || !l.To.Before(to)) {
			return true
		}
	}
	return false
}

// twinsOf returns the mean use of the twins with the same request rate.
func (s *reporter) twinsOf(rate float64, from, to time.Time) (cores, memory float64, ok bool) {
	var c, m []float64
	for _, t := range s.day.rig.twins {
		if t.rate == rate {
			if u := s.day.rig.sampler.rate(t.name, from, to); u.Whole {
				c, m = append(c, u.Cores), append(m, u.RSSMB)
			}
		}
	}
	return mean(c), mean(m), len(c) > 0
}

// usageSamples holds what control cost real servers, over all windows of the day.
type usageSamples struct {
	cores, memory []float64
	worstCores    string
}

// compare compares servers with their twins over every window of the day.
func (s *reporter) compare(which func(*server) bool) (x usageSamples) {
	r := s.day.rig
	end := s.day.start.Add(s.day.plan.Length)
	worst := math.Inf(-1)
	for from := s.day.start; !from.Add(r.form.Window).After(end); from = from.Add(r.form.Window / 12) {
		to := from.Add(r.form.Window)
		for _, srv := range r.real {
			if !which(srv) || !r.history.alive(srv.number, from, to) {
				continue
			}
			u := r.sampler.rate(srv.name, from, to)
			cores, memory, ok := s.twinsOf(srv.rate, from, to)
			if !u.Whole || !ok {
				continue
			}
			x.cores = append(x.cores, u.Cores-cores)
			x.memory = append(x.memory, u.RSSMB-memory)
			if u.Cores-cores > worst {
				worst = u.Cores - cores
				x.worstCores = fmt.Sprintf("%s from %.0f s on: %.5f of a core, its twins %.5f", srv.name, from.Sub(s.day.start).Seconds(), u.Cores, cores)
			}
		}
	}
	return x
}

func maximum(list []float64) float64 {
	top := 0.0
	for i, x := range list {
		if i == 0 || x > top {
			top = x
		}
	}
	return top
}

// cost evaluates what control costs a real server: the processor time and memory of
// its process less the mean of its twins' over the same window. Twins serve the same
// content from their file and get requests at the same rate (those of the first
// servers get the same requests), so that the difference is control plus the noise
// between two equal processes. Under requests the noise is the larger part; the
// pairs without callers show control alone.
func (s *reporter) cost() {
	r := s.day.rig
	busy := s.compare(func(srv *server) bool { return srv.rate > 0 })
	idle := s.compare(func(srv *server) bool { return srv.rate == 0 })
	if len(busy.cores) == 0 || len(idle.cores) == 0 {
		s.unmet("no window of %v in which a real server and a twin both stay up: the cost of control is not measured", r.form.Window)
		return
	}
	b := &r.form.Bounds
	s.note("control, processor time: worst of %d windows: %s", len(busy.cores), busy.worstCores)
	s.figure("control_core", figures.Figure{Name: "control on the busiest real server over any minute: processor", Role: figures.Settings, State: figures.Peak, Unit: "cores",
		Value: mean(busy.cores), Worst: maximum(busy.cores), Bound: b.ControlCores})
	s.figure("control_core_idle", figures.Figure{Name: "control on a real server without callers over any minute: processor", Role: figures.Settings, State: figures.Ordinary, Unit: "cores",
		Value: mean(idle.cores), Worst: maximum(idle.cores), Bound: b.ControlCores})
	s.figure("control_mb", figures.Figure{Name: "control on a real server: memory", Role: figures.Settings, State: figures.Peak, Unit: "MB",
		Value: mean(busy.memory), Worst: maximum(busy.memory), Bound: b.ControlMemoryMB})
	real, hollowServers := s.bytes()
	if len(real) == 0 {
		s.unmet("no real server reported its traffic over %v", r.form.Window)
	} else {
		s.figure("control_bytes_s", figures.Figure{Name: "control on a real server over any minute: both ways", Role: figures.Settings, State: figures.Peak, Unit: "bytes/s",
			Value: mean(real), Worst: maximum(real), Bound: b.ControlBytesPerS})
	}
	if len(hollowServers) > 0 {
		s.figure("", figures.Figure{Name: "control on a hollow server over any minute: both ways", Role: figures.Settings, State: figures.Peak, Unit: "bytes/s",
			Value: mean(hollowServers), Worst: maximum(hollowServers), Bound: b.ControlBytesPerS})
	}
	s.catchUp()
}

// bytes returns the control traffic in bytes per second of each server over each
// window without a start, of real and of hollow servers.
func (s *reporter) bytes() (real, hollowServers []float64) {
	r := s.day.rig
	list := s.day.readings
	for i := range list {
		for j := i + 1; j < len(list); j++ {
			if list[j].at.Sub(list[i].at) < r.form.Window {
				continue
			}
			for server, a := range list[i].traffic {
				b, ok := list[j].traffic[server]
				if !ok || !r.history.alive(server, list[i].at, list[j].at) || b.Bytes < a.Bytes {
					continue
				}
				rate := float64(b.Bytes-a.Bytes) / list[j].at.Sub(list[i].at).Seconds()
				if server < r.form.Real {
					real = append(real, rate)
				} else {
					hollowServers = append(hollowServers, rate)
				}
			}
			break
		}
	}
	return real, hollowServers
}

// catchUp reports the cost of the first seconds after a start, including the start.
func (s *reporter) catchUp() {
	r := s.day.rig
	var cpu, bytes []float64
	for _, srv := range r.real {
		for _, l := range r.history.Lives[srv.number] {
			if l.From.Before(s.day.start) {
				continue
			}
			for _, u := range r.sampler.used[srv.name] {
				if at := u.At.Sub(l.From); at >= r.form.CatchUpTime && at < r.form.CatchUpTime+2*r.form.SampleEvery && (l.To.IsZero() || u.At.Before(l.To)) {
					cpu = append(cpu, u.CPU.Seconds())
					break
				}
			}
			for _, read := range s.day.readings {
				t, ok := read.traffic[srv.number]
				if ok && read.at.After(l.From) && (l.To.IsZero() || read.at.Before(l.To)) {
					bytes = append(bytes, float64(t.Bytes)/1024)
					break
				}
			}
		}
	}
	if len(cpu) > 0 {
		s.figure("catch_up_cpu_s", figures.Figure{Name: "start and catch-up of a real server: processor", Role: figures.Settings, State: figures.AllStart, Unit: "s",
			Value: mean(cpu), Worst: maximum(cpu)})
	}
	if len(bytes) > 0 {
		s.figure("catch_up_kb", figures.Figure{Name: "catch-up of a real server, up to the first reading", Role: figures.Settings, State: figures.AllStart, Unit: "KB",
			Value: mean(bytes), Worst: maximum(bytes)})
	}
}

// likeness compares hollow servers with real ones without callers over the calm
// phase, in which none of the compared servers' processes has a start.
func (s *reporter) likeness() {
	r := s.day.rig
	from, to := s.phase(Calm)
	var real, hollowServers []float64
	for _, srv := range r.real[:r.form.Idle] {
		u := r.sampler.rate(srv.name, from, to)
		cores, _, ok := s.twinsOf(0, from, to)
		if u.Whole && ok {
			real = append(real, u.Cores-cores)
		}
	}
	for _, h := range r.hollow[:max(1, len(r.hollow)-1)] {
		if u := r.sampler.rate(h.name, from, to); u.Whole {
			hollowServers = append(hollowServers, u.Cores/float64(len(h.spec.Servers)))
		}
	}
	compareMeans := func(key, name, unit string, a, b []float64) {
		if len(a) == 0 || len(b) == 0 || mean(a) <= 0 {
			s.unmet("%s of hollow and real servers can't be compared: %d and %d were measured, mean of the real %.3g", name, len(b), len(a), mean(a))
			return
		}
		s.note("likeness, %s: real %.5g %s, hollow %.5g", name, mean(a), unit, mean(b))
		s.figure("like_"+key, figures.Figure{Name: "a hollow server against a real one: " + name, Role: figures.Settings, State: figures.Ordinary, Unit: "part",
			Value: math.Abs(mean(b)/mean(a) - 1), Bound: r.form.Bounds.HollowDifference})
	}
	if !r.form.Short { // the processor time of the short form is below the noise
		compareMeans("cpu", "processor", "cores", real, hollowServers)
	}
	var a, b reading
	for _, read := range s.day.readings {
		if read.at.Before(from) || read.at.After(to) {
			continue
		}
		if a.traffic == nil {
			a = read
		}
		b = read
	}
	var bytes, messages [2][]float64
	for server, t := range a.traffic {
		u, ok := b.traffic[server]
		if !ok || !r.history.alive(server, a.at, b.at) {
			continue
		}
		side := 0
		if server >= r.form.Real {
			side = 1
		}
		bytes[side] = append(bytes[side], float64(u.Bytes-t.Bytes))
		messages[side] = append(messages[side], float64(u.Applied-t.Applied))
	}
	compareMeans("bytes", "bytes", "bytes", bytes[0], bytes[1])
	compareMeans("messages", "versions taken over", "versions", messages[0], messages[1])
}

// machines reports the load of the control machines, and of the last one left.
func (s *reporter) machines() {
	r := s.day.rig
	report := func(phase, when string, name string, m []string) {
		from, to := s.phase(phase)
		if from.IsZero() {
			return
		}
		var cores, memory []float64
		for _, machine := range m {
			if u := r.sampler.rate(machine, from, to); u.Whole {
				cores, memory = append(cores, u.Cores), append(memory, u.RSSMB)
			}
		}
		if len(cores) == 0 {
			s.unmet("%s: no processor time measured in the phase %q", name, phase)
			return
		}
		key := ""
		if phase == OneMachine {
			key = "one_machine_core"
		}
		s.figure(key, figures.Figure{Name: name + ": processor", Role: figures.Control, State: when, Unit: "cores", Value: mean(cores), Worst: maximum(cores)})
		s.figure("", figures.Figure{Name: name + ": memory", Role: figures.Control, State: when, Unit: "MB", Value: mean(memory), Worst: maximum(memory)})
	}
	var relays []string
	for _, m := range r.form.relays() {
		relays = append(relays, fmt.Sprint("control-", m))
	}
	report(Calm, figures.Ordinary, "the originator", []string{"control-0"})
	report(Calm, figures.Ordinary, "a relay", relays)
	report(AllRestart, figures.AllStart, "the originator", []string{"control-0"})
	report(AllRestart, figures.AllStart, "a relay", relays)
	report(OneMachine, figures.Ordinary, "one machine with all servers", []string{"control-0"})
	for _, phase := range []string{Calm, OneMachine} {
		from, to := s.phase(phase)
		var a, b reading
		for _, read := range s.day.readings {
			if !read.at.Before(from) && read.at.Before(to) {
				if a.traffic == nil {
					a = read
				}
				b = read
			}
		}
		sum := 0.0
		for server, t := range a.traffic {
			if u, ok := b.traffic[server]; ok && u.Bytes >= t.Bytes {
				sum += float64(u.Bytes - t.Bytes)
			}
		}
		if span := b.at.Sub(a.at).Seconds(); span > 0 {
			name := "all servers' control streams, both ways"
			if phase == OneMachine {
				name = "one machine with all servers: bytes both ways"
			}
			s.figure("", figures.Figure{Name: name, Role: figures.Control, State: figures.Ordinary, Unit: "bytes/s", Value: sum / span})
		}
	}
}
