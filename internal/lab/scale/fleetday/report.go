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

// Report is what a day came to.
type Report struct {
	Figures []figures.Figure
	Notes   []string // what was seen beside the figures
	Short   []string // what falls short, with what was measured
	Last    string   // the closing line
}

// scribe gathers a report.
type scribe struct {
	Report
	day  *day
	keys []string
}

// figure notes a figure: bound 0 = none. What counts against the bound is the
// worst, where there is one.
func (s *scribe) figure(key string, f figures.Figure) {
	seen := f.Value
	if f.Worst != 0 {
		seen = f.Worst
	}
	f.Run = "fleet day, seed " + fmt.Sprint(s.day.rig.form.Seed)
	f.Trial = s.day.rig.form.Short
	f.OK = f.Bound == 0 || seen <= f.Bound
	if !f.OK {
		s.short("%s (%s): %.6g %s, want %.6g at most", f.Name, f.State, seen, f.Unit, f.Bound)
	}
	s.Figures = append(s.Figures, f)
	if key != "" {
		s.keys = append(s.keys, fmt.Sprintf("%s=%.4g", key, seen))
	}
}

func (s *scribe) short(format string, args ...any) {
	s.Short = append(s.Short, fmt.Sprintf(format, args...))
}

func (s *scribe) note(format string, args ...any) {
	s.Notes = append(s.Notes, fmt.Sprintf(format, args...))
}

// Write words the report, the closing line last.
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
	for _, s := range r.Short {
		fmt.Fprintln(w, "short:", s)
	}
	fmt.Fprintln(w, r.Last)
}

// report judges the day.
func (d *day) report(targets []hollow.Target, records []hollow.Record) *Report {
	d.rig.sampler.end()
	s := &scribe{day: d}
	if !d.o.WithoutControl {
		s.versions()
	}
	s.requests(targets, records)
	if !d.o.WithoutControl {
		s.cost()
		s.likeness()
		s.machines()
	}
	s.headroom()
	for _, line := range d.rig.said {
		s.note("said: %s", line)
	}
	if d.rig.rarely > 0 {
		s.note("said: %d more", d.rig.rarely)
	}
	s.Last = fmt.Sprintf("fleetday: servers=%d real=%d hollow=%d control=%d callers=%d tenants=%d routes=%d %s short=%d",
		d.rig.form.Servers, d.rig.form.Real, d.rig.form.Servers-d.rig.form.Real, d.rig.form.Machines, d.rig.form.Callers,
		d.rig.form.Tenants, d.rig.form.Routes, strings.Join(s.keys, " "), len(s.Short))
	return &s.Report
}

// quantile reads a sorted list; of an empty one it is 0.
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

// whens says to which state of the fleet a circumstance belongs.
var whens = map[string]string{Zone: figures.ZoneLost, "start after " + Zone: figures.ZoneLost, Apart: figures.RegionsApart,
	Healed + ", versions made meanwhile": figures.RegionsApart, Healed: figures.RegionsApart, Together: figures.AllStart, "start after " + Together: figures.AllStart}

func when(circumstance string) string {
	if w := whens[circumstance]; w != "" {
		return w
	}
	return figures.Ordinary
}

// versions judges when each version came into force.
func (s *scribe) versions() {
	r := s.day.rig
	v := r.history.judge(r.form.regionOfMachine(0))
	worstCalm, worstFault := 0.0, 0.0
	for _, name := range sortedKeys(v.Took) {
		list := v.Took[name]
		bound, worst := r.form.Bounds.FaultInForce, quantile(list, 1).Seconds()
		if name == Calm || name == Burst || name == Large {
			bound = r.form.Bounds.CalmInForce
			worstCalm = max(worstCalm, worst)
		} else {
			worstFault = max(worstFault, worst)
		}
		s.figure("", figures.Figure{Name: "in force: " + name, Role: figures.Settings, State: when(name), Unit: "s", Value: quantile(list, 0.5).Seconds(),
			P99: quantile(list, 0.99).Seconds(), Worst: worst, Bound: bound.Seconds()})
		s.note("in force, %s: %d versions on servers", name, len(list))
	}
	for _, name := range sortedKeys(v.Starts) {
		list := v.Starts[name]
		s.figure("", figures.Figure{Name: "first version after a start: " + name, Role: figures.Settings, State: when(name), Unit: "s",
			Value: quantile(list, 0.5).Seconds(), P99: quantile(list, 0.99).Seconds(), Worst: quantile(list, 1).Seconds(), Bound: r.form.Bounds.FaultInForce.Seconds()})
	}
	for i, line := range append(slices.Clone(v.Disorder), v.Missing...) {
		if i < saidMost {
			s.note("versions: %s", line)
		}
	}
	if n := len(v.Disorder); n > 0 {
		s.short("%d times a version is out of order or has another digest, first: %s", n, v.Disorder[0])
	}
	if n := len(v.Missing); n > 0 {
		s.short("%d times a version is not in force on a server that lives, first: %s", n, v.Missing[0])
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

// before is the stretch of the day before its first fault.
func (s *scribe) before() (from, to time.Time) {
	phases := s.day.rig.history.Phases
	from = phases[0].From
	for _, p := range phases {
		if p.Name == Calm || p.Name == Burst || p.Name == Large {
			to = p.To
		}
	}
	return from, to
}

func (s *scribe) phase(name string) (from, to time.Time) {
	for _, p := range s.day.rig.history.Phases {
		if p.Name == name {
			return p.From, p.To
		}
	}
	return from, to
}

// added is what was added to requests before the first fault, sorted, microseconds.
type added map[string][]int32

// toldMost bounds the requests that are told of one by one.
const toldMost = 20

// requests judges what became of the requests.
func (s *scribe) requests(targets []hollow.Target, records []hollow.Record) {
	r := s.day.rig
	from, to := s.before()
	counts := map[hollow.Code]int{}
	tries, opened, told := 0, 0, 0
	pairs, unpressed := added{}, added{}
	_, pressed := s.phase(Burst) // what comes next is 470 servers' work on this machine's cores at once
	var late []int32
	kinds := map[int]string{} // by target: rate and side
	for i, t := range targets {
		side := "with"
		if t.Group == r.form.Regions || s.day.o.WithoutControl {
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
		late = append(late, rec.CallerDelayUS)
		if rec.Code != hollow.Answered && told < toldMost {
			told++
			s.note("request %s: due at %.3f s, for %s, %d tries, %.3f s", rec.Code, time.UnixMicro(rec.Due).Sub(s.day.start).Seconds(),
				targets[rec.Target].Name, rec.Tries, float64(rec.LatencyUS)/1e6)
		}
		due := time.UnixMicro(rec.Due)
		if due.Before(from) || !due.Before(to) {
			continue
		}
		t := targets[rec.Target]
		pairs[kinds[int(rec.Target)]] = append(pairs[kinds[int(rec.Target)]], rec.AddedUS)
		if due.Before(pressed) {
			unpressed[kinds[int(rec.Target)]] = append(unpressed[kinds[int(rec.Target)]], rec.AddedUS)
		}
		if int(t.Seed) < r.form.paired() { // its twin gets the same requests
			pairs["pair "+kinds[int(rec.Target)]] = append(pairs["pair "+kinds[int(rec.Target)]], rec.AddedUS)
		}
	}
	for _, list := range pairs {
		slices.Sort(list)
	}
	for _, kind := range sortedKeys(unpressed) {
		list := unpressed[kind]
		slices.Sort(list)
		s.note("added at %s control before the large change: p50 %.2f ms, p99 %.2f ms, of %d requests", kind,
			float64(quantile(list, 0.5))/1000, float64(quantile(list, 0.99))/1000, len(list))
	}
	slices.Sort(late)
	gone := counts[hollow.Lost] + counts[hollow.Late] + counts[hollow.WrongResult]
	s.note("requests: %d due, %d answered, %d refused, %d late, %d lost, %d wrong; %d tries, %d connections opened; the callers were late by %d us at the 99th percentile, %d us at most",
		len(records), counts[hollow.Answered], counts[hollow.Refused], counts[hollow.Late], counts[hollow.Lost], counts[hollow.WrongResult], tries, opened,
		quantile(late, 0.99), quantile(late, 1))
	if gone > 0 {
		s.short("%d requests are lost, %d late, %d answered with another's result", counts[hollow.Lost], counts[hollow.Late], counts[hollow.WrongResult])
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
				Role: figures.Settings, State: figures.Peak, Unit: "ms", Value: ms("pair %g/s with", 0.99) - ms("pair %g/s without", 0.99), Bound: float64(r.form.Bounds.AddedBy) / 1e6})
		}
	}
	s.keys = append(s.keys, fmt.Sprintf("requests=%d refused=%d late=%d lost=%d wrong=%d late_callers_p99_us=%d",
		len(records), counts[hollow.Refused], counts[hollow.Late], counts[hollow.Lost], counts[hollow.WrongResult], quantile(late, 0.99)))
}

// saturated is the idle part of the machine under which a figure of time is
// the machine's, not the program's.
const saturated = 0.05

// headroom says what the machine had left in each phase.
func (s *scribe) headroom() {
	least := 1.0
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
		least = min(least, low)
		s.note("headroom: %s: the machine is idle to %.0f%%, %.0f%% in the worst second", p.Name, 100*mean(idle), 100*low)
		if mean(idle) < saturated {
			s.note("saturated: this machine can't bear the whole in the phase %q: its figures of time are those of a machine without headroom", p.Name)
		}
	}
	s.note("memory of all processes together: %.0f MB at most", s.day.rig.sampler.memory)
	s.keys = append(s.keys, fmt.Sprintf("idle_least=%.2f memory_mb=%.0f", least, s.day.rig.sampler.memory))
}
