package pool

import "math"

// limiter adapts the limit on the runs of one pool by the gradient of their latency.
// It follows Vegas (Brakmo, Peterson 1995) as common concurrency limiters use it:
// limit <- limit * baseline/latency + room for a short queue.
type limiter struct {
	limit        float64
	latencyRatio float64 // recent latency over the baseline
	runsEnded    int     // since the last update
	nextUpdate   int64   // no update before this
}

const (
	toleratedRatio     = 1.25 // latency over the baseline without a cut: cores are shared, and work varies
	minGradient        = 0.5  // no update cuts more than half
	smoothing          = 0.3  // weight of an update
	latencyRatioWeight = 0.15
	minRunsEnded       = 3   // runs per update
	maxLimit           = 1e4 // bound of the limit
)

// start sets the initial limit.
func (l *limiter) start(limit float64) { l.limit, l.latencyRatio = limit, 1 }

// runEnded records the end of a run whose latency was that ratio of the baseline.
// used says that the limit was reached: otherwise the latency does not show
// what more runs would cause.
func (l *limiter) runEnded(now int64, ratio float64, used bool, baseline float64) {
	l.latencyRatio += (min(ratio, 16) - l.latencyRatio) * latencyRatioWeight
	l.runsEnded++
	if now < l.nextUpdate || l.runsEnded < minRunsEnded {
		return
	}
	l.nextUpdate, l.runsEnded = now+int64(baseline), 0
	gradient := max(minGradient, min(1, toleratedRatio/max(l.latencyRatio, 1e-3)))
	if gradient == 1 && !used {
		return
	}
	next := gradient*l.limit + math.Sqrt(l.limit)/2
	l.limit = max(1, min(maxLimit, l.limit+(next-l.limit)*smoothing))
}
