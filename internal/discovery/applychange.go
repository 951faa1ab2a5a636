package discovery

import (
	"fmt"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/membership"
)

// changeOutcome is what became of a change.
type changeOutcome uint8

const (
	changeApplied    changeOutcome = iota
	changeStale                    // it holds nothing newer
	changeRejected                 // some of it is wrong: none of it was applied
	changeMismatched               // it is newer, but continues from another state than the one in force
)

// apply puts a change in force as a whole, unless it is stale, wrong or made for another state.
func (f *follower) apply(c change) changeOutcome {
	if c.version < f.version || c.version == f.version && !f.repairs(c) {
		f.registry.publishInitial(nil) // the state in force is confirmed
		return changeStale
	}
	if !c.snapshot && c.base < f.version && (c.exact || c.missingFrom > 0) {
		if c.exact && f.repairs(c) { // asked for from an earlier version, the repair comes as a snapshot
			f.completeThrough = max(min(f.completeThrough, c.base-1), 0)
		}
		return changeMismatched
	}
	entries, err := f.validate(c)
	if err != nil {
		f.reject(c.version, err)
		return changeRejected
	}
	f.completeThrough = f.completeThroughWith(c)
	f.version = c.version
	f.resumable = true
	f.rememberSettings(c.settings)
	f.registry.adopt(c.endpoints, entries)
	if c.snapshot || len(entries) > 0 || f.registry.initialEntries != nil {
		f.registry.publish(c.snapshot, entries)
	}
	f.recordApplied(c.snapshot)
	return changeApplied
}

// covers reports whether a change holds everything after completeThrough.
func (f *follower) covers(c change) bool { return c.snapshot || c.base <= f.completeThrough }

// repairs reports whether a change holds what is missing of the version in force.
func (f *follower) repairs(c change) bool {
	return f.completeThrough < f.version && c.missingFrom == 0 && f.covers(c)
}

// completeThroughWith returns what completeThrough becomes with a change, by the same rule as membership.Store.
func (f *follower) completeThroughWith(c change) membership.Version {
	senderComplete := c.version
	if c.missingFrom > 0 {
		senderComplete = c.missingFrom - 1
	}
	switch {
	case c.snapshot || c.exact && f.completeThrough == f.version && c.base == f.version:
		return senderComplete
	case c.exact:
		return min(f.completeThrough, senderComplete)
	case f.covers(c):
		return max(f.completeThrough, senderComplete)
	}
	return f.completeThrough
}

// validate checks a whole change. Its settings are put in force, unless there is an error: they come last, since
// whatever applies them checks them itself.
func (f *follower) validate(c change) ([]decision.Endpoint, error) {
	if c.typeError != nil {
		return nil, c.typeError
	}
	entries, err := f.registry.parse(c.endpoints)
	if err != nil {
		return nil, err
	}
	return entries, f.applySettings(c.settings)
}

// reject logs a change that is wrong, once for each version.
func (f *follower) reject(version membership.Version, cause error) {
	if version <= f.rejectedVersion {
		return
	}
	f.rejectedVersion = version
	f.registry.stats.Rejected++
	f.registry.dispatcher.Log(fmt.Sprintf("membership: version %d rejected: %v; version %d stays in force",
		version, cause, f.version))
}

// recordApplied counts an applied change, notifies observers, and schedules its acknowledgement.
func (f *follower) recordApplied(snapshot bool) {
	stats := &f.registry.stats
	stats.Applied++
	if snapshot {
		stats.Snapshots++
	} else {
		stats.Deltas++
	}
	if f.registry.OnVersionApplied != nil {
		f.registry.OnVersionApplied(f.version)
	}
	f.registry.notifyUpdate()
	f.scheduleAcknowledgement()
}

// adoptHandover applies the state that the predecessor process has in force, if it is newer.
func (f *follower) adoptHandover(list *endpointList) error {
	c := change{
		version:   membership.Version(list.Version),
		snapshot:  true,
		endpoints: list.Endpoints,
		settings:  list.Settings,
	}
	if c.version <= f.version {
		return nil
	}
	entries, err := f.validate(c)
	if err != nil {
		return err
	}
	f.version = c.version
	f.completeThrough = 0
	if list.Settings != nil {
		f.completeThrough = c.version
		f.resumable = true
	}
	f.rememberSettings(c.settings)
	f.registry.adopt(c.endpoints, entries)
	f.registry.replaceAll(entries)
	return nil
}
