package connlimit

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// evictionTest is a Limiter whose connections are in known stages.
type evictionTest struct {
	t       *testing.T
	limiter *Limiter
	ids     map[Token]ID
}

// newEvictionTest returns a Limiter of 20 connections, with a known client's one and
// those of unknown clients in all stages.
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

// admit admits a connection and brings it into a stage.
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

// evictAll closes candidates until there is none, and returns their tokens.
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

// wantCandidate checks which connection is to be evicted first; NoToken: none is.
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

// graceOfLatest is the last moment at which the connection 8 is within its grace.
const graceOfLatest = 10*time.Second - 1

// Unknown addresses are evicted before known ones, by stage, the longest in it
// first; new connections and those on which an answer is owed never.
func TestEvictionOrder(t *testing.T) {
	e := newEvictionTest(t)
	order := e.evictAll(graceOfLatest, ForUnknown)
	if want := []Token{6, 7, 5, 4, 3, 1}; !slices.Equal(order, want) {
		t.Errorf("evicted %v, want %v", order, want)
	}
	e.wantCandidate(graceOfLatest, ForKnown, Spared{}, NoToken)
	e.checkInvariants()
}

// A silent connection is a candidate after its grace, unless the caller spares it.
func TestEvictionAfterGrace(t *testing.T) {
	e := newEvictionTest(t)
	e.evictAll(graceOfLatest, ForUnknown)
	e.wantCandidate(11*time.Second, ForKnown, Spared{Proven: true}, 8)
	spareLatest := func(token Token) bool { return token == 8 }
	e.wantCandidate(11*time.Second, ForKnown, Spared{Proven: true, Single: spareLatest}, NoToken)
	e.checkInvariants()
}

// Where more than half of the capacity is silent, the longest silent one is evicted.
func TestEvictionOfTooManySilent(t *testing.T) {
	e := newEvictionTest(t)
	e.evictAll(graceOfLatest, ForUnknown)
	for i := range 12 {
		e.admit(Token(20+i), fmt.Sprintf("10.0.1.%d", i), Silent, 12*time.Second)
	}
	if !e.limiter.TooManySilent() {
		t.Error("13 of 20 silent connections are not too many")
	}
	e.wantCandidate(12*time.Second, ForSilence, Spared{}, 8)
	e.checkInvariants()
}
