// Package scale runs many dispatchers with their control plane on one machine, and measures the cost of control traffic and
// how long changes of the endpoint list take to reach all dispatchers. A run consists of real daemons, one to a process,
// hollow dispatchers, many to a process, an origin, which is the discovery service, and relays; the origin and the relays
// are called control machines. It uses the loopback interface only, and stops every process that it starts at the end of
// the run.
//
// A hollow dispatcher, like a hollow node of Kubernetes' kubemark, is a real control plane client without a data plane: it
// follows the endpoint list with the real dispatcher, decision machine and registry, but has neither clients nor
// workers. The listed workers do not exist. Hollow dispatchers are compared with real daemons of the same zones.
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

// Mechanism is how changes of the endpoint list reach dispatchers.
type Mechanism string

// The mechanisms.
const (
	MechanismDiscovery Mechanism = "discovery" // every dispatcher watches the origin
	MechanismRelays    Mechanism = "relays"    // every dispatcher follows its zone's relay
)

// Mechanisms are the mechanisms with which a scenario is run, one after the other. A scenario file gives one name or a list
// of names.
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
		if mechanism != MechanismDiscovery && mechanism != MechanismRelays {
			return fmt.Errorf("mechanism: %v is neither %s nor %s", item, MechanismDiscovery, MechanismRelays)
		}
		*m = append(*m, mechanism)
	}
	return nil
}

// Scenario is a scenario file. Names of durations end with the unit: S for seconds, Ms for milliseconds.
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
	DeadlineS    float64    `toml:"deadline_s"` // after which the run of one mechanism is aborted
	MemoryMB     float64    `toml:"memory_mb"`  // a dispatcher's memory limit
	SlowStartS   float64    `toml:"warm_after_s"`
	LogChanges   int        `toml:"log_changes"`   // number of versions that the logs of the origin and of each relay keep
	InitialList  bool       `toml:"known"`         // dispatchers have the endpoint list at the start of the run, but not when they are restarted
	CountEntries bool       `toml:"count_entries"` // hollow dispatchers count the entries of list updates

	Background BackgroundChanges `toml:"day"`
	Traffic    Traffic           `toml:"traffic"`
	Events     []Event           `toml:"event"`
	Bounds     Bounds            `toml:"bounds"`
}

// BackgroundChanges are the changes that happen throughout the run, as numbers per day. TimeFactor is how many times faster
// than real time they happen.
type BackgroundChanges struct {
	TimeFactor float64 `toml:"factor"`   // if 0, there are no background changes
	Changes    float64 `toml:"changes"`  // of a worker's share
	Failures   float64 `toml:"failures"` // of workers, each of which is replaced
	Restarts   float64 `toml:"restarts"` // of workers
}

// Traffic is the load of requests to hollow dispatchers.
type Traffic struct {
	RatePerS float64 `toml:"rate_per_s" json:"RatePerS"` // of each dispatcher
	WorkMs   float64 `toml:"work_ms" json:"WorkMs"`      // mean work of a request
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	RackLoss     EventKind = "rack"        // count workers of one zone are removed, and start again after for_s if that is set
	ZoneLoss     EventKind = "zone_loss"   // all workers of a zone are removed, its dispatchers are cut off, its relay is killed
	ZoneReturn   EventKind = "zone_return" // the zone is reachable again, its relay and its workers start
	RegionCut    EventKind = "region_cut"  // a region's zones cannot reach other regions
	RegionHeal   EventKind = "region_heal"
	ShareChanges EventKind = "changes"      // count random workers get another share, over over_s
	RestartZone  EventKind = "restart_zone" // all dispatchers of a zone are restarted
	WorkerStarts EventKind = "cold"         // count random workers of all zones are restarted at once
	RelayDown    EventKind = "relay_down"   // a zone's relay is killed
	RelayUp      EventKind = "relay_up"
)

var eventKinds = []EventKind{RackLoss, ZoneLoss, ZoneReturn, RegionCut, RegionHeal, ShareChanges, RestartZone, WorkerStarts, RelayDown, RelayUp}

// Event happens once in a run.
type Event struct {
	Kind   EventKind `toml:"kind"`
	AtS    float64   `toml:"at_s"`   // since the start of the run
	OverS  float64   `toml:"over_s"` // period over which its changes are spread
	ForS   float64   `toml:"for_s"`  // until the workers of a lost rack start again; if 0, they do not
	Zone   int       `toml:"zone"`
	Region int       `toml:"region"`
	Count  int       `toml:"count"` // of workers or changes
}

// Bounds are upper limits of a run's figures. A bound of 0 is not checked.
type Bounds struct {
	Mechanisms   Mechanisms `toml:"of"`             // the mechanisms to which the bounds apply; all if empty
	InForceP99S  float64    `toml:"in_force_p99_s"` // until all reachable dispatchers have applied a change
	InForceMaxS  float64    `toml:"in_force_max_s"`
	CatchUpMaxS  float64    `toml:"catch_up_max_s"` // until a dispatcher that was unreachable is up to date
	BytesPerS    float64    `toml:"bytes_per_s"`    // sent and received by a dispatcher, in its busiest minute
	CoreShare    float64    `toml:"core_share"`     // of a dispatcher, mean over the run
	CoreShare10S float64    `toml:"core_share_10s"` // of a dispatcher, in its busiest ten seconds
	MemoryMB     float64    `toml:"memory_mb"`      // of a daemon, at its peak
}

// Defaults of keys that a scenario file leaves out.
const (
	defaultMemoryMB   = 128
	defaultSlowStartS = 8.6
	defaultLogChanges = 20_000
	defaultWorkMs     = 100
)

// Limits of every run, which no scenario can raise.
const (
	maxProcesses   = 300
	maxMemory      = 12 << 30 // bytes, of all processes together
	maxWorkers     = 50_000
	maxDispatchers = 3_000
)

// ReadScenario reads and checks a scenario file, and sets the defaults of keys that it leaves out. The error of an invalid
// file is one line that names the key.
func ReadScenario(path string) (scenario Scenario, err error) {
	err = tomlfile.ReadChecked(path, &scenario)
	return scenario, err
}

// Check sets the defaults of keys that are left out, and checks all values.
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

// checkRanges checks the ranges of all numbers except those of events and bounds.
func (s *Scenario) checkRanges() error {
	return cmp.Or(
		rangecheck.Between("workers", float64(s.Workers), 1, maxWorkers),
		rangecheck.Between("zones", float64(s.Zones), 1, 64),
		rangecheck.Between("regions", float64(s.Regions), 1, float64(s.Zones)),
		rangecheck.Between("dispatchers", float64(s.Dispatchers), 1, maxDispatchers),
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

// setDefaults sets the defaults of keys that are left out.
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
		s.Mechanism = Mechanisms{MechanismDiscovery}
	}
}

// checkEvent checks an event, whose times, zone and region must exist in the scenario.
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
	case event.Count == 0 && slices.Contains([]EventKind{RackLoss, ShareChanges, WorkerStarts}, event.Kind):
		return errors.New("count: missing")
	}
	return nil
}

// Violations describes the bounds that the figures of a run by the mechanism exceed. There are none if the bounds do not
// apply to the mechanism.
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
