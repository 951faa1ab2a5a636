package capacity

import (
	"fmt"
	"runtime"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// measureModule measures the decision module at one number of workers.
func measureModule(slopes *Slopes, workers int) error {
	for _, requests := range []struct {
		series       SeriesName
		oneInWarming int // one worker in so many is warming up; 0: none
		count        int
	}{
		{series: ModuleWarm, count: warmRequests},
		{series: ModuleCold, oneInWarming: warmingOneIn, count: warmingRequests},
	} {
		started, err := newModule(workers, requests.oneInWarming, daemonPeers, daemonTeams)
		if err != nil {
			return err
		}
		runtime.GC()
		mean, median, err := started.measureRequests(requests.count, daemonTeams)
		if err != nil {
			return fmt.Errorf("%s: %w", requests.series, err)
		}
		slopes.record(requests.series, UnitSeconds, AxisWorkers, workers, mean)
		if requests.series == ModuleCold {
			slopes.record(ModulePick, UnitSeconds, AxisWorkers, workers, median)
		}
	}
	started, err := newModule(workers, 0, daemonPeers, daemonTeams)
	if err != nil {
		return err
	}
	slopes.record(ModuleDelta, UnitSeconds, AxisWorkers, workers, started.measureDeltas(moduleDeltas, workers).Seconds())
	return nil
}

// measureAxes measures the decision module by the numbers of teams and of running tasks.
func measureAxes(slopes *Slopes) error {
	for _, teams := range teamCounts {
		started, err := newModule(teamAxisWorkers, 0, daemonPeers, teams)
		if err != nil {
			return err
		}
		mean, _, err := started.measureRequests(warmRequests, teams)
		if err != nil {
			return fmt.Errorf("%s: %w", ModuleTeams, err)
		}
		slopes.record(ModuleTeams, UnitSeconds, AxisTeams, teams, mean)
	}
	for _, tasks := range taskCounts {
		if err := measureRunningTasks(slopes, tasks); err != nil {
			return fmt.Errorf("%s: %w", ModuleHeld, err)
		}
	}
	return nil
}

// measureRunningTasks measures what running tasks cost while nothing happens to them.
func measureRunningTasks(slopes *Slopes, tasks int) error {
	started, err := newModule(taskAxisWorkers, 0, 1, 1)
	if err != nil {
		return err
	}
	before := heap()
	placed := 0
	for range tasks {
		if _, worker := started.request(0, clientDeadline); worker != "" {
			placed++
		}
	}
	if placed < tasks {
		return fmt.Errorf("%d of %d tasks were assigned to a worker", placed, tasks)
	}
	slopes.record(ModuleHeld, UnitBytes, AxisTasks, tasks, heap()-before)
	const sweeps = 20
	startedAt := time.Now()
	for range sweeps {
		started.handle(decision.Event{Kind: decision.TimerFired, Timer: sweepTimerID})
	}
	slopes.record(ModuleSweep, UnitSeconds, AxisTasks, tasks, time.Since(startedAt).Seconds()/sweeps)
	runtime.KeepAlive(started)
	return nil
}

// heap returns the memory in use after a garbage collection, in bytes.
func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
