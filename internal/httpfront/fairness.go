package httpfront

// connectionsPerTurn is how many connections are read in a row, one of each address, before the loop continues.
const connectionsPerTurn = 8

// queueForTurn makes a connection's input wait for its address's turn, so that an address with a thousand connections
// gets no more turns than one with a single connection.
func (f *FrontEnd) queueForTurn(c *clientConnection) {
	if !c.queued {
		c.queued = true
		f.turns.Add(c.peer, c.token)
	}
	f.postTurns()
}

// postTurns posts takeTurns to the loop, unless it is there already.
func (f *FrontEnd) postTurns() {
	if !f.turnPosted {
		f.turnPosted = true
		f.loop().Post(f.takeTurns)
	}
}

// takeTurns reads some of the connections that wait, in the order of their addresses' turns.
func (f *FrontEnd) takeTurns() {
	f.turnPosted = false
	for range connectionsPerTurn {
		token, found := f.turns.Next()
		if !found {
			return
		}
		connection := f.connections.Get(token)
		if connection != nil && connection.queued && !connection.closed {
			connection.queued = false
			connection.read()
		}
	}
	f.freeMemory()
	if f.turns.Len() > 0 {
		f.postTurns()
	}
}
