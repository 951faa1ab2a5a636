package jobs

import (
	"errors"
	"fmt"
)

// The reasons for which a request about a job is rejected. Their texts reach producers, workers and operators.
var (
	// ErrIDConflict rejects a job whose id another job has already.
	ErrIDConflict = errors.New("this id is another job's")
	// ErrUnknownJob rejects a report about a job that is not known, or no longer.
	ErrUnknownJob = errors.New("no such job")
	// ErrLeaseVoid rejects a report under a lease that has expired or has been replaced.
	ErrLeaseVoid = errors.New("the lease is void")

	// ErrNotInDoubt rejects to resolve a job that is not in doubt.
	ErrNotInDoubt = errors.New("the job is not in doubt")
	// ErrReasonRequired rejects to resolve a job without a reason for the audit.
	ErrReasonRequired = errors.New("a reason is needed")
	// ErrNotMovable rejects to move a job that is neither waiting nor dead.
	ErrNotMovable = errors.New("only a job that waits or is dead can be moved")
	// ErrOperatorRequired rejects to requeue a dead non-idempotent job but at an operator's request.
	ErrOperatorRequired = errors.New("only an operator may requeue a non-idempotent job")
)

// TransitionError says why Machine.Resolve or Machine.Move left a job as it was.
type TransitionError struct {
	ID    string
	State State // of the job; the zero value where Cause is ErrUnknownJob
	Cause error // ErrUnknownJob, ErrNotInDoubt, ErrReasonRequired, ErrNotMovable or ErrOperatorRequired
}

// Error is the text that operators and Faktory clients get.
func (e *TransitionError) Error() string {
	switch e.Cause {
	case ErrUnknownJob:
		return fmt.Sprintf("no job %s", e.ID)
	case ErrNotInDoubt:
		return fmt.Sprintf("job %s is %s, not in doubt", e.ID, e.State)
	case ErrNotMovable:
		return fmt.Sprintf("job %s is %s: only one that waits or is dead can be moved", e.ID, e.State)
	case ErrOperatorRequired:
		return fmt.Sprintf("job %s may not run twice: an operator retries it, with a reason", e.ID)
	default:
		return fmt.Sprintf("job %s: %v", e.ID, e.Cause)
	}
}

// Unwrap returns Cause.
func (e *TransitionError) Unwrap() error { return e.Cause }

// NotStoredError rejects a job that could not be stored; Cause is the store's error.
type NotStoredError struct{ Cause error }

// Error is the text that producers get.
func (e *NotStoredError) Error() string { return "not kept: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *NotStoredError) Unwrap() error { return e.Cause }
