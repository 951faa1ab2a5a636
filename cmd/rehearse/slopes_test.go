package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/rehearsal/capacity"
)

// A small slope run with the daemon: every series has its values, and those that do not depend on the machine are right.
// Two runs are merged.
func TestSlopes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "slopes.json")
	args := []string{"slopes", "--sizes", "34,68,170", "--plays", "1", "--idle-span", "100ms", "--delta-span", "200ms", "--delta-rate", "50",
		"--daemon", filepath.Join(filepath.Dir(daemon), "dispatcher-serve"), "--append", "-o", file}
	for range 2 {
		var out, errs bytes.Buffer
		if code := run(args, strings.NewReader(""), &out, &errs); code != exitSuccess {
			t.Fatalf("code %d: %s", code, errs.String())
		}
	}
	s, err := capacity.ReadSlopes(file)
	if err != nil {
		t.Fatal(err)
	}
	if s.Repetitions != 2 || s.Zones != 17 || !strings.Contains(s.Command, "--sizes 34,68,170 ") {
		t.Errorf("%d plays in %d zones of %q", s.Repetitions, s.Zones, s.Command)
	}
	const series = 19
	if len(s.Series) != series {
		t.Errorf("%d series, want %d", len(s.Series), series)
	}
	for _, x := range s.Series {
		for _, p := range x.Points {
			switch value := p.Values[0]; x.Name {
			case capacity.ZoneLossDeltas: // one for each worker of one of 17 zones
				if value != float64(p.Size)/17 {
					t.Errorf("%d workers: %v deltas for a lost zone", p.Size, value)
				}
			case capacity.SnapshotBytes, capacity.SnapshotGzip, capacity.DeltaBytes, capacity.StartResident, capacity.PeakResident,
				capacity.ReadyTime, capacity.StartCPU, capacity.ModuleDelta, capacity.ModuleWarm, capacity.ModuleCold, capacity.ModulePick, capacity.ModuleTeams,
				capacity.ModuleSweep:
				if value <= 0 {
					t.Errorf("%s at %d: %v", x.Name, p.Size, value)
				}
			}
		}
	}
}

// The page is generated from the committed data; data without runs is refused.
func TestCapacityCommand(t *testing.T) {
	page := filepath.Join(t.TempDir(), "CAPACITY.md")
	var out, errs bytes.Buffer
	if code := run([]string{"capacity", "--data", "../../docs/capacity", "-o", page}, strings.NewReader(""), &out, &errs); code != exitSuccess {
		t.Fatalf("code %d: %s", code, errs.String())
	}
	if text, err := os.ReadFile(page); err != nil || !bytes.HasPrefix(text, []byte("# Capacity\n")) {
		t.Errorf("%v: %.40s", err, text)
	}
	if code := run([]string{"capacity", "--data", t.TempDir(), "-o", page}, strings.NewReader(""), &out, &errs); code != exitFailure {
		t.Errorf("an empty directory: code %d", code)
	}
}
