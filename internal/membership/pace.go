package membership

import "time"

// This file owns the byte bound of one subscriber. It must never hold back an
// urgent change.

// paceWindow is the span over which the mean of what is sent is bounded.
const paceWindow = time.Minute

// waitRounding is added to a wait, so that the debt is paid after it whatever
// way the fractions were rounded.
const waitRounding = time.Microsecond

// Pace is a token bucket in bytes. What is not urgent waits until the bucket is
// out of debt, and may then take it into debt by its own size. Urgent changes go
// at once, and later ones that are not urgent wait until they are paid back. The
// zero value bounds nothing.
type Pace struct {
	fillPerSecond float64
	burst         float64
	tokens        float64 // negative: debt
	filled        time.Duration
}

// NewPace gives a full bucket. What is sent in any minute without being urgent
// comes to at most 60 times bytesPerSecond and one change. The burst is part of
// that: the bucket fills at what it leaves of the rate, and it is at most half a
// minute's bytes, so that at least half the rate is left. A rate of 0 or less
// bounds nothing.
func NewPace(bytesPerSecond, burst float64) Pace {
	if bytesPerSecond <= 0 {
		return Pace{}
	}
	window := paceWindow.Seconds()
	burst = min(max(burst, 0), bytesPerSecond*window/2)
	return Pace{fillPerSecond: bytesPerSecond - burst/window, burst: burst, tokens: burst}
}

// Wait is how long a change must wait yet. 0: it may be sent now.
func (p *Pace) Wait(now time.Duration, urgent bool) time.Duration {
	p.fill(now)
	if urgent || p.fillPerSecond <= 0 || p.tokens >= 0 {
		return 0
	}
	return time.Duration(-p.tokens/p.fillPerSecond*float64(time.Second)) + waitRounding
}

// Spend accounts for what has been sent.
func (p *Pace) Spend(now time.Duration, bytes int) {
	p.fill(now)
	p.tokens -= float64(bytes)
}

// fill adds what has come in since the last call. A clock that went back adds nothing.
func (p *Pace) fill(now time.Duration) {
	if now <= p.filled {
		return
	}
	p.tokens = min(p.burst, p.tokens+(now-p.filled).Seconds()*p.fillPerSecond)
	p.filled = now
}
