package membership

import "time"

const (
	rateWindow = time.Minute // over which the mean rate is bounded
	rateSlot   = time.Second // resolution: bytes count as sent at the end of their slot
)

// RateLimiter bounds the mean rate of the bytes sent to a subscriber over any
// minute. A change that is not urgent waits until less than a minute's budget has
// been sent in the minute before, and may then exceed the budget by its own size.
// Urgent changes never wait, but their bytes count. The zero value bounds nothing.
type RateLimiter struct {
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

// NewRateLimiter returns a limiter with its full budget left. A rate of 0 or
// less bounds nothing.
func NewRateLimiter(bytesPerSecond float64) RateLimiter {
	return RateLimiter{budget: max(bytesPerSecond, 0) * rateWindow.Seconds()}
}

// Wait returns how long a change still has to wait; 0 means that it may be sent now.
func (l *RateLimiter) Wait(now time.Duration, urgent bool) time.Duration {
	now = l.expire(now)
	if urgent || l.budget <= 0 {
		return 0
	}
	remaining := l.total
	for _, slot := range l.sent {
		if remaining < l.budget {
			break
		}
		remaining -= slot.bytes
		if remaining < l.budget {
			return slot.end + rateWindow - now
		}
	}
	return 0
}

// Spend accounts for bytes that have been sent.
func (l *RateLimiter) Spend(now time.Duration, bytes int) {
	if l.budget <= 0 {
		return
	}
	now = l.expire(now)
	end := now - now%rateSlot + rateSlot
	last := len(l.sent) - 1
	if last >= 0 && l.sent[last].end == end {
		l.sent[last].bytes += float64(bytes)
	} else {
		l.sent = append(l.sent, sentSlot{end, float64(bytes)})
	}
	l.total += float64(bytes)
}

// expire drops the slots that have left the window, and returns the latest time
// seen: a time that goes back is taken for the latest one.
func (l *RateLimiter) expire(now time.Duration) time.Duration {
	l.latest = max(l.latest, now)
	expired := 0
	for expired < len(l.sent) && l.sent[expired].end+rateWindow <= l.latest {
		l.total -= l.sent[expired].bytes
		expired++
	}
	l.sent = append(l.sent[:0], l.sent[expired:]...)
	return l.latest
}
