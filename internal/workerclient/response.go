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

// OnData handles bytes that the worker has sent. It implements transport.Handler.
func (c *connection) OnData(_ *transport.Conn, b *transport.Buffer) {
	if c.phase == idle { // no request was sent, so this is no response
		c.client.engine.Pool.Put(b)
		c.removeIdle()
		c.close()
		return
	}
	c.reportSent()
	if !c.client.engine.Pool.Collect(&c.input, b) || c.parseInput() != nil {
		c.failMalformed()
		return
	}
	c.dropConsumed()
	if c.responseComplete {
		c.client.loop().Clear(&c.timer)
		bytesBehind := c.input != nil
		c.closeAfter = c.closeAfter || bytesBehind
		if c.confirming {
			c.confirmationAnswered()
			return
		}
		c.closeAfter = c.closeAfter || c.lastByteHeld // the worker must not get the rest of the request any more
		c.release()                                   // before the report: an attempt that it starts can use the connection
	}
	c.reportResult()
}

// parseInput parses as much of the input as it can.
func (c *connection) parseInput() error {
	for !c.responseComplete && c.input != nil && c.consumed < len(c.input.Bytes()) {
		progress, err := c.parseNext(c.input.Bytes()[c.consumed:])
		if err != nil {
			return err
		}
		if !progress {
			return nil
		}
	}
	return nil
}

// dropConsumed drops what has been parsed, once for all pieces: each removal moves all bytes behind it.
func (c *connection) dropConsumed() {
	consumed := c.consumed
	c.consumed = 0
	if c.input != nil {
		c.client.engine.Pool.Consume(&c.input, consumed)
	}
}

// reportResult reports the attempt's result, if the response has stated it.
func (c *connection) reportResult() {
	result := c.result
	c.result = nil
	if result == nil {
		return
	}
	if c.lastByteHeld { // an attempt that is reported as ended must not begin
		c.close()
	}
	if c.phase != idle && c.conn.Handle != 0 {
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

// resetResponse discards the state of the response, so that the next request can be sent.
func (c *connection) resetResponse() {
	c.phase = idle
	c.healthCheck = false
	c.confirming = false
	c.responseComplete = false
	c.lastByteHeld = false
	c.status = 0
	c.freeBuffers()
}

// parseNext parses the next piece of the response. It returns false if more bytes are needed for that.
func (c *connection) parseNext(input []byte) (progress bool, err error) {
	switch {
	case c.phase == awaitingHead:
		return c.parseHead(input)
	case c.chunked:
		return c.parseChunk(input)
	default:
		return true, c.parsePlainBody(input)
	}
}

// parseHead parses the head of a response.
func (c *connection) parseHead(input []byte) (progress bool, err error) {
	var head httpwire.Head
	complete, err := httpwire.ParseHead(input, &head, &c.headScanned)
	if !complete {
		return false, err
	}
	c.headScanned = 0
	c.consumed += head.Size
	return true, c.handleHead(&head)
}

// parseChunk parses data or framing of a chunked body.
func (c *connection) parseChunk(input []byte) (progress bool, err error) {
	data, used, err := c.chunks.Next(input)
	if err != nil || used == 0 {
		return false, err
	}
	err = c.handleBody(data)
	c.consumed += used
	if err == nil && c.chunks.Done() {
		err = c.finishResponse()
	}
	return true, err
}

// parsePlainBody parses a body that has a length, or that ends with the connection.
func (c *connection) parsePlainBody(input []byte) error {
	size := len(input)
	if c.bodyLeft >= 0 {
		size = min(size, c.bodyLeft)
		c.bodyLeft -= size
	}
	err := c.handleBody(input[:size])
	c.consumed += size
	if err == nil && c.bodyLeft == 0 {
		err = c.finishResponse()
	}
	return err
}

// handleHead handles the head of a response. Each status but 200 states the attempt's result by itself.
func (c *connection) handleHead(head *httpwire.Head) error {
	status, valid := head.Status()
	if !valid {
		return httpwire.ErrMalformed
	}
	if status < 200 {
		return nil // an interim response; the final one follows
	}
	length, chunked, err := head.Framing()
	if err != nil {
		return err
	}
	c.status = status
	c.chunked = chunked
	c.chunks = httpwire.ChunkReader{}
	c.bodyLeft = length
	endsWithConnection := !chunked && length < 0
	c.closeAfter = endsWithConnection || head.HasToken("Connection", "close")
	c.phase = streamingBody
	if !c.healthCheck && status != httpwire.StatusOK {
		c.result = &attemptResult{outcome: outcomeOfStatus(status, head), load: c.loadOfHead(head)}
	}
	if length == 0 {
		return c.finishResponse()
	}
	return nil
}

// outcomeOfStatus returns the outcome that a response other than 200 states.
func outcomeOfStatus(status int, head *httpwire.Head) decision.AttemptOutcome {
	unprocessed := bytes.Equal(head.Get("X-Unprocessed"), []byte("1"))
	switch {
	case (status == 503 || status == 504) && unprocessed:
		return decision.Saturated
	case status >= 400 && status < 500:
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

// handleBody handles a piece of the body. Each line in that of a 200 is a job update.
func (c *connection) handleBody(data []byte) error {
	if c.healthCheck {
		return c.bufferLine(data)
	}
	if c.status != httpwire.StatusOK || c.handle == 0 || c.result != nil {
		return nil
	}
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			return c.bufferLine(data)
		}
		err := c.handleLine(data[:end])
		if err != nil || c.result != nil {
			return err
		}
		data = data[end+1:]
	}
	return nil
}

// handleLine handles the end of a line, whose beginning may be buffered.
func (c *connection) handleLine(text []byte) error {
	if c.line != nil {
		err := c.bufferLine(text)
		if err != nil {
			return err
		}
		text = c.line.Bytes()
	}
	err := c.handleUpdate(text)
	c.client.engine.Pool.Put(c.line)
	c.line = nil
	return err
}

// bufferLine keeps a part of a line until the rest has come.
func (c *connection) bufferLine(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if c.line == nil {
		c.line = c.client.engine.Pool.Get()
	}
	if !c.line.Append(data) {
		return httpwire.ErrBodyTooLong
	}
	return nil
}

// finishResponse is called at the end of the response. An attempt whose result it has not stated counts as lost.
func (c *connection) finishResponse() error {
	if c.healthCheck {
		c.finishHealthCheck()
		return nil
	}
	if c.line != nil && c.handle != 0 && c.result == nil { // the last line may have no line end
		err := c.handleUpdate(c.line.Bytes())
		if err != nil {
			return err
		}
	}
	if c.handle != 0 && c.result == nil {
		c.result = &attemptResult{outcome: decision.ConnectionLost}
	}
	c.responseComplete = true
	return nil
}
