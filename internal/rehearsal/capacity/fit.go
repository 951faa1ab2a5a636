package capacity

import (
	"errors"
	"math"
	"slices"
)

// This file owns the step from plays to figures: medians, spreads and lines.

// Median is the middle of the values, or the mean of the middle two.
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

// Spread is the range of the values as a share of their median.
func Spread(values []float64) float64 {
	middle := Median(values)
	if middle == 0 {
		return 0
	}
	return (slices.Max(values) - slices.Min(values)) / math.Abs(middle)
}

// Fit is a line through the medians of a series: Fixed + Slope x size.
type Fit struct {
	Fixed, Slope float64
	From, To     int     // the range of sizes
	Residual     float64 // the largest error of the line at a measured size, as a share of the median there
	Spread       float64 // the largest spread of the plays at a size
}

// linearWithin is the residual up to which a series counts as linear.
const linearWithin = 0.15

// Linear tells whether a line describes the series.
func (f Fit) Linear() bool { return f.Residual <= linearWithin }

// At is the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Fixed + f.Slope*size }

// leastPoints is how many sizes a line needs to have a residual at all.
const leastPoints = 3

var errFewPoints = errors.New("a line needs three sizes at least")

// FitSeries fits a line by least squares of the relative errors: each median
// weighs by the inverse of its square, since the sizes are decades apart and the
// largest would otherwise decide alone. Where a median is not positive all weigh
// the same.
func FitSeries(points []Point) (f Fit, err error) {
	if len(points) < leastPoints {
		return f, errFewPoints
	}
	relative := !slices.ContainsFunc(points, func(p Point) bool { return Median(p.Plays) <= 0 })
	var weights, sumX, sumY, sumXX, sumXY float64
	f.From, f.To = points[0].Size, points[0].Size
	for _, p := range points {
		x, y, weight := float64(p.Size), Median(p.Plays), 1.0
		if relative {
			weight = 1 / (y * y)
		}
		weights += weight
		sumX += weight * x
		sumY += weight * y
		sumXX += weight * x * x
		sumXY += weight * x * y
		f.From, f.To = min(f.From, p.Size), max(f.To, p.Size)
		f.Spread = max(f.Spread, Spread(p.Plays))
	}
	f.Slope = (weights*sumXY - sumX*sumY) / (weights*sumXX - sumX*sumX)
	f.Fixed = (sumY - f.Slope*sumX) / weights
	for _, p := range points {
		if y := Median(p.Plays); y != 0 {
			f.Residual = max(f.Residual, math.Abs(f.At(float64(p.Size))-y)/math.Abs(y))
		}
	}
	return f, nil
}
