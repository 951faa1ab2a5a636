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

// A short soak. `make soak` runs many seeds with more dispatchers.
func TestShortSoak(t *testing.T) {
	report, err := Run(context.Background(), Config{Daemon: program, Seed: 1, Daemons: 9, Duration: 15 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if len(report.Violations) > 0 {
		t.Error("rules were violated")
	}
	if report.Served < report.Requests/2 || report.Faults < 5 {
		t.Errorf("%d of %d requests were served under %d faults", report.Served, report.Requests, report.Faults)
	}
}

// The same seed gives the same faults, and each kind occurs within some seeds.
func TestSchedule(t *testing.T) {
	config := Config{Duration: time.Minute}
	config.setDefaults()
	seen := map[faultKind]bool{}
	for seed := range uint64(10) {
		faults := schedule(seed, config)
		if !slices.Equal(faults, schedule(seed, config)) {
			t.Fatalf("seed %d gives two schedules", seed)
		}
		for _, f := range faults {
			seen[f.kind] = true
			if f.start >= config.Duration || f.duration > maxDuration[f.kind] {
				t.Errorf("seed %d: %v at %v for %v", seed, f.kind, f.start, f.duration)
			}
		}
	}
	if len(seen) != int(faultKinds) {
		t.Errorf("only %d kinds of %d occur", len(seen), faultKinds)
	}
}

// Each kind of violation is found in records that contain one of each.
func TestCheckRules(t *testing.T) {
	discovery, err := startDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.close()
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	discovery.history["s-gone"] = []change{{at(-20), 1, ready}, {at(0), 2, gone}}
	discovery.history["s-here"] = []change{{at(-20), 1, ready}}
	dispatcher := &daemon{name: "n", config: daemonConfig{AdminAddr: "127.0.0.1:1"}}
	r := &run{start: start, discovery: discovery}
	sentRequest := func(id string, status int, answered, gone float64) request {
		sent := request{id: id, class: "renewal", daemon: dispatcher, sent: at(10), timeout: 4 * time.Second, status: status, answered: at(answered)}
		if gone > 0 {
			sent.clientLeft = at(gone)
		}
		return sent
	}
	r.records.requests = []request{
		sentRequest("good", 200, 11, 0), sentRequest("late", 200, 15, 0), sentRequest("none", 0, 0, 0), sentRequest("left", 0, 0, 10.1),
		sentRequest("twice", 200, 11, 0), sentRequest("drained", 200, 11, 0), sentRequest("long", 200, 11, 0),
	}
	arrivedAttempt := func(id, worker string, when, left float64) attempt {
		return attempt{id: id, class: "renewal", worker: worker, arrived: at(when), timeLeft: time.Duration(left * float64(time.Second))}
	}
	r.records.attempts = []attempt{
		arrivedAttempt("good", "s-here", 10.1, 3.9), arrivedAttempt("left", "s-here", 11, 3), arrivedAttempt("twice", "s-here", 10.1, 3.9),
		arrivedAttempt("twice", "s-here", 10.5, 3.5), arrivedAttempt("drained", "s-gone", 10.1, 3.9), arrivedAttempt("long", "s-here", 12, 3.9),
	}
	report := r.checkRules()
	for _, want := range []string{"lost: late", "lost: none", "lost: left", "duplicate: twice", "drain: drained", "time left: long"} {
		if !slices.ContainsFunc(report.Violations, func(v string) bool { return strings.Contains(v, want) }) {
			t.Errorf("%q was not found", want)
		}
	}
	if len(report.Violations) != 6 || report.Answered != 4 {
		t.Errorf("%v", report)
	}
}

// Only an outage of the discovery service moves the notification deadline of a change.
func TestNotificationDeadline(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	d := &discovery{outages: []interval{{at(10), at(20)}, {at(24), at(30)}}}
	for changed, want := range map[int]int{0: 6, 5: 36, 12: 36, 31: 37} {
		if got := d.notificationDeadline(at(changed)); !got.Equal(at(want)) {
			t.Errorf("the deadline of a change at %d s is %v, not %d s", changed, got.Sub(start), want)
		}
	}
}
