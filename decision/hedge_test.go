package decision

import (
	"testing"
	"time"
)

// A vanished machine gives no sign: the request is hedged, and the worker is ejected.
func TestSilentWorkerIsEjectedAndHedged(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(0)
	worker := rig.workers[rig.assignedTo(id)]
	for end := rig.now + 4*time.Second; rig.now < end && len(rig.requests[id].attempts) < 2; {
		rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
	}
	if !worker.ejected || len(rig.requests[id].attempts) != 2 {
		t.Fatalf("ejected %v, %d attempts", worker.ejected, len(rig.requests[id].attempts))
	}
}

// A connection may fall silent alone, at a worker that lives: progress reports stop, or the start is not
// reported though nothing waits there. A request that may be repeated is hedged, one that may not never,
// and the worker is neither ejected nor kept from other requests. Where requests wait, a missing start
// proves nothing.
func TestUnresponsiveConnectionIsHedged(t *testing.T) {
	for name, test := range map[string]struct {
		class, backlog int
		started        bool
		want           int // attempts in the end
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
		settings.Cancellation = false // else an attempt that waits is hedged anyway
		rig := newRig(t, settings, 4)
		id := rig.arrive(test.class)
		worker := rig.workers[rig.assignedTo(id)]
		note := func(q uint64) {
			rig.handle(rig.now, Event{Kind: AttemptStarted, Request: q, Worker: rig.assignedTo(q)})
		}
		if test.started {
			note(id)
		}
		probes := 0
		for end := rig.now + 1900*time.Millisecond; rig.now < end; {
			rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
			if findAction(rig.actions, CheckHealth) != nil {
				probes++
				rig.handle(rig.now, Event{Kind: HealthChecked, Worker: worker.Name, Outcome: Completed,
					Load: LoadReport{Backlog: float64(test.backlog), HasBacklog: true}})
			}
			worker.lastSeen = rig.now // by another connection
		}
		if n := len(rig.requests[id].attempts); n != test.want || worker.ejected {
			t.Errorf("%s: %d attempts, want %d; ejected %v", name, n, test.want, worker.ejected)
		}
		if test.started != (probes == 0) || probes > 3 {
			t.Errorf("%s: %d probes", name, probes)
		}
		if blocked := worker.unstarted > 0; !test.started && blocked != (test.backlog > 0) {
			t.Errorf("%s: %d starts are waited for", name, worker.unstarted)
		}
		rig.handle(rig.now, Event{Kind: ClientDisconnected, Request: id})
		for n := range rig.requests[id].attempts {
			rig.endAttempt(id, n, Cancelled, 0)
		}
		if worker.unstarted != 0 || worker.outstanding != 0 || rig.ceilings.inFlight != 0 {
			t.Errorf(
				"%s: in the end %d starts are waited for, %v slots out, %v in flight",
				name,
				worker.unstarted,
				worker.outstanding,
				rig.ceilings.inFlight,
			)
		}
	}
}

// Where starts are reported, an attempt in a worker's queue is silent by nature: that proves nothing, and a
// hedge that could not be cancelled would only fill another queue.
func TestUnstartedAttemptIsNotSilence(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	settings.Cancellation = false
	rig := newRig(t, settings, 2)
	id := rig.arrive(0)
	worker := rig.workers[rig.assignedTo(id)]
	for range 30 {
		rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
	}
	if worker.ejected || len(rig.requests[id].attempts) != 1 {
		t.Fatalf(
			"ejected %v, %d attempts for a request that waits in a queue",
			worker.ejected,
			len(rig.requests[id].attempts),
		)
	}
	if next := rig.arrive(0); rig.assignedTo(next) == worker.Name {
		t.Fatal("more work behind an attempt that has not started")
	}
}

// With 300 dispatchers each knows next to nothing of the workers' queues. An attempt that waits and may be
// repeated is hedged, and the first to start has the other cancelled. One that may not run twice is not,
// nor one that is late already.
func TestWaitingAttemptIsHedged(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	cancelled := func(rig *rig) []int {
		var list []int
		for _, action := range rig.actions {
			if action.Kind == CancelAttempt {
				list = append(list, action.Attempt)
			}
		}
		return list
	}
	wait := func(class int) (*rig, uint64) {
		rig := newRig(t, settings, 4)
		id := rig.arrive(class)
		rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
		return rig, id
	}
	start := func(rig *rig, id uint64, n int) {
		rig.handle(
			rig.now+time.Millisecond,
			Event{
				Kind:    AttemptStarted,
				Request: id,
				Attempt: n,
				Worker:  rig.requests[id].attempts[n].worker.Name,
			},
		)
	}
	for first := range 2 {
		rig, id := wait(0)
		request := rig.requests[id]
		if len(request.attempts) != 2 || request.attempts[0].worker == request.attempts[1].worker {
			t.Fatalf("%d attempts for a request that waits", len(request.attempts))
		}
		start(rig, id, first)
		if got := cancelled(rig); len(got) != 1 || got[0] != 1-first {
			t.Fatalf("attempt %d starts first: cancelled: %v", first, got)
		}
		rig.endAttempt(id, 1-first, Cancelled, 0)
		if worker := request.attempts[1-first].worker; worker.unstarted != 0 ||
			worker.recentWork.get(rig.now, rig.planningHorizon) > 1e-3 {
			t.Errorf("a hedge that never started is still counted: %d, %v",
				worker.unstarted, worker.recentWork)
		}
	}
	rig, id := wait(0)
	rig.requests[id].attempts[0].startedAt = rig.now
	start(rig, id, 1)
	if got := cancelled(rig); len(got) != 1 || got[0] != 1 {
		t.Errorf("the later start is not cancelled: %v", got)
	}
	if rig, id := wait(1); len(rig.requests[id].attempts) != 1 {
		t.Error("a hedge of a request that must not run twice")
	}
	rig = newRig(t, settings, 4)
	id = rig.arrive(0)
	rig.requests[id].late = true
	rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
	if len(rig.requests[id].attempts) != 1 {
		t.Error("a hedge of a request that is late")
	}
}
