package slope

import (
	"errors"
	"math"
	"strings"
	"testing"

	"kiteslip/internal/lab/scale/figures"
)

func pointsOf(f func(x float64) float64, sizes ...float64) (p []figures.Point) {
	for _, x := range sizes {
		p = append(p, figures.Point{Size: x, Value: f(x)})
	}
	return p
}

func TestFitFindsLineAndPredictsLargestSize(t *testing.T) {
	s := figures.Slope{Name: "line", Points: pointsOf(func(x float64) float64 { return 5 + 2*x }, 21000, 3, 30, 300, 3000)}
	if err := Fit(&s); err != nil {
		t.Fatal(err)
	}
	if math.Abs(s.Fixed-5) > 1e-6 || math.Abs(s.PerUnit-2) > 1e-9 || s.Miss > 1e-9 || s.Knee != "" || s.Residual > 1e-9 {
		t.Errorf("%+v, want fixed 5, 2 per unit, no knee", s)
	}
	if s.Points[4].Size != 21000 {
		t.Errorf("the points are not sorted by size: %+v", s.Points)
	}
}

func TestFitExcludesLargestSize(t *testing.T) {
	s := figures.Slope{Name: "last", Points: pointsOf(func(x float64) float64 { return 10 + x }, 1, 10, 100, 1000)}
	s.Points = append(s.Points, figures.Point{Size: 10000, Value: 99})
	if err := Fit(&s); err != nil {
		t.Fatal(err)
	}
	if math.Abs(s.Predicted-10010) > 1e-6 {
		t.Errorf("the largest size is part of the fit: predicted %v, want 10010", s.Predicted)
	}
}

func TestFitReportsKnee(t *testing.T) {
	s := figures.Slope{Name: "knee", Points: pointsOf(func(x float64) float64 { return 10 + max(0, x-1024) }, 10, 100, 300, 1000, 2000, 4200)}
	if err := Fit(&s); err != nil {
		t.Fatal(err)
	}
	if s.Miss <= MaxMiss || s.Knee != "between 1000 and 2000" {
		t.Errorf("miss %.2f, knee %q, want one between 1000 and 2000", s.Miss, s.Knee)
	}
}

func TestZeroPointDoesNotDominateFit(t *testing.T) {
	s := figures.Slope{Name: "zero", Points: pointsOf(func(x float64) float64 { return x - 3 }, 3, 30, 300, 3000, 21000)}
	s.Points[1].Value *= 1.1
	if err := Fit(&s); err != nil {
		t.Fatal(err)
	}
	if s.Miss > 0.15 || s.Residual > 1 {
		t.Errorf("miss %v, residual %v: the point at zero dominates the fit", s.Miss, s.Residual)
	}
	none := figures.Slope{Name: "none", Points: pointsOf(func(float64) float64 { return 0 }, 3, 30, 300)}
	if err := Fit(&none); err != nil || none.Miss != 0 || none.Knee != "" {
		t.Errorf("values that are all zero: %+v, %v", none, err)
	}
}

func TestFitRejectsInvalidPoints(t *testing.T) {
	nan := math.NaN()
	for want, s := range map[string]figures.Slope{
		"at least 3": {Points: pointsOf(func(float64) float64 { return 1 }, 1, 2)},
		"twice":      {Points: pointsOf(func(float64) float64 { return 1 }, 1, 2, 2)},
		"is NaN":     {Points: pointsOf(func(float64) float64 { return nan }, 1, 2, 3)},
	} {
		if err := Fit(&s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

func TestMeasureInterleavesRoundsAndBestIgnoresOutlier(t *testing.T) {
	var order []float64
	calls := 0
	p, err := Measure([]float64{1, 2, 3}, 3, Best, func(size float64) (float64, error) {
		order = append(order, size)
		if calls++; calls == 2 {
			return 1000, nil
		}
		return size, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []float64{1, 2, 3, 3, 2, 1, 1, 2, 3} {
		if order[i] != want {
			t.Fatalf("order %v", order)
		}
	}
	if p[1].Value != 2 || len(p[1].Raw) != 3 || p[1].Raw[0] != 1000 {
		t.Errorf("%+v, want 2, with the disturbance kept in Raw", p[1])
	}
	if _, err = Measure([]float64{1}, 1, Median, func(float64) (float64, error) { return 0, errors.New("no engine") }); err == nil || !strings.Contains(err.Error(), "at 1: no engine") {
		t.Errorf("error %v", err)
	}
	if m := Median([]float64{4, 1, 3, 2}); m != 2.5 {
		t.Errorf("median %v", m)
	}
}
