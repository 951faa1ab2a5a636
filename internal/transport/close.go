package transport

import (
	"syscall"
	"time"
	"unsafe"
)

const (
	// shutdownTimeout is how long the poller usually takes at most to close a connection
	// that was shut down.
	shutdownTimeout = 200 * time.Millisecond

	// lostEventTimeout is the time after which a connection that was shut down is closed
	// without a poller event. It is far longer than the poller of a process that gets
	// hardly any processor time has an event without handling it.
	lostEventTimeout = 10 * time.Second

	lingerTimeout  = time.Second          // longest time for which CloseGracefully waits for the peer
	lingerInterval = 5 * time.Millisecond // time between reads of bytes that are discarded

	// MaxLingerTime is the longest time for which the socket of an ended connection stays
	// open.
	MaxLingerTime = lingerTimeout + 2*shutdownTimeout

	// MaxDiscardedBytes is how many bytes of a client that is not read any more are
	// discarded, so that its close after them is noticed.
	MaxDiscardedBytes = 8 << 20

	// abortAttempts is the maximum number of attempts of each system call by which
	// Abort makes the kernel send a reset, since the calls may fail temporarily.
	abortAttempts = 3
)

// Close closes the connection at once. The handler gets no more events.
func (c *Conn) Close() {
	if !c.connected() {
		return
	}
	c.freeSlot()
	c.shutDown()
}

// Abort closes the connection at once with a reset, so that written bytes that the
// peer has not received yet are not delivered later. After an orderly close the
// kernel keeps sending such bytes for minutes, and delivers them when an interrupted
// network path works again. If the kernel refuses the reset, the close is orderly.
func (c *Conn) Abort() {
	if !c.connected() {
		return
	}
	c.withDescriptor(func(fd int) {
		setResetOnClose(fd)
		if sendQueueBytes(fd) > 0 {
			disconnect(fd)
		}
	})
	c.Close()
}

// setResetOnClose makes close(2) send a reset, for the case that disconnect fails.
func setResetOnClose(fd int) {
	for range abortAttempts {
		// setsockopt(2): l_onoff is set and l_linger is 0.
		err := syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		if err == nil {
			return
		}
	}
}

// disconnect resets a connection and drops the bytes in its send queue, but keeps the
// descriptor open. Closing the descriptor is left to the poller; until then shutdown(2)
// alone would let the kernel deliver what it has taken.
func disconnect(fd int) {
	// connect(2): an address of the family AF_UNSPEC dissolves the association of a TCP
	// socket. Package syscall has no such address.
	address := syscall.RawSockaddr{Family: syscall.AF_UNSPEC}
	for range abortAttempts {
		_, _, errno := syscall.Syscall(syscall.SYS_CONNECT, uintptr(fd), uintptr(unsafe.Pointer(&address)), unsafe.Sizeof(address))
		if errno == 0 {
			return
		}
	}
}

// shutDown ends the connection with shutdown(2). nbio's poller gets an event for that
// at once, and closes the descriptor. The timer closes it if there is no event.
func (c *Conn) shutDown() {
	c.shutDownBegun = true
	open := false
	c.withDescriptor(func(fd int) {
		_ = syscall.Shutdown(fd, syscall.SHUT_RDWR) // fails with ENOTCONN if the peer has reset the connection
		open = true
	})
	if !open {
		return
	}
	c.closeTimer.Fire = c.closeOnLoop
	c.engine.Loop.Set(&c.closeTimer, c.engine.Loop.Now()+lostEventTimeout)
}

// closeOnLoop makes nbio close the descriptor on the loop's goroutine, without an event.
func (c *Conn) closeOnLoop() {
	c.withDescriptor(c.engine.reuse.beforeClose)
	_ = c.socket.Close()
}

// CloseGracefully closes the connection when all written bytes have been sent and the
// peer has closed its side too, or after lingerTimeout. The handler gets no more
// events.
//
// Bytes that the peer still sends are read and discarded: if the socket were closed
// with unread bytes, the kernel would send a reset, which can overtake the last
// response. At most one buffer is read in each lingerInterval, so that a peer that
// sends without end takes little processor time.
func (c *Conn) CloseGracefully() {
	if c.state != stateOpen {
		return
	}
	c.state = stateLingering
	c.Handler = discardHandler{&c.engine.Pool}
	c.Pause()
	c.lingerDeadline = c.engine.Loop.Now() + lingerTimeout
	c.closeTimer.Fire = c.lingerStep
	c.lingerStep()
}

// lingerStep is the step of CloseGracefully that runs once in each lingerInterval.
func (c *Conn) lingerStep() {
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
		c.withDescriptor(func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
	}
	c.engine.Loop.Set(&c.closeTimer, min(now+lingerInterval, c.lingerDeadline))
}

// Discard reads and discards what the peer sends from now on, at most one buffer in
// each lingerInterval and about limit bytes in all. The handler gets no more data, but
// OnClosed is called when the peer closes. The poller would not notice that if there
// were unread bytes before the end.
func (c *Conn) Discard(limit int) {
	if c.state != stateOpen || c.discarding {
		return
	}
	c.discarding = true
	c.Pause()
	c.closeTimer.Fire = func() { c.discardStep(limit) }
	c.discardStep(limit)
}

// discardStep is the step of Discard that runs once in each lingerInterval.
func (c *Conn) discardStep(limit int) {
	n, more := c.discardBuffer()
	c.discardedBytes += n
	if more && c.discardedBytes < limit { // if there is no more, the poller reports the end
		c.engine.Loop.Set(&c.closeTimer, c.engine.Loop.Now()+lingerInterval)
	}
}

// discardBuffer reads at most one buffer of bytes and discards them. more is false if
// the end of the connection has been reached.
func (c *Conn) discardBuffer() (n int, more bool) {
	b := c.engine.Pool.Get()
	n, err := c.socket.Read(b.array)
	n = max(n, 0) // -1 on an error
	b.extend(n)
	c.engine.Pool.Put(b)
	return n, n > 0 || isTransient(err)
}

// isTransient reports whether an error of read(2) does not mean the end of the
// connection: EAGAIN, there is nothing to read, or EINTR, a signal interrupted the
// call.
func isTransient(err error) bool { return err == syscall.EAGAIN || err == syscall.EINTR }
