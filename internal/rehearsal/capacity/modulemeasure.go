package capacity

import (
	"fmt"
	"runtime"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// measureModule measures the decision machine once with the given number of listed workers.
func measureModule(slopes *Slopes, workers int) error {
	for _, requests := range []struct {
		series          SeriesName
		slowStartStride int // every slowStartStride-th worker is in slow start, or none if it is 0
		count           int
	}{
		{series: ModuleRequest, count: requestsPerRun},
		{series: ModuleSlowStartRequest, slowStartStride: moduleSlowStartStride, count: slowStartRequests},
	} {
		started, err := newModule(workers, requests.slowStartStride, daemonPeers, daemonTeams)
		if err != nil {
			return err
		}
		runtime.GC()
		mean, median, err := started.measureRequests(requests.count, daemonTeams)
		if err != nil {
			return fmt.Errorf("%s: %w", requests.series, err)
		}
		slopes.record(requests.series, UnitSeconds, AxisWorkers, workers, mean)
		if requests.series == ModuleSlowStartRequest {
			slopes.record(ModuleSlowStartRequestMedian, UnitSeconds, AxisWorkers, workers, median)
		}
	}
	started, err := newModule(workers, 0, daemonPeers, daemonTeams)
	if err != nil {
		return err
	}
	slopes.record(ModuleDelta, UnitSeconds, AxisWorkers, workers, started.measureDeltas(moduleDeltas, workers).Seconds())
	return nil
}

// measureAxes measures how the cost of the decision machine depends on the numbers of teams and of running tasks.
func measureAxes(slopes *Slopes) error {
	for _, teams := range teamCounts {
		started, err := newModule(teamAxisWorkers, 0, daemonPeers, teams)
		if err != nil {
			return err
		}
		mean, _, err := started.measureRequests(requestsPerRun, teams)
		if err != nil {
			return fmt.Errorf("%s: %w", ModuleRequestByTeams, err)
		}
		slopes.record(ModuleRequestByTeams, UnitSeconds, AxisTeams, teams, mean)
	}
	for _, tasks := range taskCounts {
		if err := measureRunningTasks(slopes, tasks); err != nil {
			return fmt.Errorf("%s: %w", ModuleTaskMemory, err)
		}
	}
	return nil
}

// measureRunningTasks measures the memory that running tasks occupy in the decision machine, and the time of a sweep
// over them.
func measureRunningTasks(slopes *Slopes, tasks int) error {
	started, err := newModule(taskAxisWorkers, 0, 1, 1)
	if err != nil {
		return err
	}
	before := liveHeapBytes()
	assigned := 0
	for range tasks {
		if _, worker := started.request(0, clientDeadline); worker != "" {
			assigned++
		}
	}
	if assigned < tasks {
		return fmt.Errorf("%d of %d tasks were assigned to a worker", assigned, tasks)
	}
	slopes.record(ModuleTaskMemory, UnitBytes, AxisTasks, tasks, liveHeapBytes()-before)
	const sweeps = 20
	startedAt := time.Now()
	for range sweeps {
		started.handle(decision.Event{Kind: decision.TimerFired, Timer: sweepTimerID})
	}
	slopes.record(ModuleSweep, UnitSeconds, AxisTasks, tasks, time.Since(startedAt).Seconds()/sweeps)
	runtime.KeepAlive(started)
	return nil
}

// liveHeapBytes runs a garbage collection and returns the size of the heap after it, in bytes.
func liveHeapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
