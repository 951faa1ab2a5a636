package decision

import "time"

// Connections that are dropped unseen while they are unused swallow what is sent on them. Idle ones are closed before
// use once they are older than safeIdleTime, which is learned from requests that were lost.
const (
	// deadConnectionHorizons is the number of planning horizons within which a second loss must follow for the first
	// to count: a single one may have another cause.
	deadConnectionHorizons = 4
	// safeIdleTimeGrowth is the inverse of the part by which safeIdleTime grows again with each pricing.
	safeIdleTimeGrowth = 32
)

// takeIdleConnection uses up the latest idle connection to a worker, and returns for how long it was unused; 0 if there
// is none, or if an attempt there may have to wait for its start, so that its silence would prove nothing.
func (m *Machine) takeIdleConnection(w *worker) (idle time.Duration) {
	n := len(w.idleConnections)
	if n == 0 {
		return 0
	}
	if m.expectedStartWait(w) <= m.sweepInterval.Seconds() && w.othersOutstanding <= 0 && w.unstarted == 0 {
		idle = m.now - w.idleConnections[n-1]
	}
	w.idleConnections = w.idleConnections[:n-1]
	return idle
}

// closeIdleConnections asks for the idle connections to a worker to be closed.
func (m *Machine) closeIdleConnections(w *worker) {
	w.idleConnections = w.idleConnections[:0]
	m.emit(Action{Kind: CloseIdle, Worker: w.Name})
}

// connectionWasDead tells whether an attempt whose connection was lost went out on one that was dropped while unused:
// the loss came at once.
func (m *Machine) connectionWasDead(a *attempt) bool {
	return a.startedAt == 0 && m.now-a.sentAt < m.settings.ConnectTimeout && a.connectionIdle > m.sweepInterval
}

// recordDeadConnection learns for how long a connection may be unused. The worker is not blamed.
func (m *Machine) recordDeadConnection(a *attempt) {
	if m.now < m.connectionLostAt+deadConnectionHorizons*m.planningHorizon {
		m.safeIdleTime = min(m.safeIdleTime, a.connectionIdle/2)
		m.logf("connections unused for over %v look dead", m.safeIdleTime)
	}
	m.connectionLostAt = m.now
}

// markPossiblyLost notes that the connection of a late attempt may be dead, so that its worker gets another request on a
// new one: if that starts first, the attempt was lost.
func (m *Machine) markPossiblyLost(r *request, a *attempt) {
	m.removeUnstarted(a.worker)
	a.worker.possiblyLost = r
	m.closeIdleConnections(a.worker)
}

// stopAwaitingStart no longer counts an attempt among those that wait for their start, so that its worker gets others.
func (m *Machine) stopAwaitingStart(r *request, a *attempt) {
	if a.worker.possiblyLost != r { // else it is not counted any more
		m.removeUnstarted(a.worker)
	}
	m.closeIdleConnections(a.worker)
}

// overtakenAttempt returns the possibly lost request of a worker and its attempt, if the attempt of another request that
// was sent later has started before it; else nils.
func (m *Machine) overtakenAttempt(r *request, a *attempt) (*request, *attempt) {
	w := a.worker
	suspected := w.possiblyLost
	if suspected == nil || suspected == r {
		return nil, nil
	}
	w.possiblyLost = nil
	lost := suspected.unstartedAttempt()
	if lost == nil || lost.worker != w || lost.sentAt >= a.sentAt || suspected.ended {
		return nil, nil
	}
	return suspected, lost
}
