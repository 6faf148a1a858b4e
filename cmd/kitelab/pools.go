package main

import (
	"fmt"
	"os"
	"sync"
	"text/tabwriter"

	"kiteslip/internal/lab"
)

// poolsCmd compares class pools with no pools in simulated time.
type poolsCmd struct {
	Seeds int `default:"10" help:"Days of each scenario."`
}

// The bounds that the measurement must keep. minCheapX are shares of the
// landmark-search requests that are served in time on day X.
const (
	minCheapFull   = 0.98
	minCheapHalved = 0.95
	minCheapSlow   = 0.95
	minWorthRatio  = 0.98 // worth served with pools, over that without
	minKeptShare   = 0.90 // what other pools keep of their share under a flood of landmark-search
	minLentShare   = 0.97 // what a class alone gets done with pools, over that without
	maxCostRatio   = 1.10 // time of a decision with pools, over that without
)

// Run plays the measurement.
func (c *poolsCmd) Run() error {
	scenarios := lab.PoolScenarios()
	list := make([]lab.Comparison, 2*len(scenarios))
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i := range list {
		wg.Go(func() { list[i], errs[i] = lab.Compare(scenarios[i/2], i%2 == 1, c.Seeds) })
	}
	wg.Wait()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "day\tgauges\tlandmark off\ton (worst)\tworth off\ton (mean)\tratio (worst)\tdone\tothers keep\t")
	var v unmetBounds
	worst := map[string]*lab.Comparison{}
	for i := range list {
		if errs[i] != nil {
			return errs[i]
		}
		r := &list[i]
		fmt.Fprintf(w, "%s\t%v\t%.3f\t%.3f\t%.4f\t%.4f\t%.4f\t%.3f\t%.3f\t\n", r.Name, r.Gauges, r.CheapestOnTimeWithout, r.CheapestOnTimeWith,
			r.WorthWithout, r.WorthWith, r.WorthRatio, r.ServedWorkRatio, r.ShareKept)
		v.require(r.DeadlineExceeded == 0, "%s: %d answers after their due time", r.Name, r.DeadlineExceeded)
		if o := worst[r.Name]; o == nil {
			copied := *r
			worst[r.Name] = &copied
		} else {
			o.CheapestOnTimeWithout, o.CheapestOnTimeWith = min(o.CheapestOnTimeWithout, r.CheapestOnTimeWithout), min(o.CheapestOnTimeWith, r.CheapestOnTimeWith)
			o.WorthRatio, o.ServedWorkRatio, o.ShareKept = min(o.WorthRatio, r.WorthRatio), min(o.ServedWorkRatio, r.ServedWorkRatio), min(o.ShareKept, r.ShareKept)
		}
	}
	w.Flush()
	for name, least := range map[string]float64{"full": minCheapFull, "halved": minCheapHalved, "slow-flood": minCheapSlow} {
		r := worst[name]
		v.require(r.CheapestOnTimeWith >= least, "%s: landmark-search in time %.3f, want %.2f", name, r.CheapestOnTimeWith, least)
		v.require(r.WorthRatio >= minWorthRatio, "%s: worth %.3f of that without pools, want %.2f", name, r.WorthRatio, minWorthRatio)
	}
	v.require(worst["calm"].WorthRatio >= 1, "calm: worth %.4f of that without pools, want 1", worst["calm"].WorthRatio)
	flood := worst["cheap-flood"].ShareKept
	v.require(flood >= minKeptShare, "cheap-flood: others keep %.3f of what their share carries, want %.2f", flood, minKeptShare)
	lent := 2.0
	for _, name := range lab.ClassNames {
		lent = min(lent, worst["alone-"+name].ServedWorkRatio)
	}
	v.require(lent >= minLentShare, "one class alone gets %.3f done of what it does without pools, want %.2f", lent, minLentShare)
	cost := 0.0
	for _, open := range []int{100, 2000} {
		ratio, off, on, err := lab.CostRatio(open, 3_000_000/open, 15)
		if err != nil {
			return err
		}
		fmt.Printf("a decision with %d open: %v without pools, %v with, ratio %.3f\n", open, off, on, ratio)
		v.require(ratio <= maxCostRatio, "a decision with %d open costs %.3f, want %.2f at most", open, ratio, maxCostRatio)
		cost = max(cost, ratio)
	}
	return v.finish(fmt.Sprintf("pools: full=%.3f halved=%.3f slow_flood=%.3f worth=%.3f calm=%.4f flood_kept=%.3f lent=%.3f cost=%.3f",
		worst["full"].CheapestOnTimeWith, worst["halved"].CheapestOnTimeWith, worst["slow-flood"].CheapestOnTimeWith,
		min(worst["full"].WorthRatio, worst["halved"].WorthRatio, worst["slow-flood"].WorthRatio), worst["calm"].WorthRatio, flood, lent, cost))
}
