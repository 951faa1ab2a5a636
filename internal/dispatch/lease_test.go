package dispatch

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// waitingLease keeps the answer to who asks for a lease.
type waitingLease struct{ told func(fence uint64) bool }

func (w *waitingLease) Acquire(_ *Request, _ string, told func(uint64) bool) { w.told = told }

func (w *waitingLease) Ended(*Request, uint64, decision.AttemptOutcome, bool, []byte) {}

// A request that is hung up while an attempt waits for its lease gets neither, also where the settings let
// nothing be called off.
func TestHangUpWhileALeaseIsAwaited(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		now := time.Hour
		c, err := New(eventloop.NewVirtual(func() time.Duration { return now }), decision.Settings{
			Classes: []decision.Class{{PriorityWeight: 3, LatencyObjective: time.Second, Deadline: 9 * time.Second}},
			Tick:    time.Millisecond, MaxAttempts: 2, Cancellation: cancel,
		}, 7)
		if err != nil {
			t.Fatal(err)
		}
		w, lease := &windows{}, &waitingLease{}
		w.states = map[string]decision.WorkerState{}
		c.AddSource(w)
		c.UpdateWorkers(w, decision.ListSnapshot, []decision.Endpoint{{Name: "a"}})
		handle := c.Accept(answers(func(Response) {}), 0, Request{ID: "one", Work: 10 * time.Millisecond, Leaser: lease})
		if lease.told == nil {
			t.Fatal("no lease was asked for")
		}
		c.Cancel(handle)
		if lease.told(1) || len(w.got) > 0 {
			t.Errorf("cancel %v: %d attempts began for a request that was over", cancel, len(w.got))
		}
	}
}
