package capacity

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// Config says what Measure measures.
type Config struct {
	Program     string                     // the daemon, dispatcher-serve
	Sizes       []int                      // listed workers
	Repetitions int                        // of each size
	IdleTime    time.Duration              // how long nothing changes
	DeltaTime   time.Duration              // how long workers change one by one
	DeltaRate   float64                    // changes per second in that time
	OnProgress  func(size, repetition int) // may be nil

	ModuleOnly bool // measure the decision module only
}

const (
	kindName             = "standard"
	cellWorkers          = 40 // workers of a cell; no decision here depends on it
	steadySampleInterval = 50 * time.Millisecond
	steadySamples        = 4                     // consecutive samples at which the daemon is nearly idle
	maxSteadyCPU         = time.Millisecond      // processor time in one of them
	steadyTimeout        = 60 * time.Second      // until the daemon must be idle
	deltaPollInterval    = 50 * time.Microsecond // between checks whether a delta has arrived
	deltaTimeout         = 10 * time.Second
	lostZone             = 3 // the number of the zone that is lost
)

var errNotSteady = errors.New("the daemon does not become idle")

// workerName names a worker of the list.
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

// Measure runs a daemon without clients against a stand-in discovery at each size, and the decision module alone, and
// returns the cost of what happens to them.
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
