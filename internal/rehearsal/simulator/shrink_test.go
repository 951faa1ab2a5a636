package simulator

import (
	"testing"
)

// A bad run is reduced to its cause: of four faults the one that kills, and a small fleet. The reduced scenario is bad
// when it is run again.
func TestShrink(t *testing.T) {
	sc := readScenario(t, "faults")
	sc.Load.Rate = 15 // few fail but by a kill
	bad := func(r Result) bool { return r.Classes[1].Failed > 0 }
	seed := uint64(0)
	for s := uint64(1); s < 40 && seed == 0; s++ {
		if r, _ := runScenario(t, sc, s); bad(r) {
			seed = s
		}
	}
	if seed == 0 {
		t.Fatal("no bad run to reduce")
	}
	small, runs, err := Shrink(sc, seed, bad)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d runs; %+v", seed, runs, small)
	if r, _ := runScenario(t, small, seed); !bad(r) {
		t.Error("the reduced scenario is not bad")
	}
	if len(small.Faults) > 1 || small.Dispatchers > 2 || small.Workers.Count > 4 || small.LengthS >= sc.LengthS {
		t.Errorf("not small: %+v", small)
	}
	if len(sc.Faults) != 4 {
		t.Error("the original scenario has changed")
	}
}
