package workerclient

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/settings"
)

// defaultHealthCheckTimeout is how long a worker may take to respond to a health check for which no attempt waits.
const defaultHealthCheckTimeout = time.Second

// CheckHealth sends a health check to the worker with a name. The response is the worker's load report. It does nothing
// if the worker is not listed.
func (c *Client) CheckHealth(name string) {
	worker := c.registry.Worker(name)
	if worker == nil {
		return
	}
	conn := c.acquire(worker, false)
	conn.request.kind = healthCheck
	if conn.state != stateDialing {
		conn.send()
	}
}

// healthCheckTimeout returns how long the worker may take to respond to the current health check.
func (c *connection) healthCheckTimeout() time.Duration {
	if c.request.kind == confirmation {
		return c.client.connectTimeout()
	}
	return defaultHealthCheckTimeout
}

// appendHealthCheck appends a health check's request to out.
func (c *connection) appendHealthCheck(out []byte) []byte {
	out = append(out, "GET /load HTTP/1.1\r\nHost: "...)
	out = append(out, c.worker.Address...)
	return append(out, "\r\n\r\n"...)
}

// finishHealthCheck handles the end of the response to a health check.
func (c *connection) finishHealthCheck() {
	c.client.loop().Clear(&c.timer)
	c.response.complete = true
	if c.request.kind == confirmation { // responseCompleted calls confirmationAnswered next
		return
	}
	c.request.kind = attemptRequest
	outcome := decision.Failed
	var load decision.LoadReport
	if c.response.parser.status == httpwire.StatusOK {
		outcome = decision.Completed
		if !c.response.line.empty() {
			load = settings.ReadLoadReport(&c.client.dispatcher.Settings, c.response.line.bytes())
		}
	}
	c.client.dispatcher.HealthChecked(c.worker.Name, outcome, load)
}

// confirmHealth sends a health check that must succeed before the attempt's request is sent.
func (c *connection) confirmHealth(now time.Duration) {
	c.request.kind = confirmation
	c.request.sentAt = now
	c.write(now)
}

// confirmationAnswered is called when the worker has responded to the health check that precedes the attempt's request.
// It sends the request if the worker is healthy, and otherwise ends the attempt.
func (c *connection) confirmationAnswered() {
	healthy := c.response.parser.status == httpwire.StatusOK
	reusable := !c.closeAfterResponse
	handle := c.handle
	c.endExchange()
	if !healthy {
		c.rejectUnconfirmed()
		c.release()
		return
	}
	c.client.registry.HealthCheckPassed(c.worker, c.request.sentAt)
	if c.client.dispatcher.ClientDisconnected(handle) { // the dispatcher has cancelled the attempt
		return
	}
	if reusable {
		c.send()
		return
	}
	c.resendAttempt(false)
	c.close()
}

// confirmationFailed is called when the worker has not responded to the health check that precedes the attempt's
// request. If the connection was reused, the worker may have closed it long ago, so the attempt is resent on another
// connection.
func (c *connection) confirmationFailed() {
	c.request.kind = attemptRequest
	if c.reused {
		c.resendAttempt(c.newConnectionFailed)
		return
	}
	c.rejectUnconfirmed()
}

// rejectUnconfirmed ends an attempt whose worker did not respond to the preceding health check, or not with status 200.
func (c *connection) rejectUnconfirmed() {
	c.client.registry.HealthCheckFailed(c.worker)
	c.complete(attemptResult{outcome: decision.NotSent})
}
