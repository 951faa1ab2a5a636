package transport

import (
	"net"
	"syscall"
)

// Write sends p and keeps a copy of what the socket cannot take now. It returns
// false if the connection is closed or has just broken.
func (c *Conn) Write(p []byte) bool {
	if !c.connected() {
		return false
	}
	nothingQueued := c.UnsentBytes() == 0
	c.writeOffset += int64(len(p))
	if nothingQueued {
		written, err := c.writeToSocket(p)
		if err != nil {
			c.shutDown()
			return false
		}
		p = p[written:]
	}
	if len(p) == 0 {
		return true
	}
	_, err := c.socket.Write(p)
	return err == nil
}

// writeToSocket writes until the socket has taken all of p or is full, and returns
// how much it took.
//
// nbio waits for the socket to become writable with what a write of its own left
// over. It is edge-triggered, so that it would wait without end where write(2) was
// short or interrupted while the socket is not full.
func (c *Conn) writeToSocket(p []byte) (n int, err error) {
	err = net.ErrClosed // unless there is a descriptor
	c.control(func(fd int) { n, err = writeUntilFull(fd, p) })
	c.sentBytes.Add(int64(n))
	return n, err
}

// writeUntilFull calls write(2) until all of p is taken, or it returns EAGAIN: the
// send buffer is full.
func writeUntilFull(fd int, p []byte) (n int, err error) {
	for n < len(p) {
		written, err := syscall.Write(fd, p[n:])
		n += max(written, 0) // -1 on an error
		switch err {
		case nil:
		case syscall.EINTR: // a signal interrupted write(2) before any byte
		case syscall.EAGAIN:
			return n, nil
		default:
			return n, err
		}
	}
	return n, nil
}

// WriteOffset returns the position behind the last byte given to Write.
func (c *Conn) WriteOffset() int64 { return c.writeOffset }

// Flushed reports whether all bytes before a WriteOffset have gone to the socket.
func (c *Conn) Flushed(offset int64) bool { return c.sentBytes.Load() >= offset }

// UnsentBytes returns how many bytes given to Write have not gone to the socket,
// since the peer has not made room for them.
func (c *Conn) UnsentBytes() int64 { return c.writeOffset - c.sentBytes.Load() }

// SentBytes returns how many bytes have gone to the socket.
func (c *Conn) SentBytes() int64 { return c.sentBytes.Load() }
