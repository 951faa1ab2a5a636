package decision

import "time"

// superviseAttempt looks after the only outstanding attempt of a request.
//
// It ejects a worker that has fallen silent, which is the only sign of a machine that has crashed. It hedges
// an attempt that is stuck: its worker or zone looks gone, its connection is unresponsive, or it waits long
// for its start.
func (m *Machine) superviseAttempt(request *request, attempt *attempt) {
	if m.workerSilent(attempt) {
		m.setFailureScore(attempt.worker, 1, reportsNoMore)
	}
	gone := m.workerLooksGone(attempt)
	unresponsive := m.connectionUnresponsive(request, attempt)
	if !gone && !unresponsive && !m.waitsLongForStart(request, attempt) {
		return
	}
	mayRepeat := request.class.Idempotency != NonIdempotent && request.attemptsMade() < m.settings.MaxAttempts
	if m.settings.Hedging && mayRepeat {
		m.tryAssign(request)
	}
}

// workerSilent reports whether two progress reports of the attempt's worker are missing. An attempt that
// waits in its worker's queue has none.
func (m *Machine) workerSilent(attempt *attempt) bool {
	mayRun := attempt.startedAt > 0 || !m.settings.StartNotices
	if m.settings.ProgressInterval <= 0 || !mayRun || attempt.worker.ejected {
		return false
	}
	limit := 2*m.settings.ProgressInterval + m.settings.ConnectTimeout
	return m.now-max(attempt.lastSeen, attempt.worker.lastSeen) > limit
}

// workerLooksGone reports whether there was no report on an attempt for a sweep interval, while its worker is
// ejected, its zone is unreachable or its connection may have been dead from the start.
func (m *Machine) workerLooksGone(attempt *attempt) bool {
	if m.now-attempt.lastSeen <= m.sweepInterval {
		return false
	}
	return attempt.worker.ejected || m.zoneUnreachable(attempt.worker) ||
		attempt.startedAt == 0 && attempt.connectionIdle > m.connections.safeIdleTime
}

// waitsLongForStart reports whether an attempt that can still be in time has waited for its start for more
// than half a sweep interval. It does so only where the first attempt to start has the other cancelled, so
// that a hedge costs little.
func (m *Machine) waitsLongForStart(request *request, attempt *attempt) bool {
	return attempt.startedAt == 0 && !request.late && m.settings.StartNotices && m.settings.Cancellation &&
		m.now-attempt.sentAt > m.sweepInterval/2
}

// connectionUnresponsive reports whether the connection of an attempt looks dead though its worker lives.
// After the start, progress reports are overdue. Before it, the start is overdue although a load report since
// says that nothing waits at the worker; where there is no such report, it asks for one.
func (m *Machine) connectionUnresponsive(request *request, attempt *attempt) bool {
	if m.settings.ProgressInterval <= 0 || !m.settings.StartNotices || attempt.unresponsive {
		return attempt.unresponsive
	}
	grace := m.settings.ProgressInterval/2 + m.settings.ConnectTimeout
	if attempt.startedAt > 0 {
		return m.now-attempt.lastSeen > m.settings.ProgressInterval+grace
	}
	scarce := m.prices.positive() || len(m.queue.waiting) > 0
	if !m.settings.StartsInOrder || m.now-attempt.sentAt <= grace || scarce {
		return false
	}
	worker := attempt.worker
	if worker.load.backlogAt <= attempt.sentAt+m.settings.ConnectTimeout {
		m.checkBacklog(worker, grace)
		return false
	}
	attempt.unresponsive = worker.load.backlog < 1
	if attempt.unresponsive {
		m.stopAwaitingStart(request, attempt)
	}
	return attempt.unresponsive
}

// checkBacklog asks a worker for its load, unless it was asked within the interval. The interval grows with
// the number of dispatchers, which may all ask.
func (m *Machine) checkBacklog(worker *worker, interval time.Duration) {
	interval *= time.Duration(max(m.settings.Peers/largeFleetThreshold, 1))
	if !m.settings.HealthChecks || m.now-worker.healthCheckedAt <= interval {
		return
	}
	worker.healthCheckedAt = m.now
	m.emit(Action{Kind: CheckHealth, Worker: worker.Name})
}

// cancelOtherAttempts leaves a request one attempt, after a report that the one with that number runs. Others
// that have not started are cancelled. This one is cancelled if another one started before it, at a worker
// that is trusted.
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
