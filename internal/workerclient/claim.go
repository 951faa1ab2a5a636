package workerclient

import "hollyyoke.example/hollyyoke/internal/invariant"

// claimNeverSent reports to the dispatcher the claim that the connection's attempt was never sent, together with the
// state of the connection as evidence for it. It does nothing if the connection carries no attempt.
func (c *connection) claimNeverSent(kind invariant.ClaimKind) {
	if !c.hasAttempt() {
		return
	}
	evidence := invariant.Evidence{
		Connection:  c.state.String(),
		RequestKind: c.describeRequest(),
		RequestEnd:  c.request.end,
	}
	if c.conn != nil {
		evidence.LocalPort = c.conn.LocalPort()
		evidence.Written = c.conn.WriteOffset()
		evidence.Flushed = c.conn.SentBytes()
	}
	c.client.dispatcher.ClaimNeverSent(c.handle, kind, evidence)
}

// describeRequest describes the connection's latest request, for the evidence of a claim.
func (c *connection) describeRequest() string {
	switch {
	case c.request.kind == confirmation:
		return "the health check before the attempt"
	case c.request.lastByte.held:
		return "a request but for its last byte"
	}
	return "a request"
}
