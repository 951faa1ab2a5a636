package jobs

import (
	"cmp"
	"slices"
	"time"
)

// recoveryFenceGap is added to the highest stored fence. An operator may have restored an older copy of the store; the
// fences of leases that were granted after that copy was made must not be assigned again.
const recoveryFenceGap = 1 << 20

// Recover fills an empty machine with the stored jobs; each job must occur once. Leases last for Config.RecoveryGrace
// at least, in which workers can reconnect and report.
func (m *Machine) Recover(now time.Duration, stored []Job) []Effect {
	for _, job := range stored {
		entry := &jobEntry{Job: job, storedVersion: job.Version}
		m.recoverState(now, entry)
		m.lastFence = max(m.lastFence, job.Fence)
		m.lastSequence = max(m.lastSequence, job.Sequence)
		m.add(entry)
		m.index(entry)
	}
	m.lastFence += recoveryFenceGap
	bySequence := func(a, b *jobEntry) int { return cmp.Compare(a.Sequence, b.Sequence) }
	slices.SortFunc(m.inOrder, bySequence)
	slices.SortFunc(m.becameReady, bySequence)
	return m.takeEffects()
}

// recoverState derives a job's state and due time from what is stored. Due times are bounded: if the wall clock was set
// back while the process was down, the stored times may lie far in the future.
func (m *Machine) recoverState(now time.Duration, entry *jobEntry) {
	switch entry.State {
	case Accepted, Scheduled:
		entry.State = stateUntilDue(now, entry, Scheduled)
	case Waiting:
		entry.DueAt = min(entry.DueAt, now+m.backoff(entry))
		entry.State = stateUntilDue(now, entry, Waiting)
	case Leased, Started:
		entry.DueAt = max(min(entry.DueAt, now+m.leaseDuration(entry)), now+m.config.RecoveryGrace)
	case Done, Discarded:
		entry.DueAt = min(entry.DueAt, now+m.config.Retention)
	}
}
