package faktory

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const (
	helloTimeout   = 5 * time.Second  // a new connection must say HELLO in this time
	idleTimeout    = 60 * time.Second // a connection without a command is closed; workers BEAT every 15 s
	hashIterations = 1545             // that the greeting asks for with a password
	saltBytes      = 8
	maxWidLength   = 128
	maxVerbShown   = 40 // characters of an unknown command that its answer quotes
)

// connection is a connection of a producer or a worker.
type connection struct {
	server            *Server
	token             uint64
	admissionID       connlimit.ID
	conn              *transport.Conn
	input             input
	awaitsProxyHeader bool   // from a trusted proxy that names the client first
	salt              string // of the greeting
	authenticated     bool   // HELLO has been accepted
	lastPushServed    bool
	worker            *registeredWorker // nil: a producer's
	busy              bool              // a command awaits its answer; no other is read
	push              *pendingPush      // the PUSH of a direct queue that awaits its answer; nil: none
	fetch             *parkedFetch      // the FETCH that waits for a job; nil: none
	closed            bool
	deadline          eventloop.Deadline // of a parked FETCH, or of an idle connection
}

func (c *connection) writeLine(line string) { c.conn.Write([]byte(line + "\r\n")) }

func (c *connection) writeBulk(text []byte) { c.conn.Write(appendBulk(nil, text)) }

// setDeadline calls onDeadline after a span of time.
func (c *connection) setDeadline(span time.Duration) {
	loop := c.server.dispatcher.Loop
	loop.Set(&c.deadline, loop.Now()+span)
}

// onDeadline answers a FETCH for which no job came, or closes an idle connection.
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

// resume continues with the next command after an answer.
func (c *connection) resume() {
	c.busy = false
	loop := c.server.dispatcher.Loop
	if c.worker == nil {
		c.server.gate.Limiter.BecameIdle(loop.Now(), c.admissionID, c.lastPushServed)
		c.lastPushServed = false
	}
	c.setDeadline(idleTimeout)
	if !c.input.empty() {
		loop.Post(c.processInput) // a pipelined command; not from inside the dispatcher
	}
}

func (c *connection) closeGracefully() {
	c.detach()
	c.conn.CloseGracefully()
}

// detach removes the connection from the server, once.
func (c *connection) detach() {
	if c.closed {
		return
	}
	c.closed = true
	c.server.gate.Limiter.Closed(c.admissionID)
	c.server.connections.Remove(c.token)
	c.server.dispatcher.Loop.Clear(&c.deadline)
	c.input.discard()
	c.unpark()
	if worker := c.worker; worker != nil {
		c.worker = nil
		worker.connectionClosed(c.server)
	}
}

// OnClosed handles the end of the connection by the peer or by a fault.
func (c *connection) OnClosed(*transport.Conn, error) {
	c.detach()
	c.cancelPush()
}

// OnData handles received bytes, whose buffer it takes over.
func (c *connection) OnData(_ *transport.Conn, received *transport.Buffer) {
	if c.closed {
		c.server.engine.Pool.Put(received)
		return
	}
	if !c.input.add(received) {
		c.rejectOverflow()
		return
	}
	if c.awaitsProxyHeader && !c.readProxyHeader() {
		return
	}
	c.processInput()
}

// rejectOverflow closes a connection that sends more than a command, or more
// commands ahead than fit, even while an answer is pending.
func (c *connection) rejectOverflow() {
	if !c.busy {
		c.writeLine(replyMalformed + "command " + errTooLong.Error())
	}
	c.server.gate.Limiter.ReportAbuse(c.server.dispatcher.Loop.Now(), c.admissionID, connlimit.Greedy)
	c.detach()
	c.cancelPush()
	c.conn.CloseGracefully()
}

// deferReply makes the connection wait for the answer to its command. The
// answer is sent by reply, unless the connection is closed by then.
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
