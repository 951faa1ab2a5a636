package workerclient

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/invariant"
)

// permitSend reports whether the request of the connection's attempt, or its last byte, may be sent now. If not, it
// ends the attempt, which has never run. The conditions for sending are checked again here because they may have
// changed since the attempt was started, for example while the connection was being opened.
func (c *connection) permitSend(now time.Duration) bool {
	dispatcher := c.client.dispatcher
	c.attempt.RetryBy = dispatcher.RetryBy(c.handle)
	rule, permitted := dispatcher.Guard.MaySend(invariant.Send{
		Now:          now,
		Deadline:     c.attempt.Deadline,
		RetryBy:      c.attempt.RetryBy,
		Leaving:      c.worker.State != decision.Running,
		LeavingSince: c.worker.StateSince,
		Grace:        sendGrace(dispatcher.Settings.DrainGrace),
		ListStale:    c.client.registry.Admit(c.worker, now) == discovery.Suspended,
	})
	if permitted {
		return true
	}
	dispatcher.TraceStep(c.correlationID(), "request not sent", "worker", c.worker.Name, "rule", rule)
	outcome := decision.NotSent
	if rule == invariant.Drain || rule == invariant.Deadline {
		outcome = decision.ConnectionRefused
	}
	c.complete(attemptResult{outcome: outcome})
	return false
}
