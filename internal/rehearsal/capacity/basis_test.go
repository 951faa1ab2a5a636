package capacity

import (
	"math"
	"testing"
)

// assumed returns an assumption.
func assumed(value float64, unit Unit) Assumption {
	return Assumption{Value: value, Unit: unit, Mark: "assumed", Origin: "test"}
}

// testAssumptions returns a target and assumptions with round figures.
func testAssumptions() Assumptions {
	assumptions := Assumptions{
		Target: Target{
			Workers:             21000,
			PeakStarts:          8000,
			RunningTasks:        300000,
			Zones:               17,
			ConfigChangesPerDay: 86400,
			InForceWithin:       10,
			DispatcherCores:     0.014,
			DispatcherMemory:    128e6,
			DispatcherBytes:     6000,
			ControlMachines:     17,
			FailuresPerDay:      86400,
			RestartsPerDay:      43200,
			DaysBetweenRacks:    7,
			DaysBetweenZones:    60,
			RegionCut:           3600,
			MeanOver:            60,
			ZoneLossWindow:      10,
		},
		Assumed: Assumed{
			Dispatchers:       []int{300, 3000, 21000},
			FailureChanges:    assumed(2, UnitCount),
			RestartChanges:    assumed(4, UnitCount),
			RackWorkers:       assumed(40, UnitCount),
			ZoneLossAnnounced: assumed(10, UnitSeconds),
			ConfigChangeBytes: assumed(100, UnitBytes),
			ConfigPeakFactor:  assumed(4, UnitCount),
			ConfigPeakRate:    assumed(20, UnitPerSecond),
			StartPeakFactor:   assumed(3, UnitCount),
			MachineBytes:      assumed(125e6, UnitBytesPerSecond),
			MachineCores:      assumed(8, UnitCores),
			MachineMemory:     assumed(16e9, UnitBytes),
			CallsPerSecond:    assumed(500, UnitPerSecond),
			LongestObject:     assumed(4<<20, UnitBytes),
		},
		Mechanisms: Mechanisms{
			Membership:      "m",
			Decisions:       "d",
			Resume:          "r",
			Configuration:   mechanismMissing,
			Relays:          "relay",
			Acknowledgement: mechanismMissing,
		},
	}
	assumptions.Assumed.namedAssumptions() // sets the names
	return assumptions
}

// testSlopes returns slope runs in which every series is proportional to the number of workers.
func testSlopes() Slopes {
	slopes := Slopes{Command: "test", Date: "2026-12-02", Repetitions: 3, Sizes: []int{200, 2100, 21000}}
	for _, series := range []struct {
		name    SeriesName
		unit    Unit
		largest float64 // at 21,000 workers
	}{
		{SnapshotBytes, UnitBytes, 3e6},
		{SnapshotGzip, UnitBytes, 3e5},
		{DeltaBytes, UnitBytes, 200},
		{IdleBytes, UnitBytesPerSecond, 3},
		{DeltaCPU, UnitSeconds, 0.002},
		{IdleCPU, UnitCores, 0.0001},
		{StartCPU, UnitSeconds, 0.3},
		{ZoneLossCPU, UnitSeconds, 2.8},
		{PeakResident, UnitBytes, 42e6},
		{ModuleRequest, UnitSeconds, 5e-6},
		{ModuleSlowStartRequest, UnitSeconds, 500e-6},
		{ModuleTaskMemory, UnitBytes, 21000 * 240},
	} {
		proportional := func(size float64) float64 { return series.largest * size / 21000 }
		slopes.Series = append(slopes.Series, Series{
			Name:   series.name,
			Unit:   series.unit,
			Axis:   AxisWorkers,
			Points: seriesOf(proportional, slopes.Sizes...),
		})
	}
	return slopes
}

// testBasis returns a basis of testAssumptions and testSlopes, without scale runs.
func testBasis() Basis {
	return Basis{Assumptions: testAssumptions(), Slopes: testSlopes(), File: "test.json"}
}

// near reports whether two figures are equal except for rounding errors.
func near(got, want float64) bool { return math.Abs(got-want) <= 1e-9*math.Abs(want) }

// The value of a series at a size that was not measured is taken from the fitted line and marked as extrapolated.
func TestValueAtAnotherSizeIsExtrapolated(t *testing.T) {
	basis := testBasis()
	value, err := basis.valueAt(SnapshotBytes, 42000)
	if err != nil || !near(value.Value, 6e6) || value.Mark != Extrapolated {
		t.Errorf("%+v, %v, want 6e6, extrapolated", value, err)
	}
}

// The value of a series that no run measured is an error.
func TestValueOfUnmeasuredSeries(t *testing.T) {
	basis := testBasis()
	if value, err := basis.valueAt(ReadyTime, 21000); err == nil {
		t.Errorf("a series that no run measured has a value: %+v", value)
	}
}
