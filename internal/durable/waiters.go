package durable

import "hollyyoke.example/hollyyoke/internal/jobs"

// waiters are the callbacks of callers that wait for a change to be on disk, by job, in the order of their calls.
type waiters map[string][]func(error)

func (w waiters) add(id string, done func(error)) { w[id] = append(w[id], done) }

// notifyFirst calls the caller that has waited longest for a change of a job.
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

// takeAll removes and returns the callers that wait for a change of a job.
func (w waiters) takeAll(id string) []func(error) {
	waiting := w[id]
	delete(w, id)
	return waiting
}

// answerWhenStored carries out the effects of a caller's request. The caller is answered at once where the effects
// have an answer of that kind, and else when the machine gives one, after the change is stored.
func (s *Service) answerWhenStored(effects []jobs.Effect, kind jobs.EffectKind, waiting waiters, id string, done func(error)) {
	answer, others := splitAnswer(effects, kind)
	if answer == nil {
		waiting.add(id, done)
	}
	s.carryOut(others)
	if answer != nil {
		done(answer.Err)
	}
}

// splitAnswer separates the first effect of a kind from the others; nil: there is none.
func splitAnswer(effects []jobs.Effect, kind jobs.EffectKind) (answer *jobs.Effect, others []jobs.Effect) {
	for i := range effects {
		if effects[i].Kind == kind {
			return &effects[i], append(effects[:i:i], effects[i+1:]...)
		}
	}
	return nil, effects
}

// takeLeaseWaiter removes and returns the callback of the caller of Assign that waits for a job's lease; nil: none.
func (s *Service) takeLeaseWaiter(id string) func(jobs.Job, error) {
	onLeased := s.leaseWaiters[id]
	delete(s.leaseWaiters, id)
	return onLeased
}

// Watch calls onFinal once the job is in a final state that is on disk, and also where the job is not known or the
// service closes before that.
func (s *Service) Watch(id string, onFinal func(jobs.Job)) {
	if job, over := s.finalJob(id); over {
		onFinal(job)
		return
	}
	s.finalWaiters[id] = append(s.finalWaiters[id], onFinal)
}

// notifyFinal calls those who wait for a job's end, if it has come.
func (s *Service) notifyFinal(id string) {
	waiting := s.finalWaiters[id]
	if len(waiting) == 0 {
		return
	}
	job, over := s.finalJob(id)
	if !over {
		return
	}
	delete(s.finalWaiters, id)
	for _, onFinal := range waiting {
		onFinal(job)
	}
}

// finalJob returns a job, and whether its final state is on disk or the job is not known.
func (s *Service) finalJob(id string) (job jobs.Job, over bool) {
	job, known := s.machine.Get(id)
	return job, !known || job.State.IsFinal() && s.machine.IsStored(id)
}
