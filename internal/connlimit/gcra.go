package connlimit

import "time"

// gcra is a rate limit with bursts by the generic cell rate algorithm: the
// theoretical arrival time is when the next event would keep the rate exactly. The
// zero value allows a full burst.
type gcra struct{ theoreticalArrival time.Duration }

// conforms reports whether an event now keeps a rate per second with a burst; a
// burst of 0 is a second's events.
func (g gcra) conforms(now time.Duration, rate float64, burst int) bool {
	if burst == 0 {
		burst = max(int(rate), 1)
	}
	interval := time.Duration(float64(time.Second) / rate)
	return g.theoreticalArrival <= now+interval*time.Duration(burst-1)
}

// take counts an event now if it conforms, and reports whether it does.
func (g *gcra) take(now time.Duration, rate float64, burst int) bool {
	if !g.conforms(now, rate, burst) {
		return false
	}
	interval := time.Duration(float64(time.Second) / rate)
	g.theoreticalArrival = max(g.theoreticalArrival, now) + interval
	return true
}
