package workerclient

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// phase is where a connection stands between the request on it and the end of its response.
type phase uint8

const (
	idle          phase = iota // no request has been sent: the connection is idle or still being dialed
	awaitingHead               // a request has been sent, entirely or but for its last byte
	streamingBody              // the head of the response has come
)

// connection is a connection to a worker. It carries one request at a time: that of an attempt, or a health check.
type connection struct {
	client *Client
	worker *discovery.Worker
	conn   *transport.Conn // nil while dialing
	phase  phase
	timer  eventloop.Deadline // of the connect, the health check, the held last byte, the idle time or the response's end

	handle      uint64           // of the attempt whose outcome is to be reported; 0: none
	attempt     dispatch.Attempt // the latest
	healthCheck bool             // the request is a health check
	confirming  bool             // the health check precedes the attempt's request, which is sent once it has succeeded

	// dialing
	unwanted            bool          // what it was dialed for has ended
	dialFailedLocally   bool          // the latest dial failed for a reason of this machine
	redialBackoff       time.Duration // before the latest retry of the dial
	newConnectionFailed bool          // a new connection has broken under the attempt before

	// idle
	reused    bool          // it has been idle, so the worker may have closed it unnoticed
	idleSince time.Duration // when it became idle
	idleUntil time.Duration // when it is closed for being idle; 0: never

	// request
	healthCheckSentAt time.Duration
	requestEnd        int64 // write offset behind the last byte of the request
	lastByte          byte
	lastByteHeld      bool          // the last byte has not been sent yet
	lastByteDue       time.Duration // when it is to be sent; the time left that the request states counts from here

	// response
	input            *transport.Buffer // bytes that have not been dropped yet
	headScanned      int               // bytes of input that hold no end of a head
	consumed         int               // bytes of input that have been parsed
	line             *transport.Buffer // the part of a body's line that has come
	status           int
	chunked          bool
	chunks           httpwire.ChunkReader
	bodyLeft         int // bytes of a body of known length; -1: it ends with the connection
	responseComplete bool
	closeAfter       bool           // the connection cannot be used again after this response
	result           *attemptResult // not reported until the received bytes have been parsed
}

// attemptResult is how an attempt ended, as the worker stated it.
type attemptResult struct {
	outcome decision.AttemptOutcome
	load    decision.LoadReport
	body    []byte
}

// assign gives an attempt to the connection.
func (c *connection) assign(attempt dispatch.Attempt) {
	c.handle = attempt.Handle
	c.attempt = attempt
	c.newConnectionFailed = false
	c.client.connections[c.handle] = c
}

// unassign takes its attempt from the connection.
func (c *connection) unassign() {
	delete(c.client.connections, c.handle)
	c.handle = 0
}

// moveAttempt moves the attempt to another connection to the same worker. newConnectionFailed reports whether it has
// now lost a new connection.
func (c *connection) moveAttempt(newConnectionFailed bool) {
	c.handle = 0
	other := c.client.acquire(c.worker, c.attempt.RetryUnsafe)
	other.assign(c.attempt)
	other.newConnectionFailed = newConnectionFailed
	if other.conn != nil && !c.client.dispatcher.ClientGone(other.handle) {
		other.send()
	}
}

// correlationID returns the ID of the attempt's request for the trace; a health check has none.
func (c *connection) correlationID() string {
	if c.attempt.Request == nil || c.healthCheck {
		return ""
	}
	return c.attempt.Request.ID
}

// onTimer is called when the time for what the connection waits for is over.
func (c *connection) onTimer() {
	switch {
	case c.conn == nil && c.dialFailedLocally: // nothing ran, and the worker is not to blame
		c.fail(decision.NotSent)
	case c.conn == nil:
		c.fail(decision.ConnectionRefused)
	case c.lastByteHeld:
		c.sendLastByte()
	case c.healthCheck:
		c.fail(decision.TimedOut)
		c.close()
	case c.handle != 0 && c.phase == awaitingHead: // the time by which a retry must have been sent
		c.reportSent()
		if !c.requestFlushed() {
			c.abandonRequest()
		}
	default:
		c.removeIdle()
		c.close()
	}
}

// fail reports the outcome of the health check and the attempt, where one is still to be reported.
func (c *connection) fail(outcome decision.AttemptOutcome) {
	c.unwanted = true
	if c.confirming {
		c.confirmationFailed()
		return
	}
	if outcome == decision.ConnectionRefused && c.handle != 0 {
		c.client.registry.ConnectFailed(c.worker)
	}
	if c.healthCheck {
		c.healthCheck = false
		c.client.dispatcher.HealthChecked(c.worker.Name, outcome, decision.LoadReport{})
	}
	c.complete(attemptResult{outcome: outcome})
}

// complete reports the result of the attempt, if there is one that has not ended yet.
func (c *connection) complete(result attemptResult) {
	handle := c.handle
	if handle == 0 {
		return
	}
	c.unassign()
	c.client.dispatcher.AttemptEnded(handle, result.outcome, result.load, result.body)
}

// retryUnsent is called when the connection broke before the last byte of the request had left, so that nothing ran.
// The attempt continues on another connection if this one was reused, since the worker may have closed it long ago, and
// likewise once if it was new. Otherwise the worker counts as unreachable.
func (c *connection) retryUnsent() {
	if !c.reused && c.newConnectionFailed || c.handle == 0 {
		c.fail(decision.ConnectionRefused)
		return
	}
	c.confirming = false
	c.healthCheck = false
	c.moveAttempt(c.newConnectionFailed || !c.reused)
}

// OnClosed is called when the worker has closed the connection, or it broke. It implements transport.Handler.
func (c *connection) OnClosed(closed *transport.Conn, _ error) {
	loop := c.client.loop()
	loop.Clear(&c.timer)
	c.removeIdle()
	if c.phase != streamingBody && c.worker.State == decision.Running {
		c.client.holdLastByteUntil = loop.Now() + holdLastBytePeriod
	}
	c.reportSent()
	bodyEnded := c.phase == streamingBody && !c.chunked && c.bodyLeft < 0
	if bodyEnded && c.finishResponse() == nil {
		c.reportResult()
	}
	c.freeBuffers()
	if c.phase == awaitingHead && !closed.Flushed(c.requestEnd) {
		c.retryUnsent()
		return
	}
	c.fail(decision.ConnectionLost)
}

// close closes the connection. If the worker has not begun to respond, it does so by a reset, so that no part of the
// request arrives later.
func (c *connection) close() {
	c.client.loop().Clear(&c.timer)
	c.freeBuffers()
	if c.conn == nil {
		return
	}
	if c.client.dispatcher.Trace != nil {
		c.client.dispatcher.TraceStep(c.correlationID(), "connection closed", "worker", c.worker.Name, "phase", c.phase)
	}
	if c.phase == awaitingHead {
		c.conn.Abort()
		return
	}
	c.conn.Close()
}

// freeBuffers returns the buffers of the response to their pool.
func (c *connection) freeBuffers() {
	c.client.engine.Pool.Put(c.input)
	c.client.engine.Pool.Put(c.line)
	c.input = nil
	c.line = nil
	c.consumed = 0
	c.headScanned = 0
}
