package scale

import (
	"math"
	"testing"
	"time"
)

func TestWorstSpanOfARun(t *testing.T) {
	run := &Run{}
	began := time.Unix(1000, 0)
	total := int64(0)
	for second := range 31 {
		run.samples = append(run.samples, sample{takenAt: began.Add(time.Duration(second) * time.Second), clientBytes: map[string]int64{"d": total}})
		if total += 10; second >= 12 && second < 17 {
			total += 90
		}
	}
	count := func(s *sample) float64 { return float64(s.clientBytes["d"]) }
	if got := run.worstRate(10*time.Second, count); got != 55 {
		t.Errorf("busiest ten seconds: %g", got)
	}
	if got := run.worstRate(time.Minute, count); math.Abs(got-25) > 1e-9 {
		t.Errorf("a run of half a minute: %g", got)
	}
}
