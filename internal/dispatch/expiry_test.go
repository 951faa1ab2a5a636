package dispatch

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// Guards against a request that never ran and is answered as failed: its deadline passed before the decision machine gave
// it up, since the loop was late by a millisecond. Its client may not repeat it after that answer.
func TestExpiredRequestThatNeverRanIsRejected(t *testing.T) {
	d := newTestDispatcher(t, eventloop.New(), decision.Settings{
		Classes:       []decision.Class{{Deadline: time.Second, Idempotency: decision.NonIdempotent}},
		Tick:          time.Millisecond,
		MaxRetryAfter: 2 * time.Second,
	})
	var got []Response
	record := respondFunc(func(response Response) { got = append(got, response) })
	d.Accept(record, 0, Request{ID: "waits for a worker"})
	d.ExpireAll()
	if len(got) != 1 || got[0].Outcome != Rejected || got[0].MayHaveRun || got[0].RetryAfter == 0 {
		t.Errorf("%+v, want one rejection with a time after which to retry", got)
	}
}

// Guards against a request that ends by the dispatcher's expiry although the decision machine ends it earlier: the
// machine's timers were set from the clock as it was when an action was carried out, a moment after the decision.
func TestTimersCountFromTheDecision(t *testing.T) {
	const maxRetryAfter = time.Hour // that of an expiry; the machine tells less
	now := time.Hour
	loop := eventloop.NewVirtual(func() time.Duration {
		now += 10 * time.Millisecond // each reading of the clock takes a while
		return now
	})
	d := newTestDispatcher(t, loop, decision.Settings{
		Classes:       []decision.Class{{Deadline: time.Second, Idempotency: decision.NonIdempotent}},
		Tick:          time.Millisecond,
		MaxRetryAfter: maxRetryAfter,
	})
	var got []Response
	record := respondFunc(func(response Response) { got = append(got, response) })
	d.Accept(record, 0, Request{ID: "waits for a worker"})
	for len(got) == 0 {
		loop.RunOnce()
	}
	if got[0].Outcome != Rejected || got[0].RetryAfter == maxRetryAfter {
		t.Errorf("%+v, want the machine's rejection", got[0])
	}
}
