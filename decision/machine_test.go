package decision

import (
	"fmt"
	"testing"
	"time"
)

// All state of a request is released in the end, over many thousands and over restarts of workers.
func TestNothingLeaks(t *testing.T) {
	outcomes := []AttemptOutcome{Completed, Completed, Completed, Failed, Saturated, ConnectionLost}
	rig := newRig(t, testSettings(), 6)
	for i := range 30000 {
		id := rig.arrive(i % 2)
		if request := rig.requests[id]; request != nil && len(request.attempts) > 0 {
			outcome := outcomes[i%len(outcomes)]
			rig.endAttempt(id, 0, outcome, 10*time.Millisecond)
			if request := rig.requests[id]; request != nil {
				rig.handle(rig.now, Event{Kind: ClientDisconnected, Request: id})
				for n := range request.attempts {
					if !request.attempts[n].ended {
						rig.endAttempt(id, n, Cancelled, time.Millisecond)
					}
				}
			}
		} else if request != nil {
			rig.handle(rig.now, Event{Kind: ClientDisconnected, Request: id})
		}
		if i%50 == 0 {
			rig.handle(rig.now, Event{Kind: TimerFired, Timer: sweepTimer})
			name := fmt.Sprintf("w%d", i/50%6)
			rig.handle(
				rig.now,
				Event{
					Kind:      ListUpdated,
					ListKind:  ListDelta,
					Endpoints: []Endpoint{{Name: name, State: Removed}},
				},
			)
			rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta,
				Endpoints: []Endpoint{{Name: fmt.Sprintf("w%d", i/50%6), State: Running}}})
		}
	}
	rig.handle(rig.now, Event{Kind: TimerFired, Timer: sweepTimer})
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
