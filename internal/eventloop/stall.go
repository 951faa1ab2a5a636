package eventloop

import "time"

const (
	// stallThreshold is the lateness of a turn above which the loop counts as held up: the process was stopped, or got no
	// processor. A worker may be told 150 ms too much; what is left of that is for the way of a request.
	stallThreshold = 100 * time.Millisecond

	// longStall is the length of a stall from which OnStall is called.
	longStall = 500 * time.Millisecond
	// stallRecoveryTime is how long after a stall what is read may still have been queued during it.
	stallRecoveryTime = 100 * time.Millisecond
)

// stall is a span in which the loop was held up. The zero value is none.
type stall struct {
	begin, end time.Duration // clock times; it may have begun later
}

// detectStall records a stall if a turn that begins now should have begun long ago: for the earliest deadline, or since
// Run meant to wake.
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

// detectLongTurn records a stall if the turn that ends now has taken long.
func (l *Loop) detectLongTurn() {
	now := l.Now()
	l.recordStall(now-l.turnBeganAt, now)
}

// recordStall records a stall that ends now, if the loop is late by more than the threshold.
func (l *Loop) recordStall(late, now time.Duration) {
	if late <= stallThreshold {
		return
	}
	l.lastStall = stall{begin: l.turnBeganAt, end: now}
	if late > longStall && l.OnStall != nil {
		l.OnStall()
	}
}

// QueuedSince returns since when input that is read now may have been queued: since now, but right after a stall since
// its beginning.
func (l *Loop) QueuedSince() time.Duration {
	now := l.Now()
	if l.lastStall.end > 0 && now < l.lastStall.end+stallRecoveryTime {
		return l.lastStall.begin
	}
	return now
}
