package simulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// FaultKind is what a fault does. Its values are written in scenario files and in the event log.
type FaultKind string

// The kinds of faults.
const (
	FaultSlow    FaultKind = "slow"    // workers run at a fraction of their speed
	FaultPause   FaultKind = "pause"   // workers stop executing attempts, without reporting it
	FaultKill    FaultKind = "kill"    // workers' processes end, and start again at the end of the fault
	FaultDrain   FaultKind = "drain"   // workers are draining
	FaultJoin    FaultKind = "join"    // workers are down until the fault begins, and then start cold
	FaultBurst   FaultKind = "burst"   // clients send more requests
	FaultRestart FaultKind = "restart" // dispatchers' processes end, and start again at the end of the fault
)

var faultKinds = []FaultKind{FaultSlow, FaultPause, FaultKill, FaultDrain, FaultJoin, FaultBurst, FaultRestart}

// Fault is one fault of a scenario.
type Fault struct {
	Kind        FaultKind `toml:"kind"`
	AtS         float64   `toml:"at_s"`        // beginning, in seconds since the start of the run
	ForS        float64   `toml:"for_s"`       // duration, in seconds
	Workers     int       `toml:"workers"`     // number of workers, which are drawn by the seed
	Zone        string    `toml:"zone"`        // restricts the fault to workers of this zone; all of them if workers is absent
	Dispatchers int       `toml:"dispatchers"` // for restart: number of dispatchers, which are drawn by the seed
	Factor      float64   `toml:"factor"`      // for slow: factor on the speed; for burst: factor on the rate of requests
}

// affectsWorkers reports whether the fault affects workers rather than dispatchers or the load.
func (f *Fault) affectsWorkers() bool { return f.Kind != FaultBurst && f.Kind != FaultRestart }

func faultKindNames() string {
	names := make([]string, len(faultKinds))
	for i, kind := range faultKinds {
		names[i] = string(kind)
	}
	return strings.Join(names, ", ")
}

// scheduleFault schedules the beginning and the end of a fault.
func (s *Simulation) scheduleFault(number int, fault Fault) {
	random := s.randomStream(fmt.Sprint("fault ", number))
	begin := runStart + seconds(fault.AtS)
	end := runStart + seconds(fault.AtS+fault.ForS)
	switch fault.Kind {
	case FaultBurst: // Scenario.rateAt applies it
	case FaultRestart:
		for _, i := range random.Perm(len(s.dispatchers))[:fault.Dispatchers] {
			target := s.dispatchers[i]
			s.scheduleAt(begin, target.kill)
			s.scheduleAt(end, target.restart)
		}
	default:
		for _, target := range s.faultTargets(fault, random) {
			if fault.Kind == FaultJoin {
				target.down = true
			}
			s.scheduleAt(begin, func() { target.beginFault(fault) })
			s.scheduleAt(end, func() { target.endFault(fault) })
		}
	}
}

// faultTargets draws the workers that a fault affects.
func (s *Simulation) faultTargets(fault Fault, random *rand.Rand) []*worker {
	var targets []*worker
	wholeZone := fault.Workers == 0 && fault.Zone != ""
	for _, i := range random.Perm(len(s.workers)) {
		candidate := s.workers[i]
		if fault.Zone != "" && s.scenario.Net.Zones[candidate.zone] != fault.Zone {
			continue
		}
		if len(targets) < fault.Workers || wholeZone {
			targets = append(targets, candidate)
		}
	}
	return targets
}

// beginFault applies a fault to the worker.
func (w *worker) beginFault(fault Fault) {
	w.simulation.logEvent(workerSource, string(fault.Kind), w.name)
	switch fault.Kind {
	case FaultSlow:
		w.changePace(func() { w.speedFactor = fault.Factor })
	case FaultPause:
		w.changePace(func() { w.paused = true })
	case FaultKill:
		w.kill()
		w.simulation.announceChange(w)
	case FaultDrain:
		w.draining = true
		w.simulation.announceChange(w)
	case FaultJoin:
		w.start()
	}
}

// endFault ends a fault of the worker.
func (w *worker) endFault(fault Fault) {
	w.simulation.logEvent(workerSource, "end of "+string(fault.Kind), w.name)
	switch fault.Kind {
	case FaultSlow:
		w.changePace(func() { w.speedFactor = 1 })
	case FaultPause:
		w.changePace(func() { w.paused = false })
	case FaultKill:
		w.start()
	case FaultDrain:
		w.draining = false
		w.simulation.announceChange(w)
	}
}
