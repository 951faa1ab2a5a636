package jobs

import (
	"cmp"
	"time"
)

// maxBackoffDoublings bounds the backoff at InitialBackoff times 2^20, about 12 days for an InitialBackoff of 1 s.
const maxBackoffDoublings = 20

// retryOrFinish schedules the next attempt of an idempotent job that failed, or finishes the job after its last attempt.
func (m *Machine) retryOrFinish(now time.Duration, entry *jobEntry, reason Reason) {
	entry.Reason = reason
	exhausted := entry.Attempts >= cmp.Or(entry.MaxAttempts, m.config.MaxAttempts)
	switch {
	case exhausted && entry.DiscardWhenExhausted:
		m.finish(now, entry, Discarded)
	case exhausted:
		m.finish(now, entry, Dead)
	default:
		entry.DueAt = now + m.backoff(entry)
		m.setState(entry, Waiting)
	}
}

// backoff is the wait before a job's next attempt.
func (m *Machine) backoff(entry *jobEntry) time.Duration {
	doublings := min(max(entry.Attempts-1, 0), maxBackoffDoublings)
	return m.config.InitialBackoff << doublings
}
