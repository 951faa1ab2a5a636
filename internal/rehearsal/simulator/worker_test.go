package simulator

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// singleWorkerScenario is a scenario with one dispatcher and one worker.
func singleWorkerScenario(t *testing.T) Scenario {
	t.Helper()
	scenario := readScenario(t, "day")
	scenario.Dispatchers = 1
	scenario.Workers.Count = 1
	return scenario
}

// newIdleSimulation prepares a run in which no event is scheduled.
func newIdleSimulation(t *testing.T, scenario Scenario, seed uint64) *Simulation {
	t.Helper()
	simulation, err := New(scenario, seed, nil)
	if err != nil {
		t.Fatal(err)
	}
	simulation.queue = nil
	return simulation
}

// queueModel is a model of queueing theory: Poisson arrivals at one worker, which serves them in order of arrival.
type queueModel struct {
	name         string
	slots        int
	rate         float64 // arrivals per second
	distribution string  // of the service time
	wantMeanWait float64 // seconds
}

// serviceTime is the mean service time of all models, in seconds.
const serviceTime = 0.1

// meanWait simulates a number of arrivals at a worker, without dispatchers, and returns the mean wait in seconds.
func (m *queueModel) meanWait(t *testing.T, arrivals int) float64 {
	t.Helper()
	scenario := singleWorkerScenario(t)
	scenario.Workers.Slots = m.slots
	scenario.Workers.Queue = 1e6
	simulation := newIdleSimulation(t, scenario, 5)
	class := ScenarioClass{WorkMs: serviceTime * 1000, Distribution: m.distribution}
	server := simulation.workers[0]
	sender := &dispatcher{simulation: simulation}
	random := simulation.randomStream("lone")
	arrivedAt := make([]time.Duration, 0, arrivals)
	var arrive func()
	arrive = func() {
		arrivedAt = append(arrivedAt, simulation.now)
		server.receive(&attempt{id: fmt.Sprint(len(arrivedAt)), work: class.drawWork(random), dispatcher: sender})
		if len(arrivedAt) < arrivals {
			simulation.scheduleAfter(seconds(random.ExpFloat64()/m.rate), arrive)
		}
	}
	simulation.scheduleAfter(0, arrive)
	simulation.runUntil(simulation.now + 1e9*time.Second)
	if len(server.executions) != arrivals {
		t.Fatalf("%d of %d ran", len(server.executions), arrivals)
	}
	sum := 0.0
	for i, run := range server.executions { // executions are in order of arrival
		sum += (run.startedAt - arrivedAt[i]).Seconds()
	}
	return sum / float64(arrivals)
}

// erlangMeanWait is the mean wait in an M/M/c queue by the Erlang C formula.
func erlangMeanWait(servers int, rate float64) float64 {
	load := rate * serviceTime
	sum := 0.0
	term := 1.0
	for k := range servers {
		sum += term
		term *= load / float64(k+1)
	}
	waiting := term / (1 - load/float64(servers))
	return waiting / (sum + waiting) * serviceTime / (float64(servers) - load)
}

// pollaczekKhinchineMeanWait is the mean wait in an M/G/1 queue. secondMoment is the second moment of the service time.
func pollaczekKhinchineMeanWait(rate, secondMoment float64) float64 {
	return rate * secondMoment / (2 * (1 - rate*serviceTime))
}

// The worker's model agrees with queueing theory within 2%.
func TestWorkerAgreesWithQueueingTheory(t *testing.T) {
	const (
		arrivals  = 400_000
		tolerance = 0.02
		squared   = serviceTime * serviceTime
	)
	for _, model := range []queueModel{
		{name: "M/M/1", slots: 1, rate: 6, wantMeanWait: erlangMeanWait(1, 6)},
		{name: "M/M/4", slots: 4, rate: 28, wantMeanWait: erlangMeanWait(4, 28)},
		{name: "M/D/1", slots: 1, rate: 7, distribution: Constant, wantMeanWait: pollaczekKhinchineMeanWait(7, squared)},
		{name: "M/G/1, lognormal", slots: 1, rate: 5, distribution: Lognormal, wantMeanWait: pollaczekKhinchineMeanWait(5, squared*math.E)},
	} {
		got := model.meanWait(t, arrivals)
		want := model.wantMeanWait
		t.Logf("%s: mean wait %.3f ms, by theory %.3f ms (%+.2f%%)", model.name, got*1000, want*1000, 100*(got/want-1))
		if math.Abs(got/want-1) > tolerance {
			t.Errorf("%s: mean wait %.3f ms, by theory %.3f ms", model.name, got*1000, want*1000)
		}
	}
}

// attemptEndTime sends an attempt of 2 s of work to a worker with a fault and returns the time since the start of the
// run at which it ends, or -1 if it does not end within a minute.
func attemptEndTime(t *testing.T, fault Fault, sentAt time.Duration) time.Duration {
	t.Helper()
	const (
		work     = 2 * time.Second
		maxSpan  = 60 * time.Second
		stepSize = time.Millisecond
	)
	scenario := singleWorkerScenario(t)
	scenario.Workers.Slots = 1
	scenario.Workers.SlowStartFloor = 0.5
	scenario.Workers.SlowStartDurationS = 10
	scenario.Faults = []Fault{fault}
	simulation := newIdleSimulation(t, scenario, 1)
	simulation.scheduleFault(0, fault)
	server := simulation.workers[0]
	sent := &attempt{id: "j", work: work, dispatcher: &dispatcher{simulation: simulation}}
	simulation.scheduleAt(runStart+sentAt, func() { server.receive(sent) })
	for elapsed := time.Duration(0); elapsed < maxSpan; elapsed += stepSize {
		simulation.runUntil(runStart + elapsed)
		if len(server.executions) == 1 && len(server.running) == 0 {
			return elapsed
		}
	}
	return -1
}

// With each fault, an attempt ends when it should, within 2%.
func TestFaultsDelayAttempt(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  Fault
		sentAt time.Duration
		want   time.Duration
	}{
		{
			name:   "none",
			fault:  Fault{Kind: FaultSlow, AtS: 50, ForS: 1, Workers: 1, Factor: 0.5},
			sentAt: time.Second,
			want:   3 * time.Second,
		},
		{
			name:   "slow while it runs",
			fault:  Fault{Kind: FaultSlow, AtS: 2, ForS: 1, Workers: 1, Factor: 0.5},
			sentAt: time.Second,
			want:   3500 * time.Millisecond,
		},
		{
			name:   "paused while it runs",
			fault:  Fault{Kind: FaultPause, AtS: 2, ForS: 3, Workers: 1},
			sentAt: time.Second,
			want:   6 * time.Second,
		},
		{
			name:   "arrives while paused",
			fault:  Fault{Kind: FaultPause, AtS: 0.5, ForS: 3, Workers: 1},
			sentAt: time.Second,
			want:   5500 * time.Millisecond,
		},
		{
			// The pace rises linearly from 0.5 at 2 s to 1 at 12 s. t s after the start, 0.5 t + t*t/40 s of work are
			// done: 2 s at t = 3.416.
			name:   "warming up",
			fault:  Fault{Kind: FaultKill, AtS: 1, ForS: 1, Workers: 1},
			sentAt: 2 * time.Second,
			want:   5416 * time.Millisecond,
		},
	} {
		got := attemptEndTime(t, test.fault, test.sentAt)
		if slack := test.want / 50; got < test.want-slack || got > test.want+slack {
			t.Errorf("%s: ends at %v, want %v", test.name, got, test.want)
		}
	}
}

// An attempt ends when its worker is killed.
func TestKillEndsAttempt(t *testing.T) {
	fault := Fault{Kind: FaultKill, AtS: 2, ForS: 100, Workers: 1}
	if got := attemptEndTime(t, fault, time.Second); got != 2*time.Second {
		t.Errorf("killed at 2 s: ended at %v", got)
	}
}

// A warming worker crashes for good when too much work is sent to it. That is a violation if more than two thirds of
// the work came from dispatchers that knew of its start.
func TestWarmingWorkerCrashes(t *testing.T) {
	// Four slots at a third of their pace carry 4 * 0.33 / 0.572 requests of mean work per second; four times that plus
	// the chance allowance is 17.3.
	const meanWork = 572 * time.Millisecond
	scenario := readScenario(t, "day")
	scenario.LengthS = 1
	for _, test := range []struct {
		name          string
		sent          int // requests
		fromKnowing   int // of those, from a dispatcher that knows of the start
		wantCrash     bool
		wantViolation bool
	}{
		{name: "within its budget", sent: 17, fromKnowing: 17},
		{name: "one more", sent: 18, fromKnowing: 18, wantCrash: true, wantViolation: true},
		{name: "one more, less than two thirds from those who knew", sent: 18, fromKnowing: 11, wantCrash: true},
		{name: "one more, over two thirds from those who knew", sent: 18, fromKnowing: 13, wantCrash: true, wantViolation: true},
	} {
		simulation := newIdleSimulation(t, scenario, 1)
		knowing := simulation.dispatchers[0]
		unknowing := simulation.dispatchers[1]
		warming := simulation.workers[0]
		warming.startedAt = simulation.now
		knowing.workerUpdates[warming.name] = workerUpdate{startedAt: warming.startedAt}
		for i := range test.sent {
			sender := knowing
			if i >= test.fromKnowing {
				sender = unknowing
			}
			warming.receive(&attempt{id: fmt.Sprint(i), work: meanWork, dispatcher: sender})
		}
		violated := len(simulation.violations) > 0
		if warming.down != test.wantCrash || violated != test.wantViolation {
			t.Errorf("%s: down %v, want %v; violations %q, want any: %v",
				test.name, warming.down, test.wantCrash, simulation.violations, test.wantViolation)
		}
		restart := Fault{Kind: FaultKill, AtS: 0.1, ForS: 0.1, Workers: scenario.Workers.Count}
		simulation.scheduleFault(0, restart)
		simulation.runUntil(runStart + time.Second)
		if warming.down != test.wantCrash {
			t.Errorf("%s: killed and restarted, it is down: %v, want %v", test.name, warming.down, test.wantCrash)
		}
	}
}
