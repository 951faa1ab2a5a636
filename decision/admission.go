package decision

import (
	"math"
	"time"
)

// Bounds on the slots and the work that a client may declare for a request.
const (
	maxSlots         = math.MaxInt32 // a slot count that is not between 0 and this value counts as one slot
	maxWorkDeadlines = 10            // a hint of the work is capped at this multiple of the class's deadline
)

// handleArrival decides whether a request is admitted: its class must be known, a response must still have a
// value that covers the prices, and the request must not delay others for little value (see delaysOthers). An
// admitted request waits in the queue, which Handle dispatches after each event.
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
	m.setObjectiveAndValue(request, &event)
	if m.rejectedOnArrival(request) {
		m.rejectOrFail(request)
		return
	}
	m.admit(request, event.Key)
}

// setObjectiveAndValue sets the objective of a request that has arrived, lowers its value if it is beyond
// its tenant's quota, and adds it to the mix. The mix contains first tries only, so that clients' retries do
// not inflate the measured demand.
func (m *Machine) setObjectiveAndValue(request *request, event *Event) {
	elapsed := m.elapsedSinceFirstTry(request, event)
	isRetry := event.ClientRetry || !m.settings.ClientsMarkRetries && elapsed > m.sweepInterval
	overQuota := m.overQuota(event.Tenant, isRetry)
	if overQuota {
		request.value *= m.settings.OverQuotaWeight
	}
	objective := m.now + request.class.LatencyObjective + seconds(request.class.ObjectiveStretch*request.work)
	request.objective = min(objective, request.deadline) - elapsed
	if isRetry {
		return
	}
	key := requestGroupKey{
		class:     event.Class,
		overQuota: overQuota,
		slots:     int(math.Log2(request.slots)),
		work:      int(math.Log2(request.work) / 2),
	}
	m.mix.add(m.now, m.planningHorizon, request, key)
}

// admit puts a request into the queue, where it waits until its deadline at most.
func (m *Machine) admit(request *request, key string) {
	request.keyHash = m.ownerHash(key)
	if request.class.Serialized && key != "" {
		m.serializer.join(request, key)
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

// newRequest returns the request that an arrival describes, and updates the mean work of its class from its
// hint. The request's deadline is two ticks before the client's: one tick for the timer, one for the
// transmission of the response.
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

// elapsedSinceFirstTry returns how long the client has waited already; the latency objective counts from its
// first try. The elapsed time is derived from the time left: a client's retry, or a request that was delayed
// in transmission, has less time left than a first try of its class.
func (m *Machine) elapsedSinceFirstTry(request *request, event *Event) time.Duration {
	longest := m.estimates.learnTimeLeft(event.Class, min(event.TimeLeft, request.class.Deadline))
	if event.ClientRetry {
		return max(request.class.Deadline-event.TimeLeft, 0)
	}
	return max(longest-event.TimeLeft, 0)
}

// hasNoValue reports whether a response to the request would no longer earn anything.
func (m *Machine) hasNoValue(request *request) bool {
	return m.now >= request.objective && request.class.LateWeight <= 0
}

// tryAssign starts an attempt and reports whether it did. It starts none if the request must wait for its
// key, if the retry budget, the concurrency ceiling or the token bucket is exhausted, or if no worker can
// take it.
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
	if worker.ejected { // this attempt is a trial: schedule the next one
		m.scheduleTrial(worker)
	}
	m.startAttempt(request, worker)
	return true
}
