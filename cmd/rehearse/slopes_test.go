package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/rehearsal/capacity"
)

// slopeZones is the number of zones of the listed workers in a slope run.
const slopeZones = 17

// positiveSeries are series whose values depend on the machine, but are never zero.
var positiveSeries = map[capacity.SeriesName]bool{
	capacity.SnapshotBytes:                true,
	capacity.SnapshotGzip:                 true,
	capacity.DeltaBytes:                   true,
	capacity.StartResident:                true,
	capacity.PeakResident:                 true,
	capacity.ReadyTime:                    true,
	capacity.StartCPU:                     true,
	capacity.ModuleDelta:                  true,
	capacity.ModuleRequest:                true,
	capacity.ModuleSlowStartRequest:       true,
	capacity.ModuleSlowStartRequestMedian: true,
	capacity.ModuleRequestByTeams:         true,
	capacity.ModuleSweep:                  true,
}

// A small slope run with the daemon gives all series, and the values that do not depend on the machine are correct. A
// second run is merged into the file of the first.
func TestSlopes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "slopes.json")
	program := filepath.Join(filepath.Dir(daemon), daemonServeProgram)
	for range 2 {
		result := runCommand("slopes", "--sizes", "34,68,170", "--plays", "1", "--idle-span", "100ms", "--delta-span", "200ms",
			"--delta-rate", "50", "--daemon", program, "--append", "-o", path)
		if result.exitCode != exitSuccess {
			t.Fatal(result)
		}
	}
	slopes, err := capacity.ReadSlopes(path)
	if err != nil {
		t.Fatal(err)
	}
	if slopes.Repetitions != 2 || slopes.Zones != slopeZones || !strings.Contains(slopes.Command, "--sizes 34,68,170 ") {
		t.Errorf("%d repetitions in %d zones of %q, want 2 in %d with the sizes", slopes.Repetitions, slopes.Zones, slopes.Command, slopeZones)
	}
	const wantSeries = 19
	if len(slopes.Series) != wantSeries {
		t.Errorf("%d series, want %d", len(slopes.Series), wantSeries)
	}
	for _, series := range slopes.Series {
		for _, point := range series.Points {
			value := point.Values[0]
			if series.Name == capacity.ZoneLossDeltas && value != float64(point.Size)/slopeZones {
				t.Errorf("%d workers: %v deltas for a lost zone, want one for each of its workers", point.Size, value)
			}
			if positiveSeries[series.Name] && value <= 0 {
				t.Errorf("%s at %d: %v, want more than 0", series.Name, point.Size, value)
			}
		}
	}
}

// The page is generated from the committed data.
func TestCapacityWritesPage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "CAPACITY.md")
	result := runCommand("capacity", "--data", "../../docs/capacity", "-o", path)
	if result.exitCode != exitSuccess {
		t.Fatal(result)
	}
	page, err := os.ReadFile(path)
	if err != nil || !bytes.HasPrefix(page, []byte("# Capacity\n")) {
		t.Errorf("%v: %.40s", err, page)
	}
}

func TestCapacityRejectsMissingRuns(t *testing.T) {
	path := filepath.Join(t.TempDir(), "CAPACITY.md")
	result := runCommand("capacity", "--data", t.TempDir(), "-o", path)
	if result.exitCode != exitFailure {
		t.Errorf("%v, want a failure", result)
	}
}
