package faktory

import "hollyyoke.example/hollyyoke/internal/transport"

const (
	// commandsPerTurn is how many commands of one connection are handled before the event loop handles other events.
	commandsPerTurn = 16

	// maxUnsentBytes is how many bytes of replies may wait to be sent because the client does not read them.
	maxUnsentBytes = 256 << 10
)

// turnState is the state of a connection whose remaining commands wait for its next turn.
type turnState struct {
	posted bool                // takeTurn is in the loop's queue
	later  []*transport.Buffer // received meanwhile; the connection is paused, so they are few
}

// postTurn posts the handling of the remaining commands to the loop, behind the events that wait.
func (c *connection) postTurn() {
	c.turn.posted = true
	c.server.dispatcher.Loop.Post(c.takeTurn)
}

// takeTurn handles further commands, and then what was received meanwhile.
func (c *connection) takeTurn() {
	c.turn.posted = false
	if c.closed {
		return
	}
	c.processInput()
	for len(c.turn.later) > 0 && !c.turn.posted && !c.closed {
		received := c.turn.later[0]
		c.turn.later = c.turn.later[1:]
		c.handleData(received)
	}
	if c.closed || c.turn.posted {
		return
	}
	if c.server.intake.stopped && !c.workRefused {
		return // paused by StopReadingAt, which goes on in stopReading
	}
	c.conn.Resume()
	if c.workRefused && c.isProducer() && !c.busy {
		c.endProducer()
	}
}

// keepForTurn keeps received bytes until the connection's next turn, and reads no more until then.
func (c *connection) keepForTurn(received *transport.Buffer) {
	c.turn.later = append(c.turn.later, received)
	c.conn.Pause()
}

// discardLater frees what waits for the next turn.
func (c *connection) discardLater() {
	for _, received := range c.turn.later {
		c.server.engine.Pool.Put(received)
	}
	c.turn.later = nil
}

// closeIfUnread closes a connection whose client does not read its replies. It reports whether it did so.
func (c *connection) closeIfUnread() bool {
	if c.conn.UnsentBytes() <= maxUnsentBytes {
		return false
	}
	c.detach()
	c.conn.Close()
	return true
}
