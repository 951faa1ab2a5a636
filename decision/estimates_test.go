package decision

import (
	"testing"
	"time"
)

// Without hints, the run time of a class is learned. Otherwise requests that can be in time would be
// rejected.
func TestRunTimesAreLearnedWithoutHints(t *testing.T) {
	rig := newRig(t, settingsWithoutHints(), 4)
	arrive := func(work time.Duration) *request {
		id := rig.next
		rig.next++
		rig.offer(Event{Request: id, Slots: 1, Work: work, TimeLeft: 5 * time.Second})
		return rig.requests[id]
	}
	for range 30 {
		request := arrive(0)
		rig.handle(
			rig.now+time.Second,
			Event{Kind: AttemptStarted, Request: request.id, Worker: rig.assignedTo(request.id)},
		) // the wait for the start must not count as run time
		rig.endAttempt(request.id, 0, Completed, 300*time.Millisecond)
	}
	if got := arrive(0).work; got < 0.29 || got > 0.45 {
		t.Fatalf("requests run for 0.3 s, %v s is expected", got)
	}
	if got := arrive(2 * time.Second).work; got != 2 {
		t.Fatalf("a hint of 2 s is taken for %v s", got)
	}
}
