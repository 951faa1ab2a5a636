package eventloop

import (
	"testing"
	"time"
)

// Guards against requests that are treated as new although they waited while the process was blocked: stalls of less
// than 0.5 s must not be ignored.
func TestQueuedSinceAfterShortStall(t *testing.T) {
	now := time.Hour
	loop := NewVirtual(func() time.Duration { return now })
	loop.RunOnce()
	begin := now
	loop.Set(&Deadline{Fire: func() {}}, now+20*time.Millisecond)
	now += 300 * time.Millisecond
	loop.RunOnce()
	if got := loop.QueuedSince(); got != begin {
		t.Errorf("after a stall of 0.3 s: since %v, want %v", got, begin)
	}
}

// Guards against the same failure if the loop is blocked by a function within a turn.
func TestQueuedSinceAfterLongTurn(t *testing.T) {
	now := time.Hour
	loop := NewVirtual(func() time.Duration { return now })
	begin := now
	loop.Post(func() { now += 300 * time.Millisecond })
	loop.RunOnce()
	if got := loop.QueuedSince(); got != begin {
		t.Errorf("after a turn of 0.3 s: since %v, want %v", got, begin)
	}
}
