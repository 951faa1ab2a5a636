// Package capacity measures how the cost of a dispatcher's control work depends on the size of the fleet, fits lines to the
// measured values, and generates docs/CAPACITY.md from the stored runs. Every figure on that page is measured by a stored
// run, computed from such figures, given by the target, or listed as an assumption.
package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"
)

// Slope runs are stored as JSON:
//
//	{
//	  "command": "rehearse slopes ...",   how to run it again
//	  "date": "2026-12-02",                         of the last repetition
//	  "version": "...",                             of the program measured, as its build reports it
//	  "cores": 8,                                   of the machine
//	  "zones": 17,
//	  "plays": 3,                                   repetitions of each size
//	  "sizes": [200, 2100, 21000],                  listed workers
//	  "series": [
//	    {"name": "delta_cpu", "unit": "s", "axis": "workers", "points": [
//	      {"size": 200, "plays": [0.00012, 0.00013, 0.00012]}, ...]}
//	  ]
//	}

// SeriesName names what a series measures.
type SeriesName string

// The series of a slope run. Those that begin with Module measure the decision machine alone; the others measure the
// daemon, from outside.
const (
	ReadyTime                    SeriesName = "ready"             // time from the daemon's start until it is ready
	StartCPU                     SeriesName = "start_cpu"         // processor time of the start
	StartResident                SeriesName = "start_resident"    // peak resident memory after the start
	PeakResident                 SeriesName = "peak_resident"     // peak resident memory at the end of the measurement
	SnapshotBytes                SeriesName = "snapshot_bytes"    // bytes on the connection to discovery during the start
	SnapshotGzip                 SeriesName = "snapshot_gzip"     // bytes of the endpoint list compressed by gzip, at its default level
	IdleCPU                      SeriesName = "idle_cpu"          // processor time per second while nothing changes
	IdleBytes                    SeriesName = "idle_bytes"        // bytes per second while nothing changes
	DeltaCPU                     SeriesName = "delta_cpu"         // processor time per one-worker delta, without the idle part
	DeltaBytes                   SeriesName = "delta_bytes"       // bytes per one-worker delta, without the idle part
	ZoneLossCPU                  SeriesName = "zone_loss_cpu"     // processor time for the loss of a zone's workers, one delta each
	ZoneLossDeltas               SeriesName = "zone_loss_deltas"  // number of deltas for the loss of a zone's workers
	ModuleDelta                  SeriesName = "module_delta"      // time of a one-worker delta
	ModuleRequest                SeriesName = "module_arrival"    // mean time of the decision on a request, no worker in slow start
	ModuleSlowStartRequest       SeriesName = "module_cold"       // mean time of the decision on a request, a tenth of the workers in slow start
	ModuleSlowStartRequestMedian SeriesName = "module_cold_pick"  // median time of the same decisions as in ModuleSlowStartRequest
	ModuleRequestByTeams         SeriesName = "module_teams"      // mean time of the decision on a request, by the number of teams with quotas
	ModuleTaskMemory             SeriesName = "module_held_bytes" // memory of the running tasks, by their number
	ModuleSweep                  SeriesName = "module_sweep"      // time of one sweep, by the number of running tasks
)

// Unit is the unit of a value.
type Unit string

// The units of series.
const (
	UnitSeconds        Unit = "s"
	UnitBytes          Unit = "B"
	UnitBytesPerSecond Unit = "B/s"
	UnitCores          Unit = "cores"
	UnitCount          Unit = "1"
)

// Axis is what the size of a point counts.
type Axis string

// The axes of series.
const (
	AxisWorkers Axis = "workers"
	AxisTeams   Axis = "teams"
	AxisTasks   Axis = "tasks"
)

// Point holds the values of a series at one size, one for each repetition.
type Point struct {
	Size   int       `json:"size"`
	Values []float64 `json:"plays"`
}

// Series holds the values of one measured quantity at several sizes.
type Series struct {
	Name   SeriesName `json:"name"`
	Unit   Unit       `json:"unit"`
	Axis   Axis       `json:"axis"`
	Points []Point    `json:"points"`
}

// Slopes is the content of one file of slope runs.
type Slopes struct {
	Command     string   `json:"command"`
	Date        string   `json:"date"`
	Version     string   `json:"version"`
	Cores       int      `json:"cores"`
	Zones       int      `json:"zones"`
	Repetitions int      `json:"plays"`
	Sizes       []int    `json:"sizes"` // listed workers
	Series      []Series `json:"series"`
}

// ReadSlopes reads and checks a file of slope runs.
func ReadSlopes(path string) (slopes Slopes, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return slopes, err
	}
	if err := json.Unmarshal(text, &slopes); err != nil {
		return slopes, fmt.Errorf("%s: %w", path, err)
	}
	if err := slopes.check(); err != nil {
		return slopes, fmt.Errorf("%s: %w", path, err)
	}
	return slopes, nil
}

var (
	errNoCommand = errors.New("command is empty")
	errNoSeries  = errors.New("series is empty")
)

func (s *Slopes) check() error {
	if s.Command == "" {
		return errNoCommand
	}
	if len(s.Series) == 0 {
		return errNoSeries
	}
	if _, err := time.Parse(time.DateOnly, s.Date); err != nil {
		return fmt.Errorf("date: %w", err)
	}
	for _, series := range s.Series {
		for _, point := range series.Points {
			if point.Size <= 0 || len(point.Values) != s.Repetitions {
				return fmt.Errorf("series %s, size %d: %d values for %d plays", series.Name, point.Size, len(point.Values), s.Repetitions)
			}
		}
	}
	return nil
}

// series returns a series, or nil if it was not measured.
func (s *Slopes) series(name SeriesName) *Series {
	i := slices.IndexFunc(s.Series, func(candidate Series) bool { return candidate.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Series[i]
}

// record adds the value of one repetition to a series, and adds the series and the size if they are new.
func (s *Slopes) record(name SeriesName, unit Unit, axis Axis, size int, value float64) {
	series := s.series(name)
	if series == nil {
		s.Series = append(s.Series, Series{Name: name, Unit: unit, Axis: axis})
		series = &s.Series[len(s.Series)-1]
	}
	i := slices.IndexFunc(series.Points, func(candidate Point) bool { return candidate.Size == size })
	if i < 0 {
		series.Points = append(series.Points, Point{Size: size})
		i = len(series.Points) - 1
	}
	series.Points[i].Values = append(series.Points[i].Values, value)
}

// Replace takes over all series of another run of the same program: it replaces those that this run has, too, and adds the
// others.
func (s *Slopes) Replace(other Slopes) error {
	if s.Version != other.Version || s.Repetitions != other.Repetitions || !slices.Equal(s.Sizes, other.Sizes) {
		return fmt.Errorf("runs differ: version %s, %d plays, sizes %v and version %s, %d plays, sizes %v",
			s.Version, s.Repetitions, s.Sizes, other.Version, other.Repetitions, other.Sizes)
	}
	for _, series := range other.Series {
		existing := s.series(series.Name)
		if existing != nil {
			*existing = series
		} else {
			s.Series = append(s.Series, series)
		}
	}
	s.Date = other.Date
	return s.check()
}

// Merge adds the repetitions of another run of the same program at the same sizes.
func (s *Slopes) Merge(other Slopes) error {
	if s.Version != other.Version || s.Cores != other.Cores || !slices.Equal(s.Sizes, other.Sizes) {
		return fmt.Errorf("runs differ: version %s, %d cores, sizes %v and version %s, %d cores, sizes %v",
			s.Version, s.Cores, s.Sizes, other.Version, other.Cores, other.Sizes)
	}
	for _, series := range other.Series {
		for _, point := range series.Points {
			for _, value := range point.Values {
				s.record(series.Name, series.Unit, series.Axis, point.Size, value)
			}
		}
	}
	s.Repetitions += other.Repetitions
	s.Date = other.Date
	return s.check()
}
