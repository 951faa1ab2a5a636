package listener

import (
	"net"
	"net/netip"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const (
	maxWaiting        = 32                   // trusted connections for which others are evicted, at a time
	evictionInterval  = 2 * time.Millisecond // between evictions for one of them
	evictionAttempts  = 100                  // for one of them, until it is rejected
	rejectionDeadline = time.Millisecond     // of the 503 response, which fits an empty socket at once or not at all

	rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
		"Retry-After: 1\r\n" +
		"Connection: close\r\n" +
		"Content-Length: 0\r\n\r\n"
)

// peerAddr returns the address of a connection's other end.
func peerAddr(conn net.Conn) netip.Addr {
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.IPv4Unspecified()
	}
	addr, _ := netip.AddrFromSlice(tcp.IP)
	return addr.Unmap()
}

// Admit decides on a connection that was accepted, as transport.Admission says.
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

// admitted returns the result for an admitted connection: its token is its ID in
// the Limiter.
func admitted(id connlimit.ID) transport.AdmissionResult {
	return transport.AdmissionResult{Outcome: transport.Admitted, Token: transport.AdmissionToken(id)}
}

// tryAdmit asks the budget and the limiter about a connection of an address.
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

// admitWithDescriptor asks the limiter, and releases the descriptor that was
// acquired unless the connection is admitted.
func (g *Gate) admitWithDescriptor(addr netip.Addr) (connlimit.ID, connlimit.Reason) {
	id, reason := g.Limiter.Admit(g.loop.Now(), addr, connlimit.NoToken)
	if reason != connlimit.Allowed {
		g.Budget.Release(connlimit.ClientConnections)
	}
	return id, reason
}

// startWaiting counts a connection that waits, if not too many do.
func (g *Gate) startWaiting() bool {
	if g.waiting.Add(1) <= maxWaiting {
		return true
	}
	g.waiting.Add(-1)
	return false
}

// WaitForCapacity evicts connections until conn can be admitted, as
// transport.Admission says.
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

// Abandoned removes an admitted connection that no front end got.
func (g *Gate) Abandoned(token transport.AdmissionToken) { g.Limiter.Closed(connlimit.ID(token)) }

// Release returns the descriptor of an admitted connection.
func (g *Gate) Release() { g.Budget.Release(connlimit.ClientConnections) }

// reject answers and closes a connection that is not admitted.
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
