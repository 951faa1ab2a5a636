package jobs

import (
	"cmp"
	"time"
)

// maxBackoffDoublings bounds the backoff at InitialBackoff times 2^20, some 12 days for one of a second.
const maxBackoffDoublings = 20

// retryOrFinish lets an idempotent job that failed wait for its next attempt, or ends it after its last one.
func (m *Machine) retryOrFinish(now time.Duration, e *entry, reason Reason) {
	e.Reason = reason
	exhausted := e.Attempts >= cmp.Or(e.MaxAttempts, m.config.MaxAttempts)
	switch {
	case exhausted && e.DiscardWhenExhausted:
		m.finish(now, e, Discarded)
	case exhausted:
		m.finish(now, e, Dead)
	default:
		e.DueAt = now + m.backoff(e)
		m.setState(e, Waiting)
	}
}

// backoff is the wait before the next attempt of a job.
func (m *Machine) backoff(e *entry) time.Duration {
	doublings := min(max(e.Attempts-1, 0), maxBackoffDoublings)
	return m.config.InitialBackoff << doublings
}
