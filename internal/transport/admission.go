package transport

import "net"

// AdmissionToken is an Admission's name for a connection that it admitted, until
// that ends. 0 is none.
type AdmissionToken uint64

// AdmissionOutcome is what an Admission decides on a connection.
type AdmissionOutcome uint8

// The outcomes.
const (
	Rejected AdmissionOutcome = iota // the Admission has closed the connection
	Admitted
	Deferred // WaitForCapacity decides
)

// AdmissionResult is the decision on a connection.
type AdmissionResult struct {
	Outcome AdmissionOutcome
	Token   AdmissionToken // of an admitted connection
}

// Admission decides on connections as they are accepted. Its methods are called
// off the loop's goroutine and must not wait for the loop, except
// WaitForCapacity.
type Admission interface {
	// Admit decides on an accepted connection.
	Admit(conn net.Conn) AdmissionResult

	// WaitForCapacity decides on a connection that Admit deferred, and does not
	// defer it again. It is called on a goroutine of its own.
	WaitForCapacity(conn net.Conn) AdmissionResult

	// Abandoned is called for an admitted connection that ended before it had a
	// handler.
	Abandoned(token AdmissionToken)

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
