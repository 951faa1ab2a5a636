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
	concurrencyHeadroom   = 3.0  // slots above the ceiling, so that a tiny one leaves no worker idle
	badRatioSpan          = 16   // outcomes over which badRatio is averaged
	overloadBadRatio      = 0.25 // badRatio from which the workers count as overloaded
)

// ceilings is the state of the concurrency ceiling, and of the outcomes from which both ceilings are
// learned. The other ceiling is the tokenBucket.
type ceilings struct {
	inFlight             float64 // slots of all outstanding attempts
	inFlightAtEjected    float64 // those of them at ejected workers
	concurrencyPerWorker float64 // learned ceiling of slots in flight per ready worker
	badRatio             float64 // recent share of bad outcomes, 0 to 1
	cutAt                time.Duration
}

// tokenBucket bounds the work that is sent over time. Its rate is learned per ready worker.
type tokenBucket struct {
	ratePerWorker float64 // slot-seconds a second
	tokens        float64 // slot-seconds left
	refilledAt    time.Duration
}

// capacity is what the bucket holds when full: the slot-seconds that its rate gives in a span of time.
func (b *tokenBucket) capacity(readyWorkers float64, span time.Duration) float64 {
	return b.ratePerWorker * readyWorkers * span.Seconds()
}

// refill adds the tokens that have come in since the last refill.
func (b *tokenBucket) refill(now time.Duration, readyWorkers, capacity float64) {
	rate := b.ratePerWorker * readyWorkers
	refilled := b.tokens + rate*(now-b.refilledAt).Seconds()
	b.tokens = min(refilled, capacity)
	b.refilledAt = now
}

// countedInFlight is the number of slots in flight that the ceiling applies to. Those at ejected workers
// are left out: the ceiling is that of the ready workers, and requests stuck elsewhere must not exhaust it.
func (m *Machine) countedInFlight() float64 {
	if m.inPanic() {
		return m.ceilings.inFlight
	}
	return m.ceilings.inFlight - m.ceilings.inFlightAtEjected
}

// readyWorkers is the number of running workers, less the ejected ones unless in panic; at least one.
func (m *Machine) readyWorkers() float64 {
	if m.inPanic() {
		return float64(max(m.counts.running, 1))
	}
	return float64(max(m.counts.running-m.counts.ejected, 1))
}

// concurrencyCeiling is the number of slots that may be in flight.
func (m *Machine) concurrencyCeiling() float64 {
	return m.ceilings.concurrencyPerWorker*m.readyWorkers() + concurrencyHeadroom
}

// withinConcurrency reports whether the concurrency ceiling admits one more attempt. It always does while
// no attempt is in flight.
func (m *Machine) withinConcurrency(request *request) bool {
	return m.countedInFlight() <= 0 || m.countedInFlight()+request.slots <= m.concurrencyCeiling()
}

// bucketCapacity is what the token bucket holds when full: its rate over a planning horizon.
func (m *Machine) bucketCapacity() float64 {
	return m.bucket.capacity(m.readyWorkers(), m.planningHorizon)
}

// bucketIsScarce reports whether the token bucket limits what is sent. Its rate is raised and cut only then:
// a rate that was cut while it limited nothing would price work away later.
func (m *Machine) bucketIsScarce() bool {
	return m.bucket.tokens < m.bucketCapacity()/2 || m.prices.work > 0
}

// raiseCeilings raises the ceilings that bind, for a request served in time. A ceiling that rose while it did
// not bind would be too high when it is needed.
func (m *Machine) raiseCeilings(request *request) {
	c := &m.ceilings
	c.badRatio -= c.badRatio / badRatioSpan
	step := ceilingRaiseStep * math.Pow(1-c.badRatio, 4) / m.readyWorkers()
	if m.countedInFlight()+request.slots > c.concurrencyPerWorker*m.readyWorkers()/2 || m.prices.slot > 0 {
		c.concurrencyPerWorker += step * request.slots
	}
	if m.bucketIsScarce() {
		m.bucket.ratePerWorker += step * request.cost / m.latencyEstimate()
	}
}

// cutCeilings cuts the ceilings by half of badRatio, weighted by the part of the fleet that is open to the
// request. They are cut at most once in a mean latency. The outcome of an attempt that was sent before the
// last cut is ignored, since it says nothing about the ceilings after it.
func (m *Machine) cutCeilings(request *request, sentAt time.Duration) {
	c := &m.ceilings
	request.countedAsBad = true
	if sentAt < c.cutAt {
		return
	}
	share := m.counts.eligibleShare(request.class)
	c.badRatio += share * (1 - c.badRatio) / badRatioSpan
	if m.now-c.cutAt <= seconds(m.latencyEstimate()) {
		return
	}
	c.cutAt = m.now
	floor := ceilingFloorRatio * initialSlotsPerWorker / float64(m.settings.Peers)
	remaining := 1 - share*c.badRatio/2
	c.concurrencyPerWorker = max(c.concurrencyPerWorker*remaining, floor)
	if m.bucketIsScarce() {
		m.bucket.ratePerWorker = max(m.bucket.ratePerWorker*remaining, floor)
	}
}
