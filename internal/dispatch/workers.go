package dispatch

import (
	"slices"

	"hollyyoke.example/hollyyoke/decision"
)

// AddSource makes a worker client a source of workers: it is asked to subscribe and, as a Refresher, to refresh.
func (d *Dispatcher) AddSource(source WorkerClient) { d.sources = append(d.sources, source) }

// UpdateWorkers applies an update of a source's endpoint list. The lists of other sources stay as they are: a snapshot
// is complete for its own source only.
func (d *Dispatcher) UpdateWorkers(source WorkerClient, kind decision.ListKind, endpoints []decision.Endpoint) {
	now := d.Loop.Now()
	event := decision.Event{Kind: decision.ListUpdated, ListKind: kind, Endpoints: endpoints}
	if kind == decision.ListSnapshot || kind == decision.ListCached {
		d.workers.removeSource(now, source)
		// The machine knows one list, that of all sources.
		event.Endpoints = append(slices.Clone(endpoints), d.workers.endpoints()...)
	}
	d.traceWorkersUpdated(kind, len(endpoints))
	for _, endpoint := range endpoints {
		d.workers.update(now, source, endpoint)
	}
	d.handle(event)
}

// SuspendWorkers reports that a source cannot vouch for these workers of its list for now: they get no attempts until
// ResumeWorkers. Attempts that are in flight there continue.
func (d *Dispatcher) SuspendWorkers(source WorkerClient, workers []string) {
	d.changeSuspension(decision.WorkersSuspended, source, workers)
}

// ResumeWorkers ends a suspension.
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

// refreshSources lets the sources suspend and resume workers by the present age of their lists.
func (d *Dispatcher) refreshSources() {
	for _, source := range d.sources {
		if refresher, ok := source.(Refresher); ok {
			refresher.Refresh()
		}
	}
}

// clientOf returns the worker client that takes attempts to a worker, or nil if the worker is not listed.
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

// HealthChecked reports the load of a worker, whether it was asked for or not.
func (d *Dispatcher) HealthChecked(worker string, outcome decision.AttemptOutcome, load decision.LoadReport) {
	d.handle(decision.Event{Kind: decision.HealthChecked, Worker: worker, Outcome: outcome, Load: load})
}

// ReservedElsewhere reports what another process of the same dispatcher took of a worker's slow-start budget.
func (d *Dispatcher) ReservedElsewhere(worker string, reservation float64) {
	d.handle(decision.Event{Kind: decision.ReservedElsewhere, Worker: worker, Reservation: reservation})
}

// WorkerCount returns the number of workers that a source has listed, including draining ones.
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
