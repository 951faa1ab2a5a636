package discovery

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/freshness"
)

// The protocol counts a change as notified freshness.NotificationBound after discovery had it and could be reached,
// whatever became of the calls meanwhile. Discovery may become reachable just after the last contact or failed call.
// The next call therefore begins early enough for its answer to arrive within the bound, counted from that moment,
// however long the dispatcher would wait.
const (
	answerTimeout     = 2200 * time.Millisecond // calls are answered, or fail, after 2 s in turn; the rest is for transit
	maxReconnectDelay = freshness.NotificationBound - answerTimeout
	minBackoff        = 100 * time.Millisecond // after a failed call, where the settings allow less
)

// Where lists are pushed, an agent on this machine has them. It answers at once and at no cost, and what it has counts
// as notified, whether a watch is open or not: a call that is not answered and the backoff after it must both fit into
// the drain grace.
const (
	agentCallFraction    = 4 // part of the drain grace that a call may take
	agentBackoffFraction = 8 // part of it from a failed call to the next
	minAgentWait         = 10 * time.Millisecond
)

// usesAgent reports whether lists come from an agent, which is called without waiting for Subscribe.
func (w *watch) usesAgent() bool { return !w.registry.dispatcher.Settings.ListBySubscription }

// timeouts returns how long a call may take to connect, and how long from its start to the first line.
func (w *watch) timeouts() (connect, call time.Duration) {
	if !w.usesAgent() {
		return watchConnectTimeout, watchCallTimeout
	}
	timeout := max(w.registry.dispatcher.Settings.DrainGrace/agentCallFraction, 2*minAgentWait)
	return timeout, timeout
}

// agentBackoff returns the time from a failed call to an agent to the next one.
func (w *watch) agentBackoff() time.Duration {
	return max(w.registry.dispatcher.Settings.DrainGrace/agentBackoffFraction, minAgentWait)
}

// scheduleCall starts the next call at a loop time, at once if that has come. A call scheduled for earlier stays.
func (w *watch) scheduleCall(at time.Duration) {
	loop := w.registry.dispatcher.Loop
	if at <= loop.Now() {
		w.open()
		return
	}
	if w.nextCallAt == 0 || at < w.nextCallAt {
		w.nextCallAt = at
		loop.Set(&w.nextCall, at)
	}
}

// scheduleReconnect starts the next call within maxReconnectDelay of the last contact with discovery, unless Subscribe
// comes first. The time has jitter, since an outage ends the watches of all dispatchers at once.
func (w *watch) scheduleReconnect(lastContact time.Duration) {
	if w.calling || w.address == "" {
		return
	}
	now := w.registry.dispatcher.Loop.Now()
	remaining := max(lastContact+maxReconnectDelay-now, minBackoff)
	jitter := time.Duration(w.random.Int64N(int64(remaining / 2)))
	w.scheduleCall(now + remaining/2 + jitter)
}

// reportFailure notifies the dispatcher that a call failed, unless it has yet to call Subscribe after an earlier
// report. Each report makes it set a timer, which cannot be cancelled: with several, calls would multiply.
func (w *watch) reportFailure() {
	if w.failureReported {
		return
	}
	w.failureReported = true
	w.registry.dispatcher.UpdateWorkers(w.registry.client, decision.ListFailed, nil)
}
