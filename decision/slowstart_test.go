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
func TestColdBudgetsFollowWhatJobsTook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aim := time.Duration(rapid.IntRange(500, 3000).Draw(t, "aim in ms")) * time.Millisecond
		run := time.Duration(rapid.IntRange(5, 200).Draw(t, "run in ms")) * time.Millisecond
		jobs := rapid.IntRange(3, 40).Draw(t, "jobs")
		d, err := New(Settings{
			Classes: []Class{{PriorityWeight: 1, LatencyObjective: aim, Deadline: 4 * aim}}, Peers: rapid.IntRange(20, 30).Draw(t, "peers"),
			SlowStartFloor: 0.3, SlowStartDuration: 8 * time.Second, OverloadMultiple: 4, OverloadWindow: time.Second, StartNotices: true, MaxAttempts: 1,
		}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		d.Handle(now, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: []Endpoint{{Name: "warm"}}}, nil)
		for i := range jobs {
			id := uint64(i + 1)
			assigned := false
			for _, action := range d.Handle(now, Event{Kind: RequestArrived, Request: id, TimeLeft: 4 * aim}, nil) {
				assigned = assigned || action.Kind == Assign
			}
			if !assigned {
				t.Fatalf("job %d was not assigned", i)
			}
			d.Handle(now, Event{Kind: AttemptStarted, Request: id, Worker: "warm"}, nil)
			now += run
			d.Handle(now, Event{Kind: AttemptEnded, Request: id, Worker: "warm", Outcome: Completed, Answered: true}, nil)
		}
		d.warmWorkRatesAt = 0 // look anew
		if took := (time.Duration(jobs) * run).Seconds() / d.planningHorizon.Seconds(); d.warmWorkRate(0) > took*1.001 {
			t.Errorf("%d jobs of %v count as %.3f of a slot, and took %.3f", jobs, run, d.warmWorkRate(0), took)
		}
	})
}

// coldFleet is 20 to 30 dispatchers before warm workers and one that starts cold, in steps of virtual time.
type coldFleet struct {
	t       *rapid.T
	s       Settings
	random  *rand.Rand
	now     time.Duration
	members []*coldMember
	due     map[time.Duration][]func() // by step
	entries []Endpoint
	hints   bool
	mean    float64 // work of a request, seconds
	sent    []fleetSend
	next    uint64
}

// coldMember is one dispatcher: its process, and while one hands over to the next, the other one.
type coldMember struct{ process, other *Machine }

// fleetSend is work sent to the cold worker.
type fleetSend struct {
	at   time.Duration
	work float64
}

const fleetStep = 10 * time.Millisecond

func (f *coldFleet) after(span time.Duration, what func()) {
	at := f.now + max(span, fleetStep).Truncate(fleetStep)
	f.due[at] = append(f.due[at], what)
}

// start gives a member a process that knows the list and nothing else.
func (f *coldFleet) start() *Machine {
	d, err := New(f.s, f.random.Uint64())
	if err != nil {
		f.t.Fatal(err)
	}
	f.handle(nil, d, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: f.entries}, 0)
	return d
}

// handle feeds a process and carries out what it wants; work is the request's at hand.
func (f *coldFleet) handle(m *coldMember, d *Machine, event Event, work float64) {
	for _, action := range d.Handle(f.now, event, nil) {
		switch action.Kind {
		case SetTimer:
			f.after(action.Delay, func() { f.handle(m, d, Event{Kind: TimerFired, Timer: action.Timer}, 0) })
		case Assign:
			f.assign(m, d, action, work)
		}
	}
}

// assign runs a job at its worker, in no time but its own: none of them queues.
func (f *coldFleet) assign(m *coldMember, d *Machine, action Action, work float64) {
	run := work
	if action.Worker == "cold" {
		f.sent = append(f.sent, fleetSend{f.now, work})
		run /= f.warmth()
		if m.other != nil {
			other := m.other
			if other == d {
				other = m.process
			}
			f.handle(m, other, Event{Kind: ReservedElsewhere, Worker: action.Worker, Reservation: action.Reservation}, 0)
		}
	}
	f.handle(m, d, Event{Kind: AttemptStarted, Request: action.Request, Worker: action.Worker}, 0)
	f.after(seconds(run), func() {
		f.handle(m, d, Event{Kind: AttemptEnded, Request: action.Request, Worker: action.Worker, Outcome: Completed, Answered: true}, 0)
	})
}

// warmth is the cold worker's share of its capacity now.
func (f *coldFleet) warmth() float64 {
	age := (f.now - f.entries[0].StartedAt).Seconds() / f.s.SlowStartDuration.Seconds()
	return min(f.s.SlowStartFloor+(1-f.s.SlowStartFloor)*age, 1)
}

// arrive hands a request to one member.
func (f *coldFleet) arrive() {
	m := f.members[f.random.IntN(len(f.members))]
	work := f.mean * f.random.ExpFloat64()
	f.next++
	event := Event{Kind: RequestArrived, Request: f.next, TimeLeft: f.s.Classes[0].Deadline}
	if f.hints {
		event.Work = seconds(work)
	} else {
		work = f.mean // of which nobody tells
	}
	f.handle(m, m.process, event, work)
}

// What 20 to 30 dispatchers together send a worker that starts cold keeps, in any window, to the budget that the
// settings give it and what is put down to chance, also in a burst and while their processes start anew.
func TestColdBudgetsOfAFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := func(label string, lo, hi float64) float64 { return rapid.Float64Range(lo, hi).Draw(t, label) }
		f := &coldFleet{t: t, now: time.Hour, due: map[time.Duration][]func(){}}
		f.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		f.hints, f.mean = rapid.Bool().Draw(t, "hints"), share("work", 0.03, 0.3)
		f.s = Settings{
			Classes: []Class{{PriorityWeight: 1, LatencyObjective: 2 * time.Second, Deadline: 5 * time.Second}},
			Peers:   rapid.IntRange(20, 30).Draw(t, "dispatchers"), Tick: time.Millisecond,
			SlowStartFloor: share("cold from", 0.1, 0.6), SlowStartDuration: seconds(share("warm after", 4, 10)),
			OverloadMultiple: share("multiple", 1.5, 6), OverloadWindow: seconds(share("window", 0.5, 2.5)),
			MaxAttempts: 2, Hedging: true, Cancellation: true, StartNotices: true,
		}
		warm := rapid.IntRange(4, 20).Draw(t, "warm workers")
		rate, burst := share("rate", 30, 150), share("burst", 1, 3)
		capacity := rate * burst * f.mean / float64(warm) / share("load in the burst", 0.3, 1) // of one worker
		f.entries = []Endpoint{{Name: "cold", State: Removed}}
		for i := range warm {
			f.entries = append(f.entries, Endpoint{Name: fmt.Sprint("w", i)})
		}
		for range f.s.Peers {
			f.members = append(f.members, &coldMember{process: f.start()})
		}
		const joins, bursts, restarts, handedOver, end = 500, 550, 600, 700, 1200 // steps
		for step := range end {
			f.now += fleetStep
			for _, what := range f.due[f.now] {
				what()
			}
			delete(f.due, f.now)
			switch step {
			case joins:
				f.entries[0] = Endpoint{Name: "cold", StartedAt: f.now}
				for _, m := range f.members {
					f.handle(m, m.process, Event{Kind: ListUpdated, Endpoints: f.entries[:1]}, 0)
				}
			case restarts:
				killed := rapid.IntRange(0, f.s.Peers).Draw(t, "killed")
				for i, m := range f.members {
					if i >= killed { // the others hand over
						m.other = m.process
					}
					m.process = f.start()
				}
			case handedOver:
				for _, m := range f.members {
					m.other = nil
				}
			}
			now := rate
			if step >= bursts {
				now *= burst
			}
			for p := now * fleetStep.Seconds(); p > 0; p-- {
				if f.random.Float64() < p {
					f.arrive()
				}
			}
			if step < joins || f.warmth() >= 1 {
				continue
			}
			sum := 0.0
			for _, s := range f.sent {
				if s.at > f.now-f.s.OverloadWindow {
					sum += s.work / f.mean
				}
			}
			n := f.s.OverloadMultiple * f.warmth() * capacity * f.s.OverloadWindow.Seconds() / f.mean
			if sum > n+2*math.Sqrt(n)+2 {
				t.Fatalf("step %d: sent %.1f requests of mean work, N is %.1f", step, sum, n)
			}
		}
	})
}

// What all dispatchers together may reserve at a cold worker within any window stays within what the settings allow it
// then, however busy warm workers are: each has saved at most a window's part, gets one more, and may go beyond by half
// of one. Jobs larger than a part, and the first, are a matter of chance, which the protocol allows for.
func TestColdReservationsStayWithinTheBudget(t *testing.T) {
	if sum := 2.5 * slowStartSafety; sum > 1+1e-9 {
		t.Errorf("a saved part, a window's and half of one come to %.2f of the budget", sum)
	}
	rapid.Check(t, func(t *rapid.T) {
		window := time.Duration(rapid.IntRange(200, 3000).Draw(t, "window in ms")) * time.Millisecond
		multiple := rapid.Float64Range(1, 8).Draw(t, "fall multiple")
		share := rapid.Float64Range(0.01, 4).Draw(t, "work of a warm worker, slots")
		d, err := New(Settings{
			Classes: []Class{{PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 4 * time.Second}}, Peers: rapid.IntRange(20, 30).Draw(t, "peers"),
			SlowStartFloor: rapid.Float64Range(0.1, 0.9).Draw(t, "cold from"), SlowStartDuration: time.Hour, OverloadMultiple: multiple, OverloadWindow: window,
		}, 1)
		if err != nil {
			t.Fatal(err)
		}
		start := 24 * time.Hour
		d.Handle(start, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: []Endpoint{{Name: "cold", StartedAt: start - time.Minute}}}, nil)
		worker := d.workers["cold"]
		worker.recentWork.add(d.now, d.planningHorizon, 0) // it has had its first job
		d.warmWorkRates, d.warmWorkRatesAt = map[int]float64{0: share}, start+time.Hour
		var sent []fleetSend
		for range 300 {
			d.now += rapid.SampledFrom([]time.Duration{0, 0, 0, window / 50, window / 50, window / 10, 2 * window}).Draw(t, "pause")
			part := slowStartSafety * multiple * d.capacityFraction(worker) * share * window.Seconds()
			work := rapid.SampledFrom([]float64{0.05, 0.05, 0.3, 1}).Draw(t, "work, parts") * part
			request := &request{class: &d.settings.Classes[0], slots: 1, work: work, classMeanWork: work, cost: work, holdTime: work}
			if d.withinSlowStartBudget(request, worker) {
				if worker.slowStartBudget -= request.slowStartCost(); worker.slowStartBudget < -part/2*(1+1e-9) {
					t.Fatalf("%.3f of a part beyond what was there", -worker.slowStartBudget/part)
				}
				sent = append(sent, fleetSend{d.now, request.slowStartCost()})
			}
			sum := 0.0
			for _, s := range sent {
				if s.at > d.now-window {
					sum += s.work
				}
			}
			if allowed := multiple * d.capacityFraction(worker) * share * window.Seconds(); sum > allowed*(1+1e-9) {
				t.Fatalf("%.3f of the budget in a window", sum/allowed)
			}
		}
		if len(sent) == 0 {
			t.Fatal("nothing was sent")
		}
	})
}
