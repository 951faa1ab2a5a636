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

func mustNew(t testing.TB, c Config) *Limiter {
	t.Helper()
	a, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func ip(text string) netip.Addr { return netip.MustParseAddr(text) }

func arrive(t *testing.T, a *Limiter, now time.Duration, addr string, want Reason) ID {
	t.Helper()
	id, why := a.Admit(now, ip(addr), 1)
	if why != want {
		t.Fatalf("%s at %v: %v, want %v", addr, now, why, want)
	}
	if (why == Allowed) != (id != 0) {
		t.Fatalf("%s: %v with id %d", addr, why, id)
	}
	return id
}

// Each cap by address and by prefix holds at its figure and is given back.
func TestCaps(t *testing.T) {
	const s = time.Second
	a := mustNew(t, Config{Capacity: 100, Address: Limits{Open: 3, Opening: 2, PerSecond: 10, Burst: 4, Half: 1, Bytes: 1000},
		Prefix: Limits{Open: 5, Half: 2, Bytes: 1500}, V4Bits: 24})
	x := arrive(t, a, s, "10.0.0.1", Allowed)
	arrive(t, a, s, "10.0.0.1", Allowed)
	arrive(t, a, s, "10.0.0.1", AddressOpening)
	if why := a.RequestStarted(s, x); why != Allowed {
		t.Fatal(why)
	}
	z := arrive(t, a, s, "10.0.0.1", Allowed)
	arrive(t, a, s, "10.0.0.1", AddressOpen)
	if why := a.RequestStarted(s, z); why != AddressHalf {
		t.Errorf("a second half-read request: %v", why)
	}
	if a.SetBuffered(x, 900) != Allowed || a.SetBuffered(z, 101) != AddressBytes {
		t.Error("buffered bytes of an address")
	}
	y := arrive(t, a, s, "10.0.0.2", Allowed)
	if a.RequestStarted(s, y) != PrefixHalf || a.SetBuffered(y, 600) != PrefixBytes {
		t.Error("half-read requests and bytes of a prefix")
	}
	arrive(t, a, s, "10.0.0.3", Allowed)
	arrive(t, a, s, "10.0.0.4", PrefixOpen)
	arrive(t, a, s, "10.0.1.1", Allowed)
	a.Closed(z)
	a.Closed(z) // once more changes nothing
	a.Closed(y)
	a.Closed(x)
	arrive(t, a, s, "10.0.0.1", Allowed) // the fourth of its burst
	arrive(t, a, s, "10.0.0.1", AddressOpening)
	if err := a.CheckInvariants(); err != nil {
		t.Error(err)
	}
	b := mustNew(t, Config{Capacity: 100, Address: Limits{PerSecond: 10, Burst: 2}, Prefix: Limits{PerSecond: 20, Burst: 3}, V6Bits: 48})
	arrive(t, b, s, "2001:db8::1", Allowed)
	arrive(t, b, s, "2001:db8::1", Allowed)
	arrive(t, b, s, "2001:db8::1", AddressRate)
	arrive(t, b, s, "2001:db8:0:9::2", Allowed)
	arrive(t, b, s, "2001:db8::3", PrefixRate)
	arrive(t, b, s, "::ffff:10.0.0.1", Allowed) // IPv4 in other words
	arrive(t, b, s+100*time.Millisecond, "2001:db8::1", Allowed)
	arrive(t, b, s+100*time.Millisecond, "2001:db8::1", AddressRate)
}

// Unknown ones never use the reserve; learned ones a part of it, and leave
// newcomers theirs; abuse loses it.
func TestReserve(t *testing.T) {
	c := Config{Capacity: 38, Reserve: 20, Known: []netip.Prefix{netip.MustParsePrefix("127.9.0.0/24")}, Learn: Learn{On: true, After: 3, Newcomer: 0.2}}
	a := mustNew(t, c)
	for i := range 18 {
		arrive(t, a, 0, fmt.Sprintf("10.0.0.%d", i+1), Allowed)
	}
	arrive(t, a, 0, "10.0.0.99", Full)
	for i := range 20 {
		arrive(t, a, 0, fmt.Sprintf("127.9.0.%d", i%3+1), Allowed)
	}
	arrive(t, a, 0, "127.9.0.1", FullKnown)
	if v := a.Snapshot(0); v.InReserve != 20 || v.Standing["known"] != 20 || v.Standing["unknown"] != 18 {
		t.Errorf("%+v", v)
	}
	a = mustNew(t, c)
	first := arrive(t, a, 0, "10.1.0.1", Allowed)
	for range 3 {
		a.RequestStarted(0, first)
		a.RequestComplete(0, first)
		a.BecameIdle(0, first, true)
	}
	learned := 0
	var last ID
	for {
		id, why := a.Admit(0, ip("10.1.0.1"), 1)
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
		arrive(t, a, 0, fmt.Sprintf("10.2.0.%d", i+1), Allowed)
	}
	for range 10 {
		arrive(t, a, 0, "127.9.0.1", Allowed)
	}
	if a.TrustOf(last) != Learned {
		t.Error("not learned")
	}
	a.ReportAbuse(0, last, Slow)
	if _, why := a.Admit(0, ip("10.1.0.1"), 1); a.TrustOf(last) != Unknown || why == FullKnown {
		t.Errorf("after abuse: %v, %v", a.TrustOf(last), why)
	}
	a.BecameIdle(time.Second, last, true)
	if a.IsKnown(time.Second, ip("10.1.0.1")) {
		t.Error("learned again at once")
	}
	if err := a.CheckInvariants(); err != nil {
		t.Error(err)
	}
	// What was learned decays.
	b := mustNew(t, Config{Capacity: 10, Learn: Learn{On: true, After: 2, HalfLife: time.Minute}})
	id := arrive(t, b, 0, "10.0.0.1", Allowed)
	for range 3 {
		b.BecameIdle(0, id, true)
	}
	if !b.IsKnown(30*time.Second, ip("10.0.0.1")) || b.IsKnown(2*time.Minute, ip("10.0.0.1")) {
		t.Error("it does not decay by half a minute")
	}
}

// Who goes first: unknown before known, by what they have shown, the longest
// unused; the young and those owed an answer never.
func TestVictims(t *testing.T) {
	a := mustNew(t, Config{Capacity: 20, Reserve: 5, Known: []netip.Prefix{netip.MustParsePrefix("127.9.0.0/24")}})
	at := func(name uint64, addr string, stage Stage, now time.Duration) ID {
		id, why := a.Admit(now, ip(addr), name)
		if why != Allowed {
			t.Fatal(why)
		}
		switch stage {
		case HalfRead:
			a.RequestStarted(now, id)
		case Busy:
			a.RequestComplete(now, id)
		case Unserved, Proven:
			a.BecameIdle(now, id, stage == Proven)
		}
		return id
	}
	const s = time.Second
	at(1, "127.9.0.1", Unserved, 0)
	at(2, "10.0.0.1", Busy, 0)
	at(3, "10.0.0.2", HalfRead, 0)
	at(4, "10.0.0.3", Proven, 0)
	at(5, "10.0.0.4", Silent, 0)
	at(6, "10.0.0.5", Unserved, 2*s)
	at(7, "10.0.0.6", Unserved, 1*s)
	at(8, "10.0.0.7", Silent, 9*s)
	var order []uint64
	for {
		token, _, ok := a.EvictionCandidate(10*s-1, ForUnknown, false, nil)
		if !ok {
			break
		}
		order = append(order, token)
		for k := range a.conns {
			if a.conns[k].open && a.conns[k].token == token {
				a.Closed(ID(uint64(a.conns[k].generation)<<32 | uint64(k+1)))
			}
		}
	}
	if !slices.Equal(order, []uint64{6, 7, 5, 4, 3, 1}) {
		t.Errorf("%v", order)
	}
	if _, _, ok := a.EvictionCandidate(10*s-1, ForKnown, false, nil); ok {
		t.Error("one that has just come, or that is owed an answer, goes")
	}
	if token, _, ok := a.EvictionCandidate(11*s, ForKnown, true, nil); !ok || token != 8 {
		t.Error(token, ok)
	}
	if _, _, ok := a.EvictionCandidate(11*s, ForKnown, true, func(t uint64) bool { return t == 8 }); ok {
		t.Error("one that is spared goes")
	}
	for i := range 12 {
		at(uint64(20+i), fmt.Sprintf("10.0.1.%d", i), Silent, 12*s)
	}
	if !a.TooManySilent() {
		t.Error("13 of 20 silent are no crowd")
	}
	if token, _, ok := a.EvictionCandidate(12*s, ForSilence, false, nil); !ok || token != 8 {
		t.Error(token, ok)
	}
	if err := a.CheckInvariants(); err != nil {
		t.Error(err)
	}
}

func TestPressureBarsFronts(t *testing.T) {
	a := mustNew(t, Config{Capacity: 12, TrustedProxies: []netip.Prefix{netip.MustParsePrefix("127.8.0.1/32")}, Address: Limits{Open: 9, Opening: 9}})
	a.SetPressure(1) // a share: 12 by two addresses, and one more that may come
	for range 6 {
		arrive(t, a, 0, "10.0.0.1", Allowed)
	}
	arrive(t, a, 0, "10.0.0.1", FairShare)
	arrive(t, a, 0, "10.0.0.2", Allowed)
	a.SetPressure(2)
	arrive(t, a, 0, "10.0.0.3", NoDescriptors)
	a.SetPressure(0)
	arrive(t, a, 0, "10.0.0.1", Allowed)
	front := arrive(t, a, 0, "127.8.0.1", Allowed)
	if a.TrustOf(front) != TrustedProxy || a.Identify(0, front, ip("10.0.0.2")) != Allowed || a.TrustOf(front) != Unknown {
		t.Error("a front's client")
	}
	second := arrive(t, a, 0, "127.8.0.1", Allowed)
	if err := a.Block(0, netip.MustParsePrefix("10.0.0.9/24"), time.Minute); err != nil {
		t.Fatal(err)
	}
	if why := a.Identify(0, second, ip("10.0.0.2")); why != Blocked {
		t.Errorf("a front's barred client: %v", why)
	}
	a.Closed(second)
	arrive(t, a, time.Second, "10.0.0.7", Blocked)
	if got := a.IdleWithin(netip.MustParsePrefix("10.0.0.0/24")); len(got) != 9 {
		t.Errorf("%d within", len(got))
	}
	if v := a.Snapshot(time.Second); len(v.Blocks) != 1 || v.Prefixes[0].Open != 9 || v.Hits["barred"] != 2 || v.Hits["fair_share"] != 1 {
		t.Errorf("%+v", v)
	}
	if !a.Unblock(netip.MustParsePrefix("10.0.0.0/24")) || a.Unblock(netip.MustParsePrefix("10.0.0.0/24")) {
		t.Error("unbar")
	}
	if err := a.Block(0, netip.MustParsePrefix("10.0.0.0/24"), time.Second); err != nil {
		t.Fatal(err)
	}
	arrive(t, a, 2*time.Second, "10.0.0.7", Allowed) // its time is over
	if err := a.CheckInvariants(); err != nil {
		t.Error(err)
	}
	slow := mustNew(t, Config{Capacity: 1, MinRate: 100})
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

func TestBudget(t *testing.T) {
	floor := [DescriptorKinds]int{ClientConnections: 10, WorkerConnections: 20, DiscoveryConnections: 2}
	b, err := NewDescriptorBudget(100, floor, Watermarks{})
	if err != nil {
		t.Fatal(err)
	}
	n, levels := 0, []int{}
	for b.Acquire(ClientConnections) {
		n++
		if l := b.Level(); len(levels) == 0 || levels[len(levels)-1] != l {
			levels = append(levels, l)
		}
	}
	if n != 78 || !slices.Equal(levels, []int{0}) {
		t.Errorf("%d sessions, levels %v: the others' floors are 22", n, levels)
	}
	for range 20 {
		if !b.Acquire(WorkerConnections) {
			t.Fatal("a floor is not kept")
		}
	}
	if b.Acquire(WorkerConnections) || !b.Acquire(DiscoveryConnections) || b.Level() != 3 {
		t.Errorf("level %d", b.Level())
	}
	for range 7 { // 99 in use down to 92: within the hysteresis of the third mark
		b.Release(ClientConnections)
	}
	if b.Level() != 3 {
		t.Errorf("level %d at 92", b.Level())
	}
	b.Release(ClientConnections)
	if b.Level() != 2 {
		t.Errorf("level %d at 91", b.Level())
	}
	for range 30 {
		b.Release(ClientConnections)
	}
	b.ForceLevel(2)
	forced := b.Level()
	b.ForceLevel(0)
	if forced != 2 || b.Level() != 0 {
		t.Errorf("forced %d, then %d", forced, b.Level())
	}
	if b.Reconfigure(50, floor, Watermarks{}) != nil || b.Level() == 0 || b.Reconfigure(10, floor, Watermarks{}) == nil || b.Reconfigure(100, floor, Watermarks{Low: 0.9, High: 0.8}) == nil {
		t.Error("Set")
	}
}

// A thousand sessions of one address take one address's turns.
func TestTurns(t *testing.T) {
	var turns RoundRobin
	for i := range 1000 {
		turns.Add(ip("10.0.0.1"), uint64(i))
	}
	for i := range 3 {
		turns.Add(ip(fmt.Sprintf("10.0.0.%d", i+2)), uint64(5000+i))
	}
	seen := map[uint64]int{}
	for i := 0; turns.Len() > 0; i++ {
		token, ok := turns.Next()
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

func TestBadConfig(t *testing.T) {
	for _, c := range []Config{{}, {Capacity: 5, Reserve: 5}, {Capacity: 5, V4Bits: 33}, {Capacity: 5, Rate: -1}, {Capacity: 5, Learn: Learn{Share: 2}},
		{Capacity: 5, Prefix: Limits{Half: -1}}} {
		if _, err := New(c); err == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}

// ---- Random steps against a naive model.

// naive decides as an Admitter that remembers everything and searches all.
type naive struct {
	c     Config
	conns map[ID]*naiveConn
	tat   map[string]time.Duration
	level int
}

type naiveConn struct {
	addr, prefix string
	s            Trust
	stage        Stage
	half         bool
	bytes        int
}

func (n *naive) has(of func(*naiveConn) bool) (k int) {
	for _, c := range n.conns {
		if of(c) {
			k++
		}
	}
	return k
}

func (n *naive) arrive(now time.Duration, addr netip.Addr) Reason {
	wide, _ := addr.Prefix(n.c.V4Bits)
	a, p := addr.String(), wide.String()
	known := slices.ContainsFunc(n.c.Known, func(k netip.Prefix) bool { return k.Contains(addr) })
	s := Unknown
	if known {
		s = Known
	}
	if !known {
		for _, x := range []struct {
			caps  Limits
			is    func(*naiveConn) bool
			name  string
			first Reason
		}{{n.c.Address, func(c *naiveConn) bool { return c.addr == a }, a, AddressOpen}, {n.c.Prefix, func(c *naiveConn) bool { return c.prefix == p }, p, PrefixOpen}} {
			if x.caps.Open > 0 && n.has(x.is) >= x.caps.Open {
				return x.first
			}
			if x.caps.Opening > 0 && n.has(func(c *naiveConn) bool { return x.is(c) && c.stage == Silent }) >= x.caps.Opening {
				return x.first + 1
			}
			if x.caps.PerSecond > 0 {
				step := time.Duration(float64(time.Second) / x.caps.PerSecond)
				if n.tat[x.name] > now+step*time.Duration(x.caps.Burst-1) {
					return x.first + 2
				}
			}
		}
	}
	total, in := len(n.conns), n.has(func(c *naiveConn) bool { return c.s == Known })
	if s == Unknown && total+max(n.c.Reserve-in, 0) >= n.c.Capacity {
		return Full
	}
	if s == Known && total >= n.c.Capacity {
		return FullKnown
	}
	if s == Unknown && n.level > 1 {
		return NoDescriptors
	}
	if s == Unknown && n.level == 1 {
		active := map[string]int{}
		for _, c := range n.conns {
			if c.s == Unknown {
				active[c.addr]++
			}
		}
		mine := n.has(func(c *naiveConn) bool { return c.addr == a })
		if mine > 0 && mine >= max((n.c.Capacity-n.c.Reserve)/(len(active)+1), 1) {
			return FairShare
		}
	}
	for name, c := range map[string]Limits{a: n.c.Address, p: n.c.Prefix} {
		if c.PerSecond > 0 {
			step := time.Duration(float64(time.Second) / c.PerSecond)
			if n.tat[name] <= now+step*time.Duration(c.Burst-1) {
				n.tat[name] = max(n.tat[name], now) + step
			}
		}
	}
	return Allowed
}

func randomSteps(t *rapid.T) {
	c := Config{Capacity: rapid.IntRange(3, 19).Draw(t, "room"), V4Bits: 24, Known: []netip.Prefix{netip.MustParsePrefix("10.0.3.0/24")},
		Address: Limits{Open: rapid.IntRange(0, 4).Draw(t, "open"), Opening: rapid.IntRange(0, 3).Draw(t, "opening"), PerSecond: 5, Burst: 3},
		Prefix:  Limits{Open: rapid.IntRange(0, 9).Draw(t, "prefix"), PerSecond: 9, Burst: 6}}
	c.Reserve = rapid.IntRange(0, c.Capacity-1).Draw(t, "reserve")
	a, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	m := &naive{c: c, conns: map[ID]*naiveConn{}, tat: map[string]time.Duration{}}
	now := time.Duration(0)
	var ids []ID
	for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
		what := rapid.IntRange(0, 9).Draw(t, "what")
		if what < 4 || len(ids) == 0 {
			addr := netip.AddrFrom4([4]byte{10, 0, byte(rapid.IntRange(0, 3).Draw(t, "net")), byte(rapid.IntRange(1, 4).Draw(t, "host"))})
			want := m.arrive(now, addr)
			id, got := a.Admit(now, addr, uint64(step+1))
			if got != want {
				t.Fatalf("step %d: %v at %v: %v, the model says %v", step, addr, now, got, want)
			}
			if got == Allowed {
				wide, _ := addr.Prefix(24)
				s := Unknown
				if c.Known[0].Contains(addr) {
					s = Known
				}
				m.conns[id] = &naiveConn{addr: addr.String(), prefix: wide.String(), s: s, stage: Silent}
				ids = append(ids, id)
			}
		} else {
			i := rapid.IntRange(0, len(ids)-1).Draw(t, "which")
			id := ids[i]
			k := m.conns[id]
			switch what {
			case 4, 5:
				a.Closed(id)
				delete(m.conns, id)
				ids = slices.Delete(ids, i, i+1)
			case 6:
				a.RequestStarted(now, id)
				k.stage, k.half = HalfRead, true
			case 7:
				a.RequestComplete(now, id)
				k.stage, k.half, k.bytes = Busy, false, 0
			case 8:
				a.BecameIdle(now, id, step%2 == 0)
				k.stage, k.half, k.bytes = Unserved, false, 0
			case 9:
				m.level = rapid.IntRange(0, 2).Draw(t, "level")
				a.SetPressure(m.level)
			}
		}
		if err := a.CheckInvariants(); err != nil {
			t.Fatalf("step %d: %v", step, err)
		}
		unknown := m.has(func(k *naiveConn) bool { return k.s == Unknown })
		if unknown > c.Capacity-c.Reserve || len(m.conns) > c.Capacity {
			t.Fatalf("step %d: %d unknown of %d, room %d, reserve %d", step, unknown, len(m.conns), c.Capacity, c.Reserve)
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
		room      = 1000
		reserve   = 200
		hold      = 8 * time.Second // the longest that any session may hold its place
		retry     = time.Second
		bound     = hold + retry
	)
	if raced {
		t.Skip("make test runs it without the race detector, which has nothing to find in one goroutine")
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	a := mustNew(t, Config{Capacity: room, Reserve: reserve, Known: []netip.Prefix{netip.MustParsePrefix("10.255.0.0/16")},
		Address: Limits{Open: 20, Opening: 10, PerSecond: 5, Burst: 10, Half: 4}, Prefix: Limits{Open: 100, Half: 30}, Learn: Learn{On: true}})
	rng := rand.New(rand.NewPCG(1, 2))
	type open struct {
		id   ID
		ends time.Duration
		busy bool
	}
	var live []open
	byToken := map[uint64]ID{}
	seen := make([]uint64, addresses/64+1)
	distinct := 0
	token := uint64(0)
	var polite struct {
		since, worst time.Duration
		waiting      bool
	}
	attempts, admitted, knownTurnedAway := 0, 0, 0
	try := func(now time.Duration, addr netip.Addr, span time.Duration, busy bool) Reason {
		attempts++
		token++
		id, why := a.Admit(now, addr, token)
		if why == Full || why == FullKnown { // as the entry does: the longest idle go
			need := ForUnknown
			if why == FullKnown {
				need = ForKnown
			}
			if victim, _, ok := a.EvictionCandidate(now, need, false, nil); ok {
				a.Closed(byToken[victim])
				delete(byToken, victim)
				id, why = a.Admit(now, addr, token)
			}
		}
		if why == Allowed {
			admitted++
			byToken[token] = id
			a.RequestStarted(now, id)
			if busy {
				a.RequestComplete(now, id)
			} else {
				a.BecameIdle(now, id, rng.IntN(2) == 0)
			}
			live = append(live, open{id, now + span, busy})
		}
		return why
	}
	for s := range seconds {
		now := time.Duration(s) * time.Second
		kept := live[:0]
		for _, c := range live {
			if c.ends <= now {
				a.Closed(c.id)
			} else {
				kept = append(kept, c)
			}
		}
		live = kept
		if s%500 == 0 {
			for tok, id := range byToken {
				if _, c := a.get(id); c == nil {
					delete(byToken, tok)
				}
			}
		}
		for range perSecond {
			n := rng.IntN(addresses)
			if s%7 == 0 && rng.IntN(2) == 0 {
				n = rng.IntN(20) // some that come again and again, fewer than a twentieth of the room
			}
			if seen[n/64]>>(n%64)&1 == 0 {
				seen[n/64] |= 1 << (n % 64)
				distinct++
			}
			try(now, netip.AddrFrom4([4]byte{11, byte(n >> 16), byte(n >> 8), byte(n)}), time.Duration(1+rng.IntN(7))*time.Second, rng.IntN(3) > 0)
		}
		for i := range 5 { // known ones
			if why := try(now, netip.AddrFrom4([4]byte{10, 255, 0, byte(rng.IntN(40))}), 2*time.Second, i%2 == 0); why != Allowed {
				knownTurnedAway++
			}
		}
		if !polite.waiting {
			polite.since, polite.waiting = now, true
		}
		if why := try(now, ip("12.0.0.1"), time.Second, false); why == Allowed {
			polite.worst, polite.waiting = max(polite.worst, now-polite.since), false
		} else if now-polite.since > bound {
			t.Fatalf("an address that keeps its caps waits since %v at %v: %v; open %v, of those that came again %d", polite.since, now, why, a.count, a.again)
		}
		if a.count[Unknown]+a.count[Learned] > room-reserve+reserve/2 || a.count[Unknown] > room-reserve {
			t.Fatalf("%v: %v", now, a.count)
		}
		if s%250 == 0 {
			if err := a.CheckInvariants(); err != nil {
				t.Fatalf("%v: %v", now, err)
			}
		}
	}
	clear(byToken)
	byToken, live, seen = nil, nil, nil
	used := int64(heap()) - int64(before)
	if distinct < 970_000 || knownTurnedAway > 0 {
		t.Errorf("%d addresses came, %d known connections were turned away", distinct, knownTurnedAway)
	}
	if used > 8<<20 {
		t.Errorf("%d bytes are used after a million addresses", used)
	}
	t.Logf("%d addresses, %d attempts, %d admitted, %.1f MB, the polite one's longest wait %v", distinct, attempts, admitted, float64(used)/(1<<20), polite.worst)
	runtime.KeepAlive(a)
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
		a := mustNew(b, Config{Capacity: 1000, Reserve: 200, Known: []netip.Prefix{netip.MustParsePrefix("10.255.0.0/16")}, Addresses: c.keep, Prefixes: c.keep / 10,
			Address: Limits{Open: 20, Opening: 10, PerSecond: 5, Burst: 10}, Prefix: Limits{Open: 100}})
		var list []netip.Addr
		for n := range 1_000_000 {
			list = append(list, netip.AddrFrom4([4]byte{11, byte(n >> 16), byte(n >> 8), byte(n)}))
		}
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		now := time.Duration(0)
		for _, addr := range list {
			now += time.Millisecond
			if id, why := a.Admit(now, addr, 1); why == Allowed {
				a.Closed(id)
			}
		}
		if c.full {
			for i := range 800 {
				a.Admit(now, netip.AddrFrom4([4]byte{12, 0, byte(i / 50), byte(i % 50)}), 1)
			}
		}
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now += time.Millisecond
				if id, why := a.Admit(now, list[i%len(list)], 1); why == Allowed {
					a.Closed(id)
				}
				i++
			}
		})
	}
}
