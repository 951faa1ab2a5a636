package admin

import (
	"encoding/json"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// HTTP statuses. Package net/http, which has names for them, is not linked into the
// daemon.
const (
	statusOK                 = 200
	statusBadRequest         = 400
	statusNotFound           = 404
	statusMethodNotAllowed   = 405
	statusRequestTimeout     = 408
	statusConflict           = 409
	statusContentTooLarge    = 413
	statusInternalError      = 500
	statusServiceUnavailable = 503
)

const jsonHeader = "Content-Type: application/json\r\n"

// call is the one call of a connection.
type call struct {
	api     *API
	token   uint64       // in api.openCalls
	id      connlimit.ID // in api.limiter
	conn    *transport.Conn
	input   *transport.Buffer // received bytes; nil if there are none
	reader  httpwire.RequestLineReader
	timeout eventloop.Deadline
}

// OnData adds the received bytes to the call, and answers it once it is complete.
func (c *call) OnData(_ *transport.Conn, b *transport.Buffer) {
	if c.input == nil {
		c.api.limiter.RequestStarted(c.api.dispatcher.Loop.Now(), c.id)
	}
	if !c.api.engine.Pool.Collect(&c.input, b) {
		c.respond(statusContentTooLarge, "the call is too long\n", "")
		return
	}
	request, complete, err := c.reader.Read(c.input.Bytes())
	switch {
	case err != nil:
		c.respondError(httpwire.StatusForError(err), err)
	case complete:
		c.serve(request)
	}
}

// OnClosed releases the call when the caller has closed the connection.
func (c *call) OnClosed(*transport.Conn, error) { c.release() }

// expire ends a call that is not complete at its timeout: it closes the connection if
// nothing has been received, and otherwise responds with an error.
func (c *call) expire() {
	if c.input == nil {
		c.release()
		c.conn.Close()
		return
	}
	c.respond(statusRequestTimeout, "the call did not come in time\n", "")
}

// release frees the resources of an unanswered call: its entries, its timer and its buffer.
func (c *call) release() {
	c.api.limiter.Closed(c.id)
	c.api.openCalls.Remove(c.token)
	c.api.dispatcher.Loop.Clear(&c.timeout)
	c.api.engine.Pool.Put(c.input)
	c.input = nil
}

// isOpen reports whether the call has neither been answered nor released.
func (c *call) isOpen() bool { return c.api.openCalls.Get(c.token) == c }

// respond sends the response and closes the connection. headers are additional header
// fields, each with its line end.
func (c *call) respond(status int, body, headers string) {
	c.release()
	c.conn.Write(httpwire.AppendResponse(nil, status, []byte(body), 0, true, headers))
	c.conn.CloseGracefully()
	a := c.api
	a.removeClosed()
	now := a.dispatcher.Loop.Now()
	c.id = a.limiter.Adopt(now, connlimit.Token(c.token)) // now as a connection that is idle after a response
	a.limiter.BecameIdle(now, c.id, true)
	a.answeredCalls = append(a.answeredCalls, c)
}

// respondError responds with an error's text.
func (c *call) respondError(status int, err error) { c.respond(status, err.Error()+"\n", "") }

// respondJSON responds with a value as JSON.
func (c *call) respondJSON(value any) {
	text, err := json.Marshal(value)
	if err != nil {
		c.respondError(statusInternalError, err)
		return
	}
	c.respond(statusOK, string(text)+"\n", jsonHeader)
}

// respondResult responds to a call whose operation has ended: with err if it is not nil,
// and otherwise with "done". It does nothing if the call has been released meanwhile.
func (c *call) respondResult(err error) {
	switch {
	case !c.isOpen():
	case err != nil:
		c.respondError(statusInternalError, err)
	default:
		c.respond(statusOK, "done\n", "")
	}
}
