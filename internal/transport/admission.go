package transport

import "net"

// AdmissionToken identifies an admitted connection to its Admission until the
// connection ends. 0 means that the connection has no token.
type AdmissionToken uint64

// AdmissionOutcome is the outcome of an admission decision.
type AdmissionOutcome uint8

// The outcomes.
const (
	Rejected AdmissionOutcome = iota // the Admission has closed the connection
	Admitted
	Deferred // to be decided by WaitForCapacity
)

// AdmissionResult is the decision on a connection.
type AdmissionResult struct {
	Outcome AdmissionOutcome
	Token   AdmissionToken // set if the connection was admitted
}

// Admission decides whether accepted connections are admitted. Its methods are not
// called on the loop's goroutine. Except for WaitForCapacity, they must not wait for
// the loop.
type Admission interface {
	// Admit decides on an accepted connection.
	Admit(conn net.Conn) AdmissionResult

	// WaitForCapacity decides on a connection that Admit deferred. It may block, since
	// it is called on a separate goroutine, and must not return Deferred.
	WaitForCapacity(conn net.Conn) AdmissionResult

	// Abandoned is called when an admitted connection has ended before it got a
	// handler.
	Abandoned(token AdmissionToken)

	// Release is called when the descriptor of an admitted connection has been freed.
	Release()

	// Exhausted is called when accept(2) has failed because no descriptor was left.
	Exhausted()
}

// Quota bounds the number of connections of one kind, depending on how many
// descriptors other kinds use.
type Quota struct {
	Acquire func() bool // takes a descriptor; returns false if none is free
	Release func()      // returns a descriptor
}

// SetAdmission sets the Admission that ServeWithAdmission uses. The quotas then
// bound the dialed connections and those with reserved descriptors; for dialed
// connections they replace the engine's own limit. It must be called before any
// connection exists.
func (e *Engine) SetAdmission(admission Admission, dials, reserved Quota) {
	e.admission = admission
	e.dials.fullLimit = unlimited
	e.dials.limit = unlimited
	e.dials.quota = dials
	e.reserved.quota = reserved
}
