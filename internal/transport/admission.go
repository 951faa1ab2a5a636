package transport

import "net"

// Admission decides on connections as they are accepted. Its methods are called
// off the loop's goroutine and must not wait for the loop, except
// WaitForCapacity.
type Admission interface {
	// Admit decides on an accepted connection. token identifies an admitted one
	// until it ends. Where neither admitted nor wait is set, Admit has closed conn.
	Admit(conn net.Conn) (token uint64, admitted, wait bool)

	// WaitForCapacity decides on a connection for which Admit set wait. It is called on
	// a goroutine of its own, and has closed conn where it does not admit it.
	WaitForCapacity(conn net.Conn) (token uint64, admitted bool)

	// Abandoned is called for an admitted connection that ended before it had a
	// handler.
	Abandoned(token uint64)

	// Release is called when the descriptor of an admitted connection is free.
	Release()

	// Exhausted is called when accept(2) failed for lack of a descriptor.
	Exhausted()
}

// Quota bounds connections of one kind by what connections of other kinds use.
type Quota struct {
	Acquire func() bool // takes a descriptor, and returns false where none is free
	Release func()      // returns a descriptor
}

// SetAdmission sets the admission of ServeWithAdmission, and bounds dialed
// connections, and those with reserved descriptors, by quotas in place of a
// share of the engine's own. It must be called before any connection exists.
func (e *Engine) SetAdmission(admission Admission, dials, reserved Quota) {
	e.admission = admission
	e.dials.fullLimit = unlimited
	e.dials.limit = unlimited
	e.dials.quota = dials
	e.reserved.quota = reserved
}
