package decision

import (
	"testing"
	"time"
)

// Requests for a kind of worker that no longer exists must not block the head of the queue, so that later
// requests are not tried.
func TestRequestsWithoutAWorkerBlockNoOthers(t *testing.T) {
	settings := testSettings()
	settings.Classes[1] = Class{
		PriorityWeight:   9,
		LatencyObjective: 5 * time.Second,
		Deadline:         5 * time.Second,
		Kinds:            []int{7},
	}
	rig := newRig(t, settings, 2)
	for range 5 * maxQueueSkips {
		if rig.send(1) != "" {
			t.Fatal("there is no worker of that kind")
		}
	}
	if rig.send(0) == "" {
		t.Fatal("a request that every worker can run waits behind those that none can")
	}
}

// A request that becomes late while it waits has less value and must move behind requests that can be in
// time.
func TestLateRequestFallsBackInTheQueue(t *testing.T) {
	rig := newRig(t, testSettings(), 1)
	rig.fleet[0].saturatedUntil = rig.now + time.Hour
	high := rig.arrive(1)
	rig.markLate(rig.requests[high])
	rig.requests[high].value /= 10
	low := rig.arrive(0)
	rig.sweep()
	waiting := rig.queue.waiting
	if len(waiting) != 2 || waiting[0].id != low {
		t.Fatal("the late request was not moved behind the other one")
	}
}
