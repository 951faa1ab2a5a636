package decision

import (
	"math"
	"time"
)

// decayingValue is a number that fades exponentially: after a span of time 1/e of it is left. The zero
// value is zero.
type decayingValue struct {
	value float64
	at    time.Duration // when it was that value
}

// get returns what is left at time now.
func (v *decayingValue) get(now, span time.Duration) float64 {
	return v.value * math.Exp(-(now-v.at).Seconds()/span.Seconds())
}

// add adds x at time now.
func (v *decayingValue) add(now, span time.Duration, x float64) {
	v.value = v.get(now, span) + x
	v.at = now
}
