package decision

import (
	"slices"
	"testing"
	"time"
)

// Workers of a lost zone let connects time out, one after the other, at each dispatcher, until the endpoint
// list tells of it. Two such failures in a row are enough while workers of other zones are seen; one
// request at a time finds out whether the zone is back.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	settings.ZoneNames = []string{"zarqa-east", "russeifa", "hashemiya"}
	for seed := range uint64(10) {
		rig := newSeededRig(t, settings, 12, seed+1)
		var logs []string
		var entries []Endpoint
		for i, worker := range rig.fleet {
			entries = append(entries, Endpoint{Name: worker.Name, Zone: i % 3, State: Running})
		}
		rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: entries})
		refuseConnect := func(worker *worker) { // a request there whose connect fails
			request := &request{
				id:       rig.next,
				class:    &rig.settings.Classes[1],
				slots:    1,
				work:     1,
				deadline: rig.now + time.Second,
			}
			rig.next++
			rig.requests[request.id] = request
			rig.startAttempt(request, worker)
			refused := Event{
				Kind: AttemptEnded, Request: request.id, Worker: worker.Name,
				Outcome: ConnectionRefused, Answered: true,
			}
			for _, action := range rig.handle(rig.now+settings.ConnectTimeout, refused) {
				logs = append(logs, action.Text)
			}
			rig.now += time.Millisecond
		}
		zone := func(n int) (of []*worker) {
			for _, worker := range rig.fleet {
				if worker.Zone == n {
					of = append(of, worker)
				}
			}
			return of
		}
		unreachableZones := func() (n int) {
			for z := range 3 {
				if rig.zoneUnreachable(zone(z)[3]) {
					n++
				}
			}
			return n
		}
		refuseConnect(zone(1)[0])
		rig.markSeen(zone(0)[0])
		if unreachableZones() != 0 {
			t.Fatal("one failed connect makes a zone unreachable")
		}
		refuseConnect(zone(1)[1])
		rig.markSeen(zone(0)[0])
		logged := slices.Contains(logs, "zone russeifa looks unreachable: 2 connects failed in a row")
		if unreachableZones() != 1 || !rig.zoneUnreachable(zone(1)[3]) || !logged {
			t.Fatalf("a zone is not unreachable after two failed connects in a row: %q", logs)
		}
		for range 6 {
			if worker := rig.workers[rig.send(1)]; worker != nil && worker.Zone == 1 {
				t.Fatalf("%s of the unreachable zone was sent a request", worker.Name)
			}
		}
		rig.now += 4*settings.ConnectTimeout + time.Millisecond
		if unreachableZones() != 0 {
			t.Fatal("no trial is due after four time-outs")
		}
		refuseConnect(zone(1)[2]) // the trial fails: the next one comes later
		rig.now += 4*settings.ConnectTimeout + time.Millisecond
		rig.markSeen(zone(0)[0])
		if unreachableZones() != 1 {
			t.Fatal("trials do not become rarer")
		}
		id := rig.arrive(0)
		rig.requests[id].attempts[0].worker = zone(1)[3]
		actions := rig.handle(rig.now, Event{Kind: AttemptStarted, Request: id, Worker: zone(1)[3].Name})
		if unreachableZones() != 0 || findAction(actions, Log).Text != "zone russeifa is reachable again" {
			t.Fatalf("a zone that was seen is still unreachable: %+v", actions)
		}
		for z := range 3 { // nothing is heard of any more: the trouble is ours
			refuseConnect(zone(z)[0])
			refuseConnect(zone(z)[1])
		}
		if unreachableZones() != 0 {
			t.Fatal("all zones are unreachable at once")
		}
		rig.markSeen(zone(0)[0])
		if unreachableZones() != 2 {
			t.Fatal("one zone is back, the other two are not unreachable")
		}
		entries[1].StartedAt = rig.now
		rig.handle(rig.now, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: entries[1:2]})
		if unreachableZones() != 1 {
			t.Fatal("a zone in which a worker started is still unreachable")
		}
		rig.now += rig.planningHorizon
		if rig.zoneUnreachable(zone(2)[3]) {
			t.Fatal("no trial is due after a horizon")
		}
		rig.markSeen(zone(0)[0])
		rig.startAttempt(&request{class: &rig.settings.Classes[0], slots: 1, work: 1}, zone(2)[0])
		if !rig.zoneUnreachable(zone(2)[3]) {
			t.Fatal("two trials at once")
		}
		// A request that runs there and may be repeated is hedged: silence shows after two seconds
		// only.
		request := &request{
			id:        rig.next,
			class:     &rig.settings.Classes[0],
			slots:     1,
			work:      1,
			cost:      1,
			objective: rig.now + 5*time.Second,
		}
		rig.startAttempt(request, zone(2)[3])
		rig.recordStart(request.class, &request.attempts[0])
		rig.now += 2 * rig.sweepInterval
		rig.superviseAttempt(request, &request.attempts[0])
		if len(request.attempts) != 2 {
			t.Fatalf("a request in an unreachable zone has %d attempts", len(request.attempts))
		}
	}
}
