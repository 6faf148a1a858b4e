package capacity

import (
	"fmt"
	"math"

	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/target"
)

// row is a figure of a role at the target, computed from slopes.
type row struct {
	role, what, unit string
	slopes           [5]string // by state, in the order of figures.States; "" = not measured in that state
	size             func(t *target.Target) float64
	sizeAt           func(t *target.Target, when string) float64 // replaces size if it differs by state
	multiplier       func(t *target.Target, when string) float64 // factor on the slope's value; nil = 1
	bound            func(t *target.Target) float64              // nil = no bound
	sizeUnit         string                                      // unit of the size at which the bound is reached; "" = the slope's size
	mechanism        string                                      // the mechanism, by package; "" = missing
}

// allStates returns one slope for all states.
func allStates(name string) [5]string { return [5]string{name, name, name, name, name} }

func (r *row) sizeIn(t *target.Target, when string) float64 {
	if r.sizeAt != nil {
		return r.sizeAt(t, when)
	}
	return r.size(t)
}

func (r *row) factor(t *target.Target, when string) float64 {
	if r.multiplier == nil {
		return 1
	}
	return r.multiplier(t, when)
}

// relativeLoad returns the request rate of a state relative to the mean server's at the peak.
func relativeLoad(t *target.Target, when string) float64 {
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

// keptKeys returns how many keys the mean server keeps at the peak.
func keptKeys(t *target.Target) float64 {
	return t.RequestsPerServer() * t.Assumed.KeyedFraction * t.Assumed.KeyWindowS
}

// queued returns how many requests a server has queued in a state.
func queued(t *target.Target, when string) float64 {
	switch when {
	case figures.Ordinary:
		return 0
	case figures.ZoneLost, figures.AllStart:
		return float64(t.Assumed.MaxQueued)
	}
	return float64(t.Assumed.Queued)
}

func cores(t *target.Target) float64            { return t.Assumed.ServerCores }
func memoryKB(t *target.Target) float64         { return t.Assumed.ServerMemoryMB * 1024 }
func controlBytesPerS(t *target.Target) float64 { return t.Control.KBPerS * 1000 }

const daySeconds = 86_400.0

// rows returns all rows by role.
func rows() []row {
	meanRate, hotRate := "64/s", "100/s"
	byQueued := [5]string{"decision/tenants/held=0", "decision/tenants/held=50", "decision/tenants/held=500", "decision/tenants/held=50", "decision/tenants/held=500"}
	perSecond := func(t *target.Target, when string) float64 {
		return relativeLoad(t, when) * t.RequestsPerServer() / 1e6
	}
	return []row{
		{role: figures.FrontEnds, what: "processor time of the whole program, the mean server (by requests, from 64/s)", unit: "cores", slopes: allStates("core/callers/" + meanRate), size: callers,
			multiplier: relativeLoad, bound: cores, sizeUnit: "times the peak's requests", mechanism: "`internal/server`, `internal/frame`, `internal/uwsgi`"},
		{role: figures.FrontEnds, what: "... a hot server (by requests, from 100/s)", unit: "cores", slopes: allStates("core/callers/" + hotRate), size: callers,
			multiplier: relativeLoad, bound: cores, sizeUnit: "times the peak's requests", mechanism: "the same"},
		{role: figures.FrontEnds, what: "memory of the whole program", unit: "KB", slopes: [5]string{"memory/callers/" + meanRate, "memory/callers/" + meanRate, "memory/callers/" + hotRate, "memory/callers/" + meanRate, "memory/connections"},
			size: callers, bound: memoryKB, mechanism: "`internal/server`"},
		{role: figures.FrontEnds, what: "descriptors", unit: "", slopes: [5]string{"connections/callers/" + meanRate, "connections/callers/" + meanRate, "connections/callers/" + hotRate, "connections/callers/" + meanRate, "descriptors/connections"},
			size: callers, bound: func(t *target.Target) float64 { return float64(t.Fleet.Descriptors) }, mechanism: "`internal/server` (idle ones make room)"},
		{role: figures.FrontEnds, what: "added to a request, half of them", unit: "ms", slopes: [5]string{"", "added p50/callers/" + meanRate, "", "", ""}, size: callers, mechanism: "`internal/server`"},
		{role: figures.FrontEnds, what: "added to a request, 99 in 100", unit: "ms", slopes: [5]string{"", "added p99/callers/" + meanRate, "added p99/callers/" + hotRate, "", ""}, size: callers,
			bound: func(t *target.Target) float64 { return t.Promise.AddedP99MS }, mechanism: "`internal/server`"},

		{role: figures.Core, what: "decisions of one request (0, 50, 500 held)", unit: "us", slopes: byQueued, size: tenants,
			bound: func(t *target.Target) float64 { return t.Promise.AddedP99MS * 1000 }, mechanism: "`kiteslip` (the module)"},
		{role: figures.Core, what: "... of all requests", unit: "cores", slopes: byQueued, size: tenants, multiplier: perSecond, bound: cores, mechanism: "the same"},
		{role: figures.Core, what: "memory of what is held (0, 50, 500)", unit: "KB", slopes: allStates("heap/held"), sizeAt: queued, bound: memoryKB, mechanism: "`internal/core`"},

		{role: figures.Engine, what: "processor time, apart from the fronts'", unit: "cores", mechanism: "`internal/engine`"},
		{role: figures.Calls, what: "processor time and memory by calls", unit: "", mechanism: "`internal/core`, `internal/ledger`"},

		{role: figures.Keys, what: "memory of kept keys", unit: "KB", slopes: allStates("heap/keys"), size: keptKeys, multiplier: relativeLoad, bound: memoryKB, mechanism: "`internal/core`, `internal/keystore`"},
		{role: figures.Keys, what: "decisions of one keyed request", unit: "us", slopes: allStates("decision/keys"), size: keptKeys,
			bound: func(t *target.Target) float64 { return t.Promise.AddedP99MS * 1000 }, mechanism: "`kiteslip` (looks at each kept key in each batch)"},

		{role: figures.Reports, what: "to the registry", unit: "bytes/s", slopes: allStates("reports/routes"), size: routes, bound: controlBytesPerS, mechanism: "`internal/registry`"},

		{role: figures.Settings, what: "heap of the tenants", unit: "KB", slopes: allStates("heap/tenants"), size: tenants, bound: memoryKB, mechanism: "`internal/config`, `internal/core`"},
		{role: figures.Settings, what: "heap of the routes", unit: "KB", slopes: allStates("heap/routes"), size: routes, bound: memoryKB, mechanism: "`internal/config`, `internal/core`"},
		{role: figures.Settings, what: "start from the file, by tenants", unit: "ms", slopes: [5]string{"", "", "", "", "start/tenants"}, size: tenants,
			bound: func(*target.Target) float64 { return 2000 }, mechanism: "`internal/config`"},
		{role: figures.Settings, what: "start from the file, by routes", unit: "ms", slopes: [5]string{"", "", "", "", "start/routes"}, size: routes,
			bound: func(*target.Target) float64 { return 2000 }, mechanism: "`internal/config`"},
		{role: figures.Settings, what: "the whole file anew at SIGHUP, until in use", unit: "ms", slopes: allStates("reload/tenants"), size: tenants,
			bound: func(t *target.Target) float64 { return t.Promise.InForceWithinS * 1000 }, mechanism: "`internal/config`, `internal/server`"},
		{role: figures.Settings, what: "... longest round trip meanwhile", unit: "ms", slopes: allStates("reload hold/tenants"), size: tenants,
			bound: func(t *target.Target) float64 { return t.Promise.AddedP99MS }, mechanism: "`internal/server`"},
		{role: figures.Settings, what: "deltas of one change, a day's changes spread evenly", unit: "bytes/s", slopes: allStates("delta bytes/changes"), size: func(*target.Target) float64 { return 1 },
			multiplier: func(t *target.Target, _ string) float64 { return t.Promise.ChangesPerDay / daySeconds }, bound: controlBytesPerS, sizeUnit: "-", mechanism: "`internal/control/document`"},
		{role: figures.Settings, what: "a delta of 5,000 changes is read and applied", unit: "ms", slopes: allStates("delta apply/changes"), size: func(*target.Target) float64 { return 5000 },
			mechanism: "`internal/control/document`"},
		{role: figures.Settings, what: "a version of one change, beside the loop", unit: "ms", slopes: allStates("version beside the loop/tenants"), size: tenants,
			bound: func(t *target.Target) float64 { return t.Promise.InForceWithinS * 1000 }, mechanism: "`internal/config`, `internal/control/document`"},
		{role: figures.Settings, what: "... on the loop", unit: "ms", slopes: allStates("version on the loop/tenants"), size: tenants,
			bound: func(*target.Target) float64 { return 1 }, mechanism: "`internal/core`, `kiteslip`"},
		{role: figures.Settings, what: "a version of 5,000 changes, beside the loop", unit: "ms", slopes: allStates("version beside the loop/changes"), size: func(*target.Target) float64 { return 5000 },
			bound: func(t *target.Target) float64 { return t.Promise.InForceWithinS * 1000 }, mechanism: "`internal/config`, `internal/control/document`"},
		{role: figures.Settings, what: "... the 5,000 on the loop", unit: "ms", slopes: allStates("version on the loop/changes"), size: func(*target.Target) float64 { return 5000 },
			bound: func(*target.Target) float64 { return 10 }, mechanism: "`internal/core`, `kiteslip`"},
		{role: figures.Settings, what: "a snapshot", unit: "bytes", slopes: [5]string{"", "", "", "", "snapshot bytes/tenants"}, size: tenants, mechanism: "`internal/control/document`"},
		{role: figures.Settings, what: "a snapshot is read and checked", unit: "ms", slopes: [5]string{"", "", "", "", "snapshot open/tenants"}, size: tenants,
			bound: func(*target.Target) float64 { return 2000 }, mechanism: "`internal/control/document`"},

		{role: figures.Caller, what: "connections of all callers at one server", unit: "", slopes: [5]string{"connections/callers/" + meanRate, "connections/callers/" + meanRate, "connections/callers/" + hotRate, "connections/callers/" + meanRate, "descriptors/connections"},
			size: callers, bound: func(t *target.Target) float64 { return float64(t.Fleet.Descriptors) }, mechanism: "`internal/server` (idle ones make room)"},

		{role: figures.Registry, what: "reports of all servers", unit: "bytes/s", slopes: allStates("reports/routes"), size: routes,
			multiplier: func(t *target.Target, _ string) float64 { return float64(t.Fleet.Servers) }, mechanism: "outside of this program"},

		{role: figures.Control, what: "snapshots to all servers at once, over the machines", unit: "bytes each", slopes: [5]string{"", "", "", "", "snapshot bytes/tenants"}, size: tenants,
			multiplier: func(t *target.Target, _ string) float64 {
				return float64(t.Fleet.Servers) / float64(t.Fleet.ControlMachines)
			}, mechanism: "`internal/control/publish`"},
		{role: figures.Control, what: "one change to all servers, over the machines", unit: "bytes each", slopes: allStates("delta bytes/changes"), size: func(*target.Target) float64 { return 1 },
			multiplier: func(t *target.Target, _ string) float64 {
				return float64(t.Fleet.Servers) / float64(t.Fleet.ControlMachines)
			}, sizeUnit: "-", mechanism: "`internal/control/publish`"},

		{role: figures.Operator, what: "one answer to show-stat", unit: "bytes", slopes: allStates("show-stat/routes"), size: routes, mechanism: "`internal/ops`, `internal/metrics`"},
		{role: figures.Operator, what: "... as asked for", unit: "bytes/s", slopes: allStates("show-stat/routes"), size: routes,
			multiplier: func(t *target.Target, _ string) float64 { return 1 / t.Assumed.AdminQueryIntervalS }, bound: controlBytesPerS, mechanism: "the same"},
		{role: figures.Operator, what: "one answer, to its end", unit: "ms", slopes: allStates("show-stat time/routes"), size: routes, mechanism: "the same"},
	}
}

// row adds a row computed from slopes.
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
			margin = marginText(worst, r.bound(in.Target), false)
		}
	}
	if run != "" {
		from += ", " + run
	}
	carried := r.mechanism
	if carried == "" {
		carried = "**missing**"
	}
	t.row(append(cells, r.unit, allowed, margin, in.breakingSize(r, s, size, worst), from, carried)...)
}

// maxExtrapolation is the factor beyond the largest measured size up to which a fit is
// extrapolated.
const maxExtrapolation = 10

// breakingSize returns the size at which the worst state's value reaches its bound, by the fit.
func (in *Inputs) breakingSize(r *row, s *figures.Slope, size, worst float64) string {
	if s == nil || r.bound == nil || worst <= 0 || r.sizeUnit == "-" {
		return ""
	}
	bound := r.bound(in.Target)
	if r.sizeUnit != "" {
		return number(bound/worst) + " " + r.sizeUnit
	}
	last := s.Points[len(s.Points)-1]
	if s.PerUnit <= 0 || s.Knee != "" && last.Value < s.Predicted {
		return "not by " + s.SizeName + " up to " + number(last.Size)
	}
	scale := worst / max(s.Fixed+s.PerUnit*size, math.SmallestNonzeroFloat64) // the states' factors, and the error of the fit
	switch at := (bound/scale - s.Fixed) / s.PerUnit; {
	case at > maxExtrapolation*last.Size: // the fit is not valid that far beyond its points
		return fmt.Sprintf("over %s %s", number(maxExtrapolation*last.Size), s.SizeName)
	case at > 0:
		return number(at) + " " + s.SizeName
	}
	return "at any"
}
