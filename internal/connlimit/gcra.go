package connlimit

import "time"

// gcra is a rate limiter with bursts that uses the generic cell rate algorithm. The
// theoretical arrival time is the time at which the next event would keep to the rate
// exactly. The zero value allows a full burst.
type gcra struct{ theoreticalArrival time.Duration }

// conforms reports whether an event now conforms to a rate per second with a burst. A
// burst of 0 means the number of events that the rate allows in a second.
func (g gcra) conforms(now time.Duration, rate float64, burst int) bool {
	if burst == 0 {
		burst = max(int(rate), 1)
	}
	interval := time.Duration(float64(time.Second) / rate)
	return g.theoreticalArrival <= now+interval*time.Duration(burst-1)
}

// take counts an event now if it conforms, and reports whether it has done so.
func (g *gcra) take(now time.Duration, rate float64, burst int) bool {
	if !g.conforms(now, rate, burst) {
		return false
	}
	interval := time.Duration(float64(time.Second) / rate)
	g.theoreticalArrival = max(g.theoreticalArrival, now) + interval
	return true
}
