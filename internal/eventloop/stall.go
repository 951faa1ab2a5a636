package eventloop

import "time"

const (
	// stallThreshold is the delay of a turn above which the loop is regarded as stalled: the process was stopped, or
	// got no processor time. The remaining time that a request states to its worker may be too long by at most 150 ms:
	// 100 ms for an undetected stall, and 50 ms for the transfer of the request.
	stallThreshold = 100 * time.Millisecond

	// longStall is the length of a stall above which OnStall is called.
	longStall = 500 * time.Millisecond
	// stallRecoveryTime is the time after a stall in which the loop still reads input that was queued during the stall.
	stallRecoveryTime = 100 * time.Millisecond
)

// stall is a span in which the loop was blocked. The zero value means that there was none.
type stall struct {
	begin, end time.Duration // clock times; the stall may have begun later than begin, but not earlier
}

// detectStall records a stall if the turn that begins now is late by more than the threshold, with respect to the
// earliest deadline or to the time at which Run intended to wake up.
func (l *Loop) detectStall() {
	now := l.Now()
	due := now
	if len(l.deadlines) > 0 {
		due = min(due, l.deadlines[0].at)
	}
	if l.wakeAt > 0 {
		due = min(due, l.wakeAt)
	}
	l.recordStall(now-due, now)
}

// detectLongTurn records a stall if the turn that ends now has taken longer than the threshold.
func (l *Loop) detectLongTurn() {
	now := l.Now()
	l.recordStall(now-l.turnBeganAt, now)
}

// recordStall records a stall that ends now if the delay of the loop is above the threshold.
func (l *Loop) recordStall(delay, now time.Duration) {
	if delay <= stallThreshold {
		return
	}
	l.lastStall = stall{begin: l.turnBeganAt, end: now}
	if delay > longStall && l.OnStall != nil {
		l.OnStall()
	}
}

// QueuedSince returns the earliest clock time at which input that is read now may have been queued. This is the
// beginning of the last stall if that has just ended, and the present time otherwise.
func (l *Loop) QueuedSince() time.Duration {
	now := l.Now()
	if l.lastStall.end > 0 && now < l.lastStall.end+stallRecoveryTime {
		return l.lastStall.begin
	}
	return now
}
