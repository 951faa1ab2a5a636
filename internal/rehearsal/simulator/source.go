package simulator

import (
	"cmp"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

var _ dispatch.WorkerClient = (*dispatcher)(nil)

// attempt is one attempt of a request at a worker.
type attempt struct {
	id         string
	class      int
	work       time.Duration
	handle     uint64
	dispatcher *dispatcher
	worker     *worker // worker that received it, or nil while it is on its way
	cancelled  bool    // it was cancelled while on its way
	remaining  float64 // seconds of work left at advancedAt
	advancedAt time.Duration

	// completionVersion counts the scheduled completions. A completion of an earlier version is ignored: since it was
	// scheduled, the worker's pace has changed or the worker was killed.
	completionVersion uint64
}

// Subscribe subscribes to discovery: a snapshot arrives after the discovery lag, and then a delta for each change.
func (d *dispatcher) Subscribe() {
	if d.subscribed {
		return
	}
	d.subscribed = true
	simulation := d.simulation
	simulation.scheduleAfter(simulation.discoveryLag(), func() {
		if !d.down {
			d.updateWorkers(decision.ListSnapshot, simulation.endpoints())
		}
	})
}

// updateWorkers records an update from discovery and passes it to the dispatcher.
func (d *dispatcher) updateWorkers(kind decision.ListKind, endpoints []decision.Endpoint) {
	for _, endpoint := range endpoints {
		previous := d.workerUpdates[endpoint.Name]
		current := workerUpdate{startedAt: endpoint.StartedAt}
		if endpoint.State != decision.Running {
			current.unavailableSince = cmp.Or(previous.unavailableSince, d.simulation.now)
		}
		d.workerUpdates[endpoint.Name] = current
	}
	d.core.UpdateWorkers(d, kind, endpoints)
	d.scheduleTurn()
}

// Start sends an attempt to its worker.
func (d *dispatcher) Start(requested dispatch.Attempt) {
	simulation := d.simulation
	d.checkDrainGrace(requested)
	sent := &attempt{
		id:         requested.Request.ID,
		class:      requested.Request.Class,
		work:       simulation.workByRequest[requested.Request.Key],
		handle:     requested.Handle,
		dispatcher: d,
	}
	d.attempts[sent.handle] = sent
	target := simulation.workersByName[requested.Worker]
	simulation.scheduleAfter(simulation.delay(d.zone, target.zone), func() { target.receive(sent) })
}

// checkDrainGrace reports an attempt that is sent to a worker too long after discovery reported it as draining or removed.
func (d *dispatcher) checkDrainGrace(requested dispatch.Attempt) {
	simulation := d.simulation
	since := d.workerUpdates[requested.Worker].unavailableSince
	if since > 0 && simulation.now > since+simulation.settings.DrainGrace+timingSlack {
		simulation.reportViolation("dispatcher %d sent %s to %s, %v after discovery reported it as draining or removed",
			d.number, requested.Request.ID, requested.Worker, simulation.now-since)
	}
}

// notifyDispatcher calls handle with the attempt's dispatcher after the delay of the network, unless the attempt was
// cancelled or the dispatcher killed meanwhile.
func (a *attempt) notifyDispatcher(from *worker, handle func(d *dispatcher)) {
	d := a.dispatcher
	simulation := d.simulation
	simulation.scheduleAfter(simulation.delay(d.zone, from.zone), func() {
		if d.attempts[a.handle] != a {
			return
		}
		handle(d)
		d.scheduleTurn()
	})
}

// reportSent reports to the attempt's dispatcher that the whole attempt was sent. It is not called for an attempt whose
// worker is down, because nothing of it is sent.
func (a *attempt) reportSent() {
	d := a.dispatcher
	if d.attempts[a.handle] == a {
		d.core.AttemptSent(a.handle)
	}
}

// end reports the attempt's outcome and the worker's load to its dispatcher.
func (a *attempt) end(from *worker, outcome decision.AttemptOutcome) {
	load := from.loadReport()
	a.notifyDispatcher(from, func(d *dispatcher) {
		delete(d.attempts, a.handle)
		d.core.AttemptEnded(a.handle, outcome, load, nil)
	})
}

// Cancel cancels an attempt. The worker drops it if it has not begun when the message arrives.
func (d *dispatcher) Cancel(handle uint64) (neverRan bool) {
	cancelled := d.attempts[handle]
	if cancelled == nil {
		return false
	}
	delete(d.attempts, handle)
	holder := cancelled.worker
	if holder == nil {
		cancelled.cancelled = true
		return false
	}
	d.simulation.scheduleAfter(d.simulation.delay(d.zone, holder.zone), func() { holder.dequeue(cancelled) })
	return false
}

// CloseIdle does nothing: the model has no connections.
func (d *dispatcher) CloseIdle(string) {}

// CheckHealth asks a worker for its load.
func (d *dispatcher) CheckHealth(workerName string) {
	simulation := d.simulation
	target := simulation.workersByName[workerName]
	simulation.scheduleAfter(simulation.delay(d.zone, target.zone), func() {
		outcome := decision.Completed
		if target.down {
			outcome = decision.ConnectionRefused
		}
		load := target.loadReport()
		simulation.scheduleAfter(simulation.delay(d.zone, target.zone), func() {
			if d.down {
				return
			}
			d.core.HealthChecked(workerName, outcome, load)
			d.scheduleTurn()
		})
	})
}
