package capacity

import (
	"errors"
	"math"
	"slices"
)

// Median returns the median of the values: the middle one, or the mean of the middle two. Without values it returns 0.
func Median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	switch {
	case len(sorted) == 0:
		return 0
	case len(sorted)%2 == 1:
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Spread returns the difference between the largest and the smallest value, divided by the median.
func Spread(values []float64) float64 {
	middle := Median(values)
	if middle == 0 {
		return 0
	}
	return (slices.Max(values) - slices.Min(values)) / math.Abs(middle)
}

// Fit is a line, Fixed + Slope * size, that is fitted to the medians of a series.
type Fit struct {
	Fixed    float64
	Slope    float64
	MinSize  int     // smallest measured size
	MaxSize  int     // largest measured size
	Residual float64 // largest deviation of the line from the median at a measured size, divided by that median
	Spread   float64 // largest Spread of the repetitions at any size
}

// maxLinearResidual is the largest residual at which a series counts as linear.
const maxLinearResidual = 0.15

// Linear reports whether the line describes the series well enough.
func (f Fit) Linear() bool { return f.Residual <= maxLinearResidual }

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Fixed + f.Slope*size }

// minFitPoints is the smallest number of sizes at which a fitted line has a meaningful residual: a line always passes
// through two points.
const minFitPoints = 3

var errFewPoints = errors.New("fitting a line needs at least three sizes")

// FitSeries fits a line by least squares of the relative errors: each median is weighted by the inverse of its square. The
// sizes differ by orders of magnitude, so that without weights the largest alone would determine the line. If any median is
// not positive, all weights are equal.
func FitSeries(points []Point) (Fit, error) {
	if len(points) < minFitPoints {
		return Fit{}, errFewPoints
	}
	fit := Fit{MinSize: points[0].Size, MaxSize: points[0].Size}
	relative := !slices.ContainsFunc(points, func(point Point) bool { return Median(point.Values) <= 0 })
	var weights, sumX, sumY, sumXX, sumXY float64
	for _, point := range points {
		size := float64(point.Size)
		median := Median(point.Values)
		weight := 1.0
		if relative {
			weight = 1 / (median * median)
		}
		weights += weight
		sumX += weight * size
		sumY += weight * median
		sumXX += weight * size * size
		sumXY += weight * size * median
		fit.MinSize = min(fit.MinSize, point.Size)
		fit.MaxSize = max(fit.MaxSize, point.Size)
		fit.Spread = max(fit.Spread, Spread(point.Values))
	}
	fit.Slope = (weights*sumXY - sumX*sumY) / (weights*sumXX - sumX*sumX)
	fit.Fixed = (sumY - fit.Slope*sumX) / weights
	for _, point := range points {
		median := Median(point.Values)
		if median != 0 {
			fit.Residual = max(fit.Residual, math.Abs(fit.At(float64(point.Size))-median)/math.Abs(median))
		}
	}
	return fit, nil
}
