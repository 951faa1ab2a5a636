package connlimit

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// BenchmarkDecision measures decisions on connections of a million addresses in random
// order. The cases "million" use tables that hold all addresses, the cases "default"
// use the default tables, which fit in the processor's caches. In the cases "rejected"
// only the decision is made; in the cases "admitted" the connection is also closed.
func BenchmarkDecision(b *testing.B) {
	for _, benchmark := range []struct {
		name    string
		full    bool
		entries int
	}{
		{"default/rejected", true, 0},
		{"default/admitted", false, 0},
		{"million/rejected", true, 1_000_000},
		{"million/admitted", false, 1_000_000},
	} {
		limiter := newLimiter(b, Config{
			Capacity:  1000,
			Reserve:   200,
			Known:     []netip.Prefix{netip.MustParsePrefix("10.255.0.0/16")},
			Addresses: benchmark.entries,
			Prefixes:  benchmark.entries / 10,
			Address:   Limits{Open: 20, Opening: 10, PerSecond: 5, Burst: 10},
			Prefix:    Limits{Open: 100},
		})
		addresses := shuffledAddresses()
		now := time.Duration(0)
		admitAndClose := func(addr netip.Addr) {
			now += time.Millisecond
			id, reason := limiter.Admit(now, addr, 1)
			if reason == Allowed {
				limiter.Closed(id)
			}
		}
		for _, addr := range addresses {
			admitAndClose(addr)
		}
		if benchmark.full {
			for i := range 800 {
				limiter.Admit(now, netip.AddrFrom4([4]byte{12, 0, byte(i / 50), byte(i % 50)}), 1)
			}
		}
		b.Run(benchmark.name, func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				admitAndClose(addresses[i%len(addresses)])
				i++
			}
		})
	}
}

// shuffledAddresses returns a million addresses in random order.
func shuffledAddresses() []netip.Addr {
	var addresses []netip.Addr
	for n := range 1_000_000 {
		addresses = append(addresses, unknownAddr(n))
	}
	random := rand.New(rand.NewPCG(1, 1))
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}
