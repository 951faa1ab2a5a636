package workerclient

import (
	"bytes"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/settings"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// responseEndTimeout is how long the rest of a response may take once the attempt's outcome is known.
const responseEndTimeout = time.Second

// response is the response to the request on a connection.
type response struct {
	parser   responseParser
	line     lineBuffer     // of a body's line, or the body of a health check's response
	complete bool           // all of it has been parsed
	result   *attemptResult // not reported until the received bytes have been parsed
}

// freeBuffers returns the buffers to their pool.
func (r *response) freeBuffers() {
	r.parser.free()
	r.line.free()
}

// OnData handles bytes that the worker has sent. It implements transport.Handler.
func (c *connection) OnData(_ *transport.Conn, b *transport.Buffer) {
	if c.state == stateIdle { // no request was sent, so this is no response
		c.client.engine.Pool.Put(b)
		c.removeIdle()
		c.close()
		return
	}
	c.reportSent()
	if !c.response.parser.add(b) || c.parseInput() != nil {
		c.failMalformed()
		return
	}
	c.response.parser.dropParsed()
	if c.response.complete {
		c.responseCompleted()
		return
	}
	c.reportResult()
}

// responseCompleted ends the exchange once all of the response has been parsed.
func (c *connection) responseCompleted() {
	c.client.loop().Clear(&c.timer)
	bytesBehind := len(c.response.parser.unparsed()) > 0
	c.closeAfterResponse = c.closeAfterResponse || bytesBehind
	if c.request.kind == confirmation {
		c.confirmationAnswered()
		return
	}
	lastByteUnwanted := c.request.lastByte.held // the worker must not get the rest of the request any more
	c.closeAfterResponse = c.closeAfterResponse || lastByteUnwanted
	c.release() // before the report: an attempt that it starts can use the connection
	c.reportResult()
}

// parseInput parses as much of the input as it can.
func (c *connection) parseInput() error {
	for !c.response.complete && len(c.response.parser.unparsed()) > 0 {
		progress, err := c.parseNext()
		if err != nil || !progress {
			return err
		}
	}
	return nil
}

// parseNext parses and handles the next piece of the response. It returns false if more bytes are needed for that.
func (c *connection) parseNext() (progress bool, err error) {
	if c.state == stateAwaitingHead {
		var head httpwire.Head
		complete, err := c.response.parser.parseHead(&head)
		if err != nil || !complete {
			return false, err
		}
		return true, c.handleHead(&head)
	}
	piece, progress, err := c.response.parser.parseBody()
	if err != nil || !progress {
		return false, err
	}
	err = c.handleBody(piece.data)
	if err == nil && piece.last {
		err = c.finishResponse()
	}
	return true, err
}

// reportResult reports the attempt's result, if the response has stated it.
func (c *connection) reportResult() {
	result := c.response.result
	c.response.result = nil
	if result == nil {
		return
	}
	if c.request.lastByte.held { // an attempt that is reported as ended must not begin
		c.close()
	}
	if c.state != stateIdle && c.conn.Handle != 0 {
		loop := c.client.loop()
		loop.Set(&c.timer, loop.Now()+responseEndTimeout)
	}
	c.complete(*result)
}

// failMalformed closes a connection whose bytes are no valid response. The attempt may have run.
func (c *connection) failMalformed() {
	c.close()
	c.reportResult()
	c.fail(decision.ConnectionLost)
}

// endExchange makes the connection ready for the next request, if it is still open.
func (c *connection) endExchange() {
	c.state = stateIdle
	c.request.kind = noHealthCheck
	c.request.lastByte.held = false
	c.response.complete = false
	c.response.parser.status = 0
	c.response.freeBuffers()
}

// handleHead handles the head of a response. Each status but 200 states the attempt's result by itself.
func (c *connection) handleHead(head *httpwire.Head) error {
	parser := &c.response.parser
	c.closeAfterResponse = parser.endsWithConnection() || head.HasToken("Connection", "close")
	c.state = stateReadingBody
	if !c.request.isHealthCheck() && parser.status != httpwire.StatusOK {
		c.response.result = &attemptResult{outcome: outcomeOfStatus(parser.status, head), load: c.loadOfHead(head)}
	}
	if parser.bodyEmpty() {
		return c.finishResponse()
	}
	return nil
}

// outcomeOfStatus returns the outcome that a response other than 200 states.
func outcomeOfStatus(status int, head *httpwire.Head) decision.AttemptOutcome {
	unprocessed := bytes.Equal(head.Get("X-Unprocessed"), []byte("1"))
	unavailable := status == httpwire.StatusServiceUnavailable || status == httpwire.StatusGatewayTimeout
	switch {
	case unavailable && unprocessed:
		return decision.Saturated
	case status >= httpwire.StatusBadRequest && status < httpwire.StatusInternalServerError:
		return decision.InvalidRequest
	default: // 500, and what the protocol does not define: the attempt may have run
		return decision.Failed
	}
}

// loadOfHead returns the load report in a response's head, if any.
func (c *connection) loadOfHead(head *httpwire.Head) decision.LoadReport {
	report := head.Get("X-Backend-Load")
	if report == nil {
		return decision.LoadReport{}
	}
	return settings.ReadLoadReport(&c.client.dispatcher.Settings, report)
}

// handleBody handles a piece of the body. That of a health check's response is its load report; each line in that of a
// 200 is a job update; any other is ignored.
func (c *connection) handleBody(data []byte) error {
	if c.request.isHealthCheck() {
		return c.response.line.add(data)
	}
	if c.response.parser.status != httpwire.StatusOK || !c.hasAttempt() || c.response.result != nil {
		return nil
	}
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			return c.response.line.add(data)
		}
		err := c.handleLine(data[:end])
		if err != nil || c.response.result != nil {
			return err
		}
		data = data[end+1:]
	}
	return nil
}

// handleLine handles the end of a line, whose beginning may be buffered.
func (c *connection) handleLine(end []byte) error {
	line := end
	if !c.response.line.empty() {
		err := c.response.line.add(end)
		if err != nil {
			return err
		}
		line = c.response.line.bytes()
	}
	err := c.handleUpdate(line)
	c.response.line.free()
	return err
}

// finishResponse is called at the end of the response. An attempt whose result it has not stated counts as lost.
func (c *connection) finishResponse() error {
	if c.request.isHealthCheck() {
		c.finishHealthCheck()
		return nil
	}
	if !c.response.line.empty() && c.hasAttempt() && c.response.result == nil { // the last line may have no line end
		err := c.handleUpdate(c.response.line.bytes())
		if err != nil {
			return err
		}
	}
	if c.hasAttempt() && c.response.result == nil {
		c.response.result = &attemptResult{outcome: decision.ConnectionLost}
	}
	c.response.complete = true
	return nil
}
