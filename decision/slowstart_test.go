package decision

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What a warm worker has taken is counted as the time its requests ran, not as the guess that stood for
// them: slow-start budgets are shares of it, and 20 to 30 dispatchers that have just started all begin with
// the guess.
func TestSlowStartBudgetsFollowRunTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objective := time.Duration(rapid.IntRange(500, 3000).Draw(t, "objective in ms")) * time.Millisecond
		run := time.Duration(rapid.IntRange(5, 200).Draw(t, "run in ms")) * time.Millisecond
		requests := rapid.IntRange(3, 40).Draw(t, "requests")
		machine, err := New(Settings{
			Classes: []Class{
				{PriorityWeight: 1, LatencyObjective: objective, Deadline: 4 * objective},
			},
			Peers:          rapid.IntRange(20, 30).Draw(t, "peers"),
			SlowStartFloor: 0.3, SlowStartDuration: 8 * time.Second,
			OverloadMultiple: 4, OverloadWindow: time.Second,
			StartNotices: true, MaxAttempts: 1,
		}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		machine.Handle(
			now,
			Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: []Endpoint{{Name: "warm"}}},
			nil,
		)
		for i := range requests {
			id := uint64(i + 1)
			assigned := false
			arrival := Event{Kind: RequestArrived, Request: id, TimeLeft: 4 * objective}
			for _, action := range machine.Handle(now, arrival, nil) {
				assigned = assigned || action.Kind == Assign
			}
			if !assigned {
				t.Fatalf("request %d was not assigned", i)
			}
			machine.Handle(now, Event{Kind: AttemptStarted, Request: id, Worker: "warm"}, nil)
			now += run
			machine.Handle(
				now,
				Event{Kind: AttemptEnded, Request: id, Worker: "warm", Outcome: Completed, Answered: true},
				nil,
			)
		}
		machine.workRates.scannedAt = 0 // scan anew
		took := (time.Duration(requests) * run).Seconds() / machine.planningHorizon.Seconds()
		if rate := machine.warmWorkRate(0); rate > took*1.001 {
			t.Errorf("%d requests of %v count as %.3f of a slot, and took %.3f", requests, run, rate, took)
		}
	})
}

// What all dispatchers together may reserve at a worker in slow start within any window stays within what
// the settings allow, however busy warm workers are: each has saved at most a window's part, gets one more,
// and may go beyond by half of one. Requests larger than a part, and the first, are a matter of chance,
// which the rule allows for.
func TestSlowStartReservationsStayWithinTheBudget(t *testing.T) {
	if sum := 2.5 * slowStartSafety; sum > 1+1e-9 {
		t.Errorf("a saved part, a window's and half of one come to %.2f of the budget", sum)
	}
	rapid.Check(t, func(t *rapid.T) {
		window := time.Duration(rapid.IntRange(200, 3000).Draw(t, "window in ms")) * time.Millisecond
		multiple := rapid.Float64Range(1, 8).Draw(t, "overload multiple")
		share := rapid.Float64Range(0.01, 4).Draw(t, "work of a warm worker, slots")
		machine, err := New(Settings{
			Classes: []Class{
				{PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 4 * time.Second},
			}, Peers: rapid.IntRange(20, 30).Draw(t, "peers"),
			SlowStartFloor: rapid.Float64Range(0.1, 0.9).
				Draw(t, "slow-start floor"),
			SlowStartDuration: time.Hour, OverloadMultiple: multiple, OverloadWindow: window,
		}, 1)
		if err != nil {
			t.Fatal(err)
		}
		start := 24 * time.Hour
		machine.Handle(
			start,
			Event{
				Kind:      ListUpdated,
				ListKind:  ListSnapshot,
				Endpoints: []Endpoint{{Name: "new", StartedAt: start - time.Minute}},
			},
			nil,
		)
		worker := machine.workers["new"]
		worker.recentWork.add(machine.now, machine.planningHorizon, 0) // it has had its first request
		machine.workRates.byKind = map[int]float64{0: share}
		machine.workRates.scannedAt = start + time.Hour
		var sent []fleetWorkSent
		for range 300 {
			machine.now += rapid.SampledFrom([]time.Duration{
				0, 0, 0, window / 50, window / 50, window / 10, 2 * window,
			}).Draw(t, "pause")
			part := slowStartSafety * multiple * machine.capacityFraction(worker) * share * window.Seconds()
			work := rapid.SampledFrom([]float64{0.05, 0.05, 0.3, 1}).Draw(t, "work, parts") * part
			request := &request{
				class:         &machine.settings.Classes[0],
				slots:         1,
				work:          work,
				classMeanWork: work,
				cost:          work,
				holdTime:      work,
			}
			if machine.withinSlowStartBudget(request, worker) {
				worker.slowStartBudget -= request.slowStartCost()
				if worker.slowStartBudget < -part/2*(1+1e-9) {
					t.Fatalf("%.3f of a part beyond what was there", -worker.slowStartBudget/part)
				}
				sent = append(sent, fleetWorkSent{machine.now, request.slowStartCost()})
			}
			sum := 0.0
			for _, s := range sent {
				if s.at > machine.now-window {
					sum += s.work
				}
			}
			allowed := multiple * machine.capacityFraction(worker) * share * window.Seconds()
			if sum > allowed*(1+1e-9) {
				t.Fatalf("%.3f of the budget in a window", sum/allowed)
			}
		}
		if len(sent) == 0 {
			t.Fatal("nothing was sent")
		}
	})
}

// While a process is replaced, what either process sends a worker in slow start is of one budget: each
// tells what it reserves there, and the other counts it as its own.
func TestReservationsOfBothProcessesAddUp(t *testing.T) {
	budget := func(other float64) (sent int, reserved float64) {
		settings := testSettings()
		settings.Peers = 1
		rig := newRig(t, settings, 4)
		rig.setCeilings(1000, 1e6)
		for range 40 {
			rig.endAttempt(rig.arrive(0), 0, Completed, 10*time.Millisecond)
		}
		rig.handle(
			rig.now,
			Event{
				Kind:      ListUpdated,
				ListKind:  ListDelta,
				Endpoints: []Endpoint{{Name: "w0", StartedAt: rig.now}},
			},
		)
		for range 200 {
			id := rig.arrive(0)
			for _, action := range rig.actions {
				if action.Kind == Assign && action.Worker != "w0" && action.Reservation != 0 {
					t.Fatalf("a warm worker reserved %v", action.Reservation)
				}
				if action.Kind == Assign && action.Worker == "w0" {
					sent++
					reserved += action.Reservation
				}
			}
			rig.endAttempt(id, 0, Completed, 10*time.Millisecond)
			rig.handle(rig.now, Event{Kind: ReservedElsewhere, Worker: "w0", Reservation: other})
		}
		rig.handle(rig.now, Event{Kind: ReservedElsewhere, Worker: "unknown", Reservation: 1})
		return sent, reserved
	}
	alone, charged := budget(0)
	beside, _ := budget(charged / 200 / 2) // the other one sends half of what one may
	if alone < 10 || beside >= alone*3/4 || beside == 0 || charged <= 0 {
		t.Fatalf("%d sent alone, reserved %v; %d beside one that sends half as much", alone, charged, beside)
	}
}

// After a mass replacement most of the fleet is in slow start, and nearly every worker there has no budget
// for a request. All of them are drawn, while warm ones stay bounded.
func TestAllWorkersInSlowStartAreDrawn(t *testing.T) {
	settings := testSettings()
	settings.Peers = 300
	for seed := range uint64(10) {
		rig := newSeededRig(t, settings, 4*maxWarmDraws, seed)
		for _, worker := range rig.fleet[1:] { // the first stays warm: budgets are measured by it
			worker.StartedAt = rig.now
			worker.slowStartBudgetAt = rig.now
			worker.slowStartBudget = -1
			worker.recentWork.add(rig.now, rig.planningHorizon, 0)
			rig.candidates.warmingUp = append(rig.candidates.warmingUp, worker)
		}
		rig.fleet[0].recentWork.add(rig.now, rig.planningHorizon, 100)
		rig.workRates.scannedAt = 0
		room := rig.fleet[len(rig.fleet)-1]
		room.slowStartBudget = 100
		request := &request{
			class:         &rig.settings.Classes[0],
			slots:         1,
			work:          1,
			classMeanWork: 1,
			cost:          1,
			objective:     rig.now + time.Minute,
		}
		if worker := rig.pickFrom(request, rig.candidates.warmingUp, inWarmingUp); worker != room {
			t.Fatalf(
				"seed %d: the one worker in slow start of %d that has budget is not found: %v",
				seed,
				len(rig.candidates.warmingUp),
				worker,
			)
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
			t.Fatalf("%d warm ones were drawn in vain", moved)
		}
	}
}

// Where requests are larger than a window's part, a slow-start budget is saved for two windows, lest a
// dispatcher with a request a second lose part of it. Where they are small it is one window, so that few
// dispatchers that spend all at once stay within the rule: that and a window's part are 0.8 of it.
func TestSlowStartBudgetIsSaved(t *testing.T) {
	settings := testSettings()
	settings.Peers = 300
	for _, test := range []struct{ work, windows float64 }{{1e6, 2}, {1e-6, 1}} {
		rig := newRig(t, settings, 2)
		worker := rig.workers["w0"]
		warm := rig.workers["w1"]
		warm.recentWork.add(rig.now, rig.planningHorizon, 2)
		worker.StartedAt = rig.now
		worker.slowStartBudgetAt = rig.now
		worker.slowStartBudget = 0
		rig.workRates.scannedAt = 0
		worker.recentWork.add(rig.now, rig.planningHorizon, 0)
		rig.now += settings.OverloadWindow * 3
		share := rig.warmWorkRate(0)
		warmth := rig.capacityFraction(worker)
		rig.withinSlowStartBudget(
			&request{
				class:         &rig.settings.Classes[0],
				slots:         1,
				work:          test.work,
				cost:          test.work,
				classMeanWork: 1e-7,
			},
			worker,
		)
		most := settings.OverloadMultiple * warmth * share * settings.OverloadWindow.Seconds()
		if got := worker.slowStartBudget / most / slowStartSafety; math.Abs(got-test.windows) > 0.01 {
			t.Errorf("requests of %g s: the budget of %.2f windows is saved", test.work, got)
		}
	}
	if 2*slowStartSafety > 0.8 {
		t.Errorf("few dispatchers may send %.2f of the rule's budget in a window", 2*slowStartSafety)
	}
}

// Of the workers in slow start the first that can take a request gets it: a drawing for the budget that was
// won must not go for nothing.
func TestWonDrawingIsUsed(t *testing.T) {
	for seed := range uint64(20) {
		rig := newSeededRig(t, testSettings(), 6, seed+1)
		for i, worker := range rig.fleet {
			worker.StartedAt = rig.now
			worker.slowStartBudgetAt = rig.now
			worker.slowStartBudget = 0.06
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

// A rule whose window is 0 is off: workers in slow start get requests.
func TestNoOverloadRuleBindsNothing(t *testing.T) {
	settings := testSettings()
	settings.OverloadWindow = 0
	settings.OverloadMultiple = 0
	settings.SlowStartFloor = 0.9
	rig := newRig(t, settings, 1)
	rig.handle(
		rig.now,
		Event{
			Kind:      ListUpdated,
			ListKind:  ListDelta,
			Endpoints: []Endpoint{{Name: "w0", StartedAt: rig.now}},
		},
	)
	if rig.send(0) != "w0" {
		t.Fatal("a worker in slow start gets nothing though no rule says so")
	}
}

// A busy dispatcher takes all its peers to be as busy. A request of many times the mean must not go to a
// worker that has just started, though the share of all dispatchers would seem to allow it.
func TestNoHeavyRequestInSlowStart(t *testing.T) {
	settings := testSettings()
	settings.Peers = 80
	for _, test := range []struct {
		work float64
		want bool
	}{{0.9, true}, {1.1, false}} {
		rig := newRig(t, settings, 2)
		worker := rig.fleet[0]
		rig.fleet[1].recentWork.add(
			rig.now,
			rig.planningHorizon,
			rig.planningHorizon.Seconds(),
		) // a slot-second a second from this one alone
		request := &request{
			class:         &rig.settings.Classes[0],
			slots:         1,
			work:          test.work,
			cost:          test.work,
			classMeanWork: 0.5,
		}
		taken := false
		for range 1000 {
			worker.StartedAt = rig.now
			worker.slowStartBudgetAt = rig.now
			worker.slowStartBudget = 0.1
			rig.workRates.scannedAt = 0
			taken = taken || rig.withinSlowStartBudget(request, worker)
		}
		if taken != test.want {
			t.Errorf("a request of %.1f s where the mean is 0.5: taken %v", test.work, taken)
		}
	}
}

// With few dispatchers a window's part holds a request, and requests go to a worker in slow start at an
// even pace. Drawn for each time, those of several dispatchers would fall together.
func TestSlowStartPaceIsEven(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	worker := rig.fleet[0]
	warm := rig.fleet[1]
	request := &request{class: &rig.settings.Classes[0], slots: 1, work: 1, cost: 1}
	worker.StartedAt = rig.now
	worker.slowStartBudgetAt = rig.now
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
		worker.slowStartBudget -= request.cost
	}
	if sent < 4 {
		t.Fatalf("%d requests were sent", sent)
	}
}

// With many dispatchers a request is larger than a window's part, and is drawn for each time. Taken on debt
// by all dispatchers whose last, small request was paid for, such requests would overload the worker.
func TestLargeRequestsInSlowStartAreDrawnFor(t *testing.T) {
	settings := testSettings()
	settings.Peers = 100
	rig := newRig(t, settings, 2)
	worker := rig.fleet[0]
	for _, x := range rig.fleet {
		x.recentWork.add(rig.now, rig.planningHorizon, 0.04*rig.planningHorizon.Seconds())
	}
	request := &request{class: &rig.settings.Classes[0], slots: 1, work: 0.5, cost: 0.5, classMeanWork: 0.5}
	worker.StartedAt = rig.now - rig.settings.SlowStartDuration/2
	rig.workRates.scannedAt = 0
	taken := 0
	const tries = 1000
	for range tries {
		worker.slowStartBudgetAt = rig.now
		worker.slowStartBudget = 0.01
		if rig.withinSlowStartBudget(request, worker) {
			taken++
		} else if worker.slowStartBudget != 0 {
			t.Fatal("the budget of a lost drawing is still there")
		}
	}
	if taken == 0 || taken > 2*tries*0.01/0.5 {
		t.Fatalf("%d of %d requests taken, 20 are paid for", taken, tries)
	}
}

// Requests chosen for their small, rough hints run for many times what those say. They take more of the
// budget than their hints.
func TestSmallHintsDoNotFloodAWorkerInSlowStart(t *testing.T) {
	small := &request{slots: 1, work: 0.008, cost: 0.008, classMeanWork: 0.14}
	if cost := small.slowStartCost(); cost < 0.03 {
		t.Fatalf("a request that ran for 40 ms and more takes %v s", cost)
	}
	large := &request{slots: 2, work: 0.2, cost: 0.4, classMeanWork: 0.14}
	if large.slowStartCost() != large.cost {
		t.Fatal("a large hint is taken as it is")
	}
}

// A machine whose wall clock is an hour off at the start of the process takes no new worker for a warm one,
// in either direction.
func TestSlowStartUnderAWrongClock(t *testing.T) {
	const hour, warm = time.Hour, 8 * time.Second
	for name, c := range map[string]struct {
		list  ListKind
		known time.Duration // listed start of the worker in the first list; -1: it is not in it
		start time.Duration // listed start in the list at hand, whose time is now
		now   time.Duration
		slow  bool // the worker is in slow start
	}{
		"a new one, clock ahead":             {ListDelta, -1, 2*hour - time.Second, 3 * hour, true},
		"a restarted one, clock ahead":       {ListDelta, hour, 2*hour - time.Second, 3 * hour, true},
		"a new one, clock behind":            {ListDelta, -1, 3 * hour, 2 * hour, true},
		"a new one, clock right":             {ListDelta, -1, 2*hour - time.Second, 2 * hour, true},
		"one known for long":                 {ListDelta, hour, hour, 3 * hour, false},
		"of a snapshot, started an hour ago": {ListSnapshot, -1, 2 * hour, 3 * hour, false},
		"a new one that started long ago":    {ListDelta, -1, hour, 4 * hour, false},
		"one that started before time began": {ListDelta, -1, 0, 3 * hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			machine, err := New(
				Settings{
					Classes:           []Class{{Deadline: time.Second}},
					SlowStartFloor:    0.3,
					SlowStartDuration: warm,
					OverloadMultiple:  4,
					OverloadWindow:    time.Second,
				},
				1,
			)
			if err != nil {
				t.Fatal(err)
			}
			first := []Endpoint{{Name: "other"}}
			if c.known >= 0 {
				first = append(first, Endpoint{Name: "w", StartedAt: c.known})
			}
			machine.Handle(
				c.now-hour/2,
				Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: first},
				nil,
			)
			list := Event{
				Kind:      ListUpdated,
				ListKind:  c.list,
				Endpoints: []Endpoint{{Name: "w", StartedAt: c.start}, {Name: "other"}},
			}
			machine.Handle(c.now, list, nil)
			if slow := machine.capacityFraction(machine.workers["w"]) < 1; slow != c.slow {
				t.Errorf("in slow start %v, not %v", slow, c.slow)
			}
			machine.Handle(c.now+time.Second, list, nil) // listed again, it is no news
			if slow := machine.capacityFraction(machine.workers["w"]) < 1; slow != c.slow {
				t.Errorf("listed again: in slow start %v, not %v", slow, c.slow)
			}
			machine.Handle(c.now+warm+time.Second, Event{Kind: TimerFired, Timer: sweepTimer}, nil)
			if c.now >= c.start && machine.capacityFraction(machine.workers["w"]) < 1 {
				t.Error("it does not become warm")
			}
		})
	}
}
