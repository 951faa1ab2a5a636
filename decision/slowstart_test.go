package decision

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What a warm worker has taken is counted as the time its jobs ran, not as the guess that stood for them: cold
// workers' budgets are shares of it, and 20 to 30 dispatchers that have just started all begin with the guess.
func TestSlowStartBudgetsFollowRunTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aim := time.Duration(rapid.IntRange(500, 3000).Draw(t, "aim in ms")) * time.Millisecond
		run := time.Duration(rapid.IntRange(5, 200).Draw(t, "run in ms")) * time.Millisecond
		jobs := rapid.IntRange(3, 40).Draw(t, "jobs")
		machine, err := New(Settings{
			Classes: []Class{{PriorityWeight: 1, LatencyObjective: aim, Deadline: 4 * aim}}, Peers: rapid.IntRange(20, 30).Draw(t, "peers"),
			SlowStartFloor: 0.3, SlowStartDuration: 8 * time.Second, OverloadMultiple: 4, OverloadWindow: time.Second, StartNotices: true, MaxAttempts: 1,
		}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		machine.Handle(now, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: []Endpoint{{Name: "warm"}}}, nil)
		for i := range jobs {
			id := uint64(i + 1)
			assigned := false
			for _, action := range machine.Handle(now, Event{Kind: RequestArrived, Request: id, TimeLeft: 4 * aim}, nil) {
				assigned = assigned || action.Kind == Assign
			}
			if !assigned {
				t.Fatalf("job %d was not assigned", i)
			}
			machine.Handle(now, Event{Kind: AttemptStarted, Request: id, Worker: "warm"}, nil)
			now += run
			machine.Handle(now, Event{Kind: AttemptEnded, Request: id, Worker: "warm", Outcome: Completed, Answered: true}, nil)
		}
		machine.warmWorkRatesAt = 0 // look anew
		if took := (time.Duration(jobs) * run).Seconds() / machine.planningHorizon.Seconds(); machine.warmWorkRate(0) > took*1.001 {
			t.Errorf("%d jobs of %v count as %.3f of a slot, and took %.3f", jobs, run, machine.warmWorkRate(0), took)
		}
	})
}

// slowStartFleet is 20 to 30 dispatchers before warm workers and one that starts cold, in steps of virtual time.
type slowStartFleet struct {
	t       *rapid.T
	s       Settings
	random  *rand.Rand
	now     time.Duration
	members []*fleetMember
	due     map[time.Duration][]func() // by step
	entries []Endpoint
	hints   bool
	mean    float64 // work of a request, seconds
	sent    []fleetWorkSent
	next    uint64
}

// fleetMember is one dispatcher: its process, and while one hands over to the next, the other one.
type fleetMember struct{ process, other *Machine }

// fleetWorkSent is work sent to the cold worker.
type fleetWorkSent struct {
	at   time.Duration
	work float64
}

const fleetStep = 10 * time.Millisecond

func (f *slowStartFleet) after(span time.Duration, what func()) {
	at := f.now + max(span, fleetStep).Truncate(fleetStep)
	f.due[at] = append(f.due[at], what)
}

// start gives a member a process that knows the list and nothing else.
func (f *slowStartFleet) start() *Machine {
	machine, err := New(f.s, f.random.Uint64())
	if err != nil {
		f.t.Fatal(err)
	}
	f.handle(nil, machine, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: f.entries}, 0)
	return machine
}

// handle feeds a process and carries out what it wants; work is the request's at hand.
func (f *slowStartFleet) handle(member *fleetMember, machine *Machine, event Event, work float64) {
	for _, action := range machine.Handle(f.now, event, nil) {
		switch action.Kind {
		case SetTimer:
			f.after(action.Delay, func() { f.handle(member, machine, Event{Kind: TimerFired, Timer: action.Timer}, 0) })
		case Assign:
			f.assign(member, machine, action, work)
		}
	}
}

// assign runs a job at its worker, in no time but its own: none of them queues.
func (f *slowStartFleet) assign(member *fleetMember, machine *Machine, action Action, work float64) {
	run := work
	if action.Worker == "cold" {
		f.sent = append(f.sent, fleetWorkSent{f.now, work})
		run /= f.warmth()
		if member.other != nil {
			other := member.other
			if other == machine {
				other = member.process
			}
			f.handle(member, other, Event{Kind: ReservedElsewhere, Worker: action.Worker, Reservation: action.Reservation}, 0)
		}
	}
	f.handle(member, machine, Event{Kind: AttemptStarted, Request: action.Request, Worker: action.Worker}, 0)
	f.after(seconds(run), func() {
		f.handle(member, machine, Event{Kind: AttemptEnded, Request: action.Request, Worker: action.Worker, Outcome: Completed, Answered: true}, 0)
	})
}

// warmth is the cold worker's share of its capacity now.
func (f *slowStartFleet) warmth() float64 {
	age := (f.now - f.entries[0].StartedAt).Seconds() / f.s.SlowStartDuration.Seconds()
	return min(f.s.SlowStartFloor+(1-f.s.SlowStartFloor)*age, 1)
}

// arrive hands a request to one member.
func (f *slowStartFleet) arrive() {
	member := f.members[f.random.IntN(len(f.members))]
	work := f.mean * f.random.ExpFloat64()
	f.next++
	event := Event{Kind: RequestArrived, Request: f.next, TimeLeft: f.s.Classes[0].Deadline}
	if f.hints {
		event.Work = seconds(work)
	} else {
		work = f.mean // of which nobody tells
	}
	f.handle(member, member.process, event, work)
}

// What 20 to 30 dispatchers together send a worker that starts cold keeps, in any window, to the budget that the
// settings give it and what is put down to chance, also in a burst and while their processes start anew.
func TestSlowStartBudgetOfAllDispatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := func(label string, lo, hi float64) float64 { return rapid.Float64Range(lo, hi).Draw(t, label) }
		fleet := &slowStartFleet{t: t, now: time.Hour, due: map[time.Duration][]func(){}}
		fleet.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		fleet.hints, fleet.mean = rapid.Bool().Draw(t, "hints"), share("work", 0.03, 0.3)
		fleet.s = Settings{
			Classes: []Class{{PriorityWeight: 1, LatencyObjective: 2 * time.Second, Deadline: 5 * time.Second}},
			Peers:   rapid.IntRange(20, 30).Draw(t, "dispatchers"), Tick: time.Millisecond,
			SlowStartFloor: share("cold from", 0.1, 0.6), SlowStartDuration: seconds(share("warm after", 4, 10)),
			OverloadMultiple: share("multiple", 1.5, 6), OverloadWindow: seconds(share("window", 0.5, 2.5)),
			MaxAttempts: 2, Hedging: true, Cancellation: true, StartNotices: true,
		}
		warm := rapid.IntRange(4, 20).Draw(t, "warm workers")
		rate, burst := share("rate", 30, 150), share("burst", 1, 3)
		capacity := rate * burst * fleet.mean / float64(warm) / share("load in the burst", 0.3, 1) // of one worker
		fleet.entries = []Endpoint{{Name: "cold", State: Removed}}
		for i := range warm {
			fleet.entries = append(fleet.entries, Endpoint{Name: fmt.Sprint("w", i)})
		}
		for range fleet.s.Peers {
			fleet.members = append(fleet.members, &fleetMember{process: fleet.start()})
		}
		const joins, bursts, restarts, handedOver, end = 500, 550, 600, 700, 1200 // steps
		for step := range end {
			fleet.now += fleetStep
			for _, what := range fleet.due[fleet.now] {
				what()
			}
			delete(fleet.due, fleet.now)
			switch step {
			case joins:
				fleet.entries[0] = Endpoint{Name: "cold", StartedAt: fleet.now}
				for _, member := range fleet.members {
					fleet.handle(member, member.process, Event{Kind: ListUpdated, Endpoints: fleet.entries[:1]}, 0)
				}
			case restarts:
				killed := rapid.IntRange(0, fleet.s.Peers).Draw(t, "killed")
				for i, member := range fleet.members {
					if i >= killed { // the others hand over
						member.other = member.process
					}
					member.process = fleet.start()
				}
			case handedOver:
				for _, member := range fleet.members {
					member.other = nil
				}
			}
			now := rate
			if step >= bursts {
				now *= burst
			}
			for p := now * fleetStep.Seconds(); p > 0; p-- {
				if fleet.random.Float64() < p {
					fleet.arrive()
				}
			}
			if step < joins || fleet.warmth() >= 1 {
				continue
			}
			sum := 0.0
			for _, s := range fleet.sent {
				if s.at > fleet.now-fleet.s.OverloadWindow {
					sum += s.work / fleet.mean
				}
			}
			n := fleet.s.OverloadMultiple * fleet.warmth() * capacity * fleet.s.OverloadWindow.Seconds() / fleet.mean
			if sum > n+2*math.Sqrt(n)+2 {
				t.Fatalf("step %d: sent %.1f requests of mean work, N is %.1f", step, sum, n)
			}
		}
	})
}

// What all dispatchers together may reserve at a cold worker within any window stays within what the settings allow it
// then, however busy warm workers are: each has saved at most a window's part, gets one more, and may go beyond by half
// of one. Jobs larger than a part, and the first, are a matter of chance, which the protocol allows for.
func TestSlowStartReservationsStayWithinTheBudget(t *testing.T) {
	if sum := 2.5 * slowStartSafety; sum > 1+1e-9 {
		t.Errorf("a saved part, a window's and half of one come to %.2f of the budget", sum)
	}
	rapid.Check(t, func(t *rapid.T) {
		window := time.Duration(rapid.IntRange(200, 3000).Draw(t, "window in ms")) * time.Millisecond
		multiple := rapid.Float64Range(1, 8).Draw(t, "fall multiple")
		share := rapid.Float64Range(0.01, 4).Draw(t, "work of a warm worker, slots")
		machine, err := New(Settings{
			Classes: []Class{{PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 4 * time.Second}}, Peers: rapid.IntRange(20, 30).Draw(t, "peers"),
			SlowStartFloor: rapid.Float64Range(0.1, 0.9).Draw(t, "cold from"), SlowStartDuration: time.Hour, OverloadMultiple: multiple, OverloadWindow: window,
		}, 1)
		if err != nil {
			t.Fatal(err)
		}
		start := 24 * time.Hour
		machine.Handle(start, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: []Endpoint{{Name: "cold", StartedAt: start - time.Minute}}}, nil)
		worker := machine.workers["cold"]
		worker.recentWork.add(machine.now, machine.planningHorizon, 0) // it has had its first job
		machine.warmWorkRates, machine.warmWorkRatesAt = map[int]float64{0: share}, start+time.Hour
		var sent []fleetWorkSent
		for range 300 {
			machine.now += rapid.SampledFrom([]time.Duration{0, 0, 0, window / 50, window / 50, window / 10, 2 * window}).Draw(t, "pause")
			part := slowStartSafety * multiple * machine.capacityFraction(worker) * share * window.Seconds()
			work := rapid.SampledFrom([]float64{0.05, 0.05, 0.3, 1}).Draw(t, "work, parts") * part
			request := &request{class: &machine.settings.Classes[0], slots: 1, work: work, classMeanWork: work, cost: work, holdTime: work}
			if machine.withinSlowStartBudget(request, worker) {
				if worker.slowStartBudget -= request.slowStartCost(); worker.slowStartBudget < -part/2*(1+1e-9) {
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
			if allowed := multiple * machine.capacityFraction(worker) * share * window.Seconds(); sum > allowed*(1+1e-9) {
				t.Fatalf("%.3f of the budget in a window", sum/allowed)
			}
		}
		if len(sent) == 0 {
			t.Fatal("nothing was sent")
		}
	})
}
