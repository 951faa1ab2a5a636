package relay

import (
	"log/slog"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

const (
	scanInterval  = 5 * time.Millisecond   // minimum between two scans for due lines, unless a change arrives
	sweepInterval = 100 * time.Millisecond // between checks of acknowledgements, expiries and the upstream
)

// state is the state of a relay. Only the goroutine that executes run accesses it;
// other goroutines send messages to that one, which blocks only while it waits for
// a message or its timer.
type state struct {
	config   Config
	log      *slog.Logger
	now      func() time.Duration // since the start
	messages chan message
	stopped  chan struct{} // closed when run has returned
	counters *counters

	// What was received from upstream.
	store       *membership.Store
	hasSnapshot bool          // a snapshot has been applied
	changedAt   time.Duration // when the store's version last changed
	upstream    upstreamState
	rejections  rejectionList

	// What is sent to subscribers, and what they have acknowledged.
	changes     *changeCache
	subscribers *membership.Subscribers
	watches     map[membership.SubscriberID]*watch
	lastID      membership.SubscriberID // of the watch that was opened last
	peers       map[string]*peer
	acks        *membership.AckTracker
	latency     *ackLatency
	closing     bool // further calls are rejected

	nextScan  time.Duration // time of the next scan for due lines; 0 if none is scheduled
	nextSweep time.Duration // time of the next sweep
}

// upstreamState is the upstream that delivers changes.
type upstreamState struct {
	address   string        // empty if none does
	since     time.Time     // when address last changed
	lostAt    time.Duration // when it last became empty
	relayPath []string      // the relays between this one and the origin, the nearest first
}

// newState returns the state of a relay that has no snapshot yet.
func newState(config Config, log *slog.Logger) *state {
	start := time.Now()
	store := membership.NewStore(config.LogChanges)
	counted := &counters{}
	limits := membership.BatchLimits{
		Interval:       milliseconds(config.BatchMs),
		UrgentInterval: milliseconds(config.UrgentBatchMs),
	}
	return &state{
		config:      config,
		log:         log,
		now:         func() time.Duration { return time.Since(start) },
		messages:    make(chan message),
		stopped:     make(chan struct{}),
		counters:    counted,
		store:       store,
		changes:     newChangeCache(store, counted),
		acks:        membership.NewAckTracker(config.ackExpiry()),
		latency:     newAckLatency(),
		subscribers: membership.NewSubscribers(limits),
		watches:     map[membership.SubscriberID]*watch{},
		peers:       map[string]*peer{},
	}
}

// run handles messages and timers until stop is closed.
func (s *state) run(stop <-chan struct{}) {
	defer close(s.stopped)
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			s.endWatches()
			return
		case received := <-s.messages:
			received.handle(s)
		case <-timer.C:
		}
		s.runDue()
		timer.Reset(s.untilNextTimer())
	}
}

// runDue runs the scan and the sweep if they are due.
func (s *state) runDue() {
	now := s.now()
	if s.nextScan != 0 && now >= s.nextScan {
		s.sendDue(now)
	}
	if now >= s.nextSweep {
		s.sweep(now)
		s.nextSweep = now + sweepInterval
	}
}

// untilNextTimer returns the time until the next scan or sweep.
func (s *state) untilNextTimer() time.Duration {
	next := s.nextSweep
	if s.nextScan != 0 {
		next = min(next, s.nextScan)
	}
	return max(next-s.now(), 0)
}

// scanAt schedules a scan for due lines, unless an earlier one is scheduled.
func (s *state) scanAt(at time.Duration) {
	if s.nextScan == 0 || at < s.nextScan {
		s.nextScan = at
	}
}

// onStoreChanged updates everything that depends on the store's version. urgent
// means that the new version contains an urgent change.
func (s *state) onStoreChanged(now time.Duration, urgent bool) {
	s.changedAt = now
	s.changes.dropDeltas()
	s.subscribers.Changed(s.store.Version(), urgent)
	s.latency.arrived(now, s.store.Version())
	s.scanAt(now)
}

// sweep measures the latency of acknowledgements, ends the watches of a relay that
// is stale, and expires old cache entries and peers.
func (s *state) sweep(now time.Duration) {
	summary := s.acks.Summary(now)
	if summary.Subscribers == 0 {
		s.latency.reset()
	} else {
		s.latency.acknowledged(now, summary.Lowest)
	}
	if len(s.watches) > 0 && s.isStale(now) {
		s.log.Warn("no upstream: ending watches, so that subscribers fail over", "watches", len(s.watches))
		s.endWatches()
	}
	s.changes.expire(now)
	s.expirePeers(now)
}

// isStale reports whether the relay has been without an upstream for so long
// that its subscribers should fail over to another server.
func (s *state) isStale(now time.Duration) bool {
	return s.upstream.address == "" && now-s.upstream.lostAt >= milliseconds(s.config.StaleAfterMs)
}

// unavailableError is the reason why a call cannot be answered now. Its text is
// sent with status 503.
type unavailableError string

func (e unavailableError) Error() string { return string(e) }

const (
	errNoSnapshot         = unavailableError("no snapshot yet")
	errOlderVersion       = unavailableError("this relay has an older version")
	errNoUpstream         = unavailableError("no upstream")
	errTooManySubscribers = unavailableError("too many subscribers")
	errClosing            = unavailableError("this relay ends")
)

// checkAvailable returns the reason why a call that continues from version after
// cannot be answered, or nil.
func (s *state) checkAvailable(after membership.Version) error {
	switch {
	case s.closing:
		return errClosing
	case !s.hasSnapshot:
		return errNoSnapshot
	case after > s.store.Version():
		return errOlderVersion
	}
	return nil
}

// answerCall returns the response to a single call.
func (s *state) answerCall(name string, after membership.Version) (*encodedChange, error) {
	now := s.now()
	if err := s.checkAvailable(after); err != nil {
		return nil, err
	}
	caller := s.findOrAddPeer(now, name)
	if caller == nil {
		return nil, errTooManySubscribers
	}
	isHeldBack := name != "" && after > 0 && s.isHeldBack(now, caller, after)
	caller.acked = max(caller.acked, after)
	if isHeldBack {
		empty := membership.Change{Version: after}
		return newEncodedChange(empty, s.counters), nil
	}
	change := s.changes.since(now, after)
	if change == nil {
		return nil, errOlderVersion
	}
	return change, nil
}
