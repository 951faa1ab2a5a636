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

// childEnv is the environment variable by which the test binary, started as a child process of a run, is told
// which kind of child to be.
const childEnv = "HOLLYYOKE_SCALE_CHILD"

// childKinds holds what each kind of child process does.
var childKinds = map[string]func() error{
	"hollow": func() error { return RunHollow(os.Stdin, os.Stdout) },
	"origin": func() error { return RunOrigin(os.Stdin, os.Stdout) },
}

// TestMain runs the tests or, if the environment asks for it, a child process of a run.
func TestMain(tests *testing.M) {
	runChild, isChild := childKinds[os.Getenv(childEnv)]
	if !isChild {
		os.Exit(tests.Run())
	}
	if err := runChild(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// testPrograms returns commands that start the test binary as the child processes of a run.
func testPrograms() Programs {
	kind := func(name string) []string { return []string{"/usr/bin/env", childEnv + "=" + name, os.Args[0]} }
	return Programs{Hollow: kind("hollow"), Origin: kind("origin"), Env: os.Environ()}
}

// execute runs a scenario, without log output, and fails the test after an error.
func execute(t *testing.T, scenario Scenario, mechanism Mechanism, programs Programs) *Run {
	t.Helper()
	run, err := Execute(context.Background(), scenario, mechanism, programs, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return run
}

// A small run in which dispatchers watch the origin has the planned numbers of versions, messages, bytes and allocations.
// Durations depend on the machine and are not checked.
func TestSmallRun(t *testing.T) {
	run := execute(t, readScenario(t, "ci.toml"), MechanismDiscovery, testPrograms())
	checkPropagation(t, run)
	checkMessages(t, run)
	checkBytes(t, run)
	checkAllocations(t, run)
	checkReport(t, run)
}

// checkPropagation checks that each planned version was published and applied by all reachable dispatchers.
func checkPropagation(t *testing.T, run *Run) {
	t.Helper()
	published := len(run.tracker.publishedVersions)
	planned := run.Plan.VersionCount()
	if published != planned || planned < 20 {
		t.Errorf("%d versions were published, %d planned, want as many as planned and at least 20", published, planned)
	}
	if violations := run.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
	appliedEverywhere := 0
	for _, phase := range run.tracker.phases() {
		delays, missing := run.tracker.propagationDelays(phase)
		appliedEverywhere += len(delays)
		if missing > 0 {
			t.Errorf("%d versions of phase %s were never applied by all reachable dispatchers", missing, phase)
		}
	}
	if appliedEverywhere != run.Plan.VersionCount() {
		t.Errorf("%d of %d versions were applied by all reachable dispatchers", appliedEverywhere, run.Plan.VersionCount())
	}
	if len(run.tracker.appliedVersions) != run.Scenario.Dispatchers {
		t.Errorf("%d of %d dispatchers reported an applied version", len(run.tracker.appliedVersions), run.Scenario.Dispatchers)
	}
}

// entriesOf returns the number of endpoint list entries that all versions of the plan change, together.
func entriesOf(plan *Plan) int {
	entries := 0
	for _, step := range plan.Steps {
		for _, change := range step.Changes {
			entries += len(change)
		}
	}
	return entries
}

// checkMessages checks that a dispatcher receives at most one list update for each published version, and that the updates
// have exactly the entries that the plan changes.
func checkMessages(t *testing.T, run *Run) {
	t.Helper()
	dispatchers := int64(run.Scenario.Dispatchers)
	updates := run.countersAtEnd.ListUpdates - run.countersAtStart.ListUpdates
	entries := run.countersAtEnd.Entries - run.countersAtStart.Entries
	maxUpdates := dispatchers * int64(run.Plan.VersionCount())
	if updates < dispatchers || updates > maxUpdates {
		t.Errorf("%d list updates were received, not between %d and %d", updates, dispatchers, maxUpdates)
	}
	if want := dispatchers * int64(entriesOf(run.Plan)); entries != want {
		t.Errorf("list updates had %d entries, want the %d that the plan changes", entries, want)
	}
	for name, versions := range run.tracker.appliedVersions {
		if len(versions) > run.Plan.VersionCount()+1 { // and the version at the start
			t.Errorf("%s applied %d versions, more than were published", name, len(versions))
		}
	}
}

// Overhead of HTTP in bytes, as an upper limit.
const (
	headBytes  = 400 // heads of a request and its response
	frameBytes = 16  // chunked encoding of a line
)

// lineBytes returns the number of bytes on the wire of the snapshot at the start and of the deltas of all steps.
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

// versionBytes returns the length of the line of a version with the given changes.
func versionBytes(changes []Change) int64 {
	const startMs = 1_800_000_000_000 // has as many digits as the start times in the run
	version := listUpdate{Version: 1}
	for _, change := range changes {
		host := change.Host
		if change.JustStarted {
			host.BornMs = startMs
		}
		version.Hosts = append(version.Hosts, host)
	}
	return int64(len(version.line()))
}

// checkBytes checks that the number of bytes of each dispatcher fits what it should receive: the snapshot once, each delta
// at most once, and otherwise only heartbeats.
func checkBytes(t *testing.T, run *Run) {
	t.Helper()
	snapshot, deltas := lineBytes(run.Plan)
	last := run.samples[len(run.samples)-1]
	span := last.takenAt.Sub(run.samples[0].takenAt)
	heartbeats := int64(span/heartbeatInterval + 10) // ten more for the time before the first sample and after the last
	minBytes := snapshot + deltas/2
	maxBytes := snapshot + deltas + heartbeats*frameBytes + headBytes
	for i := range run.Scenario.Dispatchers {
		name := hollowName(i)
		if got := last.clientBytes[name]; got < minBytes || got > maxBytes {
			t.Errorf("%s received and sent %d bytes, not between %d and %d", name, got, minBytes, maxBytes)
		}
	}
}

// checkAllocations checks that the number of heap allocations grows with the number of versions and not with that of
// listed workers: with more workers, one allocation for each worker and version would exceed the limit by far.
func checkAllocations(t *testing.T, run *Run) {
	t.Helper()
	const (
		perVersion = 250   // for each version at one dispatcher, including JSON decoding and reports
		perRun     = 1_000 // for each dispatcher over the run: timers and heartbeats
	)
	dispatchers := uint64(run.Scenario.Dispatchers)
	limit := dispatchers * (perVersion*uint64(run.Plan.VersionCount()) + perRun)
	if got := run.countersAtEnd.Allocations - run.countersAtStart.Allocations; got > limit {
		t.Errorf("%d allocations, more than %d", got, limit)
	}
}

// checkReport checks that the run can be written as JSON, as a table and as a chart, and has no violations.
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

// checkJSON checks that a written record can be read back.
func checkJSON(t *testing.T, record Record) {
	t.Helper()
	var text bytes.Buffer
	if err := WriteJSON(&text, []Record{record}); err != nil {
		t.Fatal(err)
	}
	var read []Record
	if err := json.Unmarshal(text.Bytes(), &read); err != nil || len(read) != 1 || read[0].Mechanism != MechanismDiscovery {
		t.Errorf("%v: %s, want one record by %s", err, text.Bytes(), MechanismDiscovery)
	}
}

// checkTable checks that the table shows the size of the scenario and the figures.
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

// A small run in which dispatchers follow relays has the planned numbers of versions, messages, bytes and allocations, even
// though a relay is killed and restarted. The test binary runs as the origin and as the hollow dispatchers; the test builds
// the relay program.
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
	run := execute(t, scenario, MechanismRelays, programs)
	checkPropagation(t, run)
	checkRelayedMessages(t, run)
	checkAllocations(t, run)
	if record := run.Record("command"); len(record.Violations) > 0 {
		t.Errorf("violations: %v", record.Violations)
	}
}

// checkRelayedMessages checks that a dispatcher receives at most one list update for each published version, even though
// some dispatchers move to another relay, and at most the bytes of two snapshots, the deltas and its acknowledgements. The
// dispatchers of the zone whose relay is restarted may receive all changed entries twice: the restarted relay knows which
// entries changed, but not by which version, and may send all of them again.
func checkRelayedMessages(t *testing.T, run *Run) {
	t.Helper()
	const acknowledgementBytes = 500 // one acknowledgement with its response
	dispatchers := int64(run.Scenario.Dispatchers)
	updates := run.countersAtEnd.ListUpdates - run.countersAtStart.ListUpdates
	maxUpdates := dispatchers * int64(run.Plan.VersionCount())
	if updates < dispatchers || updates > maxUpdates {
		t.Errorf("%d list updates were received, not between %d and %d", updates, dispatchers, maxUpdates)
	}
	ofRestartedRelay := dispatchers / int64(run.Scenario.Zones)
	entries := run.countersAtEnd.Entries - run.countersAtStart.Entries
	maxEntries := (dispatchers + ofRestartedRelay) * int64(entriesOf(run.Plan))
	if entries < dispatchers || entries > maxEntries {
		t.Errorf("%d entries were updated, not between %d and %d", entries, dispatchers, maxEntries)
	}
	last := run.samples[len(run.samples)-1]
	span := last.takenAt.Sub(run.samples[0].takenAt)
	acknowledgements := int64(span/time.Second) + 5 // one per second, and a few at the start and after a move to another relay
	snapshot, deltas := lineBytes(run.Plan)
	maxBytes := 2*snapshot + deltas + acknowledgements*acknowledgementBytes
	for i := range run.Scenario.Dispatchers {
		name := hollowName(i)
		if got := last.clientBytes[name]; got == 0 || got > maxBytes {
			t.Errorf("%s received and sent %d bytes, want some, and at most 2 snapshots of %d, deltas of %d and %d acknowledgements",
				name, got, snapshot, deltas, acknowledgements)
		}
	}
}
