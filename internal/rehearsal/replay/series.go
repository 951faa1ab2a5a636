package replay

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxCompared    = 4 << 20 // entries whose times are stored and compared
	minSecondCount = 50      // replaces a lower recorded count of a second as the divisor of its difference
)

// series collects the times at which entries were due and sent, since the start of the replay. It is not
// safe for concurrent use.
type series struct {
	seconds       []*Second
	due           []int64                 // µs, of at most maxCompared entries
	sent          []int64                 // µs, of the same entries
	lateness      *hdrhistogram.Histogram // from due until sending began, µs
	writeLateness *hdrhistogram.Histogram // from due until the request was written, µs
}

func newSeries() *series {
	return &series{lateness: newHistogram(), writeLateness: newHistogram()}
}

// second returns the counts of the second that contains a time.
func (s *series) second(moment time.Duration) *Second {
	number := max(int(moment/time.Second), 0)
	for len(s.seconds) <= number {
		s.seconds = append(s.seconds, &Second{})
	}
	return s.seconds[number]
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

// addWritten adds the time at which an entry that was due at the given time was written.
func (s *series) addWritten(due, written time.Duration) {
	s.writeLateness.RecordValue(max((written - due).Microseconds(), 0))
}

// finishSeconds computes the latency quantile of each second and returns the seconds.
func (s *series) finishSeconds() []*Second {
	for _, second := range s.seconds {
		slices.Sort(second.latencies)
		if count := len(second.latencies); count > 0 {
			second.P99Us = second.latencies[(count-1)*99/100]
		}
	}
	return s.seconds
}

// fidelity compares the times at which entries were due and sent. It sorts both lists, so that no entry
// may be added afterwards.
func (s *series) fidelity() Fidelity {
	slices.Sort(s.due)
	slices.Sort(s.sent)
	recordedGaps := sortedGaps(s.due)
	replayedGaps := sortedGaps(s.sent)
	return Fidelity{
		MaxSecondError:   s.maxSecondError(),
		KS:               kolmogorovSmirnov(s.due, s.sent),
		KSGaps:           kolmogorovSmirnov(recordedGaps, replayedGaps),
		LatenessP50:      s.lateness.ValueAtQuantile(50),
		LatenessP99:      s.lateness.ValueAtQuantile(99),
		LatenessMax:      s.lateness.Max(),
		WriteLatenessP99: s.writeLateness.ValueAtQuantile(99),
		Gaps:             gapRows(recordedGaps, replayedGaps),
		Compared:         len(s.due),
	}
}

// maxSecondError computes Fidelity.MaxSecondError.
func (s *series) maxSecondError() float64 {
	largest := 0.0
	for _, second := range s.seconds {
		difference := math.Abs(float64(second.Replayed - second.Recorded))
		largest = max(largest, difference/float64(max(second.Recorded, minSecondCount)))
	}
	return largest
}
