package decision

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetSizes are a decade apart; the last is the size that the design must carry.
var fleetSizes = []int{200, 2100, 21000}

// largeFleetZones is over how many zones the workers of newLargeFleet are spread.
const largeFleetZones = 17

// newLargeFleet has a fleet over many zones, of which every warmingEvery-th worker has just started; 0: none.
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
	machine.bucket.ratePerWorker = 1e6 // no ceiling binds: what is measured is the pick
	return machine, list
}

// BenchmarkDelta is one worker that drains, or comes back, by a delta of its own.
func BenchmarkDelta(b *testing.B) {
	benchmarkDeltas(b, func(list []Endpoint, i int) Endpoint {
		entry := list[i%len(list)]
		if i%2 == 0 {
			entry.State = Draining
		}
		return entry
	})
}

// BenchmarkReplace is one worker that goes and one that comes, each by a delta of its own.
func BenchmarkReplace(b *testing.B) {
	benchmarkDeltas(b, func(list []Endpoint, i int) Endpoint {
		entry := list[i/2%len(list)]
		if i%2 == 0 {
			entry.State = Removed
		}
		return entry
	})
}

// benchmarkDeltas measures deltas of one entry each, at each size of the fleet.
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

// BenchmarkPick is an arrival that is placed and answered, with all workers warm and with a tenth of them
// in slow start.
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

// listsOf returns the lists in which each worker knows its position.
func listsOf(machine *Machine) map[listID][]*worker {
	return map[listID][]*worker{
		inFleet:     machine.fleet,
		inWarm:      machine.candidates.warm,
		inLocalWarm: machine.candidates.localWarm,
		inWarmingUp: machine.candidates.warmingUp,
	}
}

// A delta of one worker must take no work that goes with the fleet: it reads no other worker, but for the
// one that takes its position in a list, and allocates nothing. All others are nil here, and a walk over
// them would panic.
func TestDeltaReadsNoOtherWorker(t *testing.T) {
	const workers = 21000
	for _, index := range []int{1700, 1717} { // both in the own zone, the first one in slow start
		checkDeltaReadsNoOtherWorker(t, workers, index)
	}
}

// checkDeltaReadsNoOtherWorker changes the worker with that index, to each state.
func checkDeltaReadsNoOtherWorker(t *testing.T, workers, index int) {
	changed := fmt.Sprintf("w%d", index)
	for _, state := range []WorkerState{Running, Draining, Removed} {
		machine, list := newLargeFleet(t, workers, 10)
		worker := machine.workers[changed]
		if warming := index%10 == 0; (worker.positions[inWarmingUp] > 0) != warming ||
			(worker.positions[inLocalWarm] > 0) == warming {
			t.Fatalf("%s stands in the wrong lists: %v", changed, worker.positions)
		}
		for id, members := range listsOf(machine) {
			for i, other := range members[:len(members)-1] { // the last one takes the place
				if i != worker.positions[id]-1 {
					delete(machine.workers, other.Name)
					machine.workers["unknown "+other.Name] = nil
					members[i] = nil
				}
			}
		}
		endpoint := list[index]
		if endpoint.Name != changed {
			t.Fatalf("%s is changed", endpoint.Name)
		}
		endpoint.State = state
		machine.Handle(
			machine.now,
			Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{endpoint}},
			nil,
		)
		if gone := machine.workers[changed] == nil; gone != (state == Removed) {
			t.Errorf("state %v: gone: %v", state, gone)
		}
	}
}

// The same for a worker that comes, in allocations: what it is itself, however large the fleet.
func TestDeltaAllocatesByItsLength(t *testing.T) {
	allocated := map[int]float64{}
	for _, workers := range fleetSizes {
		machine, list := newLargeFleet(t, workers, 0)
		out := make([]Action, 0, 8)
		entries := make([]Endpoint, 1)
		i := 0
		allocated[workers] = testing.AllocsPerRun(500, func() {
			entries[0] = list[i/2%workers]
			if i%2 == 0 {
				entries[0].State = Removed
			}
			i++
			out = machine.Handle(
				machine.now,
				Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: entries},
				out[:0],
			)
		})
	}
	if allocated[21000] > allocated[200]+1 {
		t.Errorf("allocations of a delta by fleet size: %v", allocated)
	}
}

// What is kept incrementally must be what a recount gives, whatever the lists say: names that stand twice,
// restarts, workers that go and come, unknown ones that are gone, complete lists between deltas. Two
// machines with one seed do the same, the ring included.
func TestIncrementalCountsAgreeWithARecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		settings.CrossZoneCost = 0.05
		settings.CacheMissCost = 0.1
		settings.Classes = append(
			settings.Classes,
			Class{PriorityWeight: 1, Deadline: 5 * time.Second, Kinds: []int{1}, Zones: []int{0}},
		)
		a, errA := New(settings, 7)
		b, errB := New(settings, 7)
		if errA != nil || errB != nil {
			t.Fatal(errA, errB)
		}
		now := time.Hour
		names := rapid.IntRange(1, 60).Draw(t, "names")
		both := func(event Event) []Action {
			did := a.Handle(now, event, nil)
			if other := b.Handle(now, event, nil); !slices.Equal(did, other) {
				t.Fatalf("one seed, two ways: %v and %v", did, other)
			}
			return did
		}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			var entries []Endpoint
			for range rapid.IntRange(0, 8).Draw(t, "entries") {
				entries = append(entries, Endpoint{
					Name: fmt.Sprintf("w%d", rapid.IntRange(0, names-1).Draw(t, "worker")),
					Zone: rapid.IntRange(0, 2).Draw(t, "zone"), Kind: rapid.IntRange(0, 2).Draw(t, "kind"),
					State: rapid.SampledFrom([]WorkerState{Running, Running, Draining, Removed}).
						Draw(t, "state"),
					StartedAt: now - time.Duration(rapid.IntRange(0, 12000).Draw(t, "age"))*time.Millisecond,
				})
			}
			kind := rapid.SampledFrom([]ListKind{ListDelta, ListDelta, ListDelta, ListSnapshot}).
				Draw(t, "list")
			both(Event{Kind: ListUpdated, ListKind: kind, Endpoints: entries})
			if len(a.fleet) > 0 && rapid.Bool().Draw(t, "ejected") {
				i := rapid.IntRange(0, len(a.fleet)-1).Draw(t, "which")
				a.setFailureScore(a.fleet[i], 1, attemptsFail)
				b.setFailureScore(b.fleet[i], 1, attemptsFail)
				a.actions = nil
				b.actions = nil
			}
			if rapid.Bool().Draw(t, "arrival") {
				id := uint64(step + 1)
				did := both(
					Event{
						Kind:     RequestArrived,
						Request:  id,
						Slots:    1,
						Work:     10 * time.Millisecond,
						TimeLeft: 5 * time.Second,
						Key:      rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "key"),
					},
				)
				if assigned := findAction(did, Assign); assigned != nil && rapid.Bool().Draw(t, "answered") {
					both(
						Event{
							Kind:     AttemptEnded,
							Request:  id,
							Worker:   assigned.Worker,
							Outcome:  Completed,
							Answered: true,
						},
					)
				}
			}
			if rapid.Bool().Draw(t, "sweep") {
				both(Event{Kind: TimerFired, Timer: sweepTimer})
			}
			recount(t, a)
		}
	})
}

// recount checks all counts and lists of workers that are kept incrementally.
func recount(t *rapid.T, machine *Machine) {
	t.Helper()
	if len(machine.fleet) != len(machine.workers) {
		t.Fatalf("%d in the fleet, %d known", len(machine.fleet), len(machine.workers))
	}
	running := 0
	ejected := 0
	eligible := map[*Class]int{}
	for _, worker := range machine.fleet {
		if machine.workers[worker.Name] != worker || worker.State == Removed {
			t.Fatalf("in the fleet and not known, or gone: %+v", worker.Endpoint)
		}
		warming := worker.positions[inWarmingUp] > 0 // until the next sweep, though it may have warmed up
		local := !warming && worker.Zone == machine.settings.Zone
		if !warming && machine.capacityFraction(worker) < 1 ||
			warming == (worker.positions[inWarm] > 0) ||
			local != (worker.positions[inLocalWarm] > 0) {
			t.Fatalf("in the wrong lists: %+v, %v", worker.Endpoint, worker.positions)
		}
		if worker.State != Running {
			continue
		}
		running++
		if worker.ejected {
			ejected++
		}
		for i := range machine.settings.Classes {
			if class := &machine.settings.Classes[i]; class.mayRunOn(worker) {
				eligible[class]++
			}
		}
	}
	counts := machine.counts
	if counts.running != running || counts.ejected != ejected || !maps.Equal(counts.eligible, eligible) {
		t.Fatalf("%d run, %d of them ejected, open %v; counted %d, %d, %v",
			counts.running, counts.ejected, counts.eligible, running, ejected, eligible)
	}
	for id, members := range listsOf(machine) {
		for i, worker := range members {
			if worker.positions[id] != i+1 || machine.workers[worker.Name] != worker {
				t.Fatalf(
					"list %v: %s stands at %d and takes itself to be at %d",
					id,
					worker.Name,
					i,
					worker.positions[id]-1,
				)
			}
		}
	}
	machine.ring.update(machine.fleet)
	ring := machine.ring.sorted
	if len(ring) != len(machine.fleet) || !slices.IsSortedFunc(ring, compareByHash) {
		t.Fatalf(
			"%d on the ring, of %d; in order: %v",
			len(ring),
			len(machine.fleet),
			slices.IsSortedFunc(ring, compareByHash),
		)
	}
	for _, worker := range ring {
		if machine.workers[worker.Name] != worker {
			t.Fatalf("%s is on the ring and not known", worker.Name)
		}
	}
}

// A pick must draw a bounded number of workers in slow start, however many there are, and all of them in
// turn.
func TestDrawsInSlowStartAreBoundedAndFair(t *testing.T) {
	machine, _ := newLargeFleet(t, 21000, 1)
	drawn := map[*worker]int{}
	rounds := (len(machine.candidates.warmingUp) + maxWarmingUpDraws - 1) / maxWarmingUpDraws
	for range 3 * rounds {
		members := machine.candidates.nextWarmingUp()
		if len(members) == 0 || len(members) > maxWarmingUpDraws {
			t.Fatalf("%d workers in slow start are drawn for one pick", len(members))
		}
		for _, worker := range members {
			drawn[worker]++
		}
	}
	for _, worker := range machine.candidates.warmingUp {
		if drawn[worker] != 3 {
			t.Fatalf("%s was drawn %d times in three rounds", worker.Name, drawn[worker])
		}
	}
	before := slices.Clone(machine.candidates.warmingUp)
	machine.Handle(
		machine.now,
		Event{Kind: RequestArrived, Request: 1, Slots: 1, Work: time.Second, TimeLeft: 5 * time.Second},
		nil,
	)
	moved := 0
	for i, worker := range machine.candidates.warmingUp {
		if worker != before[i] {
			moved++
		}
	}
	if moved > 2*maxWarmingUpDraws {
		t.Fatalf("%d workers in slow start were moved for one pick", moved)
	}
}

// Every new worker must get requests before it has warmed up, where there is traffic enough: none is passed
// over since there are many of them.
func TestEveryWorkerGetsRequestsInSlowStart(t *testing.T) {
	const workers, perSecond = 2100, 2000
	settings := testSettings()
	machine, err := New(settings, 3)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	var list []Endpoint
	for i := range workers {
		list = append(list, Endpoint{Name: fmt.Sprintf("w%d", i)})
	}
	machine.Handle(now, Event{Kind: ListUpdated, ListKind: ListCached, Endpoints: list}, nil)
	const step = time.Second / perSecond
	id := uint64(0)
	served := map[string]int{}
	next := now
	arrivals := func(until time.Duration) {
		for ; now < until; now += step {
			if now >= next {
				next += machine.sweepInterval
				machine.Handle(now, Event{Kind: TimerFired, Timer: sweepTimer}, nil)
			}
			id++
			did := machine.Handle(
				now,
				Event{Kind: RequestArrived, Request: id, Slots: 1, Work: 50 * time.Millisecond,
					TimeLeft: 5 * time.Second},
				nil,
			)
			if action := findAction(did, Assign); action != nil {
				served[action.Worker]++
				machine.Handle(
					now,
					Event{
						Kind:     AttemptEnded,
						Request:  id,
						Worker:   action.Worker,
						Outcome:  Completed,
						Answered: true,
					},
					nil,
				)
			}
		}
	}
	arrivals(now + 3*time.Second)
	clear(served)
	start := now
	for i := 0; i < workers; i += 10 {
		machine.Handle(
			now,
			Event{
				Kind:      ListUpdated,
				ListKind:  ListDelta,
				Endpoints: []Endpoint{{Name: fmt.Sprintf("w%d", i), StartedAt: start}},
			},
			nil,
		)
	}
	arrivals(start + settings.SlowStartDuration)
	for i := 0; i < workers; i += 10 {
		if served[fmt.Sprintf("w%d", i)] == 0 {
			t.Errorf("w%d got no request in slow start", i)
		}
	}
}

// What warm workers take is computed over some sweeps where they are many: no sweep interval looks at more
// than scanWorkersPerSweep of them, and the rates come to what all of them take.
func TestWorkRatesOfALargeFleetAreScannedInParts(t *testing.T) {
	const workers = 21000
	machine, _ := newLargeFleet(t, workers, 10)
	machine.planningHorizon = 1000 * time.Hour // what was sent does not fade meanwhile
	take := func(seconds float64) (share float64) {
		for _, worker := range machine.fleet {
			worker.recentWork = decayingValue{seconds, machine.now}
		}
		return seconds / machine.planningHorizon.Seconds()
	}
	near := func(a, b float64) bool { return a > b*0.999 && a < b*1.001 }
	first := take(100)
	if got := machine.warmWorkRate(0); !near(got, first) {
		t.Fatalf("at first %v, not %v", got, first)
	}
	second := take(300)
	sweeps := 0
	for ; !near(machine.warmWorkRate(0), second); sweeps++ {
		if sweeps > 2*workers/scanWorkersPerSweep+2 {
			t.Fatalf("%v after %d sweeps, not %v", machine.warmWorkRate(0), sweeps, second)
		}
		if at := machine.workRates.scan.next; at%scanWorkersPerSweep != 0 || at > workers {
			t.Fatalf("%d workers were looked at after %d sweeps", at, sweeps)
		}
		machine.now += machine.sweepInterval
	}
	if sweeps < workers/scanWorkersPerSweep {
		t.Errorf("%d sweeps for %d workers, of which one looks at %d", sweeps, workers, scanWorkersPerSweep)
	}
	small, _ := newLargeFleet(t, scanWorkersPerSweep, 10)
	small.warmWorkRate(0)
	for _, worker := range small.fleet {
		worker.recentWork = decayingValue{100, small.now + small.sweepInterval}
	}
	small.now += small.sweepInterval
	if got, want := small.warmWorkRate(0), 100/small.planningHorizon.Seconds(); !near(got, want) {
		t.Errorf("a fleet that one sweep looks at whole has %v, not %v", got, want)
	}
}
