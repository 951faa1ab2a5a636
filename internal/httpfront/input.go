package httpfront

import (
	"bytes"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// maxRequestsPerTurn is how many requests of one connection are read before the loop continues with others.
const maxRequestsPerTurn = 16

// incomingRequest is the next request on a connection, as far as it has come.
type incomingRequest struct {
	scan         httpwire.ScanState // how far it has been parsed
	continueSent bool               // 100 Continue has been sent for it
	startedAt    time.Duration      // when its first byte came
	deadline     time.Duration      // when it must be complete
	capExceeded  connlimit.Reason   // the limit that it exceeds while it is incomplete
}

// readingState is what keeps the input of a connection from being handled, or read from the socket, at once.
type readingState struct {
	queued     bool               // the input waits for its address's turn
	posted     bool               // read is in the loop's queue
	paused     bool               // nothing more is read from the socket for now
	floodTimer eventloop.Deadline // of a paused connection: the next check for more input than fits into the buffers
}

// read handles the requests in the input, until one is incomplete or must be waited for.
func (c *clientConnection) read() {
	frontEnd := c.frontEnd
	frontEnd.turns.reading = c.token
	defer func() { frontEnd.turns.reading = 0 }()
	if c.incoming.capExceeded != connlimit.Allowed && !c.response.pending && !c.input.empty() {
		frontEnd.gate.LogRejection(c.incoming.capExceeded, c.peer)
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
	for count := 0; !c.input.empty() && !c.response.pending && !c.closed; count++ {
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
		c.incoming.continueSent = false
		c.incoming.scan = httpwire.ScanState{}
		c.closeAfterResponse = c.closeAfterResponse || c.frontEnd.closeAfterResponse || !wantsKeepAlive(&message)
		c.route(&message)
	}
	return nil
}

// parseRequest parses the request at the start of the input. If its client waits for 100 Continue, it sends that.
func (c *clientConnection) parseRequest(message *httpwire.Message) (complete bool, err error) {
	input := c.input.bytes()
	progress, err := httpwire.ParseRequest(input, message, &c.incoming.scan)
	if err != nil {
		return false, err
	}
	if progress == httpwire.Complete {
		return true, nil
	}
	if len(input) == transport.BufferSize { // chunked, and with so much framing that it can never fit
		return false, httpwire.ErrBodyTooLong
	}
	if progress == httpwire.AwaitingContinue && !c.incoming.continueSent {
		c.incoming.continueSent = true
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return false, nil
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
	discarding := c.response.pending && c.closeAfterResponse
	if c.closed || discarding || frontEnd.readingStopped {
		return
	}
	readAhead := c.response.pending && !c.input.empty()
	pause := c.input.overflowing() || c.reading.posted || readAhead && frontEnd.memoryShort()
	if pause == c.reading.paused {
		return
	}
	c.reading.paused = pause
	if !pause {
		c.conn.Resume()
		return
	}
	c.conn.Pause()
	frontEnd.loop().Set(&c.reading.floodTimer, frontEnd.loop().Now()+floodCheckInterval)
}

// postRead continues to read once the loop has handled what is in its queue.
func (c *clientConnection) postRead() {
	if c.reading.posted {
		return
	}
	c.reading.posted = true
	c.frontEnd.loop().Post(func() {
		c.reading.posted = false
		c.read()
	})
}
