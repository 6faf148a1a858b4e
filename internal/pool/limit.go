package pool

import "math"

// limiter is the adaptive limit on the runs of one pool: a gradient of latency.
// The source is Vegas (Brakmo, Peterson 1995) as the common concurrency
// limiters have it: limit <- limit * base/latency + room for a short queue.
type limiter struct {
	limit float64
	short float64 // latency over the base, of late
	n     int     // ends since the last move
	at    int64   // no move before this
}

const (
	tolerated   = 1.25 // latency may be this many times the base: the cores are shared, and work varies
	gradientMin = 0.5  // no move takes more than half
	smoothing   = 0.3  // weight of a move
	shortWeight = 0.15
	leastEnds   = 3   // ends in a move
	limitMost   = 1e4 // whatever is learned
)

func (l *limiter) start(limit float64) { l.limit, l.short = limit, 1 }

// end takes in that a run ended which took that many times the base. used says
// that the limit was in use: else the latency says nothing of what more would do.
func (l *limiter) end(now int64, ratio float64, used bool, base float64) {
	l.short += (min(ratio, 16) - l.short) * shortWeight
	l.n++
	if now < l.at || l.n < leastEnds {
		return
	}
	l.at, l.n = now+int64(base), 0
	gradient := max(gradientMin, min(1, tolerated/max(l.short, 1e-3)))
	if gradient == 1 && !used {
		return
	}
	next := gradient*l.limit + math.Sqrt(l.limit)/2
	l.limit = max(1, min(limitMost, l.limit+(next-l.limit)*smoothing))
}
