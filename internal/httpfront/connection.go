package httpfront

import (
	"net/netip"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// clientConnection is a client's connection. It reads a request, waits for its response, and reads on.
type clientConnection struct {
	frontEnd  *FrontEnd
	conn      *transport.Conn
	token     uint64 // among the front end's connections
	limiterID connlimit.ID
	peer      netip.Addr         // the client's address, whose turn its input waits for
	timer     eventloop.Deadline // of the idle connection, or of the request that has begun
	hasSent   bool               // a byte has come
	proven    bool               // one of its requests has been served
	closed    bool

	// input
	awaitsProxyHeader bool               // it comes from a trusted proxy, whose PROXY header is due
	input             *transport.Buffer  // begins with the next request; nil: empty
	overflow          *transport.Buffer  // what did not fit into input
	scan              httpwire.ScanState // how far the next request has been parsed
	continueSent      bool               // 100 Continue has been sent for the next request
	requestStartedAt  time.Duration      // when the first byte of the next request came
	requestDeadline   time.Duration      // when it must be complete
	capExceeded       connlimit.Reason   // the limit that its incomplete request exceeds
	queued            bool               // the input waits for its address's turn
	readPosted        bool               // read is in the loop's queue
	paused            bool               // nothing more is read from the socket for now
	floodTimer        eventloop.Deadline // the next check for more input than fits into the buffers

	// response
	responsePending    bool   // a request is being served
	request            uint64 // its handle; 0: the dispatcher has not returned it yet, or the request is durable
	durableRequests    uint64 // number of durable requests so far
	closeAfterResponse bool
	stallTimer         eventloop.Deadline
	sentAtStall        int64 // bytes that had been sent when the stall timer was set
}

// OnData handles bytes that the client has sent. It implements transport.Handler.
func (c *clientConnection) OnData(_ *transport.Conn, b *transport.Buffer) {
	frontEnd := c.frontEnd
	switch {
	case c.closed:
		frontEnd.engine.Pool.Put(b)
		return
	case c.responsePending && c.closeAfterResponse: // no request can follow; only the client's close matters
		frontEnd.engine.Pool.Put(b)
		c.conn.Discard(maxDiscardedBytes)
		return
	case c.awaitsProxyHeader:
		c.readProxyHeader(b)
		return
	}
	if c.input == nil && !c.responsePending {
		c.startRequest()
	}
	c.appendInput(b)
	if frontEnd.gate.Enabled() {
		if !c.responsePending && c.input != nil && c.capExceeded == connlimit.Allowed {
			c.capExceeded = frontEnd.gate.Limiter.SetBuffered(c.limiterID, len(c.input.Bytes()))
		}
		if frontEnd.gate.Pressure() > 0 || frontEnd.turns.Len() > 0 {
			frontEnd.queueForTurn(c)
			return
		}
	}
	c.read()
	frontEnd.freeMemory()
}

// OnClosed is called when the client has closed the connection, or it broke. It implements transport.Handler.
func (c *clientConnection) OnClosed(*transport.Conn, error) {
	responsePending := c.responsePending
	request := c.request
	c.release()
	if responsePending {
		c.frontEnd.dispatcher.Cancel(request)
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
	return !c.responsePending && !c.closed && c.input == nil
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
	c.frontEnd.dispatcher.Guard.CheckClosed(c.responsePending && !c.closed, "client connection")
}

// release gives back all that the connection holds.
func (c *clientConnection) release() {
	f := c.frontEnd
	if !c.closed {
		f.gate.Limiter.Closed(c.limiterID)
	}
	f.connections.Remove(c.token)
	f.loop().Clear(&c.timer)
	f.loop().Clear(&c.stallTimer)
	f.loop().Clear(&c.floodTimer)
	c.freeBuffers()
	c.closed = true
}

// freeBuffers returns the input's buffers to their pool.
func (c *clientConnection) freeBuffers() {
	c.frontEnd.engine.Pool.Put(c.input)
	c.frontEnd.engine.Pool.Put(c.overflow)
	c.input = nil
	c.overflow = nil
}

// reportAbuse reports to the gate what the client has done.
func (c *clientConnection) reportAbuse(reason connlimit.Reason) {
	f := c.frontEnd
	if f.gate.Enabled() {
		f.gate.Limiter.ReportAbuse(f.loop().Now(), c.limiterID, reason)
		f.gate.LogRejection(reason, c.peer)
	}
}
