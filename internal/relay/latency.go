package relay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// mostPending is how many unacknowledged versions are timed at once.
const mostPending = 4096

// latency measures the time from a change's arrival to its acknowledgement by
// all subscribers.
type latency struct {
	pending   []arrival // oldest first
	histogram *hdrhistogram.Histogram
}

type arrival struct {
	version membership.Version
	at      time.Duration
}

func newLatency() *latency {
	return &latency{histogram: hdrhistogram.New(1, time.Hour.Microseconds(), 2)}
}

// arrived notes a new version. One that comes while too many wait is not timed.
func (l *latency) arrived(now time.Duration, version membership.Version) {
	if len(l.pending) < mostPending {
		l.pending = append(l.pending, arrival{version, now})
	}
}

// acknowledged notes that all subscribers have every version up to lowest.
func (l *latency) acknowledged(now time.Duration, lowest membership.Version) {
	done := 0
	for done < len(l.pending) && l.pending[done].version <= lowest {
		l.histogram.RecordValue((now - l.pending[done].at).Microseconds()) // an hour and more is not recorded
		done++
	}
	l.pending = append(l.pending[:0], l.pending[done:]...)
}

// reset forgets what waits: there is nobody left to acknowledge it.
func (l *latency) reset() { l.pending = l.pending[:0] }

// seconds is the duration at a percentile.
func (l *latency) seconds(percentile float64) float64 {
	return float64(l.histogram.ValueAtPercentile(percentile)) / 1e6
}
