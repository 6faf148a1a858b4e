package fleetday

import (
	"fmt"
	"math"
	"time"

	"kiteslip/internal/lab/scale/figures"
)

// alive says whether one life of a server covers a stretch, its start apart.
func (h *History) alive(server int, from, to time.Time) bool {
	for _, l := range h.Lives[server] {
		if !l.From.After(from.Add(-h.Settled)) && (l.To.IsZero() || !l.To.Before(to)) {
			return true
		}
	}
	return false
}

// twinsOf reads what the servers without control used at the same rate of requests.
func (s *scribe) twinsOf(rate float64, from, to time.Time) (cores, memory float64, ok bool) {
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

// spent is what control cost real servers over all windows of the day.
type spent struct {
	cores, memory []float64
	worstCores    string
}

// over compares servers with their twins over every window of the day.
func (s *scribe) over(which func(*server) bool) (x spent) {
	r := s.day.rig
	end := s.day.start.Add(s.day.plan.Length)
	worst := math.Inf(-1)
	for from := s.day.start; !from.Add(r.form.Window).After(end); from = from.Add(r.form.Window / 12) {
		to := from.Add(r.form.Window)
		for _, one := range r.real {
			if !which(one) || !r.history.alive(one.number, from, to) {
				continue
			}
			u := r.sampler.rate(one.name, from, to)
			cores, memory, ok := s.twinsOf(one.rate, from, to)
			if !u.Whole || !ok {
				continue
			}
			x.cores = append(x.cores, u.Cores-cores)
			x.memory = append(x.memory, u.RSSMB-memory)
			if u.Cores-cores > worst {
				worst = u.Cores - cores
				x.worstCores = fmt.Sprintf("%s from %.0f s on: %.5f of a core, its twins %.5f", one.name, from.Sub(s.day.start).Seconds(), u.Cores, cores)
			}
		}
	}
	return x
}

func most(list []float64) float64 {
	top := 0.0
	for i, x := range list {
		if i == 0 || x > top {
			top = x
		}
	}
	return top
}

// cost judges what control costs a real server. Its processor time and memory
// are those of its process less the mean of its twins' over the same window:
// twins serve the same content from their file and get requests at the same rate
// (those of the first servers get the same requests), so that what differs is
// control, and the chance of two processes that do the same. That chance is the
// larger part where requests come; the pairs without callers show control alone.
func (s *scribe) cost() {
	r := s.day.rig
	busy := s.over(func(one *server) bool { return one.rate > 0 })
	idle := s.over(func(one *server) bool { return one.rate == 0 })
	if len(busy.cores) == 0 || len(idle.cores) == 0 {
		s.short("no window of %v has a real server and a twin that live through it: what control costs is not measured", r.form.Window)
		return
	}
	b := &r.form.Bounds
	s.note("control, processor time: the worst of %d windows is %s", len(busy.cores), busy.worstCores)
	s.figure("control_core", figures.Figure{Name: "control on the busiest real server over any minute: processor", Role: figures.Settings, State: figures.Peak, Unit: "cores",
		Value: mean(busy.cores), Worst: most(busy.cores), Bound: b.CoreShare})
	s.figure("control_core_idle", figures.Figure{Name: "control on a real server without callers over any minute: processor", Role: figures.Settings, State: figures.Ordinary, Unit: "cores",
		Value: mean(idle.cores), Worst: most(idle.cores), Bound: b.CoreShare})
	s.figure("control_mb", figures.Figure{Name: "control on a real server: memory", Role: figures.Settings, State: figures.Peak, Unit: "MB",
		Value: mean(busy.memory), Worst: most(busy.memory), Bound: b.MemoryMB})
	real, other := s.bytes()
	if len(real) == 0 {
		s.short("no real server told its traffic over %v", r.form.Window)
	} else {
		s.figure("control_bytes_s", figures.Figure{Name: "control on a real server over any minute: both ways", Role: figures.Settings, State: figures.Peak, Unit: "bytes/s",
			Value: mean(real), Worst: most(real), Bound: b.BytesPerS})
	}
	if len(other) > 0 {
		s.figure("", figures.Figure{Name: "control on a hollow server over any minute: both ways", Role: figures.Settings, State: figures.Peak, Unit: "bytes/s",
			Value: mean(other), Worst: most(other), Bound: b.BytesPerS})
	}
	s.catchUp()
}

// bytes are the bytes a second of each server over each window without a start.
func (s *scribe) bytes() (real, other []float64) {
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
					other = append(other, rate)
				}
			}
			break
		}
	}
	return real, other
}

// catchUp tells what the first seconds after a start take, with the start itself.
func (s *scribe) catchUp() {
	r := s.day.rig
	var cpu, bytes []float64
	for _, one := range r.real {
		for _, l := range r.history.Lives[one.number] {
			if l.From.Before(s.day.start) {
				continue
			}
			for _, u := range r.sampler.used[one.name] {
				if at := u.At.Sub(l.From); at >= r.form.Settled && at < r.form.Settled+2*r.form.SampleEvery && (l.To.IsZero() || u.At.Before(l.To)) {
					cpu = append(cpu, u.CPU.Seconds())
					break
				}
			}
			for _, read := range s.day.readings {
				t, ok := read.traffic[one.number]
				if ok && read.at.After(l.From) && (l.To.IsZero() || read.at.Before(l.To)) {
					bytes = append(bytes, float64(t.Bytes)/1024)
					break
				}
			}
		}
	}
	if len(cpu) > 0 {
		s.figure("catch_up_cpu_s", figures.Figure{Name: "start and catch-up of a real server: processor", Role: figures.Settings, State: figures.AllStart, Unit: "s",
			Value: mean(cpu), Worst: most(cpu)})
	}
	if len(bytes) > 0 {
		s.figure("catch_up_kb", figures.Figure{Name: "catch-up of a real server, up to the first reading", Role: figures.Settings, State: figures.AllStart, Unit: "KB",
			Value: mean(bytes), Worst: most(bytes)})
	}
}

// likeness compares hollow servers with real ones without callers over the calm
// part, in which no server of those processes starts.
func (s *scribe) likeness() {
	r := s.day.rig
	from, to := s.phase(Calm)
	var real, other []float64
	for _, one := range r.real[:r.form.Idle] {
		u := r.sampler.rate(one.name, from, to)
		cores, _, ok := s.twinsOf(0, from, to)
		if u.Whole && ok {
			real = append(real, u.Cores-cores)
		}
	}
	for _, h := range r.hollow[:max(1, len(r.hollow)-1)] {
		if u := r.sampler.rate(h.name, from, to); u.Whole {
			other = append(other, u.Cores/float64(len(h.spec.Servers)))
		}
	}
	differ := func(key, name, unit string, a, b []float64) {
		if len(a) == 0 || len(b) == 0 || mean(a) <= 0 {
			s.short("%s of a hollow server and of a real one can't be compared: %d and %d were measured, mean %.3g of the real", name, len(b), len(a), mean(a))
			return
		}
		s.note("likeness, %s: real %.5g %s, hollow %.5g", name, mean(a), unit, mean(b))
		s.figure("like_"+key, figures.Figure{Name: "a hollow server against a real one: " + name, Role: figures.Settings, State: figures.Ordinary, Unit: "part",
			Value: math.Abs(mean(b)/mean(a) - 1), Bound: r.form.Bounds.Likeness})
	}
	if !r.form.Short { // some milliseconds of it can't be told from none
		differ("cpu", "processor", "cores", real, other)
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
	differ("bytes", "bytes", "bytes", bytes[0], bytes[1])
	differ("messages", "versions taken over", "versions", messages[0], messages[1])
}

// machines tells what a control machine bears, and what the last one does.
func (s *scribe) machines() {
	r := s.day.rig
	tell := func(phase, when string, name string, m []string) {
		from, to := s.phase(phase)
		if from.IsZero() {
			return
		}
		var cores, memory []float64
		for _, one := range m {
			if u := r.sampler.rate(one, from, to); u.Whole {
				cores, memory = append(cores, u.Cores), append(memory, u.RSSMB)
			}
		}
		if len(cores) == 0 {
			s.short("%s: no figure of its processor time over the phase %q", name, phase)
			return
		}
		key := ""
		if phase == OneMachine {
			key = "one_machine_core"
		}
		s.figure(key, figures.Figure{Name: name + ": processor", Role: figures.Control, State: when, Unit: "cores", Value: mean(cores), Worst: most(cores)})
		s.figure("", figures.Figure{Name: name + ": memory", Role: figures.Control, State: when, Unit: "MB", Value: mean(memory), Worst: most(memory)})
	}
	var relays []string
	for _, m := range r.form.relays() {
		relays = append(relays, fmt.Sprint("control-", m))
	}
	tell(Calm, figures.Ordinary, "the originator", []string{"control-0"})
	tell(Calm, figures.Ordinary, "a relay", relays)
	tell(Together, figures.AllStart, "the originator", []string{"control-0"})
	tell(Together, figures.AllStart, "a relay", relays)
	tell(OneMachine, figures.Ordinary, "one machine with all servers", []string{"control-0"})
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
