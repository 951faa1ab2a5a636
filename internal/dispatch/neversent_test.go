package dispatch

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// A renewal that is still being dialed gives up its place once it can only be late and an answer that is late earns
// nothing. It was answered as failed and perhaps run, though no byte of it had left: a member whose renewal could have
// been sent again at once was told to look whether it had been charged. The cause is that of
// TestOvertakenRequestThatWasNeverSentIsRejected: the machine counts what is assigned as sent. The response recorded was
// "failed, may have run: true" for an attempt of which the worker client had sent nothing.
func TestLateRequestThatWasNeverSentIsRejected(t *testing.T) {
	now := time.Hour
	client := &dialingClient{sent: map[uint64]bool{}}
	responses := responseRecorder{}
	loop := eventloop.NewVirtual(func() time.Duration { return now })
	dispatcher := newTestDispatcher(t, loop, decision.Settings{
		Classes: []decision.Class{{
			PriorityWeight:   5,
			LatencyObjective: 200 * time.Millisecond,
			Deadline:         overtakingDeadline,
			Idempotency:      decision.NonIdempotent,
		}},
		Tick:           2 * time.Millisecond,
		MaxAttempts:    3,
		Cancellation:   true,
		StartNotices:   true,
		ConnectTimeout: 250 * time.Millisecond,
		MaxRetryAfter:  time.Second,
	})
	dispatcher.AddSource(client)
	dispatcher.UpdateWorkers(client, decision.ListDelta, []decision.Endpoint{{Name: "w"}})
	accept := func(token uint64) (attempt uint64) {
		dispatcher.Accept(responses, token, Request{Work: 20 * time.Millisecond})
		return client.lastStarted()
	}
	accept(1)
	handedToKernel := accept(2)
	client.sent[handedToKernel] = true
	dispatcher.AttemptSent(handedToKernel)
	for end := now + time.Second; now < end; now += time.Millisecond {
		loop.RunOnce()
	}
	want := map[uint64]Outcome{1: Rejected, 2: Failed} // the second may have run
	for token, outcome := range want {
		if len(responses[token]) != 1 {
			t.Fatalf("%d responses to request %d, want one", len(responses[token]), token)
		}
		response := responses[token][0]
		if response.Outcome != outcome || response.MayHaveRun != (outcome == Failed) {
			t.Errorf("request %d is answered with %v, may have run: %v; want %v", token, response.Outcome, response.MayHaveRun, outcome)
		}
	}
}
