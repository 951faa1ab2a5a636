package connlimit

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newLimiter(t testing.TB, c Config) *Limiter {
	t.Helper()
	a, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func mustParseAddr(text string) netip.Addr { return netip.MustParseAddr(text) }

func admit(t *testing.T, limiter *Limiter, now time.Duration, addr string, want Reason) ID {
	t.Helper()
	id, why := limiter.Admit(now, mustParseAddr(addr), 1)
	if why != want {
		t.Fatalf("%s at %v: %v, want %v", addr, now, why, want)
	}
	if (why == Allowed) != (id != 0) {
		t.Fatalf("%s: %v with id %d", addr, why, id)
	}
	return id
}

// Each cap by address and by prefix holds at its figure and is given back.
func TestLimits(t *testing.T) {
	const s = time.Second
	limiter := newLimiter(t, Config{Capacity: 100, Address: Limits{Open: 3, Opening: 2, PerSecond: 10, Burst: 4, Half: 1, Bytes: 1000},
		Prefix: Limits{Open: 5, Half: 2, Bytes: 1500}, V4Bits: 24})
	x := admit(t, limiter, s, "10.0.0.1", Allowed)
	admit(t, limiter, s, "10.0.0.1", Allowed)
	admit(t, limiter, s, "10.0.0.1", AddressOpening)
	if why := limiter.RequestStarted(s, x); why != Allowed {
		t.Fatal(why)
	}
	z := admit(t, limiter, s, "10.0.0.1", Allowed)
	admit(t, limiter, s, "10.0.0.1", AddressOpen)
	if why := limiter.RequestStarted(s, z); why != AddressHalf {
		t.Errorf("a second half-read request: %v", why)
	}
	if limiter.SetBuffered(x, 900) != Allowed || limiter.SetBuffered(z, 101) != AddressBytes {
		t.Error("buffered bytes of an address")
	}
	y := admit(t, limiter, s, "10.0.0.2", Allowed)
	if limiter.RequestStarted(s, y) != PrefixHalf || limiter.SetBuffered(y, 600) != PrefixBytes {
		t.Error("half-read requests and bytes of a prefix")
	}
	admit(t, limiter, s, "10.0.0.3", Allowed)
	admit(t, limiter, s, "10.0.0.4", PrefixOpen)
	admit(t, limiter, s, "10.0.1.1", Allowed)
	limiter.Closed(z)
	limiter.Closed(z) // once more changes nothing
	limiter.Closed(y)
	limiter.Closed(x)
	admit(t, limiter, s, "10.0.0.1", Allowed) // the fourth of its burst
	admit(t, limiter, s, "10.0.0.1", AddressOpening)
	if err := limiter.CheckInvariants(); err != nil {
		t.Error(err)
	}
	rateLimiter := newLimiter(t, Config{Capacity: 100, Address: Limits{PerSecond: 10, Burst: 2}, Prefix: Limits{PerSecond: 20, Burst: 3}, V6Bits: 48})
	admit(t, rateLimiter, s, "2001:db8::1", Allowed)
	admit(t, rateLimiter, s, "2001:db8::1", Allowed)
	admit(t, rateLimiter, s, "2001:db8::1", AddressRate)
	admit(t, rateLimiter, s, "2001:db8:0:9::2", Allowed)
	admit(t, rateLimiter, s, "2001:db8::3", PrefixRate)
	admit(t, rateLimiter, s, "::ffff:10.0.0.1", Allowed) // IPv4 in other words
	admit(t, rateLimiter, s+100*time.Millisecond, "2001:db8::1", Allowed)
	admit(t, rateLimiter, s+100*time.Millisecond, "2001:db8::1", AddressRate)
}

// Unknown ones never use the reserve; learned ones a part of it, and leave
// newcomers theirs; abuse loses it.
func TestReserve(t *testing.T) {
	config := Config{Capacity: 38, Reserve: 20, Known: []netip.Prefix{netip.MustParsePrefix("127.9.0.0/24")}, Learn: Learn{On: true, After: 3, Newcomer: 0.2}}
	limiter := newLimiter(t, config)
	for i := range 18 {
		admit(t, limiter, 0, fmt.Sprintf("10.0.0.%d", i+1), Allowed)
	}
	admit(t, limiter, 0, "10.0.0.99", Full)
	for i := range 20 {
		admit(t, limiter, 0, fmt.Sprintf("127.9.0.%d", i%3+1), Allowed)
	}
	admit(t, limiter, 0, "127.9.0.1", FullKnown)
	if v := limiter.Snapshot(0); v.InReserve != 20 || v.Standing["known"] != 20 || v.Standing["unknown"] != 18 {
		t.Errorf("%+v", v)
	}
	limiter = newLimiter(t, config)
	first := admit(t, limiter, 0, "10.1.0.1", Allowed)
	for range 3 {
		limiter.RequestStarted(0, first)
		limiter.RequestComplete(0, first)
		limiter.BecameIdle(0, first, true)
	}
	learned := 0
	var last ID
	for {
		id, why := limiter.Admit(0, mustParseAddr("10.1.0.1"), 1)
		if why != Allowed {
			if why != FullKnown {
				t.Errorf("a learned one is refused for %v", why)
			}
			break
		}
		learned, last = learned+1, id
	}
	// 38 less the 10 of the reserve that are not theirs, and the 3 of newcomers, of
	// whom there is one already: the learned one's first connection.
	if learned != 38-10-3 {
		t.Errorf("%d learned ones come in", learned)
	}
	for i := range 2 {
		admit(t, limiter, 0, fmt.Sprintf("10.2.0.%d", i+1), Allowed)
	}
	for range 10 {
		admit(t, limiter, 0, "127.9.0.1", Allowed)
	}
	if limiter.TrustOf(last) != Learned {
		t.Error("not learned")
	}
	limiter.ReportAbuse(0, last, Slow)
	if _, why := limiter.Admit(0, mustParseAddr("10.1.0.1"), 1); limiter.TrustOf(last) != Unknown || why == FullKnown {
		t.Errorf("after abuse: %v, %v", limiter.TrustOf(last), why)
	}
	limiter.BecameIdle(time.Second, last, true)
	if limiter.IsKnown(time.Second, mustParseAddr("10.1.0.1")) {
		t.Error("learned again at once")
	}
	if err := limiter.CheckInvariants(); err != nil {
		t.Error(err)
	}
	// What was learned decays.
	decaying := newLimiter(t, Config{Capacity: 10, Learn: Learn{On: true, After: 2, HalfLife: time.Minute}})
	id := admit(t, decaying, 0, "10.0.0.1", Allowed)
	for range 3 {
		decaying.BecameIdle(0, id, true)
	}
	if !decaying.IsKnown(30*time.Second, mustParseAddr("10.0.0.1")) || decaying.IsKnown(2*time.Minute, mustParseAddr("10.0.0.1")) {
		t.Error("it does not decay by half a minute")
	}
}

// Who goes first: unknown before known, by what they have shown, the longest
// unused; the young and those owed an answer never.
func TestEvictionOrder(t *testing.T) {
	limiter := newLimiter(t, Config{Capacity: 20, Reserve: 5, Known: []netip.Prefix{netip.MustParsePrefix("127.9.0.0/24")}})
	admitInStage := func(name uint64, addr string, stage Stage, now time.Duration) ID {
		id, why := limiter.Admit(now, mustParseAddr(addr), name)
		if why != Allowed {
			t.Fatal(why)
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
		for k := range limiter.connections {
			if limiter.connections[k].open && limiter.connections[k].token == token {
				limiter.Closed(ID(uint64(limiter.connections[k].generation)<<32 | uint64(k+1)))
			}
		}
	}
	if !slices.Equal(order, []uint64{6, 7, 5, 4, 3, 1}) {
		t.Errorf("%v", order)
	}
	if _, _, ok := limiter.EvictionCandidate(10*s-1, ForKnown, false, nil); ok {
		t.Error("one that has just come, or that is owed an answer, goes")
	}
	if token, _, ok := limiter.EvictionCandidate(11*s, ForKnown, true, nil); !ok || token != 8 {
		t.Error(token, ok)
	}
	if _, _, ok := limiter.EvictionCandidate(11*s, ForKnown, true, func(t uint64) bool { return t == 8 }); ok {
		t.Error("one that is spared goes")
	}
	for i := range 12 {
		admitInStage(uint64(20+i), fmt.Sprintf("10.0.1.%d", i), Silent, 12*s)
	}
	if !limiter.TooManySilent() {
		t.Error("13 of 20 silent are no crowd")
	}
	if token, _, ok := limiter.EvictionCandidate(12*s, ForSilence, false, nil); !ok || token != 8 {
		t.Error(token, ok)
	}
	if err := limiter.CheckInvariants(); err != nil {
		t.Error(err)
	}
}

func TestPressureBlocksAndTrustedProxies(t *testing.T) {
	limiter := newLimiter(t, Config{Capacity: 12, TrustedProxies: []netip.Prefix{netip.MustParsePrefix("127.8.0.1/32")}, Address: Limits{Open: 9, Opening: 9}})
	limiter.SetPressure(1) // a share: 12 by two addresses, and one more that may come
	for range 6 {
		admit(t, limiter, 0, "10.0.0.1", Allowed)
	}
	admit(t, limiter, 0, "10.0.0.1", FairShare)
	admit(t, limiter, 0, "10.0.0.2", Allowed)
	limiter.SetPressure(2)
	admit(t, limiter, 0, "10.0.0.3", NoDescriptors)
	limiter.SetPressure(0)
	admit(t, limiter, 0, "10.0.0.1", Allowed)
	proxied := admit(t, limiter, 0, "127.8.0.1", Allowed)
	if limiter.TrustOf(proxied) != TrustedProxy || limiter.Identify(0, proxied, mustParseAddr("10.0.0.2")) != Allowed || limiter.TrustOf(proxied) != Unknown {
		t.Error("a front's client")
	}
	second := admit(t, limiter, 0, "127.8.0.1", Allowed)
	if err := limiter.Block(0, netip.MustParsePrefix("10.0.0.9/24"), time.Minute); err != nil {
		t.Fatal(err)
	}
	if why := limiter.Identify(0, second, mustParseAddr("10.0.0.2")); why != Blocked {
		t.Errorf("a front's barred client: %v", why)
	}
	limiter.Closed(second)
	admit(t, limiter, time.Second, "10.0.0.7", Blocked)
	if got := limiter.IdleWithin(netip.MustParsePrefix("10.0.0.0/24")); len(got) != 9 {
		t.Errorf("%d within", len(got))
	}
	if v := limiter.Snapshot(time.Second); len(v.Blocks) != 1 || v.Prefixes[0].Open != 9 || v.Hits["barred"] != 2 || v.Hits["fair_share"] != 1 {
		t.Errorf("%+v", v)
	}
	if !limiter.Unblock(netip.MustParsePrefix("10.0.0.0/24")) || limiter.Unblock(netip.MustParsePrefix("10.0.0.0/24")) {
		t.Error("unbar")
	}
	if err := limiter.Block(0, netip.MustParsePrefix("10.0.0.0/24"), time.Second); err != nil {
		t.Fatal(err)
	}
	admit(t, limiter, 2*time.Second, "10.0.0.7", Allowed) // its time is over
	if err := limiter.CheckInvariants(); err != nil {
		t.Error(err)
	}
	slow := newLimiter(t, Config{Capacity: 1, MinRate: 100})
	if s, again := slow.TooSlow(0, 0, 0); s || again != 500*time.Millisecond {
		t.Error(s, again)
	}
	if s, _ := slow.TooSlow(time.Second, 0, 99); !s {
		t.Error("99 bytes in a second are not too slow for 100")
	}
	if s, again := slow.TooSlow(time.Second, 0, 200); s || again != 2*time.Second {
		t.Error(s, again)
	}
}

func TestDescriptorBudget(t *testing.T) {
	floors := [DescriptorKinds]int{ClientConnections: 10, WorkerConnections: 20, DiscoveryConnections: 2}
	budget, err := NewDescriptorBudget(100, floors, Watermarks{})
	if err != nil {
		t.Fatal(err)
	}
	acquired, levels := 0, []int{}
	for budget.Acquire(ClientConnections) {
		acquired++
		if l := budget.Level(); len(levels) == 0 || levels[len(levels)-1] != l {
			levels = append(levels, l)
		}
	}
	if acquired != 78 || !slices.Equal(levels, []int{0}) {
		t.Errorf("%d sessions, levels %v: the others' floors are 22", acquired, levels)
	}
	for range 20 {
		if !budget.Acquire(WorkerConnections) {
			t.Fatal("a floor is not kept")
		}
	}
	if budget.Acquire(WorkerConnections) || !budget.Acquire(DiscoveryConnections) || budget.Level() != 3 {
		t.Errorf("level %d", budget.Level())
	}
	for range 7 { // 99 in use down to 92: within the hysteresis of the third mark
		budget.Release(ClientConnections)
	}
	if budget.Level() != 3 {
		t.Errorf("level %d at 92", budget.Level())
	}
	budget.Release(ClientConnections)
	if budget.Level() != 2 {
		t.Errorf("level %d at 91", budget.Level())
	}
	for range 30 {
		budget.Release(ClientConnections)
	}
	budget.ForceLevel(2)
	forced := budget.Level()
	budget.ForceLevel(0)
	if forced != 2 || budget.Level() != 0 {
		t.Errorf("forced %d, then %d", forced, budget.Level())
	}
	if budget.Reconfigure(50, floors, Watermarks{}) != nil || budget.Level() == 0 || budget.Reconfigure(10, floors, Watermarks{}) == nil || budget.Reconfigure(100, floors, Watermarks{Low: 0.9, High: 0.8}) == nil {
		t.Error("Set")
	}
}

// A thousand sessions of one address take one address's turns.
func TestRoundRobin(t *testing.T) {
	var roundRobin RoundRobin
	for i := range 1000 {
		roundRobin.Add(mustParseAddr("10.0.0.1"), uint64(i))
	}
	for i := range 3 {
		roundRobin.Add(mustParseAddr(fmt.Sprintf("10.0.0.%d", i+2)), uint64(5000+i))
	}
	seen := map[uint64]int{}
	for i := 0; roundRobin.Len() > 0; i++ {
		token, ok := roundRobin.Next()
		if !ok {
			t.Fatal("empty")
		}
		seen[token] = i
	}
	for i := range 3 {
		if seen[uint64(5000+i)] > 3 {
			t.Errorf("a single session had turn %d", seen[uint64(5000+i)])
		}
	}
	if seen[7] >= seen[8] || len(seen) != 1003 {
		t.Error("not in order within an address")
	}
}

func TestInvalidConfig(t *testing.T) {
	for _, config := range []Config{{}, {Capacity: 5, Reserve: 5}, {Capacity: 5, V4Bits: 33}, {Capacity: 5, Rate: -1}, {Capacity: 5, Learn: Learn{Share: 2}},
		{Capacity: 5, Prefix: Limits{Half: -1}}} {
		if _, err := New(config); err == nil {
			t.Errorf("%+v is taken", config)
		}
	}
}

// ---- Random steps against a naive model.

// modelLimiter decides as an Admitter that remembers everything and searches all.
type modelLimiter struct {
	config         Config
	conns          map[ID]*modelConn
	nextConforming map[string]time.Duration
	pressure       int
}

type modelConn struct {
	addr, prefix string
	trust        Trust
	stage        Stage
	halfRead     bool
	bytes        int
}

func (m *modelLimiter) count(matches func(*modelConn) bool) (n int) {
	for _, c := range m.conns {
		if matches(c) {
			n++
		}
	}
	return n
}

func (m *modelLimiter) admit(now time.Duration, addr netip.Addr) Reason {
	wide, _ := addr.Prefix(m.config.V4Bits)
	address, prefix := addr.String(), wide.String()
	known := slices.ContainsFunc(m.config.Known, func(k netip.Prefix) bool { return k.Contains(addr) })
	trust := Unknown
	if known {
		trust = Known
	}
	if !known {
		for _, x := range []struct {
			caps  Limits
			is    func(*modelConn) bool
			name  string
			first Reason
		}{{m.config.Address, func(c *modelConn) bool { return c.addr == address }, address, AddressOpen}, {m.config.Prefix, func(c *modelConn) bool { return c.prefix == prefix }, prefix, PrefixOpen}} {
			if x.caps.Open > 0 && m.count(x.is) >= x.caps.Open {
				return x.first
			}
			if x.caps.Opening > 0 && m.count(func(c *modelConn) bool { return x.is(c) && c.stage == Silent }) >= x.caps.Opening {
				return x.first + 1
			}
			if x.caps.PerSecond > 0 {
				step := time.Duration(float64(time.Second) / x.caps.PerSecond)
				if m.nextConforming[x.name] > now+step*time.Duration(x.caps.Burst-1) {
					return x.first + 2
				}
			}
		}
	}
	total, openKnown := len(m.conns), m.count(func(c *modelConn) bool { return c.trust == Known })
	if trust == Unknown && total+max(m.config.Reserve-openKnown, 0) >= m.config.Capacity {
		return Full
	}
	if trust == Known && total >= m.config.Capacity {
		return FullKnown
	}
	if trust == Unknown && m.pressure > 1 {
		return NoDescriptors
	}
	if trust == Unknown && m.pressure == 1 {
		active := map[string]int{}
		for _, c := range m.conns {
			if c.trust == Unknown {
				active[c.addr]++
			}
		}
		mine := m.count(func(c *modelConn) bool { return c.addr == address })
		if mine > 0 && mine >= max((m.config.Capacity-m.config.Reserve)/(len(active)+1), 1) {
			return FairShare
		}
	}
	for name, c := range map[string]Limits{address: m.config.Address, prefix: m.config.Prefix} {
		if c.PerSecond > 0 {
			step := time.Duration(float64(time.Second) / c.PerSecond)
			if m.nextConforming[name] <= now+step*time.Duration(c.Burst-1) {
				m.nextConforming[name] = max(m.nextConforming[name], now) + step
			}
		}
	}
	return Allowed
}

func randomSteps(t *rapid.T) {
	config := Config{Capacity: rapid.IntRange(3, 19).Draw(t, "room"), V4Bits: 24, Known: []netip.Prefix{netip.MustParsePrefix("10.0.3.0/24")},
		Address: Limits{Open: rapid.IntRange(0, 4).Draw(t, "open"), Opening: rapid.IntRange(0, 3).Draw(t, "opening"), PerSecond: 5, Burst: 3},
		Prefix:  Limits{Open: rapid.IntRange(0, 9).Draw(t, "prefix"), PerSecond: 9, Burst: 6}}
	config.Reserve = rapid.IntRange(0, config.Capacity-1).Draw(t, "reserve")
	limiter, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	model := &modelLimiter{config: config, conns: map[ID]*modelConn{}, nextConforming: map[string]time.Duration{}}
	now := time.Duration(0)
	var ids []ID
	for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
		action := rapid.IntRange(0, 9).Draw(t, "what")
		if action < 4 || len(ids) == 0 {
			addr := netip.AddrFrom4([4]byte{10, 0, byte(rapid.IntRange(0, 3).Draw(t, "net")), byte(rapid.IntRange(1, 4).Draw(t, "host"))})
			want := model.admit(now, addr)
			id, got := limiter.Admit(now, addr, uint64(step+1))
			if got != want {
				t.Fatalf("step %d: %v at %v: %v, the model says %v", step, addr, now, got, want)
			}
			if got == Allowed {
				wide, _ := addr.Prefix(24)
				s := Unknown
				if config.Known[0].Contains(addr) {
					s = Known
				}
				model.conns[id] = &modelConn{addr: addr.String(), prefix: wide.String(), trust: s, stage: Silent}
				ids = append(ids, id)
			}
		} else {
			i := rapid.IntRange(0, len(ids)-1).Draw(t, "which")
			id := ids[i]
			conn := model.conns[id]
			switch action {
			case 4, 5:
				limiter.Closed(id)
				delete(model.conns, id)
				ids = slices.Delete(ids, i, i+1)
			case 6:
				limiter.RequestStarted(now, id)
				conn.stage, conn.halfRead = HalfRead, true
			case 7:
				limiter.RequestComplete(now, id)
				conn.stage, conn.halfRead, conn.bytes = Busy, false, 0
			case 8:
				limiter.BecameIdle(now, id, step%2 == 0)
				conn.stage, conn.halfRead, conn.bytes = Unserved, false, 0
			case 9:
				model.pressure = rapid.IntRange(0, 2).Draw(t, "level")
				limiter.SetPressure(model.pressure)
			}
		}
		if err := limiter.CheckInvariants(); err != nil {
			t.Fatalf("step %d: %v", step, err)
		}
		unknown := model.count(func(k *modelConn) bool { return k.trust == Unknown })
		if unknown > config.Capacity-config.Reserve || len(model.conns) > config.Capacity {
			t.Fatalf("step %d: %d unknown of %d, room %d, reserve %d", step, unknown, len(model.conns), config.Capacity, config.Reserve)
		}
	}
}

func TestAgainstModel(t *testing.T) { rapid.Check(t, randomSteps) }

func FuzzAgainstModel(f *testing.F) { f.Fuzz(rapid.MakeFuzz(randomSteps)) }

// ---- At scale, in virtual time.

// A million addresses in 10,000 s: what is remembered stays bounded, those that
// hold connections are never given up, the reserve is never touched, and an
// address that keeps its caps comes in within the bound that docs/connections.md
// states: a session's longest hold and the time between two of its tries.
func TestMillionAddresses(t *testing.T) {
	const (
		addresses = 1_000_000
		seconds   = 10_000
		perSecond = 400
		capacity  = 1000
		reserve   = 200
		hold      = 8 * time.Second // the longest that any session may hold its place
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
		Address: Limits{Open: 20, Opening: 10, PerSecond: 5, Burst: 10, Half: 4}, Prefix: Limits{Open: 100, Half: 30}, Learn: Learn{On: true}})
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
	attempts, admitted, knownRejected := 0, 0, 0
	admit := func(now time.Duration, addr netip.Addr, span time.Duration, busy bool) Reason {
		attempts++
		token++
		id, why := limiter.Admit(now, addr, token)
		if why == Full || why == FullKnown { // as the entry does: the longest idle go
			need := ForUnknown
			if why == FullKnown {
				need = ForKnown
			}
			if victim, _, ok := limiter.EvictionCandidate(now, need, false, nil); ok {
				limiter.Closed(byToken[victim])
				delete(byToken, victim)
				id, why = limiter.Admit(now, addr, token)
			}
		}
		if why == Allowed {
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
		return why
	}
	for second := range seconds {
		now := time.Duration(second) * time.Second
		kept := live[:0]
		for _, c := range live {
			if c.ends <= now {
				limiter.Closed(c.id)
			} else {
				kept = append(kept, c)
			}
		}
		live = kept
		if second%500 == 0 {
			for tok, id := range byToken {
				if _, c := limiter.find(id); c == nil {
					delete(byToken, tok)
				}
			}
		}
		for range perSecond {
			n := rng.IntN(addresses)
			if second%7 == 0 && rng.IntN(2) == 0 {
				n = rng.IntN(20) // some that come again and again, fewer than a twentieth of the room
			}
			if seen[n/64]>>(n%64)&1 == 0 {
				seen[n/64] |= 1 << (n % 64)
				distinct++
			}
			admit(now, netip.AddrFrom4([4]byte{11, byte(n >> 16), byte(n >> 8), byte(n)}), time.Duration(1+rng.IntN(7))*time.Second, rng.IntN(3) > 0)
		}
		for i := range 5 { // known ones
			if why := admit(now, netip.AddrFrom4([4]byte{10, 255, 0, byte(rng.IntN(40))}), 2*time.Second, i%2 == 0); why != Allowed {
				knownRejected++
			}
		}
		if !wellBehaved.waiting {
			wellBehaved.since, wellBehaved.waiting = now, true
		}
		if why := admit(now, mustParseAddr("12.0.0.1"), time.Second, false); why == Allowed {
			wellBehaved.worst, wellBehaved.waiting = max(wellBehaved.worst, now-wellBehaved.since), false
		} else if now-wellBehaved.since > bound {
			t.Fatalf("an address that keeps its caps waits since %v at %v: %v; open %v, of those that came again %d", wellBehaved.since, now, why, limiter.openByTrust, limiter.openRetries)
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
	byToken, live, seen = nil, nil, nil
	used := int64(heap()) - int64(before)
	if distinct < 970_000 || knownRejected > 0 {
		t.Errorf("%d addresses came, %d known connections were turned away", distinct, knownRejected)
	}
	if used > 8<<20 {
		t.Errorf("%d bytes are used after a million addresses", used)
	}
	t.Logf("%d addresses, %d attempts, %d admitted, %.1f MB, the polite one's longest wait %v", distinct, attempts, admitted, float64(used)/(1<<20), wellBehaved.worst)
	runtime.KeepAlive(limiter)
}

// BenchmarkDecision decides on arrivals of a million addresses in random order,
// with all of them remembered and with the default tables, which fit the
// processor's caches: refused is a decision alone, admitted one with its end.
func BenchmarkDecision(b *testing.B) {
	for _, c := range []struct {
		name string
		full bool
		keep int
	}{{"default/refused", true, 0}, {"default/admitted", false, 0}, {"million/refused", true, 1_000_000}, {"million/admitted", false, 1_000_000}} {
		limiter := newLimiter(b, Config{Capacity: 1000, Reserve: 200, Known: []netip.Prefix{netip.MustParsePrefix("10.255.0.0/16")}, Addresses: c.keep, Prefixes: c.keep / 10,
			Address: Limits{Open: 20, Opening: 10, PerSecond: 5, Burst: 10}, Prefix: Limits{Open: 100}})
		var addresses []netip.Addr
		for n := range 1_000_000 {
			addresses = append(addresses, netip.AddrFrom4([4]byte{11, byte(n >> 16), byte(n >> 8), byte(n)}))
		}
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		now := time.Duration(0)
		for _, addr := range addresses {
			now += time.Millisecond
			if id, why := limiter.Admit(now, addr, 1); why == Allowed {
				limiter.Closed(id)
			}
		}
		if c.full {
			for i := range 800 {
				limiter.Admit(now, netip.AddrFrom4([4]byte{12, 0, byte(i / 50), byte(i % 50)}), 1)
			}
		}
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now += time.Millisecond
				if id, why := limiter.Admit(now, addresses[i%len(addresses)], 1); why == Allowed {
					limiter.Closed(id)
				}
				i++
			}
		})
	}
}
