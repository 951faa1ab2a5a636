package durable

import (
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// storeJob hands a job over to the store, with the audits that are pending.
func (s *Service) storeJob(job jobs.Job) {
	if job.State == jobs.InDoubt || job.State == jobs.Dead {
		state := job.State.String()
		s.audit(Audit{ID: job.ID, Action: state, Worker: job.Worker, Fence: job.Fence, Reason: job.Reason})
		s.log.Warn("durable job "+state, "id", job.ID, "class", job.Class, "worker", job.Worker, "fence", job.Fence, "reason", job.Reason)
	}
	records := append(s.pendingAudits, store.Record{ID: job.ID, Value: job})
	s.pendingAudits = nil
	s.store.Put(records, func(err error) {
		s.loop.Post(func() { s.onWritten(job.ID, job.Version, err) })
	})
}

// deleteJob deletes a job from the store. If that fails, the next start deletes it.
func (s *Service) deleteJob(id string) {
	s.store.Put([]store.Record{{ID: id}}, func(err error) {
		if err != nil {
			s.log.Error("durable job not deleted", "id", id, "error", err)
		}
	})
}

// onWritten is called when a version of a job is on disk, or could not be written.
func (s *Service) onWritten(id string, version uint64, err error) {
	if err == nil {
		s.carryOut(s.machine.Stored(s.loop.Now(), id, version))
		s.notifyFinal(id)
		return
	}
	job, known := s.machine.Get(id)
	if !known || job.Version != version || s.closed {
		return // a later version holds all that this one held
	}
	s.log.Error("durable job not stored", "id", id, "state", job.State.String(), "error", err)
	switch job.State {
	case jobs.Accepted:
		s.rejectPush(job, err)
	case jobs.Leased:
		s.rejectLease(job, err)
	default: // the change has happened
		s.loop.After(storeRetryInterval, func() { s.storeAgain(id, version) })
	}
}

// rejectPush answers all producers of a job that could not be stored: the one that pushed it and those who pushed it
// again meanwhile. One that pushes it again from within its answer is not among them: its job is new.
func (s *Service) rejectPush(job jobs.Job, err error) {
	rejected := s.pushWaiters.takeAll(job.ID)
	s.carryOut(s.machine.StoreFailed(job.ID, job.Version, err))
	for _, onStored := range rejected {
		onStored(&jobs.NotStoredError{Cause: err})
	}
}

// rejectLease takes back a lease that could not be stored. The job is announced as runnable after a pause, as the next
// lease would meet the same disk.
func (s *Service) rejectLease(job jobs.Job, err error) {
	onLeased := s.takeLeaseWaiter(job.ID)
	effects := s.machine.StoreFailed(job.ID, job.Version, err)
	if onLeased != nil {
		onLeased(job, err)
	}
	s.loop.After(storeRetryInterval, func() { s.carryOut(effects) })
}

// storeAgain stores a job again, unless a later version has been handed over.
func (s *Service) storeAgain(id string, version uint64) {
	job, known := s.machine.Get(id)
	if known && job.Version == version && !s.closed {
		s.storeJob(job)
	}
}

// AfterSync calls done with nil once all changes made before it are on disk, or with the store's error.
func (s *Service) AfterSync(done func(error)) { s.storeRecord(syncedRecord, nil, done) }

// storeRecord stores a record that is no job, or deletes it where value is nil.
func (s *Service) storeRecord(id string, value any, done func(error)) {
	s.store.Put([]store.Record{{ID: id, Value: value}}, func(err error) {
		s.loop.Post(func() { done(err) })
	})
}
