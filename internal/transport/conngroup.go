package transport

import "sync"

const (
	// multiBufferWindow allows the last bytes of a peer, which may arrive in several pieces,
	// to be read before its end: nbio closes the connection at once when it sees the
	// end, and bytes that have not been read by then are lost.
	multiBufferWindow = 8

	// singleBufferWindow allows one buffer in transit, so that a handler that has paused the
	// connection gets no more.
	singleBufferWindow = 1
)

// connGroup bounds the number of connections of one kind, such as those of one
// listener or the dialed ones. It is a counting semaphore whose limit can be changed.
// Its methods may be called from any goroutine.
type connGroup struct {
	mu        sync.Mutex
	cond      sync.Cond // signals that open has decreased, limit has increased or closed was set
	open      int       // number of connections that are counted
	fullLimit int       // the limit if this process has all descriptors
	limit     int       // the present limit
	closed    bool

	datesInput bool // the buffers of its connections tell when their contents arrived

	window int   // maximum number of buffers of one connection that may be in transit to its handler
	quota  Quota // applies in addition to the limit; its functions may be nil
}

// newConnGroup returns a group with the given limit, which is at least one.
func newConnGroup(limit, window int) *connGroup {
	limit = max(limit, 1)
	g := &connGroup{fullLimit: limit, limit: limit, window: window}
	g.cond.L = &g.mu
	return g
}

// resize changes the limit to a share of the full limit. Connections that are already
// open stay open, even above the new limit.
func (g *connGroup) resize(share float64) {
	g.mu.Lock()
	g.limit = max(int(share*float64(g.fullLimit)), 1)
	g.mu.Unlock()
	g.cond.Broadcast()
}

// tryAcquire counts another connection if the limit and the quota allow it, and
// reports whether it has done so.
func (g *connGroup) tryAcquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= g.limit {
		return false
	}
	if g.quota.Acquire != nil && !g.quota.Acquire() {
		return false
	}
	g.open++
	return true
}

// acquire waits until the limit allows another connection, counts it and returns true.
// It returns false if the group is closed while it waits. If it must wait, it calls
// onFull once.
func (g *connGroup) acquire(onFull func()) bool {
	if g.tryAcquire() {
		return true
	}
	onFull()
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.open >= g.limit && !g.closed {
		g.cond.Wait()
	}
	if g.closed {
		return false
	}
	g.open++
	return true
}

// add counts a connection without checking the limit, since an Admission has admitted
// it.
func (g *connGroup) add() {
	g.mu.Lock()
	g.open++
	g.mu.Unlock()
}

// release ends the count of a connection, which has ended or was not opened.
func (g *connGroup) release() {
	g.mu.Lock()
	g.open--
	g.mu.Unlock()
	if g.quota.Release != nil {
		g.quota.Release()
	}
	g.cond.Signal()
}

// openConnections returns the number of connections that are counted.
func (g *connGroup) openConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// close makes a waiting acquire return false.
func (g *connGroup) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cond.Broadcast()
}
