package relay

import (
	"errors"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// message is a request to the goroutine that owns the state, which calls handle.
// Reply channels have a buffer of one, so that handle never blocks.
type message interface{ handle(*state) }

// send passes a message to the state's goroutine. It returns false if that has
// ended.
func (s *state) send(m message) bool {
	select {
	case s.messages <- m:
		return true
	case <-s.stopped:
		return false
	}
}

// openWatchMessage requests that a watch is opened.
type openWatchMessage struct {
	name    string
	after   membership.Version
	isRelay bool // the caller is a relay
	reply   chan openWatchReply
}

// openWatchReply contains the watch that was opened, or the reason why it was not.
type openWatchReply struct {
	id        membership.SubscriberID
	watch     *watch
	relayPath []string // the relays that changes pass through, this one first
	err       error
}

func (m openWatchMessage) handle(s *state) {
	id, opened, err := s.openWatch(m.name, m.after)
	if err == nil {
		opened.isRelay = m.isRelay
	}
	path := append([]string{s.config.Name}, s.upstream.relayPath...)
	m.reply <- openWatchReply{id, opened, path, err}
}

// lineWrittenMessage reports that a line of a watch has been written.
type lineWrittenMessage struct {
	id     membership.SubscriberID
	change *encodedChange
	bytes  int
}

func (m lineWrittenMessage) handle(s *state) {
	s.counters.recordSent(m.change, m.bytes)
	now := s.now()
	s.subscribers.Sent(now, m.id, m.bytes)
	wait, pending := s.subscribers.Wait(now, m.id)
	if pending {
		s.scanAt(now + max(wait, scanInterval))
	}
}

// watchClosedMessage reports that a watch's handler has returned.
type watchClosedMessage struct{ id membership.SubscriberID }

func (m watchClosedMessage) handle(s *state) {
	closed := s.watches[m.id]
	if closed != nil {
		s.removeWatch(m.id, closed)
	}
}

// callMessage is a single call. It acknowledges version after, and requests what
// the caller lacks.
type callMessage struct {
	name             string
	after            membership.Version
	isRelay          bool               // the caller acknowledges for the subscribers below it, not for itself
	ackedBelow       membership.Version // acknowledged by all subscribers below a relay
	subscribersBelow int                // number of live subscribers below a relay
	acceptsGzip      bool
	reply            chan callReply
}

// callReply contains the response to a single call, or the reason why there is none.
type callReply struct {
	change *encodedChange
	err    error
}

func (m callMessage) handle(s *state) {
	change, err := s.answerCall(m.name, m.after)
	caller := s.peers[m.name]
	if caller != nil {
		caller.acceptsGzip = m.acceptsGzip
	}
	if err == nil && m.name != "" {
		m.acknowledge(s)
	}
	m.reply <- callReply{change, err}
}

// acknowledge records the versions that a call acknowledges.
func (m callMessage) acknowledge(s *state) {
	if m.isRelay {
		s.acks.Acknowledge(s.now(), m.name, min(m.ackedBelow, m.after), m.subscribersBelow)
		return
	}
	s.acks.Acknowledge(s.now(), m.name, m.after, 1)
}

// callAnsweredMessage reports that the response to a single call has been written.
type callAnsweredMessage struct {
	name   string
	change *encodedChange
	bytes  int
}

func (m callAnsweredMessage) handle(s *state) {
	s.counters.recordSent(m.change, m.bytes)
	caller := s.peers[m.name]
	if caller != nil {
		caller.limiter.Spend(s.now(), m.bytes)
	}
}

// statusMessage requests the status.
type statusMessage struct{ reply chan Status }

func (m statusMessage) handle(s *state) { m.reply <- s.status() }

// applyMessage passes on a change from upstream.
type applyMessage struct {
	change   membership.Change
	upstream string
	reply    chan applyReply
}

// applyReply is the result of applying a change.
type applyReply struct {
	outcome      membership.Outcome
	stateVersion membership.Version // after the change
	err          error
}

func (m applyMessage) handle(s *state) { m.reply <- s.apply(m.change, m.upstream) }

// apply applies a change from upstream.
func (s *state) apply(change membership.Change, upstream string) applyReply {
	before := s.store.Version()
	outcome, err := s.store.Apply(change)
	switch outcome {
	case membership.Applied:
		s.hasSnapshot = true
		s.onStoreChanged(s.now(), s.urgentSince(before))
	case membership.Rejected:
		if !errors.Is(err, membership.ErrGap) { // a gap is filled by the next call
			s.recordRejection(upstream, change.Version, err)
		}
	}
	return applyReply{outcome, s.store.Version(), err}
}

// urgentSince reports whether an urgent record has changed since a version.
func (s *state) urgentSince(before membership.Version) bool {
	if s.store.NeedsSnapshot(before) {
		return true // it is not known what changed
	}
	change, _ := s.store.Since(before)
	return change.Urgent()
}

// bootstrapMessage passes on the first snapshot and, if the upstream has it, a
// delta of what changed in the versions before it.
type bootstrapMessage struct {
	snapshot membership.Change
	backfill membership.Change // its Base is 0 if there is none
	upstream string
	reply    chan applyReply
}

func (m bootstrapMessage) handle(s *state) {
	reply := s.apply(m.snapshot, m.upstream)
	if reply.outcome == membership.Applied && m.backfill.Base > 0 && s.store.Backfill(m.backfill) {
		s.onStoreChanged(s.now(), false) // there are no subscribers yet
		reply.stateVersion = s.store.Version()
	}
	m.reply <- reply
}

// rejectedMessage reports that a line from upstream could not be read or contains
// an invalid field. version is 0 if not even the version could be read.
type rejectedMessage struct {
	version    membership.Version
	isSnapshot bool
	upstream   string
	reason     error
}

func (m rejectedMessage) handle(s *state) {
	s.recordRejection(m.upstream, m.version, m.reason)
	if s.hasSnapshot && !m.isSnapshot && m.version > s.store.Version() {
		s.store.Reject(m.version)
		s.onStoreChanged(s.now(), false)
	}
}

// positionMessage requests the versions of this relay and of the subscribers below it.
type positionMessage struct{ reply chan position }

// position contains the versions that this relay and the subscribers below it have
// reached.
type position struct {
	version          membership.Version // of the state
	resumeVersion    membership.Version // see membership.Store.ResumeVersion
	ackedBelow       membership.Version // acknowledged by all live subscribers
	subscribersBelow int
}

func (m positionMessage) handle(s *state) {
	summary := s.acks.Summary(s.now())
	m.reply <- position{s.store.Version(), s.store.ResumeVersion(), summary.Lowest, summary.Subscribers}
}

// upstreamChangedMessage reports that an upstream delivers changes, which pass
// through the relays in relayPath, the nearest first. An empty address means that
// no upstream delivers changes.
type upstreamChangedMessage struct {
	address   string
	relayPath []string
}

func (m upstreamChangedMessage) handle(s *state) {
	if m.address != "" && !slices.Equal(m.relayPath, s.upstream.relayPath) {
		s.upstream.relayPath = m.relayPath
		s.endRelayWatches()
	}
	if m.address == s.upstream.address {
		return
	}
	if m.address == "" {
		s.upstream.lostAt = s.now()
	}
	s.upstream.address = m.address
	s.upstream.since = time.Now()
}

// closeMessage makes the state end all watches and reject further calls.
type closeMessage struct{}

func (closeMessage) handle(s *state) {
	s.closing = true
	s.endWatches()
}
