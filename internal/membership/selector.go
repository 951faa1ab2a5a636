package membership

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// Server is one server of versioned changes: a relay, or the origin itself.
type Server struct {
	Zone, Address string
}

const (
	// A server that failed is retried after a backoff that doubles up to the
	// maximum, with a jitter of up to a half. It is short enough that any reachable
	// server is found well within the 6 s that a change may take.
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 1500 * time.Millisecond

	// A preferred server that failed is tried again after a longer backoff while
	// another one works, so that subscribers do not oscillate between the two.
	initialReturnDelay = 5 * time.Second
	maxReturnDelay     = 30 * time.Second

	// stablePeriod is how long a server must have worked for its return delay to
	// start from the initial one again.
	stablePeriod = time.Minute

	// notWorking is the value of serverState.workingSince of a server that is not followed.
	notWorking time.Duration = -1
)

// Selector decides which server a subscriber tries and follows. Servers of the
// subscriber's own zone come first, the others in an order that differs by the
// subscriber's name (rendezvous hashing), so that the subscribers of a failed
// relay spread over all that remain. It is created by [NewSelector].
type Selector struct {
	name    string
	zone    string
	servers []*serverState // the most preferred first
	random  *rand.Rand
}

// serverState is what is known of one server.
type serverState struct {
	Server
	attempting   bool          // returned by Next or NextPreferred, and its outcome is not known yet
	failed       bool          // its last outcome was a failure
	retryDelay   time.Duration // the backoff after the next failure, before jitter
	retryAt      time.Duration // not tried before
	returnDelay  time.Duration // the backoff of a return after the next failure, before jitter
	returnAt     time.Duration // not preferred to a working server before
	workingSince time.Duration // notWorking: it is not followed
}

// NewSelector returns a selector for the subscriber of that name and zone.
// The seed is that of the jitter.
func NewSelector(name, zone string, servers []Server, seed uint64) *Selector {
	s := &Selector{name: name, random: rand.New(rand.NewPCG(seed, rendezvousWeight(name, "")))}
	s.Reset(zone, servers)
	return s
}

// Reset replaces the zone and the servers. The state of servers that remain is kept.
func (s *Selector) Reset(zone string, servers []Server) {
	known := map[string]*serverState{}
	for _, state := range s.servers {
		known[state.Address] = state
	}
	s.zone = zone
	s.servers = nil
	for _, server := range servers {
		state := known[server.Address]
		if state == nil {
			state = &serverState{
				retryDelay:   initialRetryDelay,
				returnDelay:  initialReturnDelay,
				workingSince: notWorking,
			}
		}
		state.Server = server
		s.servers = append(s.servers, state)
	}
	slices.SortStableFunc(s.servers, s.comparePreference)
}

// comparePreference orders servers of the subscriber's own zone before others,
// and servers of equal rank by their rendezvous weight.
func (s *Selector) comparePreference(a, b *serverState) int {
	aInOwnZone := a.Zone == s.zone
	bInOwnZone := b.Zone == s.zone
	switch {
	case aInOwnZone && !bInOwnZone:
		return -1
	case bInOwnZone && !aInOwnZone:
		return 1
	}
	return cmp.Compare(rendezvousWeight(s.name, b.Address), rendezvousWeight(s.name, a.Address))
}

// rendezvousWeight is the weight that a subscriber gives to a server.
func rendezvousWeight(name, address string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	hash.Write([]byte{0})
	hash.Write([]byte(address))
	sum := hash.Sum64() // mixed below, since names often differ in their last bytes only
	sum = (sum ^ sum>>32) * 0x9e3779b97f4a7c15
	sum = (sum ^ sum>>29) * 0xbf58476d1ce4e5b9
	return sum ^ sum>>32
}

// Next returns the server to try now, for a subscriber that follows none, or how
// long to wait for one. The server counts as being tried until MarkActive,
// MarkFailed or MarkAbandoned is called for it. Servers that have not failed come
// first, in order of preference; then the one that has been due for longest, so
// that all are tried in turn.
func (s *Selector) Next(now time.Duration) (server Server, wait time.Duration) {
	var next *serverState
	wait = maxRetryDelay
	for _, candidate := range s.servers {
		if candidate.attempting {
			continue
		}
		if !candidate.failed {
			next = candidate
			break
		}
		if candidate.retryAt > now {
			wait = min(wait, candidate.retryAt-now)
			continue
		}
		if next == nil || candidate.retryAt < next.retryAt {
			next = candidate
		}
	}
	if next == nil {
		return Server{}, wait
	}
	next.attempting = true
	return next.Server, 0
}

// NextPreferred returns a server to try beside the one that is followed, which it may
// replace once it works: one of the own zone where the followed one is not, or
// any where the followed one is no longer listed. It counts as being tried like
// that of Next. ok is false where no server is better; otherwise wait is how long
// to wait before one may be tried.
func (s *Selector) NextPreferred(now time.Duration, followed string) (server Server, wait time.Duration, ok bool) {
	current := s.find(followed)
	if current != nil && current.Zone == s.zone {
		return Server{}, 0, false
	}
	wait = maxReturnDelay
	for _, candidate := range s.servers {
		isBetter := current == nil || candidate.Zone == s.zone
		if candidate == current || candidate.attempting || !isBetter {
			continue
		}
		ok = true
		if candidate.failed && candidate.returnAt > now {
			wait = min(wait, candidate.returnAt-now)
			continue
		}
		candidate.attempting = true
		return candidate.Server, 0, true
	}
	return Server{}, wait, ok
}

// MarkActive records that a server is followed.
func (s *Selector) MarkActive(now time.Duration, address string) {
	state := s.find(address)
	if state == nil {
		return
	}
	state.attempting = false
	state.failed = false
	state.retryDelay = initialRetryDelay
	state.workingSince = now
}

// MarkAbandoned records that a server was left for another one, which is no failure.
func (s *Selector) MarkAbandoned(address string) {
	state := s.find(address)
	if state == nil {
		return
	}
	state.attempting = false
	state.workingSince = notWorking
}

// MarkFailed records that a server could not be reached, is behind, or broke off.
func (s *Selector) MarkFailed(now time.Duration, address string) {
	state := s.find(address)
	if state == nil {
		return
	}
	if state.workingSince >= 0 && now-state.workingSince >= stablePeriod {
		state.returnDelay = initialReturnDelay
	}
	state.attempting = false
	state.failed = true
	state.workingSince = notWorking
	state.retryAt = now + withJitter(s.random, state.retryDelay)
	state.retryDelay = min(2*state.retryDelay, maxRetryDelay)
	state.returnAt = now + withJitter(s.random, state.returnDelay)
	state.returnDelay = min(2*state.returnDelay, maxReturnDelay)
}

// find returns the state of a listed server, or nil.
func (s *Selector) find(address string) *serverState {
	for _, state := range s.servers {
		if state.Address == address {
			return state
		}
	}
	return nil
}
