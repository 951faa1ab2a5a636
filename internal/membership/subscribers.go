package membership

import "time"

// SubscriberID names one watch of a relay.
type SubscriberID uint64

// BatchLimits say how changes that follow each other are coalesced.
type BatchLimits struct {
	Interval       time.Duration // between two deltas to a subscriber
	UrgentInterval time.Duration // the same where the next one holds an urgent change
}

// Subscribers decides when each subscriber is sent its next delta. It keeps no
// delta, only the version that a subscriber has: one that reads slowly costs the
// same as one that reads at once, and catches up by one coalesced delta.
// The zero value is not usable; see NewSubscribers.
type Subscribers struct {
	limits      BatchLimits
	newest      Version
	lastUrgent  Version // the newest version that holds an urgent change
	subscribers map[SubscriberID]*subscriber
}

type subscriber struct {
	version Version
	pace    *Pace
	started bool // its first line has been sent
	sending bool // a line is being written
	sentAt  time.Duration
}

// NewSubscribers returns an empty set.
func NewSubscribers(limits BatchLimits) *Subscribers {
	return &Subscribers{limits: limits, subscribers: map[SubscriberID]*subscriber{}}
}

// Len is the number of subscribers.
func (s *Subscribers) Len() int { return len(s.subscribers) }

// Changed tells that a newer version is in force; urgent, that it holds an urgent change.
func (s *Subscribers) Changed(version Version, urgent bool) {
	s.newest = max(s.newest, version)
	if urgent {
		s.lastUrgent = max(s.lastUrgent, version)
	}
}

// Add takes in a subscriber that has everything up to after. Its first line is
// due at once, unless it is a delta that its pace holds back. Subscribers with
// the same pace share one bound.
func (s *Subscribers) Add(id SubscriberID, after Version, pace *Pace) {
	s.subscribers[id] = &subscriber{version: after, pace: pace}
}

// Remove forgets a subscriber.
func (s *Subscribers) Remove(id SubscriberID) { delete(s.subscribers, id) }

// Version is the version that a subscriber has, counting the line that is being written.
func (s *Subscribers) Version(id SubscriberID) Version {
	if sub := s.subscribers[id]; sub != nil {
		return sub.version
	}
	return 0
}

// Sending tells that a line up to version is being written to a subscriber.
// Nothing else is due to it until Sent.
func (s *Subscribers) Sending(id SubscriberID, version Version) {
	if sub := s.subscribers[id]; sub != nil {
		sub.version, sub.sending, sub.started = version, true, true
	}
}

// Sent tells that the line has been written, with so many bytes.
func (s *Subscribers) Sent(now time.Duration, id SubscriberID, bytes int) {
	if sub := s.subscribers[id]; sub != nil {
		sub.sending, sub.sentAt = false, now
		sub.pace.Spend(now, bytes)
	}
}

// Due lists the subscribers whose next line is due now. next is when another
// one will be, if no change comes before; waiting is false where there is none.
func (s *Subscribers) Due(now time.Duration) (due []SubscriberID, next time.Duration, waiting bool) {
	for id, sub := range s.subscribers {
		wait, pending := s.wait(now, sub)
		switch {
		case !pending:
		case wait <= 0:
			due = append(due, id)
		case !waiting || now+wait < next:
			next, waiting = now+wait, true
		}
	}
	return due, next, waiting
}

// wait is how long a subscriber's next line has to wait; pending is false where
// there is none to send.
func (s *Subscribers) wait(now time.Duration, sub *subscriber) (wait time.Duration, pending bool) {
	switch {
	case sub.sending:
		return 0, false
	case !sub.started && (sub.version == 0 || sub.version >= s.newest):
		return 0, true // it has nothing yet, or the line is empty
	case sub.version >= s.newest:
		return 0, false
	}
	urgent := sub.version < s.lastUrgent
	interval := s.limits.Interval
	if urgent {
		interval = s.limits.UrgentInterval
	}
	wait = sub.pace.Wait(now, urgent)
	if sub.started {
		wait = max(wait, sub.sentAt+interval-now)
	}
	return wait, true
}

// Wait is how long a subscriber's next line has to wait; pending is false where
// there is none to send.
func (s *Subscribers) Wait(now time.Duration, id SubscriberID) (wait time.Duration, pending bool) {
	sub := s.subscribers[id]
	if sub == nil {
		return 0, false
	}
	return s.wait(now, sub)
}

// Urgent tells whether a subscriber at version after lacks an urgent change.
func (s *Subscribers) Urgent(after Version) bool { return after < s.lastUrgent }

// UpToDate tells for how long everything has been written to a subscriber;
// false where a line is being written or waits.
func (s *Subscribers) UpToDate(now time.Duration, id SubscriberID) (time.Duration, bool) {
	sub := s.subscribers[id]
	if sub == nil || sub.sending || !sub.started || sub.version < s.newest {
		return 0, false
	}
	return now - sub.sentAt, true
}
