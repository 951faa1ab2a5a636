package capacity

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// Config says what Measure measures, and for how long.
type Config struct {
	Program     string                     // path of the daemon, dispatcher-serve
	Sizes       []int                      // numbers of listed workers to measure
	Repetitions int                        // number of measurements at each size
	IdleTime    time.Duration              // how long the daemon is measured while nothing changes
	DeltaTime   time.Duration              // how long the daemon is measured while workers change one by one
	DeltaRate   float64                    // changes per second during DeltaTime
	OnProgress  func(size, repetition int) // called before each measurement; may be nil

	ModuleOnly bool // measure the decision machine only
}

const (
	kindName            = "standard"
	cellWorkers         = 40 // number of workers in a cell, which the endpoint list calls block; no decision in these measurements depends on it
	idleSampleInterval  = 50 * time.Millisecond
	requiredIdleSamples = 4                     // consecutive samples in which the daemon must be idle
	maxIdleCPU          = time.Millisecond      // processor time between two samples up to which the daemon counts as idle
	idleTimeout         = 60 * time.Second      // how long to wait for the daemon to become idle
	deltaPollInterval   = 50 * time.Microsecond // between checks whether a delta has arrived
	deltaTimeout        = 10 * time.Second
	lostZone            = 3 // number of the zone whose loss is measured
)

var errNotIdle = errors.New("the daemon does not become idle")

// workerName returns the name of a listed worker.
func workerName(number int) string { return fmt.Sprintf("worker-%05d", number) }

// listedWorker returns a worker as discovery lists it.
func listedWorker(number int) standin.Host {
	zone := number % Zones
	numberInZone := number / Zones
	return standin.Host{
		Host:   workerName(number),
		Dial:   fmt.Sprintf("10.%d.%d.%d:7001", zone, numberInZone/250, numberInZone%250+1),
		Site:   zoneNames()[zone],
		Class:  kindName,
		Block:  number / cellWorkers,
		Health: standin.HealthReady,
		Share:  1,
	}
}

// Measure measures, at each size and as often as configured, a daemon without clients that is connected to a stand-in
// discovery, and the decision machine without a daemon. It returns what starts, idle time, changes and requests cost
// them.
func Measure(config Config) (Slopes, error) {
	slopes := Slopes{
		Date:        time.Now().Format(time.DateOnly),
		Cores:       runtime.NumCPU(),
		Zones:       Zones,
		Repetitions: config.Repetitions,
		Sizes:       config.Sizes,
	}
	for repetition := range config.Repetitions {
		for _, size := range config.Sizes {
			if config.OnProgress != nil {
				config.OnProgress(size, repetition)
			}
			if !config.ModuleOnly {
				if err := measureDaemon(&slopes, config, size); err != nil {
					return slopes, fmt.Errorf("%d workers: %w", size, err)
				}
			}
			if err := measureModule(&slopes, size); err != nil {
				return slopes, fmt.Errorf("%d workers: %w", size, err)
			}
		}
		if err := measureAxes(&slopes); err != nil {
			return slopes, err
		}
	}
	return slopes, nil
}
