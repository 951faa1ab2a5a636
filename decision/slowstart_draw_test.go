package decision

import (
	"slices"
	"testing"
	"time"
)

// After a mass replacement most of the fleet is in slow start, and hardly any worker there has budget for a
// request. All of them are drawn, while the number of warm ones drawn stays bounded.
func TestAllWorkersInSlowStartAreDrawn(t *testing.T) {
	settings := testSettings()
	settings.Peers = 300
	for seed := range uint64(10) {
		rig := newSeededRig(t, settings, 4*maxWarmDraws, seed)
		for _, worker := range rig.fleet[1:] { // the first stays warm: budgets are measured by it
			worker.StartedAt = rig.now
			worker.budget = slowStartBudget{saved: -1, savedAt: rig.now}
			worker.recentWork.add(rig.now, rig.planningHorizon, 0)
			rig.candidates.warmingUp = append(rig.candidates.warmingUp, worker)
		}
		rig.fleet[0].recentWork.add(rig.now, rig.planningHorizon, 100)
		rig.workRates.scannedAt = 0
		withBudget := rig.fleet[len(rig.fleet)-1]
		withBudget.budget.saved = 100
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
			t.Fatalf("seed %d: the one worker in slow start of %d that has budget is not found: %v",
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
			t.Fatalf("%d warm ones were drawn without success", moved)
		}
	}
}

// The first worker in slow start that can take a request gets it: its random draw for the budget is won, and
// another draw must not waste that.
func TestWorkerThatWinsItsDrawIsPicked(t *testing.T) {
	for seed := range uint64(20) {
		rig := newSeededRig(t, testSettings(), 6, seed+1)
		for i, worker := range rig.fleet {
			worker.StartedAt = rig.now
			worker.budget = slowStartBudget{saved: 0.06, savedAt: rig.now}
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
			t.Fatalf("seed %d: the first that had budget was passed over", seed)
		}
	}
}

// With many dispatchers a request is larger than a window's part, and needs a random draw each time. If all
// dispatchers without debt could overdraw their budgets by such a request, the worker would be overloaded.
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
		worker.budget = slowStartBudget{saved: 0.01, savedAt: rig.now}
		if rig.withinSlowStartBudget(request, worker) {
			taken++
		} else if worker.budget.saved != 0 {
			t.Fatal("the budget of a lost draw is still there")
		}
	}
	if taken == 0 || taken > 2*tries*0.01/0.5 {
		t.Fatalf("%d of %d requests taken, 20 are paid for", taken, tries)
	}
}

// With few dispatchers a window's part is larger than a request, and requests go to a worker in slow start at
// an even pace. If each needed a random draw, those of several dispatchers would coincide.
func TestSlowStartPaceIsEven(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	worker := rig.fleet[0]
	warm := rig.fleet[1]
	request := &request{class: &rig.settings.Classes[0], slots: 1, work: 1, cost: 1}
	worker.StartedAt = rig.now
	worker.budget.savedAt = rig.now
	rig.workRates.scannedAt = 0
	sent := 0
	last := time.Duration(0)
	end := rig.now + rig.settings.SlowStartDuration/2
	for ; rig.now < end; rig.Machine.now += 10 * time.Millisecond {
		// Four slot-seconds a second.
		warm.recentWork = decayingValue{4 * rig.planningHorizon.Seconds(), rig.now}
		if !rig.withinSlowStartBudget(request, worker) {
			continue
		}
		rate := slowStartSafety * rig.settings.OverloadMultiple *
			rig.capacityFraction(worker) * rig.warmWorkRate(0)
		if gap := (rig.now - last).Seconds(); sent > 1 && (gap < 0.9/rate || gap > 1.2/rate+0.02) {
			t.Fatalf("%.2f s between two requests, the budget pays for one in %.2f s", gap, 1/rate)
		}
		sent++
		last = rig.now
		worker.recentWork.add(rig.now, rig.planningHorizon, 1e-9) // the first has gone
		worker.budget.saved -= request.cost
	}
	if sent < 4 {
		t.Fatalf("%d requests were sent", sent)
	}
}
