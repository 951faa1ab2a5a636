package workerclient

import (
	"bytes"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// requestKind is what a connection sends to its worker.
type requestKind uint8

const (
	noHealthCheck requestKind = iota // the request of an attempt, or nothing
	healthCheck                      // a health check that the dispatcher asked for
	confirmation                     // a health check that precedes the attempt's request, which is sent once it has succeeded
)

// outgoingRequest is the request that a connection sends, or has sent last.
type outgoingRequest struct {
	kind     requestKind
	sentAt   time.Duration // of a confirmation
	end      int64         // write offset behind its last byte
	lastByte lastByte
}

// isHealthCheck reports whether the request is a health check, of whichever kind.
func (r *outgoingRequest) isHealthCheck() bool { return r.kind != noHealthCheck }

// send sends the request of the connection's attempt, or its health check. Where the worker must first show that it
// serves, it sends a health check before the attempt's request.
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

// write writes the health check or the attempt's request, of which the last byte may be held back.
func (c *connection) write(now time.Duration) {
	loop := c.client.loop()
	c.planLastByte(now)
	var out []byte
	if c.request.isHealthCheck() {
		loop.Set(&c.timer, now+c.healthCheckTimeout()) // here, so that it holds on a new connection too
		out = c.appendHealthCheck(c.client.out[:0])
	} else {
		out = c.appendRequest(c.client.out[:0])
	}
	c.client.out = out
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

// writeToSocket hands a request to the socket, but for a last byte that is held back. It returns false if the
// connection is broken.
func (c *connection) writeToSocket(out []byte) bool {
	if !c.request.lastByte.held {
		written := c.conn.Write(out)
		c.request.end = c.conn.WriteOffset()
		return written
	}
	last := len(out) - 1
	written := c.conn.Write(out[:last])
	c.request.end = c.conn.WriteOffset() + 1
	c.request.lastByte.value = out[last]
	return written
}

// traceWrite traces that a request is written.
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

// appendTarget appends a request's target: the one that its client gave or, where the client's protocol has none, one
// made of the class and the key.
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

// appendPathEscaped appends a path segment, percent-encoded where a path needs it.
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

// setRetryDeadline sets the timer by which a retry must have left entirely, if the socket has not taken all of it: the
// rest would leave whenever the worker makes room.
func (c *connection) setRetryDeadline() {
	if c.hasAttempt() && c.attempt.RetryBy > 0 && !c.requestFlushed() {
		c.client.loop().Set(&c.timer, c.attempt.RetryBy)
	}
}

// requestFlushed reports whether the socket has taken all of the latest request.
func (c *connection) requestFlushed() bool { return c.conn.Flushed(c.request.end) }

// reportSent reports that the last byte of the attempt's request has left, if it has.
func (c *connection) reportSent() {
	if !c.hasAttempt() || c.request.kind == confirmation || c.request.lastByte.held {
		return
	}
	onTheWay := c.state == stateAwaitingHead || c.state == stateReadingBody
	if onTheWay && c.requestFlushed() {
		c.client.dispatcher.AttemptSent(c.handle)
	}
}
