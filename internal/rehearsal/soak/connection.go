package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// clientConnection is a connection of clients to a dispatcher. It can be reused for several requests.
type clientConnection struct {
	conn   net.Conn
	reader *bufio.Reader
	served bool // a request on the connection was answered

	connectedAt time.Time
}

// dialClient opens a new connection to a dispatcher.
func dialClient(target *daemon) (*clientConnection, error) {
	conn, err := net.DialTimeout("tcp", target.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConnection{conn: conn, reader: bufio.NewReader(conn), connectedAt: time.Now()}, nil
}

// isOpen reports whether the dispatcher has kept the connection open and there is no unread input. It does not block.
func (c *clientConnection) isOpen() bool {
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var next [1]byte
	_ = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return open
}

// exchange sends a request, waits up to the given time for the answer, and records the result in sent. It closes the
// connection if it cannot be reused.
func (c *clientConnection) exchange(sent *request, wait time.Duration) {
	sent.connectedAt = c.connectedAt
	sent.localPort = c.conn.LocalAddr().(*net.TCPAddr).Port
	sent.sentAt = time.Now()
	sent.reusedConnection = c.served
	c.conn.SetDeadline(sent.sentAt.Add(wait))
	writeRequest(c.conn, sent)
	status, reusable, err := c.readAnswer()
	now := time.Now()
	sent.retransmits = readTCPInfo(c.conn).retransmits
	switch {
	case err == nil:
		sent.status = status
		sent.answeredAt = now
		c.served = true
	case !errors.Is(err, os.ErrDeadlineExceeded):
		sent.closedAt = now
		sent.closeError = err
	}
	if err != nil || !reusable {
		c.close()
	}
}

// readAnswer reads an answer to its end. reusable tells whether the dispatcher keeps the connection open.
func (c *clientConnection) readAnswer() (status int, reusable bool, err error) {
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	return answer.StatusCode, !answer.Close, err
}

// close closes the connection.
func (c *clientConnection) close() {
	c.conn.Close()
	c.conn = nil
}

// isClosed reports whether the client has closed the connection.
func (c *clientConnection) isClosed() bool { return c.conn == nil }

// maxIdleConnections is the maximum number of idle connections in a connectionPool.
const maxIdleConnections = 10

// connectionPool holds the idle connections of the clients of one dispatcher. The connection that was used last is
// reused first, so that the others can stay idle until the dispatcher closes them. A connectionPool is safe for
// concurrent use.
type connectionPool struct {
	mutex sync.Mutex
	idle  []*clientConnection
}

// take removes and returns the connection that was used last and is still open, or nil if there is none.
func (p *connectionPool) take() *clientConnection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if last.isOpen() {
			return last
		}
		last.close()
	}
	return nil
}

// put adds a connection to the pool, or closes it if the pool is full.
func (p *connectionPool) put(conn *clientConnection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == maxIdleConnections {
		conn.close()
		return
	}
	p.idle = append(p.idle, conn)
}

// closeAll closes all idle connections.
func (p *connectionPool) closeAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range p.idle {
		conn.close()
	}
	p.idle = nil
}
