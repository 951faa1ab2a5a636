package eventloop

import (
	"testing"
	"time"
)

// Input that is read right after a stall may have been queued since the stall began.
func TestQueuedSinceAfterStall(t *testing.T) {
	var now time.Duration
	loop := NewVirtual(func() time.Duration { return now })
	stalls := 0
	loop.OnStall = func() { stalls++ }
	var deadline Deadline
	deadline.Fire = func() { loop.Set(&deadline, now+time.Second) }
	loop.Set(&deadline, time.Second)
	const turn = 500 * time.Millisecond
	for ; now < 10*time.Second; now += turn {
		loop.RunOnce()
		if loop.QueuedSince() != now {
			t.Errorf("at %v, without a stall: since %v, want now", now, loop.QueuedSince())
		}
	}
	begin := now - turn
	now += 7 * time.Second
	loop.RunOnce()
	if loop.QueuedSince() != begin || stalls != 1 {
		t.Errorf("right after a stall: since %v, want %v; %d stalls, want 1", loop.QueuedSince(), begin, stalls)
	}
	now += stallRecoveryTime
	if loop.QueuedSince() != now {
		t.Errorf("%v after a stall: since %v, want now, %v", stallRecoveryTime, loop.QueuedSince(), now)
	}
}
