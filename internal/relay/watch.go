package relay

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// maxPushedBytes is the longest delta that is sent on the watch of a caller that
// could also fetch it compressed.
const maxPushedBytes = 4 << 10

// watch is an open watch. Its handler writes the pending changes until ended is closed.
type watch struct {
	peer    *peer
	isRelay bool                // the caller is a relay
	pending chan *encodedChange // holds at most one change; the next one is due once that has been written
	ended   chan struct{}
}

// openWatch adds a watch that continues from version after, or returns the reason
// why it cannot. An open watch of the same caller is ended.
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

// sendDue passes the next change to each watch whose next line is due.
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
		receiver.pending <- change // does not block, since the previous one has been written
	}
}

// shouldFetch reports whether a change that continues from version is so long that
// the caller should fetch it by a single call, whose response is compressed. Its
// watch is then ended, and the caller makes the call at once. shouldFetch returns
// false for relays, and for a caller whose watch was last ended for this reason at
// the same version.
func (w *watch) shouldFetch(version membership.Version, change *encodedChange) bool {
	caller := w.peer
	if !caller.acceptsGzip || caller.endedForFetchAt == version || w.isRelay {
		return false
	}
	return len(change.json()) > maxPushedBytes
}

// endWatches ends all watches.
func (s *state) endWatches() {
	for id, open := range s.watches {
		s.endWatch(id, open)
	}
}

// endRelayWatches ends the watches of the relays below. They open them again, and so
// receive the new relay path, from which a relay detects that it would follow itself.
func (s *state) endRelayWatches() {
	for id, open := range s.watches {
		if open.isRelay {
			s.endWatch(id, open)
		}
	}
}

// endWatch removes a watch and makes its handler end the response, which is then
// complete.
func (s *state) endWatch(id membership.SubscriberID, open *watch) {
	close(open.ended)
	s.removeWatch(id, open)
}

// removeWatch removes a watch from the state.
func (s *state) removeWatch(id membership.SubscriberID, open *watch) {
	delete(s.watches, id)
	s.subscribers.Remove(id)
	if open.peer.watchID == id {
		open.peer.watchID = 0
	}
}
