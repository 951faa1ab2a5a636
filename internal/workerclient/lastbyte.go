package workerclient

import "time"

// A connection that its worker has closed, or closes on a request, usually shows it at once. A request that breaks off
// before its last byte has not run, so it can be sent elsewhere, even if it is not idempotent. Therefore the last byte
// is held back for a moment. Since that costs time, it is done only for a while after a worker has closed a connection
// unexpectedly.
const (
	defaultLastByteDelay = 2 * time.Millisecond
	holdLastBytePeriod   = 10 * time.Second // after a connection was closed unexpectedly

	// maxLastByteLateness is how late the held last byte may leave, since the head has stated how much time is left.
	// Beyond it, the request is sent anew.
	maxLastByteLateness = 50 * time.Millisecond
)

// lastByte is the last byte of the request, if it is held back.
type lastByte struct {
	held  bool // it has not been sent yet
	value byte
	due   time.Duration // when it is to be sent; the time left that the request states counts from here
}

// planLastByte decides whether the last byte of the request is held back, and when it is to be sent.
func (c *connection) planLastByte(now time.Duration) {
	c.request.lastByte = lastByte{held: !c.request.isHealthCheck() && now < c.client.holdLastByteUntil, due: now}
	if c.request.lastByte.held {
		c.request.lastByte.due += c.client.lastByteDelay
	}
}

// sendLastByte sends the held last byte of a request, unless the attempt is over or the byte is too late.
func (c *connection) sendLastByte() {
	c.request.lastByte.held = false
	now := c.client.loop().Now()
	if !c.permitSend(now) {
		c.close()
		return
	}
	if c.client.dispatcher.ClientGone(c.handle) { // the dispatcher has cancelled the attempt
		return
	}
	tooLate := now-c.request.lastByte.due > maxLastByteLateness
	if tooLate || !c.conn.Write([]byte{c.request.lastByte.value}) {
		c.close()
		c.retryUnsent()
		return
	}
	c.setRetryDeadline()
	c.reportSent()
}
