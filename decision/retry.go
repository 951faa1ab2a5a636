package decision

import (
	"slices"
	"time"
)

// retryAfterJitter is the smallest factor of the mean latency that a rejected client is told to wait; the largest is one
// more. It keeps clients apart that were rejected together.
const retryAfterJitter = 0.5

// countArrival counts a request for the retry budget, whatever becomes of it.
func (m *Machine) countArrival() {
	if m.settings.RetryBudgetWindow > 0 {
		m.arrivals = append(dropBefore(m.arrivals, m.now-m.settings.RetryBudgetWindow), m.now)
	}
}

// withinRetryBudget tells whether the retry budget has room for another attempt at the request; a first attempt needs
// none. Arrivals leave the window a tick early and retries a tick late, to be safe of clocks' resolution.
func (m *Machine) withinRetryBudget(r *request) bool {
	if len(r.attempts) == 0 || m.settings.RetryBudgetWindow <= 0 {
		return true
	}
	windowStart := m.now - m.settings.RetryBudgetWindow
	m.arrivals = dropBefore(m.arrivals, windowStart+m.settings.Tick)
	m.retries = dropBefore(m.retries, windowStart-m.settings.Tick)
	budget := m.settings.RetryBudgetFloor + m.settings.RetryBudgetRatio*float64(len(m.arrivals))
	return float64(len(m.retries)+1) <= budget
}

// dropBefore drops the times before from. The times ascend.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(times, from)
	return times[i:]
}

// mustNotRepeat tells whether no attempt may follow one that may have run: by the class, or since the time is over for
// which workers discard a repeat.
func (m *Machine) mustNotRepeat(r *request) bool {
	if r.class.Idempotency == Idempotent {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.neverRan {
			continue
		}
		if r.class.Idempotency == NonIdempotent || m.now-a.sentAt >= r.class.DedupWindow-m.settings.Tick {
			return true
		}
	}
	return false
}

// retry lets a request whose attempts have failed wait for another, as far as its class and the retry budget allow. From
// the third attempt on they are spread over the time left, lest all be spent in a burst while workers are full.
func (m *Machine) retry(r *request) {
	left := m.settings.MaxAttempts - len(r.attempts)
	if left <= 0 || m.now >= r.deadline || m.worthless(r) || m.mustNotRepeat(r) || !m.withinRetryBudget(r) {
		m.rejectOrFail(r)
		return
	}
	if len(r.attempts) > 1 {
		slack := max(r.objective-m.now-seconds(r.work), m.sweepInterval)
		r.notBefore = m.now + slack/time.Duration(left)
	}
	m.enqueue(r)
}

// rejectOrFail gives a request its final answer: Reject where a repeat by the client is safe, else Fail. A rejected
// client is told to wait for about a mean latency, in which by Little's law a slot comes free.
func (m *Machine) rejectOrFail(r *request) {
	if m.clientMayRepeat(r) {
		wait := seconds(m.latencyEstimate() * (retryAfterJitter + m.random.Float64()))
		delay := min(wait, max(m.settings.MaxRetryAfter, 0))
		m.emit(Action{Kind: Reject, Request: r.id, Delay: delay})
	} else {
		m.emit(Action{Kind: Fail, Request: r.id})
	}
	m.finish(r)
}

// clientMayRepeat tells whether the client can send the request again without an effect that happens twice.
func (m *Machine) clientMayRepeat(r *request) bool {
	switch {
	case r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == Deduplicated && r.class.DedupScope == DedupEverywhere:
		return true
	default:
		return !r.mayHaveRun()
	}
}
