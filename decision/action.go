package decision

import (
	"fmt"
	"time"
)

// ActionKind determines which fields of an Action are set.
type ActionKind uint8

// The kinds of actions, with the fields that they use.
const (
	Assign        ActionKind = iota // Request, Worker, Reservation: start the next attempt
	Reject                          // Request, Delay: not served; the client may safely repeat it after Delay
	Fail                            // Request: failed; the request may or may not have had an effect
	CancelAttempt                   // Request, Attempt: cancel this outstanding attempt
	SetTimer                        // Timer, Delay: feed TimerFired after Delay
	CheckHealth                     // Worker: check its health and feed the result as HealthChecked
	Subscribe                       // subscribe to changes of the endpoint list
	CloseIdle                       // Worker: close the idle connections to it
	Log                             // Text
)

// Action is one thing that the caller of Handle must do, in the order returned.
type Action struct {
	Kind        ActionKind
	Request     uint64
	Attempt     int
	Worker      string
	Delay       time.Duration
	Reservation float64 // slow-start budget that the attempt uses, in hinted slot-seconds; 0 at a warm worker
	Timer       uint64
	Text        string
}

// emit appends an action to those returned for the current event.
func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// logf emits a Log action with a message for operators.
func (m *Machine) logf(format string, args ...any) {
	m.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}
