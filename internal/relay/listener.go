package relay

import (
	"net"
	"sync/atomic"
)

const (
	sendBufferBytes  = 256 << 10 // size of the kernel's send buffer for one subscriber
	extraConnections = 64        // connections allowed in addition to two for each subscriber
)

// boundedListener is a TCP listener that closes connections beyond a limit at once.
type boundedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.limit {
			l.open.Add(-1)
			conn.Close()
			continue
		}
		tcp := conn.(*net.TCPConn)
		tcp.SetWriteBuffer(sendBufferBytes) // on an error the kernel's default stays
		return &boundedConn{TCPConn: tcp, listener: l}, nil
	}
}

// boundedConn is a connection that counts towards its listener's limit. It embeds
// the TCP connection so that the HTTP server can close the sending side first.
type boundedConn struct {
	*net.TCPConn
	listener *boundedListener
	closed   atomic.Bool
}

// Close closes the connection. The first call also removes it from the listener's
// count.
func (c *boundedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.TCPConn.Close()
}
