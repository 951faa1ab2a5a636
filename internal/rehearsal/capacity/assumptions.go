package capacity

import (
	"errors"
	"fmt"
	"os"

	"hollyyoke.example/hollyyoke/internal/tomlfile"
)

// Target holds the sizes and limits that the operators of the fleet have set.
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

// Assumption is a figure that the target does not give.
type Assumption struct {
	Value  float64 `toml:"value"`
	Unit   Unit    `toml:"unit"`
	Mark   string  `toml:"mark"`
	Origin string  `toml:"origin"` // where the figure comes from

	Name string `toml:"-"` // its key in the file
}

// Quantity returns the assumption as a quantity whose source is the assumption's key.
func (a Assumption) Quantity() Quantity {
	mark, _ := ParseMark(a.Mark) // the mark was checked when the file was read
	return Quantity{Value: a.Value, Unit: a.Unit, Mark: mark, Sources: []string{a.Name}}
}

// Assumed holds the assumptions. Dispatchers lists the numbers of dispatchers for which needs are computed, in ascending
// order.
type Assumed struct {
	Dispatchers       []int      `toml:"dispatchers"`
	FailureChanges    Assumption `toml:"changes_of_a_failure"`
	RestartChanges    Assumption `toml:"changes_of_a_restart"`
	RackWorkers       Assumption `toml:"rack_workers"`
	ZoneLossAnnounced Assumption `toml:"zone_loss_told_within"`
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

// Mechanisms names the package that does each kind of control work, or is mechanismMissing where none does.
type Mechanisms struct {
	Membership      string `toml:"membership"`
	Decisions       string `toml:"decisions"`
	Resume          string `toml:"resume"`
	Configuration   string `toml:"configuration"`
	Relays          string `toml:"relays"`
	Acknowledgement string `toml:"acknowledgement"`
}

// mechanismMissing is written in place of a package if there is no mechanism.
const mechanismMissing = "missing"

// Assumptions is the content of the assumptions file. Before holds the mechanisms of the program that was measured first,
// before its costs were reduced; Mechanisms holds those of the present program.
type Assumptions struct {
	Target     Target     `toml:"target"`
	Assumed    Assumed    `toml:"assumed"`
	Mechanisms Mechanisms `toml:"mechanisms"`
	Before     Mechanisms `toml:"mechanisms_before"`
}

// namedAssumptions sets the name of each assumption to its key in the file, and returns all of them in the order of the
// file.
func (a *Assumed) namedAssumptions() []*Assumption {
	named := []struct {
		key        string
		assumption *Assumption
	}{
		{"changes_of_a_failure", &a.FailureChanges},
		{"changes_of_a_restart", &a.RestartChanges},
		{"rack_workers", &a.RackWorkers},
		{"zone_loss_told_within", &a.ZoneLossAnnounced},
		{"config_change_bytes", &a.ConfigChangeBytes},
		{"config_peak_factor", &a.ConfigPeakFactor},
		{"config_peak_rate", &a.ConfigPeakRate},
		{"start_peak_factor", &a.StartPeakFactor},
		{"machine_bytes_per_s", &a.MachineBytes},
		{"machine_cores", &a.MachineCores},
		{"machine_memory", &a.MachineMemory},
		{"calls_per_s", &a.CallsPerSecond},
		{"longest_object_bytes", &a.LongestObject},
	}
	list := make([]*Assumption, len(named))
	for i, entry := range named {
		entry.assumption.Name = entry.key
		list[i] = entry.assumption
	}
	return list
}

var errNoDispatchers = errors.New("assumed.dispatchers is empty")

// ReadAssumptions reads and checks an assumptions file. The error of an invalid file is one line that names the key. An
// assumption without an origin is invalid.
func ReadAssumptions(path string) (assumptions Assumptions, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = tomlfile.Decode(text, &assumptions)
	}
	if err == nil {
		err = assumptions.check()
	}
	if err != nil {
		return assumptions, fmt.Errorf("%s: %w", path, err)
	}
	return assumptions, nil
}

func (a *Assumptions) check() error {
	if len(a.Assumed.Dispatchers) == 0 {
		return errNoDispatchers
	}
	for _, assumption := range a.Assumed.namedAssumptions() {
		_, err := ParseMark(assumption.Mark)
		switch {
		case err != nil:
			return fmt.Errorf("assumed.%s: %w", assumption.Name, err)
		case assumption.Value <= 0:
			return fmt.Errorf("assumed.%s: value must be positive", assumption.Name)
		case assumption.Unit == "":
			return fmt.Errorf("assumed.%s: unit is missing", assumption.Name)
		case assumption.Origin == "":
			return fmt.Errorf("assumed.%s: origin is missing", assumption.Name)
		}
	}
	return nil
}
