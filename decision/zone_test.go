package decision

import (
	"slices"
	"testing"
	"time"
)

// If unreachable zones were not detected, each dispatcher would run into a connect timeout at one worker of
// the zone after the other, until the endpoint list removes them. A zone counts as unreachable after two
// failed connects in a row while workers of other zones are seen. Then one request at a time is sent there as
// a trial, to find out whether the zone is reachable again.

// zoneRig is a rig with four workers in each of three zones.
type zoneRig struct {
	*rig
	entries []Endpoint
	logs    []string
}

// forZoneRigs runs a test with a rig for each of ten seeds.
func forZoneRigs(t *testing.T, test func(t *testing.T, rig *zoneRig)) {
	t.Helper()
	settings := testSettings()
	settings.StartNotices = true
	settings.ZoneNames = []string{"zarqa-east", "russeifa", "hashemiya"}
	for seed := range uint64(10) {
		rig := &zoneRig{rig: newSeededRig(t, settings, 12, seed+1)}
		for i, worker := range rig.fleet {
			rig.entries = append(rig.entries, Endpoint{Name: worker.Name, Zone: i % 3, State: Running})
		}
		rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: rig.entries})
		test(t, rig)
	}
}

// inZone returns the workers of a zone.
func (r *zoneRig) inZone(number int) (workers []*worker) {
	for _, worker := range r.fleet {
		if worker.Zone == number {
			workers = append(workers, worker)
		}
	}
	return workers
}

// markZoneSeen records that a worker of the zone was seen.
func (r *zoneRig) markZoneSeen(number int) { r.markSeen(r.inZone(number)[0]) }

// unreachable reports whether a zone counts as unreachable.
func (r *zoneRig) unreachable(number int) bool { return r.zoneUnreachable(r.inZone(number)[3]) }

// countUnreachable returns the number of zones that count as unreachable.
func (r *zoneRig) countUnreachable() (n int) {
	for number := range 3 {
		if r.unreachable(number) {
			n++
		}
	}
	return n
}

// failConnect sends a request to a worker and lets the connect fail.
func (r *zoneRig) failConnect(worker *worker) {
	request := &request{
		id:       r.next,
		class:    &r.settings.Classes[1],
		slots:    1,
		work:     1,
		deadline: r.now + time.Second,
	}
	r.next++
	r.requests[request.id] = request
	r.startAttempt(request, worker)
	refused := Event{
		Kind:     AttemptEnded,
		Request:  request.id,
		Worker:   worker.Name,
		Outcome:  ConnectionRefused,
		Answered: true,
	}
	for _, action := range r.handle(r.now+r.settings.ConnectTimeout, refused) {
		r.logs = append(r.logs, action.Text)
	}
	r.now += time.Millisecond
}

// failTwice lets two connects in a row fail in each of the zones.
func (r *zoneRig) failTwice(zones ...int) {
	for _, number := range zones {
		r.failConnect(r.inZone(number)[0])
		r.failConnect(r.inZone(number)[1])
	}
}

func TestZoneIsUnreachableAfterTwoFailedConnects(t *testing.T) {
	forZoneRigs(t, func(t *testing.T, rig *zoneRig) {
		rig.failConnect(rig.inZone(1)[0])
		rig.markZoneSeen(0)
		if rig.countUnreachable() != 0 {
			t.Fatal("one failed connect makes a zone unreachable")
		}
		rig.failConnect(rig.inZone(1)[1])
		rig.markZoneSeen(0)
		logged := slices.Contains(rig.logs, "zone russeifa looks unreachable: 2 connects failed in a row")
		if rig.countUnreachable() != 1 || !rig.unreachable(1) || !logged {
			t.Fatalf("a zone is not unreachable after two failed connects in a row: %q", rig.logs)
		}
		for range 6 {
			if worker := rig.workers[rig.send(1)]; worker != nil && worker.Zone == 1 {
				t.Fatalf("%s of the unreachable zone was sent a request", worker.Name)
			}
		}
	})
}

func TestTrialsOfAnUnreachableZoneBecomeRarer(t *testing.T) {
	forZoneRigs(t, func(t *testing.T, rig *zoneRig) {
		rig.failTwice(1)
		rig.markZoneSeen(0)
		fourTimeouts := 4*rig.settings.ConnectTimeout + time.Millisecond
		rig.now += fourTimeouts
		if rig.countUnreachable() != 0 {
			t.Fatal("no trial is due after four connect timeouts")
		}
		rig.failConnect(rig.inZone(1)[2]) // the trial fails: the next one comes later
		rig.now += fourTimeouts
		rig.markZoneSeen(0)
		if rig.countUnreachable() != 1 {
			t.Fatal("the interval between trials does not grow")
		}
	})
}

// Once a worker of a zone was seen, earlier failures, including failed trials, no longer count.
func TestZoneThatWasSeenIsReachable(t *testing.T) {
	forZoneRigs(t, func(t *testing.T, rig *zoneRig) {
		rig.failTwice(1)
		rig.markZoneSeen(0)
		rig.now += 4*rig.settings.ConnectTimeout + time.Millisecond
		rig.failConnect(rig.inZone(1)[2]) // a trial
		rig.markZoneSeen(0)
		if rig.countUnreachable() != 1 {
			t.Fatal("a zone is not unreachable after two failed connects in a row")
		}
		id := rig.arrive(0)
		seen := rig.inZone(1)[3]
		rig.requests[id].attempts[0].worker = seen
		actions := rig.handle(rig.now, Event{Kind: AttemptStarted, Request: id, Worker: seen.Name})
		log := findAction(actions, Log)
		if rig.countUnreachable() != 0 || log == nil || log.Text != "zone russeifa is reachable again" {
			t.Fatalf("a zone that was seen is still unreachable: %+v", actions)
		}
		rig.failTwice(0, 1, 2) // the earlier failures must not count
		if rig.countUnreachable() != 0 {
			t.Fatal("all zones are unreachable at once")
		}
		rig.markZoneSeen(0)
		if rig.countUnreachable() != 2 {
			t.Fatal("one zone is reachable again, and the other two are not unreachable")
		}
	})
}

// If no worker of any zone is seen any more, the fault is probably at the dispatcher, and no zone counts as
// unreachable.
func TestNotAllZonesAreUnreachableAtOnce(t *testing.T) {
	forZoneRigs(t, func(t *testing.T, rig *zoneRig) {
		rig.markZoneSeen(0)
		rig.failTwice(0, 1, 2)
		if rig.countUnreachable() != 0 {
			t.Fatal("all zones are unreachable at once")
		}
		rig.markZoneSeen(0)
		if rig.countUnreachable() != 2 {
			t.Fatal("one zone is reachable again, and the other two are not unreachable")
		}
		rig.entries[1].StartedAt = rig.now
		started := rig.entries[1:2]
		rig.updateList(started...)
		if rig.countUnreachable() != 1 {
			t.Fatal("a zone in which a worker started is still unreachable")
		}
	})
}

func TestUnreachableZoneGetsOneTrialAtATime(t *testing.T) {
	forZoneRigs(t, func(t *testing.T, rig *zoneRig) {
		rig.failTwice(2)
		rig.markZoneSeen(0)
		if !rig.unreachable(2) {
			t.Fatal("a zone is not unreachable after two failed connects in a row")
		}
		rig.now += rig.planningHorizon
		if rig.unreachable(2) {
			t.Fatal("no trial is due after a planning horizon")
		}
		rig.markZoneSeen(0)
		rig.startAttempt(&request{class: &rig.settings.Classes[0], slots: 1, work: 1}, rig.inZone(2)[0])
		if !rig.unreachable(2) {
			t.Fatal("two trials at once")
		}
	})
}

// A request that runs in an unreachable zone and may be repeated is hedged after a sweep interval without a
// report. Otherwise it would be hedged only when its worker counts as silent, which takes over two seconds
// without progress reports.
func TestAttemptInUnreachableZoneIsHedged(t *testing.T) {
	forZoneRigs(t, func(t *testing.T, rig *zoneRig) {
		rig.failTwice(2)
		rig.now += rig.planningHorizon
		rig.markZoneSeen(0)
		request := &request{
			id:        rig.next,
			class:     &rig.settings.Classes[0],
			slots:     1,
			work:      1,
			cost:      1,
			objective: rig.now + 5*time.Second,
		}
		rig.startAttempt(request, rig.inZone(2)[3])
		rig.recordStart(request.class, &request.attempts[0])
		rig.now += 2 * rig.sweepInterval
		rig.superviseAttempt(request, &request.attempts[0])
		if len(request.attempts) != 2 {
			t.Fatalf("a request in an unreachable zone has %d attempts", len(request.attempts))
		}
	})
}
