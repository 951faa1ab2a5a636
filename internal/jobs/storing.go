package jobs

import (
	"slices"
	"time"
)

// Push accepts a job, to run at notBefore at the earliest. Its producer is answered once the job is stored. If there is
// already a job of the same id, nothing changes: the producer is answered with success if the payload hashes are equal,
// and with ErrIDConflict if they differ. A new job
// that exceeds the memory limit is rejected with ErrMemoryFull.
func (m *Machine) Push(now time.Duration, job Job, notBefore time.Duration) []Effect {
	if known := m.jobs[job.ID]; known != nil {
		m.pushDuplicate(known, job)
		return m.takeEffects()
	}
	if m.exceedsMemory(&job) {
		m.emit(Effect{Kind: AnswerPush, Job: job, Err: ErrMemoryFull})
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

// pushDuplicate answers a push whose job id already exists.
func (m *Machine) pushDuplicate(known *jobEntry, job Job) {
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

// Stored tells the machine that a version of a job is on disk.
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

// emitDeferred emits the effects that waited for a version that is now stored.
func (m *Machine) emitDeferred(entry *jobEntry) {
	for len(entry.afterStore) > 0 && entry.afterStore[0].version <= entry.storedVersion {
		effect := entry.afterStore[0].effect
		entry.afterStore = entry.afterStore[1:]
		leaseEnded := entry.State != Leased || entry.Fence != effect.Job.Fence
		if effect.Kind == DeliverJob && leaseEnded {
			continue // the lease has ended, so the job must not be delivered under it
		}
		m.emit(effect)
	}
}

// stateUntilDue returns Ready for a job that is due, and before for one that is not.
func stateUntilDue(now time.Duration, entry *jobEntry, before State) State {
	if entry.DueAt > now {
		return before
	}
	return Ready
}

// StoreFailed tells the machine that a version of a job could not be stored, and why. A job that was being accepted is
// rejected with a *NotStoredError, and a lease whose job has not been delivered is released. Any other change has
// already happened, and the caller must try again to store it.
func (m *Machine) StoreFailed(id string, version uint64, cause error) []Effect {
	entry := m.jobs[id]
	if entry == nil || version != entry.Version {
		return nil
	}
	switch entry.State {
	case Accepted:
		m.remove(entry)
		m.emit(Effect{Kind: AnswerPush, Job: entry.Job, Err: &NotStoredError{Cause: cause}})
	case Leased: // not delivered yet: that waits for the lease to be stored
		isDelivery := func(deferred deferredEffect) bool { return deferred.effect.Kind == DeliverJob }
		entry.afterStore = slices.DeleteFunc(entry.afterStore, isDelivery)
		m.releaseUnstarted(entry)
	}
	return m.takeEffects()
}
