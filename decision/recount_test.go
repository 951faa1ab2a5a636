package decision

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The counts and lists of workers that are kept incrementally must agree with a recount for any sequence of
// endpoint lists: names listed twice, restarts, workers removed and added again, removals of unknown workers,
// complete lists between deltas. Two machines with the same seed must return the same actions.
func TestIncrementalCountsAgreeWithARecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pair := newMachinePair(t)
		names := rapid.IntRange(1, 60).Draw(t, "names")
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			pair.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			pair.changeList(names)
			if len(pair.a.fleet) > 0 && rapid.Bool().Draw(t, "ejected") {
				pair.ejectOne()
			}
			if rapid.Bool().Draw(t, "arrival") {
				pair.arrive(uint64(step + 1))
			}
			if rapid.Bool().Draw(t, "sweep") {
				pair.handle(Event{Kind: TimerFired, Timer: sweepTimer})
			}
			recount(t, pair.a)
		}
	})
}

// machinePair is two machines with the same seed, which are fed the same events.
type machinePair struct {
	t    *rapid.T
	a, b *Machine
	now  time.Duration
}

func newMachinePair(t *rapid.T) *machinePair {
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
	return &machinePair{t: t, a: a, b: b, now: time.Hour}
}

// handle feeds an event to both machines and fails unless they return the same actions.
func (p *machinePair) handle(event Event) []Action {
	actions := p.a.Handle(p.now, event, nil)
	if other := p.b.Handle(p.now, event, nil); !slices.Equal(actions, other) {
		p.t.Fatalf("different actions with the same seed: %v and %v", actions, other)
	}
	return actions
}

// changeList delivers a list, complete or a delta, with some of the names.
func (p *machinePair) changeList(names int) {
	t := p.t
	var entries []Endpoint
	for range rapid.IntRange(0, 8).Draw(t, "entries") {
		entries = append(entries, Endpoint{
			Name: fmt.Sprintf("w%d", rapid.IntRange(0, names-1).Draw(t, "worker")),
			Zone: rapid.IntRange(0, 2).Draw(t, "zone"),
			Kind: rapid.IntRange(0, 2).Draw(t, "kind"),
			State: rapid.SampledFrom([]WorkerState{Running, Running, Draining, Removed}).
				Draw(t, "state"),
			StartedAt: p.now - time.Duration(rapid.IntRange(0, 12000).Draw(t, "age"))*time.Millisecond,
		})
	}
	kinds := []ListKind{ListDelta, ListDelta, ListDelta, ListSnapshot}
	kind := rapid.SampledFrom(kinds).Draw(t, "list")
	p.handle(Event{Kind: ListUpdated, ListKind: kind, Endpoints: entries})
}

// ejectOne ejects a worker.
func (p *machinePair) ejectOne() {
	i := rapid.IntRange(0, len(p.a.fleet)-1).Draw(p.t, "ejected worker")
	for _, machine := range []*Machine{p.a, p.b} {
		machine.setFailureScore(machine.fleet[i], 1, reasonAttemptsFail)
		machine.actions = nil
	}
}

// arrive delivers a request, whose attempt may be completed at once.
func (p *machinePair) arrive(id uint64) {
	actions := p.handle(Event{
		Kind:     RequestArrived,
		Request:  id,
		Slots:    1,
		Work:     10 * time.Millisecond,
		TimeLeft: 5 * time.Second,
		Key:      rapid.SampledFrom([]string{"", "a", "b"}).Draw(p.t, "key"),
	})
	assigned := findAction(actions, Assign)
	if assigned == nil || !rapid.Bool().Draw(p.t, "completed") {
		return
	}
	p.handle(Event{
		Kind:     AttemptEnded,
		Request:  id,
		Worker:   assigned.Worker,
		Outcome:  Completed,
		Answered: true,
	})
}

// recount checks all counts and lists of workers that are kept incrementally.
func recount(t *rapid.T, machine *Machine) {
	t.Helper()
	recountFleet(t, machine)
	checkListPositions(t, machine)
	checkRing(t, machine)
}

// recountFleet checks the counts, and that each worker is in the lists where it belongs.
func recountFleet(t *rapid.T, machine *Machine) {
	t.Helper()
	if len(machine.fleet) != len(machine.workers) {
		t.Fatalf("%d workers in the fleet, %d by name", len(machine.fleet), len(machine.workers))
	}
	want := workerCounts{eligible: map[*Class]int{}}
	for _, worker := range machine.fleet {
		if machine.workers[worker.Name] != worker || worker.State == Removed {
			t.Fatalf("in the fleet, but not found by name, or removed: %+v", worker.Endpoint)
		}
		checkCandidateLists(t, machine, worker)
		if worker.State != Running {
			continue
		}
		want.running++
		if worker.ejected {
			want.ejected++
		}
		for i := range machine.settings.Classes {
			if class := &machine.settings.Classes[i]; class.mayRunOn(worker) {
				want.eligible[class]++
			}
		}
	}
	got := machine.counts
	if got.running != want.running || got.ejected != want.ejected ||
		!maps.Equal(got.eligible, want.eligible) {
		t.Fatalf("counts %+v, want %+v", got, want)
	}
}

// checkCandidateLists checks that a worker is in the candidate lists where it belongs. A worker that has
// warmed up may still be in the list of those in slow start, which it leaves only with the next sweep.
func checkCandidateLists(t *rapid.T, machine *Machine, worker *worker) {
	t.Helper()
	warming := worker.positions[inWarmingUp] > 0
	local := !warming && worker.Zone == machine.settings.Zone
	if !warming && machine.capacityFraction(worker) < 1 ||
		warming == (worker.positions[inWarm] > 0) ||
		local != (worker.positions[inLocalWarm] > 0) {
		t.Fatalf("in the wrong lists: %+v, %v", worker.Endpoint, worker.positions)
	}
}

// checkListPositions checks that each worker's stored position in a list is its actual position.
func checkListPositions(t *rapid.T, machine *Machine) {
	t.Helper()
	for id, members := range listsOf(machine) {
		for i, worker := range members {
			if worker.positions[id] != i+1 || machine.workers[worker.Name] != worker {
				t.Fatalf("list %v: %s is at position %d, but its stored position is %d",
					id, worker.Name, i, worker.positions[id]-1)
			}
		}
	}
}

// checkRing checks that the ring holds the fleet, in its order.
func checkRing(t *rapid.T, machine *Machine) {
	t.Helper()
	machine.ring.update(machine.fleet)
	ring := machine.ring.sorted
	sorted := slices.IsSortedFunc(ring, compareByHash)
	if len(ring) != len(machine.fleet) || !sorted {
		t.Fatalf("%d workers on the ring, want %d; sorted: %v", len(ring), len(machine.fleet), sorted)
	}
	for _, worker := range ring {
		if machine.workers[worker.Name] != worker {
			t.Fatalf("%s is on the ring, but not found by name", worker.Name)
		}
	}
}

// listsOf returns the lists whose positions the workers store.
func listsOf(machine *Machine) map[listID][]*worker {
	return map[listID][]*worker{
		inFleet:     machine.fleet,
		inWarm:      machine.candidates.warm,
		inLocalWarm: machine.candidates.localWarm,
		inWarmingUp: machine.candidates.warmingUp,
	}
}
