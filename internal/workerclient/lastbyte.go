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

// planLastByte decides whether the last byte of the request is held back, and when it is to be sent.
func (c *connection) planLastByte(now time.Duration) {
	c.lastByteHeld = !c.healthCheck && now < c.client.holdLastByteUntil
	c.lastByteDue = now
	if c.lastByteHeld {
		c.lastByteDue += c.client.lastByteDelay
	}
}

// sendLastByte sends the held last byte of a request, unless the attempt is over or the byte is too late.
func (c *connection) sendLastByte() {
	c.lastByteHeld = false
	now := c.client.loop().Now()
	if !c.permitSend(now) {
		c.close()
		return
	}
	if c.client.dispatcher.ClientGone(c.handle) { // the dispatcher has cancelled the attempt
		return
	}
	tooLate := now-c.lastByteDue > maxLastByteLateness
	if tooLate || !c.conn.Write([]byte{c.lastByte}) {
		c.close()
		c.retryUnsent()
		return
	}
	c.setRetryDeadline()
	c.reportSent()
}
