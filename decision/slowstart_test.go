package decision

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The recent work of a warm worker is the actual run time of its requests, not the estimate that was used
// before they ended. Slow-start budgets are derived from it, and 20 to 30 dispatchers that have just started
// all begin with the same estimate.
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
			t.Errorf("%d requests of %v count as %.3f of a slot, but took %.3f", requests, run, rate, took)
		}
	})
}

// What all dispatchers together may reserve at a worker in slow start within any window stays within the
// budget of the settings, however busy warm workers are: each dispatcher has saved at most a window
// allowance, gets one more, and may overdraw its balance by half of one. Requests that cost more than an
// allowance, and the first request, need a random draw, so that they keep the budget on average only.
func TestSlowStartReservationsStayWithinTheBudget(t *testing.T) {
	if sum := 2.5 * slowStartSafety; sum > 1+1e-9 {
		t.Errorf("a saved allowance, the window's and half of one add up to %.2f of the budget", sum)
	}
	rapid.Check(t, func(t *rapid.T) {
		run := newReservationRun(t)
		window := run.machine.settings.OverloadWindow
		pauses := []time.Duration{0, 0, 0, window / 50, window / 50, window / 10, 2 * window}
		for range 300 {
			run.machine.now += rapid.SampledFrom(pauses).Draw(t, "pause")
			run.offerRequest(rapid.SampledFrom([]float64{0.05, 0.05, 0.3, 1}).Draw(t, "work, allowances"))
			run.checkWindow()
		}
		if len(run.sent) == 0 {
			t.Fatal("nothing was sent")
		}
	})
}

// reservationRun is a dispatcher with one worker, which is in slow start and has had its first request.
type reservationRun struct {
	t        *rapid.T
	machine  *Machine
	worker   *worker
	workRate float64 // work per second that a warm worker takes
	sent     []workSent
}

// newReservationRun draws the settings and the work rate of warm workers.
func newReservationRun(t *rapid.T) *reservationRun {
	window := time.Duration(rapid.IntRange(200, 3000).Draw(t, "window in ms")) * time.Millisecond
	multiple := rapid.Float64Range(1, 8).Draw(t, "overload multiple")
	workRate := rapid.Float64Range(0.01, 4).Draw(t, "work of a warm worker, slots")
	machine, err := New(Settings{
		Classes: []Class{
			{PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 4 * time.Second},
		},
		Peers:             rapid.IntRange(20, 30).Draw(t, "peers"),
		SlowStartFloor:    rapid.Float64Range(0.1, 0.9).Draw(t, "slow-start floor"),
		SlowStartDuration: time.Hour,
		OverloadMultiple:  multiple,
		OverloadWindow:    window,
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	start := 24 * time.Hour
	list := []Endpoint{{Name: "new", StartedAt: start - time.Minute}}
	machine.Handle(start, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: list}, nil)
	worker := machine.workers["new"]
	worker.recentWork.add(machine.now, machine.planningHorizon, 0)
	machine.workRates.byKind = map[int]float64{0: workRate}
	machine.workRates.scannedAt = start + time.Hour
	return &reservationRun{t: t, machine: machine, worker: worker, workRate: workRate}
}

// windowBudget is what all dispatchers together may send the worker within a window that ends now, if they
// use that fraction of the budget. The factors are multiplied in the same order as in the machine: a request
// that exceeded the window allowance by a rounding error would need a random draw.
func (r *reservationRun) windowBudget(used float64) float64 {
	settings := &r.machine.settings
	capacity := r.machine.capacityFraction(r.worker)
	return used * settings.OverloadMultiple * capacity * r.workRate * settings.OverloadWindow.Seconds()
}

// offerRequest offers the worker a request, and checks that the balance is overdrawn by at most half a window
// allowance. The work of the request is given in window allowances.
func (r *reservationRun) offerRequest(allowances float64) {
	allowance := r.windowBudget(slowStartSafety)
	work := allowances * allowance
	request := &request{
		class:         &r.machine.settings.Classes[0],
		slots:         1,
		work:          work,
		classMeanWork: work,
		cost:          work,
		holdTime:      work,
	}
	if !r.machine.withinSlowStartBudget(request, r.worker) {
		return
	}
	budget := &r.worker.budget
	budget.balance -= request.slowStartCost()
	if budget.balance < -allowance/2*(1+1e-9) {
		r.t.Fatalf("overdrawn by %.3f of an allowance, want half of one at most", -budget.balance/allowance)
	}
	r.sent = append(r.sent, workSent{r.machine.now, request.slowStartCost()})
}

// checkWindow checks what was sent within the window that ends now.
func (r *reservationRun) checkWindow() {
	sum := workAfter(r.sent, r.machine.now-r.machine.settings.OverloadWindow)
	if budget := r.windowBudget(1); sum > budget*(1+1e-9) {
		r.t.Fatalf("%.3f times the budget in a window", sum/budget)
	}
}

// While a process is replaced, the predecessor and its successor share one budget for a worker in slow start:
// each reports what it reserves, and the other subtracts that from its own balance.
func TestReservationsOfBothProcessesAddUp(t *testing.T) {
	sendBeside := func(other float64) (sent int, reserved float64) {
		settings := testSettings()
		settings.Peers = 1
		rig := newRig(t, settings, 4)
		rig.setCeilings(1000, 1e6)
		for range 40 {
			rig.endAttempt(rig.arrive(0), 0, Completed, 10*time.Millisecond)
		}
		rig.updateList(Endpoint{Name: "w0", StartedAt: rig.now})
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
	alone, reserved := sendBeside(0)
	beside, _ := sendBeside(reserved / 200 / 2) // the other process sends half of what one may send alone
	if alone < 10 || beside >= alone*3/4 || beside == 0 || reserved <= 0 {
		t.Fatalf("%d sent alone, reserved %v; %d while another sends half as much", alone, reserved, beside)
	}
}

// If requests cost more than a window allowance, two window allowances may be saved, so that a dispatcher
// with one request per second does not lose budget. If requests are small, only one may be saved, so that few
// dispatchers that spend everything at once do not overload the worker: a saved allowance and that of the
// window are 0.8 of the budget.
func TestSlowStartBudgetIsSavedForTwoWindowsAtMost(t *testing.T) {
	settings := testSettings()
	settings.Peers = 300
	for _, test := range []struct{ work, windows float64 }{{1e6, 2}, {1e-6, 1}} {
		rig := newRig(t, settings, 2)
		worker := rig.workers["w0"]
		warm := rig.workers["w1"]
		warm.recentWork.add(rig.now, rig.planningHorizon, 2)
		worker.StartedAt = rig.now
		worker.budget = slowStartBudget{updatedAt: rig.now}
		rig.workRates.scannedAt = 0
		worker.recentWork.add(rig.now, rig.planningHorizon, 0)
		rig.now += settings.OverloadWindow * 3
		workRate := rig.warmWorkRate(0)
		capacity := rig.capacityFraction(worker)
		request := &request{
			class:         &rig.settings.Classes[0],
			slots:         1,
			work:          test.work,
			cost:          test.work,
			classMeanWork: 1e-7,
		}
		rig.withinSlowStartBudget(request, worker)
		window := settings.OverloadMultiple * capacity * workRate * settings.OverloadWindow.Seconds()
		if got := worker.budget.balance / window / slowStartSafety; math.Abs(got-test.windows) > 0.01 {
			t.Errorf("requests of %g s: %.2f window allowances are saved, want %v",
				test.work, got, test.windows)
		}
	}
	if 2*slowStartSafety > 0.8 {
		t.Errorf("few dispatchers may send %.2f of the budget in a window, want 0.8", 2*slowStartSafety)
	}
}

// With an OverloadWindow of 0 there is no slow-start budget, so that workers in slow start get requests.
func TestSlowStartWithoutOverloadWindowIsNotBounded(t *testing.T) {
	settings := testSettings()
	settings.OverloadWindow = 0
	settings.OverloadMultiple = 0
	settings.SlowStartFloor = 0.9
	rig := newRig(t, settings, 1)
	rig.updateList(Endpoint{Name: "w0", StartedAt: rig.now})
	if rig.send(0) != "w0" {
		t.Fatal("a worker in slow start gets no requests though there is no slow-start budget")
	}
}

// A busy dispatcher assumes that all its peers are as busy as it is. A request of more than twice the mean
// must not go to a worker that has just started, although the window allowances of all dispatchers together
// would allow it under that assumption.
func TestLargeRequestDoesNotGoToAWorkerThatHasJustStarted(t *testing.T) {
	settings := testSettings()
	settings.Peers = 80
	for _, test := range []struct {
		work float64
		want bool
	}{{0.9, true}, {1.1, false}} {
		rig := newRig(t, settings, 2)
		worker := rig.fleet[0]
		oneSlot := rig.planningHorizon.Seconds() // a slot-second per second from this dispatcher alone
		rig.fleet[1].recentWork.add(rig.now, rig.planningHorizon, oneSlot)
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
			worker.budget = slowStartBudget{balance: 0.1, updatedAt: rig.now}
			rig.workRates.scannedAt = 0
			taken = taken || rig.withinSlowStartBudget(request, worker)
		}
		if taken != test.want {
			t.Errorf("a request of %.1f s where the mean is 0.5: taken %v, want %v",
				test.work, taken, test.want)
		}
	}
}

// With imprecise hints, requests that are chosen for a small hint run for many times the hinted time.
// Therefore they cost more of the slow-start budget than their hints say.
func TestSmallHintsCostMoreInSlowStart(t *testing.T) {
	small := &request{slots: 1, work: 0.008, cost: 0.008, classMeanWork: 0.14}
	if cost := small.slowStartCost(); cost < 0.03 {
		t.Fatalf("a request with a hint of 8 ms and a mean of 140 ms costs %v s, want 0.03 s at least", cost)
	}
	large := &request{slots: 2, work: 0.2, cost: 0.4, classMeanWork: 0.14}
	if large.slowStartCost() != large.cost {
		t.Fatal("the cost of a request with a hint above the mean differs from its hint")
	}
}
