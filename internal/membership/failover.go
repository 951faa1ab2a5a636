package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// After as many failures in a row as there are upstreams, the next round of
	// attempts is preceded by a backoff that doubles up to maxBackoff. Together
	// with the caller's connect and response timeouts it stays well below the 6 s
	// within which a change has to reach all subscribers.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second

	// maxBackoffShift keeps the doubling from overflowing; maxBackoff is reached long before.
	maxBackoffShift = 10

	// stableAfter is how long an upstream has to work for its next failure to
	// count as the first one. The backoff therefore also grows for upstreams that
	// work only briefly each time.
	stableAfter = 2 * time.Second

	// behindReportAfter is how long all upstreams may be behind before that is reported.
	behindReportAfter = time.Minute
)

// Failover decides which upstream of an ordered list is called next. A working
// upstream is kept until it fails; then the next one is called at once.
// It is created by [NewFailover].
type Failover struct {
	servers        []string
	current        int  // index of the current server in servers
	failures       int  // in a row, over all servers
	working        bool // the current server delivers changes
	workingSince   time.Duration
	random         *rand.Rand
	notBefore      time.Duration            // earliest time of the next call
	behindSince    map[string]time.Duration // when a server was first found to be behind
	reportedBehind bool                     // AllBehind has returned true since a server last worked
}

// NewFailover returns a Failover that starts with the first of servers, which
// must not be empty. The seed is for the backoff's jitter; relays with different
// seeds do not retry at the same time.
func NewFailover(servers []string, seed uint64) *Failover {
	return &Failover{
		servers:     slices.Clone(servers),
		random:      rand.New(rand.NewPCG(seed, seed)),
		behindSince: map[string]time.Duration{},
	}
}

// Next returns the server to call, and how long to wait before the call.
func (f *Failover) Next(now time.Duration) (server string, wait time.Duration) {
	return f.servers[f.current], max(f.notBefore-now, 0)
}

// MarkActive records that the current server delivers changes.
func (f *Failover) MarkActive(now time.Duration) {
	if !f.working {
		f.working = true
		f.workingSince = now
	}
	f.reportedBehind = false
	clear(f.behindSince)
}

// MarkFailed records that the call to the current server failed or its watch
// ended, and moves on to the next server.
func (f *Failover) MarkFailed(now time.Duration) {
	delete(f.behindSince, f.servers[f.current])
	f.advance(now)
}

// MarkBehind records that the current server has an older version than the
// caller, and moves on to the next server.
func (f *Failover) MarkBehind(now time.Duration) {
	server := f.servers[f.current]
	if _, recorded := f.behindSince[server]; !recorded {
		f.behindSince[server] = now
	}
	f.advance(now)
}

// advance moves on to the next server, with a backoff before each new round of
// attempts.
func (f *Failover) advance(now time.Duration) {
	if f.working && now-f.workingSince >= stableAfter {
		f.failures = 0
	}
	f.working = false
	f.current = (f.current + 1) % len(f.servers)
	f.failures++
	f.notBefore = now
	rounds := f.failures / len(f.servers)
	if rounds > 0 && f.failures%len(f.servers) == 0 {
		backoff := min(initialBackoff<<min(rounds-1, maxBackoffShift), maxBackoff)
		f.notBefore += withJitter(f.random, backoff)
	}
}

// AllBehind reports whether all servers have been behind for longer than
// behindReportAfter. It returns true only once until a server works again.
func (f *Failover) AllBehind(now time.Duration) bool {
	if f.reportedBehind || len(f.behindSince) < len(f.servers) {
		return false
	}
	for _, since := range f.behindSince {
		if now-since <= behindReportAfter {
			return false
		}
	}
	f.reportedBehind = true
	return true
}

// Replace replaces the list of servers. It returns whether the current server is
// still listed; if not, the first one is called next, without a backoff.
func (f *Failover) Replace(servers []string) (stillListed bool) {
	current := f.servers[f.current]
	f.servers = slices.Clone(servers)
	for server := range f.behindSince {
		if !slices.Contains(servers, server) {
			delete(f.behindSince, server)
		}
	}
	f.failures = 0
	f.notBefore = 0
	f.reportedBehind = false
	index := slices.Index(servers, current)
	if index >= 0 {
		f.current = index
		return true
	}
	f.current = 0
	f.working = false
	return false
}

// withJitter returns a random duration between half of wait and wait.
func withJitter(random *rand.Rand, wait time.Duration) time.Duration {
	return wait/2 + time.Duration(random.Int64N(int64(wait/2)))
}
