package simulator

import (
	"math"
	"math/rand/v2"
	"slices"
)

// bootstrapResamples is the number of resamples from which the confidence interval of a comparison is computed.
const bootstrapResamples = 10_000

// Comparison is the outcome of a paired comparison of two scenarios, A and B.
type Comparison struct {
	Pairs          int
	MeanA          float64 // mean scores
	MeanB          float64
	MeanDifference float64 // mean over the pairs of B's score minus A's
	Low            float64 // 95% confidence interval of MeanDifference, by bootstrap
	High           float64
	ABetter        int  // pairs in which A scored higher
	Even           int  // pairs with equal scores
	Inconclusive   bool // the interval contains 0
}

// Compare compares the scores of two lists of results pair by pair. The same lists always give the same interval, since
// the bootstrap has a fixed seed.
func Compare(resultsA, resultsB []Result) Comparison {
	comparison := Comparison{Pairs: min(len(resultsA), len(resultsB))}
	differences := make([]float64, comparison.Pairs)
	for i := range differences {
		differences[i] = resultsB[i].Score - resultsA[i].Score
		comparison.MeanA += resultsA[i].Score / float64(comparison.Pairs)
		comparison.MeanB += resultsB[i].Score / float64(comparison.Pairs)
		comparison.MeanDifference += differences[i] / float64(comparison.Pairs)
		switch {
		case differences[i] < 0:
			comparison.ABetter++
		case differences[i] == 0:
			comparison.Even++
		}
	}
	means := bootstrapMeans(differences)
	comparison.Low = means[bootstrapResamples*25/1000]
	comparison.High = means[bootstrapResamples*975/1000]
	comparison.Inconclusive = comparison.Low <= 0 && comparison.High >= 0
	return comparison
}

// bootstrapMeans draws bootstrapResamples resamples of values with replacement and returns their means, sorted.
func bootstrapMeans(values []float64) []float64 {
	random := rand.New(rand.NewPCG(1, 1))
	means := make([]float64, bootstrapResamples)
	for i := range means {
		for range values {
			means[i] += values[random.IntN(len(values))]
		}
		means[i] /= math.Max(float64(len(values)), 1)
	}
	slices.Sort(means)
	return means
}
