package relay

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

const (
	maxPeersPerWatch = 4           // names remembered for each watch that may be open
	crossingGrace    = time.Second // within which a call may cross a line of the caller's watch
)

// peer is a named caller. Its rate limit outlives its connections.
type peer struct {
	limiter         membership.RateLimiter
	lastSeen        time.Duration
	watchID         membership.SubscriberID // its open watch; 0: none
	acceptsGzip     bool                    // its calls accept compressed responses
	endedForFetchAt membership.Version      // that it had when its watch was last ended by shouldFetch
	acked           membership.Version      // the highest that it acknowledged on that watch
}

// findOrAddPeer returns the caller of that name, or nil where there are too many
// names. Each caller without a name gets a peer of its own.
func (s *state) findOrAddPeer(now time.Duration, name string) *peer {
	caller := s.peers[name]
	if caller == nil {
		if name != "" && len(s.peers) >= maxPeersPerWatch*s.config.MaxSubscribers {
			return nil
		}
		caller = &peer{limiter: membership.NewRateLimiter(s.config.BytesPerS)}
		if name != "" {
			s.peers[name] = caller
		}
	}
	caller.lastSeen = now
	return caller
}

// expirePeers removes the callers that have been silent, once their rate limit
// no longer holds anything back.
func (s *state) expirePeers(now time.Duration) {
	for name, known := range s.peers {
		isSilent := known.watchID == 0 && now-known.lastSeen > s.config.ackExpiry()
		if isSilent && known.limiter.Wait(now, false) == 0 {
			delete(s.peers, name)
		}
	}
}

// isHeldBack reports whether a caller gets what it lacks later, by its open watch
// or once its rate limit allows. Its call is then answered with an empty delta.
func (s *state) isHeldBack(now time.Duration, caller *peer, after membership.Version) bool {
	watchDelivers := caller.watchID != 0 && s.subscribers.Version(caller.watchID) >= after
	if watchDelivers && !s.isRepeatedCall(now, caller, after) {
		return true
	}
	return caller.limiter.Wait(now, s.subscribers.Urgent(after)) > 0
}

// isRepeatedCall reports whether a caller asks for what its watch has brought
// before, since it has rejected some of it. A call that merely crossed a line of
// the watch is none.
func (s *state) isRepeatedCall(now time.Duration, caller *peer, after membership.Version) bool {
	if after < caller.acked {
		return true
	}
	idle, upToDate := s.subscribers.UpToDate(now, caller.watchID)
	return upToDate && idle > crossingGrace
}
