package decision

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The duration of a step of slowStartFleet, and the steps at which something changes.
const (
	fleetStep      = 10 * time.Millisecond
	joinStep       = 500 // a worker joins
	burstStep      = 550 // the request rate rises
	replaceStep    = 600 // each process is replaced; some are killed, the others hand over
	handedOverStep = 700 // the replaced processes have ended
	endStep        = 1200
)

// In any window, the work that 20 to 30 dispatchers together send a worker in slow start stays within the
// budget of the settings plus a tolerance for randomness, even in a burst and while the processes are
// replaced.
func TestSlowStartBudgetOfAllDispatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newSlowStartFleet(t)
		for step := range endStep {
			fleet.advance()
			switch step {
			case joinStep:
				fleet.join()
			case replaceStep:
				fleet.replaceProcesses()
			case handedOverStep:
				fleet.endHandovers()
			}
			fleet.generateRequests(step >= burstStep)
			if step >= joinStep && fleet.capacityFraction() < 1 {
				fleet.checkBudget(step)
			}
		}
	})
}

// slowStartFleet simulates 20 to 30 dispatchers that send requests to warm workers and to one in slow start,
// in steps of virtual time.
type slowStartFleet struct {
	t        *rapid.T
	settings Settings
	random   *rand.Rand
	now      time.Duration
	members  []*fleetMember
	due      map[time.Duration][]func() // scheduled calls by their time
	entries  []Endpoint                 // the first is the worker that joins
	hints    bool                       // requests have a hint of their work
	mean     float64                    // mean work of a request, seconds
	rate     float64                    // requests per second
	burst    float64                    // factor by which the rate rises
	capacity float64                    // of a worker, seconds of work per second
	sent     []workSent
	next     uint64 // ID of the latest request
}

// fleetMember is one dispatcher: its process and, during a handover, the process that it replaces.
type fleetMember struct{ process, predecessor *Machine }

// newSlowStartFleet draws the fleet and starts its dispatchers.
func newSlowStartFleet(t *rapid.T) *slowStartFleet {
	draw := func(label string, lo, hi float64) float64 {
		return rapid.Float64Range(lo, hi).Draw(t, label)
	}
	fleet := &slowStartFleet{t: t, now: time.Hour, due: map[time.Duration][]func(){}}
	fleet.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	fleet.hints = rapid.Bool().Draw(t, "hints")
	fleet.mean = draw("work", 0.03, 0.3)
	fleet.settings = Settings{
		Classes: []Class{
			{PriorityWeight: 1, LatencyObjective: 2 * time.Second, Deadline: 5 * time.Second},
		},
		Peers:             rapid.IntRange(20, 30).Draw(t, "dispatchers"),
		Tick:              time.Millisecond,
		SlowStartFloor:    draw("slow-start floor", 0.1, 0.6),
		SlowStartDuration: seconds(draw("warm after", 4, 10)),
		OverloadMultiple:  draw("multiple", 1.5, 6),
		OverloadWindow:    seconds(draw("window", 0.5, 2.5)),
		MaxAttempts:       2,
		Hedging:           true,
		Cancellation:      true,
		StartNotices:      true,
	}
	warm := rapid.IntRange(4, 20).Draw(t, "warm workers")
	fleet.rate = draw("rate", 30, 150)
	fleet.burst = draw("burst", 1, 3)
	load := draw("load in the burst", 0.3, 1)
	fleet.capacity = fleet.rate * fleet.burst * fleet.mean / float64(warm) / load
	fleet.entries = []Endpoint{{Name: "new", State: Removed}}
	for i := range warm {
		fleet.entries = append(fleet.entries, Endpoint{Name: fmt.Sprint("w", i)})
	}
	for range fleet.settings.Peers {
		fleet.members = append(fleet.members, &fleetMember{process: fleet.start()})
	}
	return fleet
}

// advance moves the clock by a step and runs the scheduled calls that are due.
func (f *slowStartFleet) advance() {
	f.now += fleetStep
	for _, callback := range f.due[f.now] {
		callback()
	}
	delete(f.due, f.now)
}

// after schedules a call.
func (f *slowStartFleet) after(span time.Duration, callback func()) {
	at := f.now + max(span, fleetStep).Truncate(fleetStep)
	f.due[at] = append(f.due[at], callback)
}

// start returns a new process that knows only the endpoint list.
func (f *slowStartFleet) start() *Machine {
	machine, err := New(f.settings, f.random.Uint64())
	if err != nil {
		f.t.Fatal(err)
	}
	f.handle(nil, machine, Event{Kind: ListUpdated, ListKind: ListSnapshot, Endpoints: f.entries}, 0)
	return machine
}

// join starts a worker. All dispatchers learn of it at once.
func (f *slowStartFleet) join() {
	f.entries[0] = Endpoint{Name: "new", StartedAt: f.now}
	for _, member := range f.members {
		f.handle(member, member.process, Event{Kind: ListUpdated, Endpoints: f.entries[:1]}, 0)
	}
}

// replaceProcesses starts a new process for each member. Some of the old ones are killed; the others hand
// over.
func (f *slowStartFleet) replaceProcesses() {
	killed := rapid.IntRange(0, f.settings.Peers).Draw(f.t, "killed")
	for i, member := range f.members {
		if i >= killed {
			member.predecessor = member.process
		}
		member.process = f.start()
	}
}

// endHandovers ends the processes that were replaced.
func (f *slowStartFleet) endHandovers() {
	for _, member := range f.members {
		member.predecessor = nil
	}
}

// handle feeds an event to a process and carries out the actions; work is the work of the event's request.
func (f *slowStartFleet) handle(member *fleetMember, machine *Machine, event Event, work float64) {
	for _, action := range machine.Handle(f.now, event, nil) {
		switch action.Kind {
		case SetTimer:
			f.after(action.Delay, func() {
				f.handle(member, machine, Event{Kind: TimerFired, Timer: action.Timer}, 0)
			})
		case Assign:
			f.assign(member, machine, action, work)
		}
	}
}

// assign runs a request at its worker; all requests start at once.
func (f *slowStartFleet) assign(member *fleetMember, machine *Machine, action Action, work float64) {
	run := work
	if action.Worker == "new" {
		f.sent = append(f.sent, workSent{f.now, work})
		run /= f.capacityFraction()
		f.forwardReservation(member, machine, action)
	}
	f.handle(member, machine, Event{Kind: AttemptStarted, Request: action.Request, Worker: action.Worker}, 0)
	f.after(seconds(run), func() {
		f.handle(member, machine, Event{
			Kind:     AttemptEnded,
			Request:  action.Request,
			Worker:   action.Worker,
			Outcome:  Completed,
			Answered: true,
		}, 0)
	})
}

// forwardReservation reports, during a handover, what one process has reserved to the other one.
func (f *slowStartFleet) forwardReservation(member *fleetMember, machine *Machine, action Action) {
	if member.predecessor == nil {
		return
	}
	other := member.predecessor
	if other == machine {
		other = member.process
	}
	reserved := Event{Kind: ReservedElsewhere, Worker: action.Worker, Reservation: action.Reservation}
	f.handle(member, other, reserved, 0)
}

// capacityFraction is the fraction of its capacity that the worker in slow start has now.
func (f *slowStartFleet) capacityFraction() float64 {
	age := (f.now - f.entries[0].StartedAt).Seconds() / f.settings.SlowStartDuration.Seconds()
	return min(f.settings.SlowStartFloor+(1-f.settings.SlowStartFloor)*age, 1)
}

// generateRequests delivers the requests of one step.
func (f *slowStartFleet) generateRequests(burst bool) {
	rate := f.rate
	if burst {
		rate *= f.burst
	}
	for expected := rate * fleetStep.Seconds(); expected > 0; expected-- {
		if f.random.Float64() < expected {
			f.arrive()
		}
	}
}

// arrive delivers a request to a random member.
func (f *slowStartFleet) arrive() {
	member := f.members[f.random.IntN(len(f.members))]
	work := f.mean * f.random.ExpFloat64()
	f.next++
	event := Event{Kind: RequestArrived, Request: f.next, TimeLeft: f.settings.Classes[0].Deadline}
	if f.hints {
		event.Work = seconds(work)
	} else {
		work = f.mean // without hints all requests take the mean
	}
	f.handle(member, member.process, event, work)
}

// checkBudget checks the work that all members have sent the worker in slow start in the latest window,
// counted in requests of mean work. It must be at most N + 2*sqrt(N) + 2, where N is the budget; the rest is
// for randomness.
func (f *slowStartFleet) checkBudget(step int) {
	window := f.settings.OverloadWindow
	sum := workAfter(f.sent, f.now-window) / f.mean
	budget := f.settings.OverloadMultiple * f.capacityFraction() * f.capacity * window.Seconds() / f.mean
	if sum > budget+2*math.Sqrt(budget)+2 {
		f.t.Fatalf("step %d: sent %.1f requests of mean work, the budget is %.1f", step, sum, budget)
	}
}
