package workerclient

import (
	"bytes"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/settings"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// responseEndTimeout is how long the rest of a response may take to arrive once the attempt's result was reported.
const responseEndTimeout = time.Second

// response is the state of the response to the request on a connection.
type response struct {
	parser   responseParser
	line     lineBuffer     // an incomplete line of the body, or the body of the response to a health check
	complete bool           // the whole response has been parsed
	result   *attemptResult // set while it has to be reported, which is done once all received bytes are parsed
}

// freeBuffers returns the buffers to their pool.
func (r *response) freeBuffers() {
	r.parser.free()
	r.line.free()
}

// OnData handles bytes that the worker has sent. It implements transport.Handler.
func (c *connection) OnData(_ *transport.Conn, b *transport.Buffer) {
	if c.state == stateIdle { // no request is pending, so these bytes are not a response
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

// responseCompleted is called once the whole response has been parsed. It releases the connection and reports the
// result.
func (c *connection) responseCompleted() {
	c.client.loop().Clear(&c.timer)
	hasTrailingBytes := len(c.response.parser.unparsed()) > 0
	c.closeAfterResponse = c.closeAfterResponse || hasTrailingBytes
	if c.request.kind == confirmation {
		c.confirmationAnswered()
		return
	}
	lastByteUnsent := c.request.lastByte.held // it must not be sent any more, so the connection cannot be reused
	c.closeAfterResponse = c.closeAfterResponse || lastByteUnsent
	c.release() // before the report, so that an attempt that the report starts can use the connection
	c.reportResult()
}

// parseInput parses and handles the received bytes as far as possible.
func (c *connection) parseInput() error {
	for !c.response.complete && len(c.response.parser.unparsed()) > 0 {
		progress, err := c.parseNext()
		if err != nil || !progress {
			return err
		}
	}
	return nil
}

// parseNext parses and handles the next part of the response. It returns false if more bytes are needed.
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

// reportResult reports the attempt's result if the response has stated one that was not reported yet.
func (c *connection) reportResult() {
	result := c.response.result
	c.response.result = nil
	if result == nil {
		return
	}
	if c.request.lastByte.held { // the attempt is reported as ended, so its request must not be completed
		c.close()
	}
	if c.state != stateIdle && c.conn.Handle != 0 {
		loop := c.client.loop()
		loop.Set(&c.timer, loop.Now()+responseEndTimeout)
	}
	c.complete(*result)
}

// failMalformed closes a connection on which the worker has sent no valid response. The attempt may have run.
func (c *connection) failMalformed() {
	c.close()
	c.reportResult()
	c.fail(decision.ConnectionLost)
}

// endExchange resets the state of the request and its response, so that the connection is ready for another request.
func (c *connection) endExchange() {
	c.state = stateIdle
	c.request.kind = attemptRequest
	c.request.lastByte.held = false
	c.response.complete = false
	c.response.parser.status = 0
	c.response.freeBuffers()
}

// handleHead handles the head of a response. Any status other than 200 determines the attempt's result without the
// body.
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

// outcomeOfStatus returns the outcome of an attempt whose response has a status other than 200.
func outcomeOfStatus(status int, head *httpwire.Head) decision.AttemptOutcome {
	unprocessed := bytes.Equal(head.Get("X-Unprocessed"), []byte("1"))
	unavailable := status == httpwire.StatusServiceUnavailable || status == httpwire.StatusGatewayTimeout
	switch {
	case unavailable && unprocessed:
		return decision.Saturated
	case status >= httpwire.StatusBadRequest && status < httpwire.StatusInternalServerError:
		return decision.InvalidRequest
	default: // 500 and responses that the protocol does not define, after which the attempt may have run
		return decision.Failed
	}
}

// loadOfHead returns the load report in the head of a response, or an empty one if there is none.
func (c *connection) loadOfHead(head *httpwire.Head) decision.LoadReport {
	report := head.Get("X-Backend-Load")
	if report == nil {
		return decision.LoadReport{}
	}
	return settings.ReadLoadReport(&c.client.dispatcher.Settings, report)
}

// handleBody handles a part of the body. The body of a response to a health check is a load report. Each line of the
// body of a 200 response to an attempt is a job update. All other bodies are ignored.
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

// handleLine handles a complete line of the body. end is its last part; the parts before it, if any, are in the line
// buffer.
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

// finishResponse is called at the end of the response. If the response has not stated a result for the attempt, the
// connection counts as lost.
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
