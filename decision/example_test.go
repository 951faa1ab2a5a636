package decision_test

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

func Example() {
	d, err := decision.New(decision.Settings{
		Classes: []decision.Class{{
			Worth: 1, Aim: 200 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second,
			Repeat: decision.Retryable,
		}},
		Peers: 1, Tick: time.Millisecond, MaxAttempts: 3,
	}, 42)
	if err != nil {
		panic(err)
	}
	now := time.Hour // any monotonic clock
	d.Handle(now, decision.Event{
		Kind: decision.WorkerList, List: decision.ListComplete,
		Entries: []decision.Entry{{Worker: "10.0.0.1:9000"}},
	}, nil)
	actions := d.Handle(now, decision.Event{
		Kind: decision.Arrival, Request: 1, Slots: 1,
		Work: 100 * time.Millisecond, Left: 5 * time.Second,
	}, nil)
	for _, a := range actions {
		if a.Kind == decision.Assign {
			fmt.Println("send request", a.Request, "to", a.Worker)
		}
	}
	// Output: send request 1 to 10.0.0.1:9000
}
