package listener

import (
	"net"
	"net/netip"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const (
	maxWaiting        = 32                   // maximum number of trusted connections in WaitForCapacity
	evictionInterval  = 2 * time.Millisecond // time between two evictions for a waiting connection
	evictionAttempts  = 100                  // number of evictions before a waiting connection is rejected
	rejectionDeadline = time.Millisecond     // for writing the 503 response; an empty socket buffer takes it at once

	rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
		"Retry-After: 1\r\n" +
		"Connection: close\r\n" +
		"Content-Length: 0\r\n\r\n"
)

// peerAddr returns the IP address of a connection's peer.
func peerAddr(conn net.Conn) netip.Addr {
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.IPv4Unspecified()
	}
	addr, _ := netip.AddrFromSlice(tcp.IP)
	return addr.Unmap()
}

// Admit implements transport.Admission. If there is no capacity for a connection of a
// trusted client, it defers the decision to WaitForCapacity, unless too many connections
// wait already.
func (g *Gate) Admit(conn net.Conn) transport.AdmissionResult {
	addr := peerAddr(conn)
	id, reason := g.tryAdmit(addr)
	if reason == connlimit.Allowed {
		return admitted(id)
	}
	if reason == connlimit.FullTrusted && g.startWaiting() {
		return transport.AdmissionResult{Outcome: transport.Deferred}
	}
	return g.reject(conn, addr, reason)
}

// admitted returns the result for an admitted connection. Its token is the connection's
// ID in the Limiter.
func admitted(id connlimit.ID) transport.AdmissionResult {
	return transport.AdmissionResult{Outcome: transport.Admitted, Token: transport.AdmissionToken(id)}
}

// tryAdmit admits a connection of an address if the budget has a descriptor and the
// Limiter allows the connection. Otherwise it returns the reason of the rejection.
func (g *Gate) tryAdmit(addr netip.Addr) (connlimit.ID, connlimit.Reason) {
	acquired := g.Budget.Acquire(connlimit.ClientConnections)
	g.updatePressure()
	if acquired {
		return g.admitWithDescriptor(addr)
	}
	g.Limiter.CountReason(connlimit.NoDescriptors)
	if g.Limiter.IsTrusted(g.loop.Now(), addr) {
		return 0, connlimit.FullTrusted
	}
	return 0, connlimit.NoDescriptors
}

// admitWithDescriptor admits a connection for which a descriptor was acquired, if the
// Limiter allows it. Otherwise it releases the descriptor.
func (g *Gate) admitWithDescriptor(addr netip.Addr) (connlimit.ID, connlimit.Reason) {
	id, reason := g.Limiter.Admit(g.loop.Now(), addr, connlimit.NoToken)
	if reason != connlimit.Allowed {
		g.Budget.Release(connlimit.ClientConnections)
	}
	return id, reason
}

// startWaiting counts another waiting connection, and returns false if maxWaiting
// connections wait already.
func (g *Gate) startWaiting() bool {
	if g.waiting.Add(1) <= maxWaiting {
		return true
	}
	g.waiting.Add(-1)
	return false
}

// WaitForCapacity implements transport.Admission. It evicts other connections until
// conn can be admitted, and rejects conn after evictionAttempts evictions.
func (g *Gate) WaitForCapacity(conn net.Conn) transport.AdmissionResult {
	defer g.waiting.Add(-1)
	addr := peerAddr(conn)
	for range evictionAttempts {
		g.loop.Post(func() { g.EvictOne(connlimit.ForTrusted) })
		time.Sleep(evictionInterval)
		if !g.Budget.Acquire(connlimit.ClientConnections) {
			continue
		}
		id, reason := g.admitWithDescriptor(addr)
		if reason == connlimit.Allowed {
			return admitted(id)
		}
	}
	return g.reject(conn, addr, connlimit.FullTrusted)
}

// Abandoned removes an admitted connection that ended before a front end got it.
func (g *Gate) Abandoned(token transport.AdmissionToken) { g.Limiter.Closed(connlimit.ID(token)) }

// Release returns the descriptor of an admitted connection.
func (g *Gate) Release() { g.Budget.Release(connlimit.ClientConnections) }

// reject closes a connection that is not admitted, after a 503 response if that is
// configured, and logs the rejection.
func (g *Gate) reject(conn net.Conn, addr netip.Addr, reason connlimit.Reason) transport.AdmissionResult {
	tcp, ok := conn.(*net.TCPConn)
	if ok && g.respond503.Load() {
		tcp.SetWriteDeadline(time.Now().Add(rejectionDeadline))
		tcp.Write([]byte(rejectionResponse))
		tcp.CloseWrite()
	}
	conn.Close()
	g.LogRejection(reason, addr)
	return transport.AdmissionResult{Outcome: transport.Rejected}
}
