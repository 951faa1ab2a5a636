package workerclient

import (
	"cmp"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
)

// drainSendMargin is how long before the end of the drain grace the last request may be sent, so that it arrives within
// the grace.
const drainSendMargin = 100 * time.Millisecond

// sendGrace returns how long after a worker began to drain or was removed requests may still be sent to it.
func sendGrace(drainGrace time.Duration) time.Duration { return max(drainGrace-drainSendMargin, 0) }

// graceOver reports whether a worker has been draining or removed for so long that no more requests may be sent to it.
func graceOver(worker *discovery.Worker, now, drainGrace time.Duration) bool {
	return worker.State != decision.Running && now-worker.StateSince > sendGrace(drainGrace)
}

// WorkerLeaving is called when a worker begins to drain or is removed. Once the grace is over, it abandons requests
// that have not reached the worker, because they could otherwise arrive later, when a network partition heals. A
// request has reached a draining worker if the worker's kernel has acknowledged all bytes, and a removed worker only if
// it responds.
func (c *Client) WorkerLeaving(worker *discovery.Worker) {
	const margin = time.Millisecond // since graceOver is false until more than the grace has passed
	drainGrace := c.dispatcher.Settings.DrainGrace
	c.loop().After(sendGrace(drainGrace)+margin, func() {
		if !graceOver(worker, c.loop().Now(), drainGrace) { // the worker runs again, or has begun to leave again since
			return
		}
		for _, conn := range c.connectionsTo(worker) {
			if conn.state == stateAwaitingHead && (worker.State == decision.Removed || conn.conn.Unacknowledged() > 0) {
				conn.abandonRequest()
			}
		}
	})
}

// connectionsTo returns the open connections that carry attempts to a worker, in the order of the attempts' handles.
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

// abandonRequest ends an attempt whose request may not have arrived completely. The attempt may have run if the whole
// request was handed to the kernel, or if the worker has begun to respond.
func (c *connection) abandonRequest() {
	c.reportSent()
	c.close() // before requestFlushed: until the close, another goroutine may still send buffered bytes
	outcome := decision.NotSent
	mayHaveRun := c.requestFlushed() || c.state == stateReadingBody
	if mayHaveRun && c.request.kind != confirmation {
		outcome = decision.ConnectionLost
	}
	c.complete(attemptResult{outcome: outcome})
}
