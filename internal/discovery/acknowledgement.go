package discovery

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/membership"
)

const (
	defaultAcknowledgeInterval = time.Second
	idleAcknowledgeInterval    = 30 * time.Second // while there is nothing new, to show that the subscriber is alive
	snapshotRepairInterval     = 5 * time.Minute  // between polls for a complete snapshot after one was rejected

	// maxFailedAcknowledgements is the number of failed acknowledgements in a row after which the server has failed.
	maxFailedAcknowledgements = 3
)

// acknowledgementState records the last acknowledgement that was sent to the server in use, and schedules the next one.
type acknowledgementState struct {
	version           membership.Version // that was acknowledged last
	sentAt            time.Duration
	scheduled         bool // the timer is set to acknowledge a version that was not acknowledged yet
	timer             eventloop.Deadline
	repairRequestedAt time.Duration // when the content of a rejected change was last requested
}

// recordSent records that a poll has acknowledged a version.
func (a *acknowledgementState) recordSent(now time.Duration, version membership.Version) {
	a.version = version
	a.sentAt = now
}

// restart resets the state for another server that is now in use. The last poll of that server has acknowledged version.
func (a *acknowledgementState) restart(now time.Duration, version membership.Version) {
	a.recordSent(now, version)
	a.scheduled = false
	a.repairRequestedAt = now
}

// mayAcknowledge reports whether an acknowledgement can be sent now: a server is in use, no poll of it is in progress,
// and it does not answer each poll with a snapshot.
func (f *membershipFollower) mayAcknowledge() bool {
	active := f.active
	return active != nil && !active.poll.inProgress && !active.ignoresVersion
}

// scheduleAcknowledgement schedules the next poll of the server in use, which tells it the version in force. After a
// change the poll is delayed by a random time, so that the subscribers of a server do not all poll it at once.
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

// acknowledge polls the server in use for changes after the version in force, which acknowledges that version. While
// the content of a rejected change is missing, one poll in each repairInterval continues from completeThrough instead,
// so that the response contains what is missing.
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

// repairInterval returns the time between polls for the content of a rejected change.
func (f *membershipFollower) repairInterval() time.Duration {
	if f.inForce.completeThrough == 0 { // the repair is a snapshot
		return snapshotRepairInterval
	}
	return idleAcknowledgeInterval
}

// onAcknowledged applies the response to an acknowledgement. The response may contain changes that have not arrived on
// the watch yet.
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
