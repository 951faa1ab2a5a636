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

// Membership is the table [membership]: from which servers the dispatcher follows
// versioned changes of the list of workers and of its settings.
type Membership struct {
	On            bool               `toml:"on" help:"follow versioned changes in place of the discovery watch; only a restart turns it on or off"`
	Zone          string             `toml:"zone" help:"whose servers come first; default: the zone of the settings"`
	AcknowledgeMs float64            `toml:"acknowledge_ms" help:"least time between acknowledgements of a version; default 1000"`
	Servers       []MembershipServer `toml:"servers" help:"relays, and origins to fall back on: zone and address of each"`
}

// MembershipServer is one server of versioned changes.
type MembershipServer struct {
	Zone    string `toml:"zone"`
	Address string `toml:"address"`
}

const (
	defaultAcknowledgeMs = 1000
	mostAcknowledgeMs    = 30_000 // beyond it a subscriber might count as gone
)

// Check tells what is wrong with the table, on or not. The error names the key.
func (m *Membership) Check() error {
	if m.AcknowledgeMs < 0 || m.AcknowledgeMs > mostAcknowledgeMs {
		return fmt.Errorf("acknowledge_ms: %g is not between 0 and %d", m.AcknowledgeMs, mostAcknowledgeMs)
	}
	if m.On && len(m.Servers) == 0 {
		return fmt.Errorf("servers: none")
	}
	seen := map[string]bool{}
	for i, s := range m.Servers {
		at := "servers[" + strconv.Itoa(i) + "].address"
		host, port, err := net.SplitHostPort(s.Address)
		if err != nil {
			return fmt.Errorf("%s: %w", at, err)
		}
		if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
			return fmt.Errorf("%s: %q is no address such as 10.1.0.7:8601", at, s.Address)
		}
		if seen[s.Address] {
			return fmt.Errorf("%s: %s stands there twice", at, s.Address)
		}
		seen[s.Address] = true
	}
	return nil
}

// Ready turns the table into what the dispatcher of those settings follows. The
// error names a zone that the settings do not know.
func (m *Membership) Ready(s *decision.Settings) (zone string, servers []membership.Server, acknowledge time.Duration, err error) {
	zone = m.Zone
	if zone == "" && s.Zone >= 0 && s.Zone < len(s.ZoneNames) {
		zone = s.ZoneNames[s.Zone]
	}
	known := func(name string) bool {
		return name == "" || len(s.ZoneNames) == 0 || slices.Contains(s.ZoneNames, name)
	}
	if !known(m.Zone) {
		return "", nil, 0, fmt.Errorf("zone: the settings have no zone %q", m.Zone)
	}
	for i, server := range m.Servers {
		if !known(server.Zone) {
			return "", nil, 0, fmt.Errorf("servers[%d].zone: the settings have no zone %q", i, server.Zone)
		}
		servers = append(servers, membership.Server{Zone: server.Zone, Address: server.Address})
	}
	acknowledge = defaultAcknowledgeMs * time.Millisecond
	if m.AcknowledgeMs > 0 {
		acknowledge = seconds(m.AcknowledgeMs / 1000)
	}
	return zone, servers, acknowledge, nil
}

// Explain prints the table's keys, their values and what they are for.
func (m *Membership) Explain(w io.Writer) { explain(w, "membership", *m) }
