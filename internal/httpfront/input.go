package httpfront

import (
	"bytes"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// maxRequestsPerTurn is how many requests of one connection are handled before the event loop handles other events.
const maxRequestsPerTurn = 16

// incomingRequest is the state of the request that a connection is receiving.
type incomingRequest struct {
	scan          httpwire.ScanState // how far it has been parsed
	continueSent  bool               // 100 Continue has been sent for it
	arrivedAt     time.Duration      // when the kernel had received its first byte
	startedAt     time.Duration      // when its first byte was read
	deadline      time.Duration      // when it must be complete
	limitExceeded connlimit.Reason   // the limit on incomplete requests that it exceeds, if any
}

// readingState tells whether handling a connection's input, or reading from its socket, is delayed.
type readingState struct {
	queued     bool               // the input waits for the turn of the client's address
	posted     bool               // a call of read is in the loop's queue
	paused     bool               // nothing is read from the socket for now
	floodTimer eventloop.Deadline // of the next call of checkFlood while the connection is paused
}

// read handles the requests in the input until one is incomplete or a response is pending.
func (c *clientConnection) read() {
	frontEnd := c.frontEnd
	frontEnd.turns.reading = c.token
	defer func() { frontEnd.turns.reading = 0 }()
	if c.incoming.limitExceeded != connlimit.Allowed && !c.response.pending && !c.input.empty() {
		frontEnd.gate.LogRejection(c.incoming.limitExceeded, c.peer)
		c.reject(errLimitExceeded)
		return
	}
	err := c.readRequests()
	if err != nil {
		c.reject(err)
		return
	}
	c.updatePause()
}

// readRequests handles requests until one is incomplete, a response is pending, or maxRequestsPerTurn have been
// handled.
func (c *clientConnection) readRequests() error {
	for count := 0; !c.input.empty() && !c.response.pending && !c.closed; count++ {
		if count == maxRequestsPerTurn {
			c.postRead()
			if c.frontEnd.gate.Enabled() {
				c.frontEnd.gate.Limiter.CountReason(connlimit.MemoryShareExceeded)
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

// parseRequest parses the request at the start of the input. If the client waits for 100 Continue, it sends that.
func (c *clientConnection) parseRequest(message *httpwire.Message) (complete bool, err error) {
	input := c.input.bytes()
	progress, err := httpwire.ParseRequest(input, message, &c.incoming.scan)
	if err != nil {
		return false, err
	}
	if progress == httpwire.Complete {
		return true, nil
	}
	if len(input) == transport.BufferSize { // a chunked body with so much framing that the buffer cannot hold it
		return false, httpwire.ErrBodyTooLong
	}
	if progress == httpwire.AwaitingContinue && !c.incoming.continueSent {
		c.incoming.continueSent = true
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return false, nil
}

// wantsKeepAlive reports whether the request asks for the connection to stay open after the response.
func wantsKeepAlive(message *httpwire.Message) bool {
	if message.HasToken("Connection", "close") {
		return false
	}
	return !bytes.Equal(message.Version(), []byte("HTTP/1.0")) || message.HasToken("Connection", "keep-alive")
}

// updatePause pauses reading from the socket while there is input that cannot be handled yet, and resumes it otherwise.
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

// postRead posts a call of read to the loop, behind the events that are already in its queue.
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
