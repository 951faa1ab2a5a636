package transport

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// acceptRetryPause is the pause after a failed accept. It prevents a busy loop.
const acceptRetryPause = 20 * time.Millisecond

// Acceptor accepts connections from one listener. Its methods may be called from
// any goroutine.
type Acceptor struct {
	engine     *Engine
	listener   net.Listener
	group      *connGroup
	fixedLimit bool          // Resize does not change the limit; guarded by Engine.mu
	draining   atomic.Bool   // CloseWhenDrained was called
	ended      chan struct{} // closed when no more connection will be accepted
}

// newAcceptor returns an acceptor that is not running yet.
func newAcceptor(engine *Engine, listener net.Listener, group *connGroup) *Acceptor {
	group.datesInput = true
	return &Acceptor{engine: engine, listener: listener, group: group, ended: make(chan struct{})}
}

// Addr returns the address that the acceptor accepts on.
func (a *Acceptor) Addr() net.Addr { return a.listener.Addr() }

// String returns the text of Addr.
func (a *Acceptor) String() string { return a.listener.Addr().String() }

// Close stops accepting connections. If another process has the same listening
// socket, that process continues to accept and gets the connections in the backlog.
func (a *Acceptor) Close() {
	_ = a.listener.Close()
	a.group.close()
}

// Ended reports whether the acceptor has accepted its last connection.
func (a *Acceptor) Ended() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}

// OpenConnections returns the number of the acceptor's connections that have not
// ended, including lingering ones. Before Close, the result may be one too high: it
// includes the connection for which the acceptor is waiting.
func (a *Acceptor) OpenConnections() int { return a.group.openConnections() }

// FixLimit sets the acceptor's limit to its full value and prevents Resize from
// changing it. It returns the acceptor.
func (a *Acceptor) FixLimit() *Acceptor {
	a.engine.mu.Lock() // otherwise a Resize in progress could shrink the limit afterwards
	defer a.engine.mu.Unlock()
	a.fixedLimit = true
	a.group.resize(1)
	return a
}

// AcceptOptions are the options for accepting the connections of a listener. The
// functions are called on the loop's goroutine.
type AcceptOptions struct {
	// NewHandler returns the handler of a new connection, or nil to close the
	// connection.
	NewHandler func(*Conn) Handler

	// SingleBuffer passes the buffers of a connection to its handler one at a time, so
	// that the handler gets no more after it has paused the connection. Bytes that a
	// peer sent just before it closed may be lost.
	SingleBuffer bool

	// Limit is the maximum number of open connections, at least one.
	// ServeWithAdmission uses neither Limit nor OnFull.
	Limit int

	// OnFull, if not nil, is called when accepting must wait because the limit is
	// reached or no descriptor is left.
	OnFull func()
}

// window returns the maximum number of buffers of a connection that may be in
// transit to its handler.
func (o *AcceptOptions) window() int {
	if o.SingleBuffer {
		return singleBufferWindow
	}
	return multiBufferWindow
}

// Listen listens on a TCP address and accepts connections as Serve does.
func (e *Engine) Listen(addr string, options AcceptOptions) (*Acceptor, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return e.Serve(listener, options), nil
}

// Serve accepts connections from a listener, up to options.Limit at a time.
func (e *Engine) Serve(listener net.Listener, options AcceptOptions) *Acceptor {
	a := newAcceptor(e, listener, newConnGroup(options.Limit, options.window()))
	e.mu.Lock()
	a.group.resize(e.share)
	e.acceptors = append(e.acceptors, a)
	e.mu.Unlock()
	go e.acceptUpToLimit(a, options)
	return a
}

// acceptUpToLimit accepts connections until the listener is closed. While the limit
// is reached it waits.
func (e *Engine) acceptUpToLimit(acceptor *Acceptor, options AcceptOptions) {
	defer close(acceptor.ended)
	reportFull := func() {
		if options.OnFull != nil {
			e.Loop.Post(options.OnFull)
		}
	}
	for acceptor.group.acquire(reportFull) {
		conn, err := acceptor.accept()
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
