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
		t.Fatalf("want the request to fail: %v", rig.actions)
	}
	id = rig.arrive(1)
	rig.endAttempt(id, 0, ConnectionRefused, time.Millisecond) // proves that it never ran
	if findAction(rig.actions, Assign) == nil {
		t.Fatal("not sent again though it never ran")
	}
}

// While most workers are full, the attempts of a request are spread over the time left, not made in a burst.
func TestAttemptsAreSpreadOverTimeLeft(t *testing.T) {
	rig := newRig(t, testSettings(), 20)
	id := rig.arrive(0)
	rig.endAttempt(id, 0, Saturated, time.Millisecond)
	rig.endAttempt(id, 1, Saturated, time.Millisecond)
	request := rig.requests[id]
	if request == nil || !request.queued || request.notBefore < rig.now+100*time.Millisecond {
		t.Fatalf("the third attempt is not delayed: %+v", request)
	}
}

// dedupOutcomes are the final responses to a Deduplicated request that may have run and whose DedupWindow is
// over: it is rejected if its DedupScope includes all workers, so that the client may repeat it, and failed
// otherwise.
var dedupOutcomes = map[DedupScope]ActionKind{
	DedupEverywhere: Reject,
	DedupWithinZone: Fail,
	DedupWithinCell: Fail,
}

// newDedupRig returns a rig with two workers, and a Deduplicated request that was sent to one of them.
func newDedupRig(t *testing.T, scope DedupScope) (*rig, uint64) {
	t.Helper()
	settings := testSettings()
	class := &settings.Classes[1]
	class.Idempotency = Deduplicated
	class.DedupScope = scope
	class.DedupWindow = 1500 * time.Millisecond
	class.LatencyObjective = 5 * time.Second
	class.ObjectiveStretch = 0
	rig := newRig(t, settings, 2)
	return rig, rig.arrive(1)
}

func TestWaitingRequestIsAnsweredAtTheEndOfItsDedupWindow(t *testing.T) {
	for scope, want := range dedupOutcomes {
		rig, id := newDedupRig(t, scope)
		sent := rig.requests[id].attempts[0].assignedAt
		for _, worker := range rig.fleet {
			worker.saturatedUntil = rig.now + time.Hour
		}
		rig.endAttempt(id, 0, Failed, 100*time.Millisecond)
		for findAction(rig.actions, want) == nil {
			rig.nextSweep()
			if rig.now > sent+2*time.Second {
				t.Fatalf("scope %d: still waiting after the dedup window", scope)
			}
			if findAction(rig.actions, Assign) != nil {
				t.Fatalf("scope %d: retried after its dedup window", scope)
			}
		}
		if rig.now < sent+1400*time.Millisecond {
			t.Errorf("scope %d: answered after %v, before the end of the window", scope, rig.now-sent)
		}
	}
}

// A retry is sent within the dedup window, and its worker rejects it after the window.
func TestRetryThatEndsAfterTheDedupWindowIsAnsweredAtOnce(t *testing.T) {
	for scope, want := range dedupOutcomes {
		rig, id := newDedupRig(t, scope)
		sent := rig.requests[id].attempts[0].assignedAt
		rig.endAttempt(id, 0, Failed, 100*time.Millisecond)
		if request := rig.requests[id]; request == nil || len(request.attempts) != 2 {
			t.Fatalf("scope %d: not retried within the dedup window", scope)
		}
		rig.endAttempt(id, 1, Saturated, 1500*time.Millisecond)
		if findAction(rig.actions, want) == nil {
			t.Fatalf("scope %d: not answered when its last attempt ended: %v", scope, rig.actions)
		}
		if findAction(rig.actions, Assign) != nil {
			t.Fatalf("scope %d: retried after its dedup window", scope)
		}
		if rig.now < sent+1400*time.Millisecond {
			t.Errorf("scope %d: answered after %v, before the end of the window", scope, rig.now-sent)
		}
	}
}

// Once the retry budget is spent, a failed request is answered at once instead of retried. A window later
// there is budget again.
func TestRetryBudgetBoundsRetriesInAWindow(t *testing.T) {
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
		t.Fatalf("%d retries for 8 requests", retried)
	}
	rig.now += settings.RetryBudgetWindow + 2*settings.Tick
	id := rig.arrive(0)
	rig.endAttempt(id, 0, ConnectionRefused, time.Millisecond)
	if findAction(rig.actions, Assign) == nil {
		t.Fatal("not retried though the window has passed")
	}
}

// A class that is bound to a kind or a zone is sent only there, even if all workers there are full. If
// Saturated does not prove that an attempt never ran, a request that must not run twice is failed at once.
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
		t.Fatalf("after Saturated without proof: %v", rig.actions)
	}
	rig.workers["w2"].saturatedUntil = rig.now + time.Hour
	if name := rig.send(1); name != "" {
		t.Fatalf("sent to %q though its only worker is full", name)
	}
}
