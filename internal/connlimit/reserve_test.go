package connlimit

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// learnedAddr is the address that becomes Learned in these tests.
const learnedAddr = "10.1.0.1"

// newReserveLimiter returns a Limiter with a capacity of 38, of which 20 are reserved.
// Addresses become Learned after three requests, and may use half of the reserve.
func newReserveLimiter(t *testing.T) *Limiter {
	t.Helper()
	return newLimiter(t, Config{
		Capacity: 38,
		Reserve:  20,
		Known:    []netip.Prefix{netip.MustParsePrefix("127.9.0.0/24")},
		Learn:    LearnConfig{Enabled: true, MinScore: 3, UnknownShare: 0.2},
	})
}

// serveRequests serves three requests on a connection, so that its address becomes
// Learned.
func serveRequests(limiter *Limiter, id ID) {
	for range 3 {
		limiter.RequestStarted(0, id)
		limiter.RequestComplete(0, id)
		limiter.BecameIdle(0, id, true)
	}
}

// fillWithLearned admits connections of learnedAddr until one is rejected. It returns
// the number of admitted connections and the last of them.
func fillWithLearned(t *testing.T, limiter *Limiter) (admitted int, last ID) {
	t.Helper()
	for {
		id, reason := limiter.Admit(0, netip.MustParseAddr(learnedAddr), 1)
		if reason != Allowed {
			if reason != FullTrusted {
				t.Errorf("a learned address is rejected with %v, want %v", reason, FullTrusted)
			}
			return admitted, last
		}
		admitted++
		last = id
	}
}

// fillRest admits connections of unknown and known addresses in the capacity that the
// learned address cannot use.
func fillRest(t *testing.T, limiter *Limiter) {
	t.Helper()
	for i := range 2 {
		admit(t, limiter, 0, fmt.Sprintf("10.2.0.%d", i+1), Allowed)
	}
	for range 10 {
		admit(t, limiter, 0, "127.9.0.1", Allowed)
	}
}

// Unknown addresses cannot use the reserve, and known ones can use all of it.
func TestReserveIsKeptFromUnknown(t *testing.T) {
	limiter := newReserveLimiter(t)
	for i := range 18 {
		admit(t, limiter, 0, fmt.Sprintf("10.0.0.%d", i+1), Allowed)
	}
	admit(t, limiter, 0, "10.0.0.99", Full)
	for i := range 20 {
		admit(t, limiter, 0, fmt.Sprintf("127.9.0.%d", i%3+1), Allowed)
	}
	admit(t, limiter, 0, "127.9.0.1", FullTrusted)
	view := limiter.Snapshot(0)
	if view.ReserveUsed != 20 || view.Trust["known"] != 20 || view.Trust["unknown"] != 18 {
		t.Errorf("got %+v, want 20 known connections in the reserve and 18 unknown ones", view)
	}
}

// Learned addresses can use a part of the reserve, but not the share of the capacity
// that is kept for unknown addresses. Known addresses can use the rest of the reserve.
func TestReserveOfLearned(t *testing.T) {
	limiter := newReserveLimiter(t)
	serveRequests(limiter, admit(t, limiter, 0, learnedAddr, Allowed))
	learned, last := fillWithLearned(t, limiter)
	// The capacity of 38 less the 10 of the reserve that learned addresses cannot use and
	// the 3 for unknown addresses. The first connection of the learned address is counted
	// among those 3, since the address was unknown when it was admitted.
	if learned != 38-10-3 {
		t.Errorf("%d learned connections were admitted, want %d", learned, 38-10-3)
	}
	fillRest(t, limiter)
	if limiter.TrustOf(last) != Learned {
		t.Errorf("the connection has trust %v, want learned", limiter.TrustOf(last))
	}
	checkInvariants(t, limiter)
}

// An address becomes Unknown when abuse is reported, and does not become Learned again
// soon.
func TestAbuseEndsLearnedTrust(t *testing.T) {
	limiter := newReserveLimiter(t)
	serveRequests(limiter, admit(t, limiter, 0, learnedAddr, Allowed))
	_, last := fillWithLearned(t, limiter)
	fillRest(t, limiter)
	limiter.ReportAbuse(0, last, SlowRequest)
	_, reason := limiter.Admit(0, netip.MustParseAddr(learnedAddr), 1)
	if limiter.TrustOf(last) != Unknown || reason == FullTrusted {
		t.Errorf("after abuse: trust %v, want unknown; another connection: %v, want any reason but %v",
			limiter.TrustOf(last), reason, FullTrusted)
	}
	limiter.BecameIdle(time.Second, last, true)
	if limiter.IsTrusted(time.Second, netip.MustParseAddr(learnedAddr)) {
		t.Error("the address becomes learned again 1 s after abuse")
	}
	checkInvariants(t, limiter)
}

// The score by which an address is Learned decays with the configured half-life.
func TestLearnedTrustDecays(t *testing.T) {
	limiter := newLimiter(t, Config{Capacity: 10, Learn: LearnConfig{Enabled: true, MinScore: 2, HalfLife: time.Minute}})
	id := admit(t, limiter, 0, learnedAddr, Allowed)
	for range 3 {
		limiter.BecameIdle(0, id, true)
	}
	addr := netip.MustParseAddr(learnedAddr)
	if !limiter.IsTrusted(30*time.Second, addr) || limiter.IsTrusted(2*time.Minute, addr) {
		t.Errorf("a score of 3 with a half-life of a minute: learned %v after 30 s and %v after 2 min, want true and false",
			limiter.IsTrusted(30*time.Second, addr), limiter.IsTrusted(2*time.Minute, addr))
	}
}
