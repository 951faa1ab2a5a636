package capacity

import (
	"math"
	"testing"
)

// Spread is the difference between the largest and the smallest value, divided by the median. Without values, Median and
// Spread return 0.
func TestMedianAndSpread(t *testing.T) {
	for _, test := range []struct {
		values []float64
		median float64
		spread float64
	}{
		{[]float64{3}, 3, 0},
		{[]float64{5, 1, 4}, 4, 1},
		{[]float64{1, 2, 3, 4}, 2.5, 1.2},
		{nil, 0, 0},
	} {
		if got := Median(test.values); got != test.median {
			t.Errorf("median of %v: %v, want %v", test.values, got, test.median)
		}
		if got := Spread(test.values); math.Abs(got-test.spread) > 1e-12 {
			t.Errorf("spread of %v: %v, want %v", test.values, got, test.spread)
		}
	}
}

// seriesOf returns one point for each size, with three values whose median is median(size) and whose spread is 3%.
func seriesOf(median func(size float64) float64, sizes ...int) (points []Point) {
	for _, size := range sizes {
		value := median(float64(size))
		points = append(points, Point{Size: size, Values: []float64{value * 0.99, value, value * 1.02}})
	}
	return points
}

// fitOf fits a line to a series of three sizes in which the median of the values at a size is median(size).
func fitOf(t *testing.T, median func(size float64) float64) Fit {
	t.Helper()
	fit, err := FitSeries(seriesOf(median, 200, 2100, 21000))
	if err != nil {
		t.Fatal(err)
	}
	return fit
}

// The fit of a linear series has the line's intercept and slope and no residual. It states the range of the sizes and the
// largest spread of the repeated values at a size.
func TestFitOfALine(t *testing.T) {
	fit := fitOf(t, func(size float64) float64 { return 7 + 0.5*size })
	if math.Abs(fit.Fixed-7) > 1e-6 || math.Abs(fit.Slope-0.5) > 1e-9 {
		t.Errorf("%+v, want 7 + 0.5 * size", fit)
	}
	if fit.Residual > 1e-9 || !fit.Linear() {
		t.Errorf("%+v, want no residual", fit)
	}
	if fit.MinSize != 200 || fit.MaxSize != 21000 || math.Abs(fit.Spread-0.03) > 1e-9 {
		t.Errorf("%+v, want sizes 200 to 21000 and a spread of 0.03", fit)
	}
}

// A quadratic series does not count as linear.
func TestFitOfASquare(t *testing.T) {
	if fit := fitOf(t, func(size float64) float64 { return size * size }); fit.Linear() {
		t.Errorf("a quadratic series counts as linear: %+v", fit)
	}
}

// The fit of a series of zeros has an intercept, a slope and a residual of 0, not NaN.
func TestFitOfZeros(t *testing.T) {
	fit := fitOf(t, func(float64) float64 { return 0 })
	if fit.Fixed != 0 || fit.Slope != 0 || fit.Residual != 0 {
		t.Errorf("%+v, want an intercept, a slope and a residual of 0", fit)
	}
}

// FitSeries rejects a series of two sizes: the residual of a line through two points is always 0.
func TestFitOfTwoSizes(t *testing.T) {
	if fit, err := FitSeries(seriesOf(math.Sqrt, 200, 2100)); err == nil {
		t.Errorf("a line was fitted to two sizes: %+v", fit)
	}
}
