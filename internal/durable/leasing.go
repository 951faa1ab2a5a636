package durable

import (
	"slices"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// reasonLeaseNotWanted is the reason of a job whose lease was stored after the dispatcher had given it up.
const reasonLeaseNotWanted jobs.Reason = "nobody waited for the lease any more"

// Acquire leases a job to a worker, after reserving one of its slots. onAcquired is called once with the lease's fence
// once the lease is on disk, or with 0 where there is none; it returns false where the lease is not wanted any more.
func (s *Scheduler) Acquire(request *dispatch.Request, worker string, onAcquired func(fence uint64) bool) {
	id := request.ID
	assignment := s.assignmentsByJob[id]
	if s.stopped {
		onAcquired(0)
		return
	}
	reject := func() {
		s.workers.Unreserve(worker, id)
		onAcquired(0)
	}
	s.workers.Reserve(worker, request.Class, id, func(reserved bool) {
		if !reserved {
			reject()
			return
		}
		assigned := s.service.Assign(id, worker, s.workers.Guarantee(worker), func(job jobs.Job, err error) {
			if err != nil {
				reject()
				return
			}
			s.onLeased(assignment, job, onAcquired)
		})
		if !assigned {
			reject()
		}
	})
}

// onLeased passes a lease that is on disk on to the dispatcher.
func (s *Scheduler) onLeased(assignment *jobAssignment, job jobs.Job, onAcquired func(fence uint64) bool) {
	if assignment != nil && !assignment.leased {
		assignment.leased = true
		if s.assignmentsByJob[job.ID] == assignment {
			s.unleasedAssignments--
		}
	}
	if !s.workers.SendsHeartbeats(job.Worker) { // the running attempt shows that the worker is alive, up to its deadline
		deadline := s.dispatcher.Settings.Classes[s.classes[job.Class]].Deadline
		s.service.Extend(job.ID, job.Fence, s.dispatcher.Loop.Now()+deadline)
	}
	if !onAcquired(job.Fence) {
		s.workers.Unreserve(job.Worker, job.ID)
		s.service.Fail(job.ID, job.Fence, reasonLeaseNotWanted, false, ignoreResult)
	}
	s.Wake()
}

// Ended is called when the attempt under a lease has ended. Where it is not known whether the job ran, the lease
// stays: its worker may reconnect and report.
func (s *Scheduler) Ended(request *dispatch.Request, fence uint64, outcome decision.AttemptOutcome, neverRan bool, result []byte) {
	reason := jobs.Reason(outcome.String())
	switch {
	case outcome == decision.Completed:
		s.service.Ack(request.ID, fence, slices.Clone(result), ignoreResult)
	case neverRan:
		if assignment := s.assignmentsByJob[request.ID]; assignment != nil && assignment.leased {
			assignment.leased = false
			s.unleasedAssignments++
		}
		s.service.Fail(request.ID, fence, reason, false, ignoreResult)
	case outcome == decision.Failed:
		s.service.Fail(request.ID, fence, reason, true, ignoreResult)
	}
}

// ignoreResult is for reports of the scheduler itself, which nobody waits for.
func ignoreResult(error) {}
