package decision

import (
	"testing"
	"time"
)

// Serialized requests with the same key run one at a time, in the order of their arrival. After a lost
// connection, the key has a cooldown. Requests without a key, or with another key, do not wait.
func TestSerializedKeysRunOneAtATime(t *testing.T) {
	settings := testSettings()
	settings.KeyCooldown = 300 * time.Millisecond
	settings.Classes[1].Serialized = true
	rig := newRig(t, settings, 8)
	send := func(key string) uint64 { return rig.arriveWithKey(1, key) }
	first := send("a")
	second := send("a")
	if rig.assignedTo(first) == "" || rig.assignedTo(second) != "" {
		t.Fatal("the first request was not sent, or the second one with the same key was sent at once")
	}
	if rig.assignedTo(send("b")) == "" || rig.assignedTo(send("")) == "" {
		t.Fatal("a request with another key, or without a key, waits")
	}
	rig.endAttempt(first, 0, ConnectionLost, time.Millisecond)
	rig.handle(rig.now+299*time.Millisecond, Event{Kind: TimerFired, Timer: 1})
	if rig.assignedTo(second) != "" {
		t.Fatal("sent before the key's cooldown was over")
	}
	rig.handle(rig.now+2*time.Millisecond, Event{Kind: TimerFired, Timer: cooldownTimer})
	if rig.assignedTo(second) == "" {
		t.Fatal("not sent after the key's cooldown")
	}
}
