package core

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke"
)

// waitingLease keeps the answer to who asks for a lease.
type waitingLease struct{ told func(fence uint64) bool }

func (w *waitingLease) Ask(_ *Job, _ string, told func(uint64) bool) { w.told = told }

func (w *waitingLease) Ended(*Job, uint64, hollyyoke.Outcome, bool, []byte) {}

// A request that is hung up while an attempt waits for its lease gets neither, also where the settings let
// nothing be called off.
func TestHangUpWhileALeaseIsAwaited(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		now := time.Hour
		c, err := New(NewVirtual(func() time.Duration { return now }), hollyyoke.Settings{
			Classes: []hollyyoke.Class{{Worth: 3, Aim: time.Second, Deadline: 9 * time.Second}},
			Tick:    time.Millisecond, MaxAttempts: 2, Cancel: cancel,
		}, 7)
		if err != nil {
			t.Fatal(err)
		}
		w, lease := &windows{}, &waitingLease{}
		w.states = map[string]hollyyoke.WorkerState{}
		c.Listen(w)
		c.List(w, hollyyoke.ListComplete, []hollyyoke.Entry{{Worker: "a"}})
		handle := c.Take(answers(func(Answer) {}), 0, Job{ID: "one", Work: 10 * time.Millisecond, Lease: lease})
		if lease.told == nil {
			t.Fatal("no lease was asked for")
		}
		c.HangUp(handle)
		if lease.told(1) || len(w.got) > 0 {
			t.Errorf("cancel %v: %d attempts began for a request that was over", cancel, len(w.got))
		}
	}
}
