package transport

import (
	"errors"
	"net"
	"time"
)

// acceptRetryPause is the pause after an accept that failed, against spinning.
const acceptRetryPause = 20 * time.Millisecond

// Acceptor accepts connections from one listener. Its methods may be called from
// any goroutine.
type Acceptor struct {
	engine     *Engine
	listener   net.Listener
	group      *connGroup
	fixedLimit bool // Resize does not change its limit; guarded by the engine's mutex
}

// Addr returns the address that the acceptor accepts on.
func (a *Acceptor) Addr() net.Addr { return a.listener.Addr() }

// String returns the text of Addr.
func (a *Acceptor) String() string { return a.listener.Addr().String() }

// Close accepts no more. Where another process has the same listening socket,
// that one continues, and connections in the backlog are left to it.
func (a *Acceptor) Close() {
	_ = a.listener.Close()
	a.group.close()
}

// OpenConnections returns how many of the acceptor's connections have not ended,
// those that linger included. Before Close, it may count the place of the next
// one.
func (a *Acceptor) OpenConnections() int { return a.group.openConnections() }

// FixLimit keeps Resize from changing the acceptor's limit, and returns the acceptor.
func (a *Acceptor) FixLimit() *Acceptor {
	a.engine.mu.Lock() // a resize that has begun would shrink the limit afterwards
	defer a.engine.mu.Unlock()
	a.fixedLimit = true
	a.group.resize(1)
	return a
}

// AcceptOptions say how the connections of a listener are accepted. Their functions
// run on the loop's goroutine.
type AcceptOptions struct {
	// NewHandler returns the handler of a connection, or nil to close it.
	NewHandler func(*Conn) Handler

	// SingleBuffer hands over one buffer of a connection at a time, so that a handler
	// that pauses gets no more; what a peer sent just before it closed may be lost.
	SingleBuffer bool

	// Limit is how many connections may be open at a time, at least one.
	// ServeWithAdmission does not use it, nor OnFull.
	Limit int

	// OnFull is called when a connection waits since the limit is reached, or since
	// no descriptor is left; nil: nothing is called.
	OnFull func()
}

// window returns how many buffers of a connection may be on their way to its handler.
func (o *AcceptOptions) window() int {
	if o.SingleBuffer {
		return narrowWindow
	}
	return wideWindow
}

// Listen accepts connections on an address as Serve does.
func (e *Engine) Listen(addr string, options AcceptOptions) (*Acceptor, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return e.Serve(listener, options), nil
}

// Serve accepts connections from a listener, up to a limit.
func (e *Engine) Serve(listener net.Listener, options AcceptOptions) *Acceptor {
	a := &Acceptor{engine: e, listener: listener, group: newConnGroup(options.Limit, options.window())}
	e.mu.Lock()
	a.group.resize(e.share)
	e.acceptors = append(e.acceptors, a)
	e.mu.Unlock()
	go e.acceptUpToLimit(a, options)
	return a
}

// acceptUpToLimit accepts connections until the listener is closed, none while
// the limit is reached.
func (e *Engine) acceptUpToLimit(acceptor *Acceptor, options AcceptOptions) {
	reportFull := func() {
		if options.OnFull != nil {
			e.Loop.Post(options.OnFull)
		}
	}
	for acceptor.group.acquire(reportFull) {
		conn, err := acceptor.listener.Accept()
		if err == nil {
			e.register(conn, acceptor.group, 0, options.NewHandler)
			continue
		}
		acceptor.group.release()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if isDescriptorExhausted(err) {
			reportFull()
		}
		time.Sleep(acceptRetryPause)
	}
}
