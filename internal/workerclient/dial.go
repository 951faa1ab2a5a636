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
	conn := &connection{client: c, worker: worker}
	conn.timer.Fire = conn.onTimer
	c.loop().Set(&conn.timer, c.loop().Now()+c.connectTimeout())
	conn.connect()
	return conn
}

// connect dials for the connection, unless nobody wants it any more.
func (c *connection) connect() {
	if c.unwanted {
		return
	}
	timeout := c.client.connectTimeout() + dialTimeoutMargin
	c.client.engine.Dial(c.worker.Address, timeout, c, c.onDialed)
}

// onDialed is called with the connection that a dial opened, or with the reason why it failed.
func (c *connection) onDialed(opened *transport.Conn, err error) {
	c.dialFailedLocally = transport.IsLocalError(err)
	if c.dialFailedLocally {
		c.redial(err)
		return
	}
	if err != nil {
		c.fail(decision.ConnectionRefused)
		return
	}
	c.client.loop().Clear(&c.timer)
	c.conn = opened
	switch {
	case c.unwanted || c.handle == 0 && !c.healthCheck:
		c.unwanted = false
		c.release()
	case c.handle != 0 && c.client.dispatcher.ClientGone(c.handle): // the dispatcher has cancelled the attempt
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
	c.redialBackoff = min(max(2*c.redialBackoff, minRedialBackoff), maxRedialBackoff)
	c.client.loop().After(c.redialBackoff, c.connect)
}
