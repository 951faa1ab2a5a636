package httpfront

import "hollyyoke.example/hollyyoke/internal/connlimit"

// connectionsPerTurn is how many connections are read in a row, one of each address, before the loop continues.
const connectionsPerTurn = 8

// turnState is whose input is read next, where clients' addresses take turns.
type turnState struct {
	queue   connlimit.RoundRobin // connections whose input waits for their address's turn
	posted  bool                 // takeTurns is in the loop's queue
	reading uint64               // token of the connection that is being read
}

// queueForTurn makes a connection's input wait for its address's turn, so that an address with a thousand connections
// gets no more turns than one with a single connection.
func (f *FrontEnd) queueForTurn(c *clientConnection) {
	if !c.reading.queued {
		c.reading.queued = true
		f.turns.queue.Add(c.peer, c.token)
	}
	f.postTurns()
}

// postTurns posts takeTurns to the loop, unless it is there already.
func (f *FrontEnd) postTurns() {
	if !f.turns.posted {
		f.turns.posted = true
		f.loop().Post(f.takeTurns)
	}
}

// takeTurns reads some of the connections that wait, in the order of their addresses' turns.
func (f *FrontEnd) takeTurns() {
	f.turns.posted = false
	for range connectionsPerTurn {
		token, found := f.turns.queue.Next()
		if !found {
			return
		}
		connection := f.connections.Get(token)
		if connection != nil && connection.reading.queued && !connection.closed {
			connection.reading.queued = false
			connection.read()
		}
	}
	f.freeMemory()
	if f.turns.queue.Len() > 0 {
		f.postTurns()
	}
}
