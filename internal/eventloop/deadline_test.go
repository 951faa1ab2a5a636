package eventloop

import (
	"slices"
	"testing"
	"time"
)

// Deadlines fire in the order of their times, and in the order in which they were set where the times are equal. A
// moved deadline fires at its new time and a cleared one does not fire. One that is set while deadlines fire is left to
// the next turn.
func TestDeadlinesFireInOrder(t *testing.T) {
	loop := New()
	var fired []int
	now := loop.Now()
	deadlines := make([]Deadline, 6)
	for i := range deadlines {
		deadlines[i].Fire = func() {
			fired = append(fired, i)
			if i == 0 {
				loop.Set(&deadlines[0], now)
			}
		}
	}
	for i, delay := range []time.Duration{30, 10, 20, 10, 5, time.Hour} {
		loop.Set(&deadlines[i], now+delay)
	}
	loop.Set(&deadlines[2], now+40) // moves the deadline to a later time
	loop.Clear(&deadlines[4])
	loop.Clear(&deadlines[4])
	loop.startedUnix += time.Minute // advances the loop's clock
	loop.fireDeadlines()
	if want := []int{1, 3, 0, 2}; !slices.Equal(fired, want) {
		t.Fatalf("fired %v, want %v", fired, want)
	}
	loop.fireDeadlines()
	if want := []int{1, 3, 0, 2, 0}; !slices.Equal(fired, want) {
		t.Fatalf("in the next turn: fired %v, want %v", fired, want)
	}
}
