package eventloop

import "time"

const (
	// stallThreshold is the lateness of a deadline above which the loop counts as held up: the process was stopped, or got
	// no processor.
	stallThreshold = 500 * time.Millisecond
	// stallRecoveryTime is how long after a stall what is read may still have been queued during it.
	stallRecoveryTime = 100 * time.Millisecond
)

// stall is a span in which the loop was held up. The zero value is none.
type stall struct {
	begin, end time.Duration // clock times
}

// detectStall records a stall if the earliest deadline is long past.
func (l *Loop) detectStall() {
	now := l.Now()
	if len(l.deadlines) == 0 || now-l.deadlines[0].at <= stallThreshold {
		return
	}
	l.lastStall = stall{begin: l.turnEndedAt, end: now}
	if l.OnStall != nil {
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
