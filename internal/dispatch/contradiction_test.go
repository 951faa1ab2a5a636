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

// contradictionTest is a dispatcher with one open renewal at the first of two workers.
type contradictionTest struct {
	dispatcher *Dispatcher
	client     *dialingClient
	responses  responseRecorder
	log        []string
	first      uint64 // the handle of its first attempt
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
	test.first = test.client.lastStarted()
	return test
}

// end reports the end of the first attempt.
func (c *contradictionTest) end(outcome decision.AttemptOutcome) {
	c.dispatcher.AttemptEnded(c.first, outcome, decision.LoadReport{}, nil)
}

// checkFailedOnce checks that the renewal failed as one that may have run, and that no second attempt was started.
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

// Guards against a renewal that is paid twice: a connection that claims after the last byte has left that nothing was
// sent was believed, and the renewal went to a second worker.
func TestClaimAfterTheLastByteLeftIsNotBelieved(t *testing.T) {
	for name, claim := range map[string]func(*contradictionTest){
		"sent, then not sent": func(c *contradictionTest) {
			c.dispatcher.AttemptSent(c.first)
			c.end(decision.NotSent)
		},
		"sent, then refused": func(c *contradictionTest) {
			c.dispatcher.AttemptSent(c.first)
			c.end(decision.ConnectionRefused)
		},
		"started, then not sent": func(c *contradictionTest) {
			c.dispatcher.AttemptStarted(c.first)
			c.end(decision.NotSent)
		},
		"sent, then moved": func(c *contradictionTest) {
			c.dispatcher.AttemptSent(c.first)
			if c.dispatcher.MayMove(c.first) {
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

// Guards against a violation that cannot be explained afterwards: the log has what each claim rested on.
func TestContradictionIsLoggedWithBothClaims(t *testing.T) {
	test := newContradictionTest(t)
	var reported string
	test.dispatcher.Guard.Report = func(_ invariant.Rule, subject string) { reported = subject }
	test.dispatcher.AttemptSent(test.first)
	test.dispatcher.ClaimNeverSent(test.first, invariant.ClaimEnded, invariant.Evidence{LocalPort: 4711, Flushed: 99})
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

// Guards against an attempt that goes out after its end: one that has ended may not be moved, which breaks no rule.
func TestEndedAttemptIsNotMoved(t *testing.T) {
	test := newContradictionTest(t)
	test.end(decision.ConnectionLost)
	if test.dispatcher.MayMove(test.first) {
		t.Error("an attempt that has ended may be sent again")
	}
	if got := test.dispatcher.Guard.Violated(); len(got) > 0 {
		t.Errorf("violated %v, want nothing", got)
	}
}
