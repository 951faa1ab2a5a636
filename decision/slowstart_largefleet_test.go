package decision

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Picking a worker for a request must draw a bounded number of workers in slow start, however many there are,
// and successive picks must draw all of them in turn.
func TestDrawsInSlowStartAreBoundedAndFair(t *testing.T) {
	machine, _ := newLargeFleet(t, 21000, 1)
	drawn := map[*worker]int{}
	rounds := (len(machine.candidates.warmingUp) + maxWarmingUpDraws - 1) / maxWarmingUpDraws
	for range 3 * rounds {
		members := machine.candidates.nextWarmingUp()
		if len(members) == 0 || len(members) > maxWarmingUpDraws {
			t.Fatalf("%d workers in slow start are drawn for one pick", len(members))
		}
		for _, worker := range members {
			drawn[worker]++
		}
	}
	for _, worker := range machine.candidates.warmingUp {
		if drawn[worker] != 3 {
			t.Fatalf("%s was drawn %d times in three rounds", worker.Name, drawn[worker])
		}
	}
	before := slices.Clone(machine.candidates.warmingUp)
	machine.Handle(
		machine.now,
		Event{Kind: RequestArrived, Request: 1, Slots: 1, Work: time.Second, TimeLeft: 5 * time.Second},
		nil,
	)
	moved := 0
	for i, worker := range machine.candidates.warmingUp {
		if worker != before[i] {
			moved++
		}
	}
	if moved > 2*maxWarmingUpDraws {
		t.Fatalf("%d workers in slow start were moved for one pick", moved)
	}
}

// If there is enough traffic, every new worker must get requests before it has warmed up, however many new
// workers there are.
func TestEveryWorkerGetsRequestsInSlowStart(t *testing.T) {
	const workers = 2100
	settings := testSettings()
	machine, err := New(settings, 3)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Hour
	var list []Endpoint
	for i := range workers {
		list = append(list, Endpoint{Name: fmt.Sprintf("w%d", i)})
	}
	machine.Handle(start, Event{Kind: ListUpdated, ListKind: ListCached, Endpoints: list}, nil)
	traffic := &steadyTraffic{machine: machine, now: start, nextSweep: start, served: map[string]int{}}
	traffic.run(start + 3*time.Second)
	clear(traffic.served)
	restarted := traffic.now
	for i := 0; i < workers; i += 10 {
		list[i].StartedAt = restarted
		delta := Event{Kind: ListUpdated, ListKind: ListDelta, Endpoints: list[i : i+1]}
		machine.Handle(restarted, delta, nil)
	}
	traffic.run(restarted + settings.SlowStartDuration)
	for i := 0; i < workers; i += 10 {
		if traffic.served[list[i].Name] == 0 {
			t.Errorf("%s got no request in slow start", list[i].Name)
		}
	}
}

// steadyTraffic generates requests at an even rate, each of which is answered at once.
type steadyTraffic struct {
	machine   *Machine
	now       time.Duration
	nextSweep time.Duration
	requests  uint64         // number of requests so far
	served    map[string]int // by worker
}

// run generates requests until the given time.
func (s *steadyTraffic) run(until time.Duration) {
	const perSecond = 2000
	for ; s.now < until; s.now += time.Second / perSecond {
		if s.now >= s.nextSweep {
			s.nextSweep += s.machine.sweepInterval
			s.machine.Handle(s.now, Event{Kind: TimerFired, Timer: sweepTimer}, nil)
		}
		s.arrive()
	}
}

func (s *steadyTraffic) arrive() {
	s.requests++
	actions := s.machine.Handle(s.now, Event{
		Kind:     RequestArrived,
		Request:  s.requests,
		Slots:    1,
		Work:     50 * time.Millisecond,
		TimeLeft: 5 * time.Second,
	}, nil)
	assigned := findAction(actions, Assign)
	if assigned == nil {
		return
	}
	s.served[assigned.Worker]++
	s.machine.Handle(s.now, Event{
		Kind:     AttemptEnded,
		Request:  s.requests,
		Worker:   assigned.Worker,
		Outcome:  Completed,
		Answered: true,
	}, nil)
}

// near reports whether a is within a thousandth of b.
func near(a, b float64) bool { return a > b*0.999 && a < b*1.001 }

// In a large fleet, the work rates of warm workers are computed over several sweep intervals: none of these
// scans more than scanWorkersPerSweep workers, and the resulting rates are those of all workers.
func TestWorkRatesOfALargeFleetAreScannedInParts(t *testing.T) {
	const workers = 21000
	machine, _ := newLargeFleet(t, workers, 10)
	machine.planningHorizon = 1000 * time.Hour // so that recentWork does not decay meanwhile
	setRecentWork := func(seconds float64) (rate float64) {
		for _, worker := range machine.fleet {
			worker.recentWork = decayingValue{seconds, machine.now}
		}
		return seconds / machine.planningHorizon.Seconds()
	}
	first := setRecentWork(100)
	if got := machine.warmWorkRate(0); !near(got, first) {
		t.Fatalf("the work rate is %v at first, want %v", got, first)
	}
	second := setRecentWork(300)
	sweeps := 0
	for ; !near(machine.warmWorkRate(0), second); sweeps++ {
		if sweeps > 2*workers/scanWorkersPerSweep+2 {
			t.Fatalf("the work rate is %v after %d sweeps, want %v", machine.warmWorkRate(0), sweeps, second)
		}
		if at := machine.workRates.scan.next; at%scanWorkersPerSweep != 0 || at > workers {
			t.Fatalf("%d workers were scanned after %d sweeps", at, sweeps)
		}
		machine.now += machine.sweepInterval
	}
	if sweeps < workers/scanWorkersPerSweep {
		t.Errorf("%d sweeps for %d workers, at most %d per sweep", sweeps, workers, scanWorkersPerSweep)
	}
}

func TestWorkRatesOfASmallFleetAreScannedAtOnce(t *testing.T) {
	small, _ := newLargeFleet(t, scanWorkersPerSweep, 10)
	small.warmWorkRate(0)
	for _, worker := range small.fleet {
		worker.recentWork = decayingValue{100, small.now + small.sweepInterval}
	}
	small.now += small.sweepInterval
	if got, want := small.warmWorkRate(0), 100/small.planningHorizon.Seconds(); !near(got, want) {
		t.Errorf("the rate of a fleet that is scanned in one sweep is %v, want %v", got, want)
	}
}
