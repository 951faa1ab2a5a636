package connlimit

import (
	"net/netip"
	"testing"
)

const trustedProxyAddr = "127.8.0.1"

// newProxyLimiter returns a Limiter with a capacity of 12 that trusts a proxy.
func newProxyLimiter(t *testing.T) *Limiter {
	t.Helper()
	return newLimiter(t, Config{
		Capacity:       12,
		TrustedProxies: []netip.Prefix{netip.MustParsePrefix(trustedProxyAddr + "/32")},
		Address:        Limits{Open: 9, Opening: 9},
	})
}

// admitUnderPressure opens seven connections of 10.0.0.1 and one of 10.0.0.2, first
// under rising pressure and then without pressure.
func admitUnderPressure(t *testing.T, limiter *Limiter) {
	t.Helper()
	limiter.SetPressure(PressureLow) // the fair share is 12 / 2: one active address, plus one that may arrive
	for range 6 {
		admit(t, limiter, 0, "10.0.0.1", Allowed)
	}
	admit(t, limiter, 0, "10.0.0.1", FairShare)
	admit(t, limiter, 0, "10.0.0.2", Allowed)
	limiter.SetPressure(PressureHigh)
	admit(t, limiter, 0, "10.0.0.3", NoDescriptors)
	limiter.SetPressure(PressureNone)
	admit(t, limiter, 0, "10.0.0.1", Allowed)
}

// Under low pressure, unknown addresses are rejected above their fair share; under high
// pressure all unknown addresses are rejected.
func TestPressureRejectsUnknownAddresses(t *testing.T) {
	limiter := newProxyLimiter(t)
	admitUnderPressure(t, limiter)
	rejections := limiter.Snapshot(0).Rejections
	if rejections["fair_share"] != 1 || rejections["descriptors"] != 1 {
		t.Errorf("rejections %v, want one by the fair share and one for lack of descriptors", rejections)
	}
	checkInvariants(t, limiter)
}
