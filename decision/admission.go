package decision

import (
	"math"
	"time"
)

// Bounds of what a client may state about a request.
const (
	maxSlots         = math.MaxInt32 // from this number on, and below or at zero, it counts as one slot
	maxWorkDeadlines = 10            // a hint of the work counts up to this multiple of the deadline
)

// handleArrival decides whether a request is admitted: its class must be known, an answer must still have a
// value that covers the prices, and the request must not delay others for nothing. An admitted request waits
// in the queue, which Handle looks at after each event.
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
	m.appraise(request, &event)
	if m.rejectedOnArrival(request) {
		m.rejectOrFail(request)
		return
	}
	m.admit(request, event.Key)
}

// appraise sets the objective of a request that has arrived, lowers its value if it is beyond its tenant's
// quota, and counts it into the mix. The mix has first tries only, so that it shows the demand.
func (m *Machine) appraise(request *request, event *Event) {
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

// admit lets a request wait in the queue until its deadline.
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

// newRequest returns the request that an arrival describes, and learns from the hint of its work. The
// deadline is two ticks early: one for the timer, one for the transmission of the answer.
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

// elapsedSinceFirstTry returns for how long the client has waited already, since the latency objective runs
// from its first try. It follows from the time left: a client's retry, or a request that was delayed in
// transmission, has less of it than the class allows.
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

// tryAssign starts an attempt and reports whether it did. It does not where the request must wait for its
// key, the retry budget, the concurrency ceiling or the token bucket is exhausted, or no worker can take it.
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
