package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "dispatcher-serve")
	if out, err := exec.Command("go", "build", "-o", program, "../../../cmd/dispatcher-serve").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// A short soak, as CI plays it. `make soak` plays many seeds with more dispatchers.
func TestShortSoak(t *testing.T) {
	report, err := Run(context.Background(), Config{Daemon: program, Seed: 1, Daemons: 9, For: 15 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if len(report.Violations) > 0 {
		t.Error("rules were broken")
	}
	if report.Served < report.Requests/2 || report.Faults < 5 {
		t.Errorf("%d of %d requests were served under %d faults", report.Served, report.Requests, report.Faults)
	}
}

// The same seed gives the same faults, and each kind comes up within some seeds.
func TestSchedule(t *testing.T) {
	c := Config{For: time.Minute}
	c.normalize()
	met := map[faultKind]bool{}
	for seed := range uint64(10) {
		faults := schedule(seed, c)
		if !slices.Equal(faults, schedule(seed, c)) {
			t.Fatalf("seed %d gives two schedules", seed)
		}
		for _, f := range faults {
			met[f.kind] = true
			if f.at >= c.For || f.lasts > longestFault[f.kind] {
				t.Errorf("seed %d: %v at %v for %v", seed, f.kind, f.at, f.lasts)
			}
		}
	}
	if len(met) != int(kinds) {
		t.Errorf("only %d kinds of %d came up", len(met), kinds)
	}
}

// The judge finds each kind of break in records that hold one of each.
func TestJudge(t *testing.T) {
	discovery, err := startDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.close()
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	discovery.history["s-gone"] = []change{{at(-20), 1, ready}, {at(0), 2, gone}}
	discovery.history["s-here"] = []change{{at(-20), 1, ready}}
	d := &daemon{name: "n", config: map[string]any{"admin_addr": "127.0.0.1:1"}}
	r := &run{start: start, discovery: discovery}
	asked := func(id string, status int, answered, gone float64) request {
		q := request{id: id, class: "renewal", daemon: d, sent: at(10), wait: 4 * time.Second, status: status, answered: at(answered)}
		if gone > 0 {
			q.gone = at(gone)
		}
		return q
	}
	r.records.requests = []request{
		asked("good", 200, 11, 0), asked("late", 200, 15, 0), asked("none", 0, 0, 0), asked("left", 0, 0, 10.1),
		asked("twice", 200, 11, 0), asked("drained", 200, 11, 0), asked("long", 200, 11, 0),
	}
	came := func(id, worker string, when, left float64) arrival {
		return arrival{id: id, class: "renewal", worker: worker, at: at(when), left: time.Duration(left * float64(time.Second))}
	}
	r.records.arrivals = []arrival{
		came("good", "s-here", 10.1, 3.9), came("left", "s-here", 11, 3), came("twice", "s-here", 10.1, 3.9),
		came("twice", "s-here", 10.5, 3.5), came("drained", "s-gone", 10.1, 3.9), came("long", "s-here", 12, 3.9),
	}
	report := r.judge()
	for _, want := range []string{"lost: late", "lost: none", "lost: left", "duplicate: twice", "drain: drained", "time left: long"} {
		if !slices.ContainsFunc(report.Violations, func(v string) bool { return strings.Contains(v, want) }) {
			t.Errorf("%q was not found", want)
		}
	}
	if len(report.Violations) != 6 || report.Answered != 4 {
		t.Errorf("%v", report)
	}
}

// An outage moves when a change counts as notified, and nothing else does.
func TestNotified(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	d := &discovery{outages: []span{{at(10), at(20)}, {at(24), at(30)}}}
	for changed, want := range map[int]int{0: 6, 5: 36, 12: 36, 31: 37} {
		if got := d.notified(at(changed)); !got.Equal(at(want)) {
			t.Errorf("a change at %d s counts as notified at %v, not at %d s", changed, got.Sub(start), want)
		}
	}
}
