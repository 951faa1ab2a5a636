package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// A file of scale runs is a list with one record for each mechanism, as rehearse scale --json writes it:
//
//	[{"command": "bin/rehearse scale ...", "seed": 27, "workers": 21000,
//	  "dispatchers": 68, "real": 2, "mechanism": "relays", "scenario": "zone",
//	  "figures": [{"name": "in_force.calm.p99", "unit": "s", "value": 0.08, "kind": "measured"}],
//	  "broken": []}]

// ScaleFigure is one figure of a scale run.
type ScaleFigure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	Kind  string  `json:"kind"`
}

// ScaleRun is one run of a scenario by one mechanism.
type ScaleRun struct {
	Command     string        `json:"command"`
	Seed        uint64        `json:"seed"`
	Workers     int           `json:"workers"`
	Dispatchers int           `json:"dispatchers"` // hollow dispatchers
	Real        int           `json:"real"`        // daemons
	Mechanism   string        `json:"mechanism"`
	Scenario    string        `json:"scenario"`
	Figures     []ScaleFigure `json:"figures"`
	Broken      []string      `json:"broken"` // limits and invariants that the run violated

	File string `json:"-"` // name of the file from which it was read
}

// The files of slope runs; every other JSON file beside them is a scale run.
const (
	slopesBeforeFile = "slopes-before.json"
	slopesFile       = "slopes.json"
)

// readScale reads all scale runs of a directory, sorted by scenario and mechanism.
func readScale(dir string) (runs []ScaleRun, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		name := filepath.Base(path)
		if name == slopesBeforeFile || name == slopesFile {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var records []ScaleRun
		if err := json.Unmarshal(text, &records); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		for _, run := range records {
			if run.Scenario == "" || run.Command == "" {
				return nil, fmt.Errorf("%s: scenario or command is empty", path)
			}
			run.File = name
			runs = append(runs, run)
		}
	}
	slices.SortStableFunc(runs, func(a, b ScaleRun) int {
		return strings.Compare(a.Scenario+" "+a.Mechanism, b.Scenario+" "+b.Mechanism)
	})
	return runs, nil
}

// ScaleTable compares the runs of one scenario, with one column for each run.
type ScaleTable struct {
	Scenario string
	Runs     []ScaleRun
	Lines    []ScaleLine
}

// ScaleLine is one line of a ScaleTable: a figure in all runs of the scenario.
type ScaleLine struct {
	Name   string
	Unit   string
	Kind   string
	Values []string // one for each run; empty if the run does not have the figure
}

// scaleTables returns one table for each scenario. The runs must be sorted by scenario.
func scaleTables(runs []ScaleRun) (tables []ScaleTable) {
	for _, run := range runs {
		isFirst := len(tables) == 0 || tables[len(tables)-1].Scenario != run.Scenario
		if isFirst {
			tables = append(tables, ScaleTable{Scenario: run.Scenario})
		}
		table := &tables[len(tables)-1]
		table.Runs = append(table.Runs, run)
	}
	for i := range tables {
		tables[i].fill()
	}
	return tables
}

// fill sets the lines of the table from its runs. Lines are in the order in which their figures first occur in the runs.
func (t *ScaleTable) fill() {
	for column, run := range t.Runs {
		for _, figure := range run.Figures {
			t.lineOf(figure).Values[column] = formatSignificant(figure.Value)
		}
	}
}

// lineOf returns the line of a figure, and adds it if the table has none.
func (t *ScaleTable) lineOf(figure ScaleFigure) *ScaleLine {
	for i := range t.Lines {
		line := &t.Lines[i]
		if line.Name == figure.Name && line.Unit == figure.Unit && line.Kind == figure.Kind {
			return line
		}
	}
	t.Lines = append(t.Lines, ScaleLine{
		Name:   figure.Name,
		Unit:   figure.Unit,
		Kind:   figure.Kind,
		Values: make([]string, len(t.Runs)),
	})
	return &t.Lines[len(t.Lines)-1]
}
