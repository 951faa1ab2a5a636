package decision

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestPickTakesTheLowerExpectedDelay(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.fleet[0].runTimeRatio = 2
	rig.fleet[1].runTimeRatio = 0.5
	rig.ceilings.concurrencyPerWorker = 100
	for range 3 {
		if rig.send(0) != "w1" {
			t.Fatal("the slower of two idle workers was chosen")
		}
	}
	rig.fleet[1].outstanding = 10
	if rig.send(0) != "w0" {
		t.Fatal("outstanding slots do not count")
	}
}

// With CrossZoneCost, the dispatcher's own zone is preferred unless its expected delay is longer by more than
// the bias.
func TestOwnZoneIsPreferredWithinItsBias(t *testing.T) {
	settings := testSettings()
	settings.CrossZoneCost = 0.05
	rig := newRig(t, settings, 2)
	rig.updateList(Endpoint{Name: "w1", Zone: 1})
	rig.fleet[0].runTimeRatio = 1
	rig.fleet[1].runTimeRatio = 0.9
	if rig.send(0) != "w0" {
		t.Fatal("sent to another zone for a small gain")
	}
	rig.fleet[0].outstanding = 5
	if rig.send(0) != "w1" {
		t.Fatal("sent to the own zone though the delay there is long")
	}
}

// Confidence in the report of a worker decays: a worker without a recent report counts as loaded like the
// mean. Otherwise workers without reports would look idle and get a third of all requests, which would wait
// there.
func TestConfidenceInReportsDecays(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	for _, test := range []struct {
		name     string
		meanWait float64
		others   float64
		age      time.Duration // of the report of w0
		want     string
	}{
		{"idle by a fresh report, beside an unknown one", 0.3, 0, 0, "w0"},
		{"two requests by a fresh report, beside an unknown one where waits are short", 0.01, 2, 0, "w1"},
		{"five requests by a report of a minute ago, beside an unknown one", 0.3, 5, time.Minute, ""},
	} {
		got := map[string]int{}
		for seed := range uint64(20) {
			rig := newSeededRig(t, settings, 2, seed+1)
			rig.estimates.meanStartWait = test.meanWait
			rig.fleet[0].load.setOthersOutstanding(test.others, rig.now-test.age)
			got[rig.send(0)]++
		}
		if test.want != "" && got[test.want] != 20 || test.want == "" && (got["w0"] < 3 || got["w1"] < 3) {
			t.Errorf("%s: %v", test.name, got)
		}
	}
	rig := newRig(t, settings, 2)
	id := rig.arrive(0)
	rig.handle(rig.now+time.Second, Event{Kind: AttemptStarted, Request: id, Worker: rig.assignedTo(id)})
	got := rig.estimates.meanStartWait
	if want := 2.0 / minPricedRequests; math.Abs(got-want) > 1e-9 {
		t.Errorf("after a first wait of a second the mean is %v, want %v", got, want)
	}
}

// The cost of a pick must not grow with the fleet.
func TestPickDrawsAreBounded(t *testing.T) {
	rig := newRig(t, testSettings(), 300)
	rig.setCeilings(100, 1e6)
	for _, worker := range rig.fleet {
		worker.saturatedUntil = rig.now + time.Hour
	}
	rig.arrive(0)
	warm := rig.candidates.warm
	before := slices.Clone(warm)
	moved := 0
	rig.pickFrom(rig.queue.waiting[0], warm, inWarm)
	for i, worker := range warm {
		if worker != before[i] {
			moved++
		}
	}
	if moved > 2*maxWarmDraws {
		t.Fatalf("%d workers were moved for one pick", moved)
	}
}

// A dispatcher with few requests that spread them over a large fleet would have no recent reports of any
// worker, and would open a connection for each request. It sends them to its subset, unless the subset cannot
// take them.
func TestFewRequestsKeepToTheSubset(t *testing.T) {
	rig := newRig(t, testSettings(), 200)
	used := map[string]bool{}
	for range 100 {
		id := rig.arrive(0)
		used[rig.assignedTo(id)] = true
		rig.endAttempt(id, 0, Completed, 10*time.Millisecond)
	}
	if len(used) > 2*minSubsetSize {
		t.Fatalf("100 requests, one at a time, went to %d workers", len(used))
	}
	subset := rig.candidates.warm[:rig.candidates.subsetSize]
	for _, worker := range subset {
		worker.saturatedUntil = rig.now + time.Hour
	}
	if w := rig.send(0); w == "" || used[w] {
		t.Fatalf("with its subset full, a request went to %q", w)
	}
	before := slices.Clone(rig.candidates.warm)
	rig.updateList(Endpoint{Name: "new"})
	moved := 0
	for i, worker := range before {
		if rig.candidates.warm[i] != worker {
			moved++
		}
	}
	if moved > 1 {
		t.Fatalf("one new worker moved %d others in the list", moved)
	}
}

// The subsets of dispatchers must differ: if all had the same subset, its few workers would be overloaded.
func TestSubsetsDiffer(t *testing.T) {
	var heads []string
	for seed := range uint64(8) {
		rig := newSeededRig(t, testSettings(), 100, seed)
		heads = append(heads, rig.candidates.warm[0].Name)
	}
	slices.Sort(heads)
	if len(slices.Compact(heads)) < 5 {
		t.Fatalf("8 dispatchers draw these workers first, want at least 5 different ones: %v", heads)
	}
}

// The cost of a request, counted in allocations, must not grow from a fleet of a hundred workers to one of
// several thousand.
func TestWorkPerRequestDoesNotGrowWithTheFleet(t *testing.T) {
	counts := map[int]float64{}
	for _, workers := range []int{100, 1000, 8000} {
		rig := newRig(t, testSettings(), workers)
		out := make([]Action, 0, 64)
		id := uint64(1000)
		counts[workers] = testing.AllocsPerRun(200, func() {
			id++
			out = rig.Handle(
				rig.now,
				Event{
					Kind:     RequestArrived,
					Request:  id,
					Slots:    1,
					Work:     time.Millisecond,
					TimeLeft: time.Second,
				},
				out[:0],
			)
			w := rig.assignedTo(id)
			out = rig.Handle(
				rig.now+time.Millisecond,
				Event{Kind: AttemptEnded, Request: id, Worker: w, Answered: true},
				out[:0],
			)
		})
	}
	if counts[8000] > counts[100]+2 {
		t.Fatalf("allocations for a request by fleet size: %v", counts)
	}
}
