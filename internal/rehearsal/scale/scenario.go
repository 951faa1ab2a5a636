// Package scale runs many dispatchers with their control machines on one machine and measures what control costs: real
// daemons as processes, hollow dispatchers many to a process, an origin, and relays. It uses loopback only, and every
// process that it starts ends with the run.
//
// A hollow dispatcher, like a hollow node of Kubernetes' kubemark, is the real control plane client without the rest: it
// follows the endpoint list with the real dispatcher, decision module and registry, but has neither clients nor workers.
// The listed workers do not exist. Hollow dispatchers are compared with real daemons of the same zones.
package scale

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/rangecheck"
	"hollyyoke.example/hollyyoke/internal/tomlfile"
)

// Mechanism is how changes reach dispatchers.
type Mechanism string

// The mechanisms.
const (
	ByDiscovery Mechanism = "discovery" // every dispatcher watches the origin
	ByRelays    Mechanism = "relays"    // every dispatcher follows its zone's relay
)

// Mechanisms are the mechanisms that a scenario is run with, one after the other. Its file has one name or a list.
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

// Scenario describes a run as its TOML file states it. Durations are in the unit that the name ends with.
type Scenario struct {
	Name         string     `toml:"name"`
	Seed         uint64     `toml:"seed"`
	Workers      int        `toml:"workers"`
	Zones        int        `toml:"zones"`
	Regions      int        `toml:"regions"`
	Dispatchers  int        `toml:"dispatchers"` // hollow dispatchers
	Daemons      int        `toml:"real"`
	Mechanism    Mechanisms `toml:"mechanism"`
	LengthS      float64    `toml:"length_s"`
	DeadlineS    float64    `toml:"deadline_s"` // of one mechanism's run, which is then aborted
	MemoryMB     float64    `toml:"memory_mb"`  // a dispatcher's memory limit
	SlowStartS   float64    `toml:"warm_after_s"`
	LogChanges   int        `toml:"log_changes"`   // versions in the logs of the origin and of each relay
	InitialList  bool       `toml:"known"`         // dispatchers start with the list, but restart without it
	CountEntries bool       `toml:"count_entries"` // hollow dispatchers count the entries of list updates

	Background BackgroundChanges `toml:"day"`
	Traffic    Traffic           `toml:"traffic"`
	Events     []Event           `toml:"event"`
	Bounds     Bounds            `toml:"bounds"`
}

// BackgroundChanges are the changes that happen all the time, per day. Time runs faster by TimeFactor.
type BackgroundChanges struct {
	TimeFactor float64 `toml:"factor"` // 0: no such changes
	Changes    float64 `toml:"changes"`
	Failures   float64 `toml:"failures"`
	Restarts   float64 `toml:"restarts"`
}

// Traffic describes the requests to hollow dispatchers.
type Traffic struct {
	RatePerS float64 `toml:"rate_per_s" json:"RatePerS"` // of each dispatcher
	WorkMs   float64 `toml:"work_ms" json:"WorkMs"`
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	Rack         EventKind = "rack"        // count workers of one zone are removed, and start again after for_s
	ZoneLoss     EventKind = "zone_loss"   // all workers of a zone are removed, its dispatchers and relay cut off
	ZoneReturn   EventKind = "zone_return" // the zone is reachable again, its workers start
	RegionCut    EventKind = "region_cut"  // a region's zones cannot reach other regions
	RegionHeal   EventKind = "region_heal"
	Changes      EventKind = "changes"      // count changes at once
	RestartZone  EventKind = "restart_zone" // all dispatchers of a zone are restarted
	WorkerStarts EventKind = "cold"         // count workers of all zones are restarted
	RelayDown    EventKind = "relay_down"   // a zone's relay is killed
	RelayUp      EventKind = "relay_up"
)

var eventKinds = []EventKind{Rack, ZoneLoss, ZoneReturn, RegionCut, RegionHeal, Changes, RestartZone, WorkerStarts, RelayDown, RelayUp}

// Event is something that happens once.
type Event struct {
	Kind   EventKind `toml:"kind"`
	AtS    float64   `toml:"at_s"`
	OverS  float64   `toml:"over_s"` // period over which its changes are spread
	ForS   float64   `toml:"for_s"`
	Zone   int       `toml:"zone"`
	Region int       `toml:"region"`
	Count  int       `toml:"count"`
}

// Bounds are the limits that a run must keep; 0: no limit.
type Bounds struct {
	Mechanisms   Mechanisms `toml:"of"` // to which they apply; empty: all
	InForceP99S  float64    `toml:"in_force_p99_s"`
	InForceMaxS  float64    `toml:"in_force_max_s"`
	CatchUpMaxS  float64    `toml:"catch_up_max_s"`
	BytesPerS    float64    `toml:"bytes_per_s"` // of a dispatcher, mean over its busiest minute
	CoreShare    float64    `toml:"core_share"`  // of a dispatcher, mean of the run
	CoreShare10S float64    `toml:"core_share_10s"`
	MemoryMB     float64    `toml:"memory_mb"` // of a daemon, at its peak
}

// Values of absent keys.
const (
	defaultMemoryMB   = 128
	defaultSlowStartS = 8.6
	defaultLogChanges = 20_000
	defaultWorkMs     = 100
)

// Limits of one run, whatever its scenario says.
const (
	maxProcesses = 300
	maxMemory    = 12 << 30 // bytes, of all processes together
	maxWorkers   = 50_000
	maxHollow    = 3_000
)

// ReadScenario reads a scenario file and sets the defaults of absent keys. An error is one line that names the key at
// fault.
func ReadScenario(path string) (scenario Scenario, err error) {
	err = tomlfile.ReadChecked(path, &scenario)
	return scenario, err
}

// Check sets defaults and checks all values.
func (s *Scenario) Check() error {
	s.setDefaults()
	if err := s.checkRanges(); err != nil {
		return err
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

// checkRanges checks the numbers that stand outside of lists.
func (s *Scenario) checkRanges() error {
	return cmp.Or(
		rangecheck.Between("workers", float64(s.Workers), 1, maxWorkers),
		rangecheck.Between("zones", float64(s.Zones), 1, 64),
		rangecheck.Between("regions", float64(s.Regions), 1, float64(s.Zones)),
		rangecheck.Between("dispatchers", float64(s.Dispatchers), 1, maxHollow),
		rangecheck.Between("real", float64(s.Daemons), 0, 64),
		rangecheck.Between("length_s", s.LengthS, 0.1, 600),
		rangecheck.Between("deadline_s", s.DeadlineS, 1, 1200),
		rangecheck.Between("memory_mb", s.MemoryMB, 8, 4096),
		rangecheck.Between("warm_after_s", s.SlowStartS, 0, 3600),
		rangecheck.Between("log_changes", float64(s.LogChanges), 1, 1e6),
		rangecheck.Between("day.factor", s.Background.TimeFactor, 0, 86400),
		rangecheck.Between("day.changes", s.Background.Changes, 0, 1e7),
		rangecheck.Between("day.failures", s.Background.Failures, 0, 1e6),
		rangecheck.Between("day.restarts", s.Background.Restarts, 0, 1e6),
		rangecheck.Between("traffic.rate_per_s", s.Traffic.RatePerS, 0, 1e4),
		rangecheck.Between("traffic.work_ms", s.Traffic.WorkMs, 1, 1e5),
	)
}

// setDefaults sets the defaults of absent keys.
func (s *Scenario) setDefaults() {
	if s.MemoryMB == 0 {
		s.MemoryMB = defaultMemoryMB
	}
	if s.SlowStartS == 0 {
		s.SlowStartS = defaultSlowStartS
	}
	if s.LogChanges == 0 {
		s.LogChanges = defaultLogChanges
	}
	if s.Traffic.WorkMs == 0 {
		s.Traffic.WorkMs = defaultWorkMs
	}
	if len(s.Mechanism) == 0 {
		s.Mechanism = Mechanisms{ByDiscovery}
	}
}

// checkEvent checks an event against the scenario.
func (s *Scenario) checkEvent(event Event) error {
	switch {
	case !slices.Contains(eventKinds, event.Kind):
		return fmt.Errorf("kind: %q is unknown", event.Kind)
	case !(event.AtS >= 0 && event.AtS <= s.LengthS):
		return fmt.Errorf("at_s: %g is not between 0 and length_s", event.AtS)
	case !(event.OverS >= 0 && event.OverS <= s.LengthS):
		return fmt.Errorf("over_s: %g is not between 0 and length_s", event.OverS)
	case !(event.ForS >= 0 && event.ForS <= s.LengthS):
		return fmt.Errorf("for_s: %g is not between 0 and length_s", event.ForS)
	case event.Zone < 0 || event.Zone >= s.Zones:
		return fmt.Errorf("zone: there is no zone %d", event.Zone)
	case event.Region < 0 || event.Region >= s.Regions:
		return fmt.Errorf("region: there is no region %d", event.Region)
	case event.Count < 0 || event.Count > maxWorkers:
		return fmt.Errorf("count: %d is not between 0 and %d", event.Count, maxWorkers)
	case event.Count == 0 && slices.Contains([]EventKind{Rack, Changes, WorkerStarts}, event.Kind):
		return errors.New("count: missing")
	}
	return nil
}

// Violations describes the bounds that figures exceed, for one mechanism.
func (b *Bounds) Violations(mechanism Mechanism, figures Figures) (violations []string) {
	if len(b.Mechanisms) > 0 && !slices.Contains(b.Mechanisms, mechanism) {
		return nil
	}
	check := func(key string, bound float64, matches func(name string) bool) {
		for _, figure := range figures {
			if bound > 0 && matches(figure.Name) && figure.Value > bound {
				violations = append(violations, fmt.Sprintf("%s: %s %s is %.4g, the bound %g", mechanism, key, figure.Name, figure.Value, bound))
			}
		}
	}
	figureNamed := func(prefix, suffix string) func(string) bool {
		return func(name string) bool { return strings.HasPrefix(name, prefix) && strings.HasSuffix(name, suffix) }
	}
	check("in_force_p99_s", b.InForceP99S, figureNamed("in_force.", ".p99"))
	check("in_force_max_s", b.InForceMaxS, figureNamed("in_force.", ".max"))
	check("catch_up_max_s", b.CatchUpMaxS, figureNamed("catch_up.", ".max"))
	check("bytes_per_s", b.BytesPerS, figureNamed("dispatcher.", ".bytes_worst_minute"))
	check("core_share", b.CoreShare, figureNamed("dispatcher.", ".core_share"))
	check("core_share_10s", b.CoreShare10S, figureNamed("dispatcher.", ".core_share_worst_10s"))
	check("memory_mb", b.MemoryMB, figureNamed("dispatcher.real", ".memory_peak"))
	return violations
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
