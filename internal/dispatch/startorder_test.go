package dispatch

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// dialingClient is a worker client that behaves as if it were still dialing: an attempt counts as sent only when the
// test marks it so.
type dialingClient struct {
	started []Attempt
	sent    map[uint64]bool
}

func (c *dialingClient) Start(attempt Attempt) { c.started = append(c.started, attempt) }

func (c *dialingClient) Cancel(handle uint64) (neverRan bool) { return !c.sent[handle] }

func (c *dialingClient) CloseIdle(string)   {}
func (c *dialingClient) CheckHealth(string) {}
func (c *dialingClient) Subscribe()         {}

// lastStarted returns the handle of the attempt started last.
func (c *dialingClient) lastStarted() uint64 { return c.started[len(c.started)-1].Handle }

// responseRecorder is a front end that records the responses to each request, by token.
type responseRecorder map[uint64][]Response

func (r responseRecorder) Respond(token uint64, response Response) {
	r[token] = append(r[token], response)
}

// startOrderDeadline is the deadline of the requests of an startOrderTest.
const startOrderDeadline = 8 * time.Second

// startOrderTest is a dispatcher in virtual time, with one class of non-idempotent requests and one worker, which
// starts requests in the order of their arrival.
type startOrderTest struct {
	now        time.Duration
	dispatcher *Dispatcher
	client     *dialingClient
	responses  responseRecorder
}

func newStartOrderTest(t *testing.T) *startOrderTest {
	test := &startOrderTest{
		now:       time.Hour,
		client:    &dialingClient{sent: map[uint64]bool{}},
		responses: responseRecorder{},
	}
	loop := eventloop.NewVirtual(func() time.Duration { return test.now })
	test.dispatcher = newTestDispatcher(t, loop, decision.Settings{
		Classes: []decision.Class{{
			PriorityWeight:   5,
			LateWeight:       0.5,
			LatencyObjective: 200 * time.Millisecond,
			Deadline:         startOrderDeadline,
			Idempotency:      decision.NonIdempotent,
		}},
		Tick:                  2 * time.Millisecond,
		MaxAttempts:           3,
		Cancellation:          true,
		StartNotices:          true,
		StartsInOrder:         true,
		ProgressInterval:      time.Second,
		ConnectTimeout:        250 * time.Millisecond,
		ConnectionIdleTimeout: 10 * time.Second,
		MaxRetryAfter:         time.Second,
	})
	test.dispatcher.AddSource(test.client)
	test.dispatcher.UpdateWorkers(test.client, decision.ListDelta, []decision.Endpoint{{Name: "w"}})
	return test
}

// accept submits a request, which the machine assigns at once.
func (s *startOrderTest) accept(token uint64) {
	s.dispatcher.Accept(s.responses, token, Request{Work: 20 * time.Millisecond})
}

// advance lets a span of time pass.
func (s *startOrderTest) advance(span time.Duration) {
	for end := s.now + span; s.now < end; {
		s.now += time.Millisecond
		s.dispatcher.Loop.RunOnce()
	}
}

// sendAndStart reports that an attempt was sent and has started.
func (s *startOrderTest) sendAndStart(handle uint64) {
	s.client.sent[handle] = true
	s.dispatcher.AttemptSent(handle)
	s.dispatcher.AttemptStarted(handle)
}

// A non-idempotent request whose attempt has never been sent, since its connection is still being dialed, has not run.
// It must not fail as one that may have run when a later request starts at the same worker before it.
//
// Seen in 1 of 60 runs of TestServesOverFailingSystemCalls on a loaded machine: a renewal was answered with 502, and the
// trace of the daemon had "assigned", five "dial retried" within 110 ms and no "request written" before the 502. If the
// machine counts the attempt as sent when it is assigned, it assumes that the attempt uses an idle connection, since it
// also counts idle connections that the worker has announced to close, and takes the start of the later request as
// proof that this connection is dead.
func TestNeverSentRequestIsRejectedIfALaterOneStarts(t *testing.T) {
	test := newStartOrderTest(t)
	test.accept(1) // leaves a connection that the machine counts as idle although the worker may have closed it
	first := test.client.lastStarted()
	test.sendAndStart(first)
	test.dispatcher.AttemptEnded(first, decision.Completed, decision.LoadReport{}, nil)
	test.advance(time.Second)
	test.accept(2) // the connection for its attempt is still being dialed when the request becomes late
	test.advance(150 * time.Millisecond)
	test.accept(3)
	if started := len(test.client.started); started != 3 {
		t.Fatalf("%d attempts were started, want 3", started)
	}
	test.sendAndStart(test.client.lastStarted())
	test.advance(startOrderDeadline) // after this each request has its response

	if responses := len(test.responses[2]); responses != 1 {
		t.Fatalf("%d responses to the request that was never sent, want one", responses)
	}
	response := test.responses[2][0]
	if response.Outcome != Rejected || response.MayHaveRun {
		t.Errorf("a request that was never sent is answered with %v, may have run: %v; want a rejection",
			response.Outcome, response.MayHaveRun)
	}
}
