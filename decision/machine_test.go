package decision

import (
	"fmt"
	"testing"
	"time"
)

// disconnect reports that a client has disconnected, and ends the outstanding attempts of its request.
func (r *rig) disconnect(id uint64) {
	request := r.requests[id]
	r.handle(r.now, Event{Kind: ClientDisconnected, Request: id})
	for number := range request.attempts {
		if !request.attempts[number].ended {
			r.endAttempt(id, number, Cancelled, time.Millisecond)
		}
	}
}

// All state of a request is released once it is over. The test runs thousands of requests, while workers are
// removed and added again.
func TestNothingLeaks(t *testing.T) {
	outcomes := []AttemptOutcome{Completed, Completed, Completed, Failed, Saturated, ConnectionLost}
	rig := newRig(t, testSettings(), 6)
	for i := range 30000 {
		id := rig.arrive(i % 2)
		if rig.assignedTo(id) != "" {
			rig.endAttempt(id, 0, outcomes[i%len(outcomes)], 10*time.Millisecond)
		}
		if rig.requests[id] != nil {
			rig.disconnect(id)
		}
		if i%50 == 0 {
			rig.sweepAt(rig.now)
			name := fmt.Sprintf("w%d", i/50%6)
			rig.updateList(Endpoint{Name: name, State: Removed})
			rig.updateList(Endpoint{Name: name, State: Running})
		}
	}
	rig.sweepAt(rig.now)
	inFlight := rig.ceilings.inFlight
	held := len(rig.requests) + len(rig.unanswered) + len(rig.queue.waiting)
	if held != 0 || inFlight != 0 || rig.ceilings.inFlightAtEjected != 0 {
		t.Fatalf("%d requests and %v slots held", held, inFlight)
	}
	groups := len(rig.mix.groups)
	if len(rig.workers) != 6 || len(rig.fleet) != 6 || groups > 100 {
		t.Fatalf("%d workers, %d in the fleet, %d groups", len(rig.workers), len(rig.fleet), groups)
	}
}
