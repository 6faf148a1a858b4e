package capacity

import (
	"cmp"
	"fmt"
	"slices"

	"kiteslip/internal/lab/scale/figures"
)

// limit is a limit that the target exceeds or comes close to; factor is the need of the
// target relative to what is possible.
type limit struct {
	what      string
	factor    float64 // 0 = not measured
	source    string
	mechanism string // the mechanism that raises the limit; "" = missing
	roadmap   string
}

// arrivalMemoryS is the time, in seconds, over which the policy remembers arrivals.
const arrivalMemoryS = 4.0

// limits returns all limits, with the factor by which the target exceeds what the
// simplest implementation allows, greatest first.
func (in *Inputs) limits() []limit {
	t := in.Target
	share := t.Fleet.RequestsPerS / float64(t.Fleet.Tenants) / float64(t.Fleet.Servers)
	list := []limit{
		{what: "a small tenant's part of its budget at one server: one arrival counts as so many times of it", factor: 1 / (share * arrivalMemoryS),
			source:  fmt.Sprintf("worked out: %s requests/s a tenant and server, arrivals are remembered for %s s", number(share), number(arrivalMemoryS)),
			roadmap: "budgets over the whole fleet (`internal/escrow`)"},
		{what: "originating versions once the originator is gone: none can be made", source: "by design", roadmap: "*The fleet when the centre is gone*"},
		{what: fmt.Sprintf("callers' choice among %d servers (discovery)", t.Fleet.Servers), source: "nothing here measures it", roadmap: "routing"},
		{what: "calls below and kept keys on disk by their number", source: "nothing here measures it: `make measure-calls`, `make measure-keys` at one size", roadmap: "replicated keyed results"},
	}
	ratio := func(what, slope string, size, allowed float64, from, carried, roadmap string) {
		w := limit{what: what, source: from, mechanism: carried, roadmap: roadmap}
		if v, ok := in.valueAt(slope, size); ok {
			w.factor = v / allowed
			if slope != "" {
				w.source = "`" + slope + "`"
			}
		}
		list = append(list, w)
	}
	if g := in.figure(figures.Operator, "operator's file at the target, whole", figures.Ordinary); g != nil {
		list = append(list, limit{what: "a change as a whole copy of the file within the time for it", factor: g.Value / t.Promise.InForceWithinS / controlBytesPerS(t),
			source: "operator's file at the target, whole; `" + g.Run + "`", mechanism: "versions spread as deltas: `internal/control/{document,publish,follow}`"})
	} else {
		list = append(list, limit{what: "a change as a whole copy of the file within the time for it", mechanism: "versions spread as deltas: `internal/control/{document,publish,follow}`"})
	}
	ratio("callers that hold a connection at a server, over its descriptors", "", 0, 1, "the target", "idle connections make room: `internal/server`", "")
	list[len(list)-1].factor = callers(t) / float64(t.Fleet.Descriptors)
	ratio("show-stat of all routes, every so often, over what control may send", "show-stat/routes", routes(t), controlBytesPerS(t)*t.Assumed.AdminQueryIntervalS, "", "", "the door answers for what is asked")
	fileLimit := limit{what: "a request while a whole file (or a snapshot, by the same cause) is read beside the loop, over what may be added: the program has one processor for both where `limits.cores` is 1, and each step of a request waits for a slice of it",
		roadmap: "reading in slices, in a process of its own, or on a second processor"}
	if g := in.figure(figures.Settings, "SIGHUP with one changed tenant, longest round trip meanwhile, less the usual one", figures.Ordinary); g != nil {
		fileLimit.factor, fileLimit.source = g.Value/t.Promise.AddedP99MS, "`"+g.Run+"`"
	}
	list = append(list, fileLimit)
	if s, _ := in.slope("decision/keys"); s != nil {
		v, _ := s.At(keptKeys(t))
		first, _ := s.At(s.Points[0].Size)
		list = append(list, limit{what: fmt.Sprintf("a keyed request's decisions with %s keys kept, over 1.25 times those with %s", number(keptKeys(t)), number(s.Points[0].Size)), factor: v / first / 1.25,
			source: "`decision/keys`", roadmap: "keys by the time at which they end"})
	} else {
		list = append(list, limit{what: "a keyed request's decisions with all keys kept", roadmap: "keys by the time at which they end"})
	}
	for _, queued := range []int{0, t.Assumed.Queued, t.Assumed.MaxQueued} {
		name := fmt.Sprintf("decision over that of 3 tenants and 4 routes, %d held", queued)
		w := limit{what: name + ", over what is allowed", mechanism: "sums that are kept, decay where a group is touched: `kiteslip`"}
		if g := in.figure(figures.Core, name, figures.Peak); g != nil {
			w.factor, w.source = g.Value/g.Bound, "`"+g.Run+"`"
		}
		list = append(list, w)
	}
	for _, f := range in.Files { // figures of any run that exceed their bound
		for i := range f.Figures {
			if g := &f.Figures[i]; !g.OK && !g.Trial && g.Bound != 0 && g.Role != figures.Core {
				factor := max(g.Value, g.P99) / g.Bound
				if g.LowerBound {
					factor = g.Bound / g.Value
				}
				list = append(list, limit{what: g.Name + " (" + g.State + ") falls short", factor: factor, source: "`" + g.Run + "`", roadmap: "see the run"})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b limit) int { return cmp.Compare(b.factor, a.factor) })
	return list
}

// missingTable renders the limits without a mechanism, in the order in which the target
// exceeds them, then those with one.
func (in *Inputs) missingTable() string {
	t := newTable("", "wall", "passed by", "from", "carried by", "goes to")
	n := 0
	for _, carried := range []bool{false, true} {
		for _, w := range in.limits() {
			if (w.mechanism != "") != carried || w.factor > 0 && w.factor <= 1 {
				continue
			}
			factor := notMeasured
			if w.factor > 0 {
				factor = number(w.factor) + " times"
			}
			place, mechanism := "", w.mechanism
			if !carried {
				n++
				place, mechanism = fmt.Sprint(n), "**missing**"
			}
			t.row(place, w.what, factor, w.source, mechanism, w.roadmap)
		}
	}
	return t.b.String()
}
