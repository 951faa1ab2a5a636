package jobs

import "time"

// Resolve ends a job in doubt at an operator's request: it ran, or it did not and runs again. A reason is required.
// The error is a *TransitionError.
func (m *Machine) Resolve(now time.Duration, id string, ran bool, reason Reason) ([]Effect, error) {
	e := m.jobs[id]
	switch {
	case e == nil:
		return nil, &TransitionError{ID: id, Cause: ErrUnknownJob}
	case e.State != InDoubt:
		return nil, &TransitionError{id, e.State, ErrNotInDoubt}
	case reason == "":
		return nil, &TransitionError{id, e.State, ErrReasonRequired}
	}
	e.Reason = reasonResolved(reason)
	if ran {
		e.Payload = nil
		m.finish(now, e, Done)
	} else {
		m.setState(e, Ready)
		e.RequiresDeduplication = false
	}
	m.store(e)
	return m.takeEffects(), nil
}

// Move is a change that may be requested of a job that no worker has.
type Move uint8

// The moves.
const (
	Discard Move = iota // it will never run
	Kill                // it is Dead, and may be requeued
	Requeue             // it may run now, with all its attempts
)

var moveNames = [...]string{"discard", "kill", "requeue"}

// String is the name of the move.
func (move Move) String() string { return moveNames[move] }

// Move moves a job that waits or is dead. operator tells that an operator asks for it; nobody else may requeue a dead
// non-idempotent job. The error is a *TransitionError.
func (m *Machine) Move(now time.Duration, id string, move Move, reason Reason, operator bool) ([]Effect, error) {
	e := m.jobs[id]
	switch {
	case e == nil:
		return nil, &TransitionError{ID: id, Cause: ErrUnknownJob}
	case e.State != Scheduled && e.State != Ready && e.State != Waiting && e.State != Dead:
		return nil, &TransitionError{id, e.State, ErrNotMovable}
	case e.State == Dead && e.NonIdempotent && move == Requeue && !operator:
		return nil, &TransitionError{id, e.State, ErrOperatorRequired}
	}
	e.Reason = reason
	switch move {
	case Discard:
		e.Payload = nil
		m.finish(now, e, Discarded)
	case Kill:
		m.finish(now, e, Dead)
	case Requeue:
		e.Attempts = 0
		e.DueAt = now
		m.setState(e, Ready)
	}
	m.store(e)
	return m.takeEffects(), nil
}
