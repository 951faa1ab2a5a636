package relay

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// maxPushedBytes is the length up to which a delta is sent on a watch to a
// caller that could also fetch it compressed.
const maxPushedBytes = 4 << 10

// watch is an open watch. Its handler writes the pending changes until ended is closed.
type watch struct {
	peer    *peer
	isRelay bool                // its caller is a relay
	pending chan *encodedChange // holds at most one: the next one is due when it has been written
	ended   chan struct{}
}

// openWatch adds a watch, or returns why it cannot.
func (s *state) openWatch(name string, after membership.Version) (membership.SubscriberID, *watch, error) {
	now := s.now()
	if err := s.checkAvailable(after); err != nil {
		return 0, nil, err
	}
	if s.isStale(now) {
		return 0, nil, errNoUpstream
	}
	caller := s.findOrAddPeer(now, name)
	if caller == nil || len(s.watches) >= s.config.MaxSubscribers {
		return 0, nil, errTooManySubscribers
	}
	previous := s.watches[caller.watchID]
	if previous != nil {
		s.endWatch(caller.watchID, previous)
	}
	s.lastID++
	opened := &watch{peer: caller, pending: make(chan *encodedChange, 1), ended: make(chan struct{})}
	caller.watchID = s.lastID
	caller.acked = after
	s.watches[s.lastID] = opened
	s.subscribers.Add(s.lastID, after, &caller.limiter)
	s.scanAt(now)
	return s.lastID, opened, nil
}

// sendDue passes each watch that is due its next change.
func (s *state) sendDue(now time.Duration) {
	s.nextScan = 0
	due, next, waiting := s.subscribers.Due(now)
	if waiting {
		s.scanAt(max(next, now+scanInterval))
	}
	for _, id := range due {
		version := s.subscribers.Version(id)
		change := s.changes.since(now, version)
		if change == nil {
			continue // unreachable: no watch is opened for a version newer than the state
		}
		receiver := s.watches[id]
		if receiver.shouldFetch(version, change) {
			receiver.peer.endedForFetchAt = version
			s.endWatch(id, receiver)
			continue
		}
		s.subscribers.Sending(id, change.version)
		receiver.pending <- change // does not block: the last one has been written
	}
}

// shouldFetch reports whether a change from version on is so long that the caller
// should rather fetch it by a single call, whose response is compressed: its
// watch is ended, and the caller calls at once. This is asked once for a version,
// and never of a relay.
func (w *watch) shouldFetch(version membership.Version, change *encodedChange) bool {
	caller := w.peer
	if !caller.acceptsGzip || caller.endedForFetchAt == version || w.isRelay {
		return false
	}
	return len(change.json()) > maxPushedBytes
}

// endWatches makes all watches' handlers end their responses.
func (s *state) endWatches() {
	for id, open := range s.watches {
		s.endWatch(id, open)
	}
}

// endRelayWatches makes the relays below open their watches again, so that they
// learn the new relay path and none follows itself by way of others.
func (s *state) endRelayWatches() {
	for id, open := range s.watches {
		if open.isRelay {
			s.endWatch(id, open)
		}
	}
}

// endWatch makes a watch's handler end its response, completely.
func (s *state) endWatch(id membership.SubscriberID, open *watch) {
	close(open.ended)
	s.removeWatch(id, open)
}

// removeWatch forgets a watch.
func (s *state) removeWatch(id membership.SubscriberID, open *watch) {
	delete(s.watches, id)
	s.subscribers.Remove(id)
	if open.peer.watchID == id {
		open.peer.watchID = 0
	}
}
