package httpfront

import "hollyyoke.example/hollyyoke/internal/connlimit"

// connectionsPerTurn is how many connections, in round-robin order of their addresses, are read before the event loop
// handles other events.
const connectionsPerTurn = 8

// turnState is the state of fair reading, in which the input of connections is read in round-robin order of the
// clients' addresses.
type turnState struct {
	queue   connlimit.RoundRobin // connections with unhandled input, by client address
	posted  bool                 // takeTurns is in the loop's queue
	reading uint64               // token of the connection that is being read, 0 if none is
}

// queueForTurn queues a connection's input until it is the turn of the client's address, so that an address with a
// thousand connections gets no more turns than an address with one.
func (f *FrontEnd) queueForTurn(c *clientConnection) {
	if !c.reading.queued {
		c.reading.queued = true
		f.turns.queue.Add(c.peer, c.token)
	}
	f.postTurns()
}

// postTurns posts takeTurns to the loop, unless it is already posted.
func (f *FrontEnd) postTurns() {
	if !f.turns.posted {
		f.turns.posted = true
		f.loop().Post(f.takeTurns)
	}
}

// takeTurns reads up to connectionsPerTurn queued connections, in round-robin order of their addresses.
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
