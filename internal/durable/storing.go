package durable

import (
	"maps"
	"slices"

	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// storeJob stores a changed job. Jobs that are dead or in doubt are audited and logged.
func (s *Service) storeJob(job jobs.Job) {
	if job.State == jobs.InDoubt || job.State == jobs.Dead {
		state := job.State.String()
		s.audit(Audit{ID: job.ID, Action: state, Worker: job.Worker, Fence: job.Fence, Reason: job.Reason})
		s.log.Warn("durable job "+state, "id", job.ID, "class", job.Class, "worker", job.Worker, "fence", job.Fence, "reason", job.Reason)
	}
	s.writeJob(job)
}

// writeJob passes a job and the pending audits to the store. If they cannot be written, the audits are pending again.
func (s *Service) writeJob(job jobs.Job) {
	audits := s.pendingAudits
	s.pendingAudits = nil
	s.unstored[job.ID] = job.Version
	records := append(slices.Clip(audits), store.Record{ID: job.ID, Value: jobRecord{job}})
	s.store.Put(records, func(err error) {
		s.loop.Post(func() {
			if err != nil {
				s.pendingAudits = append(audits, s.pendingAudits...)
			}
			s.onWritten(job.ID, job.Version, err)
		})
	})
}

// deleteJob deletes a job from the store. If that fails, the job is deleted after the next start.
func (s *Service) deleteJob(id string) {
	s.store.Put([]store.Record{{ID: id}}, func(err error) {
		if err != nil {
			s.log.Error("durable job not deleted", "id", id, "error", err)
		}
	})
}

// onWritten is called when a version of a job is on disk, or could not be written.
func (s *Service) onWritten(id string, version uint64, err error) {
	if err != nil {
		s.onWriteFailed(id, version, err)
	} else {
		s.forgetUnstored(id, version)
		s.carryOut(s.machine.Stored(s.loop.Now(), id, version))
		s.notifyFinal(id)
	}
	s.closeFileWhenStored()
}

// forgetUnstored records that a version of a job, or one that contains its change, is on disk or will never be.
func (s *Service) forgetUnstored(id string, version uint64) {
	if s.unstored[id] <= version {
		delete(s.unstored, id)
	}
	var completed []*syncCall
	s.syncCalls = slices.DeleteFunc(s.syncCalls, func(call *syncCall) bool {
		if !call.forget(id, version) {
			return false
		}
		completed = append(completed, call)
		return true
	})
	for _, call := range completed { // after the update, since a callback may make a new call
		call.answer(nil)
	}
}

// onWriteFailed is called when a version of a job could not be written: a push or a lease is rejected, and any other
// change is written again.
func (s *Service) onWriteFailed(id string, version uint64, err error) {
	job, known := s.machine.Get(id)
	if !known {
		s.forgetUnstored(id, version)
		return
	}
	if job.Version != version {
		return // a later version contains this change too
	}
	s.log.Error("durable job not stored", "id", id, "state", job.State.String(), "error", err)
	switch job.State {
	case jobs.Accepted:
		s.rejectPush(job, err)
	case jobs.Leased:
		s.rejectLease(job, err)
	default: // the change has already happened
		s.loop.After(storeRetryInterval, func() { s.storeAgain(id, version) })
	}
}

// rejectPush answers all producers of a job that could not be stored: the one that pushed it first and those that pushed
// it again in the meantime. A producer that pushes the job again from within its callback gets no answer here, as that
// push creates a new job.
func (s *Service) rejectPush(job jobs.Job, err error) {
	rejected := s.pushWaiters.takeAll(job.ID)
	s.forgetUnstored(job.ID, job.Version)
	s.carryOut(s.machine.StoreFailed(job.ID, job.Version, err))
	for _, onStored := range rejected {
		onStored(&jobs.NotStoredError{Cause: err})
	}
}

// rejectLease releases a lease that could not be stored. The job is announced as runnable after storeRetryInterval, as
// storing the next lease at once would probably fail too.
func (s *Service) rejectLease(job jobs.Job, err error) {
	onLeased := s.takeLeaseWaiter(job.ID)
	s.forgetUnstored(job.ID, job.Version)
	effects := s.machine.StoreFailed(job.ID, job.Version, err)
	if onLeased != nil {
		onLeased(job, err)
	}
	s.loop.After(storeRetryInterval, func() { s.carryOut(effects) })
}

// storeAgain stores a version of a job again, unless the job has changed since.
func (s *Service) storeAgain(id string, version uint64) {
	job, known := s.machine.Get(id)
	if known && job.Version == version && s.acceptsReports() {
		s.writeJob(job)
	}
}

// syncCall is a call of AfterSync that waits for changes that are not on disk.
type syncCall struct {
	versions map[string]uint64 // by job, the version that has to be stored
	answer   func(error)
}

// forget records that a version of a job is on disk or will never be, and reports whether nothing is waited for any
// more.
func (c *syncCall) forget(id string, version uint64) (completed bool) {
	if wanted, waiting := c.versions[id]; waiting && wanted <= version {
		delete(c.versions, id)
	}
	return len(c.versions) == 0
}

// AfterSync calls done with nil once all changes made before it are on disk, also those whose first write fails, or with
// a *jobs.NotStoredError, ErrClosing or ErrUnconfirmed. If there is no change of a job to wait for, it calls done with
// the result of the writes that are under way.
func (s *Service) AfterSync(done func(error)) {
	if !s.IsOpen() || len(s.unstored) == 0 {
		s.storeRecord(syncedRecord, nil, done)
		return
	}
	s.syncCalls = append(s.syncCalls, &syncCall{versions: maps.Clone(s.unstored), answer: s.calls.add(done)})
}

// storeRecord stores a record that is not a job, or deletes it if value is nil.
func (s *Service) storeRecord(id string, value any, done func(error)) {
	if !s.IsOpen() {
		done(ErrClosing)
		return
	}
	answer := s.calls.add(done)
	s.store.Put([]store.Record{{ID: id, Value: value}}, func(err error) {
		s.loop.Post(func() { answer(err) })
	})
}
