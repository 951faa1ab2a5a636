package recording

import (
	"math"
	"math/rand/v2"
)

// reservoir is a uniform random sample of the recorded durations of a rule's entries, in microseconds.
type reservoir struct {
	values []int64
	added  int // number of values that were added
}

// maxReservoirValues bounds the size of a sample.
const maxReservoirValues = 4096

// add offers a value to the sample, by algorithm R of reservoir sampling.
func (r *reservoir) add(value int64, random *rand.Rand) {
	r.added++
	if len(r.values) < maxReservoirValues {
		r.values = append(r.values, value)
		return
	}
	if i := random.IntN(r.added); i < maxReservoirValues {
		r.values[i] = value
	}
}

// drawDuration draws a duration in microseconds: one of the recorded ones or, if there are none, one
// from the lognormal distribution that the rule specifies.
func (r *Rule) drawDuration(recorded *reservoir, random *rand.Rand) int64 {
	if len(recorded.values) > 0 {
		return recorded.values[random.IntN(len(recorded.values))]
	}
	variance := math.Log(1 + r.DurationSpread*r.DurationSpread) // of the logarithm of the duration
	return max(1, int64(r.DurationMs*1000*math.Exp(random.NormFloat64()*math.Sqrt(variance)-variance/2)))
}
