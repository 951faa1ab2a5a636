package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// childKind is the environment variable that makes the test binary a child process of a run.
const childKind = "HOLLYYOKE_SCALE_CHILD"

// TestMain runs the tests, or a child process of a run.
func TestMain(tests *testing.M) {
	var err error
	switch os.Getenv(childKind) {
	case "hollow":
		err = RunHollow(os.Stdin, os.Stdout)
	case "origin":
		err = RunOrigin(os.Stdin, os.Stdout)
	default:
		os.Exit(tests.Run())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// testPrograms runs the test binary as the children of a run.
func testPrograms() Programs {
	kind := func(name string) []string { return []string{"/usr/bin/env", childKind + "=" + name, os.Args[0]} }
	return Programs{Hollow: kind("hollow"), Origin: kind("origin"), Env: os.Environ()}
}

// execute runs a scenario without a log.
func execute(t *testing.T, scenario Scenario, mechanism Mechanism, programs Programs) *Run {
	t.Helper()
	run, err := Execute(context.Background(), scenario, mechanism, programs, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return run
}

// A small run has the planned counts. Durations are not asserted.
func TestSmallRun(t *testing.T) {
	run := execute(t, readScenario(t, "ci.toml"), ByDiscovery, testPrograms())
	checkCourse(t, run)
	checkMessages(t, run)
	checkBytes(t, run)
	checkAllocations(t, run)
	checkReport(t, run)
}

// checkCourse checks that each planned change was made and came into force everywhere.
func checkCourse(t *testing.T, run *Run) {
	t.Helper()
	made := len(run.tracker.changes)
	planned := run.Plan.Changes()
	if made != planned || planned < 20 {
		t.Errorf("%d changes were made of %d planned", made, planned)
	}
	if violations := run.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
	counted := 0
	for _, phase := range run.tracker.phases() {
		delays, missing := run.tracker.inForce(phase)
		counted += len(delays)
		if missing > 0 {
			t.Errorf("%d changes of phase %s never came into force everywhere", missing, phase)
		}
	}
	if counted != run.Plan.Changes() {
		t.Errorf("%d changes came into force of %d", counted, run.Plan.Changes())
	}
	if len(run.tracker.appliedVersions) != run.Scenario.Dispatchers {
		t.Errorf("%d dispatchers reported of %d", len(run.tracker.appliedVersions), run.Scenario.Dispatchers)
	}
}

// entriesOf returns the number of entries in all of the plan's changes.
func entriesOf(plan *Plan) int {
	entries := 0
	for _, step := range plan.Steps {
		for _, change := range step.Changes {
			entries += len(change)
		}
	}
	return entries
}

// checkMessages checks that a dispatcher receives each change at most once, and updates only the entries that changed.
func checkMessages(t *testing.T, run *Run) {
	t.Helper()
	dispatchers := int64(run.Scenario.Dispatchers)
	updates := run.countsAtEnd.ListUpdates - run.countsAtStart.ListUpdates
	entries := run.countsAtEnd.Entries - run.countsAtStart.Entries
	maxUpdates := dispatchers * int64(run.Plan.Changes())
	if updates < dispatchers || updates > maxUpdates {
		t.Errorf("%d list updates were received, not between %d and %d", updates, dispatchers, maxUpdates)
	}
	if want := dispatchers * int64(entriesOf(run.Plan)); entries != want {
		t.Errorf("%d entries were updated, %d changed", entries, want)
	}
	for name, versions := range run.tracker.appliedVersions {
		if len(versions) > run.Plan.Changes()+1 { // and the list at the start
			t.Errorf("%s had %d versions in force, one after the other", name, len(versions))
		}
	}
}

// Bytes of HTTP: the headers of a request and its response, and the framing of a line.
const (
	headBytes  = 400
	frameBytes = 16
)

// lineBytes returns the length on the wire of the list at the start, and of all changes.
func lineBytes(plan *Plan) (snapshot, deltas int64) {
	var initial []Change
	for _, host := range plan.Hosts {
		initial = append(initial, Change{Host: host})
	}
	for _, step := range plan.Steps {
		for _, changes := range step.Changes {
			deltas += versionBytes(changes) + frameBytes
		}
	}
	return versionBytes(initial), deltas
}

// versionBytes returns the length of the line of a version with the changes.
func versionBytes(changes []Change) int64 {
	const startMs = 1_800_000_000_000 // has as many digits as the times of the run
	version := listing{Version: 1}
	for _, change := range changes {
		host := change.Host
		if change.JustStarted {
			host.BornMs = startMs
		}
		version.Hosts = append(version.Hosts, host)
	}
	return int64(len(version.line()))
}

// checkBytes checks that a dispatcher receives the snapshot once, each change once, heartbeats, and no more.
func checkBytes(t *testing.T, run *Run) {
	t.Helper()
	snapshot, deltas := lineBytes(run.Plan)
	last := run.samples[len(run.samples)-1]
	span := last.takenAt.Sub(run.samples[0].takenAt)
	heartbeats := int64(span/heartbeatInterval + 10) // those of the start and the end, too
	minBytes := snapshot + deltas/2
	maxBytes := snapshot + deltas + heartbeats*frameBytes + headBytes
	for i := range run.Scenario.Dispatchers {
		name := hollowName(i)
		if got := last.clientBytes[name]; got < minBytes || got > maxBytes {
			t.Errorf("%s received and sent %d bytes, not between %d and %d", name, got, minBytes, maxBytes)
		}
	}
}

// checkAllocations checks that the allocations of a change are bounded by what changed and not by what is listed: far
// fewer than one for each worker and change would be at any larger size.
func checkAllocations(t *testing.T, run *Run) {
	t.Helper()
	const (
		perChange = 250   // at one dispatcher, JSON decoding and reports included
		perRun    = 1_000 // of one dispatcher: timers and heartbeats
	)
	dispatchers := uint64(run.Scenario.Dispatchers)
	limit := dispatchers * (perChange*uint64(run.Plan.Changes()) + perRun)
	if got := run.countsAtEnd.Allocations - run.countsAtStart.Allocations; got > limit {
		t.Errorf("%d allocations, more than %d", got, limit)
	}
}

// checkReport checks that the report can be read again and drawn.
func checkReport(t *testing.T, run *Run) {
	t.Helper()
	record := run.Record("command")
	if len(record.Violations) > 0 {
		t.Errorf("violations: %v", record.Violations)
	}
	checkJSON(t, record)
	checkTable(t, run, record)
	var chart bytes.Buffer
	if err := WriteChart(&chart, []*Run{run, run}); err != nil || !bytes.Contains(chart.Bytes(), []byte("<svg")) {
		t.Errorf("chart: %v", err)
	}
}

// checkJSON checks that a record that was written can be read again.
func checkJSON(t *testing.T, record Record) {
	t.Helper()
	var text bytes.Buffer
	if err := WriteJSON(&text, []Record{record}); err != nil {
		t.Fatal(err)
	}
	var read []Record
	if err := json.Unmarshal(text.Bytes(), &read); err != nil || len(read) != 1 || read[0].Mechanism != ByDiscovery {
		t.Errorf("%v: %s, want one record by %s", err, text.Bytes(), ByDiscovery)
	}
}

// checkTable checks that the table has the size of the run and its figures.
func checkTable(t *testing.T, run *Run, record Record) {
	t.Helper()
	var table bytes.Buffer
	WriteTable(&table, []*Run{run}, []Record{record})
	for _, want := range []string{"50 workers in 2 zones", "in_force.rack.p99", "dispatcher.hollow.memory"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, table.String())
		}
	}
}

// A small run by relays has the planned counts. The test binary is the origin and the hollow dispatchers; the relays
// are built.
func TestSmallRunByRelays(t *testing.T) {
	programs := testPrograms()
	programs.Relay = filepath.Join(t.TempDir(), "membership-relay")
	build := exec.Command("go", "build", "-o", programs.Relay, "../../../cmd/membership-relay")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	scenario := readScenario(t, "ci.toml")
	scenario.Events = append(scenario.Events,
		Event{Kind: RelayDown, AtS: 0.8, Zone: 1},
		Event{Kind: RelayUp, AtS: 1.6, Zone: 1},
	)
	run := execute(t, scenario, ByRelays, programs)
	checkCourse(t, run)
	checkRelayedMessages(t, run)
	checkAllocations(t, run)
	if record := run.Record("command"); len(record.Violations) > 0 {
		t.Errorf("violations: %v", record.Violations)
	}
}

// checkRelayedMessages checks that no dispatcher receives more lists and entries than changed, though it moved to
// another relay, nor more bytes than two snapshots, the changes and its acknowledgements. A restarted relay knows what
// changed before, but not when: a dispatcher that comes back to it may get all of that again.
func checkRelayedMessages(t *testing.T, run *Run) {
	t.Helper()
	const acknowledgementBytes = 500 // with its response
	dispatchers := int64(run.Scenario.Dispatchers)
	updates := run.countsAtEnd.ListUpdates - run.countsAtStart.ListUpdates
	maxUpdates := dispatchers * int64(run.Plan.Changes())
	if updates < dispatchers || updates > maxUpdates {
		t.Errorf("%d list updates were received, not between %d and %d", updates, dispatchers, maxUpdates)
	}
	cameBack := dispatchers / int64(run.Scenario.Zones)
	entries := run.countsAtEnd.Entries - run.countsAtStart.Entries
	maxEntries := (dispatchers + cameBack) * int64(entriesOf(run.Plan))
	if entries < dispatchers || entries > maxEntries {
		t.Errorf("%d entries were updated, not between %d and %d", entries, dispatchers, maxEntries)
	}
	last := run.samples[len(run.samples)-1]
	span := last.takenAt.Sub(run.samples[0].takenAt)
	acknowledgements := int64(span/time.Second) + 5 // one per second, and those of the start and of moves
	snapshot, deltas := lineBytes(run.Plan)
	maxBytes := 2*snapshot + deltas + acknowledgements*acknowledgementBytes
	for i := range run.Scenario.Dispatchers {
		name := hollowName(i)
		if got := last.clientBytes[name]; got == 0 || got > maxBytes {
			t.Errorf("%s received and sent %d bytes: a snapshot has %d, the changes %d, %d acknowledgements",
				name, got, snapshot, deltas, acknowledgements)
		}
	}
}
