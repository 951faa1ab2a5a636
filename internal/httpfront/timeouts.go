package httpfront

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

const (
	// firstRequestTimeout is how long after the accept a connection's first request must be complete, if its first byte
	// has come.
	firstRequestTimeout = 2800 * time.Millisecond
	// requestTimeout is how long after its first byte a request must be complete, however its bytes trickle in.
	requestTimeout = 2 * time.Second
	// lateRequestTimeout is the least that a connection's first request has from its first byte on, if the client was
	// silent before.
	lateRequestTimeout = time.Second
	// unreadGrace is how long a connection stays beyond its idle timeout if a request is in the socket's buffer.
	unreadGrace = time.Second
	// minRateInterval is the least time between two checks of a request's rate.
	minRateInterval = time.Millisecond

	// idleTimeout is how long a connection may be idle that is new or proven.
	idleTimeout = 5 * time.Minute
	// unprovenIdleTimeout is how long another connection may be idle.
	unprovenIdleTimeout = 5 * time.Second

	// floodCheckInterval is the time between checks whether a client sends more than fits into its buffers.
	floodCheckInterval = 50 * time.Millisecond
	// maxDiscardedBytes is how much input is discarded to find the client's close behind it.
	maxDiscardedBytes = 8 << 20
)

// stallWatch finds out whether a client reads its responses.
type stallWatch struct {
	timer      eventloop.Deadline
	sentBefore int64 // bytes that had been sent when the timer was set
}

// becomeIdle sets how long the connection may stay idle, after a response.
func (c *clientConnection) becomeIdle(served bool) {
	frontEnd := c.frontEnd
	c.proven = c.proven || served
	timeout := unprovenIdleTimeout
	if c.proven {
		timeout = idleTimeout
	}
	now := frontEnd.loop().Now()
	frontEnd.gate.Limiter.BecameIdle(now, c.limiterID, served)
	frontEnd.loop().Set(&c.timer, now+timeout)
}

// startRequest is called at the first byte of a request, and sets when the request must be complete.
func (c *clientConnection) startRequest() {
	frontEnd := c.frontEnd
	now := frontEnd.loop().Now()
	c.incoming.startedAt = frontEnd.loop().QueuedSince()
	c.incoming.deadline = now + requestTimeout
	if !c.hasSent {
		c.hasSent = true
		firstDeadline := max(c.conn.Opened+firstRequestTimeout, now+lateRequestTimeout)
		c.incoming.deadline = min(c.incoming.deadline, firstDeadline)
	}
	checkAt := c.incoming.deadline
	tooSlow, nextCheck := frontEnd.gate.Limiter.TooSlow(now, now, 0)
	if !tooSlow && nextCheck > 0 {
		checkAt = min(checkAt, nextCheck)
	}
	frontEnd.loop().Set(&c.timer, checkAt)
	reason := frontEnd.gate.Limiter.RequestStarted(now, c.limiterID)
	if reason != connlimit.Allowed {
		c.incoming.capExceeded = reason
	}
}

// onTimer is called when the connection has been idle for long enough, or a request is to be checked.
func (c *clientConnection) onTimer() {
	loop := c.frontEnd.loop()
	switch {
	case c.response.pending:
	case !c.input.empty():
		c.checkIncomplete()
	case !c.conn.AllRead(): // a request has come, though it has not been read
		loop.Set(&c.timer, loop.Now()+unreadGrace)
	default:
		c.closeGracefully()
	}
}

// checkIncomplete rejects a request that has not come in time, or comes more slowly than the least rate.
func (c *clientConnection) checkIncomplete() {
	frontEnd := c.frontEnd
	now := frontEnd.loop().Now()
	if now < c.incoming.deadline {
		tooSlow, nextCheck := frontEnd.gate.Limiter.TooSlow(now, c.incoming.startedAt, len(c.input.bytes()))
		if !tooSlow {
			frontEnd.loop().Set(&c.timer, min(c.incoming.deadline, max(nextCheck, now+minRateInterval)))
			return
		}
		c.reportAbuse(connlimit.Slow)
	}
	c.reject(errSlow)
}

// checkFlood checks whether the client of a paused connection has sent more than fits into its buffers. The client's
// close would not be noticed behind bytes that nobody reads, and its request would be forwarded for nobody. So the rest
// is discarded, and the connection ends with its response.
func (c *clientConnection) checkFlood() {
	loop := c.frontEnd.loop()
	switch {
	case c.closed || !c.reading.paused:
	case !c.response.pending || c.conn.AllRead():
		loop.Set(&c.reading.floodTimer, loop.Now()+floodCheckInterval)
	default:
		c.closeAfterResponse = true
		c.input.free()
		c.conn.Discard(maxDiscardedBytes)
	}
}

// watchStall sets the timer that checks whether the client reads its responses.
func (c *clientConnection) watchStall() {
	timeout := c.frontEnd.gate.WriteStall()
	if timeout > 0 && c.conn.UnsentBytes() > 0 {
		loop := c.frontEnd.loop()
		c.stall.sentBefore = c.conn.SentBytes()
		loop.Set(&c.stall.timer, loop.Now()+timeout)
	}
}

// checkStall closes the connection if the client has read nothing since the timer was set, unless a response is pending.
func (c *clientConnection) checkStall() {
	switch {
	case c.closed || c.conn.UnsentBytes() == 0:
	case c.response.pending || c.conn.SentBytes() > c.stall.sentBefore:
		c.watchStall()
	default:
		c.reportAbuse(connlimit.Stalled)
		c.closeNow()
	}
}
