package transport

import "sync"

const (
	// wideWindow lets the last bytes of a peer through, which come in pieces,
	// before its end: nbio closes on that end at once, and what was not read by
	// then is lost.
	wideWindow = 8

	// narrowWindow hands over one buffer at a time, so that a handler that pauses
	// gets no more.
	narrowWindow = 1
)

// connGroup bounds the connections of one kind, as those of one listener or
// those that we dial. It is a counting semaphore whose limit can be changed. Its
// methods may be called from any goroutine.
type connGroup struct {
	mu        sync.Mutex
	cond      sync.Cond // signals that open fell, limit rose or closed was set
	open      int
	fullLimit int // the limit where this process has all descriptors
	limit     int // the limit now
	closed    bool

	window int   // buffers of one connection that may be in transit to its handler
	quota  Quota // beyond the limit; its functions may be nil
}

// newConnGroup returns a group of at most limit connections, at least one.
func newConnGroup(limit, window int) *connGroup {
	limit = max(limit, 1)
	g := &connGroup{fullLimit: limit, limit: limit, window: window}
	g.cond.L = &g.mu
	return g
}

// resize changes the limit to a share of the full one. Connections that are open
// above it stay.
func (g *connGroup) resize(share float64) {
	g.mu.Lock()
	g.limit = max(int(share*float64(g.fullLimit)), 1)
	g.mu.Unlock()
	g.cond.Broadcast()
}

// tryAcquire counts another connection if the limit and the quota allow it.
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

// acquire counts another connection as soon as the limit allows it, and returns
// false once the group is closed. It calls onFull, once, if it must wait.
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

// add counts a connection that was admitted by other means.
func (g *connGroup) add() {
	g.mu.Lock()
	g.open++
	g.mu.Unlock()
}

// release counts a connection as ended.
func (g *connGroup) release() {
	g.mu.Lock()
	g.open--
	g.mu.Unlock()
	if g.quota.Release != nil {
		g.quota.Release()
	}
	g.cond.Signal()
}

// openConnections returns how many connections are counted.
func (g *connGroup) openConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// close ends the wait of acquire.
func (g *connGroup) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cond.Broadcast()
}
