package decision

import (
	"slices"
	"testing"
	"time"
)

// An attempt that is stuck at a silent worker must not prevent a trial of that worker.
func TestEjectedWorkerWithStuckAttemptGetsATrial(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	id := rig.arrive(1)
	worker := rig.workers[rig.assignedTo(id)]
	rig.setFailureScore(worker, 1, reasonSilent)
	rig.now += worker.ejectionBackoff
	if !rig.usable(&request{class: &rig.settings.Classes[0]}, worker) {
		t.Fatal("no trial while an attempt is stuck at the worker")
	}
}

// A worker that fails quickly is ejected even if its responses are fast, and gets one trial at a time.
func TestFailingWorkerIsEjected(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(0)
	bad := rig.assignedTo(id)
	worker := rig.workers[bad]
	rig.endAttempt(id, 0, Failed, time.Millisecond)
	if !worker.ejected || worker.runTimeRatio != 0 {
		t.Fatalf("ejected %v, run time ratio %v", worker.ejected, worker.runTimeRatio)
	}
	for range 20 {
		if rig.send(0) == bad {
			t.Fatal("sent to an ejected worker at once")
		}
	}
	rig.now += worker.ejectionBackoff
	rig.setCeilings(100, 1e6)
	trials := 0
	for range 40 {
		rig.arrive(0)
		for _, action := range rig.actions {
			if action.Kind == Assign && action.Worker == bad {
				trials++
			}
		}
	}
	if trials != 1 {
		t.Fatalf("%d trials at once, want 1", trials)
	}
}

// Attempts that are stuck at ejected workers must not exhaust a ceiling that is scaled to the ready ones. In
// panic all slots count: otherwise ejecting workers would raise the ceiling.
func TestSlotsAtEjectedWorkersDoNotCount(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	rig.ceilings.concurrencyPerWorker = (6 - concurrencyHeadroom) / 3
	var stuck []uint64
	for len(stuck) < 6 {
		stuck = append(stuck, rig.arrive(0))
	}
	ejected := rig.fleet[0]
	atEjected := ejected.outstanding
	rig.setFailureScore(ejected, 1, reasonSilent)
	if rig.ceilings.inFlight != 6 || atEjected == 0 || rig.countedInFlight() != 6-atEjected {
		t.Fatalf("%v of 6 slots count though an ejected worker holds %v", rig.countedInFlight(), atEjected)
	}
	rig.setFailureScore(rig.fleet[1], 1, reasonSilent)
	if rig.countedInFlight() != 6 || rig.readyWorkers() != 3 || rig.send(0) != "" {
		t.Fatalf(
			"%v of 6 slots and %v of 3 workers count in panic",
			rig.countedInFlight(),
			rig.readyWorkers(),
		)
	}
	rig.handle(rig.now, Event{Kind: ClientDisconnected, Request: rig.next - 1})
	rig.setFailureScore(rig.fleet[1], 0, reasonRecovered)
	rig.updateList(Endpoint{Name: ejected.Name, State: Running, StartedAt: rig.now})
	for _, id := range stuck {
		rig.endAttempt(id, 0, Completed, 0)
	}
	inFlight := rig.ceilings.inFlight
	atEjected = rig.ceilings.inFlightAtEjected
	if inFlight != 0 || atEjected != 0 {
		t.Fatalf("%v slots, %v of them stuck, after all have ended", inFlight, atEjected)
	}
}

// In panic, when most workers are ejected, the workers are unlikely to be the cause, and all are used.
func TestPanicUsesEjectedWorkers(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	for _, worker := range rig.fleet[:3] {
		rig.setFailureScore(worker, 1, reasonAttemptsFail)
	}
	rig.fleet[3].saturatedUntil = rig.now + time.Hour
	if rig.send(0) == "" {
		t.Fatal("nothing was sent though most workers are ejected")
	}
}

// Ejected names a worker from its ejection until it answers successfully again; a trial that has not ended
// does not change that.
func TestEjectedNamesAWorkerUntilItAnswers(t *testing.T) {
	rig := newRig(t, testSettings(), 5)
	rig.setCeilings(1000, 1e6)
	ejected := rig.fleet[2]
	if rig.Ejected() != nil {
		t.Fatalf("%v are ejected at the start", rig.Ejected())
	}
	rig.setFailureScore(ejected, 1, reasonAttemptsFail)
	for range 30 {
		id := rig.arrive(0)
		if rig.assignedTo(id) == ejected.Name || len(rig.Ejected()) != 1 || rig.Ejected()[0] != ejected.Name {
			t.Fatalf("%v are ejected, and %s gets a request", rig.Ejected(), rig.assignedTo(id))
		}
		rig.endAttempt(id, 0, Completed, time.Millisecond)
	}
	trials := 0
	for ; ejected.ejected && trials < 5; trials++ {
		rig.now = max(rig.now, ejected.trialAt)
		trial := uint64(0)
		for range 60 {
			if id := rig.arrive(0); rig.assignedTo(id) == ejected.Name {
				trial = id
			}
		}
		if trial == 0 || len(rig.Ejected()) != 1 {
			t.Fatalf("trial %d, %v are ejected meanwhile", trial, rig.Ejected())
		}
		rig.endAttempt(trial, 0, Completed, time.Millisecond)
	}
	if trials == 0 || rig.Ejected() != nil {
		t.Fatalf("%v are ejected after %d trials that were served", rig.Ejected(), trials)
	}
}

func TestEjectedNamesNoneInPanicAndNoneThatDrains(t *testing.T) {
	rig := newRig(t, testSettings(), 5)
	for _, worker := range rig.fleet[:3] {
		rig.setFailureScore(worker, 1, reasonAttemptsFail)
	}
	if rig.Ejected() != nil {
		t.Fatalf("%v are reported as ejected in panic", rig.Ejected())
	}
	running := rig.fleet[1]
	draining := rig.fleet[2]
	rig.setFailureScore(rig.fleet[0], 0, reasonRecovered)
	rig.updateList(Endpoint{Name: draining.Name, State: Draining})
	if !slices.Equal(rig.Ejected(), []string{running.Name}) {
		t.Fatalf("Ejected returns %v, want %s; %s is draining", rig.Ejected(), running.Name, draining.Name)
	}
	rig.setFailureScore(running, 0, reasonRecovered)
	if rig.Ejected() != nil {
		t.Fatalf("%v are reported as ejected, though draining", rig.Ejected())
	}
}

// A worker crashes while calls for the endpoint list fail. Its silence alone must lead to its ejection, and
// the next list must not return it to service, since the list shows no restart.
func TestSilentWorkerIsAvoidedWhileTheListFails(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	lost := rig.assignedTo(rig.arrive(0))
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListFailed})
	rig.sweepAt(rig.now + 3*time.Second)
	for range 20 {
		id := rig.arrive(0)
		if rig.assignedTo(id) == lost {
			t.Fatal("sent to a silent worker while the list fails")
		}
		rig.endAttempt(id, 0, Completed, time.Millisecond)
	}
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: []Endpoint{{Name: lost}}})
	if worker := rig.workers[lost]; !worker.ejected || len(rig.fleet) != 1 {
		t.Fatal("the list returned a silent worker to service that has not restarted")
	}
}

// A worker that gets only requests that must not run twice does not stay ejected forever.
func TestFailureScoreDecays(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	id := rig.arrive(1)
	bad := rig.workers[rig.assignedTo(id)]
	rig.endAttempt(id, 0, Failed, time.Millisecond)
	request := &request{class: &rig.settings.Classes[1]}
	if rig.usable(request, bad) {
		t.Fatal("a non-idempotent request sent to a worker that has just failed")
	}
	rig.now += 3 * rig.planningHorizon
	if !rig.usable(request, bad) {
		t.Fatal("still ejected after three planning horizons")
	}
}

// A request that a worker reports as invalid fails at once: it is not sent to another worker, and it counts
// neither against that worker nor against the fleet.
func TestInvalidRequestIsNoWorkerFailure(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	before := rig.ceilings.concurrencyPerWorker
	for i := range 2 * maxConsecutiveInvalid {
		id := rig.arrive(i % 2)
		actions := rig.endAttempt(id, 0, InvalidRequest, time.Millisecond)
		if len(actions) == 0 || actions[0].Kind != Fail || actions[0].Request != id ||
			rig.requests[id] != nil {
			t.Fatalf("request %d: %+v", i, actions)
		}
		rig.endAttempt(rig.arrive(0), 0, Completed, time.Second)
		for _, worker := range rig.fleet {
			worker.consecutiveInvalid = 0
		}
	}
	ceiling := rig.ceilings.concurrencyPerWorker
	inFlight := rig.ceilings.inFlight
	ejected := rig.counts.ejected
	if ejected != 0 || ceiling < before || inFlight != 0 {
		t.Errorf("%d ejected, ceiling %v of %v, %v in flight", ejected, ceiling, before, inFlight)
	}
}

// A worker that reports all requests as invalid counts as failing: it is ejected, and its request is
// retried.
func TestWorkerThatCallsAllRequestsInvalidIsEjected(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	first := rig.arrive(0)
	worker := rig.workers[rig.assignedTo(first)]
	rig.endAttempt(first, 0, Completed, time.Second)
	worker.consecutiveInvalid = maxConsecutiveInvalid
	id := rig.arrive(0)
	for rig.assignedTo(id) != worker.Name {
		rig.endAttempt(id, 0, Completed, time.Second)
		id = rig.arrive(0)
	}
	rig.endAttempt(id, 0, InvalidRequest, time.Millisecond)
	if rig.requests[id] == nil || !worker.ejected {
		t.Error("a worker that reports all requests as invalid is not ejected, or the request is not retried")
	}
}
