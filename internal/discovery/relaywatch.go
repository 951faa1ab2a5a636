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
	idleAcknowledge    = 30 * time.Second // with nothing new, so that the subscriber counts as live
	repairSnapshot     = 5 * time.Minute  // between calls for a snapshot in place of one that was refused
	mostAckFailures    = 3                // in a row; then the server counts as failed
)

// follower follows versioned changes.
type follower struct {
	set      *Registry
	config   FollowConfig
	selector *membership.Selector
	rng      *rand.Rand

	version  membership.Version // in force
	resume   membership.Version // up to it nothing is missing; below version after a refused change
	begun    bool               // it came from a server, settings and all, and not from a mere list
	refused  membership.Version // the newest that was refused
	settings map[string]json.RawMessage

	current *subscription      // in use; nil: none
	trials  []*subscription    // that may come into use
	former  string             // the server in use last
	mute    bool               // the present outage has had its line in the log
	attempt eventloop.Deadline // when the next attempt may begin

	acknowledged membership.Version // that the server in use was told last
	calledAt     time.Duration      // when it was told
	ackPending   bool               // the next call has its time because of a change
	repairedAt   time.Duration      // when what may be missing was asked for last
	ack          eventloop.Deadline
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
		f.step()
		return
	}
	f := &follower{set: s, config: config, settings: map[string]json.RawMessage{},
		selector: membership.NewSelector(config.Name, config.Zone, config.Servers, config.Seed),
		rng:      rand.New(rand.NewPCG(config.Seed, 1))}
	f.attempt.Fire = f.step
	f.ack.Fire = f.acknowledge
	s.follower = f
}

// Stats tells what the control connections have carried: those to servers of
// versioned changes, or the discovery watch, of which only the bytes are counted.
func (s *Registry) Stats() Stats {
	stats := s.stats
	f := s.follower
	switch {
	case f == nil:
		if stats.Version = membership.Version(s.watch.seq); s.watch.live {
			stats.Server = s.watch.addr
		}
		return stats
	case f.current != nil:
		stats.Server = f.current.server.Address
	}
	stats.Version = f.version
	return stats
}

// start begins to follow, from a list known at the start. Only one that tells the
// settings that go with its version, as a predecessor's does, is resumed from.
func (f *follower) start(list *endpointList) {
	f.version = membership.Version(list.Seq)
	if list.Settings != nil {
		if err := f.reconfigure(list.Settings); err != nil {
			f.set.dispatcher.Log("membership: the list known at the start: " + err.Error())
		} else {
			f.keep(list.Settings)
			f.resume, f.begun = f.version, true
		}
	}
	f.step()
}

// after is the version from which a server is asked to go on; 0: all of it.
func (f *follower) after() membership.Version {
	if !f.begun {
		return 0
	}
	return f.version
}

// step begins an attempt, if one is due, and sets the time of the next look.
func (f *follower) step() {
	now := f.set.dispatcher.Loop.Now()
	var wait time.Duration
	if f.current != nil {
		wait = f.tryBetter(now)
	} else {
		wait = f.tryNext(now)
	}
	if wait > 0 {
		f.set.dispatcher.Loop.Set(&f.attempt, now+wait)
	} else {
		f.set.dispatcher.Loop.Clear(&f.attempt)
	}
}

// tryNext begins an attempt at the next server, unless one is promising.
func (f *follower) tryNext(now time.Duration) (wait time.Duration) {
	receiving := 0
	for _, t := range f.trials {
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
	f.try(server, now)
	return connectStagger
}

// tryBetter begins an attempt at a server that may replace the one in use.
func (f *follower) tryBetter(now time.Duration) (wait time.Duration) {
	if len(f.trials) > 0 {
		return answerStagger
	}
	server, wait, ok := f.selector.Better(now, f.current.server.Address)
	if !ok || wait > 0 {
		return wait
	}
	f.try(server, now)
	return answerStagger
}

func (f *follower) try(server membership.Server, now time.Duration) {
	t := &subscription{follower: f, server: server, promise: now + connectStagger}
	f.trials = append(f.trials, t)
	t.start()
}

// use puts a server in use that has caught up.
func (f *follower) use(t *subscription) {
	s := f.set
	now := s.dispatcher.Loop.Now()
	former := f.current
	f.current = t
	for _, other := range f.trials {
		if other != t {
			f.selector.Abandoned(other.server.Address)
			other.close()
		}
	}
	f.trials = nil
	if former != nil {
		f.selector.Abandoned(former.server.Address)
		former.close()
	}
	f.selector.Working(now, t.server.Address)
	if f.former != "" && f.former != t.server.Address {
		s.stats.Failovers++
	}
	if f.former != t.server.Address || f.mute {
		s.dispatcher.Log("membership: follows " + t.server.Address + " in zone " + t.server.Zone)
	}
	f.former, f.mute = t.server.Address, false
	f.acknowledged, f.calledAt, f.repairedAt, f.ackPending = t.asked, now, now, false
	f.scheduleAcknowledgement()
	f.step()
}

// failed is told that a subscription has ended, and goes on with another one.
func (f *follower) failed(t *subscription, why string) {
	loop := f.set.dispatcher.Loop
	t.close()
	f.selector.Failed(loop.Now(), t.server.Address)
	if t == f.current {
		f.current = nil
		loop.Clear(&f.ack)
		f.mute = false
	}
	for i, other := range f.trials {
		if other == t {
			f.trials = append(f.trials[:i:i], f.trials[i+1:]...)
			break
		}
	}
	if f.current == nil && !f.mute {
		f.mute = true // an outage has one line in the log, not one for each attempt
		f.set.dispatcher.Log("membership: " + t.server.Address + ": " + why)
	}
	f.step()
}

// ---- Acknowledgements.

// scheduleAcknowledgement sets the time of the next call to the server in use,
// which tells it the version in force: after a change not at once, but at a
// random moment, lest all subscribers of a server call it together.
func (f *follower) scheduleAcknowledgement() {
	t := f.current
	if t == nil || t.calling || t.ignoresAfter || f.ackPending {
		return
	}
	loop := f.set.dispatcher.Loop
	now := loop.Now()
	if f.version == f.acknowledged && t.failed == 0 || !f.begun {
		loop.Set(&f.ack, max(f.calledAt+idleAcknowledge, now))
		return
	}
	f.ackPending = true
	spread := time.Duration(f.rng.Int64N(int64(f.config.Acknowledge)))
	loop.Set(&f.ack, max(f.calledAt+f.config.Acknowledge, now+spread))
}

// acknowledge calls the server in use. What the answer holds that the watch has
// missed is applied. Now and then it asks for what a refused change left out.
func (f *follower) acknowledge() {
	f.ackPending = false
	t := f.current
	if t == nil || t.calling || t.ignoresAfter {
		return
	}
	now := f.set.dispatcher.Loop.Now()
	f.calledAt = now
	after, every := f.version, idleAcknowledge
	if f.resume == 0 {
		every = repairSnapshot
	}
	if f.resume < f.version && now-f.repairedAt >= every {
		f.repairedAt, after = now, f.resume
	}
	t.call(after, t.acknowledged)
}
