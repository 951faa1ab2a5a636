package simulator

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
)

func readScenario(t testing.TB, name string) Scenario {
	t.Helper()
	sc, err := ReadScenario(filepath.Join("../../../deploy/scenarios", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func runScenario(t testing.TB, sc Scenario, seed uint64) (Result, []byte) {
	t.Helper()
	var log bytes.Buffer
	s, err := New(sc, seed, &log)
	if err != nil {
		t.Fatal(err)
	}
	return s.Run(), log.Bytes()
}

// The same scenario and seed give the same event log, byte for byte, on any number of cores; another seed gives another.
// No run has violations.
func TestRunIsDeterministic(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	for _, name := range []string{"day", "faults", "zone", "slow-start"} {
		sc := readScenario(t, name)
		runtime.GOMAXPROCS(1)
		first, log := runScenario(t, sc, 7)
		runtime.GOMAXPROCS(4)
		second, again := runScenario(t, sc, 7)
		other, _ := runScenario(t, sc, 8)
		if first.Hash != second.Hash || !bytes.Equal(log, again) || first.Score != second.Score {
			t.Errorf("%s: seed 7 gives %s and %s", name, first.Hash, second.Hash)
		}
		if first.Hash == other.Hash {
			t.Errorf("%s: seeds 7 and 8 give the same run", name)
		}
		for _, r := range []Result{first, other} {
			if len(r.Violations) > 0 || r.Score < 0.7 || r.Events < 1000 || r.Executed < 1000 {
				t.Errorf("%s: score %.3f, %d events, %d runs, violations %v", name, r.Score, r.Events, r.Executed, r.Violations)
			}
			for _, k := range r.Classes {
				if k.Requests != k.WithinObjective+k.Late+k.Rejected+k.Failed+k.Unanswered || k.Unanswered > 0 {
					t.Errorf("%s: %+v does not add up", name, k)
				}
			}
		}
	}
}

// Random scenarios with random faults have no violations.
func TestRandomScenarios(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 99))
		sc := readScenario(t, "day")
		sc.LengthS = 8
		sc.Dispatchers = 1 + random.IntN(6)
		sc.Workers.Count = 1 + random.IntN(8)
		sc.Workers.Slots = 1 + random.IntN(5)
		sc.Workers.Queue = random.IntN(10)
		sc.Load.Rate = 5 + 60*random.Float64()
		sc.Load.MaxAttempts = 1 + random.IntN(3)
		sc.Load.Swing = random.Float64() * 0.9
		sc.Load.SwingPeriodS = 3
		sc.Net.Jitter = random.Float64() * 20
		for range random.IntN(5) {
			sc.Faults = append(sc.Faults, Fault{Kind: faultKinds[random.IntN(len(faultKinds))], AtS: 7 * random.Float64(), ForS: 4 * random.Float64(),
				Workers: 1 + random.IntN(sc.Workers.Count), Factor: 0.05 + 0.9*random.Float64(),
				Dispatchers: 1 + random.IntN(sc.Dispatchers)})
		}
		if err := sc.Check(); err != nil {
			t.Fatal(err)
		}
		if r, _ := runScenario(t, sc, seed); len(r.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, r.Violations[0])
		}
	}
}

// Each violation of an invariant is reported.
func TestViolationsAreReported(t *testing.T) {
	sc := readScenario(t, "day")
	sc.LengthS = 5
	for name, spoil := range map[string]func(s *Simulation){
		"a second answer to a request": func(s *Simulation) {
			s.scheduleAt(runStart+2*time.Second, func() {
				s.dispatchers[0].Respond(1, dispatch.Response{})
				s.dispatchers[0].Respond(1, dispatch.Response{})
			})
		},
		"ran twice": func(s *Simulation) {
			s.scheduleAt(runStart+4*time.Second, func() {
				for _, w := range s.workers {
					for _, r := range w.executions {
						if r.class == 1 {
							s.workers[0].executions = append(s.workers[0].executions, execution{r.id, r.class, s.now})
							return
						}
					}
				}
			})
		},
		"sent too late to w1": func(s *Simulation) {
			s.scheduleAt(runStart+4*time.Second, func() {
				d := s.dispatchers[0]
				d.workerUpdates["w1"] = workerUpdate{unavailableSince: s.now - s.settings.DrainGrace - timingSlack}
				d.Start(dispatch.Attempt{Handle: 1 << 40, Worker: "w1", Request: &dispatch.Request{ID: "in time", Work: time.Millisecond}})
				d.workerUpdates["w1"] = workerUpdate{unavailableSince: s.now - s.settings.DrainGrace - timingSlack - 1}
				d.Start(dispatch.Attempt{Handle: 1<<40 + 1, Worker: "w1", Request: &dispatch.Request{ID: "too late", Work: time.Millisecond}})
			})
		},
		"unanswered requests": func(s *Simulation) {
			s.scheduleAt(runStart+20*time.Second, func() {
				s.dispatchers[1].core.Accept(s.dispatchers[1], 1<<40, dispatch.Request{ID: "late", Work: time.Second})
			})
			s.scenario.LengthS = 11 // the run ends before it is answered
		},
	} {
		s, err := New(sc, 3, nil)
		if err != nil {
			t.Fatal(err)
		}
		spoil(s)
		r := s.Run()
		if all := strings.Join(r.Violations, "\n"); !strings.Contains(all, name) || strings.Contains(all, "sent in time") || !strings.Contains(r.Violations[0], "seed 3") {
			t.Errorf("%s: %v", name, r.Violations)
		}
	}
}

// The cost of a run by the size of the fleet.
func BenchmarkRun(b *testing.B) {
	for _, size := range []int{1, 4, 16, 40} {
		b.Run(fmt.Sprint(size*5), func(b *testing.B) {
			sc := readScenario(b, "day")
			sc.Dispatchers = 5 * size
			sc.Workers.Count = 10 * size
			sc.Load.Rate = 33 * float64(size)
			events := uint64(0)
			for range b.N {
				s, err := New(sc, 1, nil)
				if err != nil {
					b.Fatal(err)
				}
				events = s.Run().Events
			}
			b.ReportMetric(float64(events)*float64(b.N)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
