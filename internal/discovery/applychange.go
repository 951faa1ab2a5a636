package discovery

import (
	"fmt"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/membership"
)

// changeOutcome is the result of applying a change.
type changeOutcome uint8

const (
	changeApplied    changeOutcome = iota
	changeStale                    // not newer than the version in force, and no repair of it
	changeRejected                 // some of it is invalid, so none of it was applied
	changeMismatched               // newer, but based on a state other than the one in force
)

// apply puts a change in force as a whole, unless it is stale, invalid or based on another state.
func (f *membershipFollower) apply(change membershipChange) changeOutcome {
	inForce := &f.inForce
	if change.version < inForce.version || change.version == inForce.version && !inForce.repairs(change) {
		f.registry.publishInitial(nil) // the state in force is confirmed
		return changeStale
	}
	repeatsChanges := !change.snapshot && change.base < inForce.version
	if repeatsChanges && (change.exact || change.missingFrom > 0) {
		if change.exact && inForce.repairs(change) {
			inForce.requestRepairFromBefore(change)
		}
		return changeMismatched
	}
	entries, err := f.validate(change)
	if err != nil {
		f.reject(change.version, err)
		return changeRejected
	}
	inForce.advance(change)
	f.registry.adopt(change.endpoints, entries)
	if change.snapshot || len(entries) > 0 || f.registry.initial.withheld() {
		f.registry.publish(change.snapshot, entries)
	}
	f.recordApplied(change.snapshot)
	return changeApplied
}

// validate checks the whole change and, if everything else in it is valid, puts its settings in force. The settings come
// last because the function that applies them also checks them.
func (f *membershipFollower) validate(change membershipChange) ([]decision.Endpoint, error) {
	if change.typeError != nil {
		return nil, change.typeError
	}
	entries, err := f.registry.parse(change.endpoints)
	if err != nil {
		return nil, err
	}
	return entries, f.applySettings(change.settings)
}

// reject counts and logs an invalid change, once for each version.
func (f *membershipFollower) reject(version membership.Version, cause error) {
	if version <= f.rejectedVersion {
		return
	}
	f.rejectedVersion = version
	f.registry.stats.Rejected++
	f.registry.dispatcher.Log(fmt.Sprintf("membership: version %d rejected: %v; version %d stays in force",
		version, cause, f.inForce.version))
}

// recordApplied counts an applied change, notifies observers, and schedules its acknowledgement.
func (f *membershipFollower) recordApplied(snapshot bool) {
	stats := &f.registry.stats
	stats.Applied++
	if snapshot {
		stats.Snapshots++
	} else {
		stats.Deltas++
	}
	if f.registry.OnVersionApplied != nil {
		f.registry.OnVersionApplied(f.inForce.version)
	}
	f.registry.notifyUpdate()
	f.scheduleAcknowledgement()
}

// adoptHandover applies the state that the predecessor process has in force, if it is newer.
func (f *membershipFollower) adoptHandover(list *endpointList) error {
	change := membershipChange{
		version:   membership.Version(list.Version),
		snapshot:  true,
		endpoints: list.Endpoints,
		settings:  list.Settings,
	}
	if change.version <= f.inForce.version {
		return nil
	}
	entries, err := f.validate(change)
	if err != nil {
		return err
	}
	f.inForce.version = change.version
	f.inForce.completeThrough = 0
	if list.Settings != nil {
		f.inForce.completeThrough = change.version
		f.inForce.resumable = true
	}
	f.inForce.rememberSettings(change.settings)
	f.registry.adopt(change.endpoints, entries)
	f.registry.replaceAll(entries)
	return nil
}
