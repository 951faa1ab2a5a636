package decision

import (
	"math"
	"time"
)

// Two ceilings bound what is sent. The concurrency ceiling bounds the slots in flight, a token bucket the
// work sent over time. Both are learned per ready worker: they rise with each request served in time while
// they bind, and are cut by bad outcomes. The figures were inherited with the decision machine.
const (
	initialSlotsPerWorker = 8.0  // slots per worker of all dispatchers together, as both ceilings
	ceilingFloorRatio     = 0.25 // part of the initial value below which no ceiling is cut
	ceilingRaiseStep      = 0.4  // slots that a served slot adds to the ceiling when no outcome is bad
	concurrencyHeadroom   = 3.0  // slots above the ceiling, lest a tiny one reject beside idle workers
	badRatioSpan          = 16   // outcomes over which badRatio is averaged
	overloadBadRatio      = 0.25 // badRatio from which the workers count as overloaded
)

// countedInFlight is the number of slots in flight that the ceiling applies to. Those at ejected workers
// are left out: the ceiling is that of the ready workers, and requests stuck elsewhere must not exhaust it.
func (m *Machine) countedInFlight() float64 {
	if m.inPanic() {
		return m.inFlight
	}
	return m.inFlight - m.inFlightAtEjected
}

// readyWorkers is the number of running workers, less the ejected ones unless in panic; at least one.
func (m *Machine) readyWorkers() float64 {
	if m.inPanic() {
		return float64(max(m.runningCount, 1))
	}
	return float64(max(m.runningCount-m.ejectedCount, 1))
}

// concurrencyCeiling is the number of slots that may be in flight.
func (m *Machine) concurrencyCeiling() float64 {
	return m.concurrencyPerWorker*m.readyWorkers() + concurrencyHeadroom
}

// withinConcurrency reports whether the concurrency ceiling admits one more attempt; where none is in flight
// it does.
func (m *Machine) withinConcurrency(request *request) bool {
	return m.countedInFlight() <= 0 || m.countedInFlight()+request.slots <= m.concurrencyCeiling()
}

// bucketCapacity is what the token bucket holds when full: the slot-seconds that its rate gives in a
// planning horizon.
func (m *Machine) bucketCapacity() float64 {
	return m.workRatePerWorker * m.readyWorkers() * m.planningHorizon.Seconds()
}

// refillBucket adds the tokens that have come in since the last refill.
func (m *Machine) refillBucket() {
	rate := m.workRatePerWorker * m.readyWorkers()
	refilled := m.bucketTokens + rate*(m.now-m.bucketRefilledAt).Seconds()
	m.bucketTokens = min(refilled, m.bucketCapacity())
	m.bucketRefilledAt = m.now
}

// bucketIsScarce reports whether the token bucket limits what is sent. A rate that was cut while it did not
// would price work away later.
func (m *Machine) bucketIsScarce() bool {
	return m.bucketTokens < m.bucketCapacity()/2 || m.workPrice > 0
}

// raiseCeilings raises the ceilings that bind, for a request served in time. One that grew unused would be
// stale when it is needed.
func (m *Machine) raiseCeilings(request *request) {
	m.badRatio -= m.badRatio / badRatioSpan
	step := ceilingRaiseStep * math.Pow(1-m.badRatio, 4) / m.readyWorkers()
	if m.countedInFlight()+request.slots > m.concurrencyPerWorker*m.readyWorkers()/2 || m.slotPrice > 0 {
		m.concurrencyPerWorker += step * request.slots
	}
	if m.bucketIsScarce() {
		m.workRatePerWorker += step * request.cost / m.latencyEstimate()
	}
}

// cutCeilings cuts the ceilings by half of badRatio, weighed by the part of the fleet that is open to the
// request. They are cut once in a mean latency, and an outcome of what was sent before the last cut is
// ignored: it says nothing of the ceilings since.
func (m *Machine) cutCeilings(request *request, sentAt time.Duration) {
	request.countedAsBad = true
	if sentAt < m.ceilingsCutAt {
		return
	}
	share := m.eligibleShare(request.class)
	m.badRatio += share * (1 - m.badRatio) / badRatioSpan
	if m.now-m.ceilingsCutAt <= seconds(m.latencyEstimate()) {
		return
	}
	m.ceilingsCutAt = m.now
	floor := ceilingFloorRatio * initialSlotsPerWorker / float64(m.settings.Peers)
	remaining := 1 - share*m.badRatio/2
	m.concurrencyPerWorker = max(m.concurrencyPerWorker*remaining, floor)
	if m.bucketIsScarce() {
		m.workRatePerWorker = max(m.workRatePerWorker*remaining, floor)
	}
}

// eligibleShare is the part of the running workers that may run the class.
func (m *Machine) eligibleShare(class *Class) float64 {
	return float64(m.eligible[class]) / float64(max(m.runningCount, 1))
}
