package simulator

import (
	"math"
	"reflect"
	"runtime"
	"testing"
)

// What many days give does not depend on how many cores play them, and the worst come first.
func TestMany(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	list := []Scenario{scenario(t, "day"), scenario(t, "faults")}
	for i := range list {
		list[i].LengthS = 10
	}
	seeds := Seeds(5, 6)
	runtime.GOMAXPROCS(8)
	days := 0
	wide, err := Many(list, seeds, func() { days++ })
	if err != nil || days != 12 {
		t.Fatalf("%d days, %v", days, err)
	}
	runtime.GOMAXPROCS(1)
	narrow, _ := Many(list, seeds, nil)
	if !reflect.DeepEqual(wide, narrow) {
		t.Error("the days differ by the number of cores")
	}
	if wide[0][1].Seed != 6 || wide[1][0].Scenario != "faults" {
		t.Errorf("out of place: %+v", wide[0][1])
	}
	wide[0][3].Broken = []string{"a rule"}
	worst := Worst(list, wide, 4)
	if len(worst) != 4 || worst[0].Result.Seed != 8 || worst[1].Result.Score > worst[2].Result.Score {
		t.Errorf("the worst: %+v", worst)
	}
	bad := list[0]
	bad.Classes = nil
	if _, err := Many([]Scenario{bad}, seeds, nil); err == nil {
		t.Error("days without a class were played")
	}
}

// A difference that is there is told, and one that is none is called noise.
func TestCompare(t *testing.T) {
	list := func(scores ...float64) (out []Result) {
		for _, s := range scores {
			out = append(out, Result{Score: s})
		}
		return out
	}
	a := list(0.5, 0.6, 0.7, 0.8, 0.55, 0.65)
	if d := Compare(a, a); !d.Noise || d.Mean != 0 || d.Even != 6 {
		t.Errorf("the same: %+v", d)
	}
	if d := Compare(a, list(0.52, 0.63, 0.72, 0.81, 0.57, 0.66)); d.Noise || d.Mean < 0.01 || d.Low <= 0 || d.Low > d.Mean || d.High < d.Mean || d.BetterA != 0 {
		t.Errorf("better: %+v", d)
	}
	if d := Compare(a, list(0.6, 0.5, 0.8, 0.7, 0.65, 0.55)); !d.Noise || d.BetterA != 3 || math.Abs(d.Mean) > 1e-9 {
		t.Errorf("up and down: %+v", d)
	}
	day, faults := scenario(t, "day"), scenario(t, "faults")
	day.LengthS, faults.LengthS = 30, 30
	results, err := Many([]Scenario{day, faults}, Seeds(1, 10), nil)
	if err != nil {
		t.Fatal(err)
	}
	if d := Compare(results[0], results[1]); d.Noise || d.Mean > 0 || d.High > 0 {
		t.Errorf("faults cost nothing: %+v", d)
	}
}

// A bad day is cut down to what makes it bad: of four faults the one that kills,
// and a small fleet; and the small one is bad when it is played again.
func TestShrink(t *testing.T) {
	sc := scenario(t, "faults")
	sc.Load.Rate = 15 // few fail but by a kill
	bad := func(r Result) bool { return r.Classes[1].Failed > 0 }
	seed := uint64(0)
	for s := uint64(1); s < 40 && seed == 0; s++ {
		if r, _ := play(t, sc, s); bad(r) {
			seed = s
		}
	}
	if seed == 0 {
		t.Fatal("no bad day to cut down")
	}
	small, tries, err := Shrink(sc, seed, bad)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d days tried; %+v", seed, tries, small)
	if r, _ := play(t, small, seed); !bad(r) {
		t.Error("the small day is not bad")
	}
	if len(small.Faults) > 1 || small.Dispatchers > 2 || small.Workers.Count > 4 || small.LengthS >= sc.LengthS {
		t.Errorf("not small: %+v", small)
	}
	if len(sc.Faults) != 4 {
		t.Error("the scenario it began with has changed")
	}
}
