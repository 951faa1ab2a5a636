package workerclient

import "time"

// If a worker has closed a connection, or closes it when a request arrives, this is usually detected immediately after
// the request is sent. A request of which the last byte was not sent has not run, so it can be sent on another
// connection, even if it is not idempotent. Therefore the last byte is held back for a short time. Since this adds
// latency, it is done only for a period after a worker has closed a connection unexpectedly.
const (
	defaultLastByteDelay = 2 * time.Millisecond
	holdLastBytePeriod   = 10 * time.Second // counted from the latest unexpected close of a connection

	// maxLastByteLateness is how late the held last byte may be sent. The head of the request has stated the time left,
	// which is wrong if the last byte is sent later. Beyond this limit the request is resent on another connection.
	maxLastByteLateness = 50 * time.Millisecond
)

// lastByte is the last byte of the request, if it is held back.
type lastByte struct {
	held  bool // the byte has not been sent yet
	value byte
	due   time.Duration // when the byte is to be sent, and from when the request's X-Time-Left-Ms is counted
}

// planLastByte decides whether the last byte of the request is held back, and when it is to be sent.
func (c *connection) planLastByte(now time.Duration) {
	c.request.lastByte = lastByte{held: !c.request.isHealthCheck() && now < c.client.holdLastByteUntil, due: now}
	if c.request.lastByte.held {
		c.request.lastByte.due += c.client.lastByteDelay
	}
}

// sendLastByte sends the held last byte of a request, unless the attempt has ended or the byte is too late.
func (c *connection) sendLastByte() {
	c.request.lastByte.held = false
	now := c.client.loop().Now()
	if !c.permitSend(now) {
		c.close()
		return
	}
	if c.client.dispatcher.ClientDisconnected(c.handle) { // the dispatcher has cancelled the attempt
		return
	}
	tooLate := now-c.request.lastByte.due > maxLastByteLateness
	if tooLate || !c.conn.WriteBefore([]byte{c.request.lastByte.value}, c.sendLimit()) {
		c.close()
		c.retryUnsent()
		return
	}
	c.setRetryDeadline()
	c.reportSent()
}
