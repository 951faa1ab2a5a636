package relay

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

const (
	maxPeersPerWatch = 4           // limit of remembered names for each watch that may be open
	crossingGrace    = time.Second // after a line of a watch; a call in this time may have been sent before the line arrived
)

// peer is a named caller. Its rate limit outlives its connections.
type peer struct {
	limiter         membership.RateLimiter
	lastSeen        time.Duration
	watchID         membership.SubscriberID // its open watch; 0 if there is none
	acceptsGzip     bool                    // its calls accept compressed responses
	endedForFetchAt membership.Version      // version that it had when its watch was last ended because of shouldFetch
	acked           membership.Version      // highest version that it has acknowledged since its latest watch was opened
}

// findOrAddPeer returns the peer with the given name, or nil if the name is new and
// there are too many names already. For a caller without a name it returns a new
// peer each time.
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

// expirePeers removes the peers that have been silent for the expiry, once their
// rate limit would not delay anything.
func (s *state) expirePeers(now time.Duration) {
	for name, known := range s.peers {
		isSilent := known.watchID == 0 && now-known.lastSeen > s.config.ackExpiry()
		if isSilent && known.limiter.Wait(now, false) == 0 {
			delete(s.peers, name)
		}
	}
}

// isHeldBack reports whether a caller is sent what it lacks later, on its open
// watch or once its rate limit allows. Its call is then answered with an empty
// delta.
func (s *state) isHeldBack(now time.Duration, caller *peer, after membership.Version) bool {
	watchDelivers := caller.watchID != 0 && s.subscribers.Version(caller.watchID) >= after
	if watchDelivers && !s.isRepeatedCall(now, caller, after) {
		return true
	}
	return caller.limiter.Wait(now, s.subscribers.Urgent(after)) > 0
}

// isRepeatedCall reports whether a caller requests changes that it has already been
// sent on its watch, because it has rejected some of them. A call that may have
// been sent before the watch's last line arrived does not count.
func (s *state) isRepeatedCall(now time.Duration, caller *peer, after membership.Version) bool {
	if after < caller.acked {
		return true
	}
	idle, upToDate := s.subscribers.UpToDate(now, caller.watchID)
	return upToDate && idle > crossingGrace
}
