package decision

import (
	"slices"
	"time"
)

// retryAfterJitter is the smallest part of the mean latency that Reject names as its delay; the largest is
// one more. It keeps clients apart that were rejected together.
const retryAfterJitter = 0.5

// countArrival counts a request for the retry budget, whatever becomes of it.
func (m *Machine) countArrival() {
	if m.settings.RetryBudgetWindow > 0 {
		m.arrivals = append(dropBefore(m.arrivals, m.now-m.settings.RetryBudgetWindow), m.now)
	}
}

// withinRetryBudget reports whether the retry budget allows another attempt at the request; a first
// attempt needs none. Arrivals leave the window a tick early and retries a tick late, to be safe of clocks'
// resolution.
func (m *Machine) withinRetryBudget(request *request) bool {
	if len(request.attempts) == 0 || m.settings.RetryBudgetWindow <= 0 {
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

// mustNotRepeat reports whether no attempt may follow one that may have run: by the class, or since the time
// is over for which workers discard a repeat.
func (m *Machine) mustNotRepeat(request *request) bool {
	if request.class.Idempotency == Idempotent {
		return false
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.neverRan {
			continue
		}
		forgotten := m.now-attempt.sentAt >= request.class.DedupWindow-m.settings.Tick
		if request.class.Idempotency == NonIdempotent || forgotten {
			return true
		}
	}
	return false
}

// retry lets a request whose attempts have failed wait for another, as far as its class and the retry
// budget allow. From the third attempt on they are spread over the time left, lest all be spent in a burst
// while workers are full.
func (m *Machine) retry(request *request) {
	left := m.settings.MaxAttempts - len(request.attempts)
	if left <= 0 || m.now >= request.deadline || m.hasNoValue(request) ||
		m.mustNotRepeat(request) || !m.withinRetryBudget(request) {
		m.rejectOrFail(request)
		return
	}
	if len(request.attempts) > 1 {
		slack := max(request.objective-m.now-seconds(request.work), m.sweepInterval)
		request.notBefore = m.now + slack/time.Duration(left)
	}
	m.enqueue(request)
}

// rejectOrFail gives a request its final answer: Reject where a repeat by the client is safe, else Fail. A
// rejected client waits for about a mean latency, in which by Little's law a slot comes free.
func (m *Machine) rejectOrFail(request *request) {
	if m.clientMayRepeat(request) {
		wait := seconds(m.latencyEstimate() * (retryAfterJitter + m.random.Float64()))
		delay := min(wait, max(m.settings.MaxRetryAfter, 0))
		m.emit(Action{Kind: Reject, Request: request.id, Delay: delay})
	} else {
		m.emit(Action{Kind: Fail, Request: request.id})
	}
	m.finish(request)
}

// clientMayRepeat reports whether the client can send the request again without an effect that happens twice.
func (m *Machine) clientMayRepeat(request *request) bool {
	switch {
	case request.class.Idempotency == Idempotent:
		return true
	case request.class.Idempotency == Deduplicated && request.class.DedupScope == DedupEverywhere:
		return true
	default:
		return !request.mayHaveRun()
	}
}
