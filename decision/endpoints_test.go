package decision

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

func TestDrainingWorkerGetsNothing(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.updateList(Endpoint{Name: "w0", State: Draining})
	for range 4 {
		if rig.send(0) == "w0" {
			t.Fatal("sent to a draining worker")
		}
	}
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot})
	if rig.send(0) != "" {
		t.Fatal("sent to a worker that is not in a complete list")
	}
}

func TestListFailuresBackOffWithJitter(t *testing.T) {
	settings := testSettings()
	settings.ListBySubscription = true
	rig := newRig(t, settings, 1)
	if findAction(rig.actions, Subscribe) == nil {
		t.Fatal("not subscribed at the start")
	}
	last := time.Duration(0)
	for i := range 8 {
		rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListFailed})
		action := findAction(rig.actions, SetTimer)
		if findAction(rig.actions, Subscribe) != nil || action == nil ||
			action.Delay > settings.ListPollInterval/2 {
			t.Fatalf("failure %d: no timer of at most half the poll interval: %v", i, rig.actions)
		}
		last = action.Delay
	}
	if last < settings.ListPollInterval/4 {
		t.Fatalf("the wait is only %v after eight failures", last)
	}
	rig.handle(rig.now, Event{Kind: TimerFired, Timer: subscribeTimer})
	if findAction(rig.actions, Subscribe) == nil {
		t.Fatal("did not subscribe again")
	}
	if rig.send(0) != "w0" {
		t.Fatal("the old list is no longer in use")
	}
}

// The wait before a call for the endpoint list must not grow without limit with the number of dispatchers.
// For any number, all have called early enough for two more calls within ListPollInterval.
func TestSubscribeDelayIsBounded(t *testing.T) {
	settings := testSettings()
	settings.ListBySubscription = true
	settings.Peers = 300
	early := settings.ListPollInterval
	late := time.Duration(0)
	for i := range 200 {
		rig := newSeededRig(t, settings, 1, uint64(i))
		action := findAction(rig.actions, SetTimer)
		if action == nil {
			t.Fatalf("called at once: %v", rig.actions)
		}
		early = min(early, action.Delay)
		late = max(late, action.Delay)
	}
	if late > settings.ListPollInterval/4 || late-early < settings.ListPollInterval/5 {
		t.Errorf("calls come between %v and %v after the start", early, late)
	}
}

func TestFewDispatchersCallForTheListAtOnce(t *testing.T) {
	settings := testSettings()
	settings.ListBySubscription = true
	settings.Peers = manyDispatchersThreshold
	rig := newRig(t, settings, 1)
	if findAction(rig.actions, Subscribe) == nil || findAction(rig.actions, SetTimer) != nil {
		t.Fatalf("few dispatchers do not call at once: %v", rig.actions)
	}
}

// Thirty-six dispatchers that start together, or lose their subscription together, spread their calls over
// time. At a service that answers seven calls per second, few calls then take the two seconds after which a
// call fails, and dispatchers whose calls fail call again after a growing backoff.
func TestManyDispatchersSpreadTheirCalls(t *testing.T) {
	const peers = 36
	for _, first := range []ListKind{ListCached, ListFailed} {
		fleet := newCallingFleet(t, peers, first)
		for fleet.served < peers {
			fleet.serveNextCall()
		}
		if fleet.lastServedAt > time.Hour+10*time.Second || fleet.failed > peers/2 {
			t.Errorf("list kind %d: the last call is served after %v, %d calls failed",
				first, fleet.lastServedAt-time.Hour, fleet.failed)
		}
	}
}

// callingFleet simulates dispatchers that call a list service, which serves one call at a time.
type callingFleet struct {
	rigs         []*rig
	calls        []time.Duration // when each dispatcher calls next; math.MaxInt64 once it was served
	freeAt       time.Duration   // when the service has finished all calls so far
	served       int
	failed       int
	lastServedAt time.Duration
}

// newCallingFleet starts dispatchers that have only an initial list, or whose first call has failed.
func newCallingFleet(t *testing.T, peers int, first ListKind) *callingFleet {
	t.Helper()
	settings := testSettings()
	settings.ListBySubscription = true
	settings.Peers = peers
	fleet := &callingFleet{}
	for i := range peers {
		rig := newSeededRig(t, settings, 1, uint64(i))
		if first == ListFailed {
			rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListFailed})
		}
		if rig.send(0) == "" {
			t.Fatal("the initial list is not used until the first call")
		}
		rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: first})
		action := findAction(rig.actions, SetTimer)
		if action == nil || findAction(rig.actions, Subscribe) != nil {
			t.Fatalf("called at once: %v", rig.actions)
		}
		fleet.rigs = append(fleet.rigs, rig)
		fleet.calls = append(fleet.calls, time.Hour+action.Delay)
	}
	return fleet
}

// serveNextCall serves the earliest call, or lets it fail if it would wait for too long. A failed call
// occupies the service for the same time.
func (f *callingFleet) serveNextCall() {
	const serviceTime = time.Second / 7
	const callTimeout = 2 * time.Second
	next := slices.Index(f.calls, slices.Min(f.calls))
	calledAt := f.calls[next]
	f.freeAt = max(f.freeAt, calledAt) + serviceTime
	if f.freeAt-calledAt <= callTimeout {
		f.served++
		f.lastServedAt = f.freeAt
		f.calls[next] = math.MaxInt64
		return
	}
	f.failed++
	failedAt := calledAt + callTimeout
	rig := f.rigs[next]
	rig.handle(failedAt, Event{Kind: ListUpdated, ListKind: ListFailed})
	f.calls[next] = failedAt + findAction(rig.actions, SetTimer).Delay
}

// Lists may be long, name workers twice, or become empty; the counts must stay correct.
func TestListsWithRepeatedOrNoEntries(t *testing.T) {
	rig := newRig(t, testSettings(), 0)
	var list []Endpoint
	for i := range 5000 {
		list = append(list, Endpoint{Name: fmt.Sprintf("w%d", i%4000), Zone: i % 3})
	}
	for range 2 {
		rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: list})
		wantLocal := 0
		for _, worker := range rig.fleet {
			if worker.Zone == rig.settings.Zone {
				wantLocal++
			}
		}
		warm := len(rig.candidates.warm)
		local := len(rig.candidates.localWarm)
		if len(rig.fleet) != 4000 || warm != 4000 || local != wantLocal || len(rig.workers) != 4000 {
			t.Fatalf("%d workers, %d of them warm, %d of %d in the own zone",
				len(rig.fleet), warm, local, wantLocal)
		}
	}
	if rig.send(0) == "" {
		t.Fatal("nothing is sent to a fleet of 4000")
	}
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot})
	if rig.send(0) != "" ||
		len(rig.candidates.warm)+len(rig.candidates.localWarm) != 0 ||
		rig.counts.running+len(rig.counts.eligible) != 0 {
		t.Fatal("workers remain after an empty list")
	}
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: list[:1]})
	if rig.send(0) != "w0" {
		t.Fatal("the first worker after an empty list is not used")
	}
}

// A restarted worker does not inherit the failures or the speed of its previous process.
func TestRestartedWorkerIsUnknown(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	worker := rig.fleet[0]
	rig.setFailureScore(worker, 1, reasonAttemptsFail)
	worker.runTimeRatio = 9
	rig.updateList(Endpoint{Name: "w0", State: Running, StartedAt: rig.now - 20*time.Second})
	if worker.ejected || worker.runTimeRatio != 0 {
		t.Fatal("the state of the previous process was kept")
	}
}
