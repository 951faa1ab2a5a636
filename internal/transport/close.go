package transport

import (
	"syscall"
	"time"
)

const (
	// shutdownTimeout is the time in which the poller closes a connection that was
	// shut down, until it is closed without an event.
	shutdownTimeout = 200 * time.Millisecond

	lingerTimeout  = time.Second          // of CloseGracefully
	lingerInterval = 5 * time.Millisecond // between reads of bytes that are dropped

	// LingerTime is the longest time for which an ended connection stays open.
	LingerTime = lingerTimeout + 2*shutdownTimeout

	// abortAttempts is how often SO_LINGER is set, which may fail for a moment.
	abortAttempts = 3
)

// Close closes the connection at once. No more of it reaches its handler.
func (c *Conn) Close() {
	if !c.connected() {
		return
	}
	c.freeSlot()
	c.shutDown()
}

// Abort closes the connection at once by a reset, so that nothing arrives any more
// of what the peer has not received. After an orderly close the kernel goes on
// sending what it holds, for minutes, and delivers it once an interrupted path
// works again. Where the kernel refuses the reset, the close is an orderly one.
func (c *Conn) Abort() {
	if !c.connected() {
		return
	}
	c.control(func(fd int) {
		for range abortAttempts {
			// setsockopt(2): with l_onoff set and l_linger 0, close(2) sends a reset.
			err := syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
			if err == nil {
				return
			}
		}
	})
	c.Close()
}

// shutDown ends the connection with shutdown(2) and leaves its descriptor to nbio's
// poller, which gets an event for it at once and closes it. If it were closed here
// while the poller still had an event for it, that event would close the next
// connection that gets the same descriptor.
func (c *Conn) shutDown() {
	open := false
	c.control(func(fd int) {
		_ = syscall.Shutdown(fd, syscall.SHUT_RDWR) // ENOTCONN: the peer has reset it
		open = true
	})
	if !open {
		return
	}
	// After a reset, for example, no event may be left to come.
	c.closeTimer.Fire = func() { _ = c.socket.Close() }
	c.engine.Loop.Set(&c.closeTimer, c.engine.Loop.Now()+shutdownTimeout)
}

// CloseGracefully closes the connection once all that was written has been sent
// and the peer has closed too, or after a second. No more of it reaches its handler.
//
// What the peer still sends is read and dropped, one buffer an interval, so that a
// peer that sends without end costs little: the kernel would answer bytes that
// nobody reads by a reset, which may overtake the last answer.
func (c *Conn) CloseGracefully() {
	if c.state != stateOpen {
		return
	}
	c.state = stateLingering
	c.Handler = discardHandler{&c.engine.Pool}
	c.Pause()
	c.lingerDeadline = c.engine.Loop.Now() + lingerTimeout
	c.closeTimer.Fire = c.linger
	c.linger()
}

// linger does one interval of CloseGracefully.
func (c *Conn) linger() {
	now := c.engine.Loop.Now()
	if now >= c.lingerDeadline {
		c.Close()
		return
	}
	_, more := c.discardBuffer()
	if !more {
		c.Close()
		return
	}
	if !c.sendingClosed && c.Flushed(c.writeOffset) {
		c.sendingClosed = true
		c.control(func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
	}
	c.engine.Loop.Set(&c.closeTimer, min(now+lingerInterval, c.lingerDeadline))
}

// Discard drops what the peer sends from now on, one buffer an interval and at
// most limit bytes. None of it reaches the handler, but OnClosed does when the
// peer closes, which would not be seen behind bytes that nobody reads.
func (c *Conn) Discard(limit int) {
	if c.state != stateOpen || c.discarding {
		return
	}
	c.discarding = true
	c.Pause()
	c.closeTimer.Fire = func() { c.discard(limit) }
	c.discard(limit)
}

// discard does one interval of Discard.
func (c *Conn) discard(limit int) {
	n, more := c.discardBuffer()
	c.discardedBytes += n
	if more && c.discardedBytes < limit { // the poller reports the end
		c.engine.Loop.Set(&c.closeTimer, c.engine.Loop.Now()+lingerInterval)
	}
}

// discardBuffer reads at most one buffer and drops it. more is false once the
// peer's end has been read.
func (c *Conn) discardBuffer() (n int, more bool) {
	b := c.engine.Pool.Get()
	n, err := c.socket.Read(b.array)
	n = max(n, 0) // -1 on an error
	b.extend(n)
	c.engine.Pool.Put(b)
	return n, n > 0 || isTransient(err)
}

// isTransient reports whether read(2) failed without an end of the connection:
// EAGAIN, nothing is there, or EINTR, a signal came first.
func isTransient(err error) bool { return err == syscall.EAGAIN || err == syscall.EINTR }
