package main

import (
	"math"
	"runtime/debug"

	"hollyyoke.example/hollyyoke/internal/rehearsal/simulator"
)

// simCmd groups the commands of the simulator.
type simCmd struct {
	Run     simRunCmd     `cmd:"" help:"Run a scenario in virtual time, and check its invariants."`
	Hunt    simHuntCmd    `cmd:"" help:"Run scenarios with many seeds on all cores, and list the worst runs."`
	Compare simCompareCmd `cmd:"" help:"Run two scenarios with the same seeds, and report whether they differ."`
	Shrink  simShrinkCmd  `cmd:"" help:"Reduce a scenario as far as possible while its run with a seed is still bad."`
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

// runAll runs each scenario with each seed and shows the progress. The results are in the order of scenarios and seeds.
func runAll(env *environment, scenarios []simulator.Scenario, seeds []uint64) ([][]simulator.Result, error) {
	showProgress := progressBar(env, len(scenarios)*len(seeds))
	done := 0
	return simulator.RunAll(scenarios, seeds, func() {
		done++
		if showProgress != nil {
			showProgress(done)
		}
	})
}
