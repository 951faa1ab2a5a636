package faktory

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// idleTimeout is how long a connection may stay open without a command. Workers
// send BEAT every 15 s.
const idleTimeout = 60 * time.Second

// connection is a connection of a producer or a worker.
//
// It is busy while a command waits for its answer: a PUSH of a direct queue
// (push), a FETCH (fetch), or a command whose change is not on disk yet
// (deferReply).
type connection struct {
	server      *Server
	token       uint64       // the server's handle of the connection
	admissionID connlimit.ID // the limiter's handle of the connection
	conn        *transport.Conn
	input       input

	incompleteSince time.Duration // clock time at which the first byte of the buffered input was read

	awaitsProxyHeader bool              // the peer is a trusted proxy, whose PROXY header names the client
	salt              string            // sent in the greeting; empty if no password is required
	authenticated     bool              // HELLO has been accepted
	worker            *registeredWorker // nil if the connection is a producer's

	busy           bool               // a command waits for its answer; the next one is not processed
	push           *pendingPush       // the PUSH of a direct queue that waits for its answer, or nil
	fetch          *parkedFetch       // the FETCH that waits for a job, or nil
	lastPushServed bool               // the job of the PUSH that is being answered was served
	deadline       eventloop.Deadline // end of the wait of a parked FETCH, or of the time that a connection may be idle
	workRefused    bool               // reading has stopped: new work is refused, and nothing more is read from a producer
	turn           turnState          // of commands that wait for the connection's next turn
	closed         bool               // detach was called
}

// writeLine sends a reply of one line.
func (c *connection) writeLine(line string) { c.conn.Write([]byte(line + "\r\n")) }

// writeBulk sends a reply that is a bulk string.
func (c *connection) writeBulk(text []byte) { c.conn.Write(appendBulk(nil, text)) }

// setDeadline makes the loop call onDeadline after the given time.
func (c *connection) setDeadline(span time.Duration) {
	loop := c.server.dispatcher.Loop
	loop.Set(&c.deadline, loop.Now()+span)
}

// onDeadline replies to a FETCH for which there was no job in time, or closes an idle
// connection.
func (c *connection) onDeadline() {
	switch {
	case c.fetch != nil:
		c.unpark()
		c.writeLine(nullBulk)
		c.resume()
	case !c.busy:
		c.closeGracefully()
	}
}

// resume continues with the next command after the reply to a command that had to wait.
func (c *connection) resume() {
	c.busy = false
	loop := c.server.dispatcher.Loop
	if c.worker == nil {
		c.server.gate.Limiter.BecameIdle(loop.Now(), c.admissionID, c.lastPushServed)
		c.lastPushServed = false
	}
	c.setDeadline(idleTimeout)
	if c.workRefused && c.isProducer() {
		loop.Post(c.endProducer)
		return
	}
	if !c.input.empty() {
		loop.Post(c.processInput) // a pipelined command; posted, because the dispatcher may be the caller
	}
}

// closeGracefully closes the connection once everything written has been sent.
func (c *connection) closeGracefully() {
	c.detach()
	c.conn.CloseGracefully()
}

// detach removes the connection from the server. Calls after the first do nothing.
func (c *connection) detach() {
	if c.closed {
		return
	}
	c.closed = true
	c.server.gate.Limiter.Closed(c.admissionID)
	c.server.connections.Remove(c.token)
	c.server.dispatcher.Loop.Clear(&c.deadline)
	c.input.discard()
	c.discardLater()
	c.unpark()
	if worker := c.worker; worker != nil {
		c.worker = nil
		worker.connectionClosed()
	}
}

// OnClosed is called when the peer has closed the connection or the connection has
// failed.
func (c *connection) OnClosed(*transport.Conn, error) {
	c.detach()
	c.cancelPush()
}

// OnData handles received bytes and takes ownership of their buffer.
func (c *connection) OnData(_ *transport.Conn, received *transport.Buffer) {
	if c.closed {
		c.server.engine.Pool.Put(received)
		return
	}
	if c.turn.posted {
		c.keepForTurn(received)
		return
	}
	c.handleData(received)
}

// handleData handles received bytes of an open connection and takes ownership of their buffer.
func (c *connection) handleData(received *transport.Buffer) {
	if c.workRefused && c.isProducer() { // only its close matters
		c.server.engine.Pool.Put(received)
		c.conn.Discard(transport.MaxDiscardedBytes)
		return
	}
	if c.input.empty() {
		c.incompleteSince = c.server.dispatcher.Loop.Now()
	}
	if !c.input.add(received) {
		c.rejectOverflow()
		return
	}
	if c.awaitsProxyHeader && !c.readProxyHeader() {
		return
	}
	c.processInput()
	c.server.freeBuffers()
}

// rejectOverflow closes a connection whose input does not fit the buffer: a
// command that is too long, or too many pipelined commands. It does so even while
// a command waits for its answer.
func (c *connection) rejectOverflow() {
	if !c.busy {
		c.writeLine(replyMalformed + "command " + errTooLong.Error())
	}
	c.server.gate.Limiter.ReportAbuse(c.server.dispatcher.Loop.Now(), c.admissionID, connlimit.MemoryShareExceeded)
	c.detach()
	c.cancelPush()
	c.conn.CloseGracefully()
}

// deferReply makes the connection busy until reply is called, which sends the reply
// to the command. If the connection is closed by then, reply does nothing.
func (c *connection) deferReply() (reply func(line string)) {
	c.busy = true
	c.server.dispatcher.Loop.Clear(&c.deadline)
	return func(line string) {
		if c.closed {
			return
		}
		c.writeLine(line)
		c.resume()
	}
}
