package jobs

import (
	"cmp"
	"time"
)

// Assign leases a ready job to a worker that has given a guarantee. The job is delivered once the lease is stored. It
// returns nil where the job is not ready, or only a worker of another guarantee may have it.
func (m *Machine) Assign(now time.Duration, id, worker string, guarantee Guarantee) []Effect {
	e := m.jobs[id]
	if e == nil || e.State != Ready || e.RequiresDeduplication && guarantee != Deduplicates {
		return nil
	}
	m.lastFence++
	e.Worker = worker
	e.WorkerGuarantee = guarantee
	e.Fence = m.lastFence
	e.DueAt = now + m.leaseDuration(e)
	m.setState(e, Leased)
	e.Attempts++
	m.storeThen(e, DeliverJob)
	return m.takeEffects()
}

// leaseDuration is how long the worker of a job may be silent.
func (m *Machine) leaseDuration(e *entry) time.Duration {
	return cmp.Or(e.LeaseDuration, m.config.LeaseDuration)
}

// holdsLease tells whether a report under a fence is one under the job's newest lease, and that lease is in force.
func (m *Machine) holdsLease(e *entry, fence uint64) bool {
	return e != nil && e.State.isHeld() && (e.Fence == fence || m.config.ignoreFences)
}

// Start reports that a worker asks to start a job. A worker that HonorsFences starts it only on GrantStart, which
// comes once the start is stored; asked again, it is granted again. With ErrLeaseVoid the worker must not start it.
func (m *Machine) Start(now time.Duration, id string, fence uint64) ([]Effect, error) {
	e := m.jobs[id]
	if !m.holdsLease(e, fence) {
		return nil, ErrLeaseVoid
	}
	if e.State == Leased && e.beingStored() && !m.config.ignoreFences {
		return nil, ErrLeaseVoid
	}
	e.DueAt = now + m.leaseDuration(e)
	switch {
	case e.State == Leased:
		m.setState(e, Started)
		m.storeThen(e, GrantStart)
	case e.beingStored(): // granted together with the first request
		m.afterStored(e, Effect{Kind: GrantStart, Job: e.Job})
	default:
		m.emit(Effect{Kind: GrantStart, Job: e.Job})
	}
	return m.takeEffects(), nil
}

// Heartbeat renews all leases of a worker.
func (m *Machine) Heartbeat(now time.Duration, worker string) {
	for _, e := range m.leasesByWorker[worker] {
		e.DueAt = max(e.DueAt, now+m.leaseDuration(e))
	}
}

// Extend renews one lease until a time that its worker asks for.
func (m *Machine) Extend(id string, fence uint64, until time.Duration) {
	e := m.jobs[id]
	if m.holdsLease(e, fence) {
		e.DueAt = max(e.DueAt, until)
	}
}

// Ack reports that a job is done, with its result. Under the newest fence it counts after the lease has expired too,
// where the job is in doubt or waits to run again: it is the proof that the job ran.
func (m *Machine) Ack(now time.Duration, id string, fence uint64, result []byte) []Effect {
	e := m.jobs[id]
	switch {
	case e == nil:
		m.emit(Effect{Kind: AnswerReport, Err: ErrUnknownJob})
	case e.State == Done && e.beingStored(): // answered together with the first report
		m.afterStored(e, Effect{Kind: AnswerReport, Job: e.Job})
	case e.State == Done:
		m.emit(Effect{Kind: AnswerReport, Job: e.Job})
	case m.holdsLease(e, fence), e.Fence == fence && (e.State == InDoubt || e.State == Waiting || e.State == Ready):
		m.finish(now, e, Done)
		e.Reason = ""
		e.Payload = nil
		e.Result = result
		m.storeThen(e, AnswerReport)
	default:
		m.emit(Effect{Kind: AnswerReport, Job: e.Job, Err: ErrLeaseVoid})
	}
	return m.takeEffects()
}

// Fail reports that a job failed. With started false the worker says that it never began, and any job may run again.
// Else an idempotent job is retried, and a non-idempotent one is Dead, as it ran.
func (m *Machine) Fail(now time.Duration, id string, fence uint64, reason Reason, started bool) []Effect {
	e := m.jobs[id]
	if e == nil {
		m.emit(Effect{Kind: AnswerReport, Err: ErrUnknownJob})
		return m.takeEffects()
	}
	lateReport := e.Fence == fence && e.State == InDoubt
	if !m.holdsLease(e, fence) && !lateReport {
		m.emit(Effect{Kind: AnswerReport, Job: e.Job, Err: ErrLeaseVoid})
		return m.takeEffects()
	}
	switch {
	case !started && e.State != Started:
		m.releaseUnstarted(e)
	case e.NonIdempotent:
		m.finish(now, e, Dead)
		e.Reason = reason
	default:
		m.retryOrFinish(now, e, reason)
	}
	m.storeThen(e, AnswerReport)
	return m.takeEffects()
}

// releaseUnstarted takes back the lease of a job that never started; it does not count as an attempt.
func (m *Machine) releaseUnstarted(e *entry) {
	m.setState(e, Ready)
	e.Worker = ""
	e.Attempts--
}

// expireLease decides what becomes of a job whose lease has expired; see the package comment.
func (m *Machine) expireLease(now time.Duration, e *entry) {
	m.emit(Effect{Kind: AnnounceLeaseExpiry, Job: e.Job})
	switch {
	case !e.NonIdempotent:
		m.retryOrFinish(now, e, reasonLeaseExpired)
	case e.WorkerGuarantee == Deduplicates:
		m.setState(e, Ready)
		e.RequiresDeduplication = true
		e.Reason = reasonNeedsDeduplication
	case e.WorkerGuarantee == HonorsFences && e.State == Leased:
		m.setState(e, Ready)
		e.Reason = reasonNotStarted
	default:
		m.setState(e, InDoubt)
		e.Reason = reasonMayHaveRun(e.Worker)
	}
	m.store(e)
}
