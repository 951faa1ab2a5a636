package simulator

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// meanWait runs one worker with Poisson arrivals and nothing else, and returns the mean wait in seconds.
func meanWait(t *testing.T, slots int, rate float64, law string, n int) float64 {
	t.Helper()
	sc := readScenario(t, "day")
	sc.Dispatchers = 1
	sc.Workers.Count = 1
	sc.Workers.Slots = slots
	sc.Workers.Queue = 1e6
	s, err := New(sc, 5, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.queue = nil // only the worker matters
	class := ScenarioClass{WorkMs: 100, Distribution: law}
	w := s.workers[0]
	d := &dispatcher{simulation: s}
	random := s.randomStream("lone")
	came := make([]time.Duration, 0, n)
	var next func()
	next = func() {
		came = append(came, s.now)
		w.receive(&attempt{id: fmt.Sprint(len(came)), work: class.drawWork(random), dispatcher: d})
		if len(came) < n {
			s.scheduleAfter(seconds(random.ExpFloat64()/rate), next)
		}
	}
	s.scheduleAfter(0, next)
	s.runUntil(s.now + 1e9*time.Second)
	if len(w.executions) != n {
		t.Fatalf("%d of %d ran", len(w.executions), n)
	}
	sum := 0.0
	for i, r := range w.executions { // in order: the first in is the first to start
		sum += (r.startedAt - came[i]).Seconds()
	}
	return sum / float64(n)
}

// The worker's model agrees with queueing theory within 2%: mean waits of M/M/c by Erlang's C, of M/G/1 by Pollaczek and
// Khinchine.
func TestWorkerAgreesWithQueueingTheory(t *testing.T) {
	const service = 0.1
	erlang := func(c int, rate float64) float64 {
		a := rate * service
		sum, term := 0.0, 1.0
		for k := range c {
			sum += term
			term *= a / float64(k+1)
		}
		wait := term / (1 - a/float64(c))
		return wait / (sum + wait) * service / (float64(c) - a)
	}
	khinchine := func(rate, square float64) float64 { return rate * square / (2 * (1 - rate*service)) }
	for _, x := range []struct {
		name  string
		slots int
		rate  float64
		law   string
		want  float64
	}{
		{"M/M/1", 1, 6, "", erlang(1, 6)},
		{"M/M/4", 4, 28, "", erlang(4, 28)},
		{"M/D/1", 1, 7, "constant", khinchine(7, service*service)},
		{"M/G/1, lognormal", 1, 5, "lognormal", khinchine(5, service*service*math.E)},
	} {
		got := meanWait(t, x.slots, x.rate, x.law, 400_000)
		t.Logf("%s: mean wait %.3f ms, by theory %.3f ms (%+.2f%%)", x.name, got*1000, x.want*1000, 100*(got/x.want-1))
		if math.Abs(got/x.want-1) > 0.02 {
			t.Errorf("%s: mean wait %.3f ms, by theory %.3f ms", x.name, got*1000, x.want*1000)
		}
	}
}

// Each fault delays a running attempt by as much as it should.
func TestFaultsDelayAttempt(t *testing.T) {
	sc := readScenario(t, "day")
	sc.Dispatchers = 1
	sc.Workers.Count = 1
	sc.Workers.Slots = 1
	sc.Workers.SlowStartFloor = 0.5
	sc.Workers.SlowStartDurationS = 10
	endOfAttempt := func(f Fault, at, work time.Duration) time.Duration {
		t.Helper()
		faulty := sc
		faulty.Faults = []Fault{f}
		s, err := New(faulty, 1, nil)
		if err != nil {
			t.Fatal(err)
		}
		s.queue = nil
		s.scheduleFault(0, f)
		w := s.workers[0]
		sent := &attempt{id: "j", work: work, dispatcher: &dispatcher{simulation: s}}
		s.scheduleAt(runStart+at, func() { w.receive(sent) })
		for until := time.Duration(0); until < 60*time.Second; until += time.Millisecond {
			s.runUntil(runStart + until)
			if len(w.executions) == 1 && len(w.running) == 0 {
				return until
			}
		}
		return -1
	}
	for _, x := range []struct {
		name     string
		f        Fault
		at, work time.Duration
		want     time.Duration
	}{
		{"none", Fault{Kind: "slow", AtS: 50, ForS: 1, Workers: 1, Factor: 0.5}, time.Second, 2 * time.Second, 3 * time.Second},
		{"slow while it runs", Fault{Kind: "slow", AtS: 2, ForS: 1, Workers: 1, Factor: 0.5}, time.Second, 2 * time.Second, 3500 * time.Millisecond},
		{"paused while it runs", Fault{Kind: "pause", AtS: 2, ForS: 3, Workers: 1}, time.Second, 2 * time.Second, 6 * time.Second},
		{"arrives while paused", Fault{Kind: "pause", AtS: 0.5, ForS: 3, Workers: 1}, time.Second, 2 * time.Second, 5500 * time.Millisecond},
		// The pace rises linearly from half at 2 s to all at 12 s: 0.5 t + t*t/40 = 2 at t = 3.416.
		{"cold", Fault{Kind: "kill", AtS: 1, ForS: 1, Workers: 1}, 2 * time.Second, 2 * time.Second, 5416 * time.Millisecond},
	} {
		got := endOfAttempt(x.f, x.at, x.work)
		if slack := x.want / 50; got < x.want-slack || got > x.want+slack {
			t.Errorf("%s: ends at %v, want %v", x.name, got, x.want)
		}
	}
	if got := endOfAttempt(Fault{Kind: "kill", AtS: 2, ForS: 100, Workers: 1}, time.Second, 2*time.Second); got != 2*time.Second {
		t.Errorf("killed: ended at %v", got)
	}
}

// A warming worker crashes for good when too much is sent to it; that is a violation if those who sent it knew of its
// start.
func TestWarmingWorkerCrashes(t *testing.T) {
	sc := readScenario(t, "day")
	sc.LengthS = 1
	// Four slots at a third of their pace carry 4 * 0.33 / 0.572 requests of mean work per second; four times that plus
	// the chance allowance is 17.3.
	for _, x := range []struct {
		name               string
		sent, knowing      int // requests, and those from a dispatcher that knows of the start
		crashes, violation bool
	}{
		{"within its budget", 17, 17, false, false},
		{"one more", 18, 18, true, true},
		{"one more, less than two thirds from those who knew", 18, 11, true, false},
		{"one more, over two thirds from those who knew", 18, 13, true, true},
	} {
		s, err := New(sc, 1, nil)
		if err != nil {
			t.Fatal(err)
		}
		s.queue = nil
		w := s.workers[0]
		w.startedAt = s.now
		s.dispatchers[0].workerUpdates[w.name] = workerUpdate{startedAt: w.startedAt}
		for i := range x.sent {
			from := s.dispatchers[0]
			if i >= x.knowing {
				from = s.dispatchers[1]
			}
			w.receive(&attempt{id: fmt.Sprint(i), work: 572 * time.Millisecond, dispatcher: from})
		}
		if w.down != x.crashes || len(s.violations) > 0 != x.violation {
			t.Errorf("%s: down %v, violations %q", x.name, w.down, s.violations)
		}
		s.scheduleFault(0, Fault{Kind: "kill", AtS: 0.1, ForS: 0.1, Workers: sc.Workers.Count})
		s.runUntil(runStart + time.Second)
		if w.down != x.crashes {
			t.Errorf("%s: killed and restarted, it is down: %v", x.name, w.down)
		}
	}
}
