package relay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hollyyoke.example/hollyyoke/internal/membership"
)

const (
	// maxPending is the largest number of unacknowledged versions that are timed at once.
	maxPending = 4096

	// maxRecordedLatency is the longest time that the histogram records.
	maxRecordedLatency = time.Hour

	// significantFigures is the histogram's resolution, in decimal digits.
	significantFigures = 2
)

// ackLatency measures the time from a change's arrival to its acknowledgement by
// all subscribers.
type ackLatency struct {
	pending   []arrival // oldest first
	histogram *hdrhistogram.Histogram
}

// arrival records when a version arrived.
type arrival struct {
	version   membership.Version
	arrivedAt time.Duration
}

// newAckLatency returns an empty measurement.
func newAckLatency() *ackLatency {
	return &ackLatency{histogram: hdrhistogram.New(1, maxRecordedLatency.Microseconds(), significantFigures)}
}

// arrived records the arrival of a new version. The version is not timed if
// maxPending others are pending.
func (l *ackLatency) arrived(now time.Duration, version membership.Version) {
	if len(l.pending) < maxPending {
		l.pending = append(l.pending, arrival{version, now})
	}
}

// acknowledged records that all subscribers have every version up to lowest.
func (l *ackLatency) acknowledged(now time.Duration, lowest membership.Version) {
	acknowledged := 0
	for acknowledged < len(l.pending) && l.pending[acknowledged].version <= lowest {
		l.histogram.RecordValue((now - l.pending[acknowledged].arrivedAt).Microseconds())
		acknowledged++
	}
	l.pending = append(l.pending[:0], l.pending[acknowledged:]...)
}

// reset drops the pending versions. It is called when no subscriber is left that
// could acknowledge them.
func (l *ackLatency) reset() { l.pending = l.pending[:0] }

// seconds returns the latency at a percentile, in seconds.
func (l *ackLatency) seconds(percentile float64) float64 {
	return float64(l.histogram.ValueAtPercentile(percentile)) / 1e6
}
