package scale

import (
	"math"
	"testing"
	"time"
)

// worstRate returns the rate of the busiest window, or the mean rate of a run that is shorter than the window.
func TestWorstRate(t *testing.T) {
	run := &Run{}
	startedAt := time.Unix(1000, 0)
	total := int64(0)
	for second := range 31 {
		run.samples = append(run.samples, sample{
			takenAt:     startedAt.Add(time.Duration(second) * time.Second),
			clientBytes: map[string]int64{"d": total},
		})
		total += 10
		if second >= 12 && second < 17 {
			total += 90
		}
	}
	bytes := func(s *sample) float64 { return float64(s.clientBytes["d"]) }
	if got := run.worstRate(10*time.Second, bytes); got != 55 {
		t.Errorf("busiest ten seconds: %g, want 55", got)
	}
	if got := run.worstRate(time.Minute, bytes); math.Abs(got-25) > 1e-9 {
		t.Errorf("a run of half a minute: %g, want its mean of 25", got)
	}
}
