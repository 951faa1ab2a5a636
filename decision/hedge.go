package decision

import "time"

// superviseAttempt looks after the only outstanding attempt of a request. It ejects a worker that has
// fallen silent, the only sign of a machine that has vanished, and hedges an attempt that is stuck: it is
// held by a worker or zone that looks gone, its connection is unresponsive, or it waits long for its start
// where the first attempt to start has the other cancelled.
func (m *Machine) superviseAttempt(request *request, attempt *attempt) {
	if m.workerSilent(attempt) {
		m.setFailureScore(attempt.worker, 1, reportsNoMore)
	}
	gone := m.workerLooksGone(attempt)
	unresponsive := m.connectionUnresponsive(request, attempt)
	if !gone && !unresponsive && !m.waitsLongForStart(request, attempt) {
		return
	}
	mayRepeat := request.class.Idempotency != NonIdempotent && len(request.attempts) < m.settings.MaxAttempts
	if m.settings.Hedging && mayRepeat {
		m.tryAssign(request)
	}
}

// workerSilent reports whether two progress reports are missing. An attempt in a worker's queue is silent by
// nature.
func (m *Machine) workerSilent(attempt *attempt) bool {
	mayRun := attempt.startedAt > 0 || !m.settings.StartNotices
	if m.settings.ProgressInterval <= 0 || !mayRun || attempt.worker.ejected {
		return false
	}
	limit := 2*m.settings.ProgressInterval + m.settings.ConnectTimeout
	return m.now-max(attempt.lastSeen, attempt.worker.lastSeen) > limit
}

// workerLooksGone reports whether nothing was received of an attempt for a while, and its worker, zone or
// connection is not to be trusted.
func (m *Machine) workerLooksGone(attempt *attempt) bool {
	if m.now-attempt.lastSeen <= m.sweepInterval {
		return false
	}
	return attempt.worker.ejected || m.zoneUnreachable(attempt.worker) ||
		attempt.startedAt == 0 && attempt.connectionIdle > m.connections.safeIdleTime
}

// waitsLongForStart reports whether an attempt that can still be in time has waited for its start for half a
// sweep interval, where a hedge costs little since one of the two is cancelled.
func (m *Machine) waitsLongForStart(request *request, attempt *attempt) bool {
	return attempt.startedAt == 0 && !request.late && m.settings.StartNotices && m.settings.Cancellation &&
		m.now-attempt.sentAt > m.sweepInterval/2
}

// connectionUnresponsive reports whether the connection of an attempt looks dead though its worker lives:
// progress reports are overdue, or the start is while nothing waits there by a report of its load since.
// Where there is no such report, one is asked for.
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
	if worker.backlogAt <= attempt.sentAt+m.settings.ConnectTimeout {
		m.checkBacklog(worker, grace)
		return false
	}
	attempt.unresponsive = worker.backlog < 1
	if attempt.unresponsive {
		m.stopAwaitingStart(request, attempt)
	}
	return attempt.unresponsive
}

// checkBacklog asks a worker for its load, unless it was asked within the interval. The interval grows with
// the dispatchers that may all ask.
func (m *Machine) checkBacklog(worker *worker, interval time.Duration) {
	interval *= time.Duration(max(m.settings.Peers/largeFleetThreshold, 1))
	if !m.settings.HealthChecks || m.now-worker.healthCheckedAt <= interval {
		return
	}
	worker.healthCheckedAt = m.now
	m.emit(Action{Kind: CheckHealth, Worker: worker.Name})
}

// cancelOtherAttempts leaves a request one attempt of those that run, after news of the one with that
// number: others that wait for their start are cancelled, and this one if another started before it at a
// worker that is trusted.
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
