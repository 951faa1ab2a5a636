package discovery

import (
	"fmt"

	"hollyyoke.example/hollyyoke/internal/settings"
)

// applySettings puts changed settings in force, all or none.
func (f *membershipFollower) applySettings(changes []settingChange) error {
	if len(changes) == 0 {
		return nil
	}
	return f.registry.applySettings(changes)
}

// reconfigureDispatcher puts changed settings in force at the dispatcher, all or none. The endpoints of the same change
// are applied in the same turn of the event loop.
func (r *Registry) reconfigureDispatcher(changes []settingChange) error {
	list := make([]settings.Change, 0, len(changes))
	for _, change := range changes {
		list = append(list, settings.Change(change))
	}
	if err := r.dispatcher.Reconfigure(list); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}
