package membership

import "time"

// This file owns the byte bound of one subscriber. It must never hold back an
// urgent change.

const (
	paceWindow = time.Minute // the span over which the mean of what is sent is bounded
	paceSlot   = time.Second // what is sent within one is accounted for at its end
)

// Pace bounds the mean of the bytes sent in any minute. What is not urgent waits
// until less than a minute's bytes have been sent in the minute before, and may
// then exceed them by its own size. Urgent changes go at once, and count. The
// zero value bounds nothing.
type Pace struct {
	budget float64 // bytes a minute
	sent   []sentSlot
	total  float64
	latest time.Duration
}

// sentSlot is what was sent within a slot.
type sentSlot struct {
	end   time.Duration
	bytes float64
}

// NewPace gives a bound that nothing has been spent of. A rate of 0 or less
// bounds nothing.
func NewPace(bytesPerSecond float64) Pace {
	return Pace{budget: max(bytesPerSecond, 0) * paceWindow.Seconds()}
}

// Wait is how long a change must wait yet. 0: it may be sent now.
func (p *Pace) Wait(now time.Duration, urgent bool) time.Duration {
	now = p.forget(now)
	if urgent || p.budget <= 0 {
		return 0
	}
	left := p.total
	for _, slot := range p.sent {
		if left < p.budget {
			break
		}
		left -= slot.bytes
		if left < p.budget {
			return slot.end + paceWindow - now
		}
	}
	return 0
}

// Spend accounts for what has been sent.
func (p *Pace) Spend(now time.Duration, bytes int) {
	if p.budget <= 0 {
		return
	}
	now = p.forget(now)
	end := now - now%paceSlot + paceSlot
	if last := len(p.sent) - 1; last >= 0 && p.sent[last].end == end {
		p.sent[last].bytes += float64(bytes)
	} else {
		p.sent = append(p.sent, sentSlot{end, float64(bytes)})
	}
	p.total += float64(bytes)
}

// forget drops what was sent over a minute ago, and returns the time: a clock
// that went back stands still.
func (p *Pace) forget(now time.Duration) time.Duration {
	p.latest = max(p.latest, now)
	gone := 0
	for gone < len(p.sent) && p.sent[gone].end+paceWindow <= p.latest {
		p.total -= p.sent[gone].bytes
		gone++
	}
	p.sent = append(p.sent[:0], p.sent[gone:]...)
	return p.latest
}
