package eventloop

import (
	"slices"
	"testing"
	"time"
)

// Deadlines fire in order of time, then of setting; moved and withdrawn ones
// are told apart; one set while firing waits for the next turn.
func TestDeadlinesFireInOrder(t *testing.T) {
	l := New()
	var fired []int
	now := l.Now()
	d := make([]Deadline, 6)
	for i := range d {
		d[i].Fire = func() {
			fired = append(fired, i)
			if i == 0 {
				l.Set(&d[0], now)
			}
		}
	}
	for i, at := range []time.Duration{30, 10, 20, 10, 5, time.Hour} {
		l.Set(&d[i], now+at)
	}
	l.Set(&d[2], now+40) // later than it was
	l.Clear(&d[4])
	l.Clear(&d[4])
	l.unix += time.Minute
	l.fire()
	if want := []int{1, 3, 0, 2}; !slices.Equal(fired, want) {
		t.Fatalf("fired %v, want %v", fired, want)
	}
	l.fire()
	if want := []int{1, 3, 0, 2, 0}; !slices.Equal(fired, want) {
		t.Fatalf("fired %v, want %v", fired, want)
	}
}

// What is posted from elsewhere runs in order, and a deadline wakes the loop.
func TestLoopRunsWhatIsPosted(t *testing.T) {
	l := New()
	var got []int
	go func() {
		for i := range 100 {
			l.Post(func() { got = append(got, i) })
		}
		l.Post(func() { l.After(time.Millisecond, l.Stop) })
	}()
	l.Run()
	if len(got) != 100 || !slices.IsSorted(got) {
		t.Fatalf("ran %v", got)
	}
}

// What is read right after the process was held up may have waited since it was.
func TestWaitingAfterAStall(t *testing.T) {
	var now time.Duration
	loop := NewVirtual(func() time.Duration { return now })
	stalls := 0
	loop.OnStall = func() { stalls++ }
	var due Deadline
	due.Fire = func() { loop.Set(&due, now+time.Second) }
	loop.Set(&due, time.Second)
	for ; now < 10*time.Second; now += 500 * time.Millisecond {
		if loop.RunOnce(); loop.QueuedSince() != now {
			t.Errorf("at %v, without a stall: since %v", now, loop.QueuedSince())
		}
	}
	begin := now - 500*time.Millisecond
	now += 7 * time.Second
	if loop.RunOnce(); loop.QueuedSince() != begin || stalls != 1 {
		t.Errorf("right after a stall: since %v, not %v; %d stalls", loop.QueuedSince(), begin, stalls)
	}
	if now += afterStall; loop.QueuedSince() != now {
		t.Errorf("later: since %v", loop.QueuedSince())
	}
}
