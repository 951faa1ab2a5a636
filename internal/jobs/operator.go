package jobs

import "time"

// Resolve ends a job in doubt at an operator's request: it ran, or it did not and runs again. A reason is required.
// The error is a *TransitionError.
func (m *Machine) Resolve(now time.Duration, id string, ran bool, reason Reason) ([]Effect, error) {
	entry := m.jobs[id]
	switch {
	case entry == nil:
		return nil, &TransitionError{ID: id, Cause: ErrUnknownJob}
	case entry.State != InDoubt:
		return nil, &TransitionError{ID: id, State: entry.State, Cause: ErrNotInDoubt}
	case reason == "":
		return nil, &TransitionError{ID: id, State: entry.State, Cause: ErrReasonRequired}
	}
	entry.Reason = reasonResolved(reason)
	if ran {
		entry.Payload = nil
		m.finish(now, entry, Done)
	} else {
		m.setState(entry, Ready)
		entry.RequiresDeduplication = false
	}
	m.store(entry)
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

// Move moves a job that waits or is dead. operator is set where an operator asks for it; no one else may requeue a dead
// non-idempotent job. The error is a *TransitionError.
func (m *Machine) Move(now time.Duration, id string, move Move, reason Reason, operator bool) ([]Effect, error) {
	entry := m.jobs[id]
	switch {
	case entry == nil:
		return nil, &TransitionError{ID: id, Cause: ErrUnknownJob}
	case !entry.State.IsMovable():
		return nil, &TransitionError{ID: id, State: entry.State, Cause: ErrNotMovable}
	case entry.State == Dead && entry.NonIdempotent && move == Requeue && !operator:
		return nil, &TransitionError{ID: id, State: entry.State, Cause: ErrOperatorRequired}
	}
	entry.Reason = reason
	switch move {
	case Discard:
		entry.Payload = nil
		m.finish(now, entry, Discarded)
	case Kill:
		m.finish(now, entry, Dead)
	case Requeue:
		entry.Attempts = 0
		entry.DueAt = now
		m.setState(entry, Ready)
	}
	m.store(entry)
	return m.takeEffects(), nil
}
