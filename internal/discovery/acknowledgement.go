package discovery

import "time"

const (
	defaultAcknowledgeInterval = time.Second
	idleAcknowledgeInterval    = 30 * time.Second // with nothing new, so that the subscriber counts as alive
	snapshotRepairInterval     = 5 * time.Minute  // between polls for a complete snapshot after a rejected one

	// maxFailedAcknowledgements in a row mark the server as failed.
	maxFailedAcknowledgements = 3
)

// scheduleAcknowledgement schedules the next poll of the server in use, which sends it the version in force. After a
// change that is not at once but at a random moment, so that the subscribers of a server do not poll it together.
func (f *membershipFollower) scheduleAcknowledgement() {
	active := f.active
	if active == nil || active.polling || active.ignoresVersion || f.acknowledgementScheduled {
		return
	}
	loop := f.registry.dispatcher.Loop
	now := loop.Now()
	upToDate := f.version == f.acknowledgedVersion && active.failedAcknowledgements == 0
	if upToDate || !f.resumable {
		loop.Set(&f.acknowledgementTimer, max(f.acknowledgedAt+idleAcknowledgeInterval, now))
		return
	}
	f.acknowledgementScheduled = true
	jitter := time.Duration(f.random.Int64N(int64(f.config.AcknowledgeInterval)))
	loop.Set(&f.acknowledgementTimer, max(f.acknowledgedAt+f.config.AcknowledgeInterval, now+jitter))
}

// acknowledge polls the server in use from the version in force. From time to time it polls from an earlier version
// instead, for what a rejected change has left out.
func (f *membershipFollower) acknowledge() {
	f.acknowledgementScheduled = false
	active := f.active
	if active == nil || active.polling || active.ignoresVersion {
		return
	}
	now := f.registry.dispatcher.Loop.Now()
	f.acknowledgedAt = now
	after := f.version
	if f.completeThrough < f.version && now-f.repairRequestedAt >= f.repairInterval() {
		f.repairRequestedAt = now
		after = f.completeThrough
	}
	active.poll(after, active.onAcknowledged)
}

// repairInterval returns the time between polls for what a rejected change has left out.
func (f *membershipFollower) repairInterval() time.Duration {
	if f.completeThrough == 0 { // the repair is a snapshot
		return snapshotRepairInterval
	}
	return idleAcknowledgeInterval
}

// onAcknowledged applies the answer to an acknowledgement, which may hold changes that the watch has yet to bring.
func (s *subscription) onAcknowledged(change membershipChange, err error) {
	follower := s.follower
	if err != nil {
		s.failedAcknowledgements++
		if s.failedAcknowledgements >= maxFailedAcknowledgements || s.reopenWatch {
			follower.subscriptionFailed(s, err)
			return
		}
		follower.scheduleAcknowledgement()
		return
	}
	s.failedAcknowledgements = 0
	s.detectIgnoredVersion(change)
	follower.acknowledgedVersion = s.polledVersion
	follower.registry.stats.Acknowledged++
	follower.apply(change)
	if s.reopenWatch {
		s.catchUp()
		return
	}
	follower.scheduleAcknowledgement()
}
