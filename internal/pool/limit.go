package pool

import "math"

// limiter is the adaptive limit on the runs of one pool: a gradient of latency.
// The source is Vegas (Brakmo, Peterson 1995) as the common concurrency
// limiters have it: limit <- limit * base/latency + room for a short queue.
type limiter struct {
	limit        float64
	latencyRatio float64 // latency over the base, of late
	runsEnded    int     // ends since the last move
	nextUpdate   int64   // no move before this
}

const (
	toleratedRatio     = 1.25 // latency may be this many times the base: the cores are shared, and work varies
	minGradient        = 0.5  // no move takes more than half
	smoothing          = 0.3  // weight of a move
	latencyRatioWeight = 0.15
	minRunsEnded       = 3   // ends in a move
	maxLimit           = 1e4 // whatever is learned
)

func (l *limiter) start(limit float64) { l.limit, l.latencyRatio = limit, 1 }

// runEnded takes in that a run ended which took that many times the base. used says
// that the limit was in use: else the latency says nothing of what more would do.
func (l *limiter) runEnded(now int64, ratio float64, used bool, base float64) {
	l.latencyRatio += (min(ratio, 16) - l.latencyRatio) * latencyRatioWeight
	l.runsEnded++
	if now < l.nextUpdate || l.runsEnded < minRunsEnded {
		return
	}
	l.nextUpdate, l.runsEnded = now+int64(base), 0
	gradient := max(minGradient, min(1, toleratedRatio/max(l.latencyRatio, 1e-3)))
	if gradient == 1 && !used {
		return
	}
	next := gradient*l.limit + math.Sqrt(l.limit)/2
	l.limit = max(1, min(maxLimit, l.limit+(next-l.limit)*smoothing))
}
