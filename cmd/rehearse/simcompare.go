package main

import (
	"fmt"

	"hollyyoke.example/hollyyoke/internal/rehearsal/simulator"
)

// simCompareCmd compares two scenarios.
type simCompareCmd struct {
	ScenarioA string `arg:"" name:"a" help:"Scenario file."`
	ScenarioB string `arg:"" name:"b" help:"Scenario file to compare it with."`
	Seeds     int    `default:"100" help:"Number of pairs of runs, each with the next seed."`
	FirstSeed uint64 `name:"from" default:"1" help:"The first seed."`
}

// Run compares the scenarios.
func (c *simCompareCmd) Run(env *environment) error {
	scenarios, err := readScenarios(c.ScenarioA, c.ScenarioB)
	if err != nil {
		return err
	}
	results, err := runAll(env, scenarios, simulator.Seeds(c.FirstSeed, max(c.Seeds, 2)))
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
	fmt.Fprintf(env.out, "A %s %.4f, B %s %.4f; B less A %+.4f, 95%% between %+.4f and %+.4f; A was better in %d of %d pairs, %d even: %s\n",
		scenarios[0].Name, comparison.MeanA, scenarios[1].Name, comparison.MeanB, comparison.MeanDifference, comparison.Low, comparison.High,
		comparison.ABetter, comparison.Pairs, comparison.Even, conclusion)
	return nil
}
