package decision

import (
	"math"
	"time"
)

// decayingValue is a number that decays exponentially: after the span that get and add are given, 1/e of it
// is left. The zero value is zero.
type decayingValue struct {
	value float64
	at    time.Duration // time at which the number had this value
}

// get returns the decayed value at time now.
func (v *decayingValue) get(now, span time.Duration) float64 {
	return v.value * math.Exp(-(now-v.at).Seconds()/span.Seconds())
}

// add adds x to the decayed value at time now.
func (v *decayingValue) add(now, span time.Duration, x float64) {
	v.value = v.get(now, span) + x
	v.at = now
}
