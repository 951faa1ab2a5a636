package connlimit

import (
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// The load of TestMillionAddresses.
const (
	scaleAddresses = 1_000_000
	scaleSeconds   = 10_000 // of virtual time
	arrivalsPerS   = 400    // connections of unknown addresses per second
	scaleCapacity  = 1000
	scaleReserve   = 200

	longestOpen   = 8 * time.Second // longest time for which a connection stays open
	retryInterval = time.Second     // time between two attempts of the address that keeps its limits
	longestWait   = longestOpen + retryInterval

	minDistinctAddresses = 970_000
	maxHeapBytes         = 8 << 20
)

// A million addresses connect in 10,000 s of virtual time. Memory stays bounded, the
// entries of addresses with connections are not removed, and unknown addresses do not
// use the reserve. An address that keeps its limits is admitted within the bound that
// docs/connections.md states: the longest time for which a connection stays open, plus
// the time between two attempts.
func TestMillionAddresses(t *testing.T) {
	if raceEnabled {
		t.Skip("make test runs it without the race detector: with a single goroutine there are no data races")
	}
	before := heapBytes()
	s := newScaleTest(t)
	for second := range scaleSeconds {
		s.now = time.Duration(second) * time.Second
		s.closeEnded()
		if second%500 == 0 {
			s.removeClosedTokens()
		}
		s.admitUnknown(second)
		s.admitKnown()
		s.admitWellBehaved()
		s.checkReserve()
		if second%250 == 0 {
			s.checkInvariants()
		}
	}
	s.freeOwnMemory()
	used := int64(heapBytes()) - int64(before)
	if s.distinct < minDistinctAddresses || s.knownRejected > 0 {
		t.Errorf("%d distinct addresses, want %d; %d known connections were rejected, want none",
			s.distinct, minDistinctAddresses, s.knownRejected)
	}
	if used > maxHeapBytes {
		t.Errorf("%d bytes are used after a million addresses, want at most %d", used, maxHeapBytes)
	}
	t.Logf("%d addresses, %d attempts, %d admitted, %.1f MB, the longest wait of the address that keeps its limits %v",
		s.distinct, s.attempts, s.admitted, float64(used)/(1<<20), s.wellBehaved.worst)
	runtime.KeepAlive(s.limiter)
}

// heapBytes returns the size of all reachable objects on the heap.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// scaleTest is a Limiter under the load of TestMillionAddresses, with the state of the
// simulated clients.
type scaleTest struct {
	t       *testing.T
	limiter *Limiter
	random  *rand.Rand
	now     time.Duration

	lastToken Token
	open      []scaleConnection
	byToken   map[Token]ID // IDs of connections, including some that have ended

	seen          []uint64 // bit set of the addresses that have connected
	distinct      int      // number of addresses that have connected
	attempts      int
	admitted      int
	knownRejected int

	// wellBehaved is the state of the address that keeps its limits.
	wellBehaved struct {
		waiting bool
		since   time.Duration // when it began to wait
		worst   time.Duration // its longest wait so far
	}
}

// scaleConnection is a connection that is closed at a given time.
type scaleConnection struct {
	id       ID
	closesAt time.Duration
}

func newScaleTest(t *testing.T) *scaleTest {
	limiter := newLimiter(t, Config{
		Capacity: scaleCapacity,
		Reserve:  scaleReserve,
		Known:    []netip.Prefix{netip.MustParsePrefix("10.255.0.0/16")},
		Address:  Limits{Open: 20, Opening: 10, PerSecond: 5, Burst: 10, HalfRead: 4},
		Prefix:   Limits{Open: 100, HalfRead: 30},
		Learn:    LearnConfig{Enabled: true},
	})
	return &scaleTest{
		t:       t,
		limiter: limiter,
		random:  rand.New(rand.NewPCG(1, 2)),
		byToken: map[Token]ID{},
		seen:    make([]uint64, scaleAddresses/64+1),
	}
}

// unknownAddr returns the unknown address number n, which is below a million.
func unknownAddr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{11, byte(n >> 16), byte(n >> 8), byte(n)})
}

// admit opens a connection and sends a request on it. If busy is true, the request
// stays unanswered, otherwise it is answered at once. The connection is closed after
// openFor.
func (s *scaleTest) admit(addr netip.Addr, openFor time.Duration, busy bool) Reason {
	s.attempts++
	s.lastToken++
	id, reason := s.limiter.Admit(s.now, addr, s.lastToken)
	if reason == Full || reason == FullTrusted { // evicts the candidate and retries, as the listener does
		if s.evictFor(reason) {
			id, reason = s.limiter.Admit(s.now, addr, s.lastToken)
		}
	}
	if reason != Allowed {
		return reason
	}
	s.admitted++
	s.byToken[s.lastToken] = id
	s.limiter.RequestStarted(s.now, id)
	if busy {
		s.limiter.RequestComplete(s.now, id)
	} else {
		s.limiter.BecameIdle(s.now, id, s.random.IntN(2) == 0)
	}
	s.open = append(s.open, scaleConnection{id, s.now + openFor})
	return Allowed
}

// evictFor evicts a connection in favour of one that was rejected for a reason. It
// returns false if there is no candidate.
func (s *scaleTest) evictFor(reason Reason) bool {
	need := ForUnknown
	if reason == FullTrusted {
		need = ForTrusted
	}
	candidate, ok := s.limiter.EvictionCandidate(s.now, need, Spared{})
	if ok {
		s.limiter.Closed(s.byToken[candidate.Token])
		delete(s.byToken, candidate.Token)
	}
	return ok
}

// closeEnded closes the connections that end by now.
func (s *scaleTest) closeEnded() {
	stillOpen := s.open[:0]
	for _, connection := range s.open {
		if connection.closesAt <= s.now {
			s.limiter.Closed(connection.id)
		} else {
			stillOpen = append(stillOpen, connection)
		}
	}
	s.open = stillOpen
}

// removeClosedTokens removes the tokens of connections that have ended.
func (s *scaleTest) removeClosedTokens() {
	for token, id := range s.byToken {
		if _, connection := s.limiter.find(id); connection == nil {
			delete(s.byToken, token)
		}
	}
}

// admitUnknown opens the connections of unknown addresses that arrive in one second.
func (s *scaleTest) admitUnknown(second int) {
	for range arrivalsPerS {
		n := s.random.IntN(scaleAddresses)
		if second%7 == 0 && s.random.IntN(2) == 0 {
			n = s.random.IntN(20) // a few addresses that retry often, fewer than the capacity kept for retries
		}
		s.countDistinct(n)
		span := time.Duration(1+s.random.IntN(7)) * time.Second
		busy := s.random.IntN(3) > 0
		s.admit(unknownAddr(n), span, busy)
	}
}

func (s *scaleTest) countDistinct(n int) {
	bit := uint64(1) << (n % 64)
	if s.seen[n/64]&bit == 0 {
		s.seen[n/64] |= bit
		s.distinct++
	}
}

// admitKnown opens connections of known addresses, and counts those that are rejected.
func (s *scaleTest) admitKnown() {
	for i := range 5 {
		addr := netip.AddrFrom4([4]byte{10, 255, 0, byte(s.random.IntN(40))})
		reason := s.admit(addr, 2*time.Second, i%2 == 0)
		if reason != Allowed {
			s.knownRejected++
		}
	}
}

// admitWellBehaved tries to open a connection of the address that keeps its limits, and
// checks how long the address has been waiting.
func (s *scaleTest) admitWellBehaved() {
	client := &s.wellBehaved
	if !client.waiting {
		client.waiting = true
		client.since = s.now
	}
	reason := s.admit(netip.MustParseAddr("12.0.0.1"), time.Second, false)
	if reason == Allowed {
		client.waiting = false
		client.worst = max(client.worst, s.now-client.since)
		return
	}
	if s.now-client.since > longestWait {
		s.t.Fatalf("an address that keeps its limits has waited since %v at %v: %v; open %v, among them %d retries",
			client.since, s.now, reason, s.limiter.openByTrust, s.limiter.openRetries)
	}
}

// checkReserve checks that unknown addresses do not use the reserve, and that learned
// addresses use at most half of it.
func (s *scaleTest) checkReserve() {
	const unreserved = scaleCapacity - scaleReserve
	unknown := s.limiter.openByTrust[Unknown]
	learned := s.limiter.openByTrust[Learned]
	if unknown+learned > unreserved+scaleReserve/2 || unknown > unreserved {
		s.t.Fatalf("%v: open connections by trust: %v; capacity: %d unreserved and %d reserved",
			s.now, s.limiter.openByTrust, unreserved, scaleReserve)
	}
}

func (s *scaleTest) checkInvariants() {
	if err := s.limiter.CheckInvariants(); err != nil {
		s.t.Fatalf("%v: %v", s.now, err)
	}
}

// freeOwnMemory frees the memory of the test, except for the Limiter.
func (s *scaleTest) freeOwnMemory() {
	s.byToken = nil
	s.open = nil
	s.seen = nil
}
