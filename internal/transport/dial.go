package transport

import (
	"net"
	"time"
)

// Adopt takes over a connection that was opened by other code and counts it as a
// dialed one. If the limit of dialed connections is reached, it closes the connection
// and returns ErrNoDescriptor.
func (e *Engine) Adopt(conn net.Conn, newHandler func(*Conn) Handler) error {
	if !e.dials.tryAcquire() {
		_ = conn.Close()
		return ErrNoDescriptor
	}
	e.register(conn, e.dials, 0, newHandler)
	return nil
}

// Dial opens a connection and calls onDone on the loop's goroutine, with the
// connection or with an error: ErrNoDescriptor or an error of net.Dial. If handler is
// nil, received bytes are discarded.
//
// nbio's DialAsync is not used, since it has two defects. It takes the first four
// bytes of a 16-byte address as an IPv4 address, and so connects to 0.0.0.0 for any
// address. It also does not distinguish a refused connection from an open one. The
// blocking dial that is used instead runs on a separate goroutine.
func (e *Engine) Dial(addr string, timeout time.Duration, handler Handler, onDone func(*Conn, error)) {
	if !e.dials.tryAcquire() {
		e.Loop.Post(func() { onDone(nil, ErrNoDescriptor) })
		return
	}
	e.dialInGroup(e.dials, addr, timeout, handler, onDone)
}

// DialReserved does the same as Dial, but with a descriptor that is reserved for such
// connections, if one is free. It is meant for the one connection on which everything
// else depends; only one such connection is needed at a time.
func (e *Engine) DialReserved(addr string, timeout time.Duration, handler Handler, onDone func(*Conn, error)) {
	if e.reserved.tryAcquire() {
		e.dialInGroup(e.reserved, addr, timeout, handler, onDone)
		return
	}
	e.Dial(addr, timeout, handler, onDone) // abandoned earlier dials still hold the reserved descriptors
}

// dialInGroup opens a connection that is already counted in the group.
func (e *Engine) dialInGroup(
	group *connGroup, addr string, timeout time.Duration, handler Handler, onDone func(*Conn, error),
) {
	go func() {
		conn, err := net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			group.release()
			e.Loop.Post(func() { onDone(nil, err) })
			return
		}
		e.register(conn, group, 0, func(c *Conn) Handler {
			if handler == nil {
				handler = discardHandler{&e.Pool}
			}
			c.Handler = handler
			onDone(c, nil)
			return c.Handler
		})
	}()
}
