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
	Reject                          // Request, Delay: not done, safe to try again after Delay
	Fail                            // Request: failed, with no promise about effects
	CancelAttempt                   // Request, Attempt
	SetTimer                        // Timer, Delay: feed TimerFired after Delay
	CheckHealth                     // Worker: feed HealthChecked with its answer
	Subscribe                       // ask for changes of the endpoint list from now on
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
	Reservation float64 // what the attempt takes of a slow-start budget, in hinted slot-seconds; 0: warmed up
	Timer       uint64
	Text        string
}

// emit appends an action to those of the present event.
func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// logf emits text for operators.
func (m *Machine) logf(format string, args ...any) {
	m.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}
