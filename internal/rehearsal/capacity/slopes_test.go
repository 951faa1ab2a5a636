package capacity

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// oneRepetition returns slope runs of a version, with one repetition of one value.
func oneRepetition(version string) Slopes {
	slopes := Slopes{Command: "c", Date: "2026-12-02", Version: version, Cores: 8, Repetitions: 1, Sizes: []int{200}}
	slopes.record(ReadyTime, UnitSeconds, AxisWorkers, 200, 0.02)
	return slopes
}

// Repetitions of the same version of the program are merged, and those of different versions are not.
func TestMerge(t *testing.T) {
	slopes := oneRepetition("a")
	if err := slopes.Merge(oneRepetition("a")); err != nil || slopes.Repetitions != 2 || len(slopes.Series[0].Points[0].Values) != 2 {
		t.Errorf("%+v, %v, want 2 repetitions", slopes, err)
	}
	if err := slopes.Merge(oneRepetition("b")); err == nil {
		t.Error("repetitions of two versions were merged")
	}
}

// Each series of another run replaces the series of the same name, or is added if there is none.
func TestReplace(t *testing.T) {
	slopes := oneRepetition("a")
	other := oneRepetition("a")
	other.Series[0].Points[0].Values[0] = 0.5
	other.record(StartCPU, UnitSeconds, AxisWorkers, 200, 1)
	if err := slopes.Replace(other); err != nil || len(slopes.Series) != 2 || slopes.Series[0].Points[0].Values[0] != 0.5 {
		t.Errorf("%+v, %v, want the series of the other run", slopes, err)
	}
}

// Series of a run with another number of repetitions are not taken over.
func TestReplaceOfOtherRepetitions(t *testing.T) {
	twice := oneRepetition("a")
	if err := twice.Merge(oneRepetition("a")); err != nil {
		t.Fatal(err)
	}
	slopes := oneRepetition("a")
	if err := slopes.Replace(twice); err == nil {
		t.Error("a series of two repetitions replaced one of a single repetition")
	}
}

// A file is rejected if one of its points does not have exactly one value for each repetition.
func TestReadSlopesChecksRepetitions(t *testing.T) {
	slopes := testSlopes()
	slopes.Repetitions = 2
	text, err := json.Marshal(slopes)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "slopes.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadSlopes(path); err == nil || !strings.Contains(err.Error(), "3 values for 2 plays") {
		t.Errorf("%v, want an error that names 3 values for 2 plays", err)
	}
}
