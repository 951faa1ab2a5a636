package jobs

import (
	"cmp"
	"time"
)

// Assign leases a Ready job to a worker with the given guarantee. The job is delivered once the lease is stored. Assign
// returns nil if the job is not Ready, or if it requires a worker that Deduplicates and this worker does not.
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

// leaseDuration returns how long a lease on a job lasts without a heartbeat.
func (m *Machine) leaseDuration(entry *jobEntry) time.Duration {
	return cmp.Or(entry.LeaseDuration, m.config.LeaseDuration)
}

// leaseStatus is the status of the lease to which the fence of a worker's report belongs.
type leaseStatus uint8

const (
	leaseVoid    leaseStatus = iota // not the fence of the job's newest lease, or that lease was returned or never delivered
	leaseInForce                    // its worker holds the job
	leaseExpired                    // its worker held the job until the lease ended, and may have run it
)

// checkFence compares the fence of a report with the job's newest lease. All reports are checked by it. NoFence never
// matches, because both a job that was never leased and a report without a fence have it. If the newest lease was
// returned before the job started, or was never delivered, the job has no Worker, and no worker can have run it under
// that lease.
func (m *Machine) checkFence(entry *jobEntry, fence uint64) leaseStatus {
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

// Start handles a worker's request to start a job. A worker that HonorsFences starts it only on GrantStart, which
// comes once the start is stored; a repeated request is granted again. On ErrLeaseVoid the worker must not start it.
func (m *Machine) Start(now time.Duration, id string, fence uint64) ([]Effect, error) {
	entry := m.jobs[id]
	if m.checkFence(entry, fence) != leaseInForce {
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

// Heartbeat renews all leases that a worker holds.
func (m *Machine) Heartbeat(now time.Duration, worker string) {
	for _, entry := range m.leasesByWorker[worker] {
		entry.DueAt = max(entry.DueAt, now+m.leaseDuration(entry))
	}
}

// Extend renews the lease on one job until a time that its worker requests. It does nothing if the lease is void or has
// expired.
func (m *Machine) Extend(id string, fence uint64, until time.Duration) {
	entry := m.jobs[id]
	if m.checkFence(entry, fence) == leaseInForce {
		entry.DueAt = max(entry.DueAt, until)
	}
}

// Ack handles a worker's report that a job is done, with its result. If the lease has expired, but its fence is still
// the newest, and the job is in doubt or waits to run again, the report is accepted too: it proves that the job ran.
func (m *Machine) Ack(now time.Duration, id string, fence uint64, result []byte) []Effect {
	entry := m.jobs[id]
	status := m.checkFence(entry, fence)
	switch {
	case entry == nil:
		m.emit(Effect{Kind: AnswerReport, Err: ErrUnknownJob})
	case entry.State == Done && entry.beingStored(): // answered together with the first report
		m.afterStored(entry, Effect{Kind: AnswerReport, Job: entry.Job})
	case entry.State == Done:
		m.emit(Effect{Kind: AnswerReport, Job: entry.Job})
	case status == leaseInForce || status == leaseExpired && entry.State.acceptsLateAck():
		m.finish(now, entry, Done)
		entry.Reason = ""
		entry.dropPayload()
		entry.Result = result
		m.storeThen(entry, AnswerReport)
	default:
		m.emit(Effect{Kind: AnswerReport, Job: entry.Job, Err: ErrLeaseVoid})
	}
	return m.takeEffects()
}

// Fail handles a worker's report that a job failed. If started is false, the worker reports that the job never started,
// so it may run again even if it is non-idempotent. Otherwise an idempotent job is retried, and a non-idempotent one
// becomes Dead, because it has run.
func (m *Machine) Fail(now time.Duration, id string, fence uint64, reason Reason, started bool) []Effect {
	entry := m.jobs[id]
	if entry == nil {
		m.emit(Effect{Kind: AnswerReport, Err: ErrUnknownJob})
		return m.takeEffects()
	}
	status := m.checkFence(entry, fence)
	lateReport := status == leaseExpired && entry.State == InDoubt
	if status != leaseInForce && !lateReport {
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

// releaseUnstarted makes a job Ready again after its lease ended before the job started. The lease does not count as an
// attempt.
func (m *Machine) releaseUnstarted(entry *jobEntry) {
	m.setState(entry, Ready)
	entry.Worker = ""
	entry.Attempts--
}

// expireLease sets the next state of a job whose lease has expired; see the package comment.
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
