package simulator

import (
	"reflect"
	"runtime"
	"testing"
)

// setProcessors sets the number of processors until the test ends.
func setProcessors(t *testing.T, processors int) {
	t.Helper()
	previous := runtime.GOMAXPROCS(processors)
	t.Cleanup(func() { runtime.GOMAXPROCS(previous) })
}

// shortScenarios are the scenarios "day" and "faults", cut to a length in seconds.
func shortScenarios(t *testing.T, length float64) []Scenario {
	t.Helper()
	scenarios := []Scenario{readScenario(t, "day"), readScenario(t, "faults")}
	for i := range scenarios {
		scenarios[i].LengthS = length
	}
	return scenarios
}

// The results of many runs do not depend on the number of cores, and are in the order of scenarios and seeds.
func TestRunAll(t *testing.T) {
	scenarios := shortScenarios(t, 10)
	seeds := Seeds(5, 6)
	setProcessors(t, 8)
	runs := 0
	onEightCores, err := RunAll(scenarios, seeds, func() { runs++ })
	if err != nil || runs != 12 {
		t.Fatalf("%d runs, want 12: %v", runs, err)
	}
	setProcessors(t, 1)
	onOneCore, err := RunAll(scenarios, seeds, nil)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(onEightCores, onOneCore) {
		t.Error("the results differ by the number of cores")
	}
	if onOneCore[0][1].Seed != 6 || onOneCore[1][0].Scenario != "faults" {
		t.Errorf("results are not in the order of scenarios and seeds: %+v", onOneCore[0][1])
	}
}

// The worst runs are those with violations, then those with the lowest scores.
func TestWorst(t *testing.T) {
	scenarios := shortScenarios(t, 10)
	results, err := RunAll(scenarios, Seeds(5, 6), nil)
	if err != nil {
		t.Fatal(err)
	}
	results[0][3].Violations = []string{"a rule"}
	worst := Worst(scenarios, results, 4)
	if len(worst) != 4 || worst[0].Result.Seed != 8 || worst[1].Result.Score > worst[2].Result.Score {
		t.Errorf("%+v, want 4 results, that of seed 8 first, then by score", worst)
	}
}

// RunAll returns an error for a scenario for which no dispatcher can be created.
func TestRunAllWithoutClasses(t *testing.T) {
	scenario := readScenario(t, "day")
	scenario.Classes = nil
	if _, err := RunAll([]Scenario{scenario}, Seeds(5, 6), nil); err == nil {
		t.Error("a scenario without classes was run")
	}
}
