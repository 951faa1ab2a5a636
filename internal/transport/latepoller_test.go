package transport

import (
	"net"
	"testing"
	"time"
)

// Guards against a new connection that is closed with no answer: a connection whose poller event is not handled within
// shutdownTimeout was closed by the timer, a new connection got its descriptor, and the poller's event for the old
// connection closed the new one. Here the poller is blocked, as in a process that gets little processor time.
func TestLatePollerClosesNoNewConnection(t *testing.T) {
	reuse := newDescriptorReuse(t)
	reuse.endConnections(t, func(peer net.Conn) { peer.Close() }, func(conns []*Conn) {
		for _, conn := range conns {
			conn.Close()
		}
	})
	time.Sleep(2 * shutdownTimeout)
	reuse.checkNewConnections(t)
}
