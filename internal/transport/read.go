package transport

import (
	"io"
	"syscall"
	"time"
)

// read reads one buffer and posts it to the handler, unless the connection is paused
// or too many of its buffers are in transit. It returns an error if the connection has
// ended. It may be called from any goroutine.
//
// It replaces nbio's own reading, which continued for as long as the peer kept sending:
// each piece waited for the loop in a buffer of its own, and other connections were not
// read meanwhile.
func (c *Conn) read() error {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.mayHaveMore = c.paused || c.inTransit >= c.group.window
	if c.mayHaveMore {
		return nil
	}
	b := c.engine.Pool.Get()
	length, err := c.fill(b.array)
	if length == 0 {
		c.engine.Pool.Put(b)
		return err
	}
	b.extend(length)
	if c.group.datesInput {
		b.recordArrival(length, c.arrivalOfInput())
	}
	c.inTransit++
	c.mayHaveMore = length == len(b.array)
	c.engine.addInTransit(1)
	c.engine.Loop.Post(func() { c.deliver(b) })
	return err
}

// DeliverUnread passes the handler what the socket holds, although the connection is
// paused, if its latest bytes arrived by the clock time until. It may be called only if no
// buffer is in transit to the handler.
func (c *Conn) DeliverUnread(until time.Duration) {
	if !c.connected() || c.arrivalOfInput() > until {
		return
	}
	b := c.engine.Pool.Get()
	c.readMu.Lock()
	length, _ := c.fill(b.array) // the poller reports the end of the connection
	c.readMu.Unlock()
	if length == 0 {
		c.engine.Pool.Put(b)
		return
	}
	b.extend(length)
	b.recordArrival(length, c.arrivalOfInput())
	c.Handler.OnData(c, b)
}

// fill reads until the socket is empty or space is full. It returns the number of bytes
// read and, if the connection has ended, io.EOF or an error of read(2).
//
// It must read until EAGAIN, since a read may return fewer bytes than there are. The
// edge-triggered poller does not report unread bytes again, and it closes the connection
// at once when it sees the peer's end.
func (c *Conn) fill(space []byte) (filled int, err error) {
	for filled < len(space) {
		received, err := c.socket.Read(space[filled:])
		switch {
		case received > 0:
			filled += received
		case err == syscall.EINTR: // a signal interrupted read(2) before any byte
		case err == syscall.EAGAIN: // the socket's receive buffer is empty
			return filled, nil
		case err == nil:
			return filled, io.EOF
		default:
			return filled, err
		}
	}
	return filled, nil
}

// deliver passes a buffer to the handler and continues to read.
func (c *Conn) deliver(b *Buffer) {
	if c.connected() {
		c.Handler.OnData(c, b)
	} else {
		c.engine.Pool.Put(b)
	}
	c.engine.addInTransit(-1)
	c.changeAndRead(func() { c.inTransit-- })
}

// changeAndRead calls change with readMu held, and then reads if unread bytes may be
// left in the socket.
func (c *Conn) changeAndRead(change func()) {
	c.readMu.Lock()
	change()
	mayHaveMore := c.mayHaveMore
	c.readMu.Unlock()
	if !mayHaveMore {
		return
	}
	err := c.read()
	if err != nil {
		c.shutDown()
	}
}

// Pause stops reading until Resume is called. OnClosed is still called when the peer
// closes the connection.
func (c *Conn) Pause() {
	c.readMu.Lock()
	c.paused = true
	c.readMu.Unlock()
}

// Resume continues reading after Pause. It has no effect after Discard.
func (c *Conn) Resume() {
	if c.discarding {
		return
	}
	c.changeAndRead(func() { c.paused = false })
}
