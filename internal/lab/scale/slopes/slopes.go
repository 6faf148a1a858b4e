// Package slopes measures how the figures of one server grow with the sizes of
// the fleet: tenants, routes, callers, held requests, kept keys, changes. Each
// slope is taken at five sizes or more and fitted, and its largest size is left
// out and predicted, see internal/lab/scale/slope.
//
// What can be asked of a package (the module, the core, the document) is asked
// in this process; start, reload and latency are those of whole programs on
// loopback, each with an engine stand-in that echoes at once. All is ended by
// id. A short form measures three small sizes within seconds: its counts can be
// judged, its times are no figures.
package slopes

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/slope"
	"kiteslip/internal/lab/scale/target"
)

// Options say what to measure.
type Options struct {
	Program string // the real program
	Target  *target.Target
	Short   bool     // small sizes, one round
	Only    []string // parts to measure: see Parts; none = all
	Say     func(line string)
}

// Parts are what can be measured alone, in their order.
var Parts = []string{"decision", "memory", "start", "traffic", "delta", "version", "follow", "connections", "latency"}

// measurement is one run.
type measurement struct {
	Options
	short  bool
	target *target.Target
	file   *figures.File
	fell   []string // what falls short
}

// Run measures and returns the file, and what falls short of the target.
func Run(o Options, command string) (*figures.File, []string, error) {
	if o.Say == nil {
		o.Say = func(string) {}
	}
	m := &measurement{Options: o, short: o.Short, target: o.Target, file: figures.New(command)}
	parts := map[string]func() error{"decision": m.decisions, "memory": m.memory, "start": m.starts, "traffic": m.traffic, "delta": m.deltas, "version": m.versions, "follow": m.follows, "connections": m.connections, "latency": m.latencies}
	only := o.Only
	if len(only) == 0 {
		only = Parts
	}
	var errs []error
	for _, name := range only {
		f, known := parts[name]
		if !known {
			return nil, nil, fmt.Errorf("slopes: part %q is not known, want one of %q", name, Parts)
		}
		began := time.Now()
		if err := f(); err != nil {
			// The other parts are measured all the same: one that fails must not hide them.
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
		m.say("(%s took %.1f s)", name, time.Since(began).Seconds())
		runtime.GC()
	}
	return m.file, m.fell, errors.Join(errs...)
}

func (m *measurement) say(format string, args ...any) { m.Say(fmt.Sprintf(format, args...)) }

func (m *measurement) want(ok bool, format string, args ...any) {
	if !ok {
		m.fell = append(m.fell, fmt.Sprintf(format, args...))
	}
}

// keep fits a slope and adds it to the file. Where it has a bound, the figure at
// the target must not pass it.
func (m *measurement) keep(s figures.Slope) error {
	if err := slope.Fit(&s); err != nil {
		return err
	}
	m.file.Slopes = append(m.file.Slopes, s)
	last := s.Points[len(s.Points)-1]
	knee := ""
	if s.Knee != "" {
		knee = ", knee " + s.Knee
	}
	m.say("%-34s %.5g + %.5g a unit of %s, residual %.0f%%; at %.6g: %.5g %s, predicted %.5g (%.0f%% off%s)",
		s.Name, s.Fixed, s.PerUnit, s.SizeName, 100*s.Residual, last.Size, last.Value, s.Unit, s.Predicted, 100*s.Miss, knee)
	if !m.short && s.Bound > 0 && s.Target > 0 {
		v, _ := s.At(s.Target)
		m.want(v <= s.Bound, "%s: %.4g %s at %.6g, want %.4g at most", s.Name, v, s.Unit, s.Target, s.Bound)
	}
	return nil
}

// figure adds a figure, as this run gave it.
func (m *measurement) figure(g figures.Figure) {
	g.Run, g.Trial = m.file.Command, m.short
	m.file.Figures = append(m.file.Figures, g)
}

// sizes is the list for a whole measurement, or the first three for a short one.
func (m *measurement) sizes(all ...float64) []float64 {
	if m.short {
		return all[:3]
	}
	return all
}

func (m *measurement) rounds(n int) int {
	if m.short {
		return 1
	}
	return n
}

func (m *measurement) tenants() []float64 {
	return m.sizes(3, 30, 100, 300, 1000, 3000, 10000, float64(m.target.Fleet.Tenants))
}

func (m *measurement) routes() []float64 {
	return m.sizes(4, 15, 50, 150, 450, 1300, float64(m.target.Fleet.Routes))
}

func (m *measurement) callerCounts() []int {
	if m.short {
		return []int{3, 10, 30}
	}
	return []int{10, 100, 1000, 2000, m.target.Fleet.Callers}
}

func (m *measurement) rest() time.Duration {
	if m.short {
		return 500 * time.Millisecond
	}
	return time.Duration(m.target.Assumed.IdleTimeoutS * float64(time.Second))
}

// span is how long a server is looked at.
func (m *measurement) span() time.Duration {
	if m.short {
		return time.Second
	}
	return 8 * time.Second
}
