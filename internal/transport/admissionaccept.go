package transport

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// admissionRetryPause is the pause after an accept that failed. It is short, since
	// connections that will be admitted wait in the kernel's queue with the others.
	admissionRetryPause = time.Millisecond

	// exhaustedRetryPause is the pause between attempts to get a spare descriptor.
	exhaustedRetryPause = 5 * time.Millisecond
)

// ServeWithAdmission accepts connections from a listener and serves those that
// the engine's Admission admits.
func (e *Engine) ServeWithAdmission(listener net.Listener, options AcceptOptions) *Acceptor {
	group := newConnGroup(unlimited, options.window())
	group.quota.Release = e.admission.Release
	acceptor := &Acceptor{engine: e, listener: listener, group: group, fixedLimit: true}
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
