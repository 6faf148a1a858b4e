package paired

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
)

// drawScores returns n pairs of scores whose differences have the mean shift. Their
// noise is skewed, as it is in the scores of worst windows.
func drawScores(seed uint64, n int, shift float64) (a, b []float64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for range n {
		day := rng.Float64()
		a = append(a, day+0.05*(rng.ExpFloat64()-1))
		b = append(b, day+0.05*(rng.ExpFloat64()-1)+shift)
	}
	return a, b
}

// An interval that is too narrow or too wide would give wrong verdicts: 95% intervals
// must cover the true difference in about 95% of the rounds.
func TestIntervalCoverage(t *testing.T) {
	t.Parallel()
	covered := 0
	const rounds = 400
	for seed := range uint64(rounds) {
		a, b := drawScores(seed, 20, 0.01)
		d, err := Compare(a, b)
		if err != nil {
			t.Fatal(err)
		}
		if d.Low <= 0.01 && 0.01 <= d.High {
			covered++
		}
	}
	if share := float64(covered) / rounds; share < 0.92 || share > 0.98 {
		t.Errorf("95%% intervals cover the true difference in %.3f of the rounds", share)
	}
}

// The verdicts on a clear gain, a clear loss, no shift, equal scores and too few
// pairs; and input that must be rejected.
func TestVerdicts(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		shift float64
		n     int
		want  Verdict
	}{{0.2, 20, Better}, {-0.2, 20, Worse}, {0, 20, Inconclusive}} {
		a, b := drawScores(7, c.n, c.shift)
		if d, err := Compare(a, b); err != nil || d.Verdict != c.want {
			t.Errorf("a shift of %v: %+v, %v", c.shift, d, err)
		}
	}
	same := []float64{1, 2, 3, 4}
	if d, err := Compare(same, same); err != nil || d.Verdict != NoDifference || d.Low != 0 || d.High != 0 {
		t.Errorf("equal scores: %+v, %v", d, err)
	}
	a, b := drawScores(3, 6, 0.02)
	d, err := Compare(a, b)
	if err != nil || d.Verdict != Inconclusive || d.MorePairs < 1 {
		t.Fatalf("few pairs: %+v, %v", d, err)
	}
	for _, bad := range [][2][]float64{{{1}, {1}}, {{1, 2, 3}, {1, 2}}, {{1, 2, math.NaN()}, {1, 2, 3}}} {
		if _, err := Compare(bad[0], bad[1]); !errors.Is(err, ErrUnpaired) {
			t.Errorf("%v: %v", bad, err)
		}
	}
}
