package httpfront

import (
	"bytes"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/httpwire"
)

// maxUnsentBytes is how many bytes of responses may wait to be sent because the client does not read them.
const maxUnsentBytes = 256 << 10

// httpResponse is a response to a client.
type httpResponse struct {
	status     int
	body       []byte
	retryAfter time.Duration // written as Retry-After if positive
	fields     string        // further header fields, each with its line end
	served     bool          // a worker has served the request
}

// pendingResponse is the state of the response that a client waits for, if any.
type pendingResponse struct {
	pending bool            // a request is being served
	handle  uint64          // of the request; 0 until the dispatcher has returned it, and for a durable request
	durable *durableRequest // the request, if it is durable; nil otherwise
}

// textResponse returns a response of the front end itself, with a text as its body.
func textResponse(status int, text string) httpResponse {
	return httpResponse{status: status, body: []byte(text)}
}

// methodNotAllowed returns the response to a request with another method than the one that its target allows.
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
		c.postRead() // not read directly, since the dispatcher may be the caller
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
	isHead := bytes.Equal(message.Method(), []byte("HEAD")) // before consume, since message refers to the input buffer
	c.input.consume(message.Size)
	if isHead { // the response has no body, so its Content-Length does not say where a next response would begin
		c.closeAfterResponse = true
		response.body = nil
	}
	c.writeResponse(response)
}

// reject responds to a request that cannot be read to its end, and closes the connection, because it is not known where
// the next request would begin.
func (c *clientConnection) reject(err error) {
	c.closeAfterResponse = true
	c.writeResponse(textResponse(statusOfError(err), err.Error()+"\n"))
}

// writeResponse writes a response, and makes the connection ready for the next request or closes it.
func (c *clientConnection) writeResponse(response httpResponse) {
	frontEnd := c.frontEnd
	c.closeAfterResponse = c.closeAfterResponse || frontEnd.eviction.capacityExhausted
	frontEnd.responseBuffer = httpwire.AppendResponse(
		frontEnd.responseBuffer[:0], response.status, response.body, response.retryAfter, c.closeAfterResponse, response.fields)
	c.conn.Write(frontEnd.responseBuffer)
	switch {
	case c.closeAfterResponse:
		c.closeGracefully()
	case c.conn.UnsentBytes() > maxUnsentBytes:
		c.closeNow()
	case !c.input.empty():
		c.becomeIdle(response.served)
		c.startRequest(c.input.arrivedAt())
	default:
		c.becomeIdle(response.served)
	}
	if !c.closed {
		c.watchStall()
	}
}
