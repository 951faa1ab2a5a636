package jobs

import "time"

// Resolve records an operator's decision about a job that is InDoubt. If ran is true, the job becomes Done; otherwise
// it becomes Ready, and any worker may get it. A reason is required. Any error is a *TransitionError.
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
		entry.dropPayload()
		m.finish(now, entry, Done)
	} else {
		m.setState(entry, Ready)
		entry.RequiresDeduplication = false
	}
	m.store(entry)
	return m.takeEffects(), nil
}

// Move is a state change that an operator or a client may request for a job that no worker holds.
type Move uint8

// The moves that may be requested.
const (
	Discard Move = iota // the job will never run
	Kill                // the job is Dead, and may be requeued
	Requeue             // the job may run now, with its attempts counted from zero
)

var moveNames = [...]string{"discard", "kill", "requeue"}

// String is the name of the move.
func (move Move) String() string { return moveNames[move] }

// Move changes the state of a job that waits to run or is Dead. operator tells whether the request comes from an
// operator: only an operator may requeue a Dead non-idempotent job. Any error is a *TransitionError.
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
		entry.dropPayload()
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
