package durable

import "hollyyoke.example/hollyyoke/internal/jobs"

// waiters holds, by job id, the callbacks of callers that wait for a change to be on disk, in the order of their calls.
type waiters map[string][]func(error)

func (w waiters) add(id string, done func(error)) { w[id] = append(w[id], done) }

// notifyFirst removes and calls the callback that has waited for the longest time for a change of a job.
func (w waiters) notifyFirst(id string, err error) {
	waiting := w[id]
	if len(waiting) == 0 {
		return
	}
	w[id] = waiting[1:]
	if len(waiting) == 1 {
		delete(w, id)
	}
	waiting[0](err)
}

// takeAll removes and returns all callbacks that wait for a change of a job.
func (w waiters) takeAll(id string) []func(error) {
	waiting := w[id]
	delete(w, id)
	return waiting
}

// answerWhenStored carries out the effects of a caller's request. If the effects contain an answer of the given kind,
// done is called at once. Otherwise it is added to waiting, and called when the machine emits the answer after the
// change is stored.
func (s *Service) answerWhenStored(effects []jobs.Effect, kind jobs.EffectKind, waiting waiters, id string, done func(error)) {
	answer, others := splitAnswer(effects, kind)
	if answer == nil {
		waiting.add(id, s.calls.add(done))
	}
	s.carryOut(others)
	if answer != nil {
		done(answer.Err)
	}
}

// splitAnswer separates the first effect of a kind from the others. answer is nil if there is none.
func splitAnswer(effects []jobs.Effect, kind jobs.EffectKind) (answer *jobs.Effect, others []jobs.Effect) {
	for i := range effects {
		if effects[i].Kind == kind {
			return &effects[i], append(effects[:i:i], effects[i+1:]...)
		}
	}
	return nil, effects
}

// addLeaseWaiter adds the callback of Assign that waits for a job's lease.
func (s *Service) addLeaseWaiter(id string, onLeased func(jobs.Job, error)) {
	var leased jobs.Job
	answer := s.calls.add(func(err error) { onLeased(leased, err) })
	s.leaseWaiters[id] = func(job jobs.Job, err error) {
		leased = job
		answer(err)
	}
}

// takeLeaseWaiter removes and returns the callback of Assign that waits for a job's lease, or nil if there is none.
func (s *Service) takeLeaseWaiter(id string) func(jobs.Job, error) {
	onLeased := s.leaseWaiters[id]
	delete(s.leaseWaiters, id)
	return onLeased
}

// Watch calls onFinal with a stored job and nil once the job is in a final state that is on disk. It calls onFinal with
// ErrClosing if the service closes before, and with jobs.ErrUnknownJob if there is no such job.
func (s *Service) Watch(id string, onFinal func(jobs.Job, error)) {
	job, known := s.machine.Get(id)
	switch {
	case !known:
		onFinal(jobs.Job{}, jobs.ErrUnknownJob)
	case s.isFinal(job):
		onFinal(job, nil)
	case !s.acceptsReports():
		onFinal(jobs.Job{}, ErrClosing)
	default:
		s.addFinalWaiter(id, onFinal)
	}
}

// addFinalWaiter adds a callback of Watch that waits for the final state of a job.
func (s *Service) addFinalWaiter(id string, onFinal func(jobs.Job, error)) {
	var final jobs.Job
	answer := s.calls.add(func(err error) {
		if err != nil {
			err = ErrClosing // the job itself is stored, whatever could not be
		}
		onFinal(final, err)
	})
	s.finalWaiters[id] = append(s.finalWaiters[id], func(job jobs.Job) {
		final = job
		answer(nil)
	})
}

// IsAwaited reports whether a client waits for the final state of a job.
func (s *Service) IsAwaited(id string) bool { return len(s.finalWaiters[id]) > 0 }

// notifyFinal calls the callbacks of Watch for a job if its final state is on disk.
func (s *Service) notifyFinal(id string) {
	waiting := s.finalWaiters[id]
	if len(waiting) == 0 {
		return
	}
	job, known := s.machine.Get(id)
	if !known || !s.isFinal(job) {
		return
	}
	delete(s.finalWaiters, id)
	for _, onFinal := range waiting {
		onFinal(job)
	}
}

// isFinal reports whether a job's state is final and on disk.
func (s *Service) isFinal(job jobs.Job) bool {
	return job.State.IsFinal() && s.machine.IsStored(job.ID)
}
