package transport

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// admissionRetryPause is the pause after a failed accept. It is short, since the
	// kernel's queue also contains connections that will be admitted.
	admissionRetryPause = time.Millisecond

	// exhaustedRetryPause is the pause between two attempts to get a spare descriptor.
	exhaustedRetryPause = 5 * time.Millisecond
)

// ServeWithAdmission accepts connections from a listener and serves those that
// the engine's Admission admits. SetAdmission must have been called.
func (e *Engine) ServeWithAdmission(listener net.Listener, options AcceptOptions) *Acceptor {
	group := newConnGroup(unlimited, options.window())
	group.quota.Release = e.admission.Release
	acceptor := newAcceptor(e, listener, group)
	acceptor.fixedLimit = true
	e.mu.Lock()
	e.acceptors = append(e.acceptors, acceptor)
	e.mu.Unlock()
	go e.acceptWithAdmission(acceptor, options.NewHandler)
	return acceptor
}

// acceptWithAdmission accepts connections as fast as the kernel returns them, so
// that a connection does not wait in the kernel's queue behind connections that will
// be rejected. The kernel's queue makes no difference between them.
func (e *Engine) acceptWithAdmission(acceptor *Acceptor, newHandler func(*Conn) Handler) {
	defer close(acceptor.ended)
	// If no descriptor is left, the spare one is closed for a moment, so that a
	// connection can be accepted and rejected.
	spare := openSpareDescriptor()
	defer func() { spare.Close() }()
	for {
		conn, err := acceptor.accept()
		switch {
		case err == nil && spare == nil: // use the first descriptor that is free again as the spare
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
		default: // accept(2): a network error of the new connection, or not enough memory
			time.Sleep(admissionRetryPause)
		}
	}
}

// openSpareDescriptor opens a file only to occupy a descriptor. It returns nil if no
// descriptor is left.
func openSpareDescriptor() *os.File {
	file, _ := os.Open(os.DevNull) // returns nil with an error
	return file
}

// rejectOne closes spare and uses its descriptor to accept and close one connection.
// If spare is nil, it accepts none. It returns a new spare, or nil if no descriptor
// is left.
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

// admit registers a connection if the Admission admits it. If the Admission defers
// its decision, a new goroutine waits for it.
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

// registerAdmitted registers a connection if it was admitted.
func (e *Engine) registerAdmitted(
	acceptor *Acceptor, conn net.Conn, result AdmissionResult, newHandler func(*Conn) Handler,
) {
	if result.Outcome != Admitted {
		return
	}
	acceptor.group.add()
	e.register(conn, acceptor.group, result.Token, newHandler)
}
