package decision_test

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

func Example() {
	d, err := decision.New(decision.Settings{
		Classes: []decision.Class{{
			PriorityWeight:   1,
			LatencyObjective: 200 * time.Millisecond,
			ObjectiveStretch: 2,
			Deadline:         5 * time.Second,
			Idempotency:      decision.Idempotent,
		}},
		Peers: 1, Tick: time.Millisecond, MaxAttempts: 3,
	}, 42)
	if err != nil {
		panic(err)
	}
	now := time.Hour // any monotonic clock
	d.Handle(now, decision.Event{
		Kind: decision.ListUpdated, ListKind: decision.ListSnapshot,
		Endpoints: []decision.Endpoint{{Name: "10.0.0.1:9000"}},
	}, nil)
	actions := d.Handle(now, decision.Event{
		Kind: decision.RequestArrived, Request: 1, Slots: 1,
		Work: 100 * time.Millisecond, TimeLeft: 5 * time.Second,
	}, nil)
	for _, a := range actions {
		if a.Kind == decision.Assign {
			fmt.Println("send request", a.Request, "to", a.Worker)
		}
	}
	// Output: send request 1 to 10.0.0.1:9000
}
