package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// childKind is the environment variable that makes the test binary a child process of a run.
const childKind = "HOLLYYOKE_SCALE_CHILD"

func TestMain(m *testing.M) {
	var err error
	switch os.Getenv(childKind) {
	case "hollow":
		err = RunHollow(os.Stdin, os.Stdout)
	case "origin":
		err = RunOrigin(os.Stdin, os.Stdout)
	default:
		os.Exit(m.Run())
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

const scenarioDir = "../../../deploy/scenarios/scale"

func readScenario(t *testing.T, name string) Scenario {
	t.Helper()
	s, err := ReadScenario(filepath.Join(scenarioDir, name))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A small run has the planned counts. Durations are not asserted.
func TestSmallRun(t *testing.T) {
	s := readScenario(t, "ci.toml")
	run, err := Execute(context.Background(), s, ByDiscovery, testPrograms(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
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
	line := func(hosts []Change) int64 {
		delta := listing{Version: 1}
		for _, change := range hosts {
			host := change.Host
			if change.JustStarted {
				host.BornMs = 1_800_000_000_000
			}
			delta.Hosts = append(delta.Hosts, host)
		}
		return int64(len(delta.line()))
	}
	var initial []Change
	for _, host := range plan.Hosts {
		initial = append(initial, Change{Host: host})
	}
	for _, step := range plan.Steps {
		for _, change := range step.Changes {
			deltas += line(change) + frameBytes
		}
	}
	return line(initial), deltas
}

// checkBytes checks that a dispatcher receives the snapshot once, each change once, heartbeats, and no more.
func checkBytes(t *testing.T, run *Run) {
	t.Helper()
	snapshot, deltas := lineBytes(run.Plan)
	last := run.samples[len(run.samples)-1]
	heartbeats := int(last.takenAt.Sub(run.samples[0].takenAt)/heartbeatInterval+10) * frameBytes // those of the start and the end, too
	minBytes := snapshot + deltas/2
	maxBytes := snapshot + deltas + int64(heartbeats+headBytes)
	for i := range run.Scenario.Dispatchers {
		if got := last.clientBytes[hollowName(i)]; got < minBytes || got > maxBytes {
			t.Errorf("%s received and sent %d bytes, not between %d and %d", hollowName(i), got, minBytes, maxBytes)
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
	var text, chart, table bytes.Buffer
	if err := WriteJSON(&text, []Record{record}); err != nil {
		t.Fatal(err)
	}
	var again []Record
	if err := json.Unmarshal(text.Bytes(), &again); err != nil || len(again) != 1 || again[0].Mechanism != ByDiscovery {
		t.Errorf("%v: %s", err, text.Bytes())
	}
	if err := WriteChart(&chart, []*Run{run, run}); err != nil || !bytes.Contains(chart.Bytes(), []byte("<svg")) {
		t.Errorf("chart: %v", err)
	}
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
	if out, err := exec.Command("go", "build", "-o", programs.Relay, "../../../cmd/membership-relay").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	s := readScenario(t, "ci.toml")
	s.Events = append(s.Events, Event{Kind: RelayDown, AtS: 0.8, Zone: 1}, Event{Kind: RelayUp, AtS: 1.6, Zone: 1})
	run, err := Execute(context.Background(), s, ByRelays, programs, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
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
	acknowledgements := int64(last.takenAt.Sub(run.samples[0].takenAt)/time.Second) + 5 // one per second, and those of the start and of moves
	snapshot, deltas := lineBytes(run.Plan)
	for i := range run.Scenario.Dispatchers {
		if got := last.clientBytes[hollowName(i)]; got == 0 || got > 2*snapshot+deltas+acknowledgements*acknowledgementBytes {
			t.Errorf("%s received and sent %d bytes: a snapshot has %d, the changes %d, %d acknowledgements", hollowName(i), got, snapshot, deltas, acknowledgements)
		}
	}
}

func TestScenarioFiles(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(scenarioDir, "*.toml"))
	if err != nil || len(files) < 6 {
		t.Fatal(files, err)
	}
	for _, path := range files {
		if _, err := ReadScenario(path); err != nil {
			t.Error(err)
		}
	}
}

func TestInvalidScenarios(t *testing.T) {
	const valid = "name = \"x\"\nworkers = 10\nzones = 2\nregions = 1\ndispatchers = 2\nlength_s = 1\ndeadline_s = 9\n"
	for want, text := range map[string]string{
		"colour: unknown key":      valid + "colour = 1\n",
		"workers: 0 is not":        strings.Replace(valid, "= 10", "= 0", 1),
		"regions: 3 is not":        strings.Replace(valid, "regions = 1", "regions = 3", 1),
		"mechanism: rumour is":     valid + "mechanism = [\"rumour\"]\n",
		"event[0].kind: \"flood\"": valid + "[[event]]\nkind = \"flood\"\n",
		"event[0].at_s: 2 is not":  valid + "[[event]]\nkind = \"relay_up\"\nat_s = 2\n",
		"event[0].zone: there is":  valid + "[[event]]\nkind = \"relay_up\"\nzone = 2\n",
		"event[0].count: missing":  valid + "[[event]]\nkind = \"rack\"\n",
	} {
		path := filepath.Join(t.TempDir(), "s.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadScenario(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v; want %q", err, want)
		}
	}
}

func TestMechanismIsNameOrList(t *testing.T) {
	for text, want := range map[string]Mechanisms{
		`mechanism = "relays"`:                {ByRelays},
		`mechanism = ["discovery", "relays"]`: {ByDiscovery, ByRelays},
		"":                                    {ByDiscovery},
	} {
		path := filepath.Join(t.TempDir(), "s.toml")
		text += "\nname = \"x\"\nworkers = 10\nzones = 2\nregions = 1\ndispatchers = 2\nlength_s = 1\ndeadline_s = 9\n"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if s, err := ReadScenario(path); err != nil || !slices.Equal(s.Mechanism, want) {
			t.Errorf("%s: %v %v", text, s.Mechanism, err)
		}
	}
}

func TestBoundsReportViolations(t *testing.T) {
	figures := Figures{
		{Name: "in_force.calm.p99", Value: 3}, {Name: "in_force.zone_loss.max", Value: 12},
		{Name: "dispatcher.real.memory_peak", Value: 130}, {Name: "dispatcher.hollow.core_share", Value: 0.01},
	}
	bounds := Bounds{Mechanisms: Mechanisms{ByRelays}, InForceP99S: 5, InForceMaxS: 10, MemoryMB: 128, CoreShare: 0.014}
	if violations := bounds.Violations(ByDiscovery, figures); len(violations) != 0 {
		t.Errorf("bounds of another mechanism: %v", violations)
	}
	violations := bounds.Violations(ByRelays, figures)
	if len(violations) != 2 || !strings.Contains(violations[0], "in_force.zone_loss.max") || !strings.Contains(violations[1], "memory_peak") {
		t.Errorf("%q", violations)
	}
}
