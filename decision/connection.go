package decision

import (
	"cmp"
	"math"
	"time"
)

// What is sent on a connection that was dropped unnoticed while it was unused is lost. Idle connections are
// closed before use once they are older than safeIdleTime, which is learned from requests that were lost.
const (
	// deadConnectionHorizons is the number of planning horizons within which a second loss must follow for
	// the first to count: a single one may have another cause.
	deadConnectionHorizons = 4
	// safeIdleTimeGrowth is the inverse of the part by which safeIdleTime grows again with each pricing.
	safeIdleTimeGrowth = 32
)

// connectionReuse is what is learned of idle connections to workers.
type connectionReuse struct {
	safeIdleTime time.Duration // connections unused for longer may be dead
	lostAt       time.Duration // when one was found dead last
}

// newConnectionReuse begins with the span after which workers close idle connections; unknown, it is as
// good as endless.
func newConnectionReuse(settings *Settings) connectionReuse {
	return connectionReuse{safeIdleTime: cmp.Or(settings.ConnectionIdleTimeout, math.MaxInt64/2)}
}

// grow lets safeIdleTime grow again, up to the limit; 0: it stays as it is.
func (c *connectionReuse) grow(limit time.Duration) {
	grown := c.safeIdleTime + c.safeIdleTime/safeIdleTimeGrowth
	c.safeIdleTime = min(grown, cmp.Or(limit, c.safeIdleTime))
}

// recordDead learns from a connection that was found dead after it was unused for that long, and reports
// whether safeIdleTime was cut: the loss of one connection alone may have another cause.
func (c *connectionReuse) recordDead(now, planningHorizon, idle time.Duration) (cut bool) {
	cut = now < c.lostAt+deadConnectionHorizons*planningHorizon
	if cut {
		c.safeIdleTime = min(c.safeIdleTime, idle/2)
	}
	c.lostAt = now
	return cut
}

// takeIdleConnection takes the latest idle connection to a worker, and returns for how long it was unused. It
// returns 0 if there is none, or if an attempt at the worker may have to wait for its start, so that a late
// start would not show a dead connection.
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

// closeStaleConnections closes the idle connections to a worker if the latest of them is older than
// safeIdleTime.
func (m *Machine) closeStaleConnections(worker *worker) {
	n := len(worker.idleConnections)
	if n > 0 && m.now-worker.idleConnections[n-1] > m.connections.safeIdleTime {
		m.closeIdleConnections(worker)
	}
}

// closeIdleConnections asks for the idle connections to a worker to be closed.
func (m *Machine) closeIdleConnections(worker *worker) {
	worker.idleConnections = worker.idleConnections[:0]
	m.emit(Action{Kind: CloseIdle, Worker: worker.Name})
}

// connectionWasDead reports whether an attempt whose connection was lost had been sent on one that was
// dropped while unused: then the loss shows at once.
func (m *Machine) connectionWasDead(attempt *attempt) bool {
	atOnce := attempt.startedAt == 0 && m.now-attempt.sentAt < m.settings.ConnectTimeout
	return atOnce && attempt.connectionIdle > m.sweepInterval
}

// recordDeadConnection learns from an attempt that was lost with its connection for how long a connection
// may be unused. The worker is not blamed.
func (m *Machine) recordDeadConnection(attempt *attempt) {
	if m.connections.recordDead(m.now, m.planningHorizon, attempt.connectionIdle) {
		m.logf("connections unused for over %v look dead", m.connections.safeIdleTime)
	}
}

// markPossiblyLost notes that the connection of a late attempt may be dead. The worker then gets other
// requests, on a new connection; if one of them starts first, the attempt was lost (see overtakenAttempt).
func (m *Machine) markPossiblyLost(request *request, attempt *attempt) {
	m.removeUnstarted(attempt.worker)
	attempt.worker.possiblyLost = request
	m.closeIdleConnections(attempt.worker)
}

// stopAwaitingStart no longer counts an attempt among those that wait for their start, so that its worker
// gets other requests.
func (m *Machine) stopAwaitingStart(request *request, attempt *attempt) {
	if attempt.worker.possiblyLost != request { // markPossiblyLost has not taken it off already
		m.removeUnstarted(attempt.worker)
	}
	m.closeIdleConnections(attempt.worker)
}

// leftAfter reports whether an attempt left later than another one. One that has not left yet is not lost,
// whatever is thought of its connection: idleConnections counts those, too, that a worker has announced to
// close, so it may be on a new one that is still being dialed.
func (a *attempt) leftAfter(other *attempt) bool {
	return other.leftAt > 0 && a.leftAt > other.leftAt
}

// overtakenAttempt returns the possibly lost request of a worker and its attempt, if the given attempt of
// another request left later and has started first. Otherwise it returns nil for both.
func (m *Machine) overtakenAttempt(request *request, attempt *attempt) (*request, *attempt) {
	worker := attempt.worker
	suspected := worker.possiblyLost
	if suspected == nil || suspected == request {
		return nil, nil
	}
	worker.possiblyLost = nil
	lost := suspected.unstartedAttempt()
	if lost == nil || lost.worker != worker || !attempt.leftAfter(lost) || suspected.ended {
		return nil, nil
	}
	return suspected, lost
}
