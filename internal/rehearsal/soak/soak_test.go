package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// program is the path of dispatcher-serve, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "dispatcher-serve")
	build := exec.Command("go", "build", "-o", program, "../../../cmd/dispatcher-serve")
	output, err := build.CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", output, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// Guards against violations in a short run with one seed. `make soak` runs many seeds with more dispatchers.
func TestShortSoak(t *testing.T) {
	report, err := Run(context.Background(), Config{Program: program, Seed: 1, Daemons: 9, Duration: 15 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if len(report.Violations) > 0 {
		t.Error("rules were violated")
	}
	if report.Served < report.Requests/2 || report.Faults < 5 {
		t.Errorf("%d of %d requests were served under %d faults; want at least half of them, under at least 5 faults",
			report.Served, report.Requests, report.Faults)
	}
}

// Guards against violations in a run with durable queues. The run is long enough for restarts, floods of connections and
// faults of the disk.
func TestSoakWithDurableQueues(t *testing.T) {
	report, err := Run(context.Background(), Config{Program: program, Seed: 2, Daemons: 12, Duration: 40 * time.Second, Durable: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if len(report.Violations) > 0 {
		t.Error("rules were violated")
	}
	if report.Served < report.Requests/2 || report.Accepted < report.Pushed/2 || report.Runs < report.Accepted {
		t.Errorf("%d of %d requests were served, %d of %d jobs accepted, %d ran", report.Served, report.Requests, report.Accepted, report.Pushed, report.Runs)
	}
}

// Guards against violations while a process with durable queues is replaced and HTTP clients go on using their open
// connections: each request must be answered, and what is accepted must be stored and run. There are two other
// dispatchers only, so that hardly anything else can fail.
func TestSoakReplacesDurableProcess(t *testing.T) {
	report, err := Run(context.Background(), Config{Program: program, Seed: 10, Daemons: 2, Duration: 25 * time.Second, Durable: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if len(report.Violations) > 0 {
		t.Error("rules were violated")
	}
	if report.Keyed < 200 || report.Replacements < 5 || report.KeyedRefused == report.Keyed {
		t.Errorf("%d requests with keys, %d of them refused, and %d replacements; want at least 200 and 5, and not all refused",
			report.Keyed, report.KeyedRefused, report.Replacements)
	}
}
