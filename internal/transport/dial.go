package transport

import (
	"net"
	"time"
)

// Adopt takes over a connection that was opened elsewhere. On ErrNoDescriptor it
// has closed the connection.
func (e *Engine) Adopt(conn net.Conn, newHandler func(*Conn) Handler) error {
	if !e.dials.tryAcquire() {
		_ = conn.Close()
		return ErrNoDescriptor
	}
	e.register(conn, e.dials, 0, newHandler)
	return nil
}

// Dial opens a connection and calls onDone on the loop's goroutine, with the
// connection or with an error: ErrNoDescriptor or one of net.Dial. Where handler
// is nil, received bytes are dropped.
//
// nbio's DialAsync is not used: it reads an IPv4 address out of the first four
// bytes of a 16-byte one, and so reached 0.0.0.0 for any address; nor does it
// tell a refused connection from an open one. A blocking dial has neither fault,
// and waits on a goroutine.
func (e *Engine) Dial(addr string, timeout time.Duration, handler Handler, onDone func(*Conn, error)) {
	if !e.dials.tryAcquire() {
		e.Loop.Post(func() { onDone(nil, ErrNoDescriptor) })
		return
	}
	e.dialInGroup(e.dials, addr, timeout, handler, onDone)
}

// DialReserved is Dial with a descriptor that other connections cannot take,
// where one of those is free. It is for the connection that everything else
// depends on, one at a time.
func (e *Engine) DialReserved(addr string, timeout time.Duration, handler Handler, onDone func(*Conn, error)) {
	if e.reserved.tryAcquire() {
		e.dialInGroup(e.reserved, addr, timeout, handler, onDone)
		return
	}
	e.Dial(addr, timeout, handler, onDone) // earlier dials that were given up have not ended yet
}

// dialInGroup opens a connection that the group counts already.
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
