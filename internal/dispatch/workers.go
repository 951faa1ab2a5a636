package dispatch

import (
	"slices"

	"hollyyoke.example/hollyyoke/decision"
)

// AddSource adds a worker client as a source of workers. Its Subscribe is called when the machine asks for it and, if
// it is a Refresher, its Refresh is called before events are handled.
func (d *Dispatcher) AddSource(source WorkerClient) { d.sources = append(d.sources, source) }

// UpdateWorkers applies an update of a source's endpoint list. The lists of other sources stay unchanged: a snapshot
// is complete for its own source only.
func (d *Dispatcher) UpdateWorkers(source WorkerClient, kind decision.ListKind, endpoints []decision.Endpoint) {
	now := d.Loop.Now()
	event := decision.Event{Kind: decision.ListUpdated, ListKind: kind, Endpoints: endpoints}
	if kind == decision.ListSnapshot || kind == decision.ListCached {
		d.workers.removeSource(now, source)
		// The machine has one list for all sources, so a snapshot for it must include the endpoints of the others.
		event.Endpoints = append(slices.Clone(endpoints), d.workers.endpoints()...)
	}
	d.traceWorkersUpdated(kind, len(endpoints))
	for _, endpoint := range endpoints {
		d.workers.update(now, source, endpoint)
	}
	d.handle(event)
	if d.OnWorkersUpdated != nil {
		d.OnWorkersUpdated()
	}
}

// SuspendWorkers reports that a source does not know at present whether these workers of its list are still valid. They
// get no attempts until ResumeWorkers is called. Their attempts in flight continue.
func (d *Dispatcher) SuspendWorkers(source WorkerClient, workers []string) {
	d.changeSuspension(decision.WorkersSuspended, source, workers)
}

// ResumeWorkers ends the suspension of these workers.
func (d *Dispatcher) ResumeWorkers(source WorkerClient, workers []string) {
	d.changeSuspension(decision.WorkersResumed, source, workers)
}

func (d *Dispatcher) changeSuspension(kind decision.EventKind, source WorkerClient, workers []string) {
	var endpoints []decision.Endpoint
	for _, name := range workers {
		if worker, ok := d.workers.listed[name]; ok && worker.source == source {
			endpoints = append(endpoints, worker.endpoint)
		}
	}
	if len(endpoints) > 0 {
		d.handle(decision.Event{Kind: kind, Endpoints: endpoints})
	}
}

// refreshSources lets the sources suspend and resume workers according to the present age of their lists.
func (d *Dispatcher) refreshSources() {
	for _, source := range d.sources {
		if refresher, ok := source.(Refresher); ok {
			refresher.Refresh()
		}
	}
}

// clientOf returns the worker client that sends attempts to a worker, or nil if the worker is not listed.
func (d *Dispatcher) clientOf(name string) WorkerClient {
	worker, ok := d.workers.listed[name]
	switch {
	case !ok:
		return nil
	case d.ClientOverride != nil:
		return d.ClientOverride
	}
	return worker.source
}

// HealthChecked reports the result of a health check of a worker, with the worker's load. A worker client may also call
// it for a load report that was not requested.
func (d *Dispatcher) HealthChecked(worker string, outcome decision.AttemptOutcome, load decision.LoadReport) {
	d.handle(decision.Event{Kind: decision.HealthChecked, Worker: worker, Outcome: outcome, Load: load})
}

// ReservedElsewhere reports how much of a worker's slow-start budget another process of the same dispatcher has
// reserved.
func (d *Dispatcher) ReservedElsewhere(worker string, reservation float64) {
	d.handle(decision.Event{Kind: decision.ReservedElsewhere, Worker: worker, Reservation: reservation})
}

// WorkerCount returns the number of workers that a source lists, including draining ones.
func (d *Dispatcher) WorkerCount(source WorkerClient) int {
	count := 0
	for _, worker := range d.workers.listed {
		if worker.source == source {
			count++
		}
	}
	return count
}

// EjectedCount returns the number of a source's workers that outlier detection has ejected.
func (d *Dispatcher) EjectedCount(source WorkerClient) int {
	count := 0
	for _, name := range d.driver.machine.Ejected() {
		if worker, ok := d.workers.listed[name]; ok && worker.source == source {
			count++
		}
	}
	return count
}

// ReadyWorkers returns the number of listed workers that take new work.
func (d *Dispatcher) ReadyWorkers() int { return d.workers.ready }
