package simulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// FaultKind is what a fault does. Its texts are those of scenario files and of the event log.
type FaultKind string

// The kinds of faults.
const (
	FaultSlow    FaultKind = "slow"    // workers run at a share of their speed
	FaultPause   FaultKind = "pause"   // workers run nothing and report nothing of it
	FaultKill    FaultKind = "kill"    // workers' processes end, and start again afterwards
	FaultDrain   FaultKind = "drain"   // workers are draining
	FaultJoin    FaultKind = "join"    // workers are absent before and start cold
	FaultBurst   FaultKind = "burst"   // clients send more requests
	FaultRestart FaultKind = "restart" // dispatchers' processes end, and start again afterwards
)

var faultKinds = []FaultKind{FaultSlow, FaultPause, FaultKill, FaultDrain, FaultJoin, FaultBurst, FaultRestart}

// Fault is a fault that lasts for a time.
type Fault struct {
	Kind        FaultKind `toml:"kind"`
	AtS         float64   `toml:"at_s"`
	ForS        float64   `toml:"for_s"`
	Workers     int       `toml:"workers"`     // how many, drawn by the seed
	Zone        string    `toml:"zone"`        // only workers of this zone; with workers absent: all of them
	Dispatchers int       `toml:"dispatchers"` // of restart: how many, drawn by the seed
	Factor      float64   `toml:"factor"`      // of slow and burst
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

// scheduleFault schedules the begin and the end of a fault.
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
