package connlimit

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// Unknown addresses are evicted before known ones, by stage, the longest in it
// first; new connections and those on which an answer is owed never.
func TestEvictionOrder(t *testing.T) {
	limiter := newLimiter(t, Config{Capacity: 20, Reserve: 5, Known: []netip.Prefix{netip.MustParsePrefix("127.9.0.0/24")}})
	admitInStage := func(token uint64, addr string, stage Stage, now time.Duration) ID {
		id, reason := limiter.Admit(now, netip.MustParseAddr(addr), token)
		if reason != Allowed {
			t.Fatal(reason)
		}
		switch stage {
		case HalfRead:
			limiter.RequestStarted(now, id)
		case Busy:
			limiter.RequestComplete(now, id)
		case Unserved, Proven:
			limiter.BecameIdle(now, id, stage == Proven)
		}
		return id
	}
	const s = time.Second
	admitInStage(1, "127.9.0.1", Unserved, 0)
	admitInStage(2, "10.0.0.1", Busy, 0)
	admitInStage(3, "10.0.0.2", HalfRead, 0)
	admitInStage(4, "10.0.0.3", Proven, 0)
	admitInStage(5, "10.0.0.4", Silent, 0)
	admitInStage(6, "10.0.0.5", Unserved, 2*s)
	admitInStage(7, "10.0.0.6", Unserved, 1*s)
	admitInStage(8, "10.0.0.7", Silent, 9*s)
	var order []uint64
	for {
		token, _, ok := limiter.EvictionCandidate(10*s-1, ForUnknown, false, nil)
		if !ok {
			break
		}
		order = append(order, token)
		for index := range limiter.connections {
			if limiter.connections[index].open && limiter.connections[index].token == token {
				limiter.Closed(newID(int32(index), limiter.connections[index].generation))
			}
		}
	}
	if !slices.Equal(order, []uint64{6, 7, 5, 4, 3, 1}) {
		t.Errorf("%v", order)
	}
	if _, _, ok := limiter.EvictionCandidate(10*s-1, ForKnown, false, nil); ok {
		t.Error("a new connection, or one on which an answer is owed, is evicted")
	}
	if token, _, ok := limiter.EvictionCandidate(11*s, ForKnown, true, nil); !ok || token != 8 {
		t.Error(token, ok)
	}
	if _, _, ok := limiter.EvictionCandidate(11*s, ForKnown, true, func(t uint64) bool { return t == 8 }); ok {
		t.Error("a connection that is spared is evicted")
	}
	for i := range 12 {
		admitInStage(uint64(20+i), fmt.Sprintf("10.0.1.%d", i), Silent, 12*s)
	}
	if !limiter.TooManySilent() {
		t.Error("13 of 20 silent connections are not too many")
	}
	if token, _, ok := limiter.EvictionCandidate(12*s, ForSilence, false, nil); !ok || token != 8 {
		t.Error(token, ok)
	}
	if err := limiter.CheckInvariants(); err != nil {
		t.Error(err)
	}
}
