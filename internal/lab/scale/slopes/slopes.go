// Package slopes measures how the resource use and latency of one server grow with
// the sizes of the fleet: tenants, routes, callers, queued requests, kept keys and
// changes. Each slope is measured at five sizes or more and fitted without its
// largest size, which the fit then predicts; see internal/lab/scale/slope.
//
// Packages (the policy, the core, the document) are measured in this process;
// start, reload and latency are measured on whole programs on loopback, each with
// an engine stand-in that echoes at once. Processes are ended by their IDs. The
// short form measures three small sizes within seconds: its counts are valid, its
// times are not.
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

// Options selects what is measured.
type Options struct {
	Program string // path of the kiteslip program
	Target  *target.Target
	Short   bool     // three small sizes, one round
	Only    []string // the parts to measure, of Parts; none = all
	Log     func(line string)
}

// Parts lists the parts that can be measured separately, in order.
var Parts = []string{"decision", "memory", "start", "traffic", "delta", "version", "follow", "connections", "latency"}

// measurement is one run.
type measurement struct {
	Options
	short  bool
	target *target.Target
	file   *figures.File
	unmet  []string // the bounds of the target that are not met
}

// Run measures the parts and returns the file, and the bounds of the target that are
// not met.
func Run(o Options, command string) (*figures.File, []string, error) {
	if o.Log == nil {
		o.Log = func(string) {}
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
			return nil, nil, fmt.Errorf("slopes: unknown part %q, want one of %q", name, Parts)
		}
		began := time.Now()
		if err := f(); err != nil {
			// The other parts are still measured, so that a failing part does not hide them.
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
		m.logf("(%s took %.1f s)", name, time.Since(began).Seconds())
		runtime.GC()
	}
	return m.file, m.unmet, errors.Join(errs...)
}

func (m *measurement) logf(format string, args ...any) { m.Log(fmt.Sprintf(format, args...)) }

func (m *measurement) check(ok bool, format string, args ...any) {
	if !ok {
		m.unmet = append(m.unmet, fmt.Sprintf(format, args...))
	}
}

// keep fits a slope and adds it to the file. If it has a bound, the value at the
// target must not exceed it.
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
	m.logf("%-34s %.5g + %.5g per unit of %s, residual %.0f%%; at %.6g: %.5g %s, predicted %.5g (%.0f%% off%s)",
		s.Name, s.Fixed, s.PerUnit, s.SizeName, 100*s.Residual, last.Size, last.Value, s.Unit, s.Predicted, 100*s.Miss, knee)
	if !m.short && s.Bound > 0 && s.Target > 0 {
		v, _ := s.At(s.Target)
		m.check(v <= s.Bound, "%s: %.4g %s at %.6g, want at most %.4g", s.Name, v, s.Unit, s.Target, s.Bound)
	}
	return nil
}

// figure adds a figure to the file, marked with this run.
func (m *measurement) figure(g figures.Figure) {
	g.Run, g.Trial = m.file.Command, m.short
	m.file.Figures = append(m.file.Figures, g)
}

// sizes returns all sizes, or the first three for the short form.
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

func (m *measurement) idleTimeout() time.Duration {
	if m.short {
		return 500 * time.Millisecond
	}
	return time.Duration(m.target.Assumed.IdleTimeoutS * float64(time.Second))
}

// measureTime returns how long a server is measured.
func (m *measurement) measureTime() time.Duration {
	if m.short {
		return time.Second
	}
	return 8 * time.Second
}
