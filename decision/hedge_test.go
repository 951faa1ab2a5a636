package decision

import (
	"testing"
	"time"
)

// A crashed machine sends no reports: the request is hedged, and the worker is ejected.
func TestSilentWorkerIsEjectedAndHedged(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(0)
	worker := rig.workers[rig.assignedTo(id)]
	for end := rig.now + 4*time.Second; rig.now < end && len(rig.requests[id].attempts) < 2; {
		rig.nextSweep()
	}
	if !worker.ejected || len(rig.requests[id].attempts) != 2 {
		t.Fatalf("ejected %v, %d attempts", worker.ejected, len(rig.requests[id].attempts))
	}
}

// A single connection may become unresponsive while its worker is alive: progress reports stop, or the start
// is not reported although nothing waits at the worker. An idempotent request is then hedged, and the worker
// is not ejected and still gets other requests. If requests wait at the worker, a missing start proves
// nothing.
func TestUnresponsiveConnectionIsHedged(t *testing.T) {
	for name, test := range map[string]struct {
		class, backlog int
		started        bool
		want           int // total number of attempts
	}{
		"progress stops":                 {0, 5, true, 2},
		"no start, nothing waits":        {0, 0, false, 2},
		"no start, requests wait":        {0, 1, false, 1},
		"not idempotent, progress stops": {1, 0, true, 1},
		"not idempotent, no start":       {1, 0, false, 1},
	} {
		settings := testSettings()
		settings.StartNotices = true
		settings.StartsInOrder = true
		settings.HealthChecks = true
		settings.Peers = 1
		settings.Cancellation = false // with cancellation, an attempt that waits would be hedged anyway
		rig := newRig(t, settings, 4)
		id := rig.arrive(test.class)
		worker := rig.workers[rig.assignedTo(id)]
		if test.started {
			rig.reportStart(id)
		}
		checks := rig.waitSilently(worker, test.backlog)
		if n := len(rig.requests[id].attempts); n != test.want || worker.ejected {
			t.Errorf("%s: %d attempts, want %d; ejected %v", name, n, test.want, worker.ejected)
		}
		if test.started != (checks == 0) || checks > 3 {
			t.Errorf("%s: %d health checks", name, checks)
		}
		if waiting := worker.unstarted > 0; !test.started && waiting != (test.backlog > 0) {
			t.Errorf("%s: %d attempts count as waiting for their start", name, worker.unstarted)
		}
		rig.handle(rig.now, Event{Kind: ClientDisconnected, Request: id})
		for n := range rig.requests[id].attempts {
			rig.endAttempt(id, n, Cancelled, 0)
		}
		inFlight := rig.ceilings.inFlight
		if worker.unstarted != 0 || worker.outstanding != 0 || inFlight != 0 {
			t.Errorf("%s: at the end %d attempts wait for their start, %v slots outstanding, %v in flight",
				name, worker.unstarted, worker.outstanding, inFlight)
		}
	}
}

// waitSilently lets 1.9 seconds pass in which nothing arrives on the connection of an attempt, while its
// worker is seen on another connection. Health checks of the worker are answered with the backlog;
// waitSilently returns their number.
func (r *rig) waitSilently(worker *worker, backlog int) (checks int) {
	for end := r.now + 1900*time.Millisecond; r.now < end; {
		r.nextSweep()
		if findAction(r.actions, CheckHealth) != nil {
			checks++
			r.handle(r.now, Event{
				Kind:    HealthChecked,
				Worker:  worker.Name,
				Outcome: Completed,
				Load:    LoadReport{Backlog: float64(backlog), HasBacklog: true},
			})
		}
		worker.lastSeen = r.now
	}
	return checks
}

// If starts are reported, there are no reports on an attempt in a worker's queue. That does not make the
// worker silent, and a hedge that could not be cancelled would only fill another worker's queue.
func TestUnstartedAttemptIsNotSilence(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	settings.Cancellation = false
	rig := newRig(t, settings, 2)
	id := rig.arrive(0)
	worker := rig.workers[rig.assignedTo(id)]
	for range 30 {
		rig.nextSweep()
	}
	attempts := len(rig.requests[id].attempts)
	if worker.ejected || attempts != 1 {
		t.Fatalf("ejected %v, %d attempts for a request that waits in a queue", worker.ejected, attempts)
	}
	if next := rig.arrive(0); rig.assignedTo(next) == worker.Name {
		t.Fatal("a request was sent to a worker whose queue has an attempt that has not started")
	}
}

// With 300 dispatchers, each knows little about the workers' queues. An attempt that waits and may be
// repeated is hedged, and when the first of the two starts, the other one is cancelled.
func TestFirstAttemptToStartCancelsTheOther(t *testing.T) {
	for first := range 2 {
		rig, id := newWaitingRequest(t, 0)
		request := rig.requests[id]
		if len(request.attempts) != 2 || request.attempts[0].worker == request.attempts[1].worker {
			t.Fatalf("%d attempts for a request that waits", len(request.attempts))
		}
		rig.startAfterMillisecond(id, first)
		if got := rig.cancelledAttempts(); len(got) != 1 || got[0] != 1-first {
			t.Fatalf("attempt %d starts first: cancelled: %v", first, got)
		}
		rig.endAttempt(id, 1-first, Cancelled, 0)
		if worker := request.attempts[1-first].worker; worker.unstarted != 0 ||
			worker.recentWork.get(rig.now, rig.planningHorizon) > 1e-3 {
			t.Errorf("a hedge that never started is still counted: %d, %v",
				worker.unstarted, worker.recentWork)
		}
	}
}

func TestLaterStartOfTwoAttemptsIsCancelled(t *testing.T) {
	rig, id := newWaitingRequest(t, 0)
	rig.requests[id].attempts[0].startedAt = rig.now
	rig.startAfterMillisecond(id, 1)
	if got := rig.cancelledAttempts(); len(got) != 1 || got[0] != 1 {
		t.Errorf("the later start is not cancelled: %v", got)
	}
}

func TestWaitingNonIdempotentAttemptIsNotHedged(t *testing.T) {
	rig, id := newWaitingRequest(t, 1)
	if len(rig.requests[id].attempts) != 1 {
		t.Error("a request that must not run twice was hedged")
	}
}

func TestLateRequestIsNotHedged(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	rig := newRig(t, settings, 4)
	id := rig.arrive(0)
	rig.requests[id].late = true
	rig.nextSweep()
	if len(rig.requests[id].attempts) != 1 {
		t.Error("a late request was hedged")
	}
}

// newWaitingRequest returns a rig with a request of the class, whose start has not been reported by the
// first sweep.
func newWaitingRequest(t *testing.T, class int) (*rig, uint64) {
	t.Helper()
	settings := testSettings()
	settings.StartNotices = true
	rig := newRig(t, settings, 4)
	id := rig.arrive(class)
	rig.nextSweep()
	return rig, id
}

// startAfterMillisecond reports, a millisecond later, that an attempt has started.
func (r *rig) startAfterMillisecond(id uint64, attempt int) {
	r.handle(r.now+time.Millisecond, Event{
		Kind:    AttemptStarted,
		Request: id,
		Attempt: attempt,
		Worker:  r.requests[id].attempts[attempt].worker.Name,
	})
}

// cancelledAttempts returns the numbers of the attempts that were cancelled after the last event.
func (r *rig) cancelledAttempts() (numbers []int) {
	for _, action := range r.actions {
		if action.Kind == CancelAttempt {
			numbers = append(numbers, action.Attempt)
		}
	}
	return numbers
}
