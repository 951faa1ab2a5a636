package workerclient

import (
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
)

const (
	// maxWorkerIdleConnections is how many idle connections all dispatchers together keep open to one worker.
	maxWorkerIdleConnections = 96

	// idleMargin is how long before the worker's own idle timeout an idle connection is closed.
	idleMargin = time.Second

	// defaultReuseDelay is how long a connection must have been idle before a request that is unsafe to retry is sent
	// on it. A second response to the previous request may arrive some milliseconds late. If that response states that
	// nothing ran, it does not name its request, and would be taken for the response to the new one.
	defaultReuseDelay = 20 * time.Millisecond
)

// maxIdlePerWorker returns how many idle connections this dispatcher may keep to a worker.
func (c *Client) maxIdlePerWorker() int {
	return max(maxWorkerIdleConnections/max(c.dispatcher.Settings.Peers, 1), 1)
}

// idleTimes are the start and the end of a connection's latest idle period.
type idleTimes struct {
	since time.Duration
	until time.Duration // when the idle connection is closed; 0 if there is no idle timeout
}

// expired reports whether the idle timeout is over at the time now, so that the connection must not be reused.
func (t idleTimes) expired(now time.Duration) bool { return t.until > 0 && now >= t.until }

// acquire returns an idle connection to a worker or, if there is none, a new one that is still being dialed.
// retryUnsafe states that the connection is for a request that is unsafe to retry.
func (c *Client) acquire(worker *discovery.Worker, retryUnsafe bool) *connection {
	conn := c.takeIdle(worker, retryUnsafe)
	if conn == nil {
		conn = c.dial(worker)
	}
	return conn
}

// takeIdle removes the most recently used connection to a worker from the idle ones and returns it, or nil if there is
// none. For a request that is unsafe to retry, it skips connections used less than the reuse delay ago. It closes
// connections that the worker may have closed, or on which it has sent data.
func (c *Client) takeIdle(worker *discovery.Worker, retryUnsafe bool) *connection {
	idleConnections := c.idle[worker]
	for i := len(idleConnections) - 1; i >= 0; i-- {
		conn := idleConnections[i]
		now := c.loop().Now()
		if retryUnsafe && now-conn.idle.since < c.reuseDelay {
			continue
		}
		idleConnections = slices.Delete(idleConnections, i, i+1)
		c.idle[worker] = idleConnections
		if conn.conn.Idle() && !conn.idle.expired(now) {
			c.loop().Clear(&conn.timer)
			return conn
		}
		conn.close()
	}
	return nil
}

// CloseAllIdle closes all idle connections, to free their descriptors.
func (c *Client) CloseAllIdle() {
	for worker := range c.idle {
		c.CloseIdleTo(worker)
	}
}

// CloseIdleTo closes the idle connections to a worker.
func (c *Client) CloseIdleTo(worker *discovery.Worker) {
	for _, conn := range c.idle[worker] {
		conn.close()
	}
	delete(c.idle, worker)
}

// release makes the connection idle, so that another attempt can use it, or closes it if it must not be reused.
func (c *connection) release() {
	c.endExchange()
	if c.conn.Handle == 0 {
		return
	}
	if c.closeAfterResponse || c.worker.State == decision.Removed || c.client.registry.Worker(c.worker.Name) != c.worker {
		c.close()
		return
	}
	loop := c.client.loop()
	c.reused = true
	c.idle = idleTimes{since: loop.Now()}
	idleConnections := append(c.client.idle[c.worker], c)
	if len(idleConnections) > c.client.maxIdlePerWorker() {
		leastRecentlyUsed := idleConnections[0]
		leastRecentlyUsed.close()
		idleConnections = idleConnections[1:]
	}
	c.client.idle[c.worker] = idleConnections
	idleTimeout := c.client.dispatcher.Settings.ConnectionIdleTimeout
	if idleTimeout > 0 {
		c.idle.until = c.idle.since + max(idleTimeout-idleMargin, idleTimeout/2)
		loop.Set(&c.timer, c.idle.until)
	}
}

// removeIdle removes the connection from the idle ones, if it is among them.
func (c *connection) removeIdle() {
	idleConnections := c.client.idle[c.worker]
	i := slices.Index(idleConnections, c)
	if i >= 0 {
		c.client.idle[c.worker] = slices.Delete(idleConnections, i, i+1)
	}
}
