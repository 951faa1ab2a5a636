package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// writeFiles writes files to a new directory.
func writeFiles(t *testing.T, files map[string]string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// scaleRunJSON returns the content of a file with one run of the scenario day.
func scaleRunJSON(mechanism, figures string) string {
	const format = `[{"command":"scale day","seed":1,"workers":200,"dispatchers":3,"mechanism":%q,"scenario":"day","figures":[%s]}]`
	return fmt.Sprintf(format, mechanism, figures)
}

// The runs of one scenario are the columns of one table, which has a line for each figure that any of them has.
func TestScaleTables(t *testing.T) {
	dir := writeFiles(t, map[string]string{
		"day-discovery.json": scaleRunJSON(byDiscovery, `{"name":"bytes","unit":"B/s","value":12345.6,"kind":"real"}`),
		"day-relays.json": scaleRunJSON(byRelays,
			`{"name":"bytes","unit":"B/s","value":2,"kind":"real"},{"name":"p99","unit":"s","value":0.25,"kind":"hollow"}`),
		slopesFile: `{}`, // not a scale run, and not read
	})
	runs, err := readScale(dir)
	if err != nil {
		t.Fatal(err)
	}
	tables := scaleTables(runs)
	if len(tables) != 1 || len(tables[0].Runs) != 2 || len(tables[0].Lines) != 2 {
		t.Fatalf("%+v, want one table of 2 runs and 2 lines", tables)
	}
	for i, want := range [][]string{{"12,300", "2"}, {"", "0.25"}} {
		if got := tables[0].Lines[i].Values; !slices.Equal(got, want) {
			t.Errorf("line %d: %q, want %q", i, got, want)
		}
	}
}

// A file with a run that has no command is rejected.
func TestScaleRunWithoutCommand(t *testing.T) {
	dir := writeFiles(t, map[string]string{"broken.json": `[{"scenario":"x"}]`})
	if _, err := readScale(dir); err == nil {
		t.Error("a run without a command was read")
	}
}

// scaleRun returns a run with 66 hollow dispatchers and 2 daemons.
func scaleRun(mechanism string, workers int, scenario string, figures ...ScaleFigure) ScaleRun {
	return ScaleRun{
		Command:     "c",
		File:        scenario + ".json",
		Mechanism:   mechanism,
		Scenario:    scenario,
		Workers:     workers,
		Dispatchers: 66,
		Real:        2,
		Figures:     figures,
	}
}

// For each bounded figure and mechanism there is one need: the largest value of the runs with the target's number of workers.
func TestScaleNeeds(t *testing.T) {
	basis := testBasis()
	basis.Scale = []ScaleRun{
		scaleRun(byRelays, 21000, "zone",
			ScaleFigure{Name: "in_force.calm.max", Value: 0.5},
			ScaleFigure{Name: "in_force.zone_loss.max", Value: 2},
			ScaleFigure{Name: "dispatcher.real.memory_peak", Value: 40},
		),
		scaleRun(byRelays, 21000, "rack", ScaleFigure{Name: "in_force.calm.max", Value: 1}),
		scaleRun(byRelays, 2100, "zone", ScaleFigure{Name: "in_force.calm.max", Value: 9}),
		scaleRun(byDiscovery, 21000, "zone",
			ScaleFigure{Name: "in_force.calm.p99", Value: 8},
			ScaleFigure{Name: "origin.bytes_out_worst_10s", Value: 1e6},
		),
	}
	wantHeadrooms := map[string]float64{
		"scale run by relays: memory at its peak, a real daemon (scenario zone, 68 dispatchers)":                     128e6 / (40 << 20),
		"scale run by relays: time until the last reachable dispatcher has a change (scenario zone, 68 dispatchers)": 5,
		"scale run by discovery: bytes a second in the worst ten seconds (scenario zone, 68 dispatchers)":            125,
	}
	rows := basis.scaleRows(basis.Scale)
	if len(rows) != len(wantHeadrooms) {
		t.Errorf("%d rows, want %d: %+v", len(rows), len(wantHeadrooms), rows)
	}
	for _, row := range rows {
		if want := wantHeadrooms[row.What]; !near(row.Headroom(), want) || row.Need.Mark != Measured {
			t.Errorf("%s: headroom %v, want %v; %+v", row.What, row.Headroom(), want, row.Need)
		}
	}
}
