package dispatch

import (
	"fmt"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// While discovery is crowded each worker must show that it serves before it gets a request, and one that does not is
// given nothing. Such an attempt counted among the three that a request has: after three workers that could not be asked
// the request was rejected, though nothing of it had ever been sent and others were free. The cause: both the decision
// machine and the dispatcher counted what was assigned (three attempts "not sent", then a rejection after 3 ms of 4 s).

// outcomeClient is a worker client whose attempts end one after the other with given outcomes, the last of which
// repeats. All but those that end as not sent leave first.
type outcomeClient struct {
	dialingClient
	dispatcher *Dispatcher
	outcomes   []decision.AttemptOutcome
	left       int // attempts whose last byte has left
}

func (c *outcomeClient) Start(attempt Attempt) {
	c.dialingClient.Start(attempt)
	outcome := c.outcomes[min(len(c.started), len(c.outcomes))-1]
	c.dispatcher.Loop.After(time.Millisecond, func() {
		if outcome != decision.NotSent {
			c.left++
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
		{"three workers could not be asked", []decision.AttemptOutcome{notSent, notSent, notSent, completed}, Served},
		{"two could not, and two fail", []decision.AttemptOutcome{notSent, lost, notSent, lost, completed}, Served},
		{"all that are sent fail", []decision.AttemptOutcome{notSent, lost}, Rejected},
		{"no worker can be asked", []decision.AttemptOutcome{notSent}, Rejected},
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
			if client.left > maxAttempts {
				t.Errorf("%d attempts were sent, at most %d", client.left, maxAttempts)
			}
			if len(client.started) > 4*maxAttempts {
				t.Errorf("%d attempts for one request: it goes round for ever", len(client.started))
			}
		})
	}
}
