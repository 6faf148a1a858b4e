package fleetday

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/hollow"
)

// Report is the result of a day.
type Report struct {
	Figures []figures.Figure
	Notes   []string // observations in addition to the figures
	Unmet   []string // unmet bounds, with the measured values
	Summary string   // the closing line
}

// reporter builds a report.
type reporter struct {
	Report
	day  *day
	keys []string
}

// figure adds a figure, with Bound 0 for none. The worst value is compared with the
// bound if there is one.
func (s *reporter) figure(key string, f figures.Figure) {
	seen := f.Value
	if f.Worst != 0 {
		seen = f.Worst
	}
	f.Run = "fleet day, seed " + fmt.Sprint(s.day.rig.form.Seed)
	f.Trial = s.day.rig.form.Short
	f.OK = f.Bound == 0 || seen <= f.Bound
	if !f.OK {
		s.unmet("%s (%s): %.6g %s, want at most %.6g", f.Name, f.State, seen, f.Unit, f.Bound)
	}
	s.Figures = append(s.Figures, f)
	if key != "" {
		s.keys = append(s.keys, fmt.Sprintf("%s=%.4g", key, seen))
	}
}

func (s *reporter) unmet(format string, args ...any) {
	s.Unmet = append(s.Unmet, fmt.Sprintf(format, args...))
}

func (s *reporter) note(format string, args ...any) {
	s.Notes = append(s.Notes, fmt.Sprintf(format, args...))
}

// Write writes the report as text, the closing line last.
func (r *Report) Write(w io.Writer) {
	for _, n := range r.Notes {
		fmt.Fprintln(w, n)
	}
	fmt.Fprintf(w, "%-58s %-13s %12s %12s %12s %12s  %s\n", "figure", "when", "value", "p99", "worst", "bound", "unit")
	number := func(x float64) string {
		if x == 0 {
			return "-"
		}
		return fmt.Sprintf("%.4g", x)
	}
	for _, f := range r.Figures {
		fmt.Fprintf(w, "%-58s %-13s %12.4g %12s %12s %12s  %s\n", f.Name, f.State, f.Value, number(f.P99), number(f.Worst), number(f.Bound), f.Unit)
	}
	for _, s := range r.Unmet {
		fmt.Fprintln(w, "short:", s)
	}
	fmt.Fprintln(w, r.Summary)
}

// report evaluates the day.
func (d *day) report(targets []hollow.Target, records []hollow.Record) *Report {
	d.rig.sampler.end()
	s := &reporter{day: d}
	if !d.options.WithoutControl {
		s.versions()
	}
	s.requests(targets, records)
	if !d.options.WithoutControl {
		s.cost()
		s.likeness()
		s.machines()
	}
	s.headroom()
	for _, line := range d.rig.errors {
		s.note("error: %s", line)
	}
	if d.rig.droppedErrors > 0 {
		s.note("errors: %d more", d.rig.droppedErrors)
	}
	s.Summary = fmt.Sprintf("fleetday: servers=%d real=%d hollow=%d control=%d callers=%d tenants=%d routes=%d %s short=%d",
		d.rig.form.Servers, d.rig.form.Real, d.rig.form.Servers-d.rig.form.Real, d.rig.form.Machines, d.rig.form.Callers,
		d.rig.form.Tenants, d.rig.form.Routes, strings.Join(s.keys, " "), len(s.Unmet))
	return &s.Report
}

// quantile returns the quantile q of a sorted list, or 0 of an empty one.
func quantile[T any](sorted []T, q float64) (x T) {
	if len(sorted) > 0 {
		x = sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
	}
	return x
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(max(1, len(list)))
}

// states maps circumstances to states of the fleet.
var states = map[string]string{Zone: figures.ZoneLost, "start after " + Zone: figures.ZoneLost, RegionCutOff: figures.RegionsApart,
	RegionHealed + ", versions made meanwhile": figures.RegionsApart, RegionHealed: figures.RegionsApart, AllRestart: figures.AllStart, "start after " + AllRestart: figures.AllStart}

func stateOf(circumstance string) string {
	if w := states[circumstance]; w != "" {
		return w
	}
	return figures.Ordinary
}

// versions evaluates when each version came into force.
func (s *reporter) versions() {
	r := s.day.rig
	v := r.history.judge(r.form.regionOfMachine(0))
	worstCalm, worstFault := 0.0, 0.0
	for _, name := range sortedKeys(v.InForceTimes) {
		list := v.InForceTimes[name]
		bound, worst := r.form.Bounds.FaultInForce, quantile(list, 1).Seconds()
		if name == Calm || name == Burst || name == Large {
			bound = r.form.Bounds.CalmInForce
			worstCalm = max(worstCalm, worst)
		} else {
			worstFault = max(worstFault, worst)
		}
		s.figure("", figures.Figure{Name: "in force: " + name, Role: figures.Settings, State: stateOf(name), Unit: "s", Value: quantile(list, 0.5).Seconds(),
			P99: quantile(list, 0.99).Seconds(), Worst: worst, Bound: bound.Seconds()})
		s.note("in force, %s: %d pairs of version and server", name, len(list))
	}
	for _, name := range sortedKeys(v.Starts) {
		list := v.Starts[name]
		s.figure("", figures.Figure{Name: "first version after a start: " + name, Role: figures.Settings, State: stateOf(name), Unit: "s",
			Value: quantile(list, 0.5).Seconds(), P99: quantile(list, 0.99).Seconds(), Worst: quantile(list, 1).Seconds(), Bound: r.form.Bounds.FaultInForce.Seconds()})
	}
	for i, line := range append(slices.Clone(v.Disorder), v.Missing...) {
		if i < maxErrors {
			s.note("versions: %s", line)
		}
	}
	if n := len(v.Disorder); n > 0 {
		s.unmet("versions out of order or with another digest: %d, first: %s", n, v.Disorder[0])
	}
	if n := len(v.Missing); n > 0 {
		s.unmet("versions not in force on a live server: %d, first: %s", n, v.Missing[0])
	}
	s.keys = append(s.keys, fmt.Sprintf("versions=%d calm_s=%.3f fault_s=%.3f disorder=%d missing=%d",
		len(r.history.Versions), worstCalm, worstFault, len(v.Disorder), len(v.Missing)))
}

func sortedKeys[T any](m map[string]T) []string {
	var list []string
	for name := range m {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// beforeFaults returns the part of the day before its first fault.
func (s *reporter) beforeFaults() (from, to time.Time) {
	phases := s.day.rig.history.Phases
	from = phases[0].From
	for _, p := range phases {
		if p.Name == Calm || p.Name == Burst || p.Name == Large {
			to = p.To
		}
	}
	return from, to
}

func (s *reporter) phase(name string) (from, to time.Time) {
	for _, p := range s.day.rig.history.Phases {
		if p.Name == name {
			return p.From, p.To
		}
	}
	return from, to
}

// latencies holds the latency added to requests by kind of target, microseconds.
type latencies map[string][]int32

// maxListed bounds the requests that are listed individually.
const maxListed = 20

// requests evaluates the outcomes of the requests.
func (s *reporter) requests(targets []hollow.Target, records []hollow.Record) {
	r := s.day.rig
	from, to := s.beforeFaults()
	counts := map[hollow.Code]int{}
	tries, opened, listed := 0, 0, 0
	pairs, undisturbed := latencies{}, latencies{}
	_, burstEnd := s.phase(Burst) // after that the large change makes 470 servers work at once on this machine's cores
	var delays []int32
	kinds := map[int]string{} // by target: rate, and with or without control
	for i, t := range targets {
		side := "with"
		if t.Group == r.form.Regions || s.day.options.WithoutControl {
			side = "without"
		}
		kinds[i] = fmt.Sprintf("%g/s %s", t.Rate, side)
	}
	for i := range records {
		rec := &records[i]
		counts[rec.Code]++
		tries += int(rec.Tries)
		if rec.Opened {
			opened++
		}
		delays = append(delays, rec.CallerDelayUS)
		if rec.Code != hollow.Answered && listed < maxListed {
			listed++
			s.note("request %s: due at %.3f s, for %s, %d tries, %.3f s", rec.Code, time.UnixMicro(rec.Due).Sub(s.day.start).Seconds(),
				targets[rec.Target].Name, rec.Tries, float64(rec.LatencyUS)/1e6)
		}
		due := time.UnixMicro(rec.Due)
		if due.Before(from) || !due.Before(to) {
			continue
		}
		t := targets[rec.Target]
		pairs[kinds[int(rec.Target)]] = append(pairs[kinds[int(rec.Target)]], rec.AddedUS)
		if due.Before(burstEnd) {
			undisturbed[kinds[int(rec.Target)]] = append(undisturbed[kinds[int(rec.Target)]], rec.AddedUS)
		}
		if int(t.Seed) < r.form.paired() { // its twin gets the same requests
			pairs["pair "+kinds[int(rec.Target)]] = append(pairs["pair "+kinds[int(rec.Target)]], rec.AddedUS)
		}
	}
	for _, list := range pairs {
		slices.Sort(list)
	}
	for _, kind := range sortedKeys(undisturbed) {
		list := undisturbed[kind]
		slices.Sort(list)
		s.note("added at %s control before the large change: p50 %.2f ms, p99 %.2f ms, of %d requests", kind,
			float64(quantile(list, 0.5))/1000, float64(quantile(list, 0.99))/1000, len(list))
	}
	slices.Sort(delays)
	unanswered := counts[hollow.Lost] + counts[hollow.Late] + counts[hollow.WrongResult]
	s.note("requests: %d due, %d answered, %d refused, %d late, %d lost, %d wrong; %d tries, %d connections opened; delay by the callers %d us at the 99th percentile, at most %d us",
		len(records), counts[hollow.Answered], counts[hollow.Refused], counts[hollow.Late], counts[hollow.Lost], counts[hollow.WrongResult], tries, opened,
		quantile(delays, 0.99), quantile(delays, 1))
	if unanswered > 0 {
		s.unmet("requests: %d lost, %d late, %d answered with another's result", counts[hollow.Lost], counts[hollow.Late], counts[hollow.WrongResult])
	}
	for _, rate := range []float64{r.form.ServerRate, r.form.HotRate} {
		ms := func(kind string, q float64) float64 {
			return float64(quantile(pairs[fmt.Sprintf(kind, rate)], q)) / 1000
		}
		for _, side := range []string{"with", "without"} {
			if len(pairs[fmt.Sprintf("%g/s %s", rate, side)]) == 0 {
				continue
			}
			f := figures.Figure{Name: fmt.Sprintf("p99 added to a request at %g/s, %s control", rate, side), Role: figures.FrontEnds, State: figures.Peak, Unit: "ms",
				Value: ms("%g/s "+side, 0.99), Bound: float64(r.form.Bounds.Added) / 1e6}
			s.figure(fmt.Sprintf("added_%g_%s_ms", rate, side), f)
		}
		if len(pairs[fmt.Sprintf("pair %g/s with", rate)]) > 0 && len(pairs[fmt.Sprintf("pair %g/s without", rate)]) > 0 {
			s.figure(fmt.Sprintf("added_by_control_%g_ms", rate), figures.Figure{Name: fmt.Sprintf("p99 added by control at %g/s, the same requests", rate),
				Role: figures.Settings, State: figures.Peak, Unit: "ms", Value: ms("pair %g/s with", 0.99) - ms("pair %g/s without", 0.99), Bound: float64(r.form.Bounds.AddedByControl) / 1e6})
		}
	}
	s.keys = append(s.keys, fmt.Sprintf("requests=%d refused=%d late=%d lost=%d wrong=%d late_callers_p99_us=%d",
		len(records), counts[hollow.Refused], counts[hollow.Late], counts[hollow.Lost], counts[hollow.WrongResult], quantile(delays, 0.99)))
}

// minIdle is the idle fraction of the machine below which times reflect the machine's
// saturation instead of the program.
const minIdle = 0.05

// headroom reports the idle capacity of the machine in each phase.
func (s *reporter) headroom() {
	lowest := 1.0
	for _, p := range s.day.rig.history.Phases {
		var idle []float64
		for _, h := range s.day.rig.sampler.idle {
			if !h.At.Before(p.From) && h.At.Before(p.To) {
				idle = append(idle, h.Idle)
			}
		}
		if len(idle) == 0 {
			continue
		}
		low := slices.Min(idle)
		lowest = min(lowest, low)
		s.note("headroom: %s: the machine is %.0f%% idle, %.0f%% in the worst second", p.Name, 100*mean(idle), 100*low)
		if mean(idle) < minIdle {
			s.note("saturated: no idle capacity in the phase %q: its times reflect a saturated machine", p.Name)
		}
	}
	s.note("memory of all processes together: at most %.0f MB", s.day.rig.sampler.maxMemoryMB)
	s.keys = append(s.keys, fmt.Sprintf("idle_least=%.2f memory_mb=%.0f", lowest, s.day.rig.sampler.maxMemoryMB))
}
