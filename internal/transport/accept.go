package transport

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// acceptRetryPause is the pause after an accept that failed, against spinning.
	acceptRetryPause = 20 * time.Millisecond

	// admissionRetryPause is the same where an Admission decides. It is short, since
	// connections that will be admitted wait in the kernel's queue with the others.
	admissionRetryPause = time.Millisecond

	// exhaustedRetryPause is the pause between attempts to get a spare descriptor.
	exhaustedRetryPause = 5 * time.Millisecond
)

// Acceptor accepts connections from one listener. Its methods may be called from
// any goroutine.
type Acceptor struct {
	listener   net.Listener
	group      *connGroup
	fixedLimit bool // Resize does not change its limit
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
	a := &Acceptor{listener: listener, group: newConnGroup(options.Limit, options.window())}
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

// ServeWithAdmission accepts connections from a listener and serves those that
// the engine's Admission admits.
func (e *Engine) ServeWithAdmission(listener net.Listener, options AcceptOptions) *Acceptor {
	group := newConnGroup(unlimited, options.window())
	group.quota.Release = e.admission.Release
	acceptor := &Acceptor{listener: listener, group: group, fixedLimit: true}
	e.mu.Lock()
	e.acceptors = append(e.acceptors, acceptor)
	e.mu.Unlock()
	go e.acceptWithAdmission(acceptor, options.NewHandler)
	return acceptor
}

// acceptWithAdmission accepts as fast as the kernel hands out connections, so that
// none waits behind those that will be rejected: in the kernel's queue all are
// alike.
func (e *Engine) acceptWithAdmission(acceptor *Acceptor, newHandler func(*Conn) Handler) {
	// Where no descriptor is left, the spare one is given up for a moment to reject
	// a connection with.
	spare := openSpareDescriptor()
	defer func() { spare.Close() }()
	for {
		conn, err := acceptor.listener.Accept()
		switch {
		case err == nil && spare == nil: // its descriptor is the first that could be had
			conn.Close()
			spare = openSpareDescriptor()
		case err == nil:
			e.admit(acceptor, conn, newHandler)
		case errors.Is(err, net.ErrClosed):
			return
		case isDescriptorExhausted(err):
			e.admission.Exhausted()
			spare = acceptor.rejectOne(spare)
			if spare == nil { // another goroutine or process took the descriptor
				time.Sleep(exhaustedRetryPause)
			}
		default: // accept(2): a network error of the new connection, or want of memory
			time.Sleep(admissionRetryPause)
		}
	}
}

// openSpareDescriptor opens a file that stands for a descriptor; nil: there is none.
func openSpareDescriptor() *os.File {
	file, _ := os.Open(os.DevNull) // nil with an error
	return file
}

// rejectOne accepts and closes one connection with the descriptor of spare, which
// may be nil, and returns a new spare or nil.
func (a *Acceptor) rejectOne(spare *os.File) *os.File {
	if spare != nil {
		spare.Close()
		conn, err := a.listener.Accept()
		if err == nil {
			conn.Close()
		}
	}
	return openSpareDescriptor()
}

// admit asks the Admission about a connection and registers an admitted one.
func (e *Engine) admit(acceptor *Acceptor, conn net.Conn, newHandler func(*Conn) Handler) {
	result := e.admission.Admit(conn)
	if result.Outcome != Deferred {
		e.registerAdmitted(acceptor, conn, result, newHandler)
		return
	}
	go func() {
		result := e.admission.WaitForCapacity(conn)
		e.registerAdmitted(acceptor, conn, result, newHandler)
	}()
}

// registerAdmitted registers a connection, if it was admitted.
func (e *Engine) registerAdmitted(
	acceptor *Acceptor, conn net.Conn, result AdmissionResult, newHandler func(*Conn) Handler,
) {
	if result.Outcome != Admitted {
		return
	}
	acceptor.group.add()
	e.register(conn, acceptor.group, result.Token, newHandler)
}
