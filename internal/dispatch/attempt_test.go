package dispatch

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// Settings for the tests of RetryBy.
const (
	dedupWindow    = 2 * time.Second
	connectTimeout = 200 * time.Millisecond
)

// retryByCase is a request whose attempts end one after the other with the given outcomes. One more attempt follows,
// which stays open.
type retryByCase struct {
	name        string
	idempotency decision.Idempotency
	outcomes    []decision.AttemptOutcome
	boundBy     []int // for each attempt, the earlier attempt whose dedup window bounds it, or -1 if there is no bound
}

// A retry must be sent within the dedup window of the first attempt that may have run, less the time for the transfer
// to the worker. An attempt that never ran sets no bound, and neither do the attempts of requests of other classes.
func TestRetryMustBeSentWithinDedupWindow(t *testing.T) {
	for _, c := range []retryByCase{
		{"may have run", decision.Deduplicated, []decision.AttemptOutcome{decision.Failed}, []int{-1, 0}},
		{"never ran", decision.Deduplicated, []decision.AttemptOutcome{decision.ConnectionRefused}, []int{-1, -1}},
		{"idempotent", decision.Idempotent, []decision.AttemptOutcome{decision.Failed}, []int{-1, -1}},
		{"not idempotent", decision.NonIdempotent, []decision.AttemptOutcome{decision.ConnectionRefused}, []int{-1, -1}},
	} {
		t.Run(c.name, func(t *testing.T) { testRetryBy(t, c) })
	}
}

func testRetryBy(t *testing.T, c retryByCase) {
	now := time.Hour
	d := newTestDispatcher(t, eventloop.NewVirtual(func() time.Duration { return now }), retryBySettings(c.idempotency))
	client := &recordingClient{}
	d.AddSource(client)
	d.UpdateWorkers(client, decision.ListSnapshot, []decision.Endpoint{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}})
	d.Accept(discardResponses, 0, Request{ID: "one", TimeLeft: 9 * time.Second, Work: 10 * time.Millisecond})

	awaitAttempt := func(number int) {
		t.Helper()
		for len(client.started) == number {
			now += time.Millisecond
			d.Loop.RunOnce()
			if now > time.Hour+dedupWindow {
				t.Fatalf("attempt %d does not start", number)
			}
		}
	}
	var assignedAt []time.Duration
	for i, outcome := range c.outcomes {
		awaitAttempt(i)
		assignedAt = append(assignedAt, now)
		now += 50 * time.Millisecond
		d.AttemptEnded(client.started[i].Handle, outcome, decision.LoadReport{}, nil)
	}
	awaitAttempt(len(c.outcomes))

	for i, attempt := range client.started {
		want := time.Duration(0)
		if first := c.boundBy[i]; first >= 0 {
			want = assignedAt[first] + dedupWindow - connectTimeout/2
		}
		unsafe := c.idempotency != decision.Idempotent
		if attempt.RetryBy != want || attempt.RetryUnsafe != unsafe {
			t.Errorf("attempt %d: retry by %v, want %v; retry unsafe %v, want %v",
				i, attempt.RetryBy-time.Hour, want-time.Hour, attempt.RetryUnsafe, unsafe)
		}
	}
	checkRetryByOfReorderedAttempts(t, d, c.idempotency)
}

func retryBySettings(idempotency decision.Idempotency) decision.Settings {
	return decision.Settings{
		Classes: []decision.Class{{
			PriorityWeight:   3,
			LatencyObjective: 300 * time.Millisecond,
			Deadline:         9 * time.Second,
			Idempotency:      idempotency,
			DedupWindow:      dedupWindow,
		}},
		Tick:           time.Millisecond,
		MaxAttempts:    4,
		Cancellation:   true,
		ConnectTimeout: connectTimeout,
		MaxRetryAfter:  time.Second,
	}
}

// checkRetryByOfReorderedAttempts checks the bound for attempts whose assignment times are not in the order of their
// numbers.
func checkRetryByOfReorderedAttempts(t *testing.T, d *Dispatcher, idempotency decision.Idempotency) {
	t.Helper()
	neverRan := attemptRecord{assignedAt: 9, neverRan: true}
	for _, c := range []struct {
		attempts []attemptRecord
		want     time.Duration
	}{
		{[]attemptRecord{neverRan, {assignedAt: 20}, {assignedAt: 10}}, 10 + dedupWindow - connectTimeout/2},
		{[]attemptRecord{neverRan, {assignedAt: 20, neverRan: true}}, 0},
	} {
		if idempotency != decision.Deduplicated {
			c.want = 0
		}
		if got := d.retryBy(&openRequest{attempts: c.attempts}); got != c.want {
			t.Errorf("after %v: retry by %v, want %v", c.attempts, got, c.want)
		}
	}
}
