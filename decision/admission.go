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

// handleArrival decides whether a request is taken: its class must be known, its answer still be worth something, its
// value cover the prices, and it must not make others late. A request that is taken waits in the queue, which is looked
// at after each event.
func (m *Machine) handleArrival(ev Event) {
	if m.requests[ev.Request] != nil {
		return
	}
	m.countArrival()
	if ev.Class < 0 || ev.Class >= len(m.settings.Classes) {
		m.emit(Action{Kind: Fail, Request: ev.Request})
		return
	}
	r := m.newRequest(&ev)
	m.requests[r.id] = r
	elapsed := m.elapsedSinceFirstTry(r, &ev)
	isRetry := ev.ClientRetry || !m.settings.ClientsMarkRetries && elapsed > m.sweepInterval
	overQuota := m.overQuota(ev.Tenant, isRetry)
	if overQuota {
		r.value *= m.settings.OverQuotaWeight
	}
	objective := m.now + r.class.LatencyObjective + seconds(r.class.ObjectiveStretch*r.work)
	r.objective = min(objective, r.deadline) - elapsed
	if !isRetry {
		m.addToMix(r, jobGroupKey{
			class:     ev.Class,
			overQuota: overQuota,
			slots:     int(math.Log2(r.slots)),
			work:      int(math.Log2(r.work) / 2),
		})
	}
	if r.deadline <= m.now || m.worthless(r) || !m.paysPrices(r) || m.delaysOthers(r) {
		m.rejectOrFail(r)
		return
	}
	r.keyHash = m.ownerHash(ev.Key)
	if r.class.Serialized && ev.Key != "" {
		m.joinKeyQueue(r, ev.Key)
	}
	m.emit(Action{Kind: SetTimer, Timer: r.id, Delay: r.deadline - m.now})
	m.unanswered = append(m.unanswered, r)
	m.scheduleSweep()
	m.enqueue(r)
	m.requestHealthChecks()
}

// newRequest takes in what an arrival tells of a request, and the hint of its work into the mean of its class. The
// deadline lies two ticks early: one for the timer, one for the answer's way.
func (m *Machine) newRequest(ev *Event) *request {
	r := &request{id: ev.Request, class: &m.settings.Classes[ev.Class], slots: 1}
	r.deadline = m.now + min(ev.TimeLeft, r.class.Deadline) - 2*m.settings.Tick
	if ev.Slots > 0 && ev.Slots < maxSlots {
		r.slots = ev.Slots
	}
	classMean := &m.classMeanWork[ev.Class]
	r.work = *classMean
	r.classMeanWork = *classMean
	if ev.Work > 0 {
		r.work = max(min(ev.Work, maxWorkDeadlines*r.class.Deadline), m.settings.Tick).Seconds()
		r.holdTime = r.work
		*classMean += (r.work - *classMean) / meanSpan
	}
	r.cost = r.slots * r.work
	r.value = r.class.PriorityWeight
	if m.settings.WeightByWork {
		r.value *= r.work
	}
	return r
}

// elapsedSinceFirstTry tells for how long the client has waited already: the latency objective runs from its first try,
// and a retry, or what was held up on its way, has less time left.
func (m *Machine) elapsedSinceFirstTry(r *request, ev *Event) time.Duration {
	longest := &m.maxTimeLeft[ev.Class]
	*longest = max(*longest, min(ev.TimeLeft, r.class.Deadline))
	if ev.ClientRetry {
		return max(r.class.Deadline-ev.TimeLeft, 0)
	}
	return max(*longest-ev.TimeLeft, 0)
}

// worthless tells whether an answer earns nothing any more.
func (m *Machine) worthless(r *request) bool {
	return m.now >= r.objective && r.class.LateWeight <= 0
}

// tryAssign starts an attempt, unless the key's turn, the retry budget, the concurrency ceiling, the token bucket or
// the lack of a fit worker forbids it.
func (m *Machine) tryAssign(r *request) bool {
	if r.ended || m.awaitsKey(r) || !m.withinRetryBudget(r) || !m.withinConcurrency(r) {
		return false
	}
	m.inFlight += r.slots
	m.refillBucket()
	var w *worker
	if m.bucketTokens >= min(r.cost, m.bucketCapacity()) {
		w = m.pickWorker(r)
	}
	if w == nil {
		m.inFlight -= r.slots
		return false
	}
	m.bucketTokens -= r.cost
	if n := len(w.idleConnections); n > 0 && m.now-w.idleConnections[n-1] > m.safeIdleTime {
		m.closeIdleConnections(w)
	}
	if w.ejected { // this is a trial: the next one comes later
		m.scheduleTrial(w)
	}
	m.startAttempt(r, w)
	return true
}
