package decision

import "time"

// superviseAttempt looks after the only outstanding attempt of a request. It ejects a worker that has fallen silent, the
// only sign of a machine that has vanished, and hedges an attempt that is stuck: it is held by a worker or zone that
// looks gone, its connection is unresponsive, or it waits long for its start where the first attempt to start has the
// other cancelled.
func (m *Machine) superviseAttempt(r *request, a *attempt) {
	if m.workerSilent(a) {
		m.setFailureScore(a.worker, 1, reportsNoMore)
	}
	gone := m.holderLooksGone(a)
	unresponsive := m.connectionUnresponsive(r, a)
	if !gone && !unresponsive && !m.waitsLongForStart(r, a) {
		return
	}
	if m.settings.Hedging && r.class.Idempotency != NonIdempotent && len(r.attempts) < m.settings.MaxAttempts {
		m.tryAssign(r)
	}
}

// workerSilent tells whether two progress reports are missing. An attempt in a worker's queue is silent by nature.
func (m *Machine) workerSilent(a *attempt) bool {
	mayRun := a.startedAt > 0 || !m.settings.StartNotices
	if m.settings.ProgressInterval <= 0 || !mayRun || a.worker.ejected {
		return false
	}
	limit := 2*m.settings.ProgressInterval + m.settings.ConnectTimeout
	return m.now-max(a.lastSeen, a.worker.lastSeen) > limit
}

// holderLooksGone tells whether nothing was heard of an attempt for a while, and its worker, zone or connection is not
// to be trusted.
func (m *Machine) holderLooksGone(a *attempt) bool {
	if m.now-a.lastSeen <= m.sweepInterval {
		return false
	}
	return a.worker.ejected || m.zoneUnreachable(a.worker) ||
		a.startedAt == 0 && a.connectionIdle > m.safeIdleTime
}

// waitsLongForStart tells whether an attempt that can still be in time has waited for its start for half a sweep
// interval, where a hedge costs little since one of the two is cancelled.
func (m *Machine) waitsLongForStart(r *request, a *attempt) bool {
	return a.startedAt == 0 && !r.late && m.settings.StartNotices && m.settings.Cancellation &&
		m.now-a.sentAt > m.sweepInterval/2
}

// connectionUnresponsive tells whether the connection of an attempt looks dead though its worker lives: progress reports
// are overdue, or the start is while nothing waits there by a report of its load since. Where there is no such report,
// one is asked for.
func (m *Machine) connectionUnresponsive(r *request, a *attempt) bool {
	if m.settings.ProgressInterval <= 0 || !m.settings.StartNotices || a.unresponsive {
		return a.unresponsive
	}
	grace := m.settings.ProgressInterval/2 + m.settings.ConnectTimeout
	if a.startedAt > 0 {
		return m.now-a.lastSeen > m.settings.ProgressInterval+grace
	}
	scarce := m.workPrice+m.slotPrice > 0 || len(m.queue) > 0
	if !m.settings.StartsInOrder || m.now-a.sentAt <= grace || scarce {
		return false
	}
	w := a.worker
	if w.backlogAt <= a.sentAt+m.settings.ConnectTimeout {
		m.checkBacklog(w, grace)
		return false
	}
	a.unresponsive = w.backlog < 1
	if a.unresponsive {
		m.stopAwaitingStart(r, a)
	}
	return a.unresponsive
}

// checkBacklog asks a worker for its load, unless it was asked within the interval. The interval grows with the
// dispatchers that may all ask.
func (m *Machine) checkBacklog(w *worker, interval time.Duration) {
	interval *= time.Duration(max(m.settings.Peers/largeFleetThreshold, 1))
	if !m.settings.HealthChecks || m.now-w.healthCheckedAt <= interval {
		return
	}
	w.healthCheckedAt = m.now
	m.emit(Action{Kind: CheckHealth, Worker: w.Name})
}

// cancelOtherAttempts leaves a request one attempt of those that run, after news of the one with that number: others
// that wait for their start are cancelled, and this one if another started before it at a worker that is trusted.
func (m *Machine) cancelOtherAttempts(r *request, number int) {
	if !m.settings.StartNotices || !m.settings.Cancellation || r.class.Streaming {
		return
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if i == number || a.ended {
			continue
		}
		if a.startedAt == 0 {
			m.emit(Action{Kind: CancelAttempt, Request: r.id, Attempt: i})
		} else if !a.unresponsive && !a.worker.ejected && a.startedAt < r.attempts[number].startedAt {
			m.emit(Action{Kind: CancelAttempt, Request: r.id, Attempt: number})
		}
	}
}
