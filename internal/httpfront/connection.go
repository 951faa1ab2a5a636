package httpfront

import (
	"net/netip"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// clientConnection is a client's connection. It reads a request, waits for its response, and then reads the next one.
// Requests that the client pipelines stay in the input buffer until the responses before them have been written.
type clientConnection struct {
	frontEnd  *FrontEnd
	conn      *transport.Conn
	token     uint64 // identifies the connection in FrontEnd.connections
	limiterID connlimit.ID
	peer      netip.Addr         // the client's address, by which the input is queued for fair reading
	timer     eventloop.Deadline // the idle timeout, or the timeout of a request that has begun to arrive

	awaitsProxyHeader  bool // the peer is a trusted proxy, whose PROXY header has not been read yet
	hasSent            bool // at least one byte has been received
	proven             bool // a worker has served at least one of its requests
	closeAfterResponse bool // it is closed after the next response
	closed             bool

	input    inputBuffer
	incoming incomingRequest
	reading  readingState
	response pendingResponse
	stall    stallWatch
}

// newClientConnection returns a connection for an accepted conn. The caller adds it to the front end's connections.
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
	case c.response.pending && c.closeAfterResponse: // no other request is read; only the client's close matters
		frontEnd.engine.Pool.Put(b)
		c.conn.Discard(transport.MaxDiscardedBytes)
		return
	case c.awaitsProxyHeader:
		c.readProxyHeader(b)
		return
	}
	if c.input.empty() && !c.response.pending {
		c.startRequest(b.ArrivedAt())
	}
	if !c.input.add(b) { // not expected: reading is paused while there is overflow
		c.closeAfterResponse = true
	}
	if frontEnd.gate.Enabled() {
		if !c.response.pending && !c.input.empty() && c.incoming.limitExceeded == connlimit.Allowed {
			c.incoming.limitExceeded = frontEnd.gate.Limiter.SetBuffered(c.limiterID, len(c.input.bytes()))
		}
		if frontEnd.gate.Pressure() > 0 || frontEnd.turns.queue.Len() > 0 {
			frontEnd.queueForTurn(c)
			return
		}
	}
	c.read()
	frontEnd.freeMemory()
}

// OnClosed is called when the client has closed the connection, or the connection was lost. It implements
// transport.Handler.
func (c *clientConnection) OnClosed(*transport.Conn, error) {
	response := c.response
	c.traceClose("client")
	c.release()
	if response.pending {
		c.frontEnd.dispatcher.Cancel(response.handle)
	}
}

// ClientDisconnected reports whether the client of a request has closed its connection, even if the event loop has not
// handled the close event yet. It implements dispatch.ClientWatcher.
func (f *FrontEnd) ClientDisconnected(token uint64) bool {
	c := f.connections.Get(token)
	return c == nil || c.conn.PeerClosed()
}

// RequestCancelled implements dispatch.ClientWatcher. It does nothing, since OnClosed releases the connection.
func (f *FrontEnd) RequestCancelled(uint64, bool) {}

// betweenRequests reports whether no request has begun and no response is pending.
func (c *clientConnection) betweenRequests() bool {
	return !c.response.pending && !c.closed && c.input.empty()
}

// closeNow immediately closes a connection on which no response is pending.
func (c *clientConnection) closeNow() {
	c.checkNoResponsePending()
	c.traceClose("dispatcher, at once")
	c.release()
	c.conn.Close()
}

// closeGracefully closes a connection on which no response is pending, once all written bytes have reached the client.
func (c *clientConnection) closeGracefully() {
	c.checkNoResponsePending()
	c.traceClose("dispatcher")
	c.release()
	c.conn.CloseGracefully()
}

// checkNoResponsePending reports a violation if the connection is about to be closed while a response is pending.
func (c *clientConnection) checkNoResponsePending() {
	c.frontEnd.dispatcher.Guard.CheckClosed(c.response.pending && !c.closed, "client connection")
}

// release marks the connection as closed and releases its resources: its place in the limiter and among the front
// end's connections, its timers and its input buffers.
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
	c.endDurable()
	c.closed = true
}

// reportAbuse reports to the gate that the client has misbehaved, and how.
func (c *clientConnection) reportAbuse(reason connlimit.Reason) {
	gate := c.frontEnd.gate
	if gate.Enabled() {
		gate.Limiter.ReportAbuse(c.frontEnd.loop().Now(), c.limiterID, reason)
		gate.LogRejection(reason, c.peer)
	}
}
