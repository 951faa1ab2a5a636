package decision

import "time"

// superviseAttempt checks the only outstanding attempt of a request.
//
// It ejects a worker that has stopped reporting, since silence is the only sign of a crashed machine. It
// hedges the attempt if its worker or zone looks unreachable, its connection is unresponsive, or it has
// waited long for its start.
func (m *Machine) superviseAttempt(request *request, attempt *attempt) {
	if m.workerSilent(attempt) {
		m.setFailureScore(attempt.worker, 1, reasonSilent)
	}
	unreachable := m.workerLooksUnreachable(attempt)
	unresponsive := m.connectionUnresponsive(request, attempt)
	if !unreachable && !unresponsive && !m.waitsLongForStart(request, attempt) {
		return
	}
	mayRepeat := request.class.Idempotency != NonIdempotent && request.attemptsMade() < m.settings.MaxAttempts
	if m.settings.Hedging && mayRepeat {
		m.tryAssign(request)
	}
}

// workerSilent reports whether two progress reports of the attempt's worker are missing. There are no
// reports on an attempt that still waits in its worker's queue, so it does not count.
func (m *Machine) workerSilent(attempt *attempt) bool {
	mayRun := attempt.startedAt > 0 || !m.settings.StartNotices
	if m.settings.ProgressInterval <= 0 || !mayRun || attempt.worker.ejected {
		return false
	}
	limit := 2*m.settings.ProgressInterval + m.settings.ConnectTimeout
	return m.now-max(attempt.lastSeen, attempt.worker.lastSeen) > limit
}

// workerLooksUnreachable reports whether there was no report on an attempt for a sweep interval, while its
// worker is ejected, its zone is unreachable or its connection may have been dead from the start.
func (m *Machine) workerLooksUnreachable(attempt *attempt) bool {
	if m.now-attempt.lastSeen <= m.sweepInterval {
		return false
	}
	return attempt.worker.ejected || m.zoneUnreachable(attempt.worker) ||
		attempt.startedAt == 0 && attempt.connectionIdle > m.connections.safeIdleTime
}

// waitsLongForStart reports whether an attempt that can still be in time has waited for its start for more
// than half a sweep interval. It is false unless starts are reported and attempts can be cancelled: then the
// first attempt to start cancels the other one, so that a hedge costs little.
func (m *Machine) waitsLongForStart(request *request, attempt *attempt) bool {
	return attempt.startedAt == 0 && !request.late && m.settings.StartNotices && m.settings.Cancellation &&
		m.now-attempt.assignedAt > m.sweepInterval/2
}

// connectionUnresponsive reports whether the connection of an attempt looks dead although its worker is
// alive. After the start of the attempt, that is the case if progress reports are overdue. Before it, that
// is the case if the start is overdue and a later load report says that nothing waits at the worker; if
// there is no such report, connectionUnresponsive requests one.
func (m *Machine) connectionUnresponsive(request *request, attempt *attempt) bool {
	if m.settings.ProgressInterval <= 0 || !m.settings.StartNotices || attempt.unresponsive {
		return attempt.unresponsive
	}
	grace := m.settings.ProgressInterval/2 + m.settings.ConnectTimeout
	if attempt.startedAt > 0 {
		return m.now-attempt.lastSeen > m.settings.ProgressInterval+grace
	}
	scarce := m.prices.positive() || len(m.queue.waiting) > 0
	if !m.settings.StartsInOrder || m.now-attempt.assignedAt <= grace || scarce {
		return false
	}
	worker := attempt.worker
	if worker.load.backlogAt <= attempt.assignedAt+m.settings.ConnectTimeout {
		m.checkBacklog(worker, grace)
		return false
	}
	attempt.unresponsive = worker.load.backlog < 1
	if attempt.unresponsive {
		m.stopAwaitingStart(request, attempt)
	}
	return attempt.unresponsive
}

// checkBacklog requests a worker's load, unless it was requested within the interval. The interval grows
// with the number of dispatchers, since all of them may ask the same worker.
func (m *Machine) checkBacklog(worker *worker, interval time.Duration) {
	interval *= time.Duration(max(m.settings.Peers/manyDispatchersThreshold, 1))
	if !m.settings.HealthChecks || m.now-worker.healthCheckedAt <= interval {
		return
	}
	worker.healthCheckedAt = m.now
	m.emit(Action{Kind: CheckHealth, Worker: worker.Name})
}

// cancelOtherAttempts cancels superfluous attempts of a request after a report that the attempt with that
// number runs. Other attempts that have not started are cancelled. The attempt itself is cancelled if
// another one started earlier, at a worker that is not ejected and on a connection that is not unresponsive.
func (m *Machine) cancelOtherAttempts(request *request, number int) {
	if !m.settings.StartNotices || !m.settings.Cancellation || request.class.Streaming {
		return
	}
	startedAt := request.attempts[number].startedAt
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if i == number || attempt.ended {
			continue
		}
		trusted := !attempt.unresponsive && !attempt.worker.ejected
		if attempt.startedAt == 0 {
			m.emit(Action{Kind: CancelAttempt, Request: request.id, Attempt: i})
		} else if trusted && attempt.startedAt < startedAt {
			m.emit(Action{Kind: CancelAttempt, Request: request.id, Attempt: number})
		}
	}
}
