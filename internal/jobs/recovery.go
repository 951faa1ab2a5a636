package jobs

import (
	"cmp"
	"slices"
	"time"
)

// recoveryFenceGap is added to the highest stored fence. The file may be an older copy of the store that an operator has
// restored; the fences of leases that were granted after that copy must not be given again.
const recoveryFenceGap = 1 << 20

// Recover starts an empty machine from the stored jobs, each of which comes once. Leases last for a grace time at
// least, in which workers reconnect and report.
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

// recoverState derives a job's state and due time from what is stored. Due times are bounded: a wall clock that was set
// back while the process was down would put them far into the future.
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
