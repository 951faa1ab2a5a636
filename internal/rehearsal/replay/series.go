package replay

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// This file owns what is said of a replay's fidelity: how far the moments of
// sending lie from those recorded. It must never leave out a send that was late.

// Fidelity compares the replayed arrival pattern with the recording. Entries
// that were withheld count in neither.
type Fidelity struct {
	MaxSecondError float64  `json:"max_second_error"` // the worst second's difference in count, as a share of its count or of 50, whichever is more
	KS             float64  `json:"ks"`               // Kolmogorov-Smirnov distance of the arrival times
	KSGaps         float64  `json:"ks_gaps"`          // and of the times between two arrivals
	LatenessP50        int64    `json:"late_p50_us"`      // how long after its moment an entry was written, or a connection begun for it
	LatenessP99        int64    `json:"late_p99_us"`
	LatenessMax        int64    `json:"late_max_us"`
	WriteLatenessP99     int64    `json:"written_late_p99_us"` // until its first byte was written: with the dispatcher's own time to let a connection in
	Gaps           []GapRow `json:"gaps"`
	Compared       int      `json:"compared"` // entries; later ones beyond some four million are not
}

// GapRow is a quantile of the time between two arrivals, µs.
type GapRow struct {
	Quantile float64 `json:"q"`
	Recorded int64   `json:"recorded_us"`
	Replayed int64   `json:"replayed_us"`
}

const (
	maxCompared = 4 << 20
	minSecondCount  = 50
)

type series struct {
	seconds   []*Second
	due, sent []int64 // µs
	lateness      *hdrhistogram.Histogram
	writeLateness   *hdrhistogram.Histogram
}

func newSeries() *series {
	return &series{lateness: hdrhistogram.New(1, 3_600_000_000, 3), writeLateness: hdrhistogram.New(1, 3_600_000_000, 3)}
}

func (s *series) addWritten(due, at time.Duration) {
	s.writeLateness.RecordValue(max((at - due).Microseconds(), 0))
}

func (s *series) second(at time.Duration) *Second {
	n := max(int(at/time.Second), 0)
	for len(s.seconds) <= n {
		s.seconds = append(s.seconds, &Second{})
	}
	return s.seconds[n]
}

func (s *series) add(due, sent time.Duration) {
	s.second(due).Recorded++
	s.second(sent).Replayed++
	s.lateness.RecordValue(max((sent - due).Microseconds(), 0))
	if len(s.due) < maxCompared {
		s.due, s.sent = append(s.due, due.Microseconds()), append(s.sent, sent.Microseconds())
	}
}

func (s *series) finish(f *Fidelity) []*Second {
	for _, sec := range s.seconds {
		off := math.Abs(float64(sec.Replayed - sec.Recorded))
		f.MaxSecondError = max(f.MaxSecondError, off/float64(max(sec.Recorded, minSecondCount)))
		if slices.Sort(sec.latency); len(sec.latency) > 0 {
			sec.P99Us = sec.latency[(len(sec.latency)-1)*99/100]
		}
	}
	f.LatenessP50, f.LatenessP99, f.LatenessMax = s.lateness.ValueAtQuantile(50), s.lateness.ValueAtQuantile(99), s.lateness.Max()
	f.WriteLatenessP99 = s.writeLateness.ValueAtQuantile(99)
	f.Compared = len(s.due)
	slices.Sort(s.due)
	slices.Sort(s.sent)
	f.KS = kolmogorovSmirnov(s.due, s.sent)
	a, b := sortedGaps(s.due), sortedGaps(s.sent)
	f.KSGaps = kolmogorovSmirnov(a, b)
	if len(a) > 0 {
		for _, q := range []float64{0.1, 0.5, 0.9, 0.99, 0.999} {
			f.Gaps = append(f.Gaps, GapRow{q, a[int(q*float64(len(a)-1))], b[int(q*float64(len(b)-1))]})
		}
	}
	return s.seconds
}

// sortedGaps are the times between neighbours, in order of size.
func sortedGaps(sorted []int64) []int64 {
	var out []int64
	for i := 1; i < len(sorted); i++ {
		out = append(out, sorted[i]-sorted[i-1])
	}
	slices.Sort(out)
	return out
}

// kolmogorovSmirnov is the Kolmogorov-Smirnov kolmogorovSmirnov of two samples in order: the
// largest difference of their distribution functions.
func kolmogorovSmirnov(a, b []int64) (d float64) {
	for i, j := 0, 0; i < len(a) && j < len(b); {
		x := min(a[i], b[j])
		for i < len(a) && a[i] == x {
			i++
		}
		for j < len(b) && b[j] == x {
			j++
		}
		d = max(d, math.Abs(float64(i)/float64(len(a))-float64(j)/float64(len(b))))
	}
	return d
}
