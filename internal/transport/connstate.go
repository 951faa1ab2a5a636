package transport

// connState is the state of a connection. It changes on the loop's goroutine, and only
// as follows:
//
//	opening --onOpen--> open --CloseGracefully--> lingering
//	   |                  |                           |
//	   +------------------+---------------------------+--> closed
//
// The end of the connection by the peer or by an error leads from any state to closed,
// and Close and Abort do so from open and lingering. Whether received bytes are passed
// to the handler does not depend on this state alone; see Pause and Discard.
type connState uint8

const (
	stateOpening   connState = iota // nbio has not reported to the loop yet that the connection is open
	stateOpen                       // the handler gets the events
	stateLingering                  // written bytes are sent, and received bytes are discarded
	stateClosed                     // the slot is free; nbio may still have to close the descriptor
)

// connected reports whether the connection has a slot and can be written to.
func (c *Conn) connected() bool { return c.state == stateOpen || c.state == stateLingering }

// takeSlot assigns a slot to an opening connection and changes its state to open.
func (c *Conn) takeSlot() {
	c.state = stateOpen
	c.Handle = c.engine.conns.Insert(c)
}

// freeSlot frees the slot of an open or lingering connection and changes its state to closed.
// After that only the caller may still call the handler.
func (c *Conn) freeSlot() {
	c.state = stateClosed
	c.engine.conns.Remove(c.Handle)
	c.Handle = 0
	c.engine.Loop.Clear(&c.closeTimer)
}
