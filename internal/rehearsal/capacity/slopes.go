// Package capacity measures what a dispatcher's control work costs by the size
// of the fleet, fits lines to it, and writes docs/CAPACITY.md from the runs. It
// must never print a figure that is neither measured by a run in the data, nor
// reckoned from such, nor listed as an assumption.
package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"
)

// This file owns the data of slope runs, which is kept as JSON:
//
//	{
//	  "command": "rehearse slopes ...",   how to run it again
//	  "date": "2026-12-02",                         of the last play
//	  "version": "...",                             of the program measured, as the build tells it
//	  "cores": 8,                                   of the machine
//	  "zones": 17,
//	  "plays": 3,                                   how often each size was measured
//	  "sizes": [200, 2100, 21000],                  listed workers
//	  "series": [
//	    {"name": "delta_cpu", "unit": "s", "axis": "workers", "points": [
//	      {"size": 200, "plays": [0.00012, 0.00013, 0.00012]}, ...]}
//	  ]
//	}

// SeriesName names what a series measures.
type SeriesName string

// The series of a slope run. Of the daemon, metered from outside:
const (
	ReadyTime      SeriesName = "ready"             // from its start until it takes clients
	StartCPU       SeriesName = "start_cpu"         // processor time of the start
	StartResident  SeriesName = "start_resident"    // peak of resident memory after the start
	PeakResident   SeriesName = "peak_resident"     // and after all that a play does
	SnapshotBytes  SeriesName = "snapshot_bytes"    // on the connection
	SnapshotGzip   SeriesName = "snapshot_gzip"     // the same list compressed by gzip, at its default level
	IdleCPU        SeriesName = "idle_cpu"          // processor time a second while nothing changes
	IdleBytes      SeriesName = "idle_bytes"        // bytes a second while nothing changes
	DeltaCPU       SeriesName = "delta_cpu"         // processor time a one-worker delta, without the idle part
	DeltaBytes     SeriesName = "delta_bytes"       // bytes a one-worker delta, without the idle part
	ZoneLossCPU    SeriesName = "zone_loss_cpu"     // processor time for the loss of a zone's workers, one delta each
	ZoneLossDeltas SeriesName = "zone_loss_deltas"  // how many deltas came for it
	ModuleDelta    SeriesName = "module_delta"      // a one-worker delta in the module alone
	ModuleWarm     SeriesName = "module_arrival"    // an arrival there, all workers warm
	ModuleCold     SeriesName = "module_cold"       // an arrival there, a tenth of the workers cold
	ModulePick     SeriesName = "module_cold_pick"  // the median of the same arrivals
	ModuleTeams    SeriesName = "module_teams"      // an arrival there, by the number of teams with quotas
	ModuleHeld     SeriesName = "module_held_bytes" // memory there, by the tasks held
	ModuleSweep    SeriesName = "module_sweep"      // one sweep there, by the tasks held
)

// Unit is what a value counts.
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

// Point is the values of one size, one a play.
type Point struct {
	Size  int       `json:"size"`
	Plays []float64 `json:"plays"`
}

// Series is one quantity by size.
type Series struct {
	Name   SeriesName `json:"name"`
	Unit   Unit       `json:"unit"`
	Axis   Axis       `json:"axis"`
	Points []Point    `json:"points"`
}

// Slopes is one file of slope runs.
type Slopes struct {
	Command string   `json:"command"`
	Date    string   `json:"date"`
	Version string   `json:"version"`
	Cores   int      `json:"cores"`
	Zones   int      `json:"zones"`
	Plays   int      `json:"plays"`
	Sizes   []int    `json:"sizes"`
	Series  []Series `json:"series"`
}

// ReadSlopes reads a file of slope runs and checks it.
func ReadSlopes(path string) (s Slopes, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if err := s.check(); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
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
		for _, p := range series.Points {
			if p.Size <= 0 || len(p.Plays) != s.Plays {
				return fmt.Errorf("series %s, size %d: %d values for %d plays", series.Name, p.Size, len(p.Plays), s.Plays)
			}
		}
	}
	return nil
}

// series finds a series; nil: it was not measured.
func (s *Slopes) series(name SeriesName) *Series {
	i := slices.IndexFunc(s.Series, func(x Series) bool { return x.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Series[i]
}

// add books the value of one play.
func (s *Slopes) add(name SeriesName, unit Unit, axis Axis, size int, value float64) {
	series := s.series(name)
	if series == nil {
		s.Series = append(s.Series, Series{Name: name, Unit: unit, Axis: axis})
		series = &s.Series[len(s.Series)-1]
	}
	i := slices.IndexFunc(series.Points, func(p Point) bool { return p.Size == size })
	if i < 0 {
		series.Points = append(series.Points, Point{Size: size})
		i = len(series.Points) - 1
	}
	series.Points[i].Plays = append(series.Points[i].Plays, value)
}

// Replace puts the series of another run of the same program in place of those
// of the same names, and adds those that are new.
func (s *Slopes) Replace(other Slopes) error {
	if s.Version != other.Version || s.Plays != other.Plays || !slices.Equal(s.Sizes, other.Sizes) {
		return fmt.Errorf("runs differ: version %s, %d plays, sizes %v beside version %s, %d plays, sizes %v",
			s.Version, s.Plays, s.Sizes, other.Version, other.Plays, other.Sizes)
	}
	for _, series := range other.Series {
		if former := s.series(series.Name); former != nil {
			*former = series
		} else {
			s.Series = append(s.Series, series)
		}
	}
	s.Date = other.Date
	return s.check()
}

// Merge adds the plays of another run of the same program at the same sizes.
func (s *Slopes) Merge(other Slopes) error {
	if s.Version != other.Version || s.Cores != other.Cores || !slices.Equal(s.Sizes, other.Sizes) {
		return fmt.Errorf("runs differ: version %s, %d cores, sizes %v beside version %s, %d cores, sizes %v",
			s.Version, s.Cores, s.Sizes, other.Version, other.Cores, other.Sizes)
	}
	for _, series := range other.Series {
		for _, p := range series.Points {
			for _, value := range p.Plays {
				s.add(series.Name, series.Unit, series.Axis, p.Size, value)
			}
		}
	}
	s.Plays += other.Plays
	s.Date = other.Date
	return s.check()
}
