package jobs

import (
	"slices"
	"time"
)

// Push accepts a job, to run at notBefore at the earliest. Its producer is answered once the job is stored. Where a
// job of the same id is known already nothing changes: the producer is answered with success, or with ErrIDConflict
// where the payload hashes differ.
func (m *Machine) Push(now time.Duration, job Job, notBefore time.Duration) []Effect {
	if known := m.jobs[job.ID]; known != nil {
		m.pushAgain(known, job)
		return m.takeEffects()
	}
	m.lastSequence++
	job.State = Accepted
	job.Fence = 0
	job.Worker = ""
	job.Attempts = 0
	job.Version = 0
	job.DueAt = 0
	job.Sequence = m.lastSequence
	if notBefore > now {
		job.DueAt = notBefore
	}
	entry := &jobEntry{Job: job}
	m.add(entry)
	m.storeThen(entry, AnswerPush)
	return m.takeEffects()
}

// pushAgain answers the producer of a job whose id is known.
func (m *Machine) pushAgain(known *jobEntry, job Job) {
	answer := Effect{Kind: AnswerPush, Job: known.Job}
	switch {
	case known.PayloadHash != job.PayloadHash:
		answer.Err = ErrIDConflict
		m.emit(answer)
	case known.storedVersion == 0: // answered together with the first push
		known.afterStore = append(known.afterStore, deferredEffect{1, answer})
	default:
		m.emit(answer)
	}
}

// Stored reports that a version of a job is on disk.
func (m *Machine) Stored(now time.Duration, id string, version uint64) []Effect {
	entry := m.jobs[id]
	if entry == nil {
		return nil
	}
	entry.storedVersion = max(entry.storedVersion, version)
	if entry.State == Accepted {
		m.setState(entry, stateUntilDue(now, entry, Scheduled))
	}
	m.emitDeferred(entry)
	return m.takeEffects()
}

// emitDeferred emits the effects that waited for a version that is stored now.
func (m *Machine) emitDeferred(entry *jobEntry) {
	for len(entry.afterStore) > 0 && entry.afterStore[0].version <= entry.storedVersion {
		effect := entry.afterStore[0].effect
		entry.afterStore = entry.afterStore[1:]
		leaseEnded := entry.State != Leased || entry.Fence != effect.Job.Fence
		if effect.Kind == DeliverJob && leaseEnded {
			continue // the job is not sent under a lease that is over
		}
		m.emit(effect)
	}
}

// stateUntilDue is Ready for a job that is due, and before that the state in which it waits.
func stateUntilDue(now time.Duration, entry *jobEntry, before State) State {
	if entry.DueAt > now {
		return before
	}
	return Ready
}

// StoreFailed reports that a version of a job cannot be stored, for a cause. A job that was being accepted is rejected
// with a *NotStoredError, and a lease that was about to be granted is taken back; any other change has
// happened already, and the caller must store it again.
func (m *Machine) StoreFailed(id string, version uint64, cause error) []Effect {
	entry := m.jobs[id]
	if entry == nil || version != entry.Version {
		return nil
	}
	switch entry.State {
	case Accepted:
		m.remove(entry)
		m.emit(Effect{Kind: AnswerPush, Job: entry.Job, Err: &NotStoredError{Cause: cause}})
	case Leased: // it has not been delivered, as that waits for the store
		isDelivery := func(deferred deferredEffect) bool { return deferred.effect.Kind == DeliverJob }
		entry.afterStore = slices.DeleteFunc(entry.afterStore, isDelivery)
		m.releaseUnstarted(entry)
	}
	return m.takeEffects()
}
