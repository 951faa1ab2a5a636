package simulator

import (
	"math"
	"testing"
)

// A real difference is reported, and none is inconclusive.
func TestCompare(t *testing.T) {
	list := func(scores ...float64) (out []Result) {
		for _, s := range scores {
			out = append(out, Result{Score: s})
		}
		return out
	}
	a := list(0.5, 0.6, 0.7, 0.8, 0.55, 0.65)
	if d := Compare(a, a); !d.Inconclusive || d.MeanDifference != 0 || d.Even != 6 {
		t.Errorf("the same: %+v", d)
	}
	if d := Compare(a, list(0.52, 0.63, 0.72, 0.81, 0.57, 0.66)); d.Inconclusive || d.MeanDifference < 0.01 || d.Low <= 0 || d.Low > d.MeanDifference || d.High < d.MeanDifference || d.ABetter != 0 {
		t.Errorf("better: %+v", d)
	}
	if d := Compare(a, list(0.6, 0.5, 0.8, 0.7, 0.65, 0.55)); !d.Inconclusive || d.ABetter != 3 || math.Abs(d.MeanDifference) > 1e-9 {
		t.Errorf("up and down: %+v", d)
	}
	day, faults := readScenario(t, "day"), readScenario(t, "faults")
	day.LengthS = 30
	faults.LengthS = 30
	results, err := RunAll([]Scenario{day, faults}, Seeds(1, 10), nil)
	if err != nil {
		t.Fatal(err)
	}
	if d := Compare(results[0], results[1]); d.Inconclusive || d.MeanDifference > 0 || d.High > 0 {
		t.Errorf("faults do not lower the score: %+v", d)
	}
}
