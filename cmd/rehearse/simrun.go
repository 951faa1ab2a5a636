package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/simulator"
)

// simRunCmd runs one scenario.
type simRunCmd struct {
	Scenario string `arg:"" help:"Scenario file, such as deploy/scenarios/day.toml."`
	Seed     uint64 `default:"1" help:"Seed of all random numbers; the same scenario and seed give the same events."`
	Log      string `placeholder:"FILE" help:"File to write every event to, a line each: nanosecond, dispatcher (-1 for a worker), step, id, details."`
	JSON     bool   `name:"json" help:"Print the result as JSON."`
}

// Run runs the scenario and fails if an invariant was violated.
func (c *simRunCmd) Run(env *environment) (err error) {
	scenarios, err := readScenarios(c.Scenario)
	if err != nil {
		return err
	}
	var log io.Writer // nil if no log is written
	if c.Log != "" {
		file, createErr := os.Create(c.Log) // not named err, so that the deferred function sets the result
		if createErr != nil {
			return createErr
		}
		buffered := bufio.NewWriter(file)
		defer func() {
			closing := errors.Join(buffered.Flush(), file.Close())
			if err == nil {
				err = closing
			}
		}()
		log = buffered
	}
	startedAt := time.Now()
	simulation, err := simulator.New(scenarios[0], c.Seed, log)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Scenario, err)
	}
	result := simulation.Run()
	if c.JSON {
		if err := writeJSON(env.out, result); err != nil {
			return err
		}
	} else {
		writeResult(env.out, result, time.Since(startedAt))
	}
	for _, violation := range result.Violations {
		fmt.Fprintln(env.out, "BROKEN", violation)
	}
	if len(result.Violations) > 0 {
		return violationError{fmt.Sprintf("%d invariants violated", len(result.Violations))}
	}
	return nil
}

// newTable makes a table of right-aligned columns, whose cells end with tabs.
func newTable(out io.Writer) *tabwriter.Writer {
	const (
		minCellWidth = 0
		tabWidth     = 0
		padding      = 2
	)
	return tabwriter.NewWriter(out, minCellWidth, tabWidth, padding, ' ', tabwriter.AlignRight)
}

// writeResult writes a table of the classes. elapsed is the real time that the run took.
func writeResult(out io.Writer, result simulator.Result, elapsed time.Duration) {
	table := newTable(out)
	fmt.Fprintln(table, "class\trequests\tin objective\tlate\trejected\tfailed\tno answer\tp50 ms\tp90 ms\tp99 ms\tweight\t")
	for _, class := range result.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.3f\t\n", class.Name, class.Requests, class.WithinObjective, class.Late,
			class.Rejected, class.Failed, class.Unanswered, class.P50Ms, class.P90Ms, class.P99Ms, class.WeightShare)
	}
	table.Flush()
	fmt.Fprintf(out, "%s, seed %d: %.4f of the priority weight requested; %d events, hash %s, %.2f s of real time\n",
		result.Scenario, result.Seed, result.Score, result.Events, result.Hash, elapsed.Seconds())
}
