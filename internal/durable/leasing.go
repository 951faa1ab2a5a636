package durable

import (
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// reasonLeaseNotWanted is the reason of a job whose lease was stored after the dispatcher had stopped waiting for it.
// The text is stored.
const reasonLeaseNotWanted jobs.Reason = "nobody waited for the lease any more"

// Acquire reserves a slot of a worker and leases a job to the worker. It calls onAcquired once: with the lease's fence
// when the lease is on disk, or with 0 if there is no lease. onAcquired returns false if the dispatcher no longer needs
// the lease.
func (s *Scheduler) Acquire(request *dispatch.Request, worker string, onAcquired func(fence uint64) bool) {
	if s.stopped {
		onAcquired(0)
		return
	}
	acquisition := &leaseAcquisition{
		scheduler:  s,
		id:         request.ID,
		worker:     worker,
		assignment: s.assignmentsByJob[request.ID],
		onAcquired: onAcquired,
	}
	s.workers.Reserve(worker, request.Class, request.ID, acquisition.onReserved)
}

// leaseAcquisition is a call of Acquire in progress. It reserves a slot, has the lease stored, and passes the lease to
// the dispatcher.
type leaseAcquisition struct {
	scheduler  *Scheduler
	id         string // of the job
	worker     string
	assignment *jobAssignment // of the job when Acquire was called; nil if it had none
	onAcquired func(fence uint64) bool
}

// onReserved is called when a slot of the worker is reserved for the job, or none became free in time.
func (a *leaseAcquisition) onReserved(reserved bool) {
	if !reserved {
		a.reject()
		return
	}
	guarantee := a.scheduler.workers.Guarantee(a.worker)
	assigned := a.scheduler.service.Assign(a.id, a.worker, guarantee, a.onLeased)
	if !assigned {
		a.reject()
	}
}

// reject tells the dispatcher that there is no lease, and releases the slot.
func (a *leaseAcquisition) reject() {
	a.scheduler.workers.Unreserve(a.worker, a.id)
	a.onAcquired(0)
}

// onLeased is called when the lease is on disk, or could not be stored.
func (a *leaseAcquisition) onLeased(job jobs.Job, err error) {
	if err != nil {
		a.reject()
		return
	}
	s := a.scheduler
	s.markLeased(a.assignment)
	if !s.workers.SendsHeartbeats(job.Worker) { // instead, the attempt shows that it is alive, up to its deadline
		if a.assignment != nil {
			a.assignment.bound = true
		}
		deadline := s.dispatcher.Settings.Classes[s.classes[job.Class]].Deadline
		s.service.Extend(job.ID, job.Fence, s.dispatcher.Loop.Now()+deadline)
	}
	if !a.onAcquired(job.Fence) {
		s.workers.Unreserve(job.Worker, job.ID)
		s.service.Fail(job.ID, job.Fence, reasonLeaseNotWanted, false, ignoreResult)
	}
	s.Wake()
}

// markLeased records that an assignment has a lease. The assignment may already have ended.
func (s *Scheduler) markLeased(assignment *jobAssignment) {
	if assignment == nil || assignment.leased {
		return
	}
	assignment.leased = true
	assignment.leasedAt = s.dispatcher.Loop.Now()
	if s.assignmentsByJob[assignment.id] == assignment {
		s.unleasedAssignments--
	}
}

// markUnleased records that the attempt under an assignment's lease never ran, so the job needs another free slot.
func (s *Scheduler) markUnleased(assignment *jobAssignment) {
	if assignment == nil || !assignment.leased {
		return
	}
	assignment.leased = false
	assignment.bound = false
	s.unleasedAssignments++
}

// Started is called when a worker has begun to run the attempt under a lease. It tells how long jobs wait at the workers.
func (s *Scheduler) Started(request *dispatch.Request, _ uint64) {
	assignment := s.assignmentsByJob[request.ID]
	if assignment == nil || !assignment.backlog || !assignment.bound {
		return
	}
	objective := s.dispatcher.Settings.Classes[assignment.class].LatencyObjective
	maxDelay := time.Duration(startDelayShare * float64(objective))
	s.backlog.onStarted(assignment.leasedAt, s.dispatcher.Loop.Now(), maxDelay, s.backlogInUse())
	s.Wake()
}

// Ended is called when the attempt under a lease has ended. If it is not known whether the job ran, the lease stays in
// force: its worker may reconnect and report.
func (s *Scheduler) Ended(request *dispatch.Request, fence uint64, outcome decision.AttemptOutcome, neverRan bool, result []byte) {
	reason := jobs.Reason(outcome.String())
	switch {
	case outcome == decision.Completed:
		s.service.Ack(request.ID, fence, slices.Clone(result), ignoreResult)
	case neverRan:
		s.markUnleased(s.assignmentsByJob[request.ID])
		s.service.Fail(request.ID, fence, reason, false, ignoreResult)
	case outcome == decision.Failed:
		s.service.Fail(request.ID, fence, reason, true, ignoreResult)
	}
}

// ignoreResult is the callback of the scheduler's own reports, for whose results no caller waits.
func ignoreResult(error) {}
