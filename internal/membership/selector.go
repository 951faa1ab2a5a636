package membership

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// Server is a server of versioned changes: a relay or the origin.
type Server struct {
	Zone, Address string
}

const (
	// A server that failed is retried after a backoff that doubles up to
	// maxRetryDelay and is shortened by a jitter of up to a half. The backoff is
	// short enough that any reachable server is found well within the 6 s that a
	// change may take.
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 1500 * time.Millisecond

	// While another server works, a preferred server that failed is tried again
	// only after a longer backoff, so that subscribers do not oscillate between
	// the two.
	initialReturnDelay = 5 * time.Second
	maxReturnDelay     = 30 * time.Second

	// stablePeriod is how long a server must have worked for its return delay to
	// be reset to initialReturnDelay.
	stablePeriod = time.Minute

	// notWorking is the value of serverState.workingSince for a server that is not followed.
	notWorking time.Duration = -1
)

// Selector decides which server a subscriber tries and follows. Servers of the
// subscriber's own zone come first. The others follow in an order that depends on
// the subscriber's name (rendezvous hashing), so that the subscribers of a failed
// relay spread over all remaining servers. It is created by [NewSelector].
type Selector struct {
	name    string
	zone    string
	servers []*serverState // the most preferred first
	random  *rand.Rand
}

// serverState is the state of one server.
type serverState struct {
	Server
	attempting   bool          // returned by Next or NextPreferred, and its outcome is not known yet
	failed       bool          // its last outcome was a failure
	retryDelay   time.Duration // backoff after the next failure, before jitter
	retryAt      time.Duration // earliest time of the next attempt after a failure
	returnDelay  time.Duration // backoff after the next failure before a return to the server, before jitter
	returnAt     time.Duration // earliest time at which the server is preferred to a working one after a failure
	workingSince time.Duration // since when it is followed, or notWorking
}

// NewSelector returns a selector for the subscriber with the given name and zone.
// The seed is for the jitter.
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

// comparePreference orders servers of the subscriber's own zone before others.
// Within these groups it orders servers by descending rendezvous weight.
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

// rendezvousWeight returns the weight that a subscriber gives to a server.
func rendezvousWeight(name, address string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	hash.Write([]byte{0})
	hash.Write([]byte(address))
	sum := hash.Sum64() // mixed further, since names often differ only in their last bytes
	sum = (sum ^ sum>>32) * 0x9e3779b97f4a7c15
	sum = (sum ^ sum>>29) * 0xbf58476d1ce4e5b9
	return sum ^ sum>>32
}

// Next returns the server to try now, for a subscriber that follows none, or how
// long to wait until one may be tried. The server counts as being tried until
// MarkActive, MarkFailed or MarkAbandoned is called for it. Servers that have not
// failed come first, in order of preference; then the failed one that has been due
// for longest, so that all are tried in turn.
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

// NextPreferred returns a server to try in parallel to the followed one, which it
// may replace once it works. It is a server of the subscriber's own zone if the
// followed one is of another zone, or any server if the followed one is no longer
// listed. Like a server returned by Next, it counts as being tried. ok is false if
// no server is better; otherwise wait is how long to wait before one may be tried.
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

// MarkAbandoned records that a server is no longer tried or followed, since another
// one is followed. This does not count as a failure.
func (s *Selector) MarkAbandoned(address string) {
	state := s.find(address)
	if state == nil {
		return
	}
	state.attempting = false
	state.workingSince = notWorking
}

// MarkFailed records that a server could not be reached, is behind, or broke off
// the connection.
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
