package decision

import (
	"math"
	"testing"
	"time"
)

// Many dispatchers must not start with ceilings that add up to many times what a worker holds.
func TestInitialCeilingsAreSharedByPeers(t *testing.T) {
	settings := testSettings()
	settings.Peers = 22
	if rig := newRig(t, settings, 2); math.Abs(rig.concurrencyPerWorker*22-initialSlotsPerWorker) > 1e-9 ||
		rig.workRatePerWorker != rig.concurrencyPerWorker {
		t.Fatalf("22 dispatchers start with %v slots a worker each", rig.concurrencyPerWorker)
	}
}

func TestCeilingsLearn(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	rig.concurrencyPerWorker = 1.2
	before := rig.concurrencyPerWorker
	a := rig.arrive(0)
	b := rig.arrive(0)
	rig.endAttempt(a, 0, Completed, time.Second)
	if rig.concurrencyPerWorker <= before {
		t.Fatal("no step up for a request served at the ceiling")
	}
	before = rig.concurrencyPerWorker
	rig.endAttempt(b, 0, Completed, 4*time.Second) // late
	if rig.concurrencyPerWorker >= before {
		t.Fatal("no cut for a late answer")
	}
	rig.badRatio = 1
	before = rig.concurrencyPerWorker
	rig.cutCeilings(&request{class: &rig.settings.Classes[0]}, rig.now)
	if rig.concurrencyPerWorker != before {
		t.Fatal("two cuts within a round trip")
	}
	for range 1000 {
		rig.now += time.Minute
		rig.badRatio = 1
		rig.cutCeilings(&request{class: &rig.settings.Classes[0]}, rig.now)
	}
	// A dispatcher that restarted amid overload once cut itself to nothing before it knew a round trip
	// (i1d0b2b).
	if rig.concurrencyPerWorker != initialCeiling/4 || rig.workRatePerWorker < initialCeiling/4 {
		t.Fatalf(
			"ceilings fell to %v and %v, below a quarter of where they start",
			rig.concurrencyPerWorker,
			rig.workRatePerWorker,
		)
	}
}

// Where starts are reported, an attempt that has not started when it can hardly be in time is known to be
// late. Its end would tell much later, while more work is sent into the same overload.
func TestLateUnstartedAttemptCutsCeilingsAtOnce(t *testing.T) {
	settings := testSettings()
	settings.StartNotices = true
	for _, started := range []bool{false, true} {
		rig := newRig(t, settings, 4)
		id := rig.arrive(0)
		request := rig.requests[id]
		if started {
			rig.handle(rig.now, Event{Kind: AttemptStarted, Request: id, Worker: rig.assignedTo(id)})
		}
		rig.handle(request.objective-seconds(request.work), Event{Kind: TimerFired, Timer: sweepTimer})
		if cut := rig.concurrencyPerWorker < initialCeiling; cut == started {
			t.Fatalf("started %v, cut %v", started, cut)
		}
		before := rig.badRatio
		rig.endAttempt(id, 0, Completed, 2*time.Second)
		if !started && rig.badRatio != before {
			t.Fatal("a late request was counted twice")
		}
	}
}

// With a hundred dispatchers the ceiling of each is a slot or less; two requests that come together by
// chance must not be held back beside idle workers.
func TestSmallCeilingsHaveHeadroom(t *testing.T) {
	settings := testSettings()
	settings.Peers = 100
	rig := newRig(t, settings, 4)
	rig.workRatePerWorker = 1
	if rig.concurrencyPerWorker*rig.readyWorkers() >= 1 || rig.send(0) == "" || rig.send(0) == "" {
		t.Fatalf(
			"a second request was held back at a ceiling of %v slots",
			rig.concurrencyPerWorker*rig.readyWorkers(),
		)
	}
}

// A token bucket that does not bind keeps its rate: cut while unused, it would price work away later.
func TestBucketThatDoesNotBindIsNotCut(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(0)
	rig.badRatio = 1
	rig.endAttempt(id, 0, Completed, 4*time.Second)
	if rig.workRatePerWorker != initialCeiling || rig.concurrencyPerWorker >= initialCeiling {
		t.Fatalf("rate %v, slots %v", rig.workRatePerWorker, rig.concurrencyPerWorker)
	}
	rig = newRig(t, testSettings(), 4)
	id = rig.arrive(0)
	rig.bucketTokens = 0
	rig.badRatio = 1
	rig.endAttempt(id, 0, Completed, 4*time.Second)
	if rig.workRatePerWorker >= initialCeiling {
		t.Fatal("a bucket that binds is not cut")
	}
}

// Late answers of requests sent before a cut come in for a long time after a slow spell. They tell nothing
// of the ceiling after the cut and must not cut it to the floor.
func TestAnswersSentBeforeACutDoNotCutAgain(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	var ids []uint64
	for range 6 {
		ids = append(ids, rig.arrive(0))
	}
	rig.endAttempt(ids[0], 0, Completed, 4*time.Second)
	after := rig.concurrencyPerWorker
	for _, id := range ids[1:] {
		rig.meanLatency = 0.001
		rig.endAttempt(id, 0, Completed, 100*time.Millisecond)
	}
	if after >= initialCeiling || rig.concurrencyPerWorker != after {
		t.Fatalf(
			"ceiling %v after the first late answer, %v after the others",
			after,
			rig.concurrencyPerWorker,
		)
	}
}

// Requests that only the full workers of one kind can run cut the ceilings by that kind's share of the
// fleet.
func TestFailuresAtOneKindCutByItsShare(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Kinds = []int{7}
	rig := newRig(t, settings, 10)
	rig.handle(
		rig.now,
		Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: []Endpoint{{Name: "w0", Kind: 7}}},
	)
	cut := func(class int) float64 {
		rig.now += time.Minute
		before := rig.concurrencyPerWorker
		rig.badRatio = 0.5
		rig.cutCeilings(&request{class: &rig.settings.Classes[class]}, rig.now)
		return 1 - rig.concurrencyPerWorker/before
	}
	all := cut(0)
	one := cut(1)
	if one <= 0 || one > all/9 {
		t.Fatalf("failures at one of ten workers cut %v, those at any %v", one, all)
	}
}

// A first saturation or failure is about that worker: the request goes elsewhere and no ceiling is cut.
func TestFirstFailureCutsNoCeiling(t *testing.T) {
	rig := newRig(t, testSettings(), 4)
	id := rig.arrive(0)
	first := rig.assignedTo(id)
	rig.endAttempt(id, 0, Saturated, time.Millisecond)
	if rig.concurrencyPerWorker != initialCeiling || rig.assignedTo(id) == first {
		t.Fatalf("ceiling %v, sent again to %v", rig.concurrencyPerWorker, rig.assignedTo(id))
	}
	rig.endAttempt(id, 1, Saturated, time.Millisecond)
	if rig.concurrencyPerWorker >= initialCeiling || rig.badRatio == 0 {
		t.Fatal("a second failure is about the fleet")
	}
}
