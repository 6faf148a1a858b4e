// Package slope fits a measurement to a line over its size, value = fixed +
// slope*size, by least squares over all sizes but the largest, which the fit
// then has to predict. A prediction that is off by more than MaxMiss indicates a
// knee, a change of the slope; the package reports between which sizes it lies.
//
// Each point is weighted by the inverse square of its value, so that errors are
// relative: sizes lie orders of magnitude apart, and without weights the largest
// alone would decide the fit.
package slope

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"kiteslip/internal/lab/scale/figures"
)

// MaxMiss is the relative error above which the prediction of the largest size
// counts as a knee.
const MaxMiss = 0.20

// MinSizes is the least number of sizes of a slope that is published.
const MinSizes = 5

// Summary reduces the repetitions of one point to a single value.
type Summary func(raw []float64) float64

// Median returns the median, for values that a disturbance may move either way.
func Median(raw []float64) float64 {
	s := slices.Clone(raw)
	slices.Sort(s)
	if len(s) == 0 {
		return math.NaN()
	}
	return (s[len(s)/2] + s[(len(s)-1)/2]) / 2
}

// Best returns the minimum, for times: a disturbance can only add to them.
func Best(raw []float64) float64 {
	if len(raw) == 0 {
		return math.NaN()
	}
	return slices.Min(raw)
}

// Measure calls measure at each size, rounds times. Each round goes through all
// sizes, in alternating order, so that a disturbance does not fall on one size
// alone. The points keep the raw values and what summary makes of them.
func Measure(sizes []float64, rounds int, summary Summary, measure func(size float64) (float64, error)) ([]figures.Point, error) {
	points := make([]figures.Point, len(sizes))
	for round := range rounds {
		for i := range sizes {
			if round%2 == 1 {
				i = len(sizes) - 1 - i
			}
			v, err := measure(sizes[i])
			if err != nil {
				return nil, fmt.Errorf("slope: at %v: %w", sizes[i], err)
			}
			points[i].Size, points[i].Raw = sizes[i], append(points[i].Raw, v)
		}
	}
	for i := range points {
		points[i].Value = summary(points[i].Raw)
	}
	return points, nil
}

// Fit sorts the points of s by size, fits all but the largest, and fills in the
// results: the line, its residual, the prediction and the knee.
func Fit(s *figures.Slope) error {
	slices.SortFunc(s.Points, func(a, b figures.Point) int {
		switch {
		case a.Size < b.Size:
			return -1
		case a.Size > b.Size:
			return 1
		}
		return 0
	})
	n := len(s.Points)
	if n < 3 {
		return fmt.Errorf("slope %s: %d sizes, want at least 3", s.Name, n)
	}
	for i, p := range s.Points {
		if math.IsNaN(p.Value) || math.IsInf(p.Value, 0) || p.Value < 0 {
			return fmt.Errorf("slope %s: the value at size %v is %v", s.Name, p.Size, p.Value)
		}
		if i > 0 && p.Size == s.Points[i-1].Size {
			return fmt.Errorf("slope %s: size %v is listed twice", s.Name, p.Size)
		}
	}
	minValue := minWeighted(s.Points)
	var err error
	if s.Fixed, s.PerUnit, err = fitLine(s.Points[:n-1], minValue); err != nil {
		return fmt.Errorf("slope %s: %w", s.Name, err)
	}
	s.Residual = residual(s.Points[:n-1], s.Fixed, s.PerUnit, minValue)
	last := s.Points[n-1]
	s.Predicted = s.Fixed + s.PerUnit*last.Size
	s.Miss = miss(s.Predicted, last.Value, minValue)
	s.Knee = ""
	if s.Miss > MaxMiss {
		s.Knee = knee(s.Points, minValue)
	}
	return nil
}

// minWeighted returns the least value that a point is weighted by: a thousandth
// of the largest. Otherwise a point at or near zero would outweigh all others.
func minWeighted(points []figures.Point) float64 {
	largest := 0.0
	for _, p := range points {
		largest = max(largest, p.Value)
	}
	return max(largest/1000, math.SmallestNonzeroFloat32)
}

// miss returns the error of a prediction relative to the measured value.
func miss(predicted, measured, minValue float64) float64 {
	return math.Abs(predicted-measured) / max(measured, minValue)
}

// fitLine returns the weighted least-squares line through the points.
func fitLine(points []figures.Point, minValue float64) (fixed, slope float64, err error) {
	var x, y, w []float64
	for _, p := range points {
		weight := max(p.Value, minValue)
		x, y, w = append(x, p.Size), append(y, p.Value), append(w, 1/(weight*weight))
	}
	fixed, slope = stat.LinearRegression(x, y, w, false)
	if math.IsNaN(fixed) || math.IsNaN(slope) {
		return 0, 0, errors.New("no line can be fitted to the points")
	}
	return fixed, slope, nil
}

func residual(points []figures.Point, fixed, slope, minValue float64) float64 {
	sum := 0.0
	for _, p := range points {
		relative := miss(fixed+slope*p.Size, p.Value, minValue)
		sum += relative * relative
	}
	return math.Sqrt(sum / float64(len(points)))
}

// knee returns the two sizes between which splitting the points into two lines,
// of at least two points each, gives the least residual.
func knee(points []figures.Point, minValue float64) string {
	best, bestCut := math.Inf(1), -1
	for cut := 2; cut <= len(points)-2; cut++ {
		sum := 0.0
		for _, part := range [][]figures.Point{points[:cut], points[cut:]} {
			fixed, slope, err := fitLine(part, minValue)
			if err != nil {
				sum = math.Inf(1)
				break
			}
			r := residual(part, fixed, slope, minValue)
			sum += r * r * float64(len(part))
		}
		if sum < best {
			best, bestCut = sum, cut
		}
	}
	if bestCut < 0 {
		bestCut = len(points) - 1
	}
	return fmt.Sprintf("between %.6g and %.6g", points[bestCut-1].Size, points[bestCut].Size)
}
