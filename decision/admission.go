package decision

import (
	"math"
	"time"
)

// What a client may claim of a request.
const (
	maxSlots         = math.MaxInt32 // more, or none, counts as one slot
	maxWorkDeadlines = 10            // a hint of the work counts up to this multiple of the deadline
)

// handleArrival decides whether a request is taken: its class must be known, its answer still have a value
// that covers the prices, and it must not make others late. A request that is taken waits in the queue,
// which is looked at after each event.
func (m *Machine) handleArrival(event Event) {
	if m.requests[event.Request] != nil {
		return
	}
	m.retryBudget.countArrival(m.now, &m.settings)
	if event.Class < 0 || event.Class >= len(m.settings.Classes) {
		m.emit(Action{Kind: Fail, Request: event.Request})
		return
	}
	request := m.newRequest(&event)
	m.requests[request.id] = request
	elapsed := m.elapsedSinceFirstTry(request, &event)
	isRetry := event.ClientRetry || !m.settings.ClientsMarkRetries && elapsed > m.sweepInterval
	overQuota := m.overQuota(event.Tenant, isRetry)
	if overQuota {
		request.value *= m.settings.OverQuotaWeight
	}
	objective := m.now + request.class.LatencyObjective + seconds(request.class.ObjectiveStretch*request.work)
	request.objective = min(objective, request.deadline) - elapsed
	if !isRetry {
		key := requestGroupKey{
			class:     event.Class,
			overQuota: overQuota,
			slots:     int(math.Log2(request.slots)),
			work:      int(math.Log2(request.work) / 2),
		}
		m.mix.add(m.now, m.planningHorizon, request, key)
	}
	if m.rejectedOnArrival(request) {
		m.rejectOrFail(request)
		return
	}
	request.keyHash = m.ownerHash(event.Key)
	if request.class.Serialized && event.Key != "" {
		m.serializer.join(request, event.Key)
	}
	m.emit(Action{Kind: SetTimer, Timer: request.id, Delay: request.deadline - m.now})
	m.unanswered = append(m.unanswered, request)
	m.scheduleSweep()
	m.queue.add(request)
	m.requestHealthChecks()
}

// rejectedOnArrival reports whether a request that has just arrived is rejected at once.
func (m *Machine) rejectedOnArrival(request *request) bool {
	return request.deadline <= m.now || m.hasNoValue(request) ||
		!m.prices.coveredBy(request) || m.delaysOthers(request)
}

// newRequest records what an arrival says of a request, and the hint of its work into the mean of its
// class. The deadline lies two ticks early: one for the timer, one for the answer's way.
func (m *Machine) newRequest(event *Event) *request {
	request := &request{id: event.Request, class: &m.settings.Classes[event.Class], slots: 1}
	request.deadline = m.now + min(event.TimeLeft, request.class.Deadline) - 2*m.settings.Tick
	if event.Slots > 0 && event.Slots < maxSlots {
		request.slots = event.Slots
	}
	request.classMeanWork = m.estimates.classMeanWork[event.Class]
	request.work = request.classMeanWork
	if event.Work > 0 {
		hint := min(event.Work, maxWorkDeadlines*request.class.Deadline)
		request.work = max(hint, m.settings.Tick).Seconds()
		request.holdTime = request.work
		m.estimates.learnHint(event.Class, request.work)
	}
	request.cost = request.slots * request.work
	request.value = request.class.PriorityWeight
	if m.settings.WeightByWork {
		request.value *= request.work
	}
	return request
}

// elapsedSinceFirstTry returns for how long the client has waited already: the latency objective runs from
// its first try, and a retry, or what was held up on its way, has less time left.
func (m *Machine) elapsedSinceFirstTry(request *request, event *Event) time.Duration {
	longest := m.estimates.learnTimeLeft(event.Class, min(event.TimeLeft, request.class.Deadline))
	if event.ClientRetry {
		return max(request.class.Deadline-event.TimeLeft, 0)
	}
	return max(longest-event.TimeLeft, 0)
}

// hasNoValue reports whether a response to the request would earn nothing any more.
func (m *Machine) hasNoValue(request *request) bool {
	return m.now >= request.objective && request.class.LateWeight <= 0
}

// tryAssign starts an attempt, unless the key's turn, the retry budget, the concurrency ceiling, the token
// bucket or the lack of a fit worker forbids it.
func (m *Machine) tryAssign(request *request) bool {
	if request.ended || request.awaitsKey(m.now) {
		return false
	}
	if !m.withinRetryBudget(request) || !m.withinConcurrency(request) {
		return false
	}
	m.ceilings.inFlight += request.slots
	m.bucket.refill(m.now, m.readyWorkers(), m.bucketCapacity())
	var worker *worker
	if m.bucket.tokens >= min(request.cost, m.bucketCapacity()) {
		worker = m.pickWorker(request)
	}
	if worker == nil {
		m.ceilings.inFlight -= request.slots
		return false
	}
	m.bucket.tokens -= request.cost
	m.closeStaleConnections(worker)
	if worker.ejected { // this is a trial: the next one comes later
		m.scheduleTrial(worker)
	}
	m.startAttempt(request, worker)
	return true
}
