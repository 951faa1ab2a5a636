package discovery

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/freshness"
)

// By the protocol, a dispatcher counts as notified of a change once discovery has had the change and been reachable for
// freshness.NotificationBound, even if the calls in that time failed. Discovery may have become reachable just after the
// last contact or failed call. The next call therefore begins early enough for its response to arrive within the bound
// counted from that moment, even if the dispatcher would wait longer.
const (
	// Discovery handles calls in turn, and a call is answered or fails after 2 s; the rest is for transit.
	responseTimeout   = 2200 * time.Millisecond
	maxReconnectDelay = freshness.NotificationBound - responseTimeout
	minBackoff        = 100 * time.Millisecond // after a failed call, even if the settings allow less
)

// Where lists are pushed, they are pushed to an agent on this machine, which the dispatcher calls. The agent answers at
// once and at no cost. A change that the agent has counts as notified even if no watch is open, so an unanswered call and
// the backoff after it must both fit into the drain grace.
const (
	agentCallFraction    = 4 // divides the drain grace into the time that a call may take
	agentBackoffFraction = 8 // divides the drain grace into the time from a failed call to the next
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

// scheduleCall schedules the next call for a clock time, or starts it at once if that time has passed. A call that is
// already scheduled for an earlier time stays.
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

// scheduleReconnect schedules the next call within maxReconnectDelay of the last contact with discovery; a call of
// Subscribe may start it earlier. The time has jitter, since an outage ends the watches of all dispatchers at once.
func (w *watch) scheduleReconnect(lastContact time.Duration) {
	if w.calling || w.address == "" {
		return
	}
	now := w.registry.dispatcher.Loop.Now()
	remaining := max(lastContact+maxReconnectDelay-now, minBackoff)
	jitter := time.Duration(w.random.Int64N(int64(remaining / 2)))
	w.scheduleCall(now + remaining/2 + jitter)
}

// reportFailure notifies the dispatcher that a call failed, unless the dispatcher has not called Subscribe since an
// earlier report. Each report makes the dispatcher set a timer that cannot be cancelled and leads to a call, so further
// reports would multiply the calls.
func (w *watch) reportFailure() {
	if w.failureReported {
		return
	}
	w.failureReported = true
	w.registry.dispatcher.UpdateWorkers(w.registry.client, decision.ListFailed, nil)
}
