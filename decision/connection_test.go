package decision

import (
	"testing"
	"time"
)

// A request that is sent on a connection that was dropped while idle is lost. The loss is detected when a
// later request starts first at the same worker. After the second such loss, connections that were idle for
// over half as long are closed before use.
func TestDeadConnectionsAreFoundAndClosed(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	settings.StartsInOrder = true
	settings.ConnectionIdleTimeout = 30 * time.Second
	// A request that earns nothing late would be cancelled before the next request starts.
	settings.Classes[1].LateWeight = 0.1
	rig := newRig(t, settings, 1)
	first := rig.arrive(1)
	rig.endAttempt(first, 0, Completed, 100*time.Millisecond)
	rig.now += 6 * time.Second
	rig.connections.lostAt = rig.now // as if another was lost before: a single loss may have another cause
	lost := rig.arrive(1)            // sent on the connection that was idle for 6 s
	if findAction(rig.actions, CloseIdle) != nil {
		t.Fatal("connections closed without a reason")
	}
	for range 40 {
		rig.nextSweep()
	}
	next := rig.arrive(1)
	if rig.assignedTo(next) == "" {
		t.Fatal("the worker gets no requests because of one that was lost with its connection")
	}
	rig.handle(rig.now+5*time.Millisecond, Event{Kind: AttemptStarted, Request: next, Worker: "w0"})
	if findAction(rig.actions, Fail) == nil || findAction(rig.actions, CancelAttempt) == nil ||
		!rig.requests[lost].ended {
		t.Fatalf("the lost request was not failed and cancelled: %v", rig.actions)
	}
	safe := rig.connections.safeIdleTime
	if rig.workers["w0"].ejected || safe > 3*time.Second {
		t.Fatalf("ejected %v, safe idle time %v", rig.workers["w0"].ejected, safe)
	}
	rig.endAttempt(next, 0, Completed, 100*time.Millisecond)
	rig.handle(rig.now, Event{Kind: AttemptEnded, Request: lost, Worker: "w0", Outcome: Cancelled})
	rig.now += 4 * time.Second
	rig.arrive(1)
	if findAction(rig.actions, CloseIdle) == nil || findAction(rig.actions, Assign) == nil {
		t.Fatalf("a connection that was idle for 4 s was not closed before use: %v", rig.actions)
	}
}

// A reset right after a send on a connection that was idle for long counts against the connection, not
// against the worker.
func TestResetOfAnOldConnectionIsNoWorkerFailure(t *testing.T) {
	settings := testSettings()
	settings.ConnectionIdleTimeout = 30 * time.Second
	rig := newRig(t, settings, 1)
	rig.endAttempt(rig.arrive(0), 0, Completed, 100*time.Millisecond)
	rig.now += 6 * time.Second
	rig.connections.lostAt = rig.now
	id := rig.arrive(0)
	rig.endAttempt(id, 0, ConnectionLost, time.Millisecond)
	worker := rig.fleet[0]
	safe := rig.connections.safeIdleTime
	if worker.ejected || worker.failureScore.value > 0 || safe != 3*time.Second {
		t.Fatalf("failure score %v, safe idle time %v", worker.failureScore.value, safe)
	}
}
