package scale

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
)

// Record is the JSON form of one run. A file holds a list of records, one for each mechanism:
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
	Dispatchers int       `json:"dispatchers"` // hollow dispatchers
	Daemons     int       `json:"real"`
	Mechanism   Mechanism `json:"mechanism"`
	Scenario    string    `json:"scenario"`
	Figures     Figures   `json:"figures"`
	Violations  []string  `json:"broken"` // violated bounds and invariants
}

// Record returns the run's figures, and the violations of invariants and of its scenario's bounds. command is the command
// line that repeats the run.
func (r *Run) Record(command string) Record {
	figures := r.Figures()
	violations := append([]string{}, r.Violations()...) // not nil, which JSON would encode as null instead of an empty list
	violations = append(violations, r.Scenario.Bounds.Violations(r.Mechanism, figures)...)
	return Record{
		Command:     command,
		Seed:        r.Scenario.Seed,
		Workers:     r.Scenario.Workers,
		Dispatchers: r.Scenario.Dispatchers,
		Daemons:     r.Scenario.Daemons,
		Mechanism:   r.Mechanism,
		Scenario:    r.Scenario.Name,
		Figures:     figures,
		Violations:  violations,
	}
}

// WriteJSON writes records as an indented JSON list.
func WriteJSON(out io.Writer, records []Record) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(records)
}

// WriteTable writes a table of runs of one scenario, with a column for each run, and below it the comparison of hollow
// dispatchers with daemons and the violations.
func WriteTable(out io.Writer, runs []*Run, records []Record) {
	scenario := &runs[0].Scenario
	fmt.Fprintf(out, "%s: %d workers in %d zones of %d regions, %d hollow and %d real dispatchers, seed %d\n",
		scenario.Name, scenario.Workers, scenario.Zones, scenario.Regions, scenario.Dispatchers, scenario.Daemons, scenario.Seed)
	if scenario.Background.TimeFactor > 0 {
		fmt.Fprintf(out, "time runs %g times as fast: %.4g s of the run are an hour\n", scenario.Background.TimeFactor, 3600/scenario.Background.TimeFactor)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "figure\tunit\t")
	for _, record := range records {
		fmt.Fprintf(table, "%s\t", record.Mechanism)
	}
	fmt.Fprintln(table)
	for _, name := range figureNames(records) {
		writeRow(table, name, records)
	}
	table.Flush()
	for _, run := range runs {
		writeComparisons(out, run)
	}
	for _, record := range records {
		for _, violation := range record.Violations {
			fmt.Fprintln(out, "BROKEN", violation)
		}
	}
}

// writeRow writes the row of one figure, with a cell for each record.
func writeRow(out io.Writer, name string, records []Record) {
	unit := ""
	cells := ""
	for _, record := range records {
		cell := "-"
		i := slices.IndexFunc(record.Figures, func(figure Figure) bool { return figure.Name == name })
		if i >= 0 {
			unit = record.Figures[i].Unit
			cell = fmt.Sprintf("%.4g", record.Figures[i].Value)
		}
		cells += cell + "\t"
	}
	fmt.Fprintf(out, "%s\t%s\t%s\n", name, unit, cells)
}

// figureNames returns the names of all figures of any record, in the order of their first occurrence.
func figureNames(records []Record) (names []string) {
	for _, record := range records {
		for _, figure := range record.Figures {
			if !slices.Contains(names, figure.Name) {
				names = append(names, figure.Name)
			}
		}
	}
	return names
}

// writeComparisons writes one line for each compared metric, which says how hollow dispatchers differ from daemons.
func writeComparisons(out io.Writer, run *Run) {
	for _, comparison := range run.Compare() {
		fmt.Fprintf(out, "%s: %s of a hollow dispatcher %.4g, of a real one in its zone %.4g: %+.0f%%", run.Mechanism, comparison.Metric, comparison.Hollow, comparison.Real, 100*comparison.Deviation)
		if comparison.Reason != "" {
			fmt.Fprintf(out, " DIFFERS: %s", comparison.Reason)
		}
		fmt.Fprintln(out)
	}
}

// WriteChanges writes CSV with a line for each version of each run: when it was published, how long it took until the last
// reachable dispatcher had applied it, and which dispatcher that was. If a reachable dispatcher never applied it, the line
// has "never" instead of the time, and names that dispatcher.
func WriteChanges(out io.Writer, runs []*Run) error {
	records := csv.NewWriter(out)
	records.Write([]string{"mechanism", "version", "made_s", "phase", "in_force_s", "last_at"})
	for _, run := range runs {
		startedAt := run.samples[0].sharedTime
		for _, published := range run.tracker.publishedVersions {
			reached := run.tracker.propagationOf(published)
			inForce := "never"
			if reached.everywhere {
				inForce = fmt.Sprintf("%.4f", reached.delay.Seconds())
			}
			records.Write([]string{
				string(run.Mechanism),
				strconv.FormatInt(published.version, 10),
				fmt.Sprintf("%.4f", (published.publishedAt - startedAt).Seconds()),
				published.phase,
				inForce,
				reached.lastDispatcher,
			})
		}
	}
	records.Flush()
	return records.Error()
}
