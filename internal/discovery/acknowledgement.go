package discovery

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/membership"
)

const (
	defaultAcknowledgeInterval = time.Second
	idleAcknowledgeInterval    = 30 * time.Second // with nothing new, so that the subscriber counts as alive
	snapshotRepairInterval     = 5 * time.Minute  // between polls for a complete snapshot after a rejected one

	// maxFailedAcknowledgements in a row mark the server as failed.
	maxFailedAcknowledgements = 3
)

// acknowledgementState is what the server in use has been sent about the version in force.
type acknowledgementState struct {
	version           membership.Version // last sent to the server in use
	sentAt            time.Duration
	scheduled         bool // for a version that was not sent yet
	timer             eventloop.Deadline
	repairRequestedAt time.Duration // when what a rejected change left out was asked for last
}

// sent records that a poll has acknowledged a version.
func (a *acknowledgementState) sent(now time.Duration, version membership.Version) {
	a.version = version
	a.sentAt = now
}

// restart begins with another server in use, whose last poll has acknowledged a version.
func (a *acknowledgementState) restart(now time.Duration, version membership.Version) {
	a.sent(now, version)
	a.scheduled = false
	a.repairRequestedAt = now
}

// mayAcknowledge reports whether there is a server in use that can be sent an acknowledgement now.
func (f *membershipFollower) mayAcknowledge() bool {
	active := f.active
	return active != nil && !active.poll.inProgress && !active.ignoresVersion
}

// scheduleAcknowledgement schedules the next poll of the server in use, which sends it the version in force. After a
// change that is not at once but at a random moment, so that the subscribers of a server do not poll it together.
func (f *membershipFollower) scheduleAcknowledgement() {
	state := &f.acknowledgement
	if state.scheduled || !f.mayAcknowledge() {
		return
	}
	loop := f.registry.dispatcher.Loop
	now := loop.Now()
	upToDate := f.inForce.version == state.version && f.active.failedAcknowledgements == 0
	if upToDate || !f.inForce.resumable {
		loop.Set(&state.timer, max(state.sentAt+idleAcknowledgeInterval, now))
		return
	}
	state.scheduled = true
	jitter := time.Duration(f.random.Int64N(int64(f.config.AcknowledgeInterval)))
	loop.Set(&state.timer, max(state.sentAt+f.config.AcknowledgeInterval, now+jitter))
}

// acknowledge polls the server in use from the version in force. From time to time it polls from an earlier version
// instead, for what a rejected change has left out.
func (f *membershipFollower) acknowledge() {
	state := &f.acknowledgement
	state.scheduled = false
	if !f.mayAcknowledge() {
		return
	}
	now := f.registry.dispatcher.Loop.Now()
	state.sentAt = now
	after := f.inForce.version
	if !f.inForce.complete() && now-state.repairRequestedAt >= f.repairInterval() {
		state.repairRequestedAt = now
		after = f.inForce.completeThrough
	}
	f.active.sendPoll(after, f.active.onAcknowledged)
}

// repairInterval returns the time between polls for what a rejected change has left out.
func (f *membershipFollower) repairInterval() time.Duration {
	if f.inForce.completeThrough == 0 { // the repair is a snapshot
		return snapshotRepairInterval
	}
	return idleAcknowledgeInterval
}

// onAcknowledged applies the answer to an acknowledgement, which may hold changes that the watch has yet to bring.
func (s *subscription) onAcknowledged(change membershipChange, err error) {
	follower := s.follower
	if err != nil {
		s.failedAcknowledgements++
		if s.failedAcknowledgements >= maxFailedAcknowledgements || s.catchUpAfterPoll {
			follower.subscriptionFailed(s, err)
			return
		}
		follower.scheduleAcknowledgement()
		return
	}
	s.failedAcknowledgements = 0
	s.detectIgnoredVersion(change)
	follower.acknowledgement.version = s.poll.after
	follower.registry.stats.Acknowledged++
	follower.apply(change)
	if s.catchUpAfterPoll {
		s.catchUp()
		return
	}
	follower.scheduleAcknowledgement()
}
