package decision

import (
	"math"
	"slices"
	"time"
)

const (
	// pricingsPerHorizon is how often in a planning horizon the prices are solved again.
	pricingsPerHorizon = 8
	// sweepsPerObjective is the number of sweeps within the shortest latency objective.
	sweepsPerObjective = 2
	// minObjectivePart is the inverse of the part of its deadline that the latency objective of a class is
	// taken to be at least.
	minObjectivePart = 50
)

// sweepInterval derives the interval of the sweep from the shortest latency objective.
func (s *Settings) sweepInterval() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for i := range s.Classes {
		class := &s.Classes[i]
		shortest = min(shortest, max(class.LatencyObjective, class.Deadline/minObjectivePart))
	}
	return max(shortest/sweepsPerObjective, s.Tick)
}

// scheduleSweep sets the timer of the next sweep, unless it is set. Without unanswered requests there is no
// sweep.
func (m *Machine) scheduleSweep() {
	if !m.sweepScheduled {
		m.sweepScheduled = true
		m.emit(Action{Kind: SetTimer, Timer: sweepTimer, Delay: m.sweepInterval})
	}
}

// sweep decides what follows from the passing of time alone: which requests are late, stuck or without any
// value left, which workers have warmed up, and the prices.
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

// sweepRequest looks after one unanswered request.
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

// probablyLate reports whether the request would miss its objective if it started now, or with the next
// sweep.
func (m *Machine) probablyLate(request *request) bool {
	return m.now+seconds(request.work)+m.sweepInterval >= request.objective
}

// markLate marks a request that can hardly be in time, and lowers its value to that of a late answer. It is
// rejected at once if it waits while capacity is scarce, or if it delays others.
//
// Where starts are reported, an attempt that has not started by now shows overload, much earlier than its end
// would, and the ceilings are cut. The exception is an attempt whose connection may be dead.
func (m *Machine) markLate(request *request) {
	request.late = true
	if request.outstanding > 1 && m.settings.StartNotices && !request.countedAsBad && !request.hasStarted() {
		m.cutCeilings(request, request.attempts[0].sentAt)
	}
	unstarted := request.unstartedAttempt()
	if unstarted != nil && m.settings.StartNotices {
		switch {
		case unstarted.leftAt > 0 && unstarted.connectionIdle > m.connections.safeIdleTime:
			m.rejectOrFail(request)
			return
		case unstarted.connectionIdle > m.sweepInterval && m.settings.StartsInOrder:
			m.markPossiblyLost(request, unstarted)
		default:
			m.cutCeilings(request, unstarted.sentAt)
		}
	}
	request.value *= request.class.LateWeight
	if request.queued && m.capacityScarce(request) || m.delaysOthers(request) {
		m.rejectOrFail(request)
	}
}

// capacityScarce reports whether a waiting request has little hope of a worker soon.
func (m *Machine) capacityScarce(request *request) bool {
	return m.prices.positive() || !m.withinConcurrency(request) || m.allSuspended()
}

// delaysOthers reports whether a request delays others in its worker's queue for little: it can hardly be in
// time, has not started, and earns nothing late, or less than in time while many outcomes are bad. In the
// latter case it must be Idempotent.
func (m *Machine) delaysOthers(request *request) bool {
	earnsNothing := request.class.LateWeight <= 0
	repeatable := request.class.Idempotency == Idempotent && request.class.LateWeight < 1
	if !earnsNothing && !(repeatable && m.ceilings.badRatio > overloadBadRatio) {
		return false
	}
	return m.settings.StartNotices && m.settings.Cancellation &&
		m.probablyLate(request) && !request.hasStarted()
}
