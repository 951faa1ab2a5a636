package decision

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// A worker that turns away request after request of one class while it takes others gets that class ever
// more seldom, and the others as before.
func TestClassTurnedAwayGoesElsewhere(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	rig := newRig(t, settings, 4)
	rejected := map[string]int{}
	selective := true
	serve := func(class int) { // also what was held back and is placed only now
		rig.arrive(class)
		for _, id := range slices.Sorted(maps.Keys(rig.requests)) {
			for n := 0; rig.requests[id] != nil && n < len(rig.requests[id].attempts); n++ {
				request := rig.requests[id]
				w := request.attempts[n].worker.Name
				if request.attempts[n].ended {
					continue
				}
				if selective && request.class == &rig.settings.Classes[1] && (w == "w0" || w == "w1") {
					rejected[w]++
					rig.endAttempt(id, n, Saturated, time.Millisecond)
					continue
				}
				rig.handle(
					rig.now+time.Millisecond,
					Event{Kind: AttemptStarted, Request: id, Attempt: n, Worker: w},
				)
				rig.endAttempt(id, n, Completed, 100*time.Millisecond)
			}
		}
	}
	for range 120 {
		serve(0)
		serve(1)
	}
	if n := rejected["w0"] + rejected["w1"]; n < 4 || n > 30 {
		t.Errorf("%d of 120 requests were rejected by workers that do not take them", n)
	}
	// It is tried again, and believed.
	rig.now += 5 * time.Second
	selective = false
	for range 40 { // four at a time, lest the two known best serve them all
		rig.arrive(1)
		rig.arrive(1)
		rig.arrive(1)
		serve(1)
	}
	for _, worker := range rig.fleet {
		if u := worker.rejectionsOf(&rig.settings.Classes[1]); u.count != 0 || u.blockedUntil != 0 {
			t.Errorf("%s takes the class again, but is held to turn it away: %+v", worker.Name, *u)
		}
	}
}
