package decision

import (
	"fmt"
	"testing"
	"time"
)

// fleetSizes grow by about a factor of ten; the last is the largest size that the design must support.
var fleetSizes = []int{200, 2100, 21000}

// largeFleetZones is the number of zones over which newLargeFleet spreads the workers.
const largeFleetZones = 17

// newLargeFleet returns a machine with that many workers in many zones, and its endpoint list. Every
// warmingEvery-th worker has just started; if warmingEvery is 0, none has.
func newLargeFleet(t testing.TB, workers, warmingEvery int) (*Machine, []Endpoint) {
	t.Helper()
	settings := testSettings()
	settings.Peers = 300
	settings.CrossZoneCost = 0.05
	settings.StartNotices = true
	settings.Classes = append(
		settings.Classes,
		Class{PriorityWeight: 1, Deadline: 5 * time.Second, Kinds: []int{1}},
	)
	machine, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	const start = time.Hour
	list := make([]Endpoint, workers)
	for i := range list {
		list[i] = Endpoint{
			Name:  fmt.Sprintf("w%d", i),
			Zone:  i % largeFleetZones,
			Kind:  i % 3,
			Cell:  i % 1000,
			State: Running,
		}
		if warmingEvery > 0 && i%warmingEvery == 0 {
			list[i].StartedAt = start
		}
	}
	machine.Handle(start, Event{Kind: ListUpdated, ListKind: ListCached, Endpoints: list}, nil)
	machine.ceilings.concurrencyPerWorker = 1e6
	machine.bucket.ratePerWorker = 1e6 // no ceiling limits what is sent, so that only the pick is measured
	return machine, list
}

// BenchmarkDelta measures deltas in which one worker begins to drain or returns to service.
func BenchmarkDelta(b *testing.B) {
	benchmarkDeltas(b, func(list []Endpoint, i int) Endpoint {
		entry := list[i%len(list)]
		if i%2 == 0 {
			entry.State = Draining
		}
		return entry
	})
}

// BenchmarkReplace measures deltas in which one worker is removed or added.
func BenchmarkReplace(b *testing.B) {
	benchmarkDeltas(b, func(list []Endpoint, i int) Endpoint {
		entry := list[i/2%len(list)]
		if i%2 == 0 {
			entry.State = Removed
		}
		return entry
	})
}

// benchmarkDeltas measures deltas of one entry each, for each fleet size.
func benchmarkDeltas(b *testing.B, entry func(list []Endpoint, i int) Endpoint) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			machine, list := newLargeFleet(b, workers, 0)
			var out []Action
			entries := make([]Endpoint, 1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				entries[0] = entry(list, i)
				out = machine.Handle(
					machine.now,
					Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: entries},
					out[:0],
				)
			}
		})
	}
}

// BenchmarkPick measures an arrival that is assigned and answered, with all workers warm and with a tenth of
// them in slow start.
func BenchmarkPick(b *testing.B) {
	for _, warmingEvery := range []int{0, 10} {
		for _, workers := range fleetSizes {
			b.Run(fmt.Sprintf("%d/warming-every-%d", workers, warmingEvery), func(b *testing.B) {
				machine, _ := newLargeFleet(b, workers, warmingEvery)
				var out []Action
				now := machine.now
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now += time.Microsecond // workers in slow start stay there
					if i%1000 == 0 {
						out = machine.Handle(now, Event{Kind: TimerFired, Timer: sweepTimer}, out[:0])
					}
					id := uint64(i + 1)
					out = machine.Handle(
						now,
						Event{Kind: RequestArrived, Request: id, Slots: 1, Work: 10 * time.Millisecond,
							TimeLeft: 5 * time.Second},
						out[:0],
					)
					if action := findAction(out, Assign); action != nil {
						out = machine.Handle(
							now,
							Event{Kind: AttemptEnded, Request: id, Worker: action.Worker, Outcome: Completed,
								Answered: true},
							out[:0],
						)
					}
				}
			})
		}
	}
}
