package simulator

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
)

func readScenario(t testing.TB, name string) Scenario {
	t.Helper()
	scenario, err := ReadScenario(filepath.Join("../../../deploy/scenarios", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

func runScenario(t testing.TB, scenario Scenario, seed uint64) (Result, []byte) {
	t.Helper()
	var log bytes.Buffer
	simulation, err := New(scenario, seed, &log)
	if err != nil {
		t.Fatal(err)
	}
	return simulation.Run(), log.Bytes()
}

// The same scenario and seed give the same event log, byte for byte, on any number of cores; another seed gives another.
// No run has violations.
func TestRunIsDeterministic(t *testing.T) {
	for _, name := range []string{"day", "faults", "zone", "slow-start"} {
		scenario := readScenario(t, name)
		setProcessors(t, 1)
		first, firstLog := runScenario(t, scenario, 7)
		setProcessors(t, 4)
		second, secondLog := runScenario(t, scenario, 7)
		other, _ := runScenario(t, scenario, 8)
		if first.Hash != second.Hash || !bytes.Equal(firstLog, secondLog) || first.Score != second.Score {
			t.Errorf("%s: seed 7 gives %s and %s", name, first.Hash, second.Hash)
		}
		if first.Hash == other.Hash {
			t.Errorf("%s: seeds 7 and 8 give the same run", name)
		}
		checkResult(t, name, first)
		checkResult(t, name, other)
	}
}

// checkResult checks that a run has no violations, executed many attempts and answered every request.
func checkResult(t *testing.T, name string, result Result) {
	t.Helper()
	if len(result.Violations) > 0 || result.Score < 0.7 || result.Events < 1000 || result.Executed < 1000 {
		t.Errorf("%s: score %.3f, %d events, %d runs, violations %v", name, result.Score, result.Events, result.Executed, result.Violations)
	}
	for _, class := range result.Classes {
		outcomes := class.WithinObjective + class.Late + class.Rejected + class.Failed + class.Unanswered
		if class.Requests != outcomes || class.Unanswered > 0 {
			t.Errorf("%s: %+v does not add up", name, class)
		}
	}
}

// Random scenarios with random faults have no violations.
func TestRandomScenarios(t *testing.T) {
	for seed := range uint64(40) {
		scenario := randomScenario(t, seed)
		if err := scenario.Check(); err != nil {
			t.Fatal(err)
		}
		if result, _ := runScenario(t, scenario, seed); len(result.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, result.Violations[0])
		}
	}
}

// randomScenario draws the size of a fleet, its load and its faults.
func randomScenario(t *testing.T, seed uint64) Scenario {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 99))
	scenario := readScenario(t, "day")
	scenario.LengthS = 8
	scenario.Dispatchers = 1 + random.IntN(6)
	scenario.Workers.Count = 1 + random.IntN(8)
	scenario.Workers.Slots = 1 + random.IntN(5)
	scenario.Workers.Queue = random.IntN(10)
	scenario.Load.Rate = 5 + 60*random.Float64()
	scenario.Load.MaxAttempts = 1 + random.IntN(3)
	scenario.Load.Swing = random.Float64() * 0.9
	scenario.Load.SwingPeriodS = 3
	scenario.Net.Jitter = random.Float64() * 20
	for range random.IntN(5) {
		scenario.Faults = append(scenario.Faults, Fault{
			Kind:        faultKinds[random.IntN(len(faultKinds))],
			AtS:         7 * random.Float64(),
			ForS:        4 * random.Float64(),
			Workers:     1 + random.IntN(scenario.Workers.Count),
			Factor:      0.05 + 0.9*random.Float64(),
			Dispatchers: 1 + random.IntN(scenario.Dispatchers),
		})
	}
	return scenario
}

// violationCases are functions that violate one invariant each. The key is a part of the text of the violation that
// must be reported.
var violationCases = map[string]func(*Simulation){
	"a second answer to a request": answerTwice,
	"ran twice":                    repeatExecution,
	"sent too late to w1":          sendToDrainedWorker,
	"unanswered requests":          acceptTooLate,
}

// answerTwice answers a request twice.
func answerTwice(simulation *Simulation) {
	simulation.scheduleAt(runStart+2*time.Second, func() {
		simulation.dispatchers[0].Respond(1, dispatch.Response{})
		simulation.dispatchers[0].Respond(1, dispatch.Response{})
	})
}

// repeatExecution records an execution of a request that is not idempotent a second time.
func repeatExecution(simulation *Simulation) {
	const nonIdempotentClass = 1
	simulation.scheduleAt(runStart+4*time.Second, func() {
		for _, executing := range simulation.workers {
			for _, run := range executing.executions {
				if run.class != nonIdempotentClass {
					continue
				}
				other := simulation.workers[0]
				other.executions = append(other.executions, execution{id: run.id, class: run.class, startedAt: simulation.now})
				return
			}
		}
	})
}

// sendToDrainedWorker sends one attempt at the last moment that is allowed after the drain of a worker, and one after
// it. The text of a violation contains the id of its attempt.
func sendToDrainedWorker(simulation *Simulation) {
	simulation.scheduleAt(runStart+4*time.Second, func() {
		sender := simulation.dispatchers[0]
		lastDrain := simulation.now - simulation.settings.DrainGrace - timingSlack
		send := func(handle uint64, id string) {
			request := &dispatch.Request{ID: id, Work: time.Millisecond}
			sender.Start(dispatch.Attempt{Handle: handle, Worker: "w1", Request: request})
		}
		sender.workerUpdates["w1"] = workerUpdate{unavailableSince: lastDrain}
		send(1<<40, "in time")
		sender.workerUpdates["w1"] = workerUpdate{unavailableSince: lastDrain - 1}
		send(1<<40+1, "too late")
	})
}

// acceptTooLate accepts a request so late that the run ends before it is answered.
func acceptTooLate(simulation *Simulation) {
	simulation.scheduleAt(runStart+20*time.Second, func() {
		receiver := simulation.dispatchers[1]
		receiver.core.Accept(receiver, 1<<40, dispatch.Request{ID: "late", Work: time.Second})
	})
	simulation.scenario.LengthS = 11
}

// A violation of each invariant is reported, with the seed.
func TestViolationsAreReported(t *testing.T) {
	scenario := readScenario(t, "day")
	scenario.LengthS = 5
	for want, violate := range violationCases {
		simulation, err := New(scenario, 3, nil)
		if err != nil {
			t.Fatal(err)
		}
		violate(simulation)
		violations := simulation.Run().Violations
		if len(violations) == 0 {
			t.Errorf("%s: no violation", want)
			continue
		}
		text := strings.Join(violations, "\n")
		if !strings.Contains(text, want) || strings.Contains(text, "sent in time") || !strings.Contains(violations[0], "seed 3") {
			t.Errorf("%s: %v", want, violations)
		}
	}
}

// The cost of a run by the size of the fleet.
func BenchmarkRun(b *testing.B) {
	for _, size := range []int{1, 4, 16, 40} {
		b.Run(fmt.Sprint(size*5), func(b *testing.B) {
			scenario := readScenario(b, "day")
			scenario.Dispatchers = 5 * size
			scenario.Workers.Count = 10 * size
			scenario.Load.Rate = 33 * float64(size)
			events := uint64(0)
			for range b.N {
				simulation, err := New(scenario, 1, nil)
				if err != nil {
					b.Fatal(err)
				}
				events = simulation.Run().Events
			}
			b.ReportMetric(float64(events)*float64(b.N)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
