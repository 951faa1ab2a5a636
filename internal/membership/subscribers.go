package membership

import "time"

// SubscriberID identifies one watch of a relay.
type SubscriberID uint64

// BatchLimits sets the minimum time between deltas to a subscriber. Changes that
// follow each other more closely are coalesced.
type BatchLimits struct {
	Interval       time.Duration // minimum between two deltas
	UrgentInterval time.Duration // the same if the second one contains an urgent change
}

// Subscribers decides when each subscriber is sent its next delta. It does not
// queue deltas and keeps only the version of each subscriber, so that a slow
// reader costs no more than a fast one and catches up with one coalesced delta.
// It is created by [NewSubscribers].
type Subscribers struct {
	limits      BatchLimits
	newest      Version
	lastUrgent  Version // the newest version that contains an urgent change
	subscribers map[SubscriberID]*subscriber
}

// subscriber is one watch of a relay.
type subscriber struct {
	version Version // the newest that it was sent, including the line that is being written
	limiter *RateLimiter
	started bool          // its first line has been sent, or is being written
	sending bool          // a line is being written
	sentAt  time.Duration // when the last line had been written
}

// NewSubscribers returns an empty set.
func NewSubscribers(limits BatchLimits) *Subscribers {
	return &Subscribers{limits: limits, subscribers: map[SubscriberID]*subscriber{}}
}

// Len returns the number of subscribers.
func (s *Subscribers) Len() int { return len(s.subscribers) }

// Changed records that a newer version is in the store, and whether it contains an
// urgent change.
func (s *Subscribers) Changed(version Version, urgent bool) {
	s.newest = max(s.newest, version)
	if urgent {
		s.lastUrgent = max(s.lastUrgent, version)
	}
}

// Add adds a subscriber that has everything up to after. Its first line is due
// at once, unless it is a delta that its limiter holds back. Subscribers may
// share a limiter.
func (s *Subscribers) Add(id SubscriberID, after Version, limiter *RateLimiter) {
	s.subscribers[id] = &subscriber{version: after, limiter: limiter}
}

// Remove removes a subscriber.
func (s *Subscribers) Remove(id SubscriberID) { delete(s.subscribers, id) }

// Version returns the version that a subscriber has, including the line that is
// being written, or 0 for an unknown subscriber.
func (s *Subscribers) Version(id SubscriberID) Version {
	sub := s.subscribers[id]
	if sub == nil {
		return 0
	}
	return sub.version
}

// Sending records that a line up to version is being written to a subscriber.
// No other line is due until Sent is called.
func (s *Subscribers) Sending(id SubscriberID, version Version) {
	sub := s.subscribers[id]
	if sub == nil {
		return
	}
	sub.version = version
	sub.sending = true
	sub.started = true
}

// Sent records that the line has been written, and its size in bytes.
func (s *Subscribers) Sent(now time.Duration, id SubscriberID, bytes int) {
	sub := s.subscribers[id]
	if sub == nil {
		return
	}
	sub.sending = false
	sub.sentAt = now
	sub.limiter.Spend(now, bytes)
}

// Due returns the subscribers whose next line is due now, in no particular order.
// next is the time when another subscriber's line will be due if no change comes
// before; waiting is false if there is none.
func (s *Subscribers) Due(now time.Duration) (due []SubscriberID, next time.Duration, waiting bool) {
	for id, sub := range s.subscribers {
		wait, pending := s.wait(now, sub)
		if !pending {
			continue
		}
		if wait <= 0 {
			due = append(due, id)
			continue
		}
		if !waiting || now+wait < next {
			next = now + wait
			waiting = true
		}
	}
	return due, next, waiting
}

// Wait returns how long a subscriber's next line has to wait. pending is false if
// there is nothing to send, a line is being written, or the subscriber is unknown.
func (s *Subscribers) Wait(now time.Duration, id SubscriberID) (wait time.Duration, pending bool) {
	sub := s.subscribers[id]
	if sub == nil {
		return 0, false
	}
	return s.wait(now, sub)
}

// wait implements Wait for a known subscriber.
func (s *Subscribers) wait(now time.Duration, sub *subscriber) (wait time.Duration, pending bool) {
	switch {
	case sub.sending:
		return 0, false
	case !sub.started && (sub.version == 0 || sub.version >= s.newest):
		return 0, true // the first line, which is a snapshot or empty
	case sub.version >= s.newest:
		return 0, false
	}
	urgent := s.Urgent(sub.version)
	interval := s.limits.Interval
	if urgent {
		interval = s.limits.UrgentInterval
	}
	wait = sub.limiter.Wait(now, urgent)
	if sub.started {
		wait = max(wait, sub.sentAt+interval-now)
	}
	return wait, true
}

// Urgent reports whether a subscriber at version after lacks an urgent change.
func (s *Subscribers) Urgent(after Version) bool { return after < s.lastUrgent }

// UpToDate returns how long ago the last line was written to a subscriber that has
// the newest version. It returns false for any other subscriber, and while a line
// is being written or the first one is due.
func (s *Subscribers) UpToDate(now time.Duration, id SubscriberID) (time.Duration, bool) {
	sub := s.subscribers[id]
	if sub == nil || sub.sending || !sub.started || sub.version < s.newest {
		return 0, false
	}
	return now - sub.sentAt, true
}
