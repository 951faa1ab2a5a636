package dispatch

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// The machine abandons a renewal that can only complete late if a late response has no value. If the connection for the
// renewal is still being dialed then, the renewal must be rejected as never run, so that the client can send it again
// at once. Guards against the response "failed, may have run: true" although the worker client has sent nothing, by which
// the member is told to check whether the renewal was charged. The cause is that of
// TestNeverSentRequestIsRejectedIfALaterOneStarts: the machine counts an attempt as sent when it is assigned.
func TestLateRequestThatWasNeverSentIsRejected(t *testing.T) {
	now := time.Hour
	client := &dialingClient{sent: map[uint64]bool{}}
	responses := responseRecorder{}
	loop := eventloop.NewVirtual(func() time.Duration { return now })
	dispatcher := newTestDispatcher(t, loop, decision.Settings{
		Classes: []decision.Class{{
			PriorityWeight:   5,
			LatencyObjective: 200 * time.Millisecond,
			Deadline:         startOrderDeadline,
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
	sentAttempt := accept(2)
	client.sent[sentAttempt] = true
	dispatcher.AttemptSent(sentAttempt)
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
