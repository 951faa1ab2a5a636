package relay

import (
	"log/slog"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// This file owns the relay's state and the one goroutine that touches it. Others
// talk to it by the messages of messages.go. It must never block on anything but
// its messages and its timer.

const (
	snapshotReuse   = 250 * time.Millisecond // a snapshot is given out that long, with deltas to follow
	scanInterval    = 5 * time.Millisecond   // least time between two looks at what is due, but for a change's arrival
	upkeepInterval  = 100 * time.Millisecond // of acknowledgements, expiry and upstream's absence
	crossingTime    = time.Second            // for which a call and a line of a watch may cross
	maxPeersPerOpen = 4                      // names remembered for each watch that may be open
	mostPushed      = 4 << 10                // bytes of a delta; a longer one is fetched compressed, where the caller can
)

// state is all that a relay knows. Only run's goroutine touches it.
type state struct {
	config   Config
	log      *slog.Logger
	now      func() time.Duration // since the start
	messages chan message
	stopped  chan struct{} // closed when run has ended
	counters *counters

	ready       bool // a snapshot has been applied
	store       *membership.Store
	changedAt   time.Duration
	acks        *membership.AckTracker
	latency     *latency
	subscribers *membership.Subscribers
	watches     map[membership.SubscriberID]*watch
	peers       map[string]*peer
	lastID      membership.SubscriberID

	// Encodings of the newest version, by the version they continue from, and
	// the snapshot, which may be of a version shortly before.
	deltas     map[membership.Version]*body
	snapshot   *body
	snapshotAt time.Duration

	upstream      string // empty: none
	upstreamSince time.Time
	path          []string // the relays between it and the origin, the nearest first
	upstreamLost  time.Duration
	refused       []Refusal // oldest first
	refusedCount  int
	ending        bool

	nextScan   time.Duration // 0: no scan is due
	nextUpkeep time.Duration
}

// peer is a caller with a name: its byte bound outlives its connections.
type peer struct {
	pace    membership.RateLimiter
	heardAt time.Duration
	watch   membership.SubscriberID // its open watch; 0: none
	fetches bool                    // its calls take compressed answers
	endedAt membership.Version      // that it had when its watch was last ended for that
	acked   membership.Version      // the highest that it acknowledged on that watch
}

// watch is an open watch. Its handler reads lines until ended is closed.
type watch struct {
	peer  *peer
	relay bool       // its caller is a relay
	lines chan *body // holds one line at most: the next one is due when it has been written
	ended chan struct{}
}

func newState(config Config, log *slog.Logger) *state {
	start := time.Now()
	limits := membership.BatchLimits{Interval: milliseconds(config.BatchMs), UrgentInterval: milliseconds(config.UrgentBatchMs)}
	return &state{
		config: config, log: log, now: func() time.Duration { return time.Since(start) },
		messages: make(chan message), stopped: make(chan struct{}), counters: &counters{},
		store:   membership.NewStore(config.LogChanges),
		acks:    membership.NewAckTracker(time.Duration(config.AckExpiryS) * time.Second),
		latency: newLatency(), subscribers: membership.NewSubscribers(limits),
		watches: map[membership.SubscriberID]*watch{}, peers: map[string]*peer{},
		deltas: map[membership.Version]*body{},
	}
}

// run handles messages until stop is closed.
func (s *state) run(stop <-chan struct{}) {
	defer close(s.stopped)
	timer := time.NewTimer(upkeepInterval)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			s.endWatches()
			return
		case m := <-s.messages:
			m.handle(s)
		case <-timer.C:
		}
		s.onTime()
		timer.Reset(s.untilNext())
	}
}

// onTime does what is due by now.
func (s *state) onTime() {
	now := s.now()
	if s.nextScan != 0 && now >= s.nextScan {
		s.sendDue(now)
	}
	if now >= s.nextUpkeep {
		s.upkeep(now)
		s.nextUpkeep = now + upkeepInterval
	}
}

func (s *state) untilNext() time.Duration {
	next := s.nextUpkeep
	if s.nextScan != 0 {
		next = min(next, s.nextScan)
	}
	return max(next-s.now(), 0)
}

// scanAt has what is due looked at by then at the latest.
func (s *state) scanAt(at time.Duration) {
	if s.nextScan == 0 || at < s.nextScan {
		s.nextScan = at
	}
}

// sendDue gives each watch that is due its next line.
func (s *state) sendDue(now time.Duration) {
	s.nextScan = 0
	due, next, waiting := s.subscribers.Due(now)
	if waiting {
		s.scanAt(max(next, now+scanInterval))
	}
	for _, id := range due {
		line := s.since(now, s.subscribers.Version(id))
		if line == nil {
			continue // never: a watch is not opened for a newer version than ours
		}
		w := s.watches[id]
		if version := s.subscribers.Version(id); w.fetched(version, line) {
			w.peer.endedAt = version
			close(w.ended)
			s.remove(id, w)
			continue
		}
		s.subscribers.Sending(id, line.version)
		w.lines <- line // there is room: the last one has been written
	}
}

// fetched tells whether a line that goes on from a version is long enough to be
// had by a call instead, whose answer is compressed: the watch ends in order, and
// its caller calls at once. It is not asked to twice at one version. A relay takes
// all lines on its watch.
func (w *watch) fetched(version membership.Version, line *body) bool {
	p := w.peer
	return p.fetches && p.endedAt != version && !w.relay && len(line.line()) > mostPushed
}

// since is the encoding of what a subscriber at version after lacks, or nil
// where after is newer than the state.
func (s *state) since(now time.Duration, after membership.Version) *body {
	if s.store.NeedsSnapshot(after) && s.snapshotServes(now, after) {
		return s.snapshot
	}
	if known := s.deltas[after]; known != nil {
		return known
	}
	change, ok := s.store.Since(after)
	if !ok {
		return nil
	}
	line := newBody(change, s.counters)
	if change.Snapshot {
		s.snapshot, s.snapshotAt = line, now
		return line
	}
	s.deltas[after] = line
	return line
}

// snapshotServes tells whether the last snapshot may be given out again.
func (s *state) snapshotServes(now time.Duration, after membership.Version) bool {
	if s.snapshot == nil || s.snapshot.version <= after && after != 0 {
		return false
	}
	return s.snapshot.version == s.store.Version() || now-s.snapshotAt < snapshotReuse
}

// changed follows a change of the store.
func (s *state) changed(now time.Duration, urgent bool) {
	s.changedAt = now
	clear(s.deltas)
	s.subscribers.Changed(s.store.Version(), urgent)
	s.latency.arrived(now, s.store.Version())
	s.scanAt(now)
}

// upkeep follows acknowledgements and expiries.
func (s *state) upkeep(now time.Duration) {
	summary := s.acks.Summary(now)
	if summary.Subscribers == 0 {
		s.latency.reset()
	} else {
		s.latency.acknowledged(now, summary.Lowest)
	}
	if s.upstream == "" && len(s.watches) > 0 && s.stale(now) {
		s.log.Warn("no upstream: watches end, so that subscribers try another server", "watches", len(s.watches))
		s.endWatches()
	}
	if s.snapshot != nil && s.snapshot.version != s.store.Version() && now-s.snapshotAt > snapshotReuse {
		s.snapshot = nil
	}
	s.forgetPeers(now)
}

// stale tells that changes may have been missed for too long to vouch for the state.
func (s *state) stale(now time.Duration) bool {
	return s.upstream == "" && now-s.upstreamLost >= milliseconds(s.config.StaleAfterMs)
}

// forgetPeers drops the names that were silent until their byte bound is restored.
func (s *state) forgetPeers(now time.Duration) {
	for name, p := range s.peers {
		if p.watch == 0 && now-p.heardAt > time.Duration(s.config.AckExpiryS)*time.Second && p.pace.Wait(now, false) == 0 {
			delete(s.peers, name)
		}
	}
}

// endWatches has all handlers end their answers in order.
func (s *state) endWatches() {
	for id, w := range s.watches {
		close(w.ended)
		s.remove(id, w)
	}
}

// endRelayWatches has the relays below open their watches again, so that they
// learn by which relays changes come, and none follows itself over others.
func (s *state) endRelayWatches() {
	for id, w := range s.watches {
		if w.relay {
			close(w.ended)
			s.remove(id, w)
		}
	}
}

func (s *state) remove(id membership.SubscriberID, w *watch) {
	delete(s.watches, id)
	s.subscribers.Remove(id)
	if w.peer.watch == id {
		w.peer.watch = 0
	}
}

// peer finds or takes in a caller. Callers without a name share nothing. It is
// nil where there are too many names.
func (s *state) peer(now time.Duration, name string) *peer {
	p := s.peers[name]
	switch {
	case p != nil:
	case name != "" && len(s.peers) >= maxPeersPerOpen*s.config.MaxSubscribers:
		return nil
	default:
		p = &peer{pace: membership.NewRateLimiter(s.config.BytesPerS)}
		if name != "" {
			s.peers[name] = p
		}
	}
	p.heardAt = now
	return p
}

// refuse notes a change that was refused whole. The last good state stays.
func (s *state) refuse(upstream string, version membership.Version, reason error) {
	repeated := len(s.refused) > 0 && s.refused[len(s.refused)-1].sameAs(upstream, version, reason)
	if !repeated { // an upstream that repeats itself is counted and logged once
		s.refusedCount++
		s.log.Error("change refused, the last good one stays in force", "upstream", upstream, "version", version, "reason", reason)
		s.refused = append(s.refused, Refusal{Time: time.Now(), Upstream: upstream, Version: version, Reason: reason.Error()})
	}
	if len(s.refused) > keptRefusals {
		s.refused = append(s.refused[:0], s.refused[len(s.refused)-keptRefusals:]...)
	}
}

func (r Refusal) sameAs(upstream string, version membership.Version, reason error) bool {
	return r.Upstream == upstream && r.Version == version && r.Reason == reason.Error()
}

// unavailable is why a call cannot be answered now.
type unavailable string

func (u unavailable) Error() string { return string(u) }

const (
	errNoSnapshot = unavailable("no snapshot yet")
	errNewer      = unavailable("this relay has an older version")
	errNoUpstream = unavailable("no upstream")
	errCrowded    = unavailable("too many subscribers")
	errEnding     = unavailable("this relay ends")
)

func (s *state) accepts(after membership.Version) error {
	switch {
	case s.ending:
		return errEnding
	case !s.ready:
		return errNoSnapshot
	case after > s.store.Version():
		return errNewer
	}
	return nil
}

// openWatch takes in a watch, or tells why not.
func (s *state) openWatch(name string, after membership.Version) (membership.SubscriberID, *watch, error) {
	now := s.now()
	if err := s.accepts(after); err != nil {
		return 0, nil, err
	}
	if s.stale(now) {
		return 0, nil, errNoUpstream
	}
	p := s.peer(now, name)
	if p == nil || len(s.watches) >= s.config.MaxSubscribers {
		return 0, nil, errCrowded
	}
	if old := s.watches[p.watch]; old != nil { // its caller has gone on
		close(old.ended)
		s.remove(p.watch, old)
	}
	s.lastID++
	w := &watch{peer: p, lines: make(chan *body, 1), ended: make(chan struct{})}
	p.watch, p.acked = s.lastID, after
	s.watches[s.lastID] = w
	s.subscribers.Add(s.lastID, after, &p.pace)
	s.scanAt(now)
	return s.lastID, w, nil
}

// answer is what a plain call is answered with.
func (s *state) answer(name string, after membership.Version) (*body, error) {
	now := s.now()
	if err := s.accepts(after); err != nil {
		return nil, err
	}
	p := s.peer(now, name)
	if p == nil {
		return nil, errCrowded
	}
	if name != "" && after > 0 && s.heldBack(now, p, after) {
		p.acked = max(p.acked, after)
		return newBody(membership.Change{Version: after}, s.counters), nil
	}
	p.acked = max(p.acked, after)
	line := s.since(now, after)
	if line == nil {
		return nil, errNewer
	}
	return line, nil
}

// heldBack tells that a caller gets what it lacks later: by its open watch, or
// once its byte bound allows. Its answer is empty then.
func (s *state) heldBack(now time.Duration, p *peer, after membership.Version) bool {
	if p.watch != 0 && s.subscribers.Version(p.watch) >= after && !s.asksAgain(now, p, after) {
		return true
	}
	return p.pace.Wait(now, s.subscribers.Urgent(after)) > 0
}

// asksAgain tells that a caller asks for what its watch has brought before: it
// has refused some of it since. A call that only crossed a line does not.
func (s *state) asksAgain(now time.Duration, p *peer, after membership.Version) bool {
	quiet, upToDate := s.subscribers.UpToDate(now, p.watch)
	return after < p.acked || upToDate && quiet > crossingTime
}
