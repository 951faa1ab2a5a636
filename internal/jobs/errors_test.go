package jobs

import (
	"errors"
	"testing"
	"time"
)

// The texts of rejections reach clients and operators and must not change; errors.Is finds their causes.
func TestErrorTexts(t *testing.T) {
	diskFull := errors.New("no space left on device")
	for _, test := range []struct {
		err   error
		cause error
		text  string
	}{
		{ErrIDConflict, ErrIDConflict, "this id is another job's"},
		{ErrUnknownJob, ErrUnknownJob, "no such job"},
		{ErrLeaseVoid, ErrLeaseVoid, "the lease is void"},
		{&NotStoredError{diskFull}, diskFull, "not kept: no space left on device"},
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

// Each request of an operator that is rejected has its own text, and leaves the job as it was.
func TestRejectedRequestTexts(t *testing.T) {
	resolve := func(reason Reason) func(*Machine) ([]Effect, error) {
		return func(m *Machine) ([]Effect, error) { return m.Resolve(time.Second, "a", true, reason) }
	}
	move := func(to Move) func(*Machine) ([]Effect, error) {
		return func(m *Machine) ([]Effect, error) { return m.Move(time.Second, "a", to, "asked", false) }
	}
	for _, test := range []struct {
		stored  []Job
		request func(*Machine) ([]Effect, error)
		text    string
		cause   error
	}{
		{nil, resolve("asked"), "no job a", ErrUnknownJob},
		{nil, move(Kill), "no job a", ErrUnknownJob},
		{[]Job{{ID: "a", State: Ready}}, resolve("asked"), "job a is ready, not in doubt", ErrNotInDoubt},
		{[]Job{{ID: "a", State: InDoubt}}, resolve(""), "job a: a reason is needed", ErrReasonRequired},
		{[]Job{{ID: "a", State: Done}}, move(Kill), "job a is done: only one that waits or is dead can be moved", ErrNotMovable},
		{[]Job{{ID: "a", State: Dead, NonIdempotent: true}}, move(Requeue), "job a may not run twice: an operator retries it, with a reason", ErrOperatorRequired},
	} {
		machine := New(Config{})
		machine.Recover(0, test.stored)
		before, _ := machine.Get("a")
		effects, err := test.request(machine)
		if err == nil || err.Error() != test.text {
			t.Errorf("rejected with %v, want %q", err, test.text)
		}
		if !errors.Is(err, test.cause) {
			t.Errorf("%v does not wrap %q", err, test.cause)
		}
		if after, _ := machine.Get("a"); len(effects) > 0 || after.State != before.State || after.Version != before.Version {
			t.Errorf("%q: the effects are %v, and the job went from %s to %s", test.text, effects, before.State, after.State)
		}
	}
}
