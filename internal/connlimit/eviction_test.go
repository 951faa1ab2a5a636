package connlimit

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// evictionTest is a Limiter with connections in all stages.
type evictionTest struct {
	t       *testing.T
	limiter *Limiter
	ids     map[Token]ID
}

// newEvictionTest returns a Limiter with a capacity of 20, one connection of a known
// client, and connections of unknown clients in all stages.
func newEvictionTest(t *testing.T) *evictionTest {
	t.Helper()
	config := Config{Capacity: 20, Reserve: 5, Known: []netip.Prefix{netip.MustParsePrefix("127.9.0.0/24")}}
	e := &evictionTest{t: t, limiter: newLimiter(t, config), ids: map[Token]ID{}}
	e.admit(1, "127.9.0.1", Unserved, 0)
	e.admit(2, "10.0.0.1", Busy, 0)
	e.admit(3, "10.0.0.2", HalfRead, 0)
	e.admit(4, "10.0.0.3", Proven, 0)
	e.admit(5, "10.0.0.4", Silent, 0)
	e.admit(6, "10.0.0.5", Unserved, 2*time.Second)
	e.admit(7, "10.0.0.6", Unserved, 1*time.Second)
	e.admit(8, "10.0.0.7", Silent, 9*time.Second)
	return e
}

// admit admits a connection and puts it into a stage.
func (e *evictionTest) admit(token Token, addr string, stage Stage, now time.Duration) {
	e.t.Helper()
	id, reason := e.limiter.Admit(now, netip.MustParseAddr(addr), token)
	if reason != Allowed {
		e.t.Fatalf("%s: %v, want it allowed", addr, reason)
	}
	e.ids[token] = id
	switch stage {
	case HalfRead:
		e.limiter.RequestStarted(now, id)
	case Busy:
		e.limiter.RequestComplete(now, id)
	case Unserved, Proven:
		e.limiter.BecameIdle(now, id, stage == Proven)
	}
}

// evictAll closes the candidate for eviction until there is none left, and returns the
// tokens in the order of eviction.
func (e *evictionTest) evictAll(now time.Duration, need EvictionReason) (order []Token) {
	for {
		candidate, ok := e.limiter.EvictionCandidate(now, need, Spared{})
		if !ok {
			return order
		}
		order = append(order, candidate.Token)
		e.limiter.Closed(e.ids[candidate.Token])
	}
}

// wantCandidate checks which connection is the candidate for eviction. NoToken means
// that there must be none.
func (e *evictionTest) wantCandidate(now time.Duration, need EvictionReason, spared Spared, want Token) {
	e.t.Helper()
	candidate, ok := e.limiter.EvictionCandidate(now, need, spared)
	if ok != (want != NoToken) || candidate.Token != want {
		e.t.Errorf("at %v: candidate %d, found %v; want %d", now, candidate.Token, ok, want)
	}
}

func (e *evictionTest) checkInvariants() {
	e.t.Helper()
	if err := e.limiter.CheckInvariants(); err != nil {
		e.t.Error(err)
	}
}

// graceOfLatest is the last moment of the grace period of connection 8, the latest one.
const graceOfLatest = 10*time.Second - 1

// Connections of unknown addresses are evicted before those of known ones, in the order
// of the stages, and within a stage the one that has been in it the longest first. New
// connections and those on which a response is owed are not evicted.
func TestEvictionOrder(t *testing.T) {
	e := newEvictionTest(t)
	order := e.evictAll(graceOfLatest, ForUnknown)
	if want := []Token{6, 7, 5, 4, 3, 1}; !slices.Equal(order, want) {
		t.Errorf("evicted %v, want %v", order, want)
	}
	e.wantCandidate(graceOfLatest, ForTrusted, Spared{}, NoToken)
	e.checkInvariants()
}

// A silent connection is a candidate after its grace period, unless the caller spares
// it.
func TestEvictionAfterGrace(t *testing.T) {
	e := newEvictionTest(t)
	e.evictAll(graceOfLatest, ForUnknown)
	e.wantCandidate(11*time.Second, ForTrusted, Spared{Proven: true}, 8)
	spareLatest := func(token Token) bool { return token == 8 }
	e.wantCandidate(11*time.Second, ForTrusted, Spared{Proven: true, Match: spareLatest}, NoToken)
	e.checkInvariants()
}

// If more than half of the capacity is used by silent connections, the one that has
// been silent the longest is evicted.
func TestEvictionOfTooManySilent(t *testing.T) {
	e := newEvictionTest(t)
	e.evictAll(graceOfLatest, ForUnknown)
	for i := range 12 {
		e.admit(Token(20+i), fmt.Sprintf("10.0.1.%d", i), Silent, 12*time.Second)
	}
	if !e.limiter.TooManySilent() {
		t.Error("TooManySilent is false with 13 silent connections and a capacity of 20")
	}
	e.wantCandidate(12*time.Second, ForSilence, Spared{}, 8)
	e.checkInvariants()
}
