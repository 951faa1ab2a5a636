package capacity

import (
	"math"
	"testing"
)

// The spread is the range as a share of the median; without values both are 0.
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

// seriesOf makes the points of a series whose medians are a function of the size. Each has three values, which spread by
// 3%.
func seriesOf(median func(size float64) float64, sizes ...int) (points []Point) {
	for _, size := range sizes {
		value := median(float64(size))
		points = append(points, Point{Size: size, Values: []float64{value * 0.99, value, value * 1.02}})
	}
	return points
}

// fitOf fits a line to three sizes of a series.
func fitOf(t *testing.T, median func(size float64) float64) Fit {
	t.Helper()
	fit, err := FitSeries(seriesOf(median, 200, 2100, 21000))
	if err != nil {
		t.Fatal(err)
	}
	return fit
}

// A line is found, with its range of sizes and the spread of the repetitions.
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

// A square is not linear.
func TestFitOfASquare(t *testing.T) {
	if fit := fitOf(t, func(size float64) float64 { return size * size }); fit.Linear() {
		t.Errorf("a square counts as linear: %+v", fit)
	}
}

// A series of zeros gives the line of zeros.
func TestFitOfZeros(t *testing.T) {
	fit := fitOf(t, func(float64) float64 { return 0 })
	if fit.Fixed != 0 || fit.Slope != 0 || fit.Residual != 0 {
		t.Errorf("%+v, want 0 everywhere", fit)
	}
}

// A line through two sizes would have no residual, and is not fitted.
func TestFitOfTwoSizes(t *testing.T) {
	if fit, err := FitSeries(seriesOf(math.Sqrt, 200, 2100)); err == nil {
		t.Errorf("two sizes are fitted: %+v", fit)
	}
}
