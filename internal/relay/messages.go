package relay

import (
	"errors"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// This file owns what other goroutines ask of the one that owns the state.

// message is handled on the state's goroutine.
type message interface{ handle(*state) }

// send hands a message over; false: the relay has ended.
func (s *state) send(m message) bool {
	select {
	case s.messages <- m:
		return true
	case <-s.stopped:
		return false
	}
}

// openMessage asks for a watch.
type openMessage struct {
	name  string
	after membership.Version
	relay bool           // the caller is a relay
	reply chan openReply // has room for one
}

type openReply struct {
	id    membership.SubscriberID
	watch *watch
	path  []string // the relays that changes came by, this one first
	err   error
}

func (m openMessage) handle(s *state) {
	id, w, err := s.openWatch(m.name, m.after)
	if err == nil {
		w.relay = m.relay
	}
	m.reply <- openReply{id, w, append([]string{s.config.Name}, s.path...), err}
}

// writtenMessage tells that a watch's line has been written.
type writtenMessage struct {
	id    membership.SubscriberID
	line  *body
	bytes int
}

func (m writtenMessage) handle(s *state) {
	s.counters.count(m.line, m.bytes)
	now := s.now()
	s.subscribers.Sent(now, m.id, m.bytes)
	if wait, pending := s.subscribers.Wait(now, m.id); pending {
		s.scanAt(now + max(wait, scanInterval))
	}
}

// closedMessage tells that a watch's handler has returned.
type closedMessage struct{ id membership.SubscriberID }

func (m closedMessage) handle(s *state) {
	if w := s.watches[m.id]; w != nil {
		s.remove(m.id, w)
	}
}

// callMessage is a plain call: the acknowledgement of version after, and the
// request for what the caller lacks.
type callMessage struct {
	name  string
	after membership.Version
	acked membership.Version // by the fleet below the caller, where it is a relay
	fleet int                // live subscribers below it
	relay bool               // it speaks for a fleet, not for itself
	gzip  bool               // it takes compressed answers
	reply chan callReply     // has room for one
}

type callReply struct {
	line *body
	err  error
}

func (m callMessage) handle(s *state) {
	line, err := s.answer(m.name, m.after)
	if p := s.peers[m.name]; p != nil {
		p.fetches = m.gzip
	}
	if err == nil && m.name != "" {
		m.acknowledge(s)
	}
	m.reply <- callReply{line, err}
}

func (m callMessage) acknowledge(s *state) {
	if m.relay {
		s.acks.Acknowledge(s.now(), m.name, min(m.acked, m.after), m.fleet)
		return
	}
	s.acks.Acknowledge(s.now(), m.name, m.after, 1)
}

// answeredMessage tells that a plain call's answer has been written.
type answeredMessage struct {
	name  string
	line  *body
	bytes int
}

func (m answeredMessage) handle(s *state) {
	s.counters.count(m.line, m.bytes)
	if p := s.peers[m.name]; p != nil {
		p.pace.Spend(s.now(), m.bytes)
	}
}

// statusMessage asks for the status.
type statusMessage struct{ reply chan Status }

func (m statusMessage) handle(s *state) { m.reply <- s.status() }

// changeMessage brings a change from upstream.
type changeMessage struct {
	change   membership.Change
	upstream string
	reply    chan changeReply // has room for one
}

type changeReply struct {
	outcome membership.Outcome
	version membership.Version // of the state, afterwards
	err     error
}

func (m changeMessage) handle(s *state) { m.reply <- s.apply(m.change, m.upstream) }

// apply takes in a change from upstream.
func (s *state) apply(change membership.Change, upstream string) changeReply {
	before := s.store.Version()
	outcome, err := s.store.Apply(change)
	switch outcome {
	case membership.Applied:
		s.ready = true
		s.changed(s.now(), s.urgentSince(before))
	case membership.Rejected:
		if !errors.Is(err, membership.ErrGap) { // a gap is asked for again
			s.refuse(upstream, change.Version, err)
		}
	}
	return changeReply{outcome, s.store.Version(), err}
}

// beginMessage brings the first snapshot, and with it what had changed in the
// versions before, where upstream tells that.
type beginMessage struct {
	snapshot membership.Change
	backfill membership.Change // its Base 0: there is none
	upstream string
	reply    chan changeReply // has room for one
}

func (m beginMessage) handle(s *state) {
	reply := s.apply(m.snapshot, m.upstream)
	if reply.outcome == membership.Applied && m.backfill.Base > 0 && s.store.Backfill(m.backfill) {
		s.changed(s.now(), false) // nobody subscribes yet
		reply.version = s.store.Version()
	}
	m.reply <- reply
}

// urgentSince tells whether an urgent record has changed since a version.
func (s *state) urgentSince(before membership.Version) bool {
	if s.store.NeedsSnapshot(before) {
		return true // what changed is not known
	}
	change, _ := s.store.Since(before)
	return change.Urgent()
}

// refusedMessage tells of a line that could not be read, or whose field is
// wrong. version is 0 where not even that could be read.
type refusedMessage struct {
	version  membership.Version
	whole    bool
	upstream string
	reason   error
}

func (m refusedMessage) handle(s *state) {
	s.refuse(m.upstream, m.version, m.reason)
	if s.ready && !m.whole && m.version > s.store.Version() {
		s.store.Reject(m.version)
		s.changed(s.now(), false)
	}
}

// positionMessage asks where this relay and the fleet below it stand.
type positionMessage struct{ reply chan position }

type position struct {
	version membership.Version // in force
	resume  membership.Version // to ask upstream after
	acked   membership.Version // by all live subscribers
	fleet   int
}

func (m positionMessage) handle(s *state) {
	summary := s.acks.Summary(s.now())
	m.reply <- position{s.store.Version(), s.store.ResumeVersion(), summary.Lowest, summary.Subscribers}
}

// upstreamMessage tells that an upstream brings changes, by way of the relays
// named, the nearest first. An empty address: none does.
type upstreamMessage struct {
	address string
	path    []string
}

func (m upstreamMessage) handle(s *state) {
	if m.address != "" && !slices.Equal(m.path, s.path) {
		s.path = m.path
		s.endRelayWatches()
	}
	if m.address == s.upstream {
		return
	}
	if m.address == "" {
		s.upstreamLost = s.now()
	}
	s.upstream, s.upstreamSince = m.address, time.Now()
}

// endMessage has the watches end in order and further calls refused.
type endMessage struct{}

func (endMessage) handle(s *state) {
	s.ending = true
	s.endWatches()
}
