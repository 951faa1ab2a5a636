package decision

import (
	"testing"
	"time"
)

// Serialized requests with one key run one at a time, in the order of their arrival. After a connection was
// lost the key has a cooldown. Requests without a key, or with another one, do not wait.
func TestSerializedKeysRunOneAtATime(t *testing.T) {
	settings := testSettings()
	settings.KeyCooldown = 300 * time.Millisecond
	settings.Classes[1].Serialized = true
	rig := newRig(t, settings, 8)
	send := func(key string) uint64 { return rig.arriveWithKey(1, key) }
	first := send("a")
	second := send("a")
	if rig.assignedTo(first) == "" || rig.assignedTo(second) != "" {
		t.Fatal("two of a key at once")
	}
	if rig.assignedTo(send("b")) == "" || rig.assignedTo(send("")) == "" {
		t.Fatal("another key waits as well")
	}
	rig.endAttempt(first, 0, ConnectionLost, time.Millisecond)
	rig.handle(rig.now+299*time.Millisecond, Event{Kind: TimerFired, Timer: 1})
	if rig.assignedTo(second) != "" {
		t.Fatal("the key's cooldown is not over")
	}
	rig.handle(rig.now+2*time.Millisecond, Event{Kind: TimerFired, Timer: cooldownTimer})
	if rig.assignedTo(second) == "" {
		t.Fatal("not sent when its turn came")
	}
}
