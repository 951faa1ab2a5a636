package jobs

import (
	"cmp"
	"slices"
	"time"
)

// recoveryFenceGap is added to the highest stored fence. Where an older copy of the store is read, leases have been
// granted since that it does not know, and their fences must not be given again.
const recoveryFenceGap = 1 << 20

// Recover starts an empty machine from the stored jobs, each of which comes once. Leases last for a grace time at
// least, in which workers reconnect and report.
func (m *Machine) Recover(now time.Duration, stored []Job) []Effect {
	for _, job := range stored {
		e := &entry{Job: job, storedVersion: job.Version}
		m.recoverState(now, e)
		m.lastFence = max(m.lastFence, job.Fence)
		m.lastSequence = max(m.lastSequence, job.Sequence)
		m.add(e)
		m.index(e)
	}
	m.lastFence += recoveryFenceGap
	bySequence := func(a, b *entry) int { return cmp.Compare(a.Sequence, b.Sequence) }
	slices.SortFunc(m.inOrder, bySequence)
	slices.SortFunc(m.becameReady, bySequence)
	return m.takeEffects()
}

// recoverState derives a job's state and due time from what is stored. Due times are bounded, so that a clock that
// has been set back holds nothing up.
func (m *Machine) recoverState(now time.Duration, e *entry) {
	switch e.State {
	case Accepted, Scheduled:
		e.State = stateUntilDue(now, e, Scheduled)
	case Waiting:
		e.DueAt = min(e.DueAt, now+m.backoff(e))
		e.State = stateUntilDue(now, e, Waiting)
	case Leased, Started:
		e.DueAt = max(min(e.DueAt, now+m.leaseDuration(e)), now+m.config.RecoveryGrace)
	case Done, Discarded:
		e.DueAt = min(e.DueAt, now+m.config.Retention)
	}
}
