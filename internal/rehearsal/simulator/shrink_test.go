package simulator

import (
	"testing"
)

// A bad run is reduced to its cause: at most one of four faults, a small fleet and a shorter run. The reduced scenario
// is still bad when it is run again.
func TestShrink(t *testing.T) {
	scenario := readScenario(t, "faults")
	scenario.Load.Rate = 15 // at this rate few requests fail unless a worker is killed
	isBad := func(result Result) bool { return result.Classes[1].Failed > 0 }
	seed := firstBadSeed(t, scenario, isBad)
	small, runs, err := Shrink(scenario, seed, isBad)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d runs; %+v", seed, runs, small)
	if result, _ := runScenario(t, small, seed); !isBad(result) {
		t.Error("the reduced scenario is not bad")
	}
	if len(small.Faults) > 1 || small.Dispatchers > 2 || small.Workers.Count > 4 || small.LengthS >= scenario.LengthS {
		t.Errorf("not small: %+v", small)
	}
	if len(scenario.Faults) != 4 {
		t.Error("the original scenario has changed")
	}
}

// firstBadSeed returns the first of the seeds 1 to 39 with which a run is bad.
func firstBadSeed(t *testing.T, scenario Scenario, isBad func(Result) bool) uint64 {
	t.Helper()
	for seed := uint64(1); seed < 40; seed++ {
		if result, _ := runScenario(t, scenario, seed); isBad(result) {
			return seed
		}
	}
	t.Fatal("no bad run to reduce")
	return 0
}
