package httpfront

import (
	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// readProxyHeader reads the PROXY header that a trusted proxy sends first on a connection, and which states the
// client's address. The bytes after the header are handled as the client's input.
func (c *clientConnection) readProxyHeader(b *transport.Buffer) {
	frontEnd := c.frontEnd
	if !c.input.addContiguous(b) {
		c.closeNow()
		return
	}
	header, err := listener.ParseProxyHeader(c.input.bytes())
	if err != nil {
		frontEnd.gate.Limiter.CountReason(connlimit.BadHeader)
		frontEnd.gate.LogRejection(connlimit.BadHeader, c.peer)
		c.closeNow()
		return
	}
	if !header.Complete() {
		frontEnd.loop().Set(&c.timer, c.conn.OpenedAt+firstRequestTimeout)
		return
	}
	c.awaitsProxyHeader = false
	if header.Client.IsValid() {
		reason := frontEnd.gate.Limiter.Identify(frontEnd.loop().Now(), c.limiterID, header.Client)
		if reason != connlimit.Allowed {
			frontEnd.gate.LogRejection(reason, header.Client)
			c.closeNow()
			return
		}
		c.peer = header.Client
	}
	rest := c.input.detachAll()
	rest.Consume(header.Length)
	if len(rest.Bytes()) == 0 {
		frontEnd.engine.Pool.Put(rest)
		return
	}
	c.OnData(c.conn, rest)
}
