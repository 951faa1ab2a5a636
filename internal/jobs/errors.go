package jobs

import (
	"errors"
	"fmt"
)

// The errors with which a request about a job is rejected. Their texts reach producers, workers and operators.
var (
	// ErrIDConflict rejects a push whose job id is already used by a job with another payload hash.
	ErrIDConflict = errors.New("this id is another job's")
	// ErrUnknownJob rejects a request about a job that does not exist or has been deleted.
	ErrUnknownJob = errors.New("no such job")
	// ErrLeaseVoid rejects a report under a lease that does not exist, has expired or has been replaced.
	ErrLeaseVoid = errors.New("the lease is void")

	// ErrNotInDoubt rejects a request to resolve a job that is not in doubt.
	ErrNotInDoubt = errors.New("the job is not in doubt")
	// ErrReasonRequired rejects a request to resolve a job that gives no reason for the audit.
	ErrReasonRequired = errors.New("a reason is needed")
	// ErrNotMovable rejects a request to move a job that is neither waiting to run nor dead.
	ErrNotMovable = errors.New("only a job that waits or is dead can be moved")
	// ErrOperatorRequired rejects a request to requeue a dead non-idempotent job that does not come from an operator.
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
