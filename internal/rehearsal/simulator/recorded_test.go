package simulator

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var updateRecorded = flag.Bool("update-recorded", false, "rewrite testdata/recorded.json")

const (
	recordedFile  = "testdata/recorded.json"
	recordedSeeds = 10
)

// TestRecordedResults compares the results of every scenario in deploy/scenarios with ten seeds, including the
// hash of all events, with the recorded ones. Time is virtual, so a change that is not meant to alter behaviour
// must not alter any number. For a change that is, -update-recorded rewrites the file.
func TestRecordedResults(t *testing.T) {
	got := runRecordedScenarios(t)
	if *updateRecorded {
		writeRecorded(t, got)
	}
	text, err := os.ReadFile(recordedFile)
	if err != nil {
		t.Fatal(err)
	}
	var want map[string]json.RawMessage
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	if len(want) != len(got) {
		t.Errorf("%d results are recorded, %d were run", len(want), len(got))
	}
	for name, result := range got {
		t.Run(name, func(t *testing.T) {
			if string(want[name]) != string(result) {
				t.Errorf("got  %s\nwant %s", result, want[name])
			}
		})
	}
}

// runRecordedScenarios runs the scenarios and returns the JSON of each result by the scenario's file name and the seed.
func runRecordedScenarios(t *testing.T) map[string]json.RawMessage {
	t.Helper()
	paths, err := filepath.Glob("../../../deploy/scenarios/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scenarios found", err)
	}
	var list []Scenario
	for _, path := range paths {
		scenario, err := ReadScenario(path)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, scenario)
	}
	results, err := RunAll(list, Seeds(1, recordedSeeds), func() {})
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]json.RawMessage{}
	for i, path := range paths {
		for _, result := range results[i] {
			text, err := json.Marshal(result)
			if err != nil {
				t.Fatal(err)
			}
			got[fmt.Sprintf("%s/%d", filepath.Base(path), result.Seed)] = text
		}
	}
	return got
}

// writeRecorded writes the results as one JSON object, sorted by name.
func writeRecorded(t *testing.T, got map[string]json.RawMessage) {
	t.Helper()
	text, err := json.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(recordedFile), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(recordedFile, text, 0o644); err != nil {
		t.Fatal(err)
	}
}
