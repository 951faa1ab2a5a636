package simulator

import (
	"math"
	"testing"
)

// resultsWithScores makes results that have nothing but a score.
func resultsWithScores(scores ...float64) (results []Result) {
	for _, score := range scores {
		results = append(results, Result{Score: score})
	}
	return results
}

// Equal scores make every pair even and the comparison inconclusive.
func TestCompareSameScores(t *testing.T) {
	results := resultsWithScores(0.5, 0.6, 0.7, 0.8, 0.55, 0.65)
	comparison := Compare(results, results)
	if !comparison.Inconclusive || comparison.MeanDifference != 0 || comparison.Even != 6 {
		t.Errorf("%+v, want 6 even pairs and an inconclusive outcome", comparison)
	}
}

// A difference in all pairs is conclusive, and its confidence interval contains the mean.
func TestCompareBetterScores(t *testing.T) {
	before := resultsWithScores(0.5, 0.6, 0.7, 0.8, 0.55, 0.65)
	after := resultsWithScores(0.52, 0.63, 0.72, 0.81, 0.57, 0.66)
	comparison := Compare(before, after)
	if comparison.Inconclusive || comparison.MeanDifference < 0.01 || comparison.ABetter != 0 {
		t.Errorf("%+v, want a conclusive difference of at least 0.01", comparison)
	}
	if comparison.Low <= 0 || comparison.Low > comparison.MeanDifference || comparison.High < comparison.MeanDifference {
		t.Errorf("%+v, want a positive interval that contains the mean", comparison)
	}
}

// Differences that cancel out are inconclusive.
func TestCompareMixedScores(t *testing.T) {
	before := resultsWithScores(0.5, 0.6, 0.7, 0.8, 0.55, 0.65)
	after := resultsWithScores(0.6, 0.5, 0.8, 0.7, 0.65, 0.55)
	comparison := Compare(before, after)
	if !comparison.Inconclusive || comparison.ABetter != 3 || math.Abs(comparison.MeanDifference) > 1e-9 {
		t.Errorf("%+v, want 3 of 6 pairs worse and an inconclusive outcome", comparison)
	}
}

// Faults lower the score of a scenario conclusively.
func TestCompareScenarioWithFaults(t *testing.T) {
	results, err := RunAll(shortScenarios(t, 30), Seeds(1, 10), nil)
	if err != nil {
		t.Fatal(err)
	}
	comparison := Compare(results[0], results[1])
	if comparison.Inconclusive || comparison.MeanDifference > 0 || comparison.High > 0 {
		t.Errorf("faults do not lower the score: %+v", comparison)
	}
}
