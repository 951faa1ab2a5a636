package decision

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// slowStartFleet is 20 to 30 dispatchers before warm workers and one in slow start, in steps of
// virtual time.
type slowStartFleet struct {
	t        *rapid.T
	settings Settings
	random   *rand.Rand
	now      time.Duration
	members  []*fleetMember
	due      map[time.Duration][]func() // by step
	entries  []Endpoint
	hints    bool
	mean     float64 // work of a request, seconds
	sent     []fleetWorkSent
	next     uint64
}

// after schedules a call.
func (f *slowStartFleet) after(span time.Duration, callback func()) {
	at := f.now + max(span, fleetStep).Truncate(fleetStep)
	f.due[at] = append(f.due[at], callback)
}

// start gives a member a process that knows the list and nothing else.
func (f *slowStartFleet) start() *Machine {
	machine, err := New(f.settings, f.random.Uint64())
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
			f.after(
				action.Delay,
				func() { f.handle(member, machine, Event{Kind: TimerFired, Timer: action.Timer}, 0) },
			)
		case Assign:
			f.assign(member, machine, action, work)
		}
	}
}

// assign runs a request at its worker; none of them queues.
func (f *slowStartFleet) assign(member *fleetMember, machine *Machine, action Action, work float64) {
	run := work
	if action.Worker == "new" {
		f.sent = append(f.sent, fleetWorkSent{f.now, work})
		run /= f.warmth()
		if member.other != nil {
			other := member.other
			if other == machine {
				other = member.process
			}
			f.handle(
				member,
				other,
				Event{Kind: ReservedElsewhere, Worker: action.Worker, Reservation: action.Reservation},
				0,
			)
		}
	}
	f.handle(member, machine, Event{Kind: AttemptStarted, Request: action.Request, Worker: action.Worker}, 0)
	f.after(seconds(run), func() {
		f.handle(
			member,
			machine,
			Event{
				Kind:     AttemptEnded,
				Request:  action.Request,
				Worker:   action.Worker,
				Outcome:  Completed,
				Answered: true,
			},
			0,
		)
	})
}

// warmth is the part of its capacity that the worker in slow start has now.
func (f *slowStartFleet) warmth() float64 {
	age := (f.now - f.entries[0].StartedAt).Seconds() / f.settings.SlowStartDuration.Seconds()
	return min(f.settings.SlowStartFloor+(1-f.settings.SlowStartFloor)*age, 1)
}

// arrive hands a request to one member.
func (f *slowStartFleet) arrive() {
	member := f.members[f.random.IntN(len(f.members))]
	work := f.mean * f.random.ExpFloat64()
	f.next++
	event := Event{Kind: RequestArrived, Request: f.next, TimeLeft: f.settings.Classes[0].Deadline}
	if f.hints {
		event.Work = seconds(work)
	} else {
		work = f.mean // which no hint tells
	}
	f.handle(member, member.process, event, work)
}

// fleetMember is one dispatcher: its process, and while one hands over to the next, the other one.
type fleetMember struct{ process, other *Machine }

// fleetWorkSent is work sent to the worker in slow start.
type fleetWorkSent struct {
	at   time.Duration
	work float64
}

const fleetStep = 10 * time.Millisecond

// What 20 to 30 dispatchers together send a worker in slow start keeps, in any window, to the budget that
// the settings give and what is put down to chance, also in a burst and while their processes start anew.
func TestSlowStartBudgetOfAllDispatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := func(label string, lo, hi float64) float64 {
			return rapid.Float64Range(lo, hi).Draw(t, label)
		}
		fleet := &slowStartFleet{t: t, now: time.Hour, due: map[time.Duration][]func(){}}
		fleet.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		fleet.hints = rapid.Bool().Draw(t, "hints")
		fleet.mean = share("work", 0.03, 0.3)
		fleet.settings = Settings{
			Classes: []Class{
				{PriorityWeight: 1, LatencyObjective: 2 * time.Second, Deadline: 5 * time.Second},
			},
			Peers: rapid.IntRange(20, 30).Draw(t, "dispatchers"), Tick: time.Millisecond,
			SlowStartFloor: share(
				"slow-start floor",
				0.1,
				0.6,
			), SlowStartDuration: seconds(share("warm after", 4, 10)),
			OverloadMultiple: share("multiple", 1.5, 6), OverloadWindow: seconds(share("window", 0.5, 2.5)),
			MaxAttempts: 2, Hedging: true, Cancellation: true, StartNotices: true,
		}
		warm := rapid.IntRange(4, 20).Draw(t, "warm workers")
		rate := share("rate", 30, 150)
		burst := share("burst", 1, 3)
		capacity := rate * burst * fleet.mean / float64(warm) / share(
			"load in the burst",
			0.3,
			1,
		) // of one worker
		fleet.entries = []Endpoint{{Name: "new", State: Removed}}
		for i := range warm {
			fleet.entries = append(fleet.entries, Endpoint{Name: fmt.Sprint("w", i)})
		}
		for range fleet.settings.Peers {
			fleet.members = append(fleet.members, &fleetMember{process: fleet.start()})
		}
		const joins, bursts, restarts, handedOver, end = 500, 550, 600, 700, 1200 // steps
		for step := range end {
			fleet.now += fleetStep
			for _, callback := range fleet.due[fleet.now] {
				callback()
			}
			delete(fleet.due, fleet.now)
			switch step {
			case joins:
				fleet.entries[0] = Endpoint{Name: "new", StartedAt: fleet.now}
				for _, member := range fleet.members {
					fleet.handle(
						member,
						member.process,
						Event{Kind: ListUpdated, Endpoints: fleet.entries[:1]},
						0,
					)
				}
			case restarts:
				killed := rapid.IntRange(0, fleet.settings.Peers).Draw(t, "killed")
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
				if s.at > fleet.now-fleet.settings.OverloadWindow {
					sum += s.work / fleet.mean
				}
			}
			n := fleet.settings.OverloadMultiple * fleet.warmth() * capacity *
				fleet.settings.OverloadWindow.Seconds() / fleet.mean
			if sum > n+2*math.Sqrt(n)+2 {
				t.Fatalf("step %d: sent %.1f requests of mean work, N is %.1f", step, sum, n)
			}
		}
	})
}

// Four dispatchers under the same overload hear of a start at once. Work that warm workers reject must
// not enlarge the budget, nor a fast kind's work rate a slow kind's.
func TestWorkerInSlowStartIsNotOverloaded(t *testing.T) {
	const peers, capacity, tick = 4, 4.0, 10 * time.Millisecond // capacity in hinted seconds a second
	settings := testSettings()
	settings.Peers = peers
	var rigs []*rig
	for i := range peers {
		rig := newRig(t, settings, 6)
		machine, _ := New(settings, uint64(i+1))
		list := []Endpoint{}
		for n := range 6 {
			list = append(list, Endpoint{Name: fmt.Sprintf("w%d", n), Kind: n % 2, State: Running})
		}
		rig.Machine = machine
		rig.handle(time.Hour, Event{Kind: ListUpdated, ListKind: ListCached, Endpoints: list})
		rigs = append(rigs, rig)
	}
	var sends []workSent
	load := map[string]float64{}
	start := time.Hour + 20*time.Second
	type running struct {
		r    *rig
		id   uint64
		n    int
		w    string
		ends time.Duration
		o    AttemptOutcome
	}
	var out []running
	now := time.Duration(time.Hour)
	handle := func(rig *rig, event Event) {
		for _, action := range rig.handle(now, event) {
			if action.Kind != Assign {
				continue
			}
			request := rig.requests[action.Request]
			speed := capacity / 4 // kind 1; kind 0 is three times as fast
			if action.Worker == "w0" || action.Worker == "w2" || action.Worker == "w4" {
				speed *= 3
			}
			x := running{
				rig,
				action.Request,
				len(request.attempts) - 1,
				action.Worker,
				now + seconds(request.work/speed),
				Completed,
			}
			if action.Worker == "w1" && now >= start {
				sends = append(sends, workSent{now, request.cost})
			}
			if load[action.Worker] >= 4 {
				x.ends = now + tick
				x.o = Saturated
			}
			load[action.Worker]++
			out = append(out, x)
		}
	}
	for ; now < start+settings.SlowStartDuration; now += tick {
		if now == start {
			for _, rig := range rigs {
				handle(rig, Event{Kind: ListUpdated, ListKind: ListDelta,
					Endpoints: []Endpoint{{Name: "w1", Kind: 1, State: Running, StartedAt: start}}})
			}
		}
		for i := 0; i < len(out); i++ {
			if x := out[i]; x.ends <= now {
				out = append(out[:i], out[i+1:]...)
				load[x.w]--
				if x.r.requests[x.id] != nil {
					handle(
						x.r,
						Event{Kind: AttemptEnded, Request: x.id, Attempt: x.n, Worker: x.w, Outcome: x.o,
							Answered: x.o == Completed},
					)
				}
				i = -1
			}
		}
		for i, rig := range rigs {
			if int(now/tick)%10 == i { // ten requests a second each: far more than there is capacity for
				rig.next++
				handle(
					rig,
					Event{Kind: RequestArrived, Request: rig.next, Slots: 1, TimeLeft: 5 * time.Second,
						Work: time.Duration(300+rig.random.IntN(2000)) * time.Millisecond},
				)
			}
			if rig.sweepScheduled && int(now/tick)%10 == 0 {
				handle(rig, Event{Kind: TimerFired, Timer: sweepTimer})
			}
		}
	}
	if len(sends) == 0 {
		t.Fatal("a worker in slow start got nothing at all")
	}
	failIfOverloaded(t, settings, capacity, start, sends)
}

// A fleet doubles under a hundred dispatchers, and then a surge comes. New workers must carry load during
// slow start, though each dispatcher's part of the budget is far below one request, and what the parts have
// saved must not overload one in the surge.
func TestSlowStartCarriesLoadUnderManyDispatchers(t *testing.T) {
	const peers, workers, capacity, tick = 100, 20, 4.0, 10 * time.Millisecond
	settings := testSettings()
	settings.Peers = peers
	type job struct {
		r    *rig
		id   uint64
		w    string
		ends time.Duration
	}
	var rigs []*rig
	for i := range peers {
		rigs = append(rigs, newSeededRig(t, settings, workers, uint64(i+1)))
	}
	var newcomers []Endpoint
	start := time.Hour + 10*time.Second
	now := time.Duration(time.Hour)
	for i := range workers {
		newcomers = append(newcomers, Endpoint{Name: fmt.Sprintf("new%d", i), StartedAt: start})
	}
	var out []job
	toNew := 0
	toAll := 0
	sent := map[string][]workSent{}
	handle := func(rig *rig, event Event) {
		for _, action := range rig.handle(now, event) {
			if action.Kind != Assign {
				continue
			}
			work := rig.requests[action.Request].work
			out = append(out, job{rig, action.Request, action.Worker, now + seconds(work)})
			if now < start {
				continue
			}
			toAll++
			if strings.HasPrefix(action.Worker, "new") {
				toNew++
				sent[action.Worker] = append(sent[action.Worker], workSent{now, work})
			}
		}
	}
	perTick := 0.7 * workers * capacity * tick.Seconds() / 0.35
	for due, next := 0.0, 0; now < start+settings.SlowStartDuration; now += tick {
		if now == start {
			for _, rig := range rigs {
				handle(rig, Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: newcomers})
			}
		}
		due += perTick
		if now >= start+settings.SlowStartDuration/2 {
			due += 2 * perTick
		}
		for ; due >= 1; due-- {
			rig := rigs[next*37%peers]
			next++
			rig.next++
			handle(rig, Event{Kind: RequestArrived, Request: rig.next, Slots: 1, TimeLeft: 5 * time.Second,
				Work: time.Duration(100+rig.random.IntN(500)) * time.Millisecond})
		}
		ended := out
		out = nil
		for _, x := range ended {
			if x.ends > now {
				out = append(out, x)
			} else if request := x.r.requests[x.id]; request != nil {
				handle(x.r, Event{
					Kind: AttemptEnded, Request: x.id, Attempt: len(request.attempts) - 1, Worker: x.w,
					Outcome: Completed, Answered: true,
				})
			}
		}
		for _, rig := range rigs {
			if rig.sweepScheduled && int(now/tick)%10 == 0 {
				handle(rig, Event{Kind: TimerFired, Timer: sweepTimer})
			}
		}
	}
	if share := float64(toNew) / float64(toAll); share < 0.15 {
		t.Errorf("%.1f%% of the requests went to the half of the fleet in slow start", 100*share)
	} else {
		t.Logf("%.1f%% of the requests went to the half of the fleet in slow start", 100*share)
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

// failIfOverloaded checks every overload window that ends with a send to a worker of that capacity and start.
func failIfOverloaded(
	t *testing.T,
	settings Settings,
	capacity float64,
	start time.Duration,
	sends []workSent,
) {
	t.Helper()
	for i, a := range sends {
		sum := 0.0
		for _, b := range sends[:i+1] {
			if b.at > a.at-settings.OverloadWindow {
				sum += b.work
			}
		}
		age := (a.at - start).Seconds()
		floor := settings.SlowStartFloor
		warmth := floor + (1-floor)*age/settings.SlowStartDuration.Seconds()
		budget := settings.OverloadMultiple * warmth * capacity * settings.OverloadWindow.Seconds()
		if sum > budget {
			t.Fatalf(
				"%.2f s of work in a window whose budget is %.2f, %v after the start",
				sum,
				budget,
				a.at-start,
			)
		}
	}
}
