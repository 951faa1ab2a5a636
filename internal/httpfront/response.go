package httpfront

import (
	"bytes"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/httpwire"
)

// maxUnsentBytes is how many bytes of responses a client may leave unread.
const maxUnsentBytes = 256 << 10

// httpResponse is a response to a client.
type httpResponse struct {
	status     int
	body       []byte
	retryAfter time.Duration // 0: not stated
	fields     string        // further header fields, each with its line end
	served     bool          // a worker has served the request
}

// pendingResponse is the response that a client waits for, if any.
type pendingResponse struct {
	pending       bool   // a request is being served
	handle        uint64 // of the request; 0: the dispatcher has not returned it yet, or the request is durable
	durableNumber uint64 // the number of durable requests so far; late responses to earlier ones are ignored by it
}

// textResponse returns a response with a text that the front end gives by itself.
func textResponse(status int, text string) httpResponse {
	return httpResponse{status: status, body: []byte(text)}
}

// methodNotAllowed returns the response to a request for a target that allows one method only.
func methodNotAllowed(allowed string) httpResponse {
	response := textResponse(httpwire.StatusMethodNotAllowed, allowed+" only\n")
	response.fields = "Allow: " + allowed + "\r\n"
	return response
}

// Respond writes the response to a request that was handed to the dispatcher. It implements dispatch.FrontEnd.
func (f *FrontEnd) Respond(token uint64, response dispatch.Response) {
	connection := f.connections.Get(token)
	if connection == nil || !connection.response.pending {
		return
	}
	switch response.Outcome {
	case dispatch.Served:
		connection.completeService(httpResponse{status: httpwire.StatusOK, body: response.Body, served: true})
	case dispatch.Rejected:
		connection.completeService(httpResponse{status: httpwire.StatusServiceUnavailable, retryAfter: response.RetryAfter})
	default:
		connection.completeService(httpResponse{status: httpwire.StatusBadGateway})
	}
}

// completeService writes the pending response, and continues to read.
func (c *clientConnection) completeService(response httpResponse) {
	c.response.pending = false
	c.closeAfterResponse = c.closeAfterResponse || c.frontEnd.closeAfterResponse
	c.writeResponse(response)
	if (c.reading.paused || !c.input.empty()) && !c.closed {
		c.postRead() // not now, since the dispatcher may be the caller
	}
}

// healthResponse is the response to a health check.
func (f *FrontEnd) healthResponse(message *httpwire.Message) httpResponse {
	isGet := bytes.Equal(message.Method(), []byte("GET"))
	isHead := bytes.Equal(message.Method(), []byte("HEAD"))
	if !isGet && !isHead {
		return methodNotAllowed("GET")
	}
	ready := f.ready() && (!f.shuttingDown || f.handedOver) && !f.drain.active
	if !ready {
		return textResponse(httpwire.StatusServiceUnavailable, "not ready\n")
	}
	return textResponse(httpwire.StatusOK, "ready\n")
}

// respondDirectly removes a request from the input and responds to it.
func (c *clientConnection) respondDirectly(message *httpwire.Message, response httpResponse) {
	isHead := bytes.Equal(message.Method(), []byte("HEAD")) // before consume: message lies in the input
	c.input.consume(message.Size)
	if isHead { // its response has no body, so that the length would mislead
		c.closeAfterResponse = true
		response.body = nil
	}
	c.writeResponse(response)
}

// reject responds to a request that cannot be read to its end, and closes the connection: where the next request would
// begin is not known.
func (c *clientConnection) reject(err error) {
	c.closeAfterResponse = true
	c.writeResponse(textResponse(statusOf(err), err.Error()+"\n"))
}

// writeResponse writes a response, and makes the connection ready for the next request or closes it.
func (c *clientConnection) writeResponse(response httpResponse) {
	frontEnd := c.frontEnd
	c.closeAfterResponse = c.closeAfterResponse || frontEnd.eviction.capacityExhausted
	frontEnd.out = httpwire.AppendResponse(
		frontEnd.out[:0], response.status, response.body, response.retryAfter, c.closeAfterResponse, response.fields)
	c.conn.Write(frontEnd.out)
	switch {
	case c.closeAfterResponse:
		c.closeGracefully()
	case c.conn.UnsentBytes() > maxUnsentBytes:
		c.closeNow()
	case !c.input.empty():
		c.becomeIdle(response.served)
		c.startRequest()
	default:
		c.becomeIdle(response.served)
	}
	if !c.closed {
		c.watchStall()
	}
}
