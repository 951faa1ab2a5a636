package scale

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

// This file owns how a run is told: a table that sets the mechanisms side by
// side, and JSON for programs.

// Record is one run as JSON. A file holds a list of them, one for each mechanism:
//
//	[{"command": "rehearse scale deploy/scenarios/scale/zone.toml",
//	  "seed": 27, "workers": 21000, "dispatchers": 68, "real": 2,
//	  "mechanism": "relays", "scenario": "zone",
//	  "figures": [{"name": "in_force.calm.p99", "unit": "s", "value": 0.08, "kind": "measured"}, ...],
//	  "broken": []}]
type Record struct {
	Command     string    `json:"command"`
	Seed        uint64    `json:"seed"`
	Workers     int       `json:"workers"`
	Dispatchers int       `json:"dispatchers"` // hollow ones
	Real        int       `json:"real"`
	Mechanism   Mechanism `json:"mechanism"`
	Scenario    string    `json:"scenario"`
	Figures     Figures   `json:"figures"`
	Broken      []string  `json:"broken"` // bounds and rules
}

// Record judges a run and words it.
func (r *Run) Record(command string) Record {
	figures := r.Figures()
	broken := append([]string{}, r.Faults()...)
	return Record{Command: command, Seed: r.Scenario.Seed, Workers: r.Scenario.Workers, Dispatchers: r.Scenario.Dispatchers,
		Real: r.Scenario.Real, Mechanism: r.Mechanism, Scenario: r.Scenario.Name, Figures: figures,
		Broken: append(broken, r.Scenario.Bounds.Broken(r.Mechanism, figures)...)}
}

// WriteJSON writes records as an indented list.
func WriteJSON(w io.Writer, records []Record) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(records)
}

// WriteTable writes runs of one scenario side by side.
func WriteTable(w io.Writer, runs []*Run, records []Record) {
	s := &runs[0].Scenario
	fmt.Fprintf(w, "%s: %d workers in %d zones of %d regions, %d hollow and %d real dispatchers, seed %d\n",
		s.Name, s.Workers, s.Zones, s.Regions, s.Dispatchers, s.Real, s.Seed)
	if s.Day.Factor > 0 {
		fmt.Fprintf(w, "the day passes %g times as fast: %.4g s of the run are an hour\n", s.Day.Factor, 3600/s.Day.Factor)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "figure\tunit\t")
	for _, record := range records {
		fmt.Fprintf(table, "%s\t", record.Mechanism)
	}
	fmt.Fprintln(table)
	for _, name := range names(records) {
		writeRow(table, name, records)
	}
	table.Flush()
	for _, run := range runs {
		writeComparisons(w, run)
	}
	for _, record := range records {
		for _, broken := range record.Broken {
			fmt.Fprintln(w, "BROKEN", broken)
		}
	}
}

func writeRow(w io.Writer, name string, records []Record) {
	unit, cells := "", ""
	for _, record := range records {
		cell := "-"
		if i := slices.IndexFunc(record.Figures, func(f Figure) bool { return f.Name == name }); i >= 0 {
			unit, cell = record.Figures[i].Unit, fmt.Sprintf("%.4g", record.Figures[i].Value)
		}
		cells += cell + "\t"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\n", name, unit, cells)
}

// names are those of all figures, in the order of their first record.
func names(records []Record) (list []string) {
	for _, record := range records {
		for _, figure := range record.Figures {
			if !slices.Contains(list, figure.Name) {
				list = append(list, figure.Name)
			}
		}
	}
	return list
}

func writeComparisons(w io.Writer, run *Run) {
	for _, c := range run.Compare() {
		fmt.Fprintf(w, "%s: %s of a hollow dispatcher %.4g, of a real one in its zone %.4g: %+.0f%%", run.Mechanism, c.What, c.Hollow, c.Real, 100*c.Apart)
		if c.Why != "" {
			fmt.Fprintf(w, " DIFFERS: %s", c.Why)
		}
		fmt.Fprintln(w)
	}
}

// WriteChanges writes each change of runs as a line of CSV: when it was made and
// how long it took until the last reachable dispatcher had it in force.
func WriteChanges(w io.Writer, runs []*Run) error {
	out := csv.NewWriter(w)
	out.Write([]string{"mechanism", "version", "made_s", "phase", "in_force_s", "last_at"})
	for _, run := range runs {
		began := time.Duration(run.samples[0].at.UnixNano())
		for _, change := range run.tracker.changes {
			last, slowest, everywhere := run.tracker.spread(change)
			took := "never"
			if everywhere {
				took = fmt.Sprintf("%.4f", last.Seconds())
			}
			out.Write([]string{string(run.Mechanism), strconv.FormatInt(change.version, 10),
				fmt.Sprintf("%.4f", (change.at - began).Seconds()), change.phase, took, slowest})
		}
	}
	out.Flush()
	return out.Error()
}
