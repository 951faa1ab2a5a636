package simulator

import (
	"cmp"
	"runtime"
	"slices"
	"sync"
)

// RunAll runs each scenario with each seed, on all cores, and returns the results by scenario, then by seed. They do not
// depend on the number of cores. done, which may be nil, is called after each run, never concurrently.
func RunAll(scenarios []Scenario, seeds []uint64, done func()) ([][]Result, error) {
	results := make([][]Result, len(scenarios))
	for i := range results {
		results[i] = make([]Result, len(seeds))
	}
	var running sync.WaitGroup
	var mutex sync.Mutex
	var firstErr error
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, scenario := range scenarios {
		for j, seed := range seeds {
			slots <- struct{}{}
			running.Go(func() {
				defer func() { <-slots }()
				simulation, err := New(scenario, seed, nil)
				if err == nil {
					results[i][j] = simulation.Run()
				}
				mutex.Lock()
				defer mutex.Unlock()
				firstErr = cmp.Or(firstErr, err)
				if done != nil {
					done()
				}
			})
		}
	}
	running.Wait()
	return results, firstErr
}

// Seeds lists count consecutive seeds.
func Seeds(first uint64, count int) []uint64 {
	seeds := make([]uint64, count)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}

// ScenarioResult is a result with its scenario.
type ScenarioResult struct {
	Scenario Scenario
	Result   Result
}

// Worst lists the count worst runs: those with violations first, then by score.
func Worst(scenarios []Scenario, results [][]Result, count int) []ScenarioResult {
	var worst []ScenarioResult
	for i, list := range results {
		for _, result := range list {
			worst = append(worst, ScenarioResult{Scenario: scenarios[i], Result: result})
		}
	}
	slices.SortStableFunc(worst, func(a, b ScenarioResult) int {
		byViolation := cmp.Compare(min(len(b.Result.Violations), 1), min(len(a.Result.Violations), 1))
		return cmp.Or(byViolation, cmp.Compare(a.Result.Score, b.Result.Score))
	})
	return worst[:min(count, len(worst))]
}
