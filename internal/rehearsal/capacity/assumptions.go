package capacity

import (
	"errors"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// This file owns the target and the assumptions, as their file words them. A
// key that is not known, or one without an origin, is one line that names it.

// Target is what the operators have set.
type Target struct {
	Workers             float64 `toml:"workers"`
	Accelerators        float64 `toml:"accelerators"`
	JobsPerDay          float64 `toml:"jobs_per_day"`
	PeakStarts          float64 `toml:"peak_starts_per_s"`
	RunningTasks        float64 `toml:"running_tasks"`
	LargestGang         float64 `toml:"largest_gang"`
	Teams               float64 `toml:"teams"`
	UrgentStart         float64 `toml:"urgent_start_s"`
	Regions             float64 `toml:"regions"`
	Zones               float64 `toml:"zones"`
	ConfigChangesPerDay float64 `toml:"config_changes_per_day"`
	InForceWithin       float64 `toml:"in_force_within_s"`
	DispatcherCores     float64 `toml:"dispatcher_cores"`
	DispatcherMemory    float64 `toml:"dispatcher_memory_bytes"`
	DispatcherBytes     float64 `toml:"dispatcher_bytes_per_s"`
	ControlMachines     float64 `toml:"control_machines"`
	FailuresPerDay      float64 `toml:"machine_failures_per_day"`
	RestartsPerDay      float64 `toml:"machine_restarts_per_day"`
	DaysBetweenRacks    float64 `toml:"days_between_rack_losses"`
	DaysBetweenZones    float64 `toml:"days_between_zone_losses"`
	RegionCut           float64 `toml:"region_cut_s"`
	MeanOver            float64 `toml:"mean_over_s"`
	ZoneLossWindow      float64 `toml:"zone_loss_window_s"`
}

// Assumption is one figure that the target does not give.
type Assumption struct {
	Value  float64 `toml:"value"`
	Unit   Unit    `toml:"unit"`
	Mark   string  `toml:"mark"`
	Origin string  `toml:"origin"`

	Name string `toml:"-"` // its key in the file
}

// Quantity is the assumption as a figure.
func (a Assumption) Quantity() Quantity {
	mark, _ := ParseMark(a.Mark) // checked as the file was read
	return Quantity{Value: a.Value, Unit: a.Unit, Mark: mark, Sources: []string{a.Name}}
}

// Assumed is all that the target does not give.
type Assumed struct {
	Dispatchers       []int      `toml:"dispatchers"`
	FailureChanges    Assumption `toml:"changes_of_a_failure"`
	RestartChanges    Assumption `toml:"changes_of_a_restart"`
	RackWorkers       Assumption `toml:"rack_workers"`
	ZoneLossTold      Assumption `toml:"zone_loss_told_within"`
	ConfigChangeBytes Assumption `toml:"config_change_bytes"`
	ConfigPeakFactor  Assumption `toml:"config_peak_factor"`
	ConfigPeakRate    Assumption `toml:"config_peak_rate"`
	StartPeakFactor   Assumption `toml:"start_peak_factor"`
	MachineBytes      Assumption `toml:"machine_bytes_per_s"`
	MachineCores      Assumption `toml:"machine_cores"`
	MachineMemory     Assumption `toml:"machine_memory"`
	CallsPerSecond    Assumption `toml:"calls_per_s"`
	LongestObject     Assumption `toml:"longest_object_bytes"`
}

// Mechanisms names the package that carries each kind of control work.
type Mechanisms struct {
	Membership      string `toml:"membership"`
	Decisions       string `toml:"decisions"`
	Resume          string `toml:"resume"`
	Configuration   string `toml:"configuration"`
	Relays          string `toml:"relays"`
	Acknowledgement string `toml:"acknowledgement"`
}

// missing is what a mechanism is called that does not exist.
const missing = "missing"

// Assumptions is the file.
type Assumptions struct {
	Target     Target     `toml:"target"`
	Assumed    Assumed    `toml:"assumed"`
	Mechanisms Mechanisms `toml:"mechanisms"`
	Before     Mechanisms `toml:"mechanisms_before"`
}

// list is the assumptions with the keys under which they stand in the file.
func (a *Assumed) list() []*Assumption {
	named := []struct {
		name string
		of   *Assumption
	}{
		{"changes_of_a_failure", &a.FailureChanges}, {"changes_of_a_restart", &a.RestartChanges}, {"rack_workers", &a.RackWorkers},
		{"zone_loss_told_within", &a.ZoneLossTold}, {"config_change_bytes", &a.ConfigChangeBytes}, {"config_peak_factor", &a.ConfigPeakFactor}, {"config_peak_rate", &a.ConfigPeakRate},
		{"start_peak_factor", &a.StartPeakFactor}, {"machine_bytes_per_s", &a.MachineBytes}, {"machine_cores", &a.MachineCores}, {"machine_memory", &a.MachineMemory}, {"calls_per_s", &a.CallsPerSecond},
		{"longest_object_bytes", &a.LongestObject},
	}
	list := make([]*Assumption, len(named))
	for i, x := range named {
		x.of.Name = x.name
		list[i] = x.of
	}
	return list
}

var errNoDispatchers = errors.New("assumed.dispatchers is empty")

// ReadAssumptions reads the file and checks it.
func ReadAssumptions(path string) (a Assumptions, err error) {
	meta, err := toml.DecodeFile(path, &a)
	if err != nil {
		line, _, _ := strings.Cut(err.Error(), "\n")
		return a, fmt.Errorf("%s: %s", path, line)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return a, fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	if err := a.check(); err != nil {
		return a, fmt.Errorf("%s: %w", path, err)
	}
	return a, nil
}

func (a *Assumptions) check() error {
	if len(a.Assumed.Dispatchers) == 0 {
		return errNoDispatchers
	}
	for _, x := range a.Assumed.list() {
		switch _, err := ParseMark(x.Mark); {
		case err != nil:
			return fmt.Errorf("assumed.%s: %w", x.Name, err)
		case x.Value <= 0:
			return fmt.Errorf("assumed.%s: value must be positive", x.Name)
		case x.Unit == "":
			return fmt.Errorf("assumed.%s: unit is missing", x.Name)
		case x.Origin == "":
			return fmt.Errorf("assumed.%s: origin is missing", x.Name)
		}
	}
	return nil
}
