package workerclient

import "hollyyoke.example/hollyyoke/internal/invariant"

// claimNeverSent records what the claim rests on that the connection's attempt was never sent.
func (c *connection) claimNeverSent(kind invariant.ClaimKind) {
	if !c.hasAttempt() {
		return
	}
	evidence := invariant.Evidence{
		Connection: c.state.String(),
		Sending:    c.sending(),
		RequestEnd: c.request.end,
	}
	if c.conn != nil {
		evidence.LocalPort = c.conn.LocalPort()
		evidence.Written = c.conn.WriteOffset()
		evidence.Flushed = c.conn.SentBytes()
	}
	c.client.dispatcher.ClaimNeverSent(c.handle, kind, evidence)
}

// sending names what the latest request of the connection is.
func (c *connection) sending() string {
	switch {
	case c.request.kind == confirmation:
		return "the health check before the attempt"
	case c.request.lastByte.held:
		return "a request but for its last byte"
	}
	return "a request"
}
