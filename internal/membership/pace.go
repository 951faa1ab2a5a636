package membership

import "time"

// This file owns the byte bound of one subscriber. It must never hold back an
// urgent change.

// Pace is a token bucket in bytes. What is not urgent waits until the bucket is
// out of debt, and may then take it into debt once by its own size: in any
// span of time, those sends come to at most the burst, the rate times the span,
// and one change. Urgent sends go at once, and later ones that are not urgent
// wait until they are paid back. The zero value, and a rate of 0, bound nothing.
type Pace struct {
	bytesPerSecond float64
	burst          float64
	tokens         float64 // negative: debt
	filled         time.Duration
}

// NewPace gives a full bucket.
func NewPace(bytesPerSecond, burst float64) Pace {
	return Pace{bytesPerSecond: bytesPerSecond, burst: max(burst, 0), tokens: max(burst, 0)}
}

// Wait is how long a change must wait yet. 0: it may be sent now.
func (p *Pace) Wait(now time.Duration, urgent bool) time.Duration {
	if urgent || p.bytesPerSecond <= 0 {
		return 0
	}
	p.fill(now)
	if p.tokens >= 0 {
		return 0
	}
	wait := time.Duration(-p.tokens / p.bytesPerSecond * float64(time.Second))
	return wait + 1 // rounded up: after it, the debt is paid
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
	p.tokens = min(p.burst, p.tokens+(now-p.filled).Seconds()*p.bytesPerSecond)
	p.filled = now
}
