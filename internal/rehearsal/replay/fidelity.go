package replay

import (
	"math"
	"slices"
)

// Fidelity compares the times of the sends with those of the recording. Withheld entries count in
// neither; late sends always count.
type Fidelity struct {
	MaxSecondError   float64  `json:"max_second_error"` // largest difference in count of a second, as a share of its count or of 50, if that is more
	KS               float64  `json:"ks"`               // Kolmogorov-Smirnov distance of the arrival times
	KSGaps           float64  `json:"ks_gaps"`          // and of the times between two arrivals
	LatenessP50      int64    `json:"late_p50_us"`      // from the recorded time until an entry was written, or a connection begun for it
	LatenessP99      int64    `json:"late_p99_us"`
	LatenessMax      int64    `json:"late_max_us"`
	WriteLatenessP99 int64    `json:"written_late_p99_us"` // until its first byte was written, with the time that the dispatcher took to accept a connection
	Gaps             []GapRow `json:"gaps"`
	Compared         int      `json:"compared"` // entries; those after the first four million are not
}

// GapRow is a quantile of the time between two arrivals, in microseconds.
type GapRow struct {
	Quantile float64 `json:"q"`
	Recorded int64   `json:"recorded_us"`
	Replayed int64   `json:"replayed_us"`
}

// gapQuantiles are those of Fidelity.Gaps.
var gapQuantiles = []float64{0.1, 0.5, 0.9, 0.99, 0.999}

// gapRows returns the rows of the quantiles of two sorted samples of the same size; none if they are empty.
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

// kolmogorovSmirnov is the Kolmogorov-Smirnov distance of two sorted samples: the largest
// difference of their distribution functions.
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
