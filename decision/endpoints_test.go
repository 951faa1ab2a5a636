package decision

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestDrainingWorkerGetsNothing(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.handle(
		rig.now,
		Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{{Name: "w0", State: Draining}}},
	)
	for range 4 {
		if rig.send(0) == "w0" {
			t.Fatal("sent to a draining worker")
		}
	}
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot})
	if rig.send(0) != "" {
		t.Fatal("sent to a worker that a complete list lacks")
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
			t.Fatalf("failure %d: %v", i, rig.actions)
		}
		last = action.Delay
	}
	if last < settings.ListPollInterval/4 {
		t.Fatalf("still asking every %v after eight failures", last)
	}
	rig.handle(rig.now, Event{Kind: TimerFired, Timer: subscribeTimer})
	if findAction(rig.actions, Subscribe) == nil {
		t.Fatal("not asked again")
	}
	if rig.send(0) != "w0" {
		t.Fatal("the old list does not stand")
	}
}

// The wait before a call for the endpoint list must not grow with the number of dispatchers beyond all
// bounds. However many they are, all have called early enough for two more calls within ListPollInterval.
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

// Thirty-six dispatchers that start together, or lose their subscription together, do not call together: a
// service that answers seven calls a second keeps none waiting for the two seconds after which it fails,
// and those that fail come back ever more seldom. Few dispatchers call at once.
func TestLargeFleetSpreadsItsCalls(t *testing.T) {
	const peers, service, patience = 36, time.Second / 7, 2 * time.Second
	settings := testSettings()
	settings.ListBySubscription = true
	settings.Peers = largeFleetThreshold
	if rig := newRig(t, settings, 1); findAction(rig.actions, Subscribe) == nil ||
		findAction(rig.actions, SetTimer) != nil {
		t.Fatalf("few dispatchers do not call at once: %v", rig.actions)
	}
	settings.Peers = peers
	for _, first := range []ListKind{ListCached, ListFailed} {
		var rigs []*rig
		var calls []time.Duration // when each calls next
		for i := range peers {
			rig := newSeededRig(t, settings, 1, uint64(i))
			if first == ListFailed {
				rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListFailed})
			}
			if rig.send(0) == "" {
				t.Fatal("the known list does not serve meanwhile")
			}
			rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: first})
			action := findAction(rig.actions, SetTimer)
			if action == nil || findAction(rig.actions, Subscribe) != nil {
				t.Fatalf("called at once: %v", rig.actions)
			}
			rigs = append(rigs, rig)
			calls = append(calls, time.Hour+action.Delay)
		}
		free := time.Duration(0)
		failed := 0
		last := time.Duration(0)
		for served := 0; served < peers; {
			next := 0
			for i := range calls {
				if calls[i] < calls[next] {
					next = i
				}
			}
			now := calls[next]
			start := max(free, now)
			free = start + service // a call that has waited too long takes its time all the same
			if start+service-now <= patience {
				served++
				last = start + service
				calls[next] = math.MaxInt64
				continue
			}
			failed++
			rig := rigs[next]
			rig.handle(now+patience, Event{Kind: ListUpdated, ListKind: ListFailed})
			calls[next] = now + patience + findAction(rig.actions, SetTimer).Delay
		}
		if last > time.Hour+10*time.Second || failed > peers/2 {
			t.Errorf("list kind %d: all served after %v, %d calls in vain", first, last-time.Hour, failed)
		}
	}
}

// Lists may be long, name a worker twice, or shrink to nothing; none of it may break the counts.
func TestOddListsAreHarmless(t *testing.T) {
	rig := newRig(t, testSettings(), 0)
	var list []Endpoint
	for i := range 5000 {
		list = append(list, Endpoint{Name: fmt.Sprintf("w%d", i%4000), Zone: i % 3})
	}
	for range 2 {
		rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: list})
		near := 0
		for _, worker := range rig.fleet {
			if worker.Zone == rig.settings.Zone {
				near++
			}
		}
		warm := rig.candidates.warm
		local := rig.candidates.localWarm
		if len(rig.fleet) != 4000 || len(warm) != 4000 || len(local) != near ||
			len(rig.workers) != 4000 {
			t.Fatalf(
				"%d workers, %d to draw, %d of %d near",
				len(rig.fleet),
				len(warm),
				len(local),
				near,
			)
		}
	}
	if rig.send(0) == "" {
		t.Fatal("nothing is sent to a fleet of 4000")
	}
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot})
	if rig.send(0) != "" ||
		len(rig.candidates.warm)+len(rig.candidates.localWarm) != 0 ||
		rig.counts.running+len(rig.counts.eligible) != 0 {
		t.Fatal("an empty list leaves workers behind")
	}
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: list[:1]})
	if rig.send(0) != "w0" {
		t.Fatal("the first worker after an empty list is not used")
	}
}

// A new process of a worker has nothing of the old one's failures or speed.
func TestRestartedWorkerIsUnknown(t *testing.T) {
	rig := newRig(t, testSettings(), 3)
	worker := rig.fleet[0]
	rig.setFailureScore(worker, 1, attemptsFail)
	worker.runTimeRatio = 9
	rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta,
		Endpoints: []Endpoint{{Name: "w0", State: Running, StartedAt: rig.now - 20*time.Second}}})
	if worker.ejected || worker.runTimeRatio != 0 {
		t.Fatal("the old process is remembered")
	}
}
