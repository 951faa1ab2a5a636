package decision

import (
	"math"
	"slices"
	"time"
)

const (
	// pricingsPerHorizon is how often the prices are recomputed within a planning horizon.
	pricingsPerHorizon = 8
	// sweepsPerObjective is the number of sweeps within the shortest latency objective.
	sweepsPerObjective = 2
	// minObjectiveDivisor limits how short sweep intervals become: a latency objective counts as at least
	// the deadline of its class divided by this.
	minObjectiveDivisor = 50
)

// sweepInterval derives the interval of the sweep from the shortest latency objective. An objective counts
// as the deadline of its class at most, so that each request is swept before its deadline.
func (s *Settings) sweepInterval() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for i := range s.Classes {
		class := &s.Classes[i]
		objective := min(class.LatencyObjective, class.Deadline)
		shortest = min(shortest, max(objective, class.Deadline/minObjectiveDivisor))
	}
	return max(shortest/sweepsPerObjective, s.Tick)
}

// scheduleSweep sets the timer of the next sweep, unless it is already set. There are no sweeps while no
// request is unanswered.
func (m *Machine) scheduleSweep() {
	if !m.sweepScheduled {
		m.sweepScheduled = true
		m.emit(Action{Kind: SetTimer, Timer: sweepTimer, Delay: m.sweepInterval})
	}
}

// sweep makes the decisions that depend on the passing of time alone: which requests are late, stuck or
// without remaining value, which workers have warmed up, and, at longer intervals, the prices.
func (m *Machine) sweep() {
	m.unanswered = slices.DeleteFunc(m.unanswered, func(request *request) bool { return request.ended })
	for _, request := range m.unanswered {
		m.sweepRequest(request)
	}
	m.promoteWarmedUp()
	m.queue.sort() // late requests have less value now
	if m.now >= m.nextPricingAt {
		m.nextPricingAt = m.now + m.planningHorizon/pricingsPerHorizon
		m.connections.grow(m.settings.ConnectionIdleTimeout)
		m.solvePrices()
	}
	m.sweepScheduled = false
	if len(m.unanswered) > 0 {
		m.scheduleSweep()
	}
}

// sweepRequest makes the decisions about one unanswered request.
func (m *Machine) sweepRequest(request *request) {
	switch {
	case !request.late && m.probablyLate(request):
		m.markLate(request)
	case request.queued && (m.hasNoValue(request) || m.mustNotRepeat(request)):
		m.rejectOrFail(request)
	case request.late && m.delaysOthers(request):
		m.rejectOrFail(request)
	}
	last := len(request.attempts) - 1
	if request.outstanding == 1 && !request.attempts[last].ended {
		m.superviseAttempt(request, &request.attempts[last])
	}
}

// probablyLate reports whether the request would miss its objective if it started at the next sweep.
func (m *Machine) probablyLate(request *request) bool {
	return m.now+seconds(request.work)+m.sweepInterval >= request.objective
}

// markLate marks a request that will probably be late, and lowers its value to that of a late response. The
// request is rejected at once if it waits while capacity is scarce, or if it delays others.
//
// If starts are reported, an attempt that has not started by now indicates overload, much earlier than its
// end would, and the ceilings are cut. The exception is an attempt whose connection may be dead.
func (m *Machine) markLate(request *request) {
	request.late = true
	if request.outstanding > 1 && m.settings.StartNotices && !request.countedAsBad && !request.hasStarted() {
		m.cutCeilings(request, request.attempts[0].assignedAt)
	}
	unstarted := request.unstartedAttempt()
	if unstarted != nil && m.settings.StartNotices {
		switch {
		case unstarted.sentAt > 0 && unstarted.connectionIdle > m.connections.safeIdleTime:
			m.rejectOrFail(request)
			return
		case unstarted.connectionIdle > m.sweepInterval && m.settings.StartsInOrder:
			m.markPossiblyLost(request, unstarted)
		default:
			m.cutCeilings(request, unstarted.assignedAt)
		}
	}
	request.value *= request.class.LateWeight
	if request.queued && m.capacityScarce(request) || m.delaysOthers(request) {
		m.rejectOrFail(request)
	}
}

// capacityScarce reports whether a waiting request is unlikely to get a worker soon: something has a price,
// the concurrency ceiling is exhausted, or all running workers are suspended.
func (m *Machine) capacityScarce(request *request) bool {
	return m.prices.positive() || !m.withinConcurrency(request) || m.allSuspended()
}

// delaysOthers reports whether a request would delay others in its worker's queue for little value: it will
// probably be late, has not started, and a late response to it earns nothing. While many outcomes are bad, it
// is enough that a late response earns less than one in time, if the request is Idempotent.
func (m *Machine) delaysOthers(request *request) bool {
	earnsNothing := request.class.LateWeight <= 0
	repeatable := request.class.Idempotency == Idempotent && request.class.LateWeight < 1
	if !earnsNothing && !(repeatable && m.ceilings.badRatio > overloadBadRatio) {
		return false
	}
	return m.settings.StartNotices && m.settings.Cancellation &&
		m.probablyLate(request) && !request.hasStarted()
}
