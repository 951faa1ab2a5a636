package jobs

import (
	"cmp"
	"time"
)

// Assign leases a ready job to a worker that has given a guarantee. The job is delivered once the lease is stored. It
// returns nil where the job is not ready, or only a worker of another guarantee may have it.
func (m *Machine) Assign(now time.Duration, id, worker string, guarantee Guarantee) []Effect {
	entry := m.jobs[id]
	if entry == nil || entry.State != Ready || entry.RequiresDeduplication && guarantee != Deduplicates {
		return nil
	}
	m.lastFence++
	entry.Worker = worker
	entry.WorkerGuarantee = guarantee
	entry.Fence = m.lastFence
	entry.DueAt = now + m.leaseDuration(entry)
	m.setState(entry, Leased)
	entry.Attempts++
	m.storeThen(entry, DeliverJob)
	return m.takeEffects()
}

// leaseDuration is how long the worker of a job may be silent.
func (m *Machine) leaseDuration(entry *jobEntry) time.Duration {
	return cmp.Or(entry.LeaseDuration, m.config.LeaseDuration)
}

// leaseStanding is what a report's fence is to the job that the report is about.
type leaseStanding uint8

const (
	leaseVoid    leaseStanding = iota // no lease of the job, or not its newest one
	leaseInForce                      // its worker has the job
	leaseExpired                      // its worker had the job, and may have run it
)

// standing decides which lease a report is under; all reports are judged by it. A job that was never leased has fence 0,
// as has a report without a fence, so 0 is nobody's. A job whose newest lease was given back, or never delivered, has no
// worker: nobody can have run it.
func (m *Machine) standing(entry *jobEntry, fence uint64) leaseStanding {
	switch {
	case entry == nil:
		return leaseVoid
	case m.config.ignoreFences && entry.State.IsHeld():
		return leaseInForce
	case fence == NoFence || fence != entry.Fence || entry.Worker == "":
		return leaseVoid
	case entry.State.IsHeld():
		return leaseInForce
	default:
		return leaseExpired
	}
}

// Start reports that a worker asks to start a job. A worker that HonorsFences starts it only on GrantStart, which
// comes once the start is stored; asked again, it is granted again. With ErrLeaseVoid the worker must not start it.
func (m *Machine) Start(now time.Duration, id string, fence uint64) ([]Effect, error) {
	entry := m.jobs[id]
	if m.standing(entry, fence) != leaseInForce {
		return nil, ErrLeaseVoid
	}
	if entry.State == Leased && entry.beingStored() && !m.config.ignoreFences {
		return nil, ErrLeaseVoid
	}
	entry.DueAt = now + m.leaseDuration(entry)
	switch {
	case entry.State == Leased:
		m.setState(entry, Started)
		m.storeThen(entry, GrantStart)
	case entry.beingStored(): // granted together with the first request
		m.afterStored(entry, Effect{Kind: GrantStart, Job: entry.Job})
	default:
		m.emit(Effect{Kind: GrantStart, Job: entry.Job})
	}
	return m.takeEffects(), nil
}

// Heartbeat renews all leases of a worker.
func (m *Machine) Heartbeat(now time.Duration, worker string) {
	for _, entry := range m.leasesByWorker[worker] {
		entry.DueAt = max(entry.DueAt, now+m.leaseDuration(entry))
	}
}

// Extend renews one lease until a time that its worker asks for.
func (m *Machine) Extend(id string, fence uint64, until time.Duration) {
	entry := m.jobs[id]
	if m.standing(entry, fence) == leaseInForce {
		entry.DueAt = max(entry.DueAt, until)
	}
}

// Ack reports that a job is done, with its result. Under the newest fence it counts after the lease has expired too,
// where the job is in doubt or waits to run again: it is the proof that the job ran.
func (m *Machine) Ack(now time.Duration, id string, fence uint64, result []byte) []Effect {
	entry := m.jobs[id]
	standing := m.standing(entry, fence)
	switch {
	case entry == nil:
		m.emit(Effect{Kind: AnswerReport, Err: ErrUnknownJob})
	case entry.State == Done && entry.beingStored(): // answered together with the first report
		m.afterStored(entry, Effect{Kind: AnswerReport, Job: entry.Job})
	case entry.State == Done:
		m.emit(Effect{Kind: AnswerReport, Job: entry.Job})
	case standing == leaseInForce || standing == leaseExpired && entry.State.acceptsLateAck():
		m.finish(now, entry, Done)
		entry.Reason = ""
		entry.Payload = nil
		entry.Result = result
		m.storeThen(entry, AnswerReport)
	default:
		m.emit(Effect{Kind: AnswerReport, Job: entry.Job, Err: ErrLeaseVoid})
	}
	return m.takeEffects()
}

// Fail reports that a job failed. With started false the worker says that it never began, and any job may run again.
// Else an idempotent job is retried, and a non-idempotent one is Dead, as it ran.
func (m *Machine) Fail(now time.Duration, id string, fence uint64, reason Reason, started bool) []Effect {
	entry := m.jobs[id]
	if entry == nil {
		m.emit(Effect{Kind: AnswerReport, Err: ErrUnknownJob})
		return m.takeEffects()
	}
	standing := m.standing(entry, fence)
	lateReport := standing == leaseExpired && entry.State == InDoubt
	if standing != leaseInForce && !lateReport {
		m.emit(Effect{Kind: AnswerReport, Job: entry.Job, Err: ErrLeaseVoid})
		return m.takeEffects()
	}
	switch {
	case !started && entry.State != Started:
		m.releaseUnstarted(entry)
	case entry.NonIdempotent:
		m.finish(now, entry, Dead)
		entry.Reason = reason
	default:
		m.retryOrFinish(now, entry, reason)
	}
	m.storeThen(entry, AnswerReport)
	return m.takeEffects()
}

// releaseUnstarted takes back the lease of a job that never started; it does not count as an attempt.
func (m *Machine) releaseUnstarted(entry *jobEntry) {
	m.setState(entry, Ready)
	entry.Worker = ""
	entry.Attempts--
}

// expireLease decides what becomes of a job whose lease has expired; see the package comment.
func (m *Machine) expireLease(now time.Duration, entry *jobEntry) {
	m.emit(Effect{Kind: AnnounceLeaseExpiry, Job: entry.Job})
	switch {
	case !entry.NonIdempotent:
		m.retryOrFinish(now, entry, reasonLeaseExpired)
	case entry.WorkerGuarantee == Deduplicates:
		m.setState(entry, Ready)
		entry.RequiresDeduplication = true
		entry.Reason = reasonNeedsDeduplication
	case entry.WorkerGuarantee == HonorsFences && entry.State == Leased:
		m.setState(entry, Ready)
		entry.Reason = reasonNotStarted
	default:
		m.setState(entry, InDoubt)
		entry.Reason = reasonMayHaveRun(entry.Worker)
	}
	m.store(entry)
}
