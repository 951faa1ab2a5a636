package jobs

import (
	"cmp"
	"time"
)

// maxBackoffDoublings bounds the backoff at InitialBackoff times 2^20, some 12 days for one of a second.
const maxBackoffDoublings = 20

// retryOrFinish lets an idempotent job that failed wait for its next attempt, or ends it after its last one.
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

// backoff is the wait before the next attempt of a job.
func (m *Machine) backoff(entry *jobEntry) time.Duration {
	doublings := min(max(entry.Attempts-1, 0), maxBackoffDoublings)
	return m.config.InitialBackoff << doublings
}
