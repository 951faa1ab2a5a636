package hollyyoke_test

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke"
)

func Example() {
	d, err := hollyyoke.New(hollyyoke.Settings{
		Classes: []hollyyoke.Class{{
			Worth: 1, Aim: 200 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second,
			Repeat: hollyyoke.Retryable,
		}},
		Peers: 1, Tick: time.Millisecond, MaxAttempts: 3,
	}, 42)
	if err != nil {
		panic(err)
	}
	now := time.Hour // any monotonic clock
	d.Handle(now, hollyyoke.Event{
		Kind: hollyyoke.WorkerList, List: hollyyoke.ListComplete,
		Entries: []hollyyoke.Entry{{Worker: "10.0.0.1:9000"}},
	}, nil)
	actions := d.Handle(now, hollyyoke.Event{
		Kind: hollyyoke.Arrival, Request: 1, Slots: 1,
		Work: 100 * time.Millisecond, Left: 5 * time.Second,
	}, nil)
	for _, a := range actions {
		if a.Kind == hollyyoke.Assign {
			fmt.Println("send request", a.Request, "to", a.Worker)
		}
	}
	// Output: send request 1 to 10.0.0.1:9000
}
