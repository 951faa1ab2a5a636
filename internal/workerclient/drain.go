package workerclient

import (
	"cmp"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
)

// drainSlack is how long before the end of a drain's grace the last request is sent, so that it arrives within it.
const drainSlack = 100 * time.Millisecond

// sendGrace returns how long requests may still be sent to a worker that is draining or was removed.
func sendGrace(drainGrace time.Duration) time.Duration { return max(drainGrace-drainSlack, 0) }

// graceOver reports whether a worker has been draining or removed for so long that no request may be sent to it.
func graceOver(worker *discovery.Worker, now, drainGrace time.Duration) bool {
	return worker.State != decision.Running && now-worker.StateSince > sendGrace(drainGrace)
}

// WorkerLeaving is called when a worker begins to drain or is removed. Once the grace is over, requests that have not
// reached the worker are abandoned: they would else arrive when a network partition heals. Of a removed worker, only a
// response shows that a request has arrived.
func (c *Client) WorkerLeaving(worker *discovery.Worker) {
	const margin = time.Millisecond // graceOver asks for more than the grace itself
	drainGrace := c.dispatcher.Settings.DrainGrace
	c.loop().After(sendGrace(drainGrace)+margin, func() {
		if !graceOver(worker, c.loop().Now(), drainGrace) { // it is running again, or left again later
			return
		}
		for _, conn := range c.connectionsTo(worker) {
			if conn.state == stateAwaitingHead && (worker.State == decision.Removed || conn.conn.Unacknowledged() > 0) {
				conn.abandonRequest()
			}
		}
	})
}

// connectionsTo returns the open connections that carry attempts to a worker, in the order of the attempts.
func (c *Client) connectionsTo(worker *discovery.Worker) []*connection {
	var found []*connection
	for _, conn := range c.connections {
		if conn.worker == worker && conn.state != stateDialing {
			found = append(found, conn)
		}
	}
	slices.SortFunc(found, func(a, b *connection) int { return cmp.Compare(a.handle, b.handle) })
	return found
}

// abandonRequest ends an attempt whose request may not have arrived entirely. It may have run if all of the request
// was handed to the kernel, or if its worker has begun to respond.
func (c *connection) abandonRequest() {
	c.reportSent()
	c.close() // before asking what was flushed: until then, buffered bytes may still leave on another goroutine
	outcome := decision.NotSent
	mayHaveRun := c.requestFlushed() || c.state == stateReadingBody
	if mayHaveRun && c.request.kind != confirmation {
		outcome = decision.ConnectionLost
	}
	c.complete(attemptResult{outcome: outcome})
}
