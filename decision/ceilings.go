package decision

import (
	"math"
	"time"
)

// Two ceilings limit what is sent. The concurrency ceiling limits the slots in flight; a token bucket limits
// the work sent over time. Both are learned per ready worker. Each request served in time raises a ceiling
// if more than half of it is used, or if the resource that it limits has a price above 0 (see prices). Bad
// outcomes cut the ceilings.
const (
	initialSlotsPerWorker = 8.0  // initial value of both ceilings per worker, summed over all dispatchers
	ceilingFloorRatio     = 0.25 // no ceiling is cut below this fraction of its initial value
	ceilingRaiseStep      = 0.4  // added to the ceiling per slot served in time, while badRatio is 0
	concurrencyHeadroom   = 3.0  // slots above the learned ceiling, so that a tiny one leaves no worker idle
	badRatioSamples       = 16   // outcomes over which badRatio is averaged
	overloadBadRatio      = 0.25 // badRatio from which the workers count as overloaded
)

// ceilings holds the concurrency ceiling and the statistics from which both ceilings are learned. The other
// ceiling is in tokenBucket.
type ceilings struct {
	inFlight             float64       // slots of all outstanding attempts
	inFlightAtEjected    float64       // slots of the outstanding attempts at ejected workers
	concurrencyPerWorker float64       // learned ceiling of slots in flight per ready worker
	badRatio             float64       // recent share of bad outcomes, 0 to 1
	lastCutAt            time.Duration // time of the last cut
}

// tokenBucket limits the work that is sent over time. Its rate is learned per ready worker.
type tokenBucket struct {
	ratePerWorker float64 // slot-seconds per second
	tokens        float64 // slot-seconds left
	refilledAt    time.Duration
}

// capacity is what the bucket holds when full: the slot-seconds that come in at its rate during span.
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

// countedInFlight is the number of slots in flight that count toward the concurrency ceiling. Slots at
// ejected workers do not count: the ceiling is scaled to the ready workers, and requests stuck at ejected
// ones must not exhaust it.
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

// bucketCapacity is what the token bucket holds when full: what comes in during planningHorizon.
func (m *Machine) bucketCapacity() float64 {
	return m.bucket.capacity(m.readyWorkers(), m.planningHorizon)
}

// bucketIsScarce reports whether the token bucket limits what is sent. Its rate is raised and cut only then:
// if the rate were cut while it limits nothing, prices would later reject requests needlessly.
func (m *Machine) bucketIsScarce() bool {
	return m.bucket.tokens < m.bucketCapacity()/2 || m.prices.work > 0
}

// raiseCeilings raises, for a request served in time, each ceiling that currently limits what is sent. A
// ceiling that rose while it limited nothing would be too high when it is needed.
func (m *Machine) raiseCeilings(request *request) {
	c := &m.ceilings
	c.badRatio -= c.badRatio / badRatioSamples
	step := ceilingRaiseStep * math.Pow(1-c.badRatio, 4) / m.readyWorkers()
	if m.countedInFlight()+request.slots > c.concurrencyPerWorker*m.readyWorkers()/2 || m.prices.slot > 0 {
		c.concurrencyPerWorker += step * request.slots
	}
	if m.bucketIsScarce() {
		m.bucket.ratePerWorker += step * request.cost / m.latencyEstimate()
	}
}

// cutCeilings cuts the ceilings by half of badRatio, weighted by the share of the fleet that may run the
// request. They are cut at most once per mean latency. The outcome of an attempt that was assigned before the
// last cut is ignored, since it says nothing about the ceilings after that cut.
func (m *Machine) cutCeilings(request *request, assignedAt time.Duration) {
	c := &m.ceilings
	request.countedAsBad = true
	if assignedAt < c.lastCutAt {
		return
	}
	eligibleShare := m.counts.eligibleShare(request.class)
	c.badRatio += eligibleShare * (1 - c.badRatio) / badRatioSamples
	if m.now-c.lastCutAt <= seconds(m.latencyEstimate()) {
		return
	}
	c.lastCutAt = m.now
	floor := ceilingFloorRatio * initialSlotsPerWorker / float64(m.settings.Peers)
	remaining := 1 - eligibleShare*c.badRatio/2
	c.concurrencyPerWorker = max(c.concurrencyPerWorker*remaining, floor)
	if m.bucketIsScarce() {
		m.bucket.ratePerWorker = max(m.bucket.ratePerWorker*remaining, floor)
	}
}
