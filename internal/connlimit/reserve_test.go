package connlimit

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// learnedAddr is the address that learns trust in these tests.
const learnedAddr = "10.1.0.1"

// newReserveLimiter returns a Limiter of 38 connections, 20 of them reserved, of
// which addresses that are learned after three requests may use a half.
func newReserveLimiter(t *testing.T) *Limiter {
	t.Helper()
	return newLimiter(t, Config{
		Capacity: 38,
		Reserve:  20,
		Known:    []netip.Prefix{netip.MustParsePrefix("127.9.0.0/24")},
		Learn:    LearnConfig{Enabled: true, After: 3, Newcomer: 0.2},
	})
}

// serveRequests has a connection's client become learned.
func serveRequests(limiter *Limiter, id ID) {
	for range 3 {
		limiter.RequestStarted(0, id)
		limiter.RequestComplete(0, id)
		limiter.BecameIdle(0, id, true)
	}
}

// fillWithLearned admits connections of learnedAddr until one is rejected, and
// returns how many and the last.
func fillWithLearned(t *testing.T, limiter *Limiter) (admitted int, last ID) {
	t.Helper()
	for {
		id, reason := limiter.Admit(0, netip.MustParseAddr(learnedAddr), 1)
		if reason != Allowed {
			if reason != FullKnown {
				t.Errorf("a learned address is rejected: %v, want %v", reason, FullKnown)
			}
			return admitted, last
		}
		admitted++
		last = id
	}
}

// fillRest admits as many newcomers and known clients as there is capacity for beside
// the learned ones.
func fillRest(t *testing.T, limiter *Limiter) {
	t.Helper()
	for i := range 2 {
		admit(t, limiter, 0, fmt.Sprintf("10.2.0.%d", i+1), Allowed)
	}
	for range 10 {
		admit(t, limiter, 0, "127.9.0.1", Allowed)
	}
}

// Unknown addresses never use the reserve, and known ones all of it.
func TestReserveIsKeptFromUnknown(t *testing.T) {
	limiter := newReserveLimiter(t)
	for i := range 18 {
		admit(t, limiter, 0, fmt.Sprintf("10.0.0.%d", i+1), Allowed)
	}
	admit(t, limiter, 0, "10.0.0.99", Full)
	for i := range 20 {
		admit(t, limiter, 0, fmt.Sprintf("127.9.0.%d", i%3+1), Allowed)
	}
	admit(t, limiter, 0, "127.9.0.1", FullKnown)
	view := limiter.Snapshot(0)
	if view.InReserve != 20 || view.Trust["known"] != 20 || view.Trust["unknown"] != 18 {
		t.Errorf("%+v; want 20 known connections in the reserve, and 18 unknown ones", view)
	}
}

// Learned addresses use a part of the reserve and leave newcomers their share; known
// ones get what is left of it.
func TestReserveOfLearned(t *testing.T) {
	limiter := newReserveLimiter(t)
	serveRequests(limiter, admit(t, limiter, 0, learnedAddr, Allowed))
	learned, last := fillWithLearned(t, limiter)
	// 38 without the 10 of the reserve that are not theirs, and the 3 for newcomers. The
	// learned address's first connection counts as one of those: it was unknown then.
	if learned != 38-10-3 {
		t.Errorf("%d learned connections are admitted, want %d", learned, 38-10-3)
	}
	fillRest(t, limiter)
	if limiter.TrustOf(last) != Learned {
		t.Errorf("the address is %v, want it learned", limiter.TrustOf(last))
	}
	checkInvariants(t, limiter)
}

// An address that abuses its place is unknown at once, and is not learned again soon.
func TestAbuseEndsLearnedTrust(t *testing.T) {
	limiter := newReserveLimiter(t)
	serveRequests(limiter, admit(t, limiter, 0, learnedAddr, Allowed))
	_, last := fillWithLearned(t, limiter)
	fillRest(t, limiter)
	limiter.ReportAbuse(0, last, Slow)
	_, reason := limiter.Admit(0, netip.MustParseAddr(learnedAddr), 1)
	if limiter.TrustOf(last) != Unknown || reason == FullKnown {
		t.Errorf("after abuse: trust %v, want unknown; another connection: %v, want any but %v",
			limiter.TrustOf(last), reason, FullKnown)
	}
	limiter.BecameIdle(time.Second, last, true)
	if limiter.IsKnown(time.Second, netip.MustParseAddr(learnedAddr)) {
		t.Error("the address is learned again at once after abuse")
	}
	checkInvariants(t, limiter)
}

// The score that makes an address learned decays by its half-life.
func TestLearnedTrustDecays(t *testing.T) {
	limiter := newLimiter(t, Config{Capacity: 10, Learn: LearnConfig{Enabled: true, After: 2, HalfLife: time.Minute}})
	id := admit(t, limiter, 0, learnedAddr, Allowed)
	for range 3 {
		limiter.BecameIdle(0, id, true)
	}
	addr := netip.MustParseAddr(learnedAddr)
	if !limiter.IsKnown(30*time.Second, addr) || limiter.IsKnown(2*time.Minute, addr) {
		t.Errorf("a score of 3 with a half-life of a minute: learned %v after 30 s and %v after 2 min, want true and false",
			limiter.IsKnown(30*time.Second, addr), limiter.IsKnown(2*time.Minute, addr))
	}
}
