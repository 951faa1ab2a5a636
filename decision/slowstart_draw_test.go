package decision

import (
	"slices"
	"testing"
	"time"
)

// After most of the fleet was replaced, most workers are in slow start, and few of them have budget for a
// request. To pick a worker, all of those in slow start must be drawn, while the number of warm workers drawn
// stays bounded.
func TestAllWorkersInSlowStartAreDrawn(t *testing.T) {
	settings := testSettings()
	settings.Peers = 300
	for seed := range uint64(10) {
		rig := newSeededRig(t, settings, 4*maxWarmDraws, seed)
		for _, worker := range rig.fleet[1:] { // the first stays warm: budgets derive from its work
			worker.StartedAt = rig.now
			worker.budget = slowStartBudget{balance: -1, updatedAt: rig.now}
			worker.recentWork.add(rig.now, rig.planningHorizon, 0)
			rig.candidates.warmingUp = append(rig.candidates.warmingUp, worker)
		}
		rig.fleet[0].recentWork.add(rig.now, rig.planningHorizon, 100)
		rig.workRates.scannedAt = 0
		withBudget := rig.fleet[len(rig.fleet)-1]
		withBudget.budget.balance = 100
		request := &request{
			class:         &rig.settings.Classes[0],
			slots:         1,
			work:          1,
			classMeanWork: 1,
			cost:          1,
			objective:     rig.now + time.Minute,
		}
		warmingUp := rig.candidates.warmingUp
		if worker := rig.pickFrom(request, warmingUp, inWarmingUp); worker != withBudget {
			t.Fatalf("seed %d: of %d workers in slow start, the only one with budget is not picked, but %v",
				seed, len(warmingUp), worker)
		}
		warm := rig.candidates.warm
		for _, worker := range warm {
			worker.saturatedUntil = rig.now + time.Second
		}
		first := slices.Clone(warm)
		for _, worker := range rig.fleet[1:] {
			worker.StartedAt = 0
		}
		rig.pickFrom(request, warm, inWarm)
		moved := 0
		for i := maxWarmDraws; i < len(first); i++ {
			if warm[i] != first[i] {
				moved++
			}
		}
		if moved > maxWarmDraws {
			t.Fatalf("%d warm workers beyond maxWarmDraws were moved though none could be picked", moved)
		}
	}
}

// The first worker in slow start that can take a request gets it: it may have won a random draw for its
// budget, which would be wasted if the pick went on to other workers.
func TestWorkerThatWinsItsDrawIsPicked(t *testing.T) {
	for seed := range uint64(20) {
		rig := newSeededRig(t, testSettings(), 6, seed+1)
		for i, worker := range rig.fleet {
			worker.StartedAt = rig.now
			worker.budget = slowStartBudget{balance: 0.06, updatedAt: rig.now}
			worker.outstanding = float64(i)
			worker.recentWork.add(rig.now, rig.planningHorizon, 0)
		}
		rig.candidates.warmingUp = append(rig.candidates.warmingUp[:0], rig.fleet...)
		rig.workRates.byKind = map[int]float64{0: 0.1}
		rig.workRates.scannedAt = rig.now
		request := &request{
			class:         &rig.settings.Classes[0],
			slots:         1,
			work:          0.05,
			cost:          0.05,
			classMeanWork: 0.05,
			objective:     rig.now + time.Second,
		}
		warmingUp := rig.candidates.warmingUp
		if picked := rig.pickFrom(request, warmingUp, inWarmingUp); picked != warmingUp[0] {
			t.Fatalf("seed %d: the first worker with budget was not picked", seed)
		}
	}
}

// With many dispatchers, a request costs more than a window allowance and needs a random draw each time. If
// every dispatcher with a positive balance could overdraw its budget by such a request, the worker would be
// overloaded.
func TestLargeRequestsInSlowStartNeedADraw(t *testing.T) {
	settings := testSettings()
	settings.Peers = 100
	rig := newRig(t, settings, 2)
	worker := rig.fleet[0]
	for _, each := range rig.fleet {
		each.recentWork.add(rig.now, rig.planningHorizon, 0.04*rig.planningHorizon.Seconds())
	}
	request := &request{class: &rig.settings.Classes[0], slots: 1, work: 0.5, cost: 0.5, classMeanWork: 0.5}
	worker.StartedAt = rig.now - rig.settings.SlowStartDuration/2
	rig.workRates.scannedAt = 0
	taken := 0
	const tries = 1000
	for range tries {
		worker.budget = slowStartBudget{balance: 0.01, updatedAt: rig.now}
		if rig.withinSlowStartBudget(request, worker) {
			taken++
		} else if worker.budget.balance != 0 {
			t.Fatal("a failed draw did not spend the balance")
		}
	}
	if taken == 0 || taken > 2*tries*0.01/0.5 {
		t.Fatalf("%d of %d requests taken, the budget is enough for 20", taken, tries)
	}
}

// With few dispatchers, a window allowance is larger than the cost of a request, and requests go to a worker
// in slow start at an even rate. If each needed a random draw, requests of several dispatchers would
// coincide.
func TestSlowStartPaceIsEven(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	worker := rig.fleet[0]
	warm := rig.fleet[1]
	request := &request{class: &rig.settings.Classes[0], slots: 1, work: 1, cost: 1}
	worker.StartedAt = rig.now
	worker.budget.updatedAt = rig.now
	rig.workRates.scannedAt = 0
	sent := 0
	last := time.Duration(0)
	end := rig.now + rig.settings.SlowStartDuration/2
	for ; rig.now < end; rig.Machine.now += 10 * time.Millisecond {
		// Four slot-seconds per second.
		warm.recentWork = decayingValue{4 * rig.planningHorizon.Seconds(), rig.now}
		if !rig.withinSlowStartBudget(request, worker) {
			continue
		}
		rate := slowStartSafety * rig.settings.OverloadMultiple *
			rig.capacityFraction(worker) * rig.warmWorkRate(0)
		if gap := (rig.now - last).Seconds(); sent > 1 && (gap < 0.9/rate || gap > 1.2/rate+0.02) {
			t.Fatalf("%.2f s between two requests, the budget allows one in %.2f s", gap, 1/rate)
		}
		sent++
		last = rig.now
		worker.recentWork.add(rig.now, rig.planningHorizon, 1e-9) // the worker has had its first request
		worker.budget.balance -= request.cost
	}
	if sent < 4 {
		t.Fatalf("%d requests were sent, want 4 at least", sent)
	}
}
