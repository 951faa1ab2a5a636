package simulator

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
)

func scenario(t testing.TB, name string) Scenario {
	t.Helper()
	sc, err := ReadScenario(filepath.Join("../../../deploy/scenarios", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func play(t testing.TB, sc Scenario, seed uint64) (Result, []byte) {
	t.Helper()
	var log bytes.Buffer
	s, err := New(sc, seed, &log)
	if err != nil {
		t.Fatal(err)
	}
	return s.Run(), log.Bytes()
}

// The same scenario and seed give the same events, byte for byte, however many
// cores there are; another seed gives others. No rule breaks on any.
func TestSameSeedSameDay(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	for _, name := range []string{"day", "faults", "zone", "slow-start"} {
		sc := scenario(t, name)
		runtime.GOMAXPROCS(1)
		first, log := play(t, sc, 7)
		runtime.GOMAXPROCS(4)
		second, again := play(t, sc, 7)
		other, _ := play(t, sc, 8)
		if first.Hash != second.Hash || !bytes.Equal(log, again) || first.Score != second.Score {
			t.Errorf("%s: seed 7 gives %s and %s", name, first.Hash, second.Hash)
		}
		if first.Hash == other.Hash {
			t.Errorf("%s: seeds 7 and 8 give the same day", name)
		}
		for _, r := range []Result{first, other} {
			if len(r.Broken) > 0 || r.Score < 0.7 || r.Events < 1000 || r.Executed < 1000 {
				t.Errorf("%s: score %.3f, %d events, %d runs, broken %v", name, r.Score, r.Events, r.Executed, r.Broken)
			}
			for _, k := range r.Classes {
				if k.Asked != k.InAim+k.Late+k.Refused+k.Failed+k.Unanswered || k.Unanswered > 0 {
					t.Errorf("%s: %+v does not add up", name, k)
				}
			}
		}
	}
}

// Days drawn at random, with faults at random: no rule breaks.
func TestRandomDays(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 99))
		sc := scenario(t, "day")
		sc.LengthS = 8
		sc.Dispatchers, sc.Workers.Count, sc.Workers.Slots = 1+random.IntN(6), 1+random.IntN(8), 1+random.IntN(5)
		sc.Workers.Queue = random.IntN(10)
		sc.Load.Rate, sc.Load.Tries = 5+60*random.Float64(), 1+random.IntN(3)
		sc.Load.Swing, sc.Load.EachS = random.Float64()*0.9, 3
		sc.Net.Jitter = random.Float64() * 20
		for range random.IntN(5) {
			sc.Faults = append(sc.Faults, Fault{Kind: faultKinds[random.IntN(len(faultKinds))], AtS: 7 * random.Float64(), ForS: 4 * random.Float64(),
				Workers: 1 + random.IntN(sc.Workers.Count), Factor: 0.05 + 0.9*random.Float64(),
				Dispatchers: 1 + random.IntN(sc.Dispatchers)})
		}
		if err := sc.Check(); err != nil {
			t.Fatal(err)
		}
		if r, _ := play(t, sc, seed); len(r.Broken) > 0 {
			t.Errorf("seed %d: %v", seed, r.Broken[0])
		}
	}
}

// lone is one worker with Poisson arrivals and nothing else; it returns the mean wait in seconds.
func lone(t *testing.T, slots int, rate float64, law string, n int) float64 {
	t.Helper()
	sc := scenario(t, "day")
	sc.Dispatchers, sc.Workers.Count, sc.Workers.Slots, sc.Workers.Queue = 1, 1, slots, 1e6
	s, err := New(sc, 5, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.queue = nil // only the worker is looked at
	class := ClassOf{WorkMs: 100, Law: law}
	w, d, random := s.workers[0], &dispatcher{sim: s}, s.stream("lone")
	came := make([]time.Duration, 0, n)
	var next func()
	next = func() {
		came = append(came, s.now)
		w.arrive(&job{id: fmt.Sprint(len(came)), work: class.work(random), from: d})
		if len(came) < n {
			s.after(seconds(random.ExpFloat64()/rate), next)
		}
	}
	s.after(0, next)
	s.run(s.now + 1e9*time.Second)
	if len(w.books) != n {
		t.Fatalf("%d of %d ran", len(w.books), n)
	}
	sum := 0.0
	for i, r := range w.books { // in order: the first in is the first to start
		sum += (r.at - came[i]).Seconds()
	}
	return sum / float64(n)
}

// The worker's model against theory: mean waits of M/M/c by Erlang's C, of M/G/1
// by Pollaczek and Khinchine, within 2%.
func TestTheory(t *testing.T) {
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
		got := lone(t, x.slots, x.rate, x.law, 400_000)
		t.Logf("%s: mean wait %.3f ms, by theory %.3f ms (%+.2f%%)", x.name, got*1000, x.want*1000, 100*(got/x.want-1))
		if math.Abs(got/x.want-1) > 0.02 {
			t.Errorf("%s: mean wait %.3f ms, by theory %.3f ms", x.name, got*1000, x.want*1000)
		}
	}
}

// What faults do to a worker, against what they must.
func TestFaults(t *testing.T) {
	sc := scenario(t, "day")
	sc.Dispatchers, sc.Workers.Count, sc.Workers.Slots, sc.Workers.ColdFrom, sc.Workers.WarmAfterS = 1, 1, 1, 0.5, 10
	one := func(f Fault, at, work time.Duration) (ends time.Duration) {
		t.Helper()
		day := sc
		day.Faults = []Fault{f}
		s, err := New(day, 1, nil)
		if err != nil {
			t.Fatal(err)
		}
		s.queue = nil
		s.schedule(0, f)
		w := s.workers[0]
		j := &job{id: "j", work: work, from: &dispatcher{sim: s}}
		s.at(epoch+at, func() { w.arrive(j) })
		for until := time.Duration(0); until < 60*time.Second; until += time.Millisecond {
			s.run(epoch + until)
			if len(w.books) == 1 && len(w.running) == 0 {
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
		{"slow in its midst", Fault{Kind: "slow", AtS: 2, ForS: 1, Workers: 1, Factor: 0.5}, time.Second, 2 * time.Second, 3500 * time.Millisecond},
		{"paused in its midst", Fault{Kind: "pause", AtS: 2, ForS: 3, Workers: 1}, time.Second, 2 * time.Second, 6 * time.Second},
		{"come while paused", Fault{Kind: "pause", AtS: 0.5, ForS: 3, Workers: 1}, time.Second, 2 * time.Second, 5500 * time.Millisecond},
		// From half its pace at 2 s in a line to all of it at 12 s: 0.5 t + t*t/40 = 2 at t = 3.416.
		{"cold", Fault{Kind: "kill", AtS: 1, ForS: 1, Workers: 1}, 2 * time.Second, 2 * time.Second, 5416 * time.Millisecond},
	} {
		got := one(x.f, x.at, x.work)
		if slack := x.want / 50; got < x.want-slack || got > x.want+slack {
			t.Errorf("%s: ends at %v, want %v", x.name, got, x.want)
		}
	}
	if got := one(Fault{Kind: "kill", AtS: 2, ForS: 100, Workers: 1}, time.Second, 2*time.Second); got != 2*time.Second {
		t.Errorf("killed: gone at %v", got)
	}
}

// The checkers see what they are there for.
func TestCheckersSee(t *testing.T) {
	sc := scenario(t, "day")
	sc.LengthS = 5
	for name, spoil := range map[string]func(s *Sim){
		"an answer to a request that has one": func(s *Sim) {
			s.at(epoch+2*time.Second, func() {
				s.dispatchers[0].Respond(1, dispatch.Response{})
				s.dispatchers[0].Respond(1, dispatch.Response{})
			})
		},
		"ran twice": func(s *Sim) {
			s.at(epoch+4*time.Second, func() {
				for _, w := range s.workers {
					for _, r := range w.books {
						if r.class == 1 {
							s.workers[0].books = append(s.workers[0].books, run{r.id, r.class, s.now})
							return
						}
					}
				}
			})
		},
		"sent too late to w1": func(s *Sim) {
			s.at(epoch+4*time.Second, func() {
				d := s.dispatchers[0]
				d.told["w1"] = word{left: s.now - s.settings.DrainGrace - slack}
				d.Start(dispatch.Attempt{Handle: 1 << 40, Worker: "w1", Request: &dispatch.Request{ID: "in time", Work: time.Millisecond}})
				d.told["w1"] = word{left: s.now - s.settings.DrainGrace - slack - 1}
				d.Start(dispatch.Attempt{Handle: 1<<40 + 1, Worker: "w1", Request: &dispatch.Request{ID: "too late", Work: time.Millisecond}})
			})
		},
		"owes": func(s *Sim) {
			s.at(epoch+20*time.Second, func() {
				s.dispatchers[1].core.Accept(s.dispatchers[1], 1<<40, dispatch.Request{ID: "late", Work: time.Second})
			})
			s.sc.LengthS = 11 // the day ends in its midst
		},
	} {
		s, err := New(sc, 3, nil)
		if err != nil {
			t.Fatal(err)
		}
		spoil(s)
		r := s.Run()
		if all := strings.Join(r.Broken, "\n"); !strings.Contains(all, name) || strings.Contains(all, "sent in time") || !strings.Contains(r.Broken[0], "seed 3") {
			t.Errorf("%s: %v", name, r.Broken)
		}
	}
}

// A cold worker falls for good when it is sent too much; that is a broken rule if those who sent it knew of its start.
func TestColdWorkerFalls(t *testing.T) {
	sc := scenario(t, "day")
	sc.LengthS = 1
	// Four slots at a third of their pace carry 4 * 0.33 / 0.572 requests of mean work a second, four times of
	// which, two roots and two are 17.3.
	for _, x := range []struct {
		name         string
		jobs, told   int
		falls, wrong bool
	}{
		{"as many as it bears", 17, 17, false, false},
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
		w.started = s.now
		s.dispatchers[0].told[w.name] = word{started: w.started}
		for i := range x.jobs {
			from := s.dispatchers[0]
			if i >= x.told {
				from = s.dispatchers[1]
			}
			w.arrive(&job{id: fmt.Sprint(i), work: 572 * time.Millisecond, from: from})
		}
		if w.down != x.falls || len(s.broken) > 0 != x.wrong {
			t.Errorf("%s: down %v, broken %q", x.name, w.down, s.broken)
		}
		s.schedule(0, Fault{Kind: "kill", AtS: 0.1, ForS: 0.1, Workers: sc.Workers.Count})
		if s.run(epoch + time.Second); w.down != x.falls {
			t.Errorf("%s: killed and started anew, it is down: %v", x.name, w.down)
		}
	}
}

func TestBadScenarios(t *testing.T) {
	whole, err := os.ReadFile("../../../deploy/scenarios/faults.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "bad.toml")
	for _, x := range [][3]string{
		{"length_s = 60", "lenght_s = 60", "lenght_s: unknown key"},
		{"dispatchers = 5", "dispatchers = 0", "dispatchers: 0 is not between"},
		{"share = 0.64", "share = 0.5", "shares add up to 0.86"},
		{`kind = "pause"`, `kind = "paus"`, `fault[1].kind: "paus"`},
		{"factor = 0.1", "factor = 0", "fault[0].factor"},
		{"workers = 3", `zone = "moon"`, `no zone "moon"`},
		{"workers = 3", "", "fault[2]: at_s and for_s"},
		{"work_ms = 500", "work_ms = 0", "class[0]"},
		{"slots = 4", "slots = ", "line"},
	} {
		os.WriteFile(path, []byte(strings.Replace(string(whole), x[0], x[1], 1)), 0o600)
		if _, err := ReadScenario(path); err == nil || !strings.Contains(err.Error(), x[2]) {
			t.Errorf("%s: %v", x[1], err)
		}
	}
}

// What a day costs, by size.
func BenchmarkDay(b *testing.B) {
	for _, size := range []int{1, 4, 16, 40} {
		b.Run(fmt.Sprint(size*5), func(b *testing.B) {
			sc := scenario(b, "day")
			sc.Dispatchers, sc.Workers.Count, sc.Load.Rate = 5*size, 10*size, 33*float64(size)
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
