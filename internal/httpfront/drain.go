package httpfront

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// The steps of a drain. The load balancer polls /healthz every 0.1 s and opens new connections here for 0.2 s more.
// After that, connections end with their next responses, since a close between requests may cross one. Those that go
// on being idle are closed last.
const (
	drainNoticeTime = 450 * time.Millisecond  // from its start on, only /healthz has changed
	drainIdleTime   = 1200 * time.Millisecond // from its start on, connections may be idle
	drainSilentTime = 300 * time.Millisecond  // after that, for the first byte of a connection that is opened late
	drainInterval   = 50 * time.Millisecond   // between looks for idle connections
)

// drainState is how far a drain is.
type drainState struct {
	active    bool // the front end is out of service
	startedAt time.Duration
	timer     eventloop.Deadline // the next step
}

// Drain takes the front end out of service: /healthz says so at once, and connections end soon. Requests that come all
// the same are served. It does nothing if the front end is draining already.
func (f *FrontEnd) Drain() {
	if f.drain.active {
		return
	}
	f.drain.active = true
	f.drain.startedAt = f.loop().Now()
	f.loop().Set(&f.drain.timer, f.drain.startedAt+drainNoticeTime)
}

// EndDrain brings the front end back into service at once. It must not be called after HandOver or StopReading.
func (f *FrontEnd) EndDrain() {
	f.drain.active = false
	f.closeAfterResponse = false
	f.loop().Clear(&f.drain.timer)
}

// Draining reports whether the front end is out of service.
func (f *FrontEnd) Draining() bool { return f.drain.active }

// continueDrain takes the next step of a drain.
func (f *FrontEnd) continueDrain() {
	f.closeAfterResponse = true
	now := f.loop().Now()
	if now >= f.drain.startedAt+drainIdleTime {
		f.closeBetweenRequests(drainSilentTime)
	}
	f.loop().Set(&f.drain.timer, now+drainInterval)
}

// closeBetweenRequests closes the connections between requests of which nothing is unread, but for those on which
// nothing has come and that have been open for less than silentTime.
func (f *FrontEnd) closeBetweenRequests(silentTime time.Duration) {
	now := f.loop().Now()
	f.connections.ForEach(func(_ uint64, c *clientConnection) {
		mayBeNew := !c.hasSent && now-c.conn.Opened < silentTime
		if c.betweenRequests() && !mayBeNew && c.conn.AllRead() {
			c.closeGracefully()
		}
	})
}

// CloseIdle closes all connections between requests, and makes the others end with their next responses.
func (f *FrontEnd) CloseIdle() {
	f.closeAfterResponse = true
	f.closeBetweenRequests(0)
}

// BeginShutdown begins a planned restart: the front end continues to serve, but /healthz no longer says that it is
// ready.
func (f *FrontEnd) BeginShutdown() { f.shuttingDown = true }

// HandOver stops accepting, since a successor does: connections in the backlog wait for that. Connections end with
// their next responses; those that stay idle can be closed by CloseIdle later.
func (f *FrontEnd) HandOver() {
	f.shuttingDown = true
	f.closeAfterResponse = true
	f.handedOver = true
	f.loop().Clear(&f.drain.timer)
	f.StopAccepting()
}

// StopReading is the point of no return of a shutdown. Nothing is read from clients after it, so that no request is
// forwarded that comes later. Requests that were read before are served, also those that the poller has read and the
// loop has not handled yet; incomplete ones are rejected. It does nothing if it has been called before.
func (f *FrontEnd) StopReading() {
	if f.readingStopped {
		return
	}
	f.shuttingDown = true
	f.closeAfterResponse = true
	f.readingStopped = true
	f.loop().Clear(&f.drain.timer)
	f.StopAccepting()
	f.connections.ForEach(func(_ uint64, c *clientConnection) { c.conn.Pause() })
	f.loop().Post(func() { // behind all that was read
		f.connections.ForEach(func(_ uint64, c *clientConnection) { c.finishReading() })
	})
}

// finishReading ends a connection of which nothing more is read, or makes it end with its response.
func (c *clientConnection) finishReading() {
	if c.reading.queued && !c.awaitsProxyHeader { // its turn has not come
		c.reading.queued = false
		c.read()
	}
	switch {
	case c.closed:
	case c.response.pending:
		c.closeAfterResponse = true
		c.conn.Resume() // only to notice the client's close
	case !c.input.empty() && !c.awaitsProxyHeader:
		c.reject(errEnding)
	default:
		c.closeGracefully()
	}
}
