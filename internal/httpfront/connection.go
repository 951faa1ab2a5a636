package httpfront

import (
	"net/netip"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// clientConnection is a client's connection. It reads a request, waits for its response, and reads on. Requests that the
// client sends ahead wait in the input meanwhile.
type clientConnection struct {
	frontEnd  *FrontEnd
	conn      *transport.Conn
	token     uint64 // among the front end's connections
	limiterID connlimit.ID
	peer      netip.Addr         // the client's address, whose turn its input waits for
	timer     eventloop.Deadline // of the idle connection, or of the request that has begun

	awaitsProxyHeader  bool // it comes from a trusted proxy, whose PROXY header is due
	hasSent            bool // a byte has come
	proven             bool // one of its requests has been served
	closeAfterResponse bool // it ends with the next response
	closed             bool

	input    inputBuffer
	incoming incomingRequest
	reading  readingState
	response pendingResponse
	stall    stallWatch
}

// newClientConnection returns a connection that has been accepted, which is not among the front end's yet.
func newClientConnection(frontEnd *FrontEnd, conn *transport.Conn) *clientConnection {
	connection := &clientConnection{frontEnd: frontEnd, conn: conn}
	connection.input.pool = &frontEnd.engine.Pool
	connection.timer.Fire = connection.onTimer
	connection.stall.timer.Fire = connection.checkStall
	connection.reading.floodTimer.Fire = connection.checkFlood
	return connection
}

// OnData handles bytes that the client has sent. It implements transport.Handler.
func (c *clientConnection) OnData(_ *transport.Conn, b *transport.Buffer) {
	frontEnd := c.frontEnd
	switch {
	case c.closed:
		frontEnd.engine.Pool.Put(b)
		return
	case c.response.pending && c.closeAfterResponse: // no request can follow; only the client's close matters
		frontEnd.engine.Pool.Put(b)
		c.conn.Discard(maxDiscardedBytes)
		return
	case c.awaitsProxyHeader:
		c.readProxyHeader(b)
		return
	}
	if c.input.empty() && !c.response.pending {
		c.startRequest()
	}
	if !c.input.add(b) { // cannot happen before the overflow has found room, since the connection is paused until then
		c.closeAfterResponse = true
	}
	if frontEnd.gate.Enabled() {
		if !c.response.pending && !c.input.empty() && c.incoming.capExceeded == connlimit.Allowed {
			c.incoming.capExceeded = frontEnd.gate.Limiter.SetBuffered(c.limiterID, len(c.input.bytes()))
		}
		if frontEnd.gate.Pressure() > 0 || frontEnd.turns.queue.Len() > 0 {
			frontEnd.queueForTurn(c)
			return
		}
	}
	c.read()
	frontEnd.freeMemory()
}

// OnClosed is called when the client has closed the connection, or it broke. It implements transport.Handler.
func (c *clientConnection) OnClosed(*transport.Conn, error) {
	response := c.response
	c.release()
	if response.pending {
		c.frontEnd.dispatcher.Cancel(response.handle)
	}
}

// ClientLeft reports whether the client of a request has closed its connection, even if the event of it has not been
// handled yet. It implements dispatch.ClientWatcher.
func (f *FrontEnd) ClientLeft(token uint64) bool {
	c := f.connections.Get(token)
	return c == nil || c.conn.PeerClosed()
}

// RequestCancelled implements dispatch.ClientWatcher. It does nothing: the connection is released when OnClosed comes.
func (f *FrontEnd) RequestCancelled(uint64, bool) {}

// betweenRequests reports whether no request has begun and no response is pending.
func (c *clientConnection) betweenRequests() bool {
	return !c.response.pending && !c.closed && c.input.empty()
}

// closeNow closes a connection on which no response is pending, at once.
func (c *clientConnection) closeNow() {
	c.checkNoResponsePending()
	c.release()
	c.conn.Close()
}

// closeGracefully closes a connection on which no response is pending, once the client has got all that was written.
func (c *clientConnection) closeGracefully() {
	c.checkNoResponsePending()
	c.release()
	c.conn.CloseGracefully()
}

// checkNoResponsePending reports a violation if the connection is about to be closed while a response is pending.
func (c *clientConnection) checkNoResponsePending() {
	c.frontEnd.dispatcher.Guard.CheckClosed(c.response.pending && !c.closed, "client connection")
}

// release gives back all that the connection holds.
func (c *clientConnection) release() {
	frontEnd := c.frontEnd
	if !c.closed {
		frontEnd.gate.Limiter.Closed(c.limiterID)
	}
	frontEnd.connections.Remove(c.token)
	frontEnd.loop().Clear(&c.timer)
	frontEnd.loop().Clear(&c.stall.timer)
	frontEnd.loop().Clear(&c.reading.floodTimer)
	c.input.free()
	c.closed = true
}

// reportAbuse reports to the gate what the client has done.
func (c *clientConnection) reportAbuse(reason connlimit.Reason) {
	gate := c.frontEnd.gate
	if gate.Enabled() {
		gate.Limiter.ReportAbuse(c.frontEnd.loop().Now(), c.limiterID, reason)
		gate.LogRejection(reason, c.peer)
	}
}
