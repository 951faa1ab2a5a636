package discovery

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/membership"
)

// FollowConfig configures how a dispatcher follows membership servers.
type FollowConfig struct {
	Name                string              // the subscriber's name, which must stay the same across restarts
	Zone                string              // the dispatcher's zone, whose servers are preferred
	Servers             []membership.Server // relays and origins, at least one
	AcknowledgeInterval time.Duration       // least time between acknowledgements; 0 stands for one second
	Seed                uint64              // seed of the jitter
}

// The next attempt is started once an attempt has had no connection for connectStagger, or no response for
// responseStagger. The earlier attempt continues in parallel, and the first one to catch up is used. connectStagger
// covers a round trip between regions, responseStagger a server that is busy.
const (
	connectStagger  = 150 * time.Millisecond
	responseStagger = 500 * time.Millisecond
	receiveStagger  = 3 * time.Second // how long a response that has begun to arrive delays the next attempt
	maxReceiving    = 2               // while this many responses are arriving, no further attempt is started
)

// followerRandomStream is the PCG stream of the jitter, which makes it independent of other streams with the same seed.
const followerRandomStream = 1

// membershipFollower follows membership servers: it chooses the one in use, replaces one that failed, moves back to a
// preferred one, and applies their changes. A server in use is kept until another has caught up with the version in
// force.
type membershipFollower struct {
	registry *Registry
	config   FollowConfig
	random   *rand.Rand

	inForce         stateInForce
	rejectedVersion membership.Version // newest version that was rejected

	selector     *membership.Selector
	active       *subscription      // the one in use; nil if there is none
	candidates   []*subscription    // attempts in progress, one of which may become active
	attemptTimer eventloop.Deadline // starts the next attempt at a server
	lastServer   string             // address of the server used last
	outageLogged bool               // the present outage has been logged

	acknowledgement acknowledgementState
}

// Follow makes the registry follow membership servers in place of the discovery watch. It must be called before
// LoadInitial. A later call replaces the servers and the zone; the server in use stays until a better one has caught up.
func (r *Registry) Follow(config FollowConfig) {
	if config.AcknowledgeInterval <= 0 {
		config.AcknowledgeInterval = defaultAcknowledgeInterval
	}
	if existing := r.follower; existing != nil {
		existing.config = config
		existing.selector.Reset(config.Zone, config.Servers)
		existing.connect()
		return
	}
	follower := &membershipFollower{
		registry: r,
		config:   config,
		selector: membership.NewSelector(config.Name, config.Zone, config.Servers, config.Seed),
		random:   rand.New(rand.NewPCG(config.Seed, followerRandomStream)),
		inForce:  stateInForce{settings: map[string]json.RawMessage{}},
	}
	follower.attemptTimer.Fire = follower.connect
	follower.acknowledgement.timer.Fire = follower.acknowledge
	r.follower = follower
}

// start begins to follow from the initial list. Polls continue from the version of the list only if it contains the
// settings of that version, as the list of a predecessor does. Otherwise a snapshot is requested.
func (f *membershipFollower) start(list *endpointList) {
	f.inForce.version = membership.Version(list.Version)
	if list.Settings != nil {
		if err := f.applySettings(list.Settings); err != nil {
			f.registry.dispatcher.Log("membership: initial endpoint list: " + err.Error())
		} else {
			f.inForce.rememberSettings(list.Settings)
			f.inForce.completeThrough = f.inForce.version
			f.inForce.resumable = true
		}
	}
	f.connect()
}

// connect starts an attempt at a server, if one is due, and schedules its next call.
func (f *membershipFollower) connect() {
	loop := f.registry.dispatcher.Loop
	now := loop.Now()
	var wait time.Duration
	if f.active != nil {
		wait = f.attemptPreferred(now)
	} else {
		wait = f.attemptNext(now)
	}
	if wait > 0 {
		loop.Set(&f.attemptTimer, now+wait)
	} else {
		loop.Clear(&f.attemptTimer)
	}
}

// attemptNext starts an attempt at the next server, unless an attempt in progress is still exclusive (see
// subscription.exclusiveUntil) or maxReceiving responses are arriving. It returns how long to wait before the next call.
func (f *membershipFollower) attemptNext(now time.Duration) time.Duration {
	var exclusive time.Duration
	receiving := 0
	for _, candidate := range f.candidates {
		exclusive = max(exclusive, candidate.exclusiveUntil-now)
		if candidate.receiving() {
			receiving++
		}
	}
	if exclusive > 0 {
		return exclusive
	}
	if receiving >= maxReceiving {
		return responseStagger
	}
	server, wait := f.selector.Next(now)
	if wait > 0 {
		return wait
	}
	f.beginAttempt(server, now)
	return connectStagger
}

// attemptPreferred starts an attempt at a server that is preferred to the one in use. It returns how long to wait
// before the next call, or 0 if no server is preferred.
func (f *membershipFollower) attemptPreferred(now time.Duration) time.Duration {
	if len(f.candidates) > 0 {
		return responseStagger
	}
	server, wait, ok := f.selector.NextPreferred(now, f.active.server.Address)
	if !ok || wait > 0 {
		return wait
	}
	f.beginAttempt(server, now)
	return responseStagger
}

// beginAttempt subscribes to a server as a candidate.
func (f *membershipFollower) beginAttempt(server membership.Server, now time.Duration) {
	candidate := &subscription{follower: f, server: server, exclusiveUntil: now + connectStagger}
	f.candidates = append(f.candidates, candidate)
	candidate.start()
}

// activate puts a subscription that has caught up in use, and closes the previous one and all other candidates.
func (f *membershipFollower) activate(chosen *subscription) {
	now := f.registry.dispatcher.Loop.Now()
	previous := f.active
	f.active = chosen
	for _, candidate := range f.candidates {
		if candidate != chosen {
			f.abandon(candidate)
		}
	}
	f.candidates = nil
	if previous != nil {
		f.abandon(previous)
	}
	f.selector.MarkActive(now, chosen.server.Address)
	f.recordServer(chosen.server)
	f.acknowledgement.restart(now, chosen.poll.after)
	f.scheduleAcknowledgement()
	f.connect()
}

// abandon closes a subscription in favour of another, without marking its server as failed.
func (f *membershipFollower) abandon(abandoned *subscription) {
	f.selector.MarkAbandoned(abandoned.server.Address)
	abandoned.close()
}

// recordServer counts and logs a change of the server in use.
func (f *membershipFollower) recordServer(server membership.Server) {
	moved := f.lastServer != server.Address
	if moved && f.lastServer != "" {
		f.registry.stats.Failovers++
	}
	if moved || f.outageLogged {
		f.registry.dispatcher.Log("membership: following " + server.Address + " in zone " + server.Zone)
	}
	f.lastServer = server.Address
	f.outageLogged = false
}

// subscriptionFailed closes a subscription that has failed, and continues with another server.
func (f *membershipFollower) subscriptionFailed(failed *subscription, cause error) {
	loop := f.registry.dispatcher.Loop
	failure := failed.classifyFailure(cause)
	failed.close()
	f.selector.MarkFailed(loop.Now(), failed.server.Address)
	if failed == f.active {
		f.active = nil
		loop.Clear(&f.acknowledgement.timer)
		f.outageLogged = false
	}
	f.candidates = slices.DeleteFunc(f.candidates, func(candidate *subscription) bool { return candidate == failed })
	if f.active == nil && !f.outageLogged {
		f.outageLogged = true // one log line for an outage, not one for each attempt
		f.registry.dispatcher.Log("membership: " + failed.server.Address + ": " + cause.Error())
	}
	if f.active == nil {
		f.registry.freshness.tracker.Failed(loop.Now(), failure)
		f.registry.refreshAndSchedule()
	}
	f.connect()
}
