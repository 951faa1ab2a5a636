package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"runtime/debug"
	"text/tabwriter"
	"time"

	"github.com/BurntSushi/toml"

	"hollyyoke.example/hollyyoke/internal/rehearsal/simulator"
)

// simCmd groups the commands of the simulator.
type simCmd struct {
	Run     simRunCmd     `cmd:"" help:"Run a scenario in virtual time, and check its invariants."`
	Hunt    simHuntCmd    `cmd:"" help:"Run scenarios with many seeds on all cores, and list the worst runs."`
	Compare simCompareCmd `cmd:"" help:"Run two scenarios with the same seeds, and report whether they differ."`
	Shrink  simShrinkCmd  `cmd:"" help:"Reduce a scenario to the smallest whose run with that seed is still bad."`
}

// simHuntCmd looks for bad runs.
type simHuntCmd struct {
	Scenarios []string `arg:"" name:"scenario" help:"Scenario files."`
	Seeds     int      `default:"100" help:"Runs of each."`
	From      uint64   `default:"1" help:"The first seed."`
	Worst     int      `default:"10" help:"Runs to list."`
}

// simCompareCmd compares two scenarios.
type simCompareCmd struct {
	ScenarioA string `arg:"" name:"a" help:"Scenario file."`
	ScenarioB string `arg:"" name:"b" help:"The other."`
	Seeds     int    `default:"100" help:"Pairs of runs."`
	From      uint64 `default:"1" help:"The first seed."`
}

// simShrinkCmd reduces a scenario.
type simShrinkCmd struct {
	Scenario string `arg:"" help:"Scenario file."`
	Seed     uint64 `default:"1" help:"Of the bad run."`
	When     string `enum:"broken,failed,refused,late" default:"broken" help:"What makes a run bad: a violated invariant, or a request that failed, was rejected or was late."`
	Out      string `short:"o" placeholder:"FILE" help:"Where the small scenario goes; standard output if absent."`
}

// simRunCmd runs one scenario.
type simRunCmd struct {
	Scenario string `arg:"" help:"Scenario file, as deploy/scenarios/day.toml."`
	Seed     uint64 `default:"1" help:"Of all randomness; the same scenario and seed give the same events."`
	Log      string `placeholder:"FILE" help:"Write every event, a line each: nanosecond, dispatcher (-1: a worker), step, id, details."`
	JSON     bool   `name:"json" help:"The result as JSON."`
}

// readScenarios reads scenario files and lifts the memory limit for their runs.
func readScenarios(paths ...string) ([]simulator.Scenario, error) {
	debug.SetMemoryLimit(math.MaxInt64)
	var scenarios []simulator.Scenario
	for _, path := range paths {
		scenario, err := simulator.ReadScenario(path)
		if err != nil {
			return nil, err
		}
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}

// runAll runs scenarios and shows the progress.
func runAll(e *environment, scenarios []simulator.Scenario, seeds []uint64) ([][]simulator.Result, error) {
	show := progressBar(e, len(scenarios)*len(seeds))
	done := 0
	return simulator.RunAll(scenarios, seeds, func() {
		done++
		if show != nil {
			show(done)
		}
	})
}

// Run runs the scenarios and fails if an invariant was violated.
func (c *simHuntCmd) Run(e *environment) error {
	scenarios, err := readScenarios(c.Scenarios...)
	if err != nil {
		return err
	}
	results, err := runAll(e, scenarios, simulator.Seeds(c.From, max(c.Seeds, 1)))
	if err != nil {
		return err
	}
	violated, runs := writeScores(e.out, scenarios, results)
	fmt.Fprintln(e.out, "the worst:")
	for _, worst := range simulator.Worst(scenarios, results, c.Worst) {
		writeRun(e.out, worst)
	}
	if violated > 0 {
		return violationError{fmt.Sprintf("invariants violated in %d of %d runs", violated, runs)}
	}
	return nil
}

// writeScores writes a row for each scenario. It returns the number of runs with violations, and of all runs.
func writeScores(out io.Writer, scenarios []simulator.Scenario, results [][]simulator.Result) (violated, runs int) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\truns\tmean\tworst\tbest\tviolated\t")
	for i, list := range results {
		sum := 0.0
		low := math.Inf(1)
		high := math.Inf(-1)
		bad := 0
		for _, result := range list {
			sum += result.Score
			low = min(low, result.Score)
			high = max(high, result.Score)
			bad += min(len(result.Violations), 1)
		}
		violated += bad
		runs += len(list)
		fmt.Fprintf(table, "%s\t%d\t%.4f\t%.4f\t%.4f\t%d\t\n", scenarios[i].Name, len(list), sum/float64(len(list)), low, high, bad)
	}
	table.Flush()
	return violated, runs
}

// writeRun writes one run with its classes and violations.
func writeRun(out io.Writer, run simulator.ScenarioResult) {
	fmt.Fprintf(out, "  %s, seed %d: %.4f", run.Scenario.Name, run.Result.Seed, run.Result.Score)
	for _, class := range run.Result.Classes {
		fmt.Fprintf(out, "; %s %.3f (rejected %d, failed %d, late %d)", class.Name, class.WeightShare, class.Rejected, class.Failed, class.Late)
	}
	fmt.Fprintln(out)
	for _, violation := range run.Result.Violations {
		fmt.Fprintln(out, "    BROKEN", violation)
	}
}

// Run compares the scenarios.
func (c *simCompareCmd) Run(e *environment) error {
	scenarios, err := readScenarios(c.ScenarioA, c.ScenarioB)
	if err != nil {
		return err
	}
	results, err := runAll(e, scenarios, simulator.Seeds(c.From, max(c.Seeds, 2)))
	if err != nil {
		return err
	}
	comparison := simulator.Compare(results[0], results[1])
	conclusion := "B is better"
	switch {
	case comparison.Inconclusive:
		conclusion = "noise: the interval holds 0"
	case comparison.MeanDifference < 0:
		conclusion = "A is better"
	}
	fmt.Fprintf(e.out, "A %s %.4f, B %s %.4f; B less A %+.4f, 95%% between %+.4f and %+.4f; A was better in %d of %d pairs, %d even: %s\n",
		scenarios[0].Name, comparison.MeanA, scenarios[1].Name, comparison.MeanB, comparison.MeanDifference, comparison.Low, comparison.High,
		comparison.ABetter, comparison.Pairs, comparison.Even, conclusion)
	return nil
}

// bad returns what makes a run bad by --when.
func (c *simShrinkCmd) bad() func(simulator.Result) bool {
	count := func(class *simulator.ClassResult) int {
		switch c.When {
		case "failed":
			return class.Failed
		case "refused":
			return class.Rejected
		default:
			return class.Late
		}
	}
	return func(result simulator.Result) bool {
		if c.When == "broken" {
			return len(result.Violations) > 0
		}
		sum := 0
		for i := range result.Classes {
			sum += count(&result.Classes[i])
		}
		return sum > 0
	}
}

// Run reduces the scenario.
func (c *simShrinkCmd) Run(e *environment) error {
	scenarios, err := readScenarios(c.Scenario)
	if err != nil {
		return err
	}
	bad := c.bad()
	simulation, err := simulator.New(scenarios[0], c.Seed, nil)
	if err != nil {
		return err
	}
	if !bad(simulation.Run()) {
		return fmt.Errorf("%s: with seed %d nothing is %s", c.Scenario, c.Seed, c.When)
	}
	small, runs, err := simulator.Shrink(scenarios[0], c.Seed, bad)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "# Seed %d: %s. Reduced from %s in %d runs.\n", c.Seed, c.When, scenarios[0].Name, runs)
	if err := toml.NewEncoder(&text).Encode(small); err != nil {
		return err
	}
	if c.Out == "" {
		_, err = e.out.Write(text.Bytes())
		return err
	}
	return os.WriteFile(c.Out, text.Bytes(), 0o644)
}

// Run runs the scenario and fails if an invariant was violated.
func (c *simRunCmd) Run(e *environment) (err error) {
	scenarios, err := readScenarios(c.Scenario)
	if err != nil {
		return err
	}
	var log io.Writer
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return err
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
		if err := writeJSON(e.out, result); err != nil {
			return err
		}
	} else {
		writeResult(e.out, result, time.Since(startedAt))
	}
	for _, violation := range result.Violations {
		fmt.Fprintln(e.out, "BROKEN", violation)
	}
	if len(result.Violations) > 0 {
		return violationError{fmt.Sprintf("%d invariants violated", len(result.Violations))}
	}
	return nil
}

// writeResult writes a table of the classes. elapsed is the real time that the run took.
func writeResult(out io.Writer, result simulator.Result, elapsed time.Duration) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\trequests\tin objective\tlate\trejected\tfailed\tno answer\tp50 ms\tp90 ms\tp99 ms\tweight\t")
	for _, class := range result.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.3f\t\n", class.Name, class.Requests, class.WithinObjective, class.Late,
			class.Rejected, class.Failed, class.Unanswered, class.P50Ms, class.P90Ms, class.P99Ms, class.WeightShare)
	}
	table.Flush()
	fmt.Fprintf(out, "%s, seed %d: %.4f of the priority weight requested; %d events, hash %s, %.2f s of real time\n",
		result.Scenario, result.Seed, result.Score, result.Events, result.Hash, elapsed.Seconds())
}
