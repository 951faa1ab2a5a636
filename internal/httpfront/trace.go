package httpfront

// stepConnectionClosed is the name of the trace step for the end of a client's connection.
const stepConnectionClosed = "client connection closed"

// traceClose reports the end of the connection to the trace: who closes it, how long it was open, what was read and what is
// left unread, and how far a shutdown has come. It must be called before the connection is released.
func (c *clientConnection) traceClose(by string) {
	frontEnd := c.frontEnd
	if frontEnd.dispatcher.Trace == nil || c.closed {
		return
	}
	buffered := 0
	if !c.input.empty() {
		buffered = len(c.input.bytes())
	}
	frontEnd.dispatcher.TraceStep("", stepConnectionClosed,
		"port", c.conn.PeerPort(), "by", by, "open_for", frontEnd.loop().Now()-c.conn.OpenedAt, "has_sent", c.hasSent,
		"buffered_bytes", buffered, "all_read", c.conn.AllRead(), "response_pending", c.response.pending,
		"last_response", c.closeAfterResponse, "accepting", frontEnd.Accepting(), "reading_stopped", frontEnd.readingStopped)
}
