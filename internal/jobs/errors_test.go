package jobs

import (
	"errors"
	"testing"
)

// The texts of rejections reach clients and operators and must stay; their causes are found by errors.Is.
func TestErrorTexts(t *testing.T) {
	store := errors.New("no space left on device")
	for _, test := range []struct {
		err   error
		cause error
		text  string
	}{
		{ErrIDConflict, ErrIDConflict, "this id is another job's"},
		{ErrUnknownJob, ErrUnknownJob, "no such job"},
		{ErrLeaseVoid, ErrLeaseVoid, "the lease is void"},
		{&NotStoredError{store}, store, "not kept: no space left on device"},
		{&TransitionError{ID: "a", Cause: ErrUnknownJob}, ErrUnknownJob, "no job a"},
		{&TransitionError{"a", Ready, ErrNotInDoubt}, ErrNotInDoubt, "job a is ready, not in doubt"},
		{&TransitionError{"a", InDoubt, ErrReasonRequired}, ErrReasonRequired, "job a: a reason is needed"},
		{&TransitionError{"a", Done, ErrNotMovable}, ErrNotMovable, "job a is done: only one that waits or is dead can be moved"},
		{&TransitionError{"a", Dead, ErrOperatorRequired}, ErrOperatorRequired, "job a may not run twice: an operator retries it, with a reason"},
	} {
		if test.err.Error() != test.text {
			t.Errorf("%q, want %q", test.err, test.text)
		}
		if !errors.Is(test.err, test.cause) {
			t.Errorf("%q does not wrap %q", test.err, test.cause)
		}
	}
}
