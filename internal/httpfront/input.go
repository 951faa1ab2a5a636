package httpfront

import (
	"bytes"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// maxRequestsPerTurn is how many requests of one connection are read before the loop continues with others.
const maxRequestsPerTurn = 16

// appendInput adds data to the input, or to the overflow if there is no room.
func (c *clientConnection) appendInput(b *transport.Buffer) {
	switch {
	case c.input == nil:
		c.input = b
	case c.overflow == nil:
		c.overflow = b
		c.refillInput()
	default: // cannot happen before the overflow has found room, since the connection is paused until then
		c.frontEnd.engine.Pool.Put(b)
		c.closeAfterResponse = true
	}
}

// refillInput moves data from the overflow to the input.
func (c *clientConnection) refillInput() {
	if c.overflow == nil {
		return
	}
	if c.input == nil {
		c.input = c.overflow
		c.overflow = nil
		return
	}
	moved := c.input.Fill(c.overflow.Bytes())
	c.frontEnd.engine.Pool.Consume(&c.overflow, moved)
}

// consumeInput removes a request of a number of bytes from the input.
func (c *clientConnection) consumeInput(size int) {
	c.frontEnd.engine.Pool.Consume(&c.input, size)
	c.refillInput()
}

// read handles the requests in the input, until one is incomplete or must be waited for.
func (c *clientConnection) read() {
	frontEnd := c.frontEnd
	frontEnd.reading = c.token
	defer func() { frontEnd.reading = 0 }()
	if c.capExceeded != connlimit.Allowed && !c.responsePending && c.input != nil {
		frontEnd.gate.LogRejection(c.capExceeded, c.peer)
		c.reject(errCaps)
		return
	}
	err := c.readRequests()
	if err != nil {
		c.reject(err)
		return
	}
	c.updatePause()
}

// readRequests handles requests until one is incomplete, a response is pending, or the others must have their turn.
func (c *clientConnection) readRequests() error {
	for count := 0; c.input != nil && !c.responsePending && !c.closed; count++ {
		if count == maxRequestsPerTurn {
			c.postRead()
			if c.frontEnd.gate.Enabled() {
				c.frontEnd.gate.Limiter.CountReason(connlimit.Greedy)
			}
			return nil
		}
		var message httpwire.Message
		complete, err := c.parseRequest(&message)
		if !complete {
			return err
		}
		c.continueSent = false
		c.scan = httpwire.ScanState{}
		c.closeAfterResponse = c.closeAfterResponse || c.frontEnd.closeAfterResponse || !wantsKeepAlive(&message)
		c.route(&message)
	}
	return nil
}

// parseRequest parses the request at the start of the input. If its client waits for 100 Continue, it sends that.
func (c *clientConnection) parseRequest(message *httpwire.Message) (complete bool, err error) {
	input := c.input.Bytes()
	complete, expectsContinue, err := httpwire.ParseRequest(input, message, &c.scan)
	if err != nil {
		return false, err
	}
	if !complete && len(input) == transport.BufferSize { // chunked, and with so much framing that it can never fit
		return false, httpwire.ErrBodyTooLong
	}
	if expectsContinue && !c.continueSent {
		c.continueSent = true
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return complete, nil
}

// wantsKeepAlive reports whether the client means to send more requests on the connection.
func wantsKeepAlive(message *httpwire.Message) bool {
	if message.HasToken("Connection", "close") {
		return false
	}
	return !bytes.Equal(message.Version(), []byte("HTTP/1.0")) || message.HasToken("Connection", "keep-alive")
}

// updatePause stops reading from the socket while there is input that cannot be handled yet, or resumes it.
func (c *clientConnection) updatePause() {
	frontEnd := c.frontEnd
	if c.closed || c.responsePending && c.closeAfterResponse || frontEnd.readingStopped { // what comes is discarded, or not read
		return
	}
	pause := c.overflow != nil || c.readPosted || c.responsePending && c.input != nil && frontEnd.memoryShort()
	if pause == c.paused {
		return
	}
	c.paused = pause
	if !pause {
		c.conn.Resume()
		return
	}
	c.conn.Pause()
	frontEnd.loop().Set(&c.floodTimer, frontEnd.loop().Now()+floodCheckInterval)
}

// postRead continues to read once the loop has handled what is in its queue.
func (c *clientConnection) postRead() {
	if c.readPosted {
		return
	}
	c.readPosted = true
	c.frontEnd.loop().Post(func() {
		c.readPosted = false
		c.read()
	})
}
