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
	// A server that failed is tried again after a time that doubles up to the
	// longest one, each with a jitter of up to a half. It is short enough that any
	// server that can be reached is found well within the 6 s that a change may take.
	leastRetry = 200 * time.Millisecond
	mostRetry  = 1500 * time.Millisecond

	// A preferred server that failed is asked again later where another one works,
	// lest subscribers move to and fro with one that flaps.
	leastReturn = 5 * time.Second
	mostReturn  = 30 * time.Second

	// steadyTime is how long a server must have worked for its former failures to
	// be forgotten.
	steadyTime = time.Minute
)

// Selector decides which server a subscriber tries and follows. Servers of the
// subscriber's own zone come first, the others in an order that differs by name
// (rendezvous hashing), so that the subscribers of a lost relay spread over all
// that remain. It is not safe for concurrent use.
type Selector struct {
	name    string
	zone    string
	servers []*upstream // the most preferred first
	rng     *rand.Rand
}

// upstream is what is known of one server.
type upstream struct {
	Server
	trying   bool          // Next or Better named it, and its outcome is not known
	failed   bool          // its last outcome is a failure
	retry    time.Duration // the wait that the next failure leads to, before jitter
	retryAt  time.Duration // not tried earlier than that
	comeback time.Duration // the wait for a return, before jitter
	returnAt time.Duration // not preferred to one that works earlier than that
	since    time.Duration // when it began to work; negative: it does not
}

// NewSelector returns a selector for the subscriber of that name and zone.
// The seed is that of the jitter.
func NewSelector(name, zone string, servers []Server, seed uint64) *Selector {
	s := &Selector{name: name, rng: rand.New(rand.NewPCG(seed, rendezvous(name, "")))}
	s.Reset(zone, servers)
	return s
}

// Reset takes over another zone and other servers. What is known of servers that
// remain stays known.
func (s *Selector) Reset(zone string, servers []Server) {
	known := map[string]*upstream{}
	for _, u := range s.servers {
		known[u.Address] = u
	}
	s.zone, s.servers = zone, nil
	for _, server := range servers {
		u := known[server.Address]
		if u == nil {
			u = &upstream{retry: leastRetry, comeback: leastReturn, since: -1}
		}
		u.Server = server
		s.servers = append(s.servers, u)
	}
	slices.SortStableFunc(s.servers, func(a, b *upstream) int {
		if near := a.Zone == zone; near != (b.Zone == zone) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvous(s.name, b.Address), rendezvous(s.name, a.Address))
	})
}

// rendezvous is the weight that a subscriber gives to a server.
func rendezvous(name, address string) uint64 {
	f := fnv.New64a()
	f.Write([]byte(name))
	f.Write([]byte{0})
	f.Write([]byte(address))
	h := f.Sum64() // mixed below: names often differ in their ends only
	h = (h ^ h>>32) * 0x9e3779b97f4a7c15
	h = (h ^ h>>29) * 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// Next names the server to try now, for a subscriber that follows none, or tells
// how long to wait for one. The server counts as tried until Working, Failed or
// Abandoned is told of it. Servers that have not failed come first, in order of
// preference; then the one that has been due for longest, so that each is tried
// in turn.
func (s *Selector) Next(now time.Duration) (server Server, wait time.Duration) {
	var next *upstream
	wait = mostRetry
	for _, u := range s.servers {
		if u.trying {
			continue
		}
		if !u.failed {
			next = u
			break
		}
		if u.retryAt > now {
			wait = min(wait, u.retryAt-now)
			continue
		}
		if next == nil || u.retryAt < next.retryAt {
			next = u
		}
	}
	if next == nil {
		return Server{}, wait
	}
	next.trying = true
	return next.Server, 0
}

// Better names a server to try beside the one that is followed, which it may
// replace once it works: one of the own zone where the other is not, or any where
// the other is not among the servers any more. It counts as tried like that of
// Next. ok is false where none is better; else wait may say how long to wait.
func (s *Selector) Better(now time.Duration, followed string) (server Server, wait time.Duration, ok bool) {
	listed, near := false, false
	for _, u := range s.servers {
		if u.Address == followed {
			listed, near = true, u.Zone == s.zone
		}
	}
	if near {
		return Server{}, 0, false
	}
	wait = mostReturn
	for _, u := range s.servers {
		if u.Address == followed || u.trying || listed && u.Zone != s.zone {
			continue
		}
		ok = true
		if u.failed && u.returnAt > now {
			wait = min(wait, u.returnAt-now)
			continue
		}
		u.trying = true
		return u.Server, 0, true
	}
	return Server{}, wait, ok
}

// Working tells that a server is followed.
func (s *Selector) Working(now time.Duration, address string) {
	u := s.find(address)
	if u == nil {
		return
	}
	u.trying, u.failed, u.retry = false, false, leastRetry
	u.since = now
}

// Abandoned tells that a server was given up for another one, which says nothing of it.
func (s *Selector) Abandoned(address string) {
	if u := s.find(address); u != nil {
		u.trying, u.since = false, -1
	}
}

// Failed tells that a server could not be reached, is behind, or broke off.
func (s *Selector) Failed(now time.Duration, address string) {
	u := s.find(address)
	if u == nil {
		return
	}
	if u.since >= 0 && now-u.since >= steadyTime {
		u.comeback = leastReturn
	}
	u.trying, u.failed, u.since = false, true, -1
	u.retryAt = now + s.jitter(u.retry)
	u.retry = min(2*u.retry, mostRetry)
	u.returnAt = now + s.jitter(u.comeback)
	u.comeback = min(2*u.comeback, mostReturn)
}

func (s *Selector) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(s.rng.Int64N(int64(wait/2)))
}

func (s *Selector) find(address string) *upstream {
	for _, u := range s.servers {
		if u.Address == address {
			return u
		}
	}
	return nil
}
