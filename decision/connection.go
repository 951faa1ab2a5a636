package decision

import (
	"cmp"
	"math"
	"time"
)

// A connection may be dropped unnoticed while it is idle; what is sent on it afterwards is lost. Connections
// that were idle for longer than safeIdleTime are therefore closed before use. safeIdleTime is learned from
// requests that were lost in this way.
const (
	// deadConnectionHorizons is the number of planning horizons within which a second connection must be
	// found dead before safeIdleTime is cut: a single loss may have another cause.
	deadConnectionHorizons = 4
	// safeIdleTimeGrowthDivisor is the inverse of the fraction by which safeIdleTime grows with each
	// pricing.
	safeIdleTimeGrowthDivisor = 32
)

// connectionReuse is what is learned about idle connections to workers.
type connectionReuse struct {
	safeIdleTime time.Duration // connections idle for longer may be dead
	lostAt       time.Duration // when a connection was last found dead
}

// newConnectionReuse starts with the time after which workers close idle connections. If that is unknown,
// idle connections count as safe for any time.
func newConnectionReuse(settings *Settings) connectionReuse {
	return connectionReuse{safeIdleTime: cmp.Or(settings.ConnectionIdleTimeout, math.MaxInt64/2)}
}

// grow increases safeIdleTime by a step, up to the limit. With a limit of 0 it does nothing.
func (c *connectionReuse) grow(limit time.Duration) {
	grown := c.safeIdleTime + c.safeIdleTime/safeIdleTimeGrowthDivisor
	c.safeIdleTime = min(grown, cmp.Or(limit, c.safeIdleTime))
}

// recordDead records that a connection was found dead after it had been idle for that long, and reports
// whether safeIdleTime was cut. It is cut only if another connection was found dead shortly before, since
// the loss of a single one may have another cause.
func (c *connectionReuse) recordDead(now, planningHorizon, idle time.Duration) (cut bool) {
	cut = now < c.lostAt+deadConnectionHorizons*planningHorizon
	if cut {
		c.safeIdleTime = min(c.safeIdleTime, idle/2)
	}
	c.lostAt = now
	return cut
}

// takeIdleConnection takes the most recently used idle connection to a worker, and returns how long it was
// idle. It returns 0 if there is none, or if an attempt at the worker may have to wait for its start, in
// which case a late start would not indicate a dead connection.
func (m *Machine) takeIdleConnection(worker *worker) (idle time.Duration) {
	n := len(worker.idleConnections)
	if n == 0 {
		return 0
	}
	startsSoon := m.expectedStartWait(worker) <= m.sweepInterval.Seconds()
	if startsSoon && worker.load.othersOutstanding <= 0 && worker.unstarted == 0 {
		idle = m.now - worker.idleConnections[n-1]
	}
	worker.idleConnections = worker.idleConnections[:n-1]
	return idle
}

// closeStaleConnections closes the idle connections to a worker if even the most recently used one was idle
// for longer than safeIdleTime.
func (m *Machine) closeStaleConnections(worker *worker) {
	n := len(worker.idleConnections)
	if n > 0 && m.now-worker.idleConnections[n-1] > m.connections.safeIdleTime {
		m.closeIdleConnections(worker)
	}
}

// closeIdleConnections requests that the idle connections to a worker are closed.
func (m *Machine) closeIdleConnections(worker *worker) {
	worker.idleConnections = worker.idleConnections[:0]
	m.emit(Action{Kind: CloseIdle, Worker: worker.Name})
}

// connectionWasDead reports whether an attempt that lost its connection was probably sent on one that had
// been dropped while idle. In that case the loss shows soon after the send and before a start.
func (m *Machine) connectionWasDead(attempt *attempt) bool {
	atOnce := attempt.startedAt == 0 && m.now-attempt.assignedAt < m.settings.ConnectTimeout
	return atOnce && attempt.connectionIdle > m.sweepInterval
}

// recordDeadConnection updates safeIdleTime after an attempt was lost with its connection. The loss does not
// count against the worker.
func (m *Machine) recordDeadConnection(attempt *attempt) {
	if m.connections.recordDead(m.now, m.planningHorizon, attempt.connectionIdle) {
		m.logf("connections unused for over %v look dead", m.connections.safeIdleTime)
	}
}

// markPossiblyLost records that the connection of a late attempt may be dead. The worker may then get other
// requests, on a new connection; if one of them starts first, the late attempt was lost (see
// lostAttempt).
func (m *Machine) markPossiblyLost(request *request, attempt *attempt) {
	m.removeUnstarted(attempt.worker)
	attempt.worker.possiblyLost = request
	m.closeIdleConnections(attempt.worker)
}

// stopAwaitingStart removes an attempt from the count of those that wait for their start, so that its worker
// gets other requests.
func (m *Machine) stopAwaitingStart(request *request, attempt *attempt) {
	if attempt.worker.possiblyLost != request { // else markPossiblyLost has removed it already
		m.removeUnstarted(attempt.worker)
	}
	m.closeIdleConnections(attempt.worker)
}

// sentAfter reports whether an attempt was sent later than another one, which must have been sent as well.
// An attempt that was not sent yet cannot be lost, even if it was assumed to reuse an idle connection:
// idleConnections also counts connections that the worker has announced to close, so the attempt may be
// waiting for a new one to be dialed.
func (a *attempt) sentAfter(other *attempt) bool {
	return other.sentAt > 0 && a.sentAt > other.sentAt
}

// lostAttempt returns the possibly lost request of a worker and its attempt, if the given attempt of another
// request was sent later and has started first. Otherwise it returns nil for both.
func (m *Machine) lostAttempt(request *request, attempt *attempt) (*request, *attempt) {
	worker := attempt.worker
	suspected := worker.possiblyLost
	if suspected == nil || suspected == request {
		return nil, nil
	}
	worker.possiblyLost = nil
	lost := suspected.unstartedAttempt()
	if lost == nil || lost.worker != worker || !attempt.sentAfter(lost) || suspected.ended {
		return nil, nil
	}
	return suspected, lost
}
