package decision

import (
	"slices"
	"time"
)

// retryAfterJitter is the smallest part of the mean latency that Reject names as its delay; the largest is
// one more. It keeps clients apart that were rejected together.
const retryAfterJitter = 0.5

// retryBudget bounds the retries and hedges in any span of Settings.RetryBudgetWindow, in proportion to the
// requests that arrived in it. With a window of 0 it is off.
type retryBudget struct {
	arrivals []time.Duration // of requests, in the latest window
	retries  []time.Duration // attempts beyond a request's first in the latest window
}

// countArrival counts a request, whatever becomes of it.
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
// and retries a tick late, since clocks have that resolution.
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

// dropBefore drops the times before from. The times ascend.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(times, from)
	return times[i:]
}

// withinRetryBudget reports whether the retry budget allows the next attempt at the request. The first one
// needs no budget.
func (m *Machine) withinRetryBudget(request *request) bool {
	return request.attemptsMade() == 0 || m.retryBudget.allowsRetry(m.now, &m.settings)
}

// mustNotRepeat reports whether no further attempt is allowed since an earlier one may have run: the class
// is NonIdempotent, or the workers no longer discard a repeat.
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
// budget allow. From the third attempt on they are spread over the time left, so that not all are spent in a
// burst while workers are full.
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
