// Package paired says whether one setting does better than another, from scores
// of both on the same draws.
//
// The interval is the studentized bootstrap (Efron, Tibshirani, An Introduction
// to the Bootstrap, 1993, chapter 12) of the mean difference: each resample's
// mean is measured in its own standard errors, which corrects the plain
// percentile interval for few pairs. The same input gives the same output.
package paired

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Verdict is what can be said of a difference.
type Verdict string

// The verdicts.
const (
	Better       Verdict = "better"
	Worse        Verdict = "worse"
	Inconclusive Verdict = "can't tell"
	NoDifference Verdict = "no difference" // all pairs are equal
	resamples            = 2000
	minPairs             = 3
	confidence           = 0.95
	maxPairs             = 1 << 20
)

// Difference is the outcome of a comparison, B less A.
type Difference struct {
	Pairs     int
	Mean      float64
	Low, High float64 // of the 95% interval of the mean
	Verdict   Verdict
	MorePairs int // further pairs that would likely tell; 0 = none are needed, or no number would
}

// ErrUnpaired says that there are not enough scores, or not as many of both.
var ErrUnpaired = errors.New("paired: scores don't come in pairs")

// Compare compares the scores of A and B; a[i] and b[i] come from one draw.
func Compare(a, b []float64) (Difference, error) {
	if len(a) != len(b) || len(a) < minPairs || len(a) > maxPairs {
		return Difference{}, fmt.Errorf("%w: %d and %d, want as many of both, %d at least", ErrUnpaired, len(a), len(b), minPairs)
	}
	d := make([]float64, len(a))
	for i := range d {
		d[i] = b[i] - a[i]
		if math.IsNaN(d[i]) || math.IsInf(d[i], 0) {
			return Difference{}, fmt.Errorf("%w: pair %d is %v and %v", ErrUnpaired, i, a[i], b[i])
		}
	}
	mean, err := meanAndError(d)
	out := Difference{Pairs: len(d), Mean: mean, Low: mean, High: mean, Verdict: NoDifference}
	if err == 0 {
		if mean != 0 {
			out.Verdict = verdictOf(mean)
		}
		return out, nil
	}
	rng := rand.New(rand.NewPCG(uint64(len(d)), 20261201))
	t := make([]float64, 0, resamples)
	sample := make([]float64, len(d))
	for range resamples {
		for i := range sample {
			sample[i] = d[rng.IntN(len(d))]
		}
		m, e := meanAndError(sample)
		if e == 0 { // all alike: the spread of the whole stands in for its own
			e = err
		}
		t = append(t, (m-mean)/e)
	}
	slices.Sort(t)
	tail := (1 - confidence) / 2
	out.Low = mean - quantile(t, 1-tail)*err
	out.High = mean - quantile(t, tail)*err
	switch {
	case out.Low > 0 || out.High < 0:
		out.Verdict = verdictOf(mean)
	default:
		out.Verdict = Inconclusive
		out.MorePairs = morePairs(mean, err, len(d))
	}
	return out, nil
}

func verdictOf(mean float64) Verdict {
	if mean > 0 {
		return Better
	}
	return Worse
}

// morePairs is how many further pairs would make the mean as it is stand out.
func morePairs(mean, err float64, n int) int {
	if mean == 0 {
		return 0
	}
	const z = 2.3 // the interval's half width, and some power beside it
	need := float64(n) * (z * err / math.Abs(mean)) * (z * err / math.Abs(mean))
	if need > maxPairs {
		return 0
	}
	return max(1, int(math.Ceil(need))-n)
}

// meanAndError are the mean and its standard error.
func meanAndError(x []float64) (mean, err float64) {
	for _, v := range x {
		mean += v
	}
	mean /= float64(len(x))
	ss := 0.0
	for _, v := range x {
		ss += (v - mean) * (v - mean)
	}
	err = math.Sqrt(ss / float64(len(x)-1) / float64(len(x)))
	if err < 1e-12*(1+math.Abs(mean)) {
		err = 0
	}
	return mean, err
}

// quantile interpolates between the sorted values.
func quantile(sorted []float64, q float64) float64 {
	at := q * float64(len(sorted)-1)
	i := int(at)
	if i+1 >= len(sorted) {
		return sorted[len(sorted)-1]
	}
	return sorted[i] + (at-float64(i))*(sorted[i+1]-sorted[i])
}
