package transport

import (
	"errors"
	"math"
	"net"
	"syscall"
	"time"
)

// noTimeLimit is the limit of a write that may begin at any time.
const noTimeLimit = time.Duration(math.MaxInt64)

// errTooLate means that a write was not begun because its time limit had come.
var errTooLate = errors.New("the time limit of the write has come")

// Write sends p, and queues a copy of the bytes that do not fit in the socket's send
// buffer at present. It returns false if the connection is closed or the write fails.
func (c *Conn) Write(p []byte) bool { return c.WriteBefore(p, noTimeLimit) }

// WriteBefore is like Write, but begins no write(2) at or after a clock time. If the time comes before the socket has
// taken p or its buffer is full, it closes the connection and returns false.
func (c *Conn) WriteBefore(p []byte, limit time.Duration) bool {
	if !c.connected() {
		return false
	}
	nothingQueued := c.UnsentBytes() == 0
	c.writeOffset += int64(len(p))
	if c.shutDownBegun {
		return false // nbio's Write would fail, and close the descriptor at once
	}
	if nothingQueued {
		written, err := c.writeToSocket(p, limit)
		if err != nil {
			c.shutDown()
			return false
		}
		p = p[written:]
	}
	if len(p) == 0 {
		return true
	}
	return c.writeQueued(p)
}

// writeQueued makes nbio queue p, for which the socket had no room. nbio tries to write it
// first; if that fails, since the connection has broken meanwhile, nbio closes the
// descriptor on the loop's goroutine, and writeQueued returns false.
func (c *Conn) writeQueued(p []byte) bool {
	c.withDescriptor(c.engine.reuse.beforeClose)
	_, err := c.socket.Write(p)
	if err != nil {
		return false
	}
	c.withDescriptor(c.engine.reuse.notClosed)
	return true
}

// writeToSocket writes p until all of it is written or the socket's send buffer is
// full, and returns the number of bytes written.
//
// nbio's own write is not sufficient: it calls write(2) once and waits for the socket to
// become writable before it writes the rest. The poller is edge-triggered, so nbio would
// wait forever after a write that was short or interrupted while the send buffer was not
// full.
func (c *Conn) writeToSocket(p []byte, limit time.Duration) (n int, err error) {
	err = net.ErrClosed // if the descriptor is closed already
	c.withDescriptor(func(fd int) { n, err = c.writeUntilFull(fd, p, limit) })
	c.sentBytes.Add(int64(n))
	return n, err
}

// writeUntilFull calls write(2) until all of p is written or write(2) returns EAGAIN,
// since the send buffer is full. It returns errTooLate once the clock has reached limit.
func (c *Conn) writeUntilFull(fd int, p []byte, limit time.Duration) (n int, err error) {
	for n < len(p) {
		began := c.engine.Loop.Now()
		if began >= limit {
			return n, errTooLate
		}
		written, err := syscall.Write(fd, p[n:])
		n += max(written, 0) // -1 on an error
		switch err {
		case nil:
			c.sentAt.Store(int64(began))
		case syscall.EINTR: // a signal interrupted write(2) before any byte
		case syscall.EAGAIN:
			return n, nil
		default:
			return n, err
		}
	}
	return n, nil
}

// WriteOffset returns the number of bytes passed to Write so far.
func (c *Conn) WriteOffset() int64 { return c.writeOffset }

// Flushed reports whether all bytes before a WriteOffset have been written to the
// socket.
func (c *Conn) Flushed(offset int64) bool { return c.sentBytes.Load() >= offset }

// SentAt returns the clock time at which the socket has taken the latest of the bytes
// counted by SentBytes, or a slightly later one if the poller has written them.
func (c *Conn) SentAt() time.Duration { return time.Duration(c.sentAt.Load()) }

// UnsentBytes returns the number of bytes that were passed to Write but not written to
// the socket, since its send buffer is full.
func (c *Conn) UnsentBytes() int64 { return c.writeOffset - c.sentBytes.Load() }

// SentBytes returns the number of bytes that were written to the socket.
func (c *Conn) SentBytes() int64 { return c.sentBytes.Load() }
