package decision

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// overloadTick is the step of virtual time of dispatcherGroup.
const overloadTick = 10 * time.Millisecond

// dispatcherGroup simulates several dispatchers that send to the same workers, in steps of virtual time.
type dispatcherGroup struct {
	rigs     []*rig
	now      time.Duration
	attempts []groupAttempt // outstanding attempts, in the order in which they were sent
	// run returns when and how an attempt ends that a dispatcher has just sent to a worker.
	run func(request *request, worker string) (endsAt time.Duration, outcome AttemptOutcome)
}

// groupAttempt is one outstanding attempt.
type groupAttempt struct {
	rig     *rig
	request uint64
	number  int
	worker  string
	endsAt  time.Duration
	outcome AttemptOutcome
}

// handle feeds an event to a dispatcher and starts the attempts that it assigns.
func (g *dispatcherGroup) handle(rig *rig, event Event) {
	for _, action := range rig.handle(g.now, event) {
		if action.Kind != Assign {
			continue
		}
		request := rig.requests[action.Request]
		endsAt, outcome := g.run(request, action.Worker)
		g.attempts = append(g.attempts, groupAttempt{
			rig:     rig,
			request: action.Request,
			number:  len(request.attempts) - 1,
			worker:  action.Worker,
			endsAt:  endsAt,
			outcome: outcome,
		})
	}
}

// handleAll feeds an event to all dispatchers.
func (g *dispatcherGroup) handleAll(event Event) {
	for _, rig := range g.rigs {
		g.handle(rig, event)
	}
}

// arrive delivers a request, with a hint of its work, to a dispatcher.
func (g *dispatcherGroup) arrive(rig *rig, work time.Duration) {
	rig.next++
	g.handle(rig, Event{
		Kind:     RequestArrived,
		Request:  rig.next,
		Slots:    1,
		TimeLeft: 5 * time.Second,
		Work:     work,
	})
}

// endAttempts ends the attempts whose end is due, and calls ended with the worker of each.
func (g *dispatcherGroup) endAttempts(ended func(worker string)) {
	var due []groupAttempt
	var left []groupAttempt
	for _, attempt := range g.attempts {
		if attempt.endsAt <= g.now {
			due = append(due, attempt)
		} else {
			left = append(left, attempt)
		}
	}
	g.attempts = left
	for _, attempt := range due {
		ended(attempt.worker)
		if attempt.rig.requests[attempt.request] == nil {
			continue
		}
		g.handle(attempt.rig, Event{
			Kind:     AttemptEnded,
			Request:  attempt.request,
			Attempt:  attempt.number,
			Worker:   attempt.worker,
			Outcome:  attempt.outcome,
			Answered: attempt.outcome == Completed,
		})
	}
}

// sweepIfDue fires the sweep timer of a dispatcher in every tenth step.
func (g *dispatcherGroup) sweepIfDue(rig *rig) {
	if rig.sweepScheduled && int(g.now/overloadTick)%10 == 0 {
		g.handle(rig, Event{Kind: TimerFired, Timer: sweepTimer})
	}
}

// Four dispatchers under the same overload learn at the same moment that a worker has started. Work that warm
// workers reject must not enlarge its budget, and the work rate of a fast kind must not enlarge the budget of
// a slow kind.
func TestWorkerInSlowStartIsNotOverloaded(t *testing.T) {
	const peers, capacity = 4, 4.0 // capacity in hinted seconds per second
	const start = time.Hour + 20*time.Second
	settings := testSettings()
	settings.Peers = peers
	group := &dispatcherGroup{now: time.Hour}
	var sends []workSent
	load := map[string]float64{}
	group.run = func(request *request, worker string) (time.Duration, AttemptOutcome) {
		if worker == "w1" && group.now >= start {
			sends = append(sends, workSent{group.now, request.cost})
		}
		full := load[worker] >= 4
		load[worker]++
		if full {
			return group.now + overloadTick, Saturated
		}
		speed := capacity / 4 // kind 1; kind 0 is three times as fast
		if worker == "w0" || worker == "w2" || worker == "w4" {
			speed *= 3
		}
		return group.now + seconds(request.work/speed), Completed
	}
	for i := range peers {
		group.rigs = append(group.rigs, newRigOfTwoKinds(t, settings, uint64(i+1)))
	}
	for ; group.now < start+settings.SlowStartDuration; group.now += overloadTick {
		if group.now == start {
			started := []Endpoint{{Name: "w1", Kind: 1, State: Running, StartedAt: start}}
			group.handleAll(Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: started})
		}
		group.endAttempts(func(worker string) { load[worker]-- })
		for i, rig := range group.rigs {
			if int(group.now/overloadTick)%10 == i { // ten requests per second each: far beyond the capacity
				group.arrive(rig, time.Duration(300+rig.random.IntN(2000))*time.Millisecond)
			}
			group.sweepIfDue(rig)
		}
	}
	if len(sends) == 0 {
		t.Fatal("a worker in slow start got no requests")
	}
	failIfOverloaded(t, settings, capacity, start, sends)
}

// newRigOfTwoKinds returns a rig with six workers: those with even numbers are of kind 0, the others of kind
// 1.
func newRigOfTwoKinds(t *testing.T, settings Settings, seed uint64) *rig {
	t.Helper()
	machine, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	rig := &rig{Machine: machine, t: t, next: 1}
	var list []Endpoint
	for i := range 6 {
		list = append(list, Endpoint{Name: fmt.Sprintf("w%d", i), Kind: i % 2, State: Running})
	}
	rig.handle(time.Hour, Event{Kind: ListUpdated, ListKind: ListCached, Endpoints: list})
	return rig
}

// The number of workers under a hundred dispatchers doubles, and then the load surges. New workers must carry
// load during slow start, although each dispatcher's window allowance is far below the cost of one request.
// The balances that the dispatchers have saved must not overload a worker in the surge.
func TestSlowStartCarriesLoadUnderManyDispatchers(t *testing.T) {
	const peers, workers, capacity = 100, 20, 4.0
	const start = time.Hour + 10*time.Second
	settings := testSettings()
	settings.Peers = peers
	group := &dispatcherGroup{now: time.Hour}
	toNew := 0
	toAll := 0
	sent := map[string][]workSent{}
	group.run = func(request *request, worker string) (time.Duration, AttemptOutcome) {
		if group.now >= start {
			toAll++
			if strings.HasPrefix(worker, "new") {
				toNew++
				sent[worker] = append(sent[worker], workSent{group.now, request.work})
			}
		}
		return group.now + seconds(request.work), Completed
	}
	for i := range peers {
		group.rigs = append(group.rigs, newSeededRig(t, settings, workers, uint64(i+1)))
	}
	var newcomers []Endpoint
	for i := range workers {
		newcomers = append(newcomers, Endpoint{Name: fmt.Sprintf("new%d", i), StartedAt: start})
	}
	// Requests per tick, for 0.7 of the capacity of the first workers. The mean work of a request is 0.35 s.
	perTick := 0.7 * workers * capacity * overloadTick.Seconds() / 0.35
	due := 0.0
	next := 0
	for ; group.now < start+settings.SlowStartDuration; group.now += overloadTick {
		if group.now == start {
			group.handleAll(Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: newcomers})
		}
		due += perTick
		if group.now >= start+settings.SlowStartDuration/2 { // the surge
			due += 2 * perTick
		}
		for ; due >= 1; due-- {
			rig := group.rigs[next*37%peers] // each dispatcher in turn
			next++
			group.arrive(rig, time.Duration(100+rig.random.IntN(500))*time.Millisecond)
		}
		group.endAttempts(func(string) {})
		for _, rig := range group.rigs {
			group.sweepIfDue(rig)
		}
	}
	share := 100 * float64(toNew) / float64(toAll)
	t.Logf("%.1f%% of the requests went to the half of the fleet in slow start", share)
	if share < 15 {
		t.Errorf("%.1f%% of the requests went to the half of the fleet in slow start, want 15%%", share)
	}
	for _, sends := range sent {
		failIfOverloaded(t, settings, capacity, start, sends)
	}
}

// workSent is work sent to a worker in slow start.
type workSent struct {
	at   time.Duration
	work float64
}

// workAfter returns the sum of the work that was sent after the given time.
func workAfter(sends []workSent, from time.Duration) (sum float64) {
	for _, sent := range sends {
		if sent.at > from {
			sum += sent.work
		}
	}
	return sum
}

// failIfOverloaded checks every overload window that ends with a send to a worker with that capacity and
// start time.
func failIfOverloaded(
	t *testing.T,
	settings Settings,
	capacity float64,
	start time.Duration,
	sends []workSent,
) {
	t.Helper()
	for i, last := range sends {
		sum := workAfter(sends[:i+1], last.at-settings.OverloadWindow)
		age := (last.at - start).Seconds()
		floor := settings.SlowStartFloor
		capacityFraction := floor + (1-floor)*age/settings.SlowStartDuration.Seconds()
		budget := settings.OverloadMultiple * capacityFraction * capacity * settings.OverloadWindow.Seconds()
		if sum > budget {
			t.Fatalf("%.2f s of work in a window whose budget is %.2f, %v after the start",
				sum, budget, last.at-start)
		}
	}
}
