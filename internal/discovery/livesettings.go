package discovery

import (
	"fmt"
	"maps"
	"slices"

	"hollyyoke.example/hollyyoke/internal/settings"
)

// applySettings puts changed settings in force, all or none.
func (f *membershipFollower) applySettings(changes []settingChange) error {
	if len(changes) == 0 {
		return nil
	}
	return f.registry.applySettings(changes)
}

// reconfigureDispatcher puts changed settings in force at the dispatcher, all or none. The list that comes with them
// is applied in the same turn of the event loop.
func (r *Registry) reconfigureDispatcher(changes []settingChange) error {
	list := make([]settings.Change, 0, len(changes))
	for _, c := range changes {
		list = append(list, settings.Change(c))
	}
	if err := r.dispatcher.Reconfigure(list); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// rememberSettings keeps changed settings for a successor process.
func (f *membershipFollower) rememberSettings(changes []settingChange) {
	for _, c := range changes {
		f.settings[c.Key] = c.Value
	}
}

// appliedSettings returns the settings that were changed since the start, sorted by key; it is never nil.
func (f *membershipFollower) appliedSettings() []settingChange {
	out := []settingChange{}
	for _, key := range slices.Sorted(maps.Keys(f.settings)) {
		out = append(out, settingChange{key, f.settings[key]})
	}
	return out
}
