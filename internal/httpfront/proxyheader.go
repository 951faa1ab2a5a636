package httpfront

import (
	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// takeProxyHeader reads the PROXY header of a trusted proxy, which states the client's address.
func (c *clientConnection) takeProxyHeader(b *transport.Buffer) {
	f := c.frontEnd
	if c.input == nil {
		c.input = b
	} else {
		fits := c.input.Append(b.Bytes())
		f.engine.Pool.Put(b)
		if !fits {
			c.closeNow()
			return
		}
	}
	addr, used, err := listener.ParseProxyHeader(c.input.Bytes())
	if err != nil {
		f.gate.Limiter.CountReason(connlimit.BadHeader)
		f.gate.LogRejection(connlimit.BadHeader, c.peer)
		c.closeNow()
		return
	}
	if used == 0 { // it is incomplete
		f.loop().Set(&c.timer, c.conn.Opened+firstRequestTimeout)
		return
	}
	c.awaitsProxyHeader = false
	if addr.IsValid() {
		reason := f.gate.Limiter.Identify(f.loop().Now(), c.limiterID, addr)
		if reason != connlimit.Allowed {
			f.gate.LogRejection(reason, addr)
			c.closeNow()
			return
		}
		c.peer = addr
	}
	rest := c.input
	c.input = nil
	rest.Consume(used)
	if len(rest.Bytes()) == 0 {
		f.engine.Pool.Put(rest)
		return
	}
	c.OnData(c.conn, rest)
}
