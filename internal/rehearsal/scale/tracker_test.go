package scale

import (
	"math"
	"testing"
	"time"
)

// afterSeconds returns a time in the tracker's tests, in seconds since their beginning.
func afterSeconds(elapsed float64) time.Duration { return seconds(100 + elapsed) }

// trackOutage records versions 1 to 4 and when the dispatchers a, b and c apply them. c is unreachable while version 3 is
// published. It is reachable when version 4 is published, but never applies that version.
func trackOutage() *tracker {
	recorded := newTracker()
	for _, name := range []string{"a", "b", "c"} {
		recorded.recordApplied(name, 1, afterSeconds(0))
	}
	recorded.recordPublished(2, afterSeconds(1), "calm")
	recorded.recordApplied("a", 2, afterSeconds(1.1))
	recorded.recordApplied("b", 2, afterSeconds(1.4))
	recorded.recordApplied("c", 2, afterSeconds(1.2))
	recorded.recordUnreachable("c", afterSeconds(2))
	recorded.recordPublished(3, afterSeconds(3), "cut")
	recorded.recordApplied("a", 3, afterSeconds(3.2))
	recorded.recordApplied("b", 3, afterSeconds(3.1))
	recorded.recordReachable("c", afterSeconds(9), "heal", 3)
	recorded.recordApplied("c", 3, afterSeconds(9.5))
	recorded.recordPublished(4, afterSeconds(10), "after")
	recorded.recordApplied("a", 4, afterSeconds(10.1))
	recorded.recordApplied("b", 4, afterSeconds(10.1))
	return recorded
}

// checkDelay checks that there is exactly one delay, of want seconds, and that none is missing.
func checkDelay(t *testing.T, name string, delays []float64, missing int, want float64) {
	t.Helper()
	if missing != 0 || len(delays) != 1 || math.Abs(delays[0]-want) > 1e-6 {
		t.Errorf("%s: delays %v and %d missing, want %g s and none", name, delays, missing, want)
	}
}

// The propagation delay of a version is the time until the last reachable dispatcher applied it. A dispatcher that is cut
// off does not count.
func TestTrackerCountsReachableDispatchersOnly(t *testing.T) {
	recorded := trackOutage()
	delays, missing := recorded.propagationDelays("calm")
	checkDelay(t, "all reachable", delays, missing, 0.4)
	delays, missing = recorded.propagationDelays("cut")
	checkDelay(t, "one cut off", delays, missing, 0.2)
	delays, missing = recorded.propagationDelays("after")
	if len(delays) != 0 || missing != 1 {
		t.Errorf("one reachable dispatcher never applied it: delays %v, %d missing, want none and 1", delays, missing)
	}
}

// The catch-up delay of a dispatcher that was cut off begins when it becomes reachable again.
func TestTrackerCatchUp(t *testing.T) {
	caughtUp, missing := trackOutage().catchUpDelays()
	checkDelay(t, "heal", caughtUp["heal"], missing, 0.5)
}

// The tracker counts how often a dispatcher goes back to an older version.
func TestTrackerNoticesRegressions(t *testing.T) {
	recorded := trackOutage()
	if recorded.regressions != 0 {
		t.Errorf("%d regressions, want none", recorded.regressions)
	}
	recorded.recordApplied("a", 3, afterSeconds(11))
	if recorded.regressions != 1 {
		t.Errorf("%d regressions after one, want 1", recorded.regressions)
	}
}

// quantile uses the nearest-rank method.
func TestQuantilesByNearestRank(t *testing.T) {
	values := []float64{4, 1, 3, 2}
	for share, want := range map[float64]float64{0: 1, 0.5: 2, 0.99: 4, 1: 4} {
		if got := quantile(values, share); got != want {
			t.Errorf("quantile %g: %g, want %g", share, got, want)
		}
	}
}
