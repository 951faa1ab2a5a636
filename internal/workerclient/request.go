package workerclient

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// requestKind is the kind of request that a connection sends to its worker.
type requestKind uint8

const (
	attemptRequest requestKind = iota // the request of an attempt; also the value while there is no request
	healthCheck                       // a health check that the dispatcher asked for
	confirmation                      // a health check that must succeed before the attempt's request is sent
)

// outgoingRequest is the request that a connection is sending or has sent last.
type outgoingRequest struct {
	kind     requestKind
	sentAt   time.Duration // when the latest confirmation was sent
	end      int64         // write offset of the connection after the request's last byte
	lastByte lastByte
}

// isHealthCheck reports whether the request is a health check of either kind.
func (r *outgoingRequest) isHealthCheck() bool { return r.kind != attemptRequest }

// send sends the request of the connection's attempt, or its health check. If the registry requires a health check of
// the worker before a request, it sends that first.
func (c *connection) send() {
	now := c.client.loop().Now()
	if c.hasAttempt() && !c.permitSend(now) {
		c.release()
		return
	}
	if c.hasAttempt() && c.client.registry.Admit(c.worker, now) == discovery.NeedsHealthCheck {
		c.confirmHealth(now)
		return
	}
	c.write(now)
}

// write writes the health check or the attempt's request. The last byte of the latter may be held back.
func (c *connection) write(now time.Duration) {
	loop := c.client.loop()
	c.planLastByte(now)
	var out []byte
	if c.request.isHealthCheck() {
		loop.Set(&c.timer, now+c.healthCheckTimeout()) // set here, since a new connection's health check is sent from here too
		out = c.appendHealthCheck(c.client.requestBuffer[:0])
	} else {
		out = c.appendRequest(c.client.requestBuffer[:0])
	}
	c.client.requestBuffer = out
	c.traceWrite(now, len(out))
	c.state = stateAwaitingHead
	if !c.writeToSocket(out) {
		c.close()
		c.retryUnsent()
		return
	}
	switch {
	case c.request.lastByte.held:
		loop.Set(&c.timer, c.request.lastByte.due)
	case !c.request.isHealthCheck():
		c.setRetryDeadline()
	}
	c.reportSent()
}

// writeToSocket writes a request to the socket, without the last byte if that is held back. It returns false if the
// connection has failed.
func (c *connection) writeToSocket(out []byte) bool {
	limit := c.sendLimit()
	if !c.request.lastByte.held {
		written := c.conn.WriteBefore(out, limit)
		c.request.end = c.conn.WriteOffset()
		return written
	}
	last := len(out) - 1
	written := c.conn.WriteBefore(out[:last], limit)
	c.request.end = c.conn.WriteOffset() + 1
	c.request.lastByte.value = out[last]
	return written
}

// sendLimit returns the clock time at which no byte of the request may be sent any more.
func (c *connection) sendLimit() time.Duration {
	if c.request.isHealthCheck() {
		return math.MaxInt64
	}
	return c.attempt.Deadline
}

// traceWrite writes a trace step that a request of size bytes is written.
func (c *connection) traceWrite(now time.Duration, size int) {
	dispatcher := c.client.dispatcher
	if dispatcher.Trace == nil {
		return
	}
	dispatcher.TraceStep(c.correlationID(), "request written", "worker", c.worker.Name, "health_check", c.request.isHealthCheck(),
		"bytes", size, "reused", c.reused, "listed_for", now-c.worker.StateSince)
}

// appendRequest appends the request of the connection's attempt to out.
func (c *connection) appendRequest(out []byte) []byte {
	request := c.attempt.Request
	out = append(out, "POST "...)
	out = appendTarget(out, request, c.client.dispatcher.Settings.Classes[request.Class].Name)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, c.worker.Address...)
	out = append(out, "\r\nX-Correlation-Id: "...)
	out = append(out, request.ID...)
	if request.IdempotencyKey != "" {
		out = append(out, "\r\nIdempotency-Key: "...)
		out = append(out, request.IdempotencyKey...)
	}
	out = append(out, "\r\nX-Time-Left-Ms: "...)
	timeLeft := c.attempt.Deadline - c.request.lastByte.due
	out = strconv.AppendInt(out, max(timeLeft.Milliseconds(), 1), 10)
	out = append(out, "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(request.Body)), 10)
	out = append(out, "\r\n\r\n"...)
	return append(out, request.Body...)
}

// appendTarget appends a request's target: the client's target or, if the client's protocol has no targets, a path of
// the class and the key.
func appendTarget(out []byte, request *dispatch.Request, class string) []byte {
	if request.Target != "" {
		return append(out, request.Target...)
	}
	out = append(out, '/')
	out = append(out, class...)
	if request.Key == "" {
		return out
	}
	out = append(out, '/')
	return appendPathEscaped(out, request.Key)
}

// appendPathEscaped appends a path segment, with the bytes percent-encoded that cannot stand in a path segment.
func appendPathEscaped(out []byte, segment string) []byte {
	const hexDigits = "0123456789ABCDEF"
	for i := range len(segment) {
		char := segment[i]
		printable := char > ' ' && char < 0x7f
		if printable && bytes.IndexByte([]byte(`/?#%"<>`), char) < 0 {
			out = append(out, char)
		} else {
			out = append(out, '%', hexDigits[char>>4], hexDigits[char&15])
		}
	}
	return out
}

// setRetryDeadline sets the timer to the time by which a retry must have been sent completely, if the socket has not
// taken all of it. Without the timer, the rest would be sent whenever the worker's receive buffer has room.
func (c *connection) setRetryDeadline() {
	if c.hasAttempt() && c.attempt.RetryBy > 0 && !c.requestFlushed() {
		c.client.loop().Set(&c.timer, c.attempt.RetryBy)
	}
}

// requestFlushed reports whether the socket has taken all of the latest request.
func (c *connection) requestFlushed() bool { return c.conn.Flushed(c.request.end) }

// reportSent reports to the dispatcher that the attempt's request has been sent completely, if it has.
func (c *connection) reportSent() {
	if !c.hasAttempt() || c.request.kind == confirmation || c.request.lastByte.held {
		return
	}
	requestWritten := c.state == stateAwaitingHead || c.state == stateReadingBody
	if requestWritten && c.requestFlushed() {
		c.client.dispatcher.AttemptSentAt(c.handle, c.conn.SentAt())
	}
}
