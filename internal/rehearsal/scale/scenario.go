// Package scale runs many dispatchers beside their control machines on one
// machine and measures what control costs: real daemons as processes, hollow
// dispatchers many to a process, an origin that lists hollow workers, and relays.
// It must never leave a process behind, nor reach beyond loopback.
package scale

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// This file owns scenario files. An unknown key, or a value out of its bounds,
// is one line that names it.

// Mechanism is how changes reach dispatchers.
type Mechanism string

// The mechanisms.
const (
	ByDiscovery Mechanism = "discovery" // every dispatcher watches the origin
	ByRelays    Mechanism = "relays"    // every dispatcher follows its zone's relay
)

// Mechanisms are those that a scenario is run with, one after the other. Its
// file words them as one name or as a list.
type Mechanisms []Mechanism

// UnmarshalTOML reads one name or a list of names.
func (m *Mechanisms) UnmarshalTOML(value any) error {
	list, ok := value.([]any)
	if !ok {
		list = []any{value}
	}
	for _, item := range list {
		name, _ := item.(string)
		mechanism := Mechanism(name)
		if mechanism != ByDiscovery && mechanism != ByRelays {
			return fmt.Errorf("mechanism: %v is neither %s nor %s", item, ByDiscovery, ByRelays)
		}
		*m = append(*m, mechanism)
	}
	return nil
}

// Scenario is one run as its file words it.
type Scenario struct {
	Name        string     `toml:"name"`
	Seed        uint64     `toml:"seed"`
	Workers     int        `toml:"workers"`
	Zones       int        `toml:"zones"`
	Regions     int        `toml:"regions"`
	Dispatchers int        `toml:"dispatchers"` // hollow ones
	Real        int        `toml:"real"`        // daemons
	Mechanism   Mechanisms `toml:"mechanism"`
	LengthS     float64    `toml:"length_s"`
	DeadlineS   float64    `toml:"deadline_s"` // of one mechanism's run: then it is given up
	MemoryMB    float64    `toml:"memory_mb"`  // limit that a dispatcher is told
	WarmAfterS  float64    `toml:"warm_after_s"`
	LogChanges  int        `toml:"log_changes"`   // versions that the origin and each relay keep
	Known       bool       `toml:"known"`         // dispatchers start with the list, as ones that have run for long; a restart loses it
	Entries     bool       `toml:"count_entries"` // hollow dispatchers count the entries that they take in

	Day     Day     `toml:"day"`
	Traffic Traffic `toml:"traffic"`
	Events  []Event `toml:"event"`
	Bounds  Bounds  `toml:"bounds"`
}

// Day is what goes on all the time, in changes of a whole day.
type Day struct {
	Factor   float64 `toml:"factor"` // how much faster the day passes; 0: no such changes
	Changes  float64 `toml:"changes"`
	Failures float64 `toml:"failures"`
	Restarts float64 `toml:"restarts"`
}

// Traffic is what hollow dispatchers are asked for.
type Traffic struct {
	RatePerS float64 `toml:"rate_per_s"` // of each dispatcher
	WorkMs   float64 `toml:"work_ms"`
}

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	Rack       Kind = "rack"        // count workers of one zone are gone, and come back cold after for_s
	ZoneLoss   Kind = "zone_loss"   // all workers of a zone are gone, its dispatchers and its relay cut off
	ZoneReturn Kind = "zone_return" // the zone is there again, its workers cold
	RegionCut  Kind = "region_cut"  // a region's zones lose the others
	RegionHeal Kind = "region_heal"
	Changes    Kind = "changes"      // count changes at once
	Restart    Kind = "restart_zone" // all dispatchers of a zone start anew
	Cold       Kind = "cold"         // count workers of all zones have just been started
	RelayDown  Kind = "relay_down"   // a zone's relay is killed
	RelayUp    Kind = "relay_up"
)

var kinds = []Kind{Rack, ZoneLoss, ZoneReturn, RegionCut, RegionHeal, Changes, Restart, Cold, RelayDown, RelayUp}

// Event is one thing that happens.
type Event struct {
	Kind   Kind    `toml:"kind"`
	AtS    float64 `toml:"at_s"`
	OverS  float64 `toml:"over_s"` // its changes are spread over so long
	ForS   float64 `toml:"for_s"`
	Zone   int     `toml:"zone"`
	Region int     `toml:"region"`
	Count  int     `toml:"count"`
}

// Bounds are what the run must keep to; 0: no bound.
type Bounds struct {
	Of          Mechanisms `toml:"of"` // the mechanisms that they hold for; none named: all
	InForceP99S float64    `toml:"in_force_p99_s"`
	InForceMaxS float64    `toml:"in_force_max_s"`
	CatchUpMaxS float64    `toml:"catch_up_max_s"`
	BytesPerS   float64    `toml:"bytes_per_s"` // of a dispatcher, mean over its busiest minute
	CoreShare   float64    `toml:"core_share"`  // of a dispatcher, mean of the run
	CoreShare10 float64    `toml:"core_share_10s"`
	MemoryMB    float64    `toml:"memory_mb"` // of a real dispatcher, at its peak
}

// Limits of one run, whatever its scenario says.
const (
	mostProcesses = 300
	mostMemory    = 12 << 30
	mostWorkers   = 50_000
	mostHollow    = 3_000
)

// ReadScenario reads a scenario file and fills in what it leaves out.
func ReadScenario(path string) (s Scenario, err error) {
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		line, _, _ := strings.Cut(err.Error(), "\n")
		return s, errors.New(line)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return s, fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	if err := s.Check(); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Check fills in defaults and checks all values.
func (s *Scenario) Check() error {
	s.fill()
	for _, bound := range []struct {
		key              string
		value, low, high float64
	}{
		{"workers", float64(s.Workers), 1, mostWorkers},
		{"zones", float64(s.Zones), 1, 64},
		{"regions", float64(s.Regions), 1, float64(s.Zones)},
		{"dispatchers", float64(s.Dispatchers), 1, mostHollow},
		{"real", float64(s.Real), 0, 64},
		{"length_s", s.LengthS, 0.1, 600},
		{"deadline_s", s.DeadlineS, 1, 1200},
		{"memory_mb", s.MemoryMB, 8, 4096},
		{"warm_after_s", s.WarmAfterS, 0, 3600},
		{"log_changes", float64(s.LogChanges), 1, 1e6},
		{"day.factor", s.Day.Factor, 0, 86400},
		{"day.changes", s.Day.Changes, 0, 1e7},
		{"day.failures", s.Day.Failures, 0, 1e6},
		{"day.restarts", s.Day.Restarts, 0, 1e6},
		{"traffic.rate_per_s", s.Traffic.RatePerS, 0, 1e4},
		{"traffic.work_ms", s.Traffic.WorkMs, 1, 1e5},
	} {
		if !(bound.value >= bound.low && bound.value <= bound.high) {
			return fmt.Errorf("%s: %g is not between %g and %g", bound.key, bound.value, bound.low, bound.high)
		}
	}
	if s.Name == "" {
		return errors.New("name: missing")
	}
	for i, event := range s.Events {
		if err := s.checkEvent(event); err != nil {
			return fmt.Errorf("event[%d].%w", i, err)
		}
	}
	return nil
}

func (s *Scenario) fill() {
	if s.MemoryMB == 0 {
		s.MemoryMB = 128
	}
	if s.WarmAfterS == 0 {
		s.WarmAfterS = 8.6
	}
	if s.LogChanges == 0 {
		s.LogChanges = 20_000
	}
	if s.Traffic.WorkMs == 0 {
		s.Traffic.WorkMs = 100
	}
	if len(s.Mechanism) == 0 {
		s.Mechanism = Mechanisms{ByDiscovery}
	}
}

func (s *Scenario) checkEvent(e Event) error {
	switch {
	case !slices.Contains(kinds, e.Kind):
		return fmt.Errorf("kind: %q is unknown", e.Kind)
	case !(e.AtS >= 0 && e.AtS <= s.LengthS):
		return fmt.Errorf("at_s: %g is not between 0 and length_s", e.AtS)
	case !(e.OverS >= 0 && e.OverS <= s.LengthS):
		return fmt.Errorf("over_s: %g is not between 0 and length_s", e.OverS)
	case !(e.ForS >= 0 && e.ForS <= s.LengthS):
		return fmt.Errorf("for_s: %g is not between 0 and length_s", e.ForS)
	case e.Zone < 0 || e.Zone >= s.Zones:
		return fmt.Errorf("zone: there is no zone %d", e.Zone)
	case e.Region < 0 || e.Region >= s.Regions:
		return fmt.Errorf("region: there is no region %d", e.Region)
	case e.Count < 0 || e.Count > mostWorkers:
		return fmt.Errorf("count: %d is not between 0 and %d", e.Count, mostWorkers)
	case e.Count == 0 && slices.Contains([]Kind{Rack, Changes, Cold}, e.Kind):
		return errors.New("count: missing")
	}
	return nil
}

// Broken names the bounds that figures break, for one mechanism.
func (b *Bounds) Broken(mechanism Mechanism, figures Figures) (broken []string) {
	if len(b.Of) > 0 && !slices.Contains(b.Of, mechanism) {
		return nil
	}
	check := func(key string, bound float64, matches func(name string) bool) {
		for _, figure := range figures {
			if bound > 0 && matches(figure.Name) && figure.Value > bound {
				broken = append(broken, fmt.Sprintf("%s: %s %s is %.4g, the bound %g", mechanism, key, figure.Name, figure.Value, bound))
			}
		}
	}
	in := func(prefix, suffix string) func(string) bool {
		return func(name string) bool { return strings.HasPrefix(name, prefix) && strings.HasSuffix(name, suffix) }
	}
	check("in_force_p99_s", b.InForceP99S, in("in_force.", ".p99"))
	check("in_force_max_s", b.InForceMaxS, in("in_force.", ".max"))
	check("catch_up_max_s", b.CatchUpMaxS, in("catch_up.", ".max"))
	check("bytes_per_s", b.BytesPerS, in("dispatcher.", ".bytes_worst_minute"))
	check("core_share", b.CoreShare, in("dispatcher.", ".core_share"))
	check("core_share_10s", b.CoreShare10, in("dispatcher.", ".core_share_worst_10s"))
	check("memory_mb", b.MemoryMB, in("dispatcher.real", ".memory_peak"))
	return broken
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
