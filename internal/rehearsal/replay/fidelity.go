package replay

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
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

const (
	maxCompared    = 4 << 20 // entries
	minSecondCount = 50      // a smaller second's error is a share of this
)

// gapQuantiles are those of Fidelity.Gaps.
var gapQuantiles = []float64{0.1, 0.5, 0.9, 0.99, 0.999}

// series collects the times of a replay. Times are since its start.
type series struct {
	seconds       []*Second
	due           []int64 // µs
	sent          []int64 // µs
	lateness      *hdrhistogram.Histogram
	writeLateness *hdrhistogram.Histogram
}

func newSeries() *series {
	return &series{lateness: newHistogram(), writeLateness: newHistogram()}
}

// second returns the second of a time.
func (s *series) second(at time.Duration) *Second {
	n := max(int(at/time.Second), 0)
	for len(s.seconds) <= n {
		s.seconds = append(s.seconds, &Second{})
	}
	return s.seconds[n]
}

// add adds an entry that was due and sent at the given times.
func (s *series) add(due, sent time.Duration) {
	s.second(due).Recorded++
	s.second(sent).Replayed++
	s.lateness.RecordValue(max((sent - due).Microseconds(), 0))
	if len(s.due) < maxCompared {
		s.due = append(s.due, due.Microseconds())
		s.sent = append(s.sent, sent.Microseconds())
	}
}

// addWritten adds the time at which an entry was written.
func (s *series) addWritten(due, written time.Duration) {
	s.writeLateness.RecordValue(max((written - due).Microseconds(), 0))
}

// finish completes the seconds and computes the fidelity.
func (s *series) finish(f *Fidelity) []*Second {
	for _, second := range s.seconds {
		difference := math.Abs(float64(second.Replayed - second.Recorded))
		f.MaxSecondError = max(f.MaxSecondError, difference/float64(max(second.Recorded, minSecondCount)))
		slices.Sort(second.latency)
		if n := len(second.latency); n > 0 {
			second.P99Us = second.latency[(n-1)*99/100]
		}
	}
	f.LatenessP50 = s.lateness.ValueAtQuantile(50)
	f.LatenessP99 = s.lateness.ValueAtQuantile(99)
	f.LatenessMax = s.lateness.Max()
	f.WriteLatenessP99 = s.writeLateness.ValueAtQuantile(99)
	f.Compared = len(s.due)
	slices.Sort(s.due)
	slices.Sort(s.sent)
	f.KS = kolmogorovSmirnov(s.due, s.sent)
	recorded := sortedGaps(s.due)
	replayed := sortedGaps(s.sent)
	f.KSGaps = kolmogorovSmirnov(recorded, replayed)
	if len(recorded) == 0 {
		return s.seconds
	}
	for _, q := range gapQuantiles {
		f.Gaps = append(f.Gaps, GapRow{
			Quantile: q,
			Recorded: recorded[int(q*float64(len(recorded)-1))],
			Replayed: replayed[int(q*float64(len(replayed)-1))],
		})
	}
	return s.seconds
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
func kolmogorovSmirnov(a, b []int64) (distance float64) {
	i := 0
	j := 0
	for i < len(a) && j < len(b) {
		value := min(a[i], b[j])
		for i < len(a) && a[i] == value {
			i++
		}
		for j < len(b) && b[j] == value {
			j++
		}
		distance = max(distance, math.Abs(float64(i)/float64(len(a))-float64(j)/float64(len(b))))
	}
	return distance
}
