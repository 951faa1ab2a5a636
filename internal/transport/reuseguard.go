package transport

import "sync"

// reuseGuard keeps the poller from taking an event of an ended connection for one of a new connection.
//
// nbio's poller gets many events at once, and looks up the connection of each by its descriptor when it handles the event.
// When the poller itself closes a connection, it has no other event of that descriptor. When another goroutine does, it
// may have one, and the descriptor may belong to a new connection by the time it handles it. The guard therefore delays
// the registration of such a descriptor until the poller has handled the events that it had.
type reuseGuard struct {
	barrier *pollerBarrier

	mu     sync.Mutex
	closed map[int]bool // descriptors that another goroutine than the poller's has closed, and that were not registered since
}

// beforeClose must be called before another goroutine than the poller's closes a descriptor, or may close it.
func (g *reuseGuard) beforeClose(fd int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = map[int]bool{}
	}
	g.closed[fd] = true
}

// notClosed must be called if a descriptor was not closed after a call of beforeClose.
func (g *reuseGuard) notClosed(fd int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.closed, fd)
}

// beforeRegister must be called before a descriptor is registered with the poller. It waits while the poller may have an
// event of an earlier connection with the same descriptor. It must not be called on the goroutine of the poller or the loop.
func (g *reuseGuard) beforeRegister(fd int) {
	g.mu.Lock()
	mayHaveEvent := g.closed[fd]
	delete(g.closed, fd)
	g.mu.Unlock()
	if mayHaveEvent {
		g.barrier.await()
	}
}
