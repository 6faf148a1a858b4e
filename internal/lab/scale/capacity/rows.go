package capacity

import (
	"fmt"
	"math"

	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/target"
)

// row is a figure of a role at the target, worked out from slopes.
type row struct {
	role, what, unit string
	slopes           [5]string // by state, in the order of figures.When; "" = not measured in that state
	size             func(t *target.Target) float64
	sizeAt           func(t *target.Target, when string) float64 // in place of size, where it differs by state
	times            func(t *target.Target, when string) float64 // nil = 1
	bound            func(t *target.Target) float64              // nil = none
	grows            string                                      // what the breaking size counts; "" = the slope's size
	carried          string                                      // the mechanism, by package; "" = missing
}

// all is one slope in all states.
func all(name string) [5]string { return [5]string{name, name, name, name, name} }

func (r *row) sizeIn(t *target.Target, when string) float64 {
	if r.sizeAt != nil {
		return r.sizeAt(t, when)
	}
	return r.size(t)
}

func (r *row) factor(t *target.Target, when string) float64 {
	if r.times == nil {
		return 1
	}
	return r.times(t, when)
}

// load is how many times the mean server's requests at the peak come in a state.
func load(t *target.Target, when string) float64 {
	switch when {
	case figures.Ordinary:
		return t.Assumed.OrdinaryFraction
	case figures.ZoneLost:
		return t.ZoneLossFactor()
	}
	return 1
}

func tenants(t *target.Target) float64 { return float64(t.Fleet.Tenants) }
func routes(t *target.Target) float64  { return float64(t.Fleet.Routes) }
func callers(t *target.Target) float64 { return float64(t.Fleet.Callers) }

// kept is how many keys the mean server keeps at the peak.
func kept(t *target.Target) float64 {
	return t.RequestsPerServer() * t.Assumed.KeyedFraction * t.Assumed.KeyWindowS
}

// held is how many requests a server holds in a state.
func held(t *target.Target, when string) float64 {
	switch when {
	case figures.Ordinary:
		return 0
	case figures.ZoneLost, figures.AllStart:
		return float64(t.Assumed.MaxQueued)
	}
	return float64(t.Assumed.Queued)
}

func cores(t *target.Target) float64      { return t.Assumed.ServerCores }
func memoryKB(t *target.Target) float64   { return t.Assumed.ServerMemoryMB * 1024 }
func controlBPS(t *target.Target) float64 { return t.Control.KBPerS * 1000 }

const day = 86_400.0

// rows are all of them, by role.
func rows() []row {
	mean, hot := "64/s", "100/s"
	byHeld := [5]string{"decision/tenants/held=0", "decision/tenants/held=50", "decision/tenants/held=500", "decision/tenants/held=50", "decision/tenants/held=500"}
	perSecond := func(t *target.Target, when string) float64 { return load(t, when) * t.RequestsPerServer() / 1e6 }
	return []row{
		{role: figures.FrontEnds, what: "processor time of the whole program, the mean server (by requests, from 64/s)", unit: "cores", slopes: all("core/callers/" + mean), size: callers,
			times: load, bound: cores, grows: "times the peak's requests", carried: "`internal/server`, `internal/frame`, `internal/uwsgi`"},
		{role: figures.FrontEnds, what: "... a hot server (by requests, from 100/s)", unit: "cores", slopes: all("core/callers/" + hot), size: callers,
			times: load, bound: cores, grows: "times the peak's requests", carried: "the same"},
		{role: figures.FrontEnds, what: "memory of the whole program", unit: "KB", slopes: [5]string{"memory/callers/" + mean, "memory/callers/" + mean, "memory/callers/" + hot, "memory/callers/" + mean, "memory/connections"},
			size: callers, bound: memoryKB, carried: "`internal/server`"},
		{role: figures.FrontEnds, what: "descriptors", unit: "", slopes: [5]string{"connections/callers/" + mean, "connections/callers/" + mean, "connections/callers/" + hot, "connections/callers/" + mean, "descriptors/connections"},
			size: callers, bound: func(t *target.Target) float64 { return float64(t.Fleet.Descriptors) }, carried: "`internal/server` (idle ones make room)"},
		{role: figures.FrontEnds, what: "added to a request, half of them", unit: "ms", slopes: [5]string{"", "added p50/callers/" + mean, "", "", ""}, size: callers, carried: "`internal/server`"},
		{role: figures.FrontEnds, what: "added to a request, 99 in 100", unit: "ms", slopes: [5]string{"", "added p99/callers/" + mean, "added p99/callers/" + hot, "", ""}, size: callers,
			bound: func(t *target.Target) float64 { return t.Promise.AddedP99MS }, carried: "`internal/server`"},

		{role: figures.Core, what: "decisions of one request (0, 50, 500 held)", unit: "us", slopes: byHeld, size: tenants,
			bound: func(t *target.Target) float64 { return t.Promise.AddedP99MS * 1000 }, carried: "`kiteslip` (the module)"},
		{role: figures.Core, what: "... of all requests", unit: "cores", slopes: byHeld, size: tenants, times: perSecond, bound: cores, carried: "the same"},
		{role: figures.Core, what: "memory of what is held (0, 50, 500)", unit: "KB", slopes: all("heap/held"), sizeAt: held, bound: memoryKB, carried: "`internal/core`"},

		{role: figures.Engine, what: "processor time, apart from the fronts'", unit: "cores", carried: "`internal/engine`"},
		{role: figures.Calls, what: "processor time and memory by calls", unit: "", carried: "`internal/core`, `internal/ledger`"},

		{role: figures.Keys, what: "memory of kept keys", unit: "KB", slopes: all("heap/keys"), size: kept, times: load, bound: memoryKB, carried: "`internal/core`, `internal/keystore`"},
		{role: figures.Keys, what: "decisions of one keyed request", unit: "us", slopes: all("decision/keys"), size: kept,
			bound: func(t *target.Target) float64 { return t.Promise.AddedP99MS * 1000 }, carried: "`kiteslip` (looks at each kept key in each batch)"},

		{role: figures.Reports, what: "to the registry", unit: "bytes/s", slopes: all("reports/routes"), size: routes, bound: controlBPS, carried: "`internal/registry`"},

		{role: figures.Settings, what: "heap of the tenants", unit: "KB", slopes: all("heap/tenants"), size: tenants, bound: memoryKB, carried: "`internal/config`, `internal/core`"},
		{role: figures.Settings, what: "heap of the routes", unit: "KB", slopes: all("heap/routes"), size: routes, bound: memoryKB, carried: "`internal/config`, `internal/core`"},
		{role: figures.Settings, what: "start from the file, by tenants", unit: "ms", slopes: [5]string{"", "", "", "", "start/tenants"}, size: tenants,
			bound: func(*target.Target) float64 { return 2000 }, carried: "`internal/config`"},
		{role: figures.Settings, what: "start from the file, by routes", unit: "ms", slopes: [5]string{"", "", "", "", "start/routes"}, size: routes,
			bound: func(*target.Target) float64 { return 2000 }, carried: "`internal/config`"},
		{role: figures.Settings, what: "the whole file anew at SIGHUP, until in use", unit: "ms", slopes: all("reload/tenants"), size: tenants,
			bound: func(t *target.Target) float64 { return t.Promise.InForceWithinS * 1000 }, carried: "`internal/config`, `internal/server`"},
		{role: figures.Settings, what: "... longest round trip meanwhile", unit: "ms", slopes: all("reload hold/tenants"), size: tenants,
			bound: func(t *target.Target) float64 { return t.Promise.AddedP99MS }, carried: "`internal/server`"},
		{role: figures.Settings, what: "deltas of one change, a day's changes spread evenly", unit: "bytes/s", slopes: all("delta bytes/changes"), size: func(*target.Target) float64 { return 1 },
			times: func(t *target.Target, _ string) float64 { return t.Promise.ChangesPerDay / day }, bound: controlBPS, grows: "-", carried: "`internal/control/document`"},
		{role: figures.Settings, what: "a delta of 5,000 changes is read and applied", unit: "ms", slopes: all("delta apply/changes"), size: func(*target.Target) float64 { return 5000 },
			carried: "`internal/control/document`"},
		{role: figures.Settings, what: "a version of one change, beside the loop", unit: "ms", slopes: all("version beside the loop/tenants"), size: tenants,
			bound: func(t *target.Target) float64 { return t.Promise.InForceWithinS * 1000 }, carried: "`internal/config`, `internal/control/document`"},
		{role: figures.Settings, what: "... on the loop", unit: "ms", slopes: all("version on the loop/tenants"), size: tenants,
			bound: func(*target.Target) float64 { return 1 }, carried: "`internal/core`, `kiteslip`"},
		{role: figures.Settings, what: "a version of 5,000 changes, beside the loop", unit: "ms", slopes: all("version beside the loop/changes"), size: func(*target.Target) float64 { return 5000 },
			bound: func(t *target.Target) float64 { return t.Promise.InForceWithinS * 1000 }, carried: "`internal/config`, `internal/control/document`"},
		{role: figures.Settings, what: "... the 5,000 on the loop", unit: "ms", slopes: all("version on the loop/changes"), size: func(*target.Target) float64 { return 5000 },
			bound: func(*target.Target) float64 { return 10 }, carried: "`internal/core`, `kiteslip`"},
		{role: figures.Settings, what: "a snapshot", unit: "bytes", slopes: [5]string{"", "", "", "", "snapshot bytes/tenants"}, size: tenants, carried: "`internal/control/document`"},
		{role: figures.Settings, what: "a snapshot is read and checked", unit: "ms", slopes: [5]string{"", "", "", "", "snapshot open/tenants"}, size: tenants,
			bound: func(*target.Target) float64 { return 2000 }, carried: "`internal/control/document`"},

		{role: figures.Caller, what: "connections of all callers at one server", unit: "", slopes: [5]string{"connections/callers/" + mean, "connections/callers/" + mean, "connections/callers/" + hot, "connections/callers/" + mean, "descriptors/connections"},
			size: callers, bound: func(t *target.Target) float64 { return float64(t.Fleet.Descriptors) }, carried: "`internal/server` (idle ones make room)"},

		{role: figures.Registry, what: "reports of all servers", unit: "bytes/s", slopes: all("reports/routes"), size: routes,
			times: func(t *target.Target, _ string) float64 { return float64(t.Fleet.Servers) }, carried: "outside of this program"},

		{role: figures.Control, what: "snapshots to all servers at once, over the machines", unit: "bytes each", slopes: [5]string{"", "", "", "", "snapshot bytes/tenants"}, size: tenants,
			times: func(t *target.Target, _ string) float64 {
				return float64(t.Fleet.Servers) / float64(t.Fleet.ControlMachines)
			}, carried: "`internal/control/publish`"},
		{role: figures.Control, what: "one change to all servers, over the machines", unit: "bytes each", slopes: all("delta bytes/changes"), size: func(*target.Target) float64 { return 1 },
			times: func(t *target.Target, _ string) float64 {
				return float64(t.Fleet.Servers) / float64(t.Fleet.ControlMachines)
			}, grows: "-", carried: "`internal/control/publish`"},

		{role: figures.Operator, what: "one answer to show-stat", unit: "bytes", slopes: all("show-stat/routes"), size: routes, carried: "`internal/ops`, `internal/figures`"},
		{role: figures.Operator, what: "... as asked for", unit: "bytes/s", slopes: all("show-stat/routes"), size: routes,
			times: func(t *target.Target, _ string) float64 { return 1 / t.Assumed.AdminQueryIntervalS }, bound: controlBPS, carried: "the same"},
		{role: figures.Operator, what: "one answer, to its end", unit: "ms", slopes: all("show-stat time/routes"), size: routes, carried: "the same"},
	}
}

// row renders a row that comes of slopes.
func (in *Inputs) row(t *table, r *row) {
	cells := []string{r.what}
	worst, size, from, run := math.Inf(-1), 0.0, "", ""
	var s *figures.Slope
	for i, when := range figures.States {
		name := r.slopes[i]
		of, f := in.slope(name)
		if of == nil || name == "" {
			cells = append(cells, notMeasured)
			if name != "" && from == "" {
				from = "`" + name + "`"
			}
			continue
		}
		v, _ := of.At(r.sizeIn(in.Target, when))
		v *= r.factor(in.Target, when)
		cells = append(cells, number(v))
		if v > worst {
			worst, s, size, from, run = v, of, r.sizeIn(in.Target, when), "`"+name+"`", "`"+f.Command+"`"
		}
	}
	allowed, margin := "", ""
	if r.bound != nil {
		allowed = "at most " + number(r.bound(in.Target))
		if s != nil {
			margin = marginOf(worst, r.bound(in.Target), false)
		}
	}
	if run != "" {
		from += ", " + run
	}
	carried := r.carried
	if carried == "" {
		carried = "**missing**"
	}
	t.row(append(cells, r.unit, allowed, margin, in.breaks(r, s, size, worst), from, carried)...)
}

// farthest is how many times the largest size measured a fit is drawn on.
const farthest = 10

// breaks says at which size the worst state's figure passes its bound, by the fit.
func (in *Inputs) breaks(r *row, s *figures.Slope, size, worst float64) string {
	if s == nil || r.bound == nil || worst <= 0 || r.grows == "-" {
		return ""
	}
	bound := r.bound(in.Target)
	if r.grows != "" {
		return number(bound/worst) + " " + r.grows
	}
	last := s.Points[len(s.Points)-1]
	if s.PerUnit <= 0 || s.Knee != "" && last.Value < s.Predicted {
		return "not by " + s.SizeName + " up to " + number(last.Size)
	}
	scale := worst / max(s.Fixed+s.PerUnit*size, math.SmallestNonzeroFloat64) // states scale the figure, and the fit misses a little
	switch at := (bound/scale - s.Fixed) / s.PerUnit; {
	case at > farthest*last.Size: // a line says nothing of what lies so far beyond its points
		return fmt.Sprintf("over %s %s", number(farthest*last.Size), s.SizeName)
	case at > 0:
		return number(at) + " " + s.SizeName
	}
	return "at any"
}
