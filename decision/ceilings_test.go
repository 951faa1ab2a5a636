package decision

import (
	"math"
	"testing"
	"time"
)

// The initial ceilings of many dispatchers must not add up to many times what a worker can run.
func TestInitialCeilingsAreSharedByPeers(t *testing.T) {
	settings := testSettings()
	settings.Peers = 22
	rig := newRig(t, settings, 2)
	slots := rig.ceilings.concurrencyPerWorker
	if math.Abs(slots*22-initialSlotsPerWorker) > 1e-9 || rig.bucket.ratePerWorker != slots {
		t.Fatalf("22 dispatchers start with %v slots a worker each", slots)
	}
}

func TestCeilingRisesWithServedRequestsAndFallsWithLateOnes(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.ceilings.concurrencyPerWorker = 1.2
	before := rig.ceilings.concurrencyPerWorker
	a := rig.arrive(0)
	b := rig.arrive(0)
	rig.endAttempt(a, 0, Completed, time.Second)
	if rig.ceilings.concurrencyPerWorker <= before {
		t.Fatal("the ceiling did not rise for a request served at the ceiling")
	}
	before = rig.ceilings.concurrencyPerWorker
	rig.endAttempt(b, 0, Completed, 4*time.Second) // late
	if rig.ceilings.concurrencyPerWorker >= before {
		t.Fatal("the ceiling was not cut for a late response")
	}
	rig.ceilings.badRatio = 1
	before = rig.ceilings.concurrencyPerWorker
	rig.cutCeilings(&request{class: &rig.settings.Classes[0]}, rig.now)
	if rig.ceilings.concurrencyPerWorker != before {
		t.Fatal("the ceiling was cut twice within a mean latency")
	}
}

// Guards against a fault seen after a restart during overload: the dispatcher cut its ceilings to nothing
// before it had measured a latency.
func TestCeilingsAreNotCutBelowAQuarterOfTheirStart(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	for range 1000 {
		rig.now += time.Minute
		rig.bucket.tokens = 0 // so that its rate is cut as well
		rig.ceilings.badRatio = 1
		rig.cutCeilings(&request{class: &rig.settings.Classes[0]}, rig.now)
	}
	if rig.ceilings.concurrencyPerWorker != initialCeiling/4 || rig.bucket.ratePerWorker < initialCeiling/4 {
		t.Fatalf(
			"ceilings fell to %v and %v, want no less than a quarter of the initial value",
			rig.ceilings.concurrencyPerWorker,
			rig.bucket.ratePerWorker,
		)
	}
}

// If starts are reported, an attempt that has not started when its request will probably be late cuts the
// ceilings at once. If they were cut only when it ends, more work would be sent into the same overload
// meanwhile.
func TestLateUnstartedAttemptCutsCeilingsAtOnce(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	for _, started := range []bool{false, true} {
		rig := newRig(t, settings, 4)
		id := rig.arrive(0)
		request := rig.requests[id]
		if started {
			rig.reportStart(id)
		}
		rig.sweepAt(request.objective - seconds(request.work))
		if cut := rig.ceilings.concurrencyPerWorker < initialCeiling; cut == started {
			t.Fatalf("started %v, ceilings cut %v", started, cut)
		}
		before := rig.ceilings.badRatio
		rig.endAttempt(id, 0, Completed, 2*time.Second)
		if !started && rig.ceilings.badRatio != before {
			t.Fatal("a late request was counted twice")
		}
	}
}

// With a hundred dispatchers the ceiling of each is a slot or less. Two requests that happen to arrive
// together must not be held back while workers are idle.
func TestSmallCeilingsHaveHeadroom(t *testing.T) {
	settings := testSettings()
	settings.Peers = 100
	rig := newRig(t, settings, 4)
	rig.bucket.ratePerWorker = 1
	ceiling := rig.ceilings.concurrencyPerWorker * rig.readyWorkers()
	if ceiling >= 1 || rig.send(0) == "" || rig.send(0) == "" {
		t.Fatalf("a second request was held back at a ceiling of %v slots", ceiling)
	}
}

// A token bucket that limits nothing keeps its rate. If its rate were cut then, prices would later reject
// requests needlessly.
func TestBucketThatDoesNotBindIsNotCut(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(0)
	rig.ceilings.badRatio = 1
	rig.endAttempt(id, 0, Completed, 4*time.Second)
	if rig.bucket.ratePerWorker != initialCeiling || rig.ceilings.concurrencyPerWorker >= initialCeiling {
		t.Fatalf("rate %v, slots %v", rig.bucket.ratePerWorker, rig.ceilings.concurrencyPerWorker)
	}
}

func TestBucketThatBindsIsCut(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(0)
	rig.bucket.tokens = 0
	rig.ceilings.badRatio = 1
	rig.endAttempt(id, 0, Completed, 4*time.Second)
	if rig.bucket.ratePerWorker >= initialCeiling {
		t.Fatal("the rate of a bucket that limits what is sent was not cut")
	}
}

// Late responses to requests that were sent before a cut may arrive long after it. They say nothing about the
// ceiling after the cut and must not cut it to the floor.
func TestAnswersSentBeforeACutDoNotCutAgain(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	var ids []uint64
	for range 6 {
		ids = append(ids, rig.arrive(0))
	}
	rig.endAttempt(ids[0], 0, Completed, 4*time.Second)
	after := rig.ceilings.concurrencyPerWorker
	for _, id := range ids[1:] {
		rig.estimates.meanLatency = 0.001
		rig.endAttempt(id, 0, Completed, 100*time.Millisecond)
	}
	last := rig.ceilings.concurrencyPerWorker
	if after >= initialCeiling || last != after {
		t.Fatalf("ceiling %v after the first late response, %v after the others", after, last)
	}
}

// Requests that only the full workers of one kind can run cut the ceilings by that kind's share of the
// fleet.
func TestFailuresAtOneKindCutByItsShare(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Kinds = []int{7}
	rig := newRig(t, settings, 10)
	rig.updateList(Endpoint{Name: "w0", Kind: 7})
	cut := func(class int) float64 {
		rig.now += time.Minute
		before := rig.ceilings.concurrencyPerWorker
		rig.ceilings.badRatio = 0.5
		rig.cutCeilings(&request{class: &rig.settings.Classes[class]}, rig.now)
		return 1 - rig.ceilings.concurrencyPerWorker/before
	}
	all := cut(0)
	one := cut(1)
	if one <= 0 || one > all/9 {
		t.Fatalf("failures of a class for one of ten workers cut %v, those of a class for all %v", one, all)
	}
}

// A request's first rejection or failure counts against that worker only: the request goes to another
// worker, and no ceiling is cut.
func TestFirstFailureCutsNoCeiling(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(0)
	first := rig.assignedTo(id)
	rig.endAttempt(id, 0, Saturated, time.Millisecond)
	ceiling := rig.ceilings.concurrencyPerWorker
	if ceiling != initialCeiling || rig.assignedTo(id) == first {
		t.Fatalf("ceiling %v, sent again to %v", ceiling, rig.assignedTo(id))
	}
	rig.endAttempt(id, 1, Saturated, time.Millisecond)
	if rig.ceilings.concurrencyPerWorker >= initialCeiling || rig.ceilings.badRatio == 0 {
		t.Fatal("a request's second failure did not cut the ceiling")
	}
}
