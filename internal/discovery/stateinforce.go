package discovery

import (
	"encoding/json"
	"maps"
	"slices"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// stateInForce records which changes of its servers a follower has applied. A rejected change leaves a gap: version
// advances with the changes after it, while completeThrough stays before it until a repair, which is a change that
// contains everything after completeThrough.
type stateInForce struct {
	version         membership.Version         // of the newest change that was applied
	completeThrough membership.Version         // the newest version up to which nothing is missing; at most version
	resumable       bool                       // version includes its settings, so that a server can continue from it
	settings        map[string]json.RawMessage // those changed since the start, by key
}

// complete reports whether nothing is missing.
func (s *stateInForce) complete() bool { return s.completeThrough >= s.version }

// resumeVersion returns the version from which a server is asked to continue, or 0 to ask it for a snapshot.
func (s *stateInForce) resumeVersion() membership.Version {
	if !s.resumable {
		return 0
	}
	return s.version
}

// advance records that a change was applied.
func (s *stateInForce) advance(change membershipChange) {
	s.completeThrough = s.completeThroughWith(change)
	s.version = change.version
	s.resumable = true
	s.rememberSettings(change.settings)
}

// covers reports whether a change contains everything after completeThrough.
func (s *stateInForce) covers(change membershipChange) bool {
	return change.snapshot || change.base <= s.completeThrough
}

// repairs reports whether a change contains what is missing of the version in force.
func (s *stateInForce) repairs(change membershipChange) bool {
	return !s.complete() && change.missingFrom == 0 && s.covers(change)
}

// completeThroughWith returns the value of completeThrough after a change is applied, by the same rule as
// membership.Store.
func (s *stateInForce) completeThroughWith(change membershipChange) membership.Version {
	senderComplete := change.version
	if change.missingFrom > 0 {
		senderComplete = change.missingFrom - 1
	}
	switch {
	case change.snapshot || change.exact && s.completeThrough == s.version && change.base == s.version:
		return senderComplete
	case change.exact:
		return min(s.completeThrough, senderComplete)
	case s.covers(change):
		return max(s.completeThrough, senderComplete)
	}
	return s.completeThrough
}

// requestRepairFromBefore makes the next repair continue from before a delta that cannot be applied to this state, so
// that the server answers with a snapshot and not with the same delta again.
func (s *stateInForce) requestRepairFromBefore(delta membershipChange) {
	s.completeThrough = max(min(s.completeThrough, delta.base-1), 0)
}

// rememberSettings keeps changed settings for a successor process.
func (s *stateInForce) rememberSettings(changes []settingChange) {
	for _, change := range changes {
		s.settings[change.Key] = change.Value
	}
}

// settingChanges returns the settings that were changed since the start, sorted by key; it is never nil.
func (s *stateInForce) settingChanges() []settingChange {
	changes := []settingChange{}
	for _, key := range slices.Sorted(maps.Keys(s.settings)) {
		changes = append(changes, settingChange{key, s.settings[key]})
	}
	return changes
}
