package recording

import (
	"math"
	"math/rand/v2"
)

// reservoir is a uniform sample of the recorded durations of a rule's entries, in microseconds.
type reservoir struct {
	values []int64
	seen   int
}

// maxReservoirValues bounds the size of a sample.
const maxReservoirValues = 4096

// add offers a value to the sample (reservoir sampling, algorithm R).
func (r *reservoir) add(value int64, random *rand.Rand) {
	r.seen++
	if len(r.values) < maxReservoirValues {
		r.values = append(r.values, value)
		return
	}
	if i := random.IntN(r.seen); i < maxReservoirValues {
		r.values[i] = value
	}
}

// drawDuration draws a duration in microseconds: one of the recorded ones, otherwise one of the
// lognormal distribution that the rule gives.
func (r *Rule) drawDuration(recorded *reservoir, random *rand.Rand) int64 {
	if len(recorded.values) > 0 {
		return recorded.values[random.IntN(len(recorded.values))]
	}
	variance := math.Log(1 + r.DurationSpread*r.DurationSpread) // of the logarithm
	return max(1, int64(r.DurationMs*1000*math.Exp(random.NormFloat64()*math.Sqrt(variance)-variance/2)))
}
