// Package simulator runs a fleet in virtual time: real dispatchers (dispatch.Dispatcher with the decision machine)
// among models of clients, network, workers and discovery. All randomness comes from one seed and nothing waits for a
// real clock, so that the same scenario and seed give the same event log, byte for byte.
//
// A Simulation runs on the goroutine that calls Run. It must not read the system's clock, depend on the iteration order
// of a map, or start goroutines.
package simulator

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hollyyoke.example/hollyyoke/decision"
)

// timingSlack is by how much a time limit may be exceeded, as it may be on sockets, before that counts as a violation.
const timingSlack = 50 * time.Millisecond

// maxViolations is the number of violations that a run records; later ones are dropped.
const maxViolations = 100

// workerSource is the source, in the event log, of events at workers. The source of other events is a dispatcher's
// number.
const workerSource = -1

// Simulation is one run of a scenario. It is not safe for concurrent use.
type Simulation struct {
	clock
	scenario      Scenario
	settings      decision.Settings
	seed          uint64
	dispatchers   []*dispatcher
	workers       []*worker
	workersByName map[string]*worker
	requests      []*request
	workByRequest map[string]time.Duration
	delayRandom   *rand.Rand
	log           io.Writer // receives a line for each event; if nil, only the hash is kept
	hash          *xxhash.Digest
	lineBuffer    []byte
	violations    []string // invariants that did not hold, with the time
	slowStartPeak float64  // largest load of a warming worker, as a share of its budget
}

// New prepares a run. log receives the event log and may be nil.
func New(scenario Scenario, seed uint64, log io.Writer) (*Simulation, error) {
	simulation := &Simulation{
		scenario:      scenario,
		seed:          seed,
		settings:      scenario.settings(),
		workersByName: map[string]*worker{},
		workByRequest: map[string]time.Duration{},
		log:           log,
		hash:          xxhash.New(),
	}
	simulation.now = runStart
	simulation.delayRandom = simulation.randomStream("latency")
	for i := range scenario.Workers.Count {
		created := newWorker(simulation, i)
		simulation.workers = append(simulation.workers, created)
		simulation.workersByName[created.name] = created
	}
	for i := range scenario.Dispatchers {
		created, err := newDispatcher(simulation, i)
		if err != nil {
			return nil, err
		}
		simulation.dispatchers = append(simulation.dispatchers, created)
		simulation.scheduleAfter(0, func() {
			created.updateWorkers(decision.ListCached, simulation.endpoints())
		})
		created.startArrivals()
	}
	for i, fault := range scenario.Faults {
		simulation.scheduleFault(i, fault)
	}
	return simulation, nil
}

// Run runs the scenario until every request is past its deadline, and evaluates the run.
func (s *Simulation) Run() Result {
	longestDeadline := time.Duration(0)
	for _, class := range s.settings.Classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	end := runStart + seconds(s.scenario.LengthS)
	s.runUntil(end + longestDeadline + time.Second)
	return s.result()
}

// randomStream returns the random number generator of one model. Each model has its own, derived from the seed and its
// name, so that a change of one model does not change the random numbers of the others.
func (s *Simulation) randomStream(name string) *rand.Rand {
	hash := fnv.New64a()
	io.WriteString(hash, name)
	return rand.New(rand.NewPCG(s.seed, hash.Sum64()))
}

// logEvent writes a line of the event log: the time in nanoseconds, source (a dispatcher's number, or workerSource),
// step, id and details. Details must have the same text on every machine.
func (s *Simulation) logEvent(source int, step, id string, details ...any) {
	s.lineBuffer = fmt.Appendf(s.lineBuffer[:0], "%d %d %s %s", s.now-runStart, source, step, id)
	for _, detail := range details {
		s.lineBuffer = fmt.Appendf(s.lineBuffer, " %v", detail)
	}
	s.lineBuffer = append(s.lineBuffer, '\n')
	s.hash.Write(s.lineBuffer)
	if s.log != nil {
		s.log.Write(s.lineBuffer)
	}
}

// reportViolation records an invariant that does not hold.
func (s *Simulation) reportViolation(format string, args ...any) {
	if len(s.violations) >= maxViolations {
		return
	}
	prefix := fmt.Sprintf("at %.6f s, seed %d: ", (s.now - runStart).Seconds(), s.seed)
	s.violations = append(s.violations, prefix+fmt.Sprintf(format, args...))
}

// delay draws the one-way delay between two zones.
func (s *Simulation) delay(from, to int) time.Duration {
	ms := s.scenario.Net.SameMs
	if from != to {
		ms = s.scenario.Net.CrossMs
	}
	return time.Duration(ms * (1 + s.scenario.Net.Jitter*s.delayRandom.Float64()) * float64(time.Millisecond))
}

// endpoints lists all workers in their present state.
func (s *Simulation) endpoints() []decision.Endpoint {
	endpoints := make([]decision.Endpoint, 0, len(s.workers))
	for _, w := range s.workers {
		endpoints = append(endpoints, w.endpoint())
	}
	return endpoints
}

// discoveryLag is the time from a change of a worker until subscribers are informed of it.
func (s *Simulation) discoveryLag() time.Duration { return seconds(s.scenario.Discovery.LagMs / 1000) }

// announceChange sends a worker's present state to all subscribers.
func (s *Simulation) announceChange(changed *worker) {
	endpoint := changed.endpoint()
	for _, d := range s.dispatchers {
		if !d.subscribed {
			continue
		}
		s.scheduleAfter(s.discoveryLag(), func() {
			if !d.down {
				d.updateWorkers(decision.ListDelta, []decision.Endpoint{endpoint})
			}
		})
	}
}
