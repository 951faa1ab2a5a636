package httpfront

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// The phases of a drain. The load balancer polls /healthz every 0.1 s, and opens new connections to this front end for
// another 0.2 s. After that, each connection is closed after its next response, because closing it between requests may
// lose a request that is on its way. Connections that stay idle are closed last.
const (
	drainNoticeTime  = 450 * time.Millisecond  // after the start, during which only the response of /healthz has changed
	drainIdleTime    = 1200 * time.Millisecond // after the start, before which idle connections are kept open
	drainSilentGrace = 300 * time.Millisecond  // from then on, how long a new connection may take to send its first byte
	drainInterval    = 50 * time.Millisecond   // between two scans for idle connections
)

// drainState is the progress of a drain.
type drainState struct {
	active    bool // the front end is out of service
	startedAt time.Duration
	timer     eventloop.Deadline // of the next call of continueDrain
}

// Drain takes the front end out of service: /healthz reports it immediately, and connections are closed over the next
// seconds. Requests that still arrive are served. It does nothing if the front end is already draining.
func (f *FrontEnd) Drain() {
	if f.drain.active {
		return
	}
	f.drain.active = true
	f.drain.startedAt = f.loop().Now()
	f.loop().Set(&f.drain.timer, f.drain.startedAt+drainNoticeTime)
}

// EndDrain puts the front end back into service immediately. It must not be called after HandOver or StopReading.
func (f *FrontEnd) EndDrain() {
	f.drain.active = false
	f.closeAfterResponse = false
	f.loop().Clear(&f.drain.timer)
}

// Draining reports whether the front end is out of service.
func (f *FrontEnd) Draining() bool { return f.drain.active }

// continueDrain makes connections close after their next responses, closes idle connections once drainIdleTime is over,
// and schedules its next call.
func (f *FrontEnd) continueDrain() {
	f.closeAfterResponse = true
	now := f.loop().Now()
	if now >= f.drain.startedAt+drainIdleTime {
		f.closeBetweenRequests(drainSilentGrace)
	}
	f.loop().Set(&f.drain.timer, now+drainInterval)
}

// closeBetweenRequests closes the connections that are between requests and have no unread bytes. It spares connections
// on which no byte has been received and that have been open for less than silentGrace.
func (f *FrontEnd) closeBetweenRequests(silentGrace time.Duration) {
	now := f.loop().Now()
	f.connections.ForEach(func(_ uint64, c *clientConnection) {
		isNew := !c.hasSent && now-c.conn.OpenedAt < silentGrace
		if c.betweenRequests() && !isNew && c.conn.AllRead() {
			c.closeGracefully()
		}
	})
}

// CloseIdle closes all connections that are between requests, and makes the others close after their next responses.
func (f *FrontEnd) CloseIdle() {
	f.closeAfterResponse = true
	f.closeBetweenRequests(0)
}

// BeginShutdown begins a planned restart: the front end continues to serve, but /healthz reports that it is not ready.
func (f *FrontEnd) BeginShutdown() { f.shuttingDown = true }

// HandOver stops accepting connections, because a successor process accepts them now, including those in the listener's
// backlog. Open connections are closed after their next responses; CloseIdle can later close those that stay idle.
func (f *FrontEnd) HandOver() {
	f.shuttingDown = true
	f.closeAfterResponse = true
	f.handedOver = true
	f.loop().Clear(&f.drain.timer)
	f.StopAccepting()
}

// StopReading is the irreversible step of a shutdown. From then on nothing is read from clients, so that no request
// that arrives later is forwarded. Requests that were read before are served, including those that the poller has read
// and the loop has not handled yet; incomplete ones are rejected. It does nothing if it has been called before.
func (f *FrontEnd) StopReading() { f.StopReadingAt(0) }

// StopReadingAt is like StopReading, but requests that arrived by the clock time due are served even if nobody has read
// them from their sockets yet. The time may have passed, if the loop was blocked when it was due.
func (f *FrontEnd) StopReadingAt(due time.Duration) {
	if f.readingStopped {
		return
	}
	f.shuttingDown = true
	f.closeAfterResponse = true
	f.readingStopped = true
	f.readUntil = due
	f.loop().Clear(&f.drain.timer)
	f.StopAccepting()
	f.connections.ForEach(func(_ uint64, c *clientConnection) { c.conn.Pause() })
	f.loop().Post(func() { // runs after the loop has handled all input that was already read
		f.connections.ForEach(func(_ uint64, c *clientConnection) { c.finishReading() })
	})
}

// finishReading closes a connection from which nothing more is read. If a response is pending, the connection is closed
// after it instead.
func (c *clientConnection) finishReading() {
	if !c.closed && !c.response.pending {
		c.conn.DeliverUnread(c.frontEnd.readUntil)
	}
	if c.reading.queued && !c.awaitsProxyHeader { // received input still waits in the fair-reading queue
		c.reading.queued = false
		c.read()
	}
	switch {
	case c.closed:
	case c.response.pending:
		c.closeAfterResponse = true
		c.conn.Resume() // only to notice the client's close
	case !c.input.empty() && !c.awaitsProxyHeader:
		c.reject(errShuttingDown)
	default:
		c.closeGracefully()
	}
}
