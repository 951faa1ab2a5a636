package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// A round of attempts that all failed is followed by a pause that doubles
	// up to mostBackoff. With the connect and answer time-outs of the caller it
	// stays well below the 6 s after which a change counts as told.
	firstBackoff = 100 * time.Millisecond
	mostBackoff  = time.Second

	// steadyUpstream is how long an upstream works before its loss counts as the
	// first failure, so that ones that flap are called with growing pauses.
	steadyUpstream = 2 * time.Second

	// behindLimit is how long all upstreams may be older before that is reported.
	behindLimit = time.Minute
)

// Failover decides which of an ordered list of upstreams is called next. A
// working one is kept until it fails; then the next one is called at once.
type Failover struct {
	servers     []string
	current     int
	failures    int // in a row, over all servers
	working     bool
	workingFrom time.Duration
	random      *rand.Rand
	notBefore   time.Duration
	behindSince map[string]time.Duration
	reported    bool // all of them being behind has been reported
}

// NewFailover returns a list that starts at its first server. seed spreads the
// pauses of different relays.
func NewFailover(servers []string, seed uint64) *Failover {
	return &Failover{servers: slices.Clone(servers), random: rand.New(rand.NewPCG(seed, seed)),
		behindSince: map[string]time.Duration{}}
}

// Next is the server to call, and how long to wait before.
func (f *Failover) Next(now time.Duration) (server string, wait time.Duration) {
	return f.servers[f.current], max(f.notBefore-now, 0)
}

// Working tells that the current server brings changes.
func (f *Failover) Working(now time.Duration) {
	if !f.working {
		f.working, f.workingFrom = true, now
	}
	f.reported = false
	clear(f.behindSince)
}

// Failed tells that the call to the current server failed or its watch broke.
func (f *Failover) Failed(now time.Duration) {
	delete(f.behindSince, f.servers[f.current])
	f.advance(now)
}

// Behind tells that the current server has an older version than the caller.
func (f *Failover) Behind(now time.Duration) {
	if _, known := f.behindSince[f.servers[f.current]]; !known {
		f.behindSince[f.servers[f.current]] = now
	}
	f.advance(now)
}

func (f *Failover) advance(now time.Duration) {
	if f.working && now-f.workingFrom >= steadyUpstream {
		f.failures = 0
	}
	f.working = false
	f.current = (f.current + 1) % len(f.servers)
	f.failures++
	f.notBefore = now
	if rounds := f.failures / len(f.servers); rounds > 0 && f.failures%len(f.servers) == 0 {
		pause := min(firstBackoff<<min(rounds-1, 10), mostBackoff)
		f.notBefore += pause/2 + time.Duration(f.random.Int64N(int64(pause/2)))
	}
}

// AllBehind reports, once until a server works again, that all servers have been
// behind for over a minute.
func (f *Failover) AllBehind(now time.Duration) bool {
	if f.reported || len(f.behindSince) < len(f.servers) {
		return false
	}
	for _, since := range f.behindSince {
		if now-since <= behindLimit {
			return false
		}
	}
	f.reported = true
	return true
}

// Replace sets another list. It tells whether the current server is still in
// it; if not, the first one is called next, at once.
func (f *Failover) Replace(servers []string) (kept bool) {
	current := f.servers[f.current]
	f.servers = slices.Clone(servers)
	for server := range f.behindSince {
		if !slices.Contains(servers, server) {
			delete(f.behindSince, server)
		}
	}
	f.failures, f.notBefore, f.reported = 0, 0, false
	if i := slices.Index(servers, current); i >= 0 {
		f.current = i
		return true
	}
	f.current, f.working = 0, false
	return false
}
