package workerclient

import (
	"errors"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const (
	defaultConnectTimeout = 250 * time.Millisecond // where the settings give none
	dialTimeoutMargin     = 50 * time.Millisecond  // by which the system's timeout is longer than the client's own

	// A dial that fails for a reason of this machine is retried after minRedialBackoff, doubled each time up to
	// maxRedialBackoff.
	minRedialBackoff = 5 * time.Millisecond
	maxRedialBackoff = 40 * time.Millisecond
)

// dialProgress is what has become of the dial of a connection. It is of use until the connection is open.
type dialProgress struct {
	unwanted      bool          // what it was dialed for has ended
	failedLocally bool          // the latest dial failed for a reason of this machine
	backoff       time.Duration // before the latest retry of the dial
}

// connectTimeout returns how long a connect may take.
func (c *Client) connectTimeout() time.Duration {
	if c.dispatcher.Settings.ConnectTimeout > 0 {
		return c.dispatcher.Settings.ConnectTimeout
	}
	return defaultConnectTimeout
}

// dial returns a new connection to a worker, which is not open yet. It fails if it is not open within the connect
// timeout.
func (c *Client) dial(worker *discovery.Worker) *connection {
	conn := newConnection(c, worker)
	c.loop().Set(&conn.timer, c.loop().Now()+c.connectTimeout())
	conn.connect()
	return conn
}

// connect dials for the connection, unless nobody wants it any more.
func (c *connection) connect() {
	if c.dial.unwanted {
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
	case c.dial.unwanted || !c.hasAttempt() && !c.request.isHealthCheck():
		c.dial.unwanted = false
		c.release()
	case c.hasAttempt() && c.client.dispatcher.ClientGone(c.handle): // the dispatcher has cancelled the attempt
	default:
		c.send()
	}
}

// redial dials again after a failure of this machine, which says nothing of the worker. If no descriptor was free, it
// closes the idle connections first.
func (c *connection) redial(err error) {
	if errors.Is(err, transport.ErrNoDescriptor) {
		c.client.CloseAllIdle()
	}
	c.client.dispatcher.TraceStep(c.correlationID(), "dial retried", "worker", c.worker.Name, "error", err)
	c.dial.backoff = min(max(2*c.dial.backoff, minRedialBackoff), maxRedialBackoff)
	c.client.loop().After(c.dial.backoff, c.connect)
}
