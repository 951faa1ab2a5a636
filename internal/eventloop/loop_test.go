package eventloop

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Functions that another goroutine posts run in order, and a deadline wakes the loop.
func TestRunCallsPostedFunctionsInOrder(t *testing.T) {
	loop := New()
	var got []int
	go func() {
		for i := range 100 {
			loop.Post(func() { got = append(got, i) })
		}
		loop.Post(func() { loop.After(time.Millisecond, loop.Stop) })
	}()
	loop.Run()
	if len(got) != 100 || !slices.IsSorted(got) {
		t.Fatalf("ran %v, want 0 to 99 in order", got)
	}
}

// In virtual time the caller advances the clock to the time at which the next turn is due.
func ExampleNewVirtual() {
	now := time.Duration(0)
	loop := NewVirtual(func() time.Duration { return now })
	loop.After(2*time.Second, func() { fmt.Println("second deadline at", loop.Now()) })
	loop.After(time.Second, func() { fmt.Println("first deadline at", loop.Now()) })
	for {
		at, ok := loop.NextDue()
		if !ok {
			return
		}
		now = at
		loop.RunOnce()
	}
	// Output:
	// first deadline at 1s
	// second deadline at 2s
}
