package decision

import (
	"testing"
	"time"
)

func TestNonIdempotentFailsRatherThanRunsTwice(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(1)
	rig.endAttempt(id, 0, Failed, time.Millisecond)
	if findAction(rig.actions, Fail) == nil || findAction(rig.actions, Assign) != nil ||
		findAction(rig.actions, Reject) != nil {
		t.Fatalf("actions %v", rig.actions)
	}
	id = rig.arrive(1)
	rig.endAttempt(id, 0, ConnectionRefused, time.Millisecond) // proof that it never ran
	if findAction(rig.actions, Assign) == nil {
		t.Fatal("not sent again though it never ran")
	}
}

// While most workers are full, a request's attempts are spread over its time, not spent in a burst.
func TestAttemptsAreSpreadOverTimeLeft(t *testing.T) {
	rig := newRig(t, testSettings(), 20)
	id := rig.arrive(0)
	rig.endAttempt(id, 0, Saturated, time.Millisecond)
	rig.endAttempt(id, 1, Saturated, time.Millisecond)
	if request := rig.requests[id]; request == nil || !request.queued ||
		request.notBefore < rig.now+100*time.Millisecond {
		t.Fatalf("third attempt not held: %+v", request)
	}
}

// A deduplicated request that may have run and whose window is over has nothing to wait for: it is answered
// then, rejected where any worker would discard a repeat, else failed.
func TestRequestBeyondItsDedupWindowIsAnsweredAtOnce(t *testing.T) {
	answers := map[DedupScope]ActionKind{
		DedupEverywhere: Reject,
		DedupWithinZone: Fail,
		DedupWithinCell: Fail,
	}
	for scope, want := range answers {
		// The window ends as it waits, and as it comes back.
		for _, last := range []AttemptOutcome{Failed, Saturated} {
			settings := testSettings()
			settings.Classes[1].Idempotency = Deduplicated
			settings.Classes[1].DedupScope = scope
			settings.Classes[1].DedupWindow = 1500 * time.Millisecond
			settings.Classes[1].LatencyObjective = 5 * time.Second
			settings.Classes[1].ObjectiveStretch = 0
			rig := newRig(t, settings, 2)
			id := rig.arrive(1)
			sent := rig.requests[id].attempts[0].sentAt
			for _, worker := range rig.fleet {
				worker.saturatedUntil = rig.now + time.Hour
			}
			if last == Saturated {
				rig.fleet[0].saturatedUntil = 0
				rig.fleet[1].saturatedUntil = 0
			}
			rig.endAttempt(id, 0, Failed, 100*time.Millisecond)
			if last == Saturated { // a retry has gone out in time, and comes back late, never run
				if request := rig.requests[id]; request == nil || len(request.attempts) != 2 {
					t.Fatalf("group %d: not retried in time", scope)
				}
				rig.endAttempt(id, 1, Saturated, 1500*time.Millisecond)
				if findAction(rig.actions, want) == nil {
					t.Fatalf("group %d: not answered in the turn in which its last attempt came back", scope)
				}
			}
			for findAction(rig.actions, want) == nil {
				rig.handle(rig.now+rig.sweepInterval, Event{Kind: TimerFired, Timer: sweepTimer})
				if rig.now > sent+2*time.Second {
					t.Fatalf("group %d, %v: still waiting after its window", scope, last)
				}
				if findAction(rig.actions, Assign) != nil {
					t.Fatalf("group %d, %v: retried after its window", scope, last)
				}
			}
			if rig.now < sent+1400*time.Millisecond {
				t.Errorf(
					"group %d, %v: given up after %v, with the window still open",
					scope,
					last,
					rig.now-sent,
				)
			}
		}
	}
}

// Once the retry budget is spent, a failed request is answered at once rather than retried, and a window
// later there is budget again.
func TestRetryBudget(t *testing.T) {
	settings := testSettings()
	settings.RetryBudgetWindow = 10 * time.Second
	settings.RetryBudgetFloor = 1
	settings.RetryBudgetRatio = 0.25
	rig := newRig(t, settings, 8)
	retried := 0
	for range 8 {
		id := rig.arrive(0)
		rig.endAttempt(id, 0, ConnectionRefused, time.Millisecond)
		if findAction(rig.actions, Assign) != nil {
			retried++
			rig.endAttempt(id, 1, Completed, time.Millisecond)
		} else if findAction(rig.actions, Reject) == nil {
			t.Fatalf("neither retried nor answered: %v", rig.actions)
		}
	}
	if retried < 1 || retried > 3 {
		t.Fatalf("%d further attempts for 8 requests", retried)
	}
	rig.now += settings.RetryBudgetWindow + 2*settings.Tick
	id := rig.arrive(0)
	rig.endAttempt(id, 0, ConnectionRefused, time.Millisecond)
	if findAction(rig.actions, Assign) == nil {
		t.Fatal("not retried though the window has passed")
	}
}

// A class bound to a kind or a zone is sent there only, also when all its workers are full; and where
// Saturated is no proof, a request that must not run twice is failed at once.
func TestPlacementAndSaturationWithoutProof(t *testing.T) {
	settings := testSettings()
	settings.SaturatedMayHaveRun = true
	settings.Classes[1].Kinds = []int{1}
	settings.Classes[1].Zones = []int{2}
	rig := newRig(t, settings, 4)
	rig.updateList(
		Endpoint{Name: "w0", Kind: 1},
		Endpoint{Name: "w1", Zone: 2},
		Endpoint{Name: "w2", Kind: 1, Zone: 2},
	)
	id := rig.arrive(1)
	if rig.assignedTo(id) != "w2" {
		t.Fatalf("sent to %q", rig.assignedTo(id))
	}
	rig.endAttempt(id, 0, Saturated, time.Millisecond)
	if findAction(rig.actions, Fail) == nil || findAction(rig.actions, Assign) != nil ||
		findAction(rig.actions, Reject) != nil {
		t.Fatalf("after 'full' without proof: %v", rig.actions)
	}
	rig.workers["w2"].saturatedUntil = rig.now + time.Hour
	if w := rig.send(1); w != "" {
		t.Fatalf("sent to %q though its only worker is full", w)
	}
}
