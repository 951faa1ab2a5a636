package workerclient

import (
	"errors"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const (
	defaultConnectTimeout = 250 * time.Millisecond // used if the settings state no connect timeout
	dialTimeoutMargin     = 50 * time.Millisecond  // the dial's own timeout is longer than the connect timeout by this

	// A dial that fails for a local reason is retried after minRedialBackoff, which is doubled with each retry up to
	// maxRedialBackoff.
	minRedialBackoff = 5 * time.Millisecond
	maxRedialBackoff = 40 * time.Millisecond
)

// dialProgress is the state of the dial of a connection. It is not used once the connection is open.
type dialProgress struct {
	abandoned     bool          // the attempt or health check that needed the connection has ended
	failedLocally bool          // the latest dial failed for a local reason, such as a lack of descriptors
	backoff       time.Duration // delay before the latest retry of the dial, 0 if there was none
}

// connectTimeout returns how long a connect may take.
func (c *Client) connectTimeout() time.Duration {
	if c.dispatcher.Settings.ConnectTimeout > 0 {
		return c.dispatcher.Settings.ConnectTimeout
	}
	return defaultConnectTimeout
}

// dial returns a new connection to a worker, which is not open yet. The connection fails if it is not open within the
// connect timeout.
func (c *Client) dial(worker *discovery.Worker) *connection {
	conn := newConnection(c, worker)
	c.loop().Set(&conn.timer, c.loop().Now()+c.connectTimeout())
	conn.connect()
	return conn
}

// connect starts a dial for the connection, unless what needed the connection has ended.
func (c *connection) connect() {
	if c.dial.abandoned {
		return
	}
	timeout := c.client.connectTimeout() + dialTimeoutMargin
	c.client.engine.Dial(c.worker.Address, timeout, c, c.onDialed)
}

// onDialed is called with the connection that a dial opened, or with the reason why it failed.
func (c *connection) onDialed(opened *transport.Conn, err error) {
	c.dial.failedLocally = transport.IsLocalError(err)
	if c.dial.failedLocally {
		c.redial(err)
		return
	}
	if err != nil {
		c.fail(decision.ConnectionRefused)
		return
	}
	c.client.loop().Clear(&c.timer)
	c.conn = opened
	c.state = stateIdle
	switch {
	case c.dial.abandoned || !c.hasAttempt() && !c.request.isHealthCheck():
		c.dial.abandoned = false
		c.release()
	case c.hasAttempt() && c.client.dispatcher.ClientDisconnected(c.handle): // the dispatcher has cancelled the attempt
	default:
		c.send()
	}
}

// redial retries the dial after a local failure, which does not mean that the worker is unreachable. If no descriptor
// was free, it first closes all idle connections.
func (c *connection) redial(err error) {
	if errors.Is(err, transport.ErrNoDescriptor) {
		c.client.CloseAllIdle()
	}
	c.client.dispatcher.TraceStep(c.correlationID(), "dial retried", "worker", c.worker.Name, "error", err)
	c.dial.backoff = min(max(2*c.dial.backoff, minRedialBackoff), maxRedialBackoff)
	c.client.loop().After(c.dial.backoff, c.connect)
}
