package transport

import (
	"io"
	"syscall"
)

// read reads one buffer if the handler has taken in what came before and wants
// more. It returns an error once the connection has ended. It may be called from
// any goroutine.
//
// It replaces nbio's own reading, which went on for as long as a peer kept
// sending: each piece waited for the loop in a buffer of its own, and other
// connections waited their turn.
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
	c.inTransit++
	c.mayHaveMore = length == len(b.array)
	c.engine.addInTransit(1)
	c.engine.Loop.Post(func() { c.deliver(b) })
	return err
}

// fill reads until nothing more is there or space is full. It returns how much it
// read, and how the connection ended, if it has: io.EOF or an error of read(2).
//
// Edge-triggered, the poller does not report bytes again that were left, and it
// closes on the peer's end at once. A read may fall short of what is there: only
// EAGAIN says that there is no more.
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

// deliver passes a buffer to the handler and reads on.
func (c *Conn) deliver(b *Buffer) {
	if c.connected() {
		c.Handler.OnData(c, b)
	} else {
		c.engine.Pool.Put(b)
	}
	c.engine.addInTransit(-1)
	c.changeAndRead(func() { c.inTransit-- })
}

// changeAndRead changes what readMu guards and reads what may be left to read.
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

// Pause stops reading until Resume. OnClosed is called all the same when the peer
// closes.
func (c *Conn) Pause() {
	c.readMu.Lock()
	c.paused = true
	c.readMu.Unlock()
}

// Resume reads on after Pause. It has no effect after Discard.
func (c *Conn) Resume() {
	if c.discarding {
		return
	}
	c.changeAndRead(func() { c.paused = false })
}
