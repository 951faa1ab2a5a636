package workerclient

import (
	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// connectionState is what a connection is doing. Traces and claims show its name.
type connectionState uint8

const (
	stateIdle         connectionState = iota // open, and no request is on it
	stateAwaitingHead                        // a request has been sent, entirely or but for its last byte
	stateReadingBody                         // the head of the response has come
	stateDialing                             // not open yet; if the dial fails, the connection never leaves this state
)

// String returns the name of the state.
func (s connectionState) String() string {
	return [...]string{"idle", "awaiting head", "reading body", "dialing"}[s]
}

// connection is a connection to a worker. It carries one request at a time: that of an attempt, or a health check.
//
//	state         next, and by what                                            its timer
//	dialing       idle: onDialed                                               the connect timeout
//	idle          awaiting head: write                                         the idle timeout
//	awaiting head reading body: handleHead                                     of a health check: its timeout; else: when the
//	                                                                           held last byte is due, then when a retry is too late
//	reading body  idle: release, or endExchange after a confirmation           as before, since a worker may respond before
//	                                                                           all has left; once the result has been
//	                                                                           reported: the response's end
//
// close and OnClosed end the connection in each state but dialing, and leave the state as it is.
type connection struct {
	client *Client
	worker *discovery.Worker
	conn   *transport.Conn // nil while dialing
	state  connectionState
	timer  eventloop.Deadline

	handle              uint64           // of the attempt whose outcome is to be reported; 0: none
	attempt             dispatch.Attempt // the latest
	newConnectionFailed bool             // a new connection has broken under the attempt before

	dial     dialProgress
	idle     idleTimes
	reused   bool // it has been idle, so the worker may have closed it unnoticed
	request  outgoingRequest
	response response

	closeAfterResponse bool // it cannot be used again after the present response
}

// attemptResult is how an attempt ended, as the worker stated it.
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

// moveAttempt moves the attempt, of which nothing has run, to another connection to the same worker, unless it has
// ended. newConnectionFailed reports whether it has now lost a new connection.
func (c *connection) moveAttempt(newConnectionFailed bool) {
	handle := c.handle
	if handle == 0 {
		return
	}
	c.claimNeverSent(invariant.ClaimMoved)
	c.unassign()
	if !c.client.dispatcher.MayMove(handle) {
		return
	}
	other := c.client.acquire(c.worker, c.attempt.RetryUnsafe)
	other.assign(c.attempt)
	other.newConnectionFailed = newConnectionFailed
	if other.state != stateDialing && !c.client.dispatcher.ClientGone(other.handle) {
		other.send()
	}
}

// correlationID returns the ID of the attempt's request for the trace; a health check has none.
func (c *connection) correlationID() string {
	if c.attempt.Request == nil || c.request.isHealthCheck() {
		return ""
	}
	return c.attempt.Request.ID
}

// onTimer is called when the time for what the connection waits for is over.
func (c *connection) onTimer() {
	switch {
	case c.state == stateDialing && c.dial.failedLocally: // nothing ran, and the worker is not to blame
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

// fail reports the outcome of the health check and the attempt, where one is still to be reported.
func (c *connection) fail(outcome decision.AttemptOutcome) {
	c.dial.unwanted = true
	if c.request.kind == confirmation {
		c.confirmationFailed()
		return
	}
	if outcome == decision.ConnectionRefused && c.hasAttempt() {
		c.client.registry.ConnectFailed(c.worker)
	}
	if c.request.kind == healthCheck {
		c.request.kind = noHealthCheck
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
	if result.outcome == decision.NotSent || result.outcome == decision.ConnectionRefused {
		c.claimNeverSent(invariant.ClaimEnded)
	}
	c.unassign()
	c.client.dispatcher.AttemptEnded(handle, result.outcome, result.load, result.body)
}

// retryUnsent is called when the connection broke before the last byte of the request had left, so that nothing ran.
// The attempt continues on another connection if this one was reused, since the worker may have closed it long ago, and
// likewise once if it was new. Otherwise the worker counts as unreachable.
func (c *connection) retryUnsent() {
	if !c.reused && c.newConnectionFailed || !c.hasAttempt() {
		c.fail(decision.ConnectionRefused)
		return
	}
	c.request.kind = noHealthCheck
	c.moveAttempt(c.newConnectionFailed || !c.reused)
}

// OnClosed is called when the worker has closed the connection, or it broke. It implements transport.Handler.
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

// close closes the connection. If the worker has not begun to respond, it does so by a reset, so that no part of the
// request arrives later.
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
