package transport

// connState is where a connection is in its life. It changes on the loop's
// goroutine, in this order only:
//
//	opening --onOpen--> open --CloseGracefully--> lingering
//	   |                  |                           |
//	   +------------------+---------------------------+--> closed
//
// A broken connection and the peer's end lead to closed from any state, Close and
// Abort from open and lingering. Whether received bytes reach the handler is a matter of its own: see
// Pause and Discard.
type connState uint8

const (
	stateOpening   connState = iota // the loop has not heard from nbio that it is open
	stateOpen                       // its handler gets its events
	stateLingering                  // what was written is sent, what is received is dropped
	stateClosed                     // only its descriptor may be left, which nbio closes
)

// connected reports whether the connection has a slot, and so can be written to.
func (c *Conn) connected() bool { return c.state == stateOpen || c.state == stateLingering }

// takeSlot makes an opening connection open.
func (c *Conn) takeSlot() {
	c.state = stateOpen
	c.Handle = c.engine.conns.Insert(c)
}

// freeSlot makes a connected connection closed. Its handler is not called any
// more, except by the caller.
func (c *Conn) freeSlot() {
	c.state = stateClosed
	c.engine.conns.Remove(c.Handle)
	c.Handle = 0
	c.engine.Loop.Clear(&c.closeTimer)
}
