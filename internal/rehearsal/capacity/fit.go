package capacity

import (
	"errors"
	"math"
	"slices"
)

// Median returns the middle of the values, or the mean of the middle two.
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

// Spread returns the range of the values as a share of their median.
func Spread(values []float64) float64 {
	middle := Median(values)
	if middle == 0 {
		return 0
	}
	return (slices.Max(values) - slices.Min(values)) / math.Abs(middle)
}

// Fit is a line through the medians of a series: Fixed + Slope * size.
type Fit struct {
	Fixed    float64
	Slope    float64
	MinSize  int // of the measured sizes
	MaxSize  int
	Residual float64 // largest error of the line at a measured size, as a share of the median there
	Spread   float64 // largest spread of the repetitions at a size
}

// maxLinearResidual is the residual up to which a series counts as linear.
const maxLinearResidual = 0.15

// Linear reports whether a line describes the series.
func (f Fit) Linear() bool { return f.Residual <= maxLinearResidual }

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Fixed + f.Slope*size }

// minFitPoints is the number of sizes below which a line has no residual.
const minFitPoints = 3

var errFewPoints = errors.New("a line needs three sizes at least")

// FitSeries fits a line by least squares of the relative errors: each median is weighted by the inverse of its square,
// since the sizes are decades apart and the largest would otherwise decide alone. Where a median is not positive all
// weights are the same.
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
