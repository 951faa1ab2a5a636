package simulator

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// dispatcher runs a real dispatch.Dispatcher on an event loop in virtual time. It also implements the front end that
// the dispatch.Dispatcher responds to (client.go) and its only source of workers (source.go).
type dispatcher struct {
	simulation    *Simulation
	number        int
	zone          int
	loop          *eventloop.Loop
	core          *dispatch.Dispatcher
	nextTurn      time.Duration       // when the loop runs next, or 0 if no run is scheduled
	unanswered    map[uint64]*request // requests that have no answer yet, by token
	lastToken     uint64
	attempts      map[uint64]*attempt // attempts that were sent and have not ended, by handle
	subscribed    bool                // to discovery
	workerUpdates map[string]workerUpdate

	down            bool // its process was killed and has not been restarted
	restarts        int
	cachedEndpoints []decision.Endpoint // the next process starts with this endpoint list
}

// workerUpdate is the latest state of a worker that a dispatcher received from discovery.
type workerUpdate struct {
	startedAt        time.Duration
	unavailableSince time.Duration // when the worker was first reported as draining or removed, or 0 if it is running
}

func newDispatcher(simulation *Simulation, number int) (*dispatcher, error) {
	created := &dispatcher{
		simulation:    simulation,
		number:        number,
		zone:          number % len(simulation.scenario.Net.Zones),
		unanswered:    map[uint64]*request{},
		attempts:      map[uint64]*attempt{},
		workerUpdates: map[string]workerUpdate{},
	}
	if err := created.startProcess(simulation.seed + uint64(number)); err != nil {
		return nil, err
	}
	return created, nil
}

// startProcess starts a new process of the dispatcher, without any state.
func (d *dispatcher) startProcess(seed uint64) error {
	simulation := d.simulation
	settings := simulation.settings
	settings.Zone = d.zone
	d.loop = eventloop.NewVirtual(func() time.Duration { return simulation.now })
	core, err := dispatch.New(d.loop, settings, seed)
	if err != nil {
		return err
	}
	core.Trace = func(id, step string, keysAndValues ...any) {
		simulation.logStep(d.number, step, id, keysAndValues)
	}
	core.AddSource(d)
	d.core = core
	return nil
}

// kill ends the dispatcher's process. Requests that were not answered fail, since their connections break. Workers
// continue with the attempts that were sent to them.
func (d *dispatcher) kill() {
	simulation := d.simulation
	simulation.logEvent(d.number, "killed", "")
	d.down = true
	d.subscribed = false
	d.nextTurn = 0
	for _, request := range d.unanswered {
		request.finish(dispatch.Failed, simulation.now)
	}
	clear(d.unanswered)
	clear(d.attempts)
	d.cacheEndpoints()
}

// cacheEndpoints saves the workers that were running by the latest update from discovery.
func (d *dispatcher) cacheEndpoints() {
	for _, endpoint := range d.simulation.endpoints() {
		update, known := d.workerUpdates[endpoint.Name]
		if !known || update.unavailableSince != 0 {
			continue
		}
		endpoint.State = decision.Running
		endpoint.StartedAt = update.startedAt
		d.cachedEndpoints = append(d.cachedEndpoints, endpoint)
	}
}

// restart starts the next process with the cached endpoint list. It does not know the attempts that were sent before.
func (d *dispatcher) restart() {
	simulation := d.simulation
	simulation.logEvent(d.number, "restarted", "")
	d.restarts++
	seed := simulation.seed + uint64(d.number) + uint64(d.restarts*len(simulation.dispatchers))
	if err := d.startProcess(seed); err != nil {
		simulation.reportViolation("dispatcher %d does not start: %v", d.number, err)
		return
	}
	d.down = false
	d.updateWorkers(decision.ListCached, d.cachedEndpoints)
	d.cachedEndpoints = nil
}

// scheduleTurn schedules the next run of the event loop. It must be called after every action that may have made the
// loop due earlier.
func (d *dispatcher) scheduleTurn() {
	next, scheduled := d.loop.NextDue()
	if !scheduled || d.nextTurn != 0 && d.nextTurn <= next {
		return
	}
	d.nextTurn = next
	d.simulation.scheduleAt(next, func() {
		if d.nextTurn != next { // superseded by an earlier run
			return
		}
		d.nextTurn = 0
		if d.down {
			return
		}
		d.loop.RunOnce()
		d.scheduleTurn()
	})
}
