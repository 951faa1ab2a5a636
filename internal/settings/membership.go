package settings

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/membership"
)

// Membership is the table [membership]: from which servers the dispatcher receives
// versioned changes of the endpoint list and of its settings.
type Membership struct {
	Enabled       bool               `toml:"on" help:"whether versioned changes are followed instead of the discovery watch; only a restart turns it on or off"`
	Zone          string             `toml:"zone" help:"zone whose servers are preferred; default: the zone of the settings"`
	AcknowledgeMs float64            `toml:"acknowledge_ms" help:"minimum time between acknowledgements of a version; default 1000"`
	Servers       []MembershipServer `toml:"servers" help:"zone and address of each relay, and of each origin to fall back on"`
}

// MembershipServer is one server that sends versioned changes.
type MembershipServer struct {
	Zone    string `toml:"zone"`
	Address string `toml:"address"`
}

const (
	defaultAcknowledge = time.Second
	maxAcknowledgeMs   = 30_000 // with a longer time, a server might count the subscriber as gone
)

// Check checks the table, even if it is not enabled. Errors name the key.
func (m *Membership) Check() error {
	if m.AcknowledgeMs < 0 || m.AcknowledgeMs > maxAcknowledgeMs {
		return fmt.Errorf("acknowledge_ms: %g is not between 0 and %d", m.AcknowledgeMs, maxAcknowledgeMs)
	}
	if m.Enabled && len(m.Servers) == 0 {
		return fmt.Errorf("servers: none")
	}
	seen := map[string]bool{}
	for i, server := range m.Servers {
		key := "servers[" + strconv.Itoa(i) + "].address"
		if err := checkServerAddress(server.Address); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		if seen[server.Address] {
			return fmt.Errorf("%s: %s stands there twice", key, server.Address)
		}
		seen[server.Address] = true
	}
	return nil
}

func checkServerAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 || host == "" {
		return fmt.Errorf("%q is no address such as 10.1.0.7:8601", address)
	}
	return nil
}

// MembershipSources is the table [membership], converted for a dispatcher: from which
// servers it receives versioned changes.
type MembershipSources struct {
	PreferredZone       string // the zone whose servers are preferred; empty if there is none
	Servers             []membership.Server
	AcknowledgeInterval time.Duration // minimum time between acknowledgements of a version
}

// SourcesFor converts the table for a dispatcher with the given settings. It returns an
// error if the table names a zone that the settings do not have.
func (m *Membership) SourcesFor(settings *decision.Settings) (MembershipSources, error) {
	if !hasZone(settings, m.Zone) {
		return MembershipSources{}, fmt.Errorf("zone: the settings have no zone %q", m.Zone)
	}
	sources := MembershipSources{
		PreferredZone:       m.preferredZone(settings),
		AcknowledgeInterval: defaultAcknowledge,
	}
	for i, server := range m.Servers {
		if !hasZone(settings, server.Zone) {
			return MembershipSources{}, fmt.Errorf("servers[%d].zone: the settings have no zone %q", i, server.Zone)
		}
		sources.Servers = append(sources.Servers, membership.Server{Zone: server.Zone, Address: server.Address})
	}
	if m.AcknowledgeMs > 0 {
		sources.AcknowledgeInterval = milliseconds(m.AcknowledgeMs)
	}
	return sources, nil
}

// preferredZone returns the table's zone or, if it has none, the dispatcher's own zone.
func (m *Membership) preferredZone(settings *decision.Settings) string {
	isOwnZoneNamed := settings.Zone >= 0 && settings.Zone < len(settings.ZoneNames)
	if m.Zone == "" && isOwnZoneNamed {
		return settings.ZoneNames[settings.Zone]
	}
	return m.Zone
}

// hasZone reports whether the settings have a zone with a name. An empty name is
// accepted, and so is every name if the settings have no zone names.
func hasZone(s *decision.Settings, name string) bool {
	return name == "" || len(s.ZoneNames) == 0 || slices.Contains(s.ZoneNames, name)
}

// Explain writes a line for each key of the table, with its value and a description.
func (m *Membership) Explain(w io.Writer) { explain(w, "membership", *m) }
