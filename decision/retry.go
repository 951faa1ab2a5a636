package decision

import (
	"slices"
	"time"
)

// retryAfterJitter is the smallest delay of a Reject, as a multiple of the mean latency; the largest is one
// mean latency more. The random delay in between keeps clients that were rejected together from returning
// together.
const retryAfterJitter = 0.5

// retryBudget limits the retries and hedges in any span of Settings.RetryBudgetWindow, in proportion to the
// requests that arrived in it. With a window of 0 there is no limit.
type retryBudget struct {
	arrivals []time.Duration // times of the requests in the latest window
	retries  []time.Duration // times of the attempts beyond a request's first in the latest window
}

// countArrival counts a request, whether or not it is admitted.
func (b *retryBudget) countArrival(now time.Duration, settings *Settings) {
	if settings.RetryBudgetWindow > 0 {
		b.arrivals = append(dropBefore(b.arrivals, now-settings.RetryBudgetWindow), now)
	}
}

// countRetry counts an attempt beyond a request's first.
func (b *retryBudget) countRetry(now time.Duration, settings *Settings) {
	if settings.RetryBudgetWindow > 0 {
		b.retries = append(b.retries, now)
	}
}

// allowsRetry reports whether one more retry is within the budget. Arrivals leave the window a tick early
// and retries a tick late, since a tick is the resolution of the clock.
func (b *retryBudget) allowsRetry(now time.Duration, settings *Settings) bool {
	if settings.RetryBudgetWindow <= 0 {
		return true
	}
	windowStart := now - settings.RetryBudgetWindow
	b.arrivals = dropBefore(b.arrivals, windowStart+settings.Tick)
	b.retries = dropBefore(b.retries, windowStart-settings.Tick)
	budget := settings.RetryBudgetFloor + settings.RetryBudgetRatio*float64(len(b.arrivals))
	return float64(len(b.retries)+1) <= budget
}

// dropBefore drops the times before from. The times must be in ascending order.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(times, from)
	return times[i:]
}

// withinRetryBudget reports whether the retry budget allows the next attempt at the request. A first attempt
// needs no budget.
func (m *Machine) withinRetryBudget(request *request) bool {
	return request.attemptsMade() == 0 || m.retryBudget.allowsRetry(m.now, &m.settings)
}

// mustNotRepeat reports whether a further attempt is forbidden because an earlier one may have run and
// either the class is NonIdempotent or the dedup window is over, so that workers would no longer discard a
// repeat.
func (m *Machine) mustNotRepeat(request *request) bool {
	if request.class.Idempotency == Idempotent {
		return false
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.neverRan {
			continue
		}
		windowOver := m.now-attempt.assignedAt >= request.class.DedupWindow-m.settings.Tick
		if request.class.Idempotency == NonIdempotent || windowOver {
			return true
		}
	}
	return false
}

// retry queues a request whose attempts have failed for another one, if its class and the retry budget allow
// it; otherwise it gives the final response. From the third attempt on, attempts are spread over the time
// left, so that they are not all used up in a burst while workers are full.
func (m *Machine) retry(request *request) {
	made := request.attemptsMade()
	left := m.settings.MaxAttempts - made
	if left <= 0 || m.now >= request.deadline || m.hasNoValue(request) ||
		m.mustNotRepeat(request) || !m.withinRetryBudget(request) {
		m.rejectOrFail(request)
		return
	}
	if made > 1 {
		slack := max(request.objective-m.now-seconds(request.work), m.sweepInterval)
		request.notBefore = m.now + slack/time.Duration(left)
	}
	m.queue.add(request)
}

// rejectOrFail gives a request its final response: Reject if a repeat by the client is safe, else Fail. A
// rejected client is told to wait for about a mean latency, within which, by Little's law, a slot becomes
// free.
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

// clientMayRepeat reports whether the client can send the request again without the risk that an effect
// happens twice.
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
