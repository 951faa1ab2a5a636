package workerclient

import (
	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// connectionState is the state of a connection to a worker. Its name appears in traces and in the evidence of claims.
type connectionState uint8

const (
	stateIdle         connectionState = iota // open, without a request
	stateAwaitingHead                        // a request has been sent, possibly without its last byte
	stateReadingBody                         // the head of the response has been parsed
	stateDialing                             // not open yet; if the dial fails, the connection stays in this state
)

// String returns the name of the state.
func (s connectionState) String() string {
	return [...]string{"idle", "awaiting head", "reading body", "dialing"}[s]
}

// connection is a connection to a worker. It carries one request at a time, which is that of an attempt or a health
// check.
//
//	state         next state, set by                                           what the timer is set for
//	dialing       idle, by onDialed                                            the connect timeout
//	idle          awaiting head, by write                                      the idle timeout
//	awaiting head reading body, by handleHead                                  for a health check its timeout, else the time
//	                                                                           to send the held last byte, then the time by
//	                                                                           which a retry must have been sent
//	reading body  idle, by release, or by endExchange after a confirmation     as in awaiting head, since a worker may respond
//	                                                                           before the whole request has been sent; after
//	                                                                           the result was reported, the time by which
//	                                                                           the response must end
//
// close and OnClosed end the connection in every state except dialing, and do not change the state.
type connection struct {
	client *Client
	worker *discovery.Worker
	conn   *transport.Conn // nil while dialing
	state  connectionState
	timer  eventloop.Deadline

	handle              uint64           // of the attempt whose outcome is still to be reported; 0 if there is none
	attempt             dispatch.Attempt // the latest attempt
	newConnectionFailed bool             // the attempt was resent here, and one of its earlier connections was new and failed

	dial     dialProgress
	idle     idleTimes
	reused   bool // the connection has been idle, so the worker may have closed it without this being detected yet
	request  outgoingRequest
	response response

	closeAfterResponse bool // the connection cannot be reused after the current response
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	outcome decision.AttemptOutcome
	load    decision.LoadReport
	body    []byte
}

// newConnection returns a connection that has yet to be dialed.
func newConnection(client *Client, worker *discovery.Worker) *connection {
	conn := &connection{client: client, worker: worker, state: stateDialing}
	conn.timer.Fire = conn.onTimer
	conn.response.parser.pool = &client.engine.Pool
	conn.response.line.pool = &client.engine.Pool
	return conn
}

// hasAttempt reports whether the connection carries an attempt whose outcome is to be reported.
func (c *connection) hasAttempt() bool { return c.handle != 0 }

// assign makes the connection carry an attempt.
func (c *connection) assign(attempt dispatch.Attempt) {
	c.handle = attempt.Handle
	c.attempt = attempt
	c.newConnectionFailed = false
	c.client.connections[c.handle] = c
}

// unassign removes the attempt from the connection.
func (c *connection) unassign() {
	delete(c.client.connections, c.handle)
	c.handle = 0
}

// resendAttempt resends the attempt, which has not run, on another connection to the same worker, unless it has ended.
// newConnectionFailed states whether any of the connections that failed with the attempt was new rather than reused.
func (c *connection) resendAttempt(newConnectionFailed bool) {
	handle := c.handle
	if handle == 0 {
		return
	}
	c.claimNeverSent(invariant.ClaimMoved)
	c.unassign()
	if !c.client.dispatcher.MayResend(handle) {
		return
	}
	other := c.client.acquire(c.worker, c.attempt.RetryUnsafe)
	other.assign(c.attempt)
	other.newConnectionFailed = newConnectionFailed
	if other.state != stateDialing && !c.client.dispatcher.ClientDisconnected(other.handle) {
		other.send()
	}
}

// correlationID returns the ID of the attempt's request for the trace, or "" for a health check.
func (c *connection) correlationID() string {
	if c.attempt.Request == nil || c.request.isHealthCheck() {
		return ""
	}
	return c.attempt.Request.ID
}

// onTimer is called when the timer expires. What it was set for depends on the connection's state.
func (c *connection) onTimer() {
	switch {
	case c.state == stateDialing && c.dial.failedLocally: // the attempt has not run, and this is no failure of the worker
		c.fail(decision.NotSent)
	case c.state == stateDialing:
		c.fail(decision.ConnectionRefused)
	case c.request.lastByte.held:
		c.sendLastByte()
	case c.request.isHealthCheck():
		c.fail(decision.TimedOut)
		c.close()
	case c.hasAttempt() && c.state != stateIdle: // the time by which a retry must have been sent
		c.reportSent()
		if !c.requestFlushed() {
			c.abandonRequest()
		}
	default:
		c.removeIdle()
		c.close()
	}
}

// fail reports an outcome for the health check and for the attempt that the connection carries, as far as theirs were
// not reported yet.
func (c *connection) fail(outcome decision.AttemptOutcome) {
	c.dial.abandoned = true
	if c.request.kind == confirmation {
		c.confirmationFailed()
		return
	}
	if outcome == decision.ConnectionRefused && c.hasAttempt() {
		c.client.registry.ConnectFailed(c.worker)
	}
	if c.request.kind == healthCheck {
		c.request.kind = attemptRequest
		c.client.dispatcher.HealthChecked(c.worker.Name, outcome, decision.LoadReport{})
	}
	c.complete(attemptResult{outcome: outcome})
}

// complete reports the result of the connection's attempt, if it carries one.
func (c *connection) complete(result attemptResult) {
	handle := c.handle
	if handle == 0 {
		return
	}
	if result.outcome == decision.NotSent || result.outcome == decision.ConnectionRefused {
		c.claimNeverSent(invariant.ClaimEnded)
	}
	c.unassign()
	c.client.dispatcher.AttemptEnded(handle, result.outcome, result.load, result.body)
}

// retryUnsent is called when the connection failed before the last byte of the request was sent, so that the request
// has not run. The attempt is resent on another connection if this one was reused, since the worker may have closed it
// long ago, or if this is the first new connection that failed. Otherwise the worker counts as unreachable.
func (c *connection) retryUnsent() {
	if !c.reused && c.newConnectionFailed || !c.hasAttempt() {
		c.fail(decision.ConnectionRefused)
		return
	}
	c.request.kind = attemptRequest
	c.resendAttempt(c.newConnectionFailed || !c.reused)
}

// OnClosed is called when the worker has closed the connection, or the connection was lost. It implements
// transport.Handler.
func (c *connection) OnClosed(closed *transport.Conn, _ error) {
	loop := c.client.loop()
	loop.Clear(&c.timer)
	c.removeIdle()
	if c.state != stateReadingBody && c.worker.State == decision.Running {
		c.client.holdLastByteUntil = loop.Now() + holdLastBytePeriod
	}
	c.reportSent()
	bodyEnded := c.state == stateReadingBody && c.response.parser.endsWithConnection()
	if bodyEnded && c.finishResponse() == nil {
		c.reportResult()
	}
	c.response.freeBuffers()
	if c.state == stateAwaitingHead && !closed.Flushed(c.request.end) {
		c.retryUnsent()
		return
	}
	c.fail(decision.ConnectionLost)
}

// close closes the connection. If the worker has not begun to respond, the connection is reset, so that no more bytes
// of the request are delivered.
func (c *connection) close() {
	c.client.loop().Clear(&c.timer)
	c.response.freeBuffers()
	if c.state == stateDialing {
		return
	}
	if c.client.dispatcher.Trace != nil {
		c.client.dispatcher.TraceStep(c.correlationID(), "connection closed", "worker", c.worker.Name, "phase", c.state)
	}
	if c.state == stateAwaitingHead {
		c.conn.Abort()
		return
	}
	c.conn.Close()
}
