// Package paired decides whether one setting scores better than another, from the
// scores of both on the same random draws.
//
// The confidence interval is the studentized bootstrap (Efron, Tibshirani, An Introduction
// to the Bootstrap, 1993, chapter 12) of the mean difference: each resample's
// mean is measured in its own standard errors, which makes the interval more
// accurate for few pairs than the plain percentile interval. The result is
// deterministic.
package paired

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Verdict is the conclusion from a difference.
type Verdict string

// The verdicts, and the parameters of the comparison.
const (
	Better       Verdict = "better"
	Worse        Verdict = "worse"
	Inconclusive Verdict = "can't tell"
	NoDifference Verdict = "no difference" // the scores of every pair are equal
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
	MorePairs int // estimate of the further pairs needed for a verdict; 0 = none, or no number would do
}

// ErrUnpaired is returned for too few scores, for lists of different lengths and for
// differences that are not finite.
var ErrUnpaired = errors.New("paired: scores don't come in pairs")

// Compare compares the scores of A and B. a[i] and b[i] come from the same draw.
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
	mean, stdErr := meanAndError(d)
	out := Difference{Pairs: len(d), Mean: mean, Low: mean, High: mean, Verdict: NoDifference}
	if stdErr == 0 {
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
		if e == 0 { // all values are equal: use the standard error of all pairs
			e = stdErr
		}
		t = append(t, (m-mean)/e)
	}
	slices.Sort(t)
	tail := (1 - confidence) / 2
	out.Low = mean - quantile(t, 1-tail)*stdErr
	out.High = mean - quantile(t, tail)*stdErr
	switch {
	case out.Low > 0 || out.High < 0:
		out.Verdict = verdictOf(mean)
	default:
		out.Verdict = Inconclusive
		out.MorePairs = morePairs(mean, stdErr, len(d))
	}
	return out, nil
}

// verdictOf returns the verdict for a mean difference that is significant.
func verdictOf(mean float64) Verdict {
	if mean > 0 {
		return Better
	}
	return Worse
}

// morePairs estimates how many further pairs would make the mean significant if it
// stayed as it is.
func morePairs(mean, stdErr float64, n int) int {
	if mean == 0 {
		return 0
	}
	const z = 2.3 // half width of the 95% interval in standard errors, with a margin for power
	pairs := float64(n) * (z * stdErr / math.Abs(mean)) * (z * stdErr / math.Abs(mean))
	if pairs > maxPairs {
		return 0
	}
	return max(1, int(math.Ceil(pairs))-n)
}

// meanAndError returns the mean and its standard error; an error that is only
// rounding is returned as 0.
func meanAndError(x []float64) (mean, stdErr float64) {
	for _, v := range x {
		mean += v
	}
	mean /= float64(len(x))
	squares := 0.0
	for _, v := range x {
		squares += (v - mean) * (v - mean)
	}
	stdErr = math.Sqrt(squares / float64(len(x)-1) / float64(len(x)))
	if stdErr < 1e-12*(1+math.Abs(mean)) {
		stdErr = 0
	}
	return mean, stdErr
}

// quantile returns a quantile of sorted values, by linear interpolation.
func quantile(sorted []float64, q float64) float64 {
	at := q * float64(len(sorted)-1)
	i := int(at)
	if i+1 >= len(sorted) {
		return sorted[len(sorted)-1]
	}
	return sorted[i] + (at-float64(i))*(sorted[i+1]-sorted[i])
}
