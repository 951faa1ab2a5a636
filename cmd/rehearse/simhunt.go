package main

import (
	"fmt"
	"io"
	"math"

	"hollyyoke.example/hollyyoke/internal/rehearsal/simulator"
)

// simHuntCmd runs scenarios with many seeds and lists the worst runs.
type simHuntCmd struct {
	Scenarios []string `arg:"" name:"scenario" help:"Scenario files."`
	Seeds     int      `default:"100" help:"Number of runs of each scenario, each with the next seed."`
	FirstSeed uint64   `name:"from" default:"1" help:"The first seed."`
	Worst     int      `default:"10" help:"Number of runs to list."`
}

// Run runs the scenarios and fails if an invariant was violated.
func (c *simHuntCmd) Run(env *environment) error {
	scenarios, err := readScenarios(c.Scenarios...)
	if err != nil {
		return err
	}
	results, err := runAll(env, scenarios, simulator.Seeds(c.FirstSeed, max(c.Seeds, 1)))
	if err != nil {
		return err
	}
	writeScores(env.out, scenarios, results)
	fmt.Fprintln(env.out, "the worst:")
	for _, worst := range simulator.Worst(scenarios, results, c.Worst) {
		writeRun(env.out, worst)
	}
	return checkHunt(results)
}

// checkHunt returns a violationError if a run violated an invariant.
func checkHunt(results [][]simulator.Result) error {
	violated := 0
	runs := 0
	for _, ofScenario := range results {
		violated += countViolated(ofScenario)
		runs += len(ofScenario)
	}
	if violated > 0 {
		return violationError{fmt.Sprintf("invariants violated in %d of %d runs", violated, runs)}
	}
	return nil
}

// countViolated counts the runs that violated an invariant.
func countViolated(results []simulator.Result) int {
	violated := 0
	for _, result := range results {
		if len(result.Violations) > 0 {
			violated++
		}
	}
	return violated
}

// writeScores writes a row for each scenario.
func writeScores(out io.Writer, scenarios []simulator.Scenario, results [][]simulator.Result) {
	table := newTable(out)
	fmt.Fprintln(table, "scenario\truns\tmean\tworst\tbest\tviolated\t")
	for i, ofScenario := range results {
		sum := 0.0
		worst := math.Inf(1)
		best := math.Inf(-1)
		for _, result := range ofScenario {
			sum += result.Score
			worst = min(worst, result.Score)
			best = max(best, result.Score)
		}
		runs := len(ofScenario)
		fmt.Fprintf(table, "%s\t%d\t%.4f\t%.4f\t%.4f\t%d\t\n", scenarios[i].Name, runs, sum/float64(runs), worst, best, countViolated(ofScenario))
	}
	table.Flush()
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
