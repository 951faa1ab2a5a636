package dispatch

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// waitingLease keeps the answer to who asks for a lease.
type waitingLease struct{ told func(fence uint64) bool }

func (w *waitingLease) Ask(_ *Job, _ string, told func(uint64) bool) { w.told = told }

func (w *waitingLease) Ended(*Job, uint64, decision.Outcome, bool, []byte) {}

// A request that is hung up while an attempt waits for its lease gets neither, also where the settings let
// nothing be called off.
func TestHangUpWhileALeaseIsAwaited(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		now := time.Hour
		c, err := New(eventloop.NewVirtual(func() time.Duration { return now }), decision.Settings{
			Classes: []decision.Class{{Worth: 3, Aim: time.Second, Deadline: 9 * time.Second}},
			Tick:    time.Millisecond, MaxAttempts: 2, Cancel: cancel,
		}, 7)
		if err != nil {
			t.Fatal(err)
		}
		w, lease := &windows{}, &waitingLease{}
		w.states = map[string]decision.WorkerState{}
		c.Listen(w)
		c.List(w, decision.ListComplete, []decision.Entry{{Worker: "a"}})
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
