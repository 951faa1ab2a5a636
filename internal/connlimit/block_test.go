package connlimit

import (
	"net/netip"
	"testing"
	"time"
)

// A block applies to new connections and to the clients of trusted proxies.
// Connections that are already open stay open, and NotBusyWithin returns them.
func TestBlockHoldsForClientsOfTrustedProxies(t *testing.T) {
	limiter := newProxyLimiter(t)
	admitUnderPressure(t, limiter)
	client := netip.MustParseAddr("10.0.0.2")
	proxied := admit(t, limiter, 0, trustedProxyAddr, Allowed)
	if trust := limiter.TrustOf(proxied); trust != TrustedProxy {
		t.Errorf("a proxy's connection has trust %v, want %v", trust, TrustedProxy)
	}
	if reason := limiter.Identify(0, proxied, client); reason != Allowed || limiter.TrustOf(proxied) != Unknown {
		t.Errorf("the proxy's client: %v, trust %v; want it allowed and unknown", reason, limiter.TrustOf(proxied))
	}
	second := admit(t, limiter, 0, trustedProxyAddr, Allowed)
	if err := limiter.Block(0, netip.MustParsePrefix("10.0.0.9/24"), time.Minute); err != nil {
		t.Fatal(err)
	}
	if reason := limiter.Identify(0, second, client); reason != Blocked {
		t.Errorf("a blocked client of a trusted proxy: %v, want %v", reason, Blocked)
	}
	limiter.Closed(second)
	admit(t, limiter, time.Second, "10.0.0.7", Blocked)
	if idle := limiter.NotBusyWithin(netip.MustParsePrefix("10.0.0.0/24")); len(idle) != 9 {
		t.Errorf("%d idle connections within the prefix, want 9", len(idle))
	}
	view := limiter.Snapshot(time.Second)
	if len(view.Blocks) != 1 || view.Prefixes[0].Open != 9 {
		t.Errorf("blocks %v, prefixes %v; want one block, 9 connections of the first prefix", view.Blocks, view.Prefixes)
	}
	if view.Rejections["barred"] != 2 || view.Rejections["fair_share"] != 1 {
		t.Errorf("rejections %v, want 2 by the block and one by the fair share", view.Rejections)
	}
	checkInvariants(t, limiter)
}

// A block ends when Unblock is called or when its time has passed. Unblock returns
// false if the prefix is not blocked any more.
func TestBlockEnds(t *testing.T) {
	limiter := newProxyLimiter(t)
	admitUnderPressure(t, limiter) // opens connections of the prefix
	prefix := netip.MustParsePrefix("10.0.0.0/24")
	if err := limiter.Block(0, netip.MustParsePrefix("10.0.0.9/24"), time.Minute); err != nil {
		t.Fatal(err)
	}
	if !limiter.Unblock(prefix) || limiter.Unblock(prefix) {
		t.Error("the first Unblock does not end the block, or the second one reports that it did")
	}
	if err := limiter.Block(0, prefix, time.Second); err != nil {
		t.Fatal(err)
	}
	admit(t, limiter, 2*time.Second, "10.0.0.7", Allowed)
	checkInvariants(t, limiter)
}
