package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/membership"
)

// endpointList is a list of workers, or a change of one, in its wire form. The same form serves the discovery watch,
// the initial endpoint list in the configuration and the handover to a successor.
type endpointList struct {
	Version   int64      `json:"seq"`
	Snapshot  bool       `json:"whole"` // the list is complete; otherwise it contains only changes
	Endpoints []endpoint `json:"hosts"`

	// Settings are all settings that were changed up to Version. nil means that the sender does not know them; an empty
	// list means that none were changed.
	Settings []settingChange `json:"settings,omitzero"`

	// AgeMs is how long ago, in milliseconds, the process that hands the list over last received everything that
	// discovery had. It is nil if that is unknown, as in discovery's own lists.
	AgeMs *int64 `json:"age_ms,omitempty"`
}

// endpoint is one worker in its wire form, the same as that of a membership server. Errors of encoding/json contain
// the name of this type.
type endpoint membership.Endpoint

// maxStartedAtMs is the largest start time that fits into a time.Duration. Later start times count as unknown.
const maxStartedAtMs = float64(math.MaxInt64 / time.Millisecond)

var errNoName = errors.New("host is empty")

// CheckList returns an error if an initial endpoint list in its wire form is invalid, and applies none of it. The empty
// text is a valid list.
func (r *Registry) CheckList(raw []byte) error {
	if len(raw) == 0 {
		return nil
	}
	var list endpointList
	err := json.Unmarshal(raw, &list)
	if err == nil {
		_, err = r.parse(list.Endpoints)
	}
	if err != nil {
		return fmt.Errorf("config: known: %w", err)
	}
	return nil
}

// parse checks a list and converts it to the dispatcher's form, and applies none of it. An error names the field by its
// keys on the wire.
func (r *Registry) parse(list []endpoint) ([]decision.Endpoint, error) {
	entries := make([]decision.Endpoint, 0, len(list))
	for i := range list {
		entry, err := r.parseEndpoint(&list[i])
		if err != nil {
			return nil, fmt.Errorf("hosts[%d].%w", i, err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// parseEndpoint checks and converts one endpoint. The address of a removed worker is not checked.
func (r *Registry) parseEndpoint(listed *endpoint) (decision.Endpoint, error) {
	entry := decision.Endpoint{
		Name:   listed.Name,
		Cell:   listed.Cell,
		Weight: listed.Weight,
		Zone:   slices.Index(r.dispatcher.Settings.ZoneNames, listed.Zone), // -1 if no setting names the zone
		Kind:   slices.Index(r.dispatcher.Settings.KindNames, listed.Kind),
	}
	if listed.StartedAtMs > 0 && listed.StartedAtMs < maxStartedAtMs {
		entry.StartedAt = time.Duration(listed.StartedAtMs * float64(time.Millisecond))
	}
	state, err := parseHealth(listed.Health)
	if err != nil {
		return entry, err
	}
	entry.State = state
	if listed.Name == "" {
		return entry, errNoName
	}
	if state == decision.Removed {
		return entry, nil
	}
	if _, _, err := net.SplitHostPort(listed.Address); err != nil {
		return entry, fmt.Errorf("dial: %w", err)
	}
	return entry, nil
}

// parseHealth returns the state that a health value stands for.
func parseHealth(health string) (decision.WorkerState, error) {
	switch health {
	case membership.HealthReady:
		return decision.Running, nil
	case membership.HealthDraining:
		return decision.Draining, nil
	case membership.HealthGone:
		return decision.Removed, nil
	}
	return decision.Removed, fmt.Errorf("health: unknown value %q", health)
}

// formatHealth returns the health value of a state, the inverse of parseHealth.
func formatHealth(state decision.WorkerState) string {
	switch state {
	case decision.Running:
		return membership.HealthReady
	case decision.Draining:
		return membership.HealthDraining
	}
	return membership.HealthGone
}
