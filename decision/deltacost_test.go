package decision

import (
	"fmt"
	"testing"
)

// The cost of a delta of one worker must not grow with the fleet: it reads no other worker, except for the
// one that takes its position in a list. The test sets all others to nil, so that a loop over them would
// panic.
func TestDeltaReadsNoOtherWorker(t *testing.T) {
	const workers = 21000
	for _, index := range []int{1700, 1717} { // both in the dispatcher's zone, the first one in slow start
		checkDeltaReadsNoOtherWorker(t, workers, index)
	}
}

// checkDeltaReadsNoOtherWorker applies a delta for the worker with that index, once with each state.
func checkDeltaReadsNoOtherWorker(t *testing.T, workers, index int) {
	changed := fmt.Sprintf("w%d", index)
	for _, state := range []WorkerState{Running, Draining, Removed} {
		machine, list := newLargeFleet(t, workers, 10)
		worker := machine.workers[changed]
		if warming := index%10 == 0; (worker.positions[inWarmingUp] > 0) != warming ||
			(worker.positions[inLocalWarm] > 0) == warming {
			t.Fatalf("%s is in the wrong lists: %v", changed, worker.positions)
		}
		for id, members := range listsOf(machine) {
			for i, other := range members[:len(members)-1] { // the last one moves to the free position
				if i != worker.positions[id]-1 {
					delete(machine.workers, other.Name)
					machine.workers["unknown "+other.Name] = nil
					members[i] = nil
				}
			}
		}
		endpoint := list[index]
		if endpoint.Name != changed {
			t.Fatalf("the list has %s at the index of the changed worker", endpoint.Name)
		}
		endpoint.State = state
		machine.Handle(
			machine.now,
			Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{endpoint}},
			nil,
		)
		if gone := machine.workers[changed] == nil; gone != (state == Removed) {
			t.Errorf("state %v: removed %v", state, gone)
		}
	}
}

// The allocations for a worker that is removed and added again must not grow with the fleet.
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
