package dispatch

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/invariant"
)

// contradictionTest is a dispatcher with two workers and one open non-idempotent request, a renewal, whose first
// attempt has been assigned.
type contradictionTest struct {
	dispatcher   *Dispatcher
	client       *dialingClient
	responses    responseRecorder
	log          []string
	firstAttempt uint64 // handle of the first attempt of the renewal
}

func newContradictionTest(t *testing.T) *contradictionTest {
	now := time.Hour
	test := &contradictionTest{client: &dialingClient{sent: map[uint64]bool{}}, responses: responseRecorder{}}
	loop := eventloop.NewVirtual(func() time.Duration { return now })
	test.dispatcher = newTestDispatcher(t, loop, decision.Settings{
		Classes: []decision.Class{{
			PriorityWeight:   5,
			LatencyObjective: 2 * time.Second,
			Deadline:         4 * time.Second,
			Idempotency:      decision.NonIdempotent,
		}},
		Tick:           2 * time.Millisecond,
		MaxAttempts:    3,
		ConnectTimeout: 250 * time.Millisecond,
		MaxRetryAfter:  time.Second,
	})
	test.dispatcher.Log = func(text string) { test.log = append(test.log, text) }
	test.dispatcher.AddSource(test.client)
	test.dispatcher.UpdateWorkers(test.client, decision.ListDelta, []decision.Endpoint{{Name: "w1"}, {Name: "w2"}})
	test.dispatcher.Accept(test.responses, 1, Request{ID: "renewal-1", Work: 20 * time.Millisecond})
	test.firstAttempt = test.client.lastStarted()
	return test
}

// end reports the end of the first attempt.
func (c *contradictionTest) end(outcome decision.AttemptOutcome) {
	c.dispatcher.AttemptEnded(c.firstAttempt, outcome, decision.LoadReport{}, nil)
}

// checkFailedOnce checks that the renewal got one response, a failure that may have run, and that no second attempt was
// started.
func (c *contradictionTest) checkFailedOnce(t *testing.T) {
	t.Helper()
	if len(c.client.started) != 1 {
		t.Errorf("%d attempts were started, want 1", len(c.client.started))
	}
	got := c.responses[1]
	if len(got) != 1 || got[0].Outcome != Failed || !got[0].MayHaveRun {
		t.Errorf("answered with %+v, want one failure that may have run", got)
	}
}

// Guards against a renewal that is charged twice: a worker connection that has sent the last byte of an attempt claims
// afterwards that nothing was sent. If the claim is accepted, the renewal is retried at a second worker.
func TestNeverSentClaimAfterLastByteIsRejected(t *testing.T) {
	for name, claim := range map[string]func(*contradictionTest){
		"sent, then not sent": func(c *contradictionTest) {
			c.dispatcher.AttemptSent(c.firstAttempt)
			c.end(decision.NotSent)
		},
		"sent, then refused": func(c *contradictionTest) {
			c.dispatcher.AttemptSent(c.firstAttempt)
			c.end(decision.ConnectionRefused)
		},
		"started, then not sent": func(c *contradictionTest) {
			c.dispatcher.AttemptStarted(c.firstAttempt)
			c.end(decision.NotSent)
		},
		"sent, then resent": func(c *contradictionTest) {
			c.dispatcher.AttemptSent(c.firstAttempt)
			if c.dispatcher.MayResend(c.firstAttempt) {
				t.Error("an attempt that was sent may be sent again")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			test := newContradictionTest(t)
			claim(test)
			test.checkFailedOnce(t)
			if got, want := test.dispatcher.Guard.Violated(), (invariant.Counts{"contradiction": 1}); !maps.Equal(got, want) {
				t.Errorf("violated %v, want %v", got, want)
			}
		})
	}
}

// Guards against violations that cannot be diagnosed afterwards: the report names both contradictory claims, and the
// log contains the evidence for the claim that the attempt was never sent.
func TestContradictionIsLoggedWithBothClaims(t *testing.T) {
	test := newContradictionTest(t)
	var reported string
	test.dispatcher.Guard.Report = func(_ invariant.Rule, subject string) { reported = subject }
	test.dispatcher.AttemptSent(test.firstAttempt)
	test.dispatcher.ClaimNeverSent(test.firstAttempt, invariant.ClaimEnded, invariant.Evidence{LocalPort: 4711, Flushed: 99})
	test.end(decision.NotSent)
	if !strings.Contains(reported, "superseded") || !strings.Contains(reported, "reported as sent before") {
		t.Errorf("reported %q, want both claims", reported)
	}
	hasEvidence := func(line string) bool {
		return strings.Contains(line, "renewal-1") && strings.Contains(line, "4711") && strings.Contains(line, "flushed 99")
	}
	if !slices.ContainsFunc(test.log, hasEvidence) {
		t.Errorf("logged %q, want the evidence of the claim", test.log)
	}
}

// Guards against an attempt that is sent after its end: an attempt that has ended may not be resent on another
// connection. A call of MayResend for it violates no invariant.
func TestEndedAttemptIsNotResent(t *testing.T) {
	test := newContradictionTest(t)
	test.end(decision.ConnectionLost)
	if test.dispatcher.MayResend(test.firstAttempt) {
		t.Error("an attempt that has ended may be sent again")
	}
	if got := test.dispatcher.Guard.Violated(); len(got) > 0 {
		t.Errorf("violated %v, want nothing", got)
	}
}
