package replay

import (
	"math"
	"slices"
)

// Fidelity compares the times at which entries were sent with their recorded times. Withheld entries are
// not included. Entries that were sent late are, and so are those whose connection could not be opened.
type Fidelity struct {
	MaxSecondError   float64  `json:"max_second_error"` // largest difference in count of a second, relative to the recorded count or minSecondCount
	KS               float64  `json:"ks"`               // Kolmogorov-Smirnov distance of the arrival times
	KSGaps           float64  `json:"ks_gaps"`          // Kolmogorov-Smirnov distance of the times between two arrivals
	LatenessP50      int64    `json:"late_p50_us"`      // from due until written, or until opening a connection for it began
	LatenessP99      int64    `json:"late_p99_us"`
	LatenessMax      int64    `json:"late_max_us"`
	WriteLatenessP99 int64    `json:"written_late_p99_us"` // from due until written, including the time to open a connection
	Gaps             []GapRow `json:"gaps"`
	Compared         int      `json:"compared"` // number of entries in KS, KSGaps and Gaps, at most maxCompared
}

// GapRow holds a quantile of the times between two arrivals, in microseconds, as recorded and as sent.
type GapRow struct {
	Quantile float64 `json:"q"`
	Recorded int64   `json:"recorded_us"`
	Replayed int64   `json:"replayed_us"`
}

// gapQuantiles holds the quantiles in Fidelity.Gaps.
var gapQuantiles = []float64{0.1, 0.5, 0.9, 0.99, 0.999}

// gapRows returns the gapQuantiles of two sorted samples of the same size, or nil if these are empty.
func gapRows(recorded, replayed []int64) []GapRow {
	if len(recorded) == 0 {
		return nil
	}
	var rows []GapRow
	for _, quantile := range gapQuantiles {
		index := int(quantile * float64(len(recorded)-1))
		rows = append(rows, GapRow{Quantile: quantile, Recorded: recorded[index], Replayed: replayed[index]})
	}
	return rows
}

// sortedGaps returns the differences of neighbouring values, sorted.
func sortedGaps(sorted []int64) []int64 {
	var gaps []int64
	for i := 1; i < len(sorted); i++ {
		gaps = append(gaps, sorted[i]-sorted[i-1])
	}
	slices.Sort(gaps)
	return gaps
}

// kolmogorovSmirnov returns the Kolmogorov-Smirnov distance of two sorted samples: the largest difference
// between their distribution functions.
func kolmogorovSmirnov(first, second []int64) float64 {
	distance := 0.0
	i := 0
	j := 0
	for i < len(first) && j < len(second) {
		value := min(first[i], second[j])
		for i < len(first) && first[i] == value {
			i++
		}
		for j < len(second) && second[j] == value {
			j++
		}
		shareOfFirst := float64(i) / float64(len(first))
		shareOfSecond := float64(j) / float64(len(second))
		distance = max(distance, math.Abs(shareOfFirst-shareOfSecond))
	}
	return distance
}
