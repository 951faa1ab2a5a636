package membership

import "time"

const (
	rateWindow = time.Minute // period over which the mean rate is bounded
	rateSlot   = time.Second // resolution of the window: bytes count as sent at the end of their slot
)

// RateLimiter bounds the mean rate of the bytes sent to a subscriber over any
// minute. A change that is not urgent waits until less than a minute's budget has
// been sent in the preceding minute, and may then exceed the budget by its own
// size. Urgent changes never wait, but their bytes count. The zero value does not
// limit anything.
type RateLimiter struct {
	budget float64       // bytes a minute; 0 if there is no limit
	sent   []sentSlot    // the slots within the window, oldest first
	total  float64       // bytes in sent
	latest time.Duration // the latest time that was passed in
}

// sentSlot counts the bytes sent within one slot.
type sentSlot struct {
	end   time.Duration
	bytes float64
}

// NewRateLimiter returns a limiter with its full budget left. A rate of 0 or
// less means no limit.
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

// expire drops the slots that have left the window, and returns now or, if an
// earlier call was passed a later time, that time.
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
