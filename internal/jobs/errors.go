package jobs

import (
	"errors"
	"fmt"
)

// The errors that callers distinguish. Their texts reach producers and workers.
var (
	// ErrIDConflict rejects a job whose id another job has already.
	ErrIDConflict = errors.New("this id is another job's")
	// ErrUnknownJob rejects a report about a job that is not known, or no longer.
	ErrUnknownJob = errors.New("no such job")
	// ErrLeaseVoid rejects a report under a lease that has expired or has been replaced.
	ErrLeaseVoid = errors.New("the lease is void")
)

// notStoredError rejects a push whose job could not be stored; it wraps the store's error.
func notStoredError(cause error) error { return fmt.Errorf("not kept: %w", cause) }
