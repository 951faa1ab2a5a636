package connlimit

import (
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// A million addresses in 10,000 s of virtual time: memory stays bounded, addresses
// with connections are never forgotten, unknown ones never use the reserve, and an
// address that keeps its limits is admitted within the bound that
// docs/connections.md states: the longest time for which a connection stays, and
// the time between two attempts.
func TestMillionAddresses(t *testing.T) {
	const (
		addresses = 1_000_000
		seconds   = 10_000
		perSecond = 400
		capacity  = 1000
		reserve   = 200
		hold      = 8 * time.Second // the longest for which a connection stays open
		retry     = time.Second
		bound     = hold + retry
	)
	if raceEnabled {
		t.Skip("make test runs it without the race detector, which has nothing to find in one goroutine")
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	limiter := newLimiter(t, Config{Capacity: capacity, Reserve: reserve, Known: []netip.Prefix{netip.MustParsePrefix("10.255.0.0/16")},
		Address: Limits{Open: 20, Opening: 10, PerSecond: 5, Burst: 10, HalfRead: 4}, Prefix: Limits{Open: 100, HalfRead: 30}, Learn: LearnConfig{Enabled: true}})
	rng := rand.New(rand.NewPCG(1, 2))
	type openConn struct {
		id   ID
		ends time.Duration
		busy bool
	}
	var live []openConn
	byToken := map[uint64]ID{}
	seen := make([]uint64, addresses/64+1)
	distinct := 0
	token := uint64(0)
	var wellBehaved struct {
		since, worst time.Duration
		waiting      bool
	}
	attempts := 0
	admitted := 0
	knownRejected := 0
	admit := func(now time.Duration, addr netip.Addr, span time.Duration, busy bool) Reason {
		attempts++
		token++
		id, reason := limiter.Admit(now, addr, token)
		if reason == Full || reason == FullKnown { // as the listener does: the candidate is evicted
			need := ForUnknown
			if reason == FullKnown {
				need = ForKnown
			}
			candidate, _, ok := limiter.EvictionCandidate(now, need, false, nil)
			if ok {
				limiter.Closed(byToken[candidate])
				delete(byToken, candidate)
				id, reason = limiter.Admit(now, addr, token)
			}
		}
		if reason == Allowed {
			admitted++
			byToken[token] = id
			limiter.RequestStarted(now, id)
			if busy {
				limiter.RequestComplete(now, id)
			} else {
				limiter.BecameIdle(now, id, rng.IntN(2) == 0)
			}
			live = append(live, openConn{id, now + span, busy})
		}
		return reason
	}
	for second := range seconds {
		now := time.Duration(second) * time.Second
		stillOpen := live[:0]
		for _, c := range live {
			if c.ends <= now {
				limiter.Closed(c.id)
			} else {
				stillOpen = append(stillOpen, c)
			}
		}
		live = stillOpen
		if second%500 == 0 {
			for token, id := range byToken {
				if _, c := limiter.find(id); c == nil {
					delete(byToken, token)
				}
			}
		}
		for range perSecond {
			n := rng.IntN(addresses)
			if second%7 == 0 && rng.IntN(2) == 0 {
				n = rng.IntN(20) // some that retry again and again, fewer than the part for retries
			}
			if seen[n/64]>>(n%64)&1 == 0 {
				seen[n/64] |= 1 << (n % 64)
				distinct++
			}
			admit(now, netip.AddrFrom4([4]byte{11, byte(n >> 16), byte(n >> 8), byte(n)}), time.Duration(1+rng.IntN(7))*time.Second, rng.IntN(3) > 0)
		}
		for i := range 5 { // of known addresses
			reason := admit(now, netip.AddrFrom4([4]byte{10, 255, 0, byte(rng.IntN(40))}), 2*time.Second, i%2 == 0)
			if reason != Allowed {
				knownRejected++
			}
		}
		if !wellBehaved.waiting {
			wellBehaved.since = now
			wellBehaved.waiting = true
		}
		reason := admit(now, netip.MustParseAddr("12.0.0.1"), time.Second, false)
		if reason == Allowed {
			wellBehaved.worst = max(wellBehaved.worst, now-wellBehaved.since)
			wellBehaved.waiting = false
		} else if now-wellBehaved.since > bound {
			t.Fatalf("an address that keeps its limits waits since %v at %v: %v; open %v, retries among them %d", wellBehaved.since, now, reason, limiter.openByTrust, limiter.openRetries)
		}
		if limiter.openByTrust[Unknown]+limiter.openByTrust[Learned] > capacity-reserve+reserve/2 || limiter.openByTrust[Unknown] > capacity-reserve {
			t.Fatalf("%v: %v", now, limiter.openByTrust)
		}
		if second%250 == 0 {
			if err := limiter.CheckInvariants(); err != nil {
				t.Fatalf("%v: %v", now, err)
			}
		}
	}
	clear(byToken)
	byToken = nil
	live = nil
	seen = nil
	used := int64(heap()) - int64(before)
	if distinct < 970_000 || knownRejected > 0 {
		t.Errorf("%d distinct addresses, %d known connections were rejected", distinct, knownRejected)
	}
	if used > 8<<20 {
		t.Errorf("%d bytes are used after a million addresses", used)
	}
	t.Logf("%d addresses, %d attempts, %d admitted, %.1f MB, the longest wait of the address that keeps its limits %v", distinct, attempts, admitted, float64(used)/(1<<20), wellBehaved.worst)
	runtime.KeepAlive(limiter)
}

// BenchmarkDecision decides on connections of a million addresses in random order,
// with all of them remembered and with the default tables, which fit the
// processor's caches: rejected is a decision alone, admitted one with its Closed.
func BenchmarkDecision(b *testing.B) {
	for _, benchmark := range []struct {
		name    string
		full    bool
		entries int
	}{{"default/rejected", true, 0}, {"default/admitted", false, 0}, {"million/rejected", true, 1_000_000}, {"million/admitted", false, 1_000_000}} {
		limiter := newLimiter(b, Config{Capacity: 1000, Reserve: 200, Known: []netip.Prefix{netip.MustParsePrefix("10.255.0.0/16")}, Addresses: benchmark.entries, Prefixes: benchmark.entries / 10,
			Address: Limits{Open: 20, Opening: 10, PerSecond: 5, Burst: 10}, Prefix: Limits{Open: 100}})
		var addresses []netip.Addr
		for n := range 1_000_000 {
			addresses = append(addresses, netip.AddrFrom4([4]byte{11, byte(n >> 16), byte(n >> 8), byte(n)}))
		}
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		now := time.Duration(0)
		for _, addr := range addresses {
			now += time.Millisecond
			if id, reason := limiter.Admit(now, addr, 1); reason == Allowed {
				limiter.Closed(id)
			}
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
				now += time.Millisecond
				if id, reason := limiter.Admit(now, addresses[i%len(addresses)], 1); reason == Allowed {
					limiter.Closed(id)
				}
				i++
			}
		})
	}
}
