package scale

import (
	"math"
	"testing"
	"time"
)

func TestTrackerCountsReachableDispatchersOnly(t *testing.T) {
	at := func(s float64) time.Duration { return seconds(100 + s) }
	recorded := newTracker()
	for _, name := range []string{"a", "b", "c"} {
		recorded.recordApplied(name, 1, at(0))
	}
	recorded.recordMade(2, at(1), "calm")
	recorded.recordApplied("a", 2, at(1.1))
	recorded.recordApplied("b", 2, at(1.4))
	recorded.recordApplied("c", 2, at(1.2))
	recorded.recordCut("c", at(2))
	recorded.recordMade(3, at(3), "cut")
	recorded.recordApplied("a", 3, at(3.2))
	recorded.recordApplied("b", 3, at(3.1))
	recorded.recordHeal("c", at(9), "heal", 3)
	recorded.recordApplied("c", 3, at(9.5))
	recorded.recordMade(4, at(10), "after")
	recorded.recordApplied("a", 4, at(10.1))
	recorded.recordApplied("b", 4, at(10.1))

	near := func(what string, got []float64, want float64) {
		t.Helper()
		if len(got) != 1 || math.Abs(got[0]-want) > 1e-6 {
			t.Errorf("%s: %v, not %v", what, got, want)
		}
	}
	delays, missing := recorded.inForce("calm")
	near("calm", delays, 0.4)
	if missing != 0 {
		t.Error("one that was late counts as missing")
	}
	delays, missing = recorded.inForce("cut")
	if missing != 0 {
		t.Error("one that was cut off counts as missing")
	}
	near("cut", delays, 0.2)
	delays, missing = recorded.inForce("after")
	if len(delays) != 0 || missing != 1 {
		t.Errorf("one dispatcher never had it: %v %d", delays, missing)
	}
	caughtUp, missing := recorded.catchUp()
	near("heal", caughtUp["heal"], 0.5)
	if missing != 0 || recorded.regressions != 0 {
		t.Errorf("missing %d, regressions %d", missing, recorded.regressions)
	}
	recorded.recordApplied("a", 3, at(11))
	if recorded.regressions != 1 {
		t.Error("going back to an older version is not noticed")
	}
}

func TestQuantilesByNearestRank(t *testing.T) {
	values := []float64{4, 1, 3, 2}
	for q, want := range map[float64]float64{0: 1, 0.5: 2, 0.99: 4, 1: 4} {
		if got := quantile(values, q); got != want {
			t.Errorf("quantile %g: %g, not %g", q, got, want)
		}
	}
}
