package httpfront

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const (
	// firstRequestTimeout is how long after the accept the first request of a connection must be complete, once its
	// first byte has arrived.
	firstRequestTimeout = 2800 * time.Millisecond
	// requestTimeout is how long after its first byte a request must be complete, even if its bytes keep arriving
	// slowly.
	requestTimeout = 2 * time.Second
	// lateRequestTimeout is the minimum time that the first request of a connection has after its first byte, if the
	// client sent nothing for a while after it had connected.
	lateRequestTimeout = time.Second
	// unreadGrace is how long a connection stays open beyond its idle timeout if its socket buffer holds unread bytes.
	unreadGrace = time.Second
	// minRateInterval is the minimum time between two checks of the rate at which a request arrives.
	minRateInterval = time.Millisecond

	// idleTimeout is how long a new connection, or a proven one, may be idle.
	idleTimeout = 5 * time.Minute
	// unprovenIdleTimeout is how long a connection may be idle if it has sent requests, but no worker has served any
	// of them.
	unprovenIdleTimeout = 5 * time.Second

	// floodCheckInterval is the time between two checks whether a client sends more than fits into its buffers.
	floodCheckInterval = 50 * time.Millisecond
)

// stallWatch detects clients that do not read their responses.
type stallWatch struct {
	timer      eventloop.Deadline
	sentBefore int64 // number of bytes that had been sent when the timer was set
}

// becomeIdle marks the connection as idle after a response, and sets its idle timeout.
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

// startRequest is called when the first byte of a request is read, with the clock time at which the kernel had received
// it, or 0 if that is not known. It sets the time by which the request must be complete.
func (c *clientConnection) startRequest(arrivedAt time.Duration) {
	frontEnd := c.frontEnd
	now := frontEnd.loop().Now()
	c.incoming.startedAt = now
	c.incoming.arrivedAt = frontEnd.dispatcher.ArrivalOf(arrivedAt)
	c.incoming.deadline = now + requestTimeout
	if !c.hasSent {
		c.hasSent = true
		firstDeadline := max(c.conn.OpenedAt+firstRequestTimeout, now+lateRequestTimeout)
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
		c.incoming.limitExceeded = reason
	}
}

// onTimer is called when the connection's idle timeout is over, or when an incomplete request is to be checked.
func (c *clientConnection) onTimer() {
	loop := c.frontEnd.loop()
	switch {
	case c.response.pending:
	case !c.input.empty():
		c.checkIncomplete()
	case !c.conn.AllRead(): // a request has arrived, but has not been read yet
		loop.Set(&c.timer, loop.Now()+unreadGrace)
	default:
		c.closeGracefully()
	}
}

// checkIncomplete rejects a request that is not complete in time, or arrives more slowly than the minimum rate.
func (c *clientConnection) checkIncomplete() {
	frontEnd := c.frontEnd
	now := frontEnd.loop().Now()
	if now < c.incoming.deadline {
		tooSlow, nextCheck := frontEnd.gate.Limiter.TooSlow(now, c.incoming.startedAt, len(c.input.bytes()))
		if !tooSlow {
			frontEnd.loop().Set(&c.timer, min(c.incoming.deadline, max(nextCheck, now+minRateInterval)))
			return
		}
		c.reportAbuse(connlimit.SlowRequest)
	}
	c.reject(errRequestTimeout)
}

// checkFlood checks whether the client of a paused connection has sent more than fits into its buffers. The client's
// close cannot be detected while there are unread bytes before it, so its request would be forwarded although nobody
// waits for the response. Therefore the bytes are discarded, and the connection is closed after the pending response.
func (c *clientConnection) checkFlood() {
	loop := c.frontEnd.loop()
	switch {
	case c.closed || !c.reading.paused:
	case !c.response.pending || c.conn.AllRead():
		loop.Set(&c.reading.floodTimer, loop.Now()+floodCheckInterval)
	default:
		c.closeAfterResponse = true
		c.input.free()
		c.conn.Discard(transport.MaxDiscardedBytes)
	}
}

// watchStall sets the timer of checkStall if responses wait to be sent.
func (c *clientConnection) watchStall() {
	timeout := c.frontEnd.gate.WriteStall()
	if timeout > 0 && c.conn.UnsentBytes() > 0 {
		loop := c.frontEnd.loop()
		c.stall.sentBefore = c.conn.SentBytes()
		loop.Set(&c.stall.timer, loop.Now()+timeout)
	}
}

// checkStall closes the connection if no byte has been sent since the timer was set, because the client does not read,
// unless a response is pending.
func (c *clientConnection) checkStall() {
	switch {
	case c.closed || c.conn.UnsentBytes() == 0:
	case c.response.pending || c.conn.SentBytes() > c.stall.sentBefore:
		c.watchStall()
	default:
		c.reportAbuse(connlimit.ResponsesUnread)
		c.closeNow()
	}
}
