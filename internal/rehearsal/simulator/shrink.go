package simulator

import "slices"

// minShrunkS is the length, in seconds, below which a run or a fault is not shortened further.
const minShrunkS = 0.5

// Shrink reduces a scenario step by step. It removes faults, dispatchers and workers, shortens the run and the faults,
// and simplifies the load and the network. It keeps each step with which the run of the seed is still bad, until no
// further step is possible. runs is the number of runs that this took.
func Shrink(scenario Scenario, seed uint64, bad func(Result) bool) (small Scenario, runs int, err error) {
	stillBad := func(next Scenario) (bool, error) {
		if next.Check() != nil {
			return false, nil
		}
		runs++
		simulation, err := New(next, seed, nil)
		if err != nil {
			return false, err
		}
		return bad(simulation.Run()), nil
	}
	small = scenario
	for reduced := true; reduced; {
		reduced = false
		for _, reduction := range reductions(small) {
			reduced, err = stillBad(reduction)
			if err != nil {
				return small, runs, err
			}
			if reduced {
				small = reduction
				break
			}
		}
	}
	return small, runs, nil
}

// reducer collects scenarios that are one step smaller than its scenario.
type reducer struct {
	scenario   Scenario
	reductions []Scenario
}

// add collects a copy of the scenario, reduced by change.
func (r *reducer) add(change func(*Scenario)) {
	next := r.scenario
	next.Faults = slices.Clone(r.scenario.Faults)
	next.Net.Zones = slices.Clone(r.scenario.Net.Zones)
	next.Classes = slices.Clone(r.scenario.Classes)
	change(&next)
	r.reductions = append(r.reductions, next)
}

// reductions lists scenarios that are one step smaller, the largest steps first.
func reductions(scenario Scenario) []Scenario {
	r := reducer{scenario: scenario}
	for i := range scenario.Faults {
		r.add(func(s *Scenario) { s.Faults = slices.Delete(s.Faults, i, i+1) })
	}
	r.reduceFleet(func(count int) int { return count / 2 })
	r.reduceFleet(func(count int) int { return count - 1 })
	r.simplifyLoad()
	r.weakenFaults()
	return r.reductions
}

// reduceFleet collects a scenario with fewer dispatchers and one with fewer workers.
func (r *reducer) reduceFleet(reduce func(count int) int) {
	dispatchers := reduce(r.scenario.Dispatchers)
	if dispatchers >= 1 && dispatchers < r.scenario.Dispatchers {
		r.add(func(s *Scenario) { s.Dispatchers = dispatchers })
	}
	workers := reduce(r.scenario.Workers.Count)
	if workers >= 1 && workers < r.scenario.Workers.Count {
		r.add(func(s *Scenario) { // keeps the load per worker, so that the run stays bad for the same cause
			s.Load.Rate *= float64(workers) / float64(s.Workers.Count)
			s.Workers.Count = workers
		})
	}
}

// simplifyLoad shortens the run and simplifies the load and the network.
func (r *reducer) simplifyLoad() {
	if r.scenario.LengthS > minShrunkS {
		r.add(func(s *Scenario) { s.LengthS /= 2 })
		r.add(func(s *Scenario) { s.LengthS *= 0.9 })
	}
	if r.scenario.Load.Rate > 1 {
		r.add(func(s *Scenario) { s.Load.Rate /= 2 })
	}
	if r.scenario.Load.MaxAttempts > 1 {
		r.add(func(s *Scenario) { s.Load.MaxAttempts = 1 })
	}
	if r.scenario.Load.Swing > 0 {
		r.add(func(s *Scenario) {
			s.Load.Swing = 0
			s.Load.SwingPeriodS = 0
		})
	}
	if r.scenario.Net.Jitter > 0 {
		r.add(func(s *Scenario) { s.Net.Jitter = 0 })
	}
}

// weakenFaults reduces the number of workers and the duration of each fault.
func (r *reducer) weakenFaults() {
	for i, fault := range r.scenario.Faults {
		if fault.Workers > 1 {
			r.add(func(s *Scenario) { s.Faults[i].Workers-- })
		}
		if fault.ForS > minShrunkS {
			r.add(func(s *Scenario) { s.Faults[i].ForS /= 2 })
		}
	}
}
