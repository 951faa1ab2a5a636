package discovery

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/membership"
)

// This file owns which server of versioned changes is followed: attempts, the
// one in use, its replacement and acknowledgements. It must never give up a
// server in use for one that has not caught up with the version in force.

// FollowConfig is how a dispatcher follows the servers of versioned changes.
type FollowConfig struct {
	Name        string              // the subscriber's name, the same after a restart
	Zone        string              // whose servers come first
	Servers     []membership.Server // relays and origins, at least one
	Acknowledge time.Duration       // least time between acknowledgements; 0: a second
	Seed        uint64              // of the jitter
}

// Stats counts what the control connections have carried since the start.
type Stats struct {
	BytesRead    int64 `json:"bytes_read"`    // from servers of changes, or from discovery
	BytesWritten int64 `json:"bytes_written"` // to them
	Applied      int64 `json:"applied"`       // changes put in force
	Refused      int64 `json:"refused"`       // changes refused whole
	Snapshots    int64 `json:"snapshots"`     // complete states among the applied ones
	Deltas       int64 `json:"deltas"`        // and those that tell what has changed
	Acknowledged int64 `json:"acknowledged"`  // calls that acknowledged a version
	Failovers    int64 `json:"failovers"`     // moves from one server to another

	Version membership.Version `json:"version"` // in force
	Server  string             `json:"server"`  // that is followed; empty: none at present
}

const (
	// An attempt that has no connection by then, or no answer, does not hold up the
	// next one, and goes on beside it: the first to catch up wins. The first time
	// covers a round trip between regions, the second a server that is busy.
	connectStagger = 150 * time.Millisecond
	answerStagger  = 500 * time.Millisecond
	receiveStagger = 3 * time.Second // for an answer that has begun
	mostReceiving  = 2               // answers that come in at a time

	defaultAcknowledge = time.Second
	idleAcknowledgeInterval    = 30 * time.Second // with nothing new, so that the subscriber counts as live
	snapshotRepairInterval     = 5 * time.Minute  // between calls for a snapshot in place of one that was refused
	mostAckFailures    = 3                // in a row; then the server counts as failed
)

// follower follows versioned changes.
type follower struct {
	registry      *Registry
	config   FollowConfig
	selector *membership.Selector
	random      *rand.Rand

	version  membership.Version // in force
	completeThrough   membership.Version // up to it nothing is missing; below version after a refused change
	resumable    bool               // it came from a server, settings and all, and not from a mere list
	rejectedVersion  membership.Version // the newest that was refused
	settings map[string]json.RawMessage

	active *subscription      // in use; nil: none
	candidates  []*subscription    // that may come into use
	lastServer  string             // the server in use last
	outageLogged    bool               // the present outage has had its line in the log
	attemptTimer eventloop.Deadline // when the next attempt may begin

	acknowledgedVersion membership.Version // that the server in use was told last
	acknowledgedAt     time.Duration      // when it was told
	acknowledgementDue   bool               // the next call has its time because of a change
	repairRequestedAt   time.Duration      // when what may be missing was asked for last
	acknowledgementTimer          eventloop.Deadline
}

// Follow makes the dispatcher follow versioned changes in place of the discovery
// watch. It is called before Known, on the loop's goroutine. Called again, it
// takes over other servers and another zone: the one in use stays until a better
// one has caught up.
func (s *Registry) Follow(config FollowConfig) {
	if config.Acknowledge <= 0 {
		config.Acknowledge = defaultAcknowledge
	}
	if f := s.follower; f != nil {
		f.config = config
		f.selector.Reset(config.Zone, config.Servers)
		f.connect()
		return
	}
	f := &follower{registry: s, config: config, settings: map[string]json.RawMessage{},
		selector: membership.NewSelector(config.Name, config.Zone, config.Servers, config.Seed),
		random:      rand.New(rand.NewPCG(config.Seed, 1))}
	f.attemptTimer.Fire = f.connect
	f.acknowledgementTimer.Fire = f.acknowledge
	s.follower = f
}

// Stats tells what the control connections have carried: those to servers of
// versioned changes, or the discovery watch, of which only the bytes are counted.
func (s *Registry) Stats() Stats {
	stats := s.stats
	f := s.follower
	switch {
	case f == nil:
		if stats.Version = membership.Version(s.watch.version); s.watch.established {
			stats.Server = s.watch.address
		}
		return stats
	case f.active != nil:
		stats.Server = f.active.server.Address
	}
	stats.Version = f.version
	return stats
}

// start begins to follow, from a list known at the start. Only one that tells the
// settings that go with its version, as a predecessor's does, is resumed from.
func (f *follower) start(list *endpointList) {
	f.version = membership.Version(list.Version)
	if list.Settings != nil {
		if err := f.reconfigure(list.Settings); err != nil {
			f.registry.dispatcher.Log("membership: the list known at the start: " + err.Error())
		} else {
			f.rememberSettings(list.Settings)
			f.completeThrough, f.resumable = f.version, true
		}
	}
	f.connect()
}

// resumeVersion is the version from which a server is asked to go on; 0: all of it.
func (f *follower) resumeVersion() membership.Version {
	if !f.resumable {
		return 0
	}
	return f.version
}

// connect begins an attempt, if one is due, and sets the time of the next look.
func (f *follower) connect() {
	now := f.registry.dispatcher.Loop.Now()
	var wait time.Duration
	if f.active != nil {
		wait = f.attemptPreferred(now)
	} else {
		wait = f.attemptNext(now)
	}
	if wait > 0 {
		f.registry.dispatcher.Loop.Set(&f.attemptTimer, now+wait)
	} else {
		f.registry.dispatcher.Loop.Clear(&f.attemptTimer)
	}
}

// attemptNext begins an attempt at the next server, unless one is promising.
func (f *follower) attemptNext(now time.Duration) (wait time.Duration) {
	receiving := 0
	for _, t := range f.candidates {
		wait = max(wait, t.promise-now)
		if t.receiving() {
			receiving++
		}
	}
	if wait > 0 {
		return wait
	}
	if receiving >= mostReceiving {
		return answerStagger
	}
	server, wait := f.selector.Next(now)
	if wait > 0 {
		return wait
	}
	f.beginAttempt(server, now)
	return connectStagger
}

// attemptPreferred begins an attempt at a server that may replace the one in use.
func (f *follower) attemptPreferred(now time.Duration) (wait time.Duration) {
	if len(f.candidates) > 0 {
		return answerStagger
	}
	server, wait, ok := f.selector.Better(now, f.active.server.Address)
	if !ok || wait > 0 {
		return wait
	}
	f.beginAttempt(server, now)
	return answerStagger
}

func (f *follower) beginAttempt(server membership.Server, now time.Duration) {
	t := &subscription{follower: f, server: server, promise: now + connectStagger}
	f.candidates = append(f.candidates, t)
	t.start()
}

// activate puts a server in activate that has caught up.
func (f *follower) activate(t *subscription) {
	s := f.registry
	now := s.dispatcher.Loop.Now()
	former := f.active
	f.active = t
	for _, other := range f.candidates {
		if other != t {
			f.selector.Abandoned(other.server.Address)
			other.close()
		}
	}
	f.candidates = nil
	if former != nil {
		f.selector.Abandoned(former.server.Address)
		former.close()
	}
	f.selector.Working(now, t.server.Address)
	if f.lastServer != "" && f.lastServer != t.server.Address {
		s.stats.Failovers++
	}
	if f.lastServer != t.server.Address || f.outageLogged {
		s.dispatcher.Log("membership: follows " + t.server.Address + " in zone " + t.server.Zone)
	}
	f.lastServer, f.outageLogged = t.server.Address, false
	f.acknowledgedVersion, f.acknowledgedAt, f.repairRequestedAt, f.acknowledgementDue = t.asked, now, now, false
	f.scheduleAcknowledgement()
	f.connect()
}

// subscriptionFailed is told that a subscription has ended, and goes on with another one.
func (f *follower) subscriptionFailed(t *subscription, why string) {
	loop := f.registry.dispatcher.Loop
	t.close()
	f.selector.Failed(loop.Now(), t.server.Address)
	if t == f.active {
		f.active = nil
		loop.Clear(&f.acknowledgementTimer)
		f.outageLogged = false
	}
	for i, other := range f.candidates {
		if other == t {
			f.candidates = append(f.candidates[:i:i], f.candidates[i+1:]...)
			break
		}
	}
	if f.active == nil && !f.outageLogged {
		f.outageLogged = true // an outage has one line in the log, not one for each attempt
		f.registry.dispatcher.Log("membership: " + t.server.Address + ": " + why)
	}
	f.connect()
}

// ---- Acknowledgements.

// scheduleAcknowledgement sets the time of the next call to the server in use,
// which tells it the version in force: after a change not at once, but at a
// random moment, lest all subscribers of a server call it together.
func (f *follower) scheduleAcknowledgement() {
	t := f.active
	if t == nil || t.calling || t.ignoresVersion || f.acknowledgementDue {
		return
	}
	loop := f.registry.dispatcher.Loop
	now := loop.Now()
	if f.version == f.acknowledgedVersion && t.failed == 0 || !f.resumable {
		loop.Set(&f.acknowledgementTimer, max(f.acknowledgedAt+idleAcknowledgeInterval, now))
		return
	}
	f.acknowledgementDue = true
	spread := time.Duration(f.random.Int64N(int64(f.config.Acknowledge)))
	loop.Set(&f.acknowledgementTimer, max(f.acknowledgedAt+f.config.Acknowledge, now+spread))
}

// acknowledge calls the server in use. What the answer holds that the watch has
// missed is applied. Now and then it asks for what a refused change left out.
func (f *follower) acknowledge() {
	f.acknowledgementDue = false
	t := f.active
	if t == nil || t.calling || t.ignoresVersion {
		return
	}
	now := f.registry.dispatcher.Loop.Now()
	f.acknowledgedAt = now
	after, every := f.version, idleAcknowledgeInterval
	if f.completeThrough == 0 {
		every = snapshotRepairInterval
	}
	if f.completeThrough < f.version && now-f.repairRequestedAt >= every {
		f.repairRequestedAt, after = now, f.completeThrough
	}
	t.call(after, t.acknowledged)
}
