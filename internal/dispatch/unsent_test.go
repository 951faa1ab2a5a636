package dispatch

import (
	"fmt"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// While discovery is overloaded, a worker is sent a request only after it has shown that it serves; otherwise the
// attempt ends as not sent. Such attempts must not count towards the three attempts of a request. If the decision
// machine or the dispatcher counts the assigned attempts instead of those that were sent, the request is rejected after
// three of them, 3 ms into its 4 s, although nothing of it was sent and other workers are free.

// outcomeClient is a worker client whose attempts end with the given outcomes, in the order of their start; the last
// outcome repeats. An attempt is reported as sent before it ends, unless it ends as not sent.
type outcomeClient struct {
	dialingClient
	dispatcher *Dispatcher
	outcomes   []decision.AttemptOutcome
	sentCount  int // attempts whose last byte was sent
}

func (c *outcomeClient) Start(attempt Attempt) {
	c.dialingClient.Start(attempt)
	outcome := c.outcomes[min(len(c.started), len(c.outcomes))-1]
	c.dispatcher.Loop.After(time.Millisecond, func() {
		if outcome != decision.NotSent {
			c.sentCount++
			c.sent[attempt.Handle] = true
			c.dispatcher.AttemptSent(attempt.Handle)
		}
		c.dispatcher.AttemptEnded(attempt.Handle, outcome, decision.LoadReport{}, nil)
	})
}

func TestUnsentAttemptsDoNotCount(t *testing.T) {
	const notSent, completed, lost = decision.NotSent, decision.Completed, decision.ConnectionLost
	const maxAttempts = 3
	for _, test := range []struct {
		name     string
		outcomes []decision.AttemptOutcome
		want     Outcome
	}{
		{"three attempts not sent", []decision.AttemptOutcome{notSent, notSent, notSent, completed}, Served},
		{"two not sent and two lost", []decision.AttemptOutcome{notSent, lost, notSent, lost, completed}, Served},
		{"all sent attempts lost", []decision.AttemptOutcome{notSent, lost}, Rejected},
		{"no attempt sent", []decision.AttemptOutcome{notSent}, Rejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Hour
			loop := eventloop.NewVirtual(func() time.Duration { return now })
			dispatcher := newTestDispatcher(t, loop, decision.Settings{
				Classes:        []decision.Class{{PriorityWeight: 1, LateWeight: 0.5, LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second}},
				Tick:           2 * time.Millisecond,
				MaxAttempts:    maxAttempts,
				ConnectTimeout: 250 * time.Millisecond,
				MaxRetryAfter:  time.Second,
			})
			client := &outcomeClient{dialingClient: dialingClient{sent: map[uint64]bool{}}, dispatcher: dispatcher, outcomes: test.outcomes}
			dispatcher.AddSource(client)
			var workers []decision.Endpoint
			for i := range 40 {
				workers = append(workers, decision.Endpoint{Name: fmt.Sprint("w", i)})
			}
			dispatcher.UpdateWorkers(client, decision.ListDelta, workers)
			responses := responseRecorder{}
			dispatcher.Accept(responses, 1, Request{Work: 20 * time.Millisecond})
			for end := now + 5*time.Second; now < end; now += time.Millisecond {
				loop.RunOnce()
			}
			if len(responses[1]) != 1 || responses[1][0].Outcome != test.want {
				t.Errorf("answered with %+v, want %v once", responses[1], test.want)
			}
			if client.sentCount > maxAttempts {
				t.Errorf("%d attempts were sent, want at most %d", client.sentCount, maxAttempts)
			}
			if len(client.started) > 4*maxAttempts {
				t.Errorf("%d attempts were started for one request, which seem to have no limit", len(client.started))
			}
		})
	}
}
