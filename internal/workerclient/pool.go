package workerclient

import (
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
)

const (
	// fleetIdleConnections is how many idle connections a worker holds for all dispatchers together.
	fleetIdleConnections = 96

	// idleMargin is how long before the worker's own idle timeout a connection is closed.
	idleMargin = time.Second

	// defaultReuseDelay is how long a connection must have been idle before a request is sent on it that must not run
	// twice. A second response to the request before may come some milliseconds late, and where it says that nothing
	// ran it does not name its request.
	defaultReuseDelay = 20 * time.Millisecond
)

// maxIdlePerWorker returns how many idle connections this dispatcher may keep to a worker.
func (c *Client) maxIdlePerWorker() int {
	return max(fleetIdleConnections/max(c.dispatcher.Settings.Peers, 1), 1)
}

// idleTimes are the times of a connection's latest idle period.
type idleTimes struct {
	since time.Duration
	until time.Duration // when the connection is closed for being idle; 0: never
}

// expired reports whether the connection may not be used any more at the time now.
func (t idleTimes) expired(now time.Duration) bool { return t.until > 0 && now >= t.until }

// acquire returns an idle connection to a worker, or else a new one, which is still being dialed.
func (c *Client) acquire(worker *discovery.Worker, retryUnsafe bool) *connection {
	conn := c.takeIdle(worker, retryUnsafe)
	if conn == nil {
		conn = c.dial(worker)
	}
	return conn
}

// takeIdle removes the connection used last from the idle ones and returns it, or nil if there is none. For a request
// that is unsafe to retry, it passes over connections used less than the reuse delay ago. Connections that the worker
// may have closed, or has sent something on, are closed.
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

// release makes the connection idle, so that the next attempt can use it, or closes it if none may.
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
