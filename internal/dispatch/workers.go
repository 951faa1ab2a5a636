package dispatch

import (
	"cmp"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

const (
	// maxLeaving is the number of leaving workers above which old ones are forgotten.
	maxLeaving = 4096
	// leavingRetention is how long a leaving worker is remembered at least. Only one that left lately can still be sent to
	// by mistake.
	leavingRetention = time.Minute
)

// listedWorker is a worker of the endpoint list of one source.
type listedWorker struct {
	endpoint decision.Endpoint
	source   WorkerClient
}

// AddSource makes a worker client a source of workers: it is asked to subscribe and, as a Refresher, to refresh.
func (d *Dispatcher) AddSource(source WorkerClient) { d.sources = append(d.sources, source) }

// UpdateWorkers applies an update of a source's endpoint list. The lists of other sources stay as they are: a snapshot
// is complete for its own source only.
func (d *Dispatcher) UpdateWorkers(source WorkerClient, kind decision.ListKind, endpoints []decision.Endpoint) {
	event := decision.Event{Kind: decision.ListUpdated, ListKind: kind, Endpoints: endpoints}
	if kind == decision.ListSnapshot || kind == decision.ListCached {
		d.unlistSource(source)
		event.Endpoints = append(slices.Clone(endpoints), d.listedEndpoints()...)
	}
	d.traceWorkersUpdated(kind, len(endpoints))
	for _, endpoint := range endpoints {
		d.list(source, endpoint)
	}
	d.handle(event)
}

// list enters an endpoint in the list, or removes it from there, by its state.
func (d *Dispatcher) list(source WorkerClient, endpoint decision.Endpoint) {
	d.unlist(endpoint.Name)
	d.recordLeaving(endpoint)
	if endpoint.State != decision.Removed {
		d.workers[endpoint.Name] = listedWorker{endpoint, source}
	}
	if endpoint.State == decision.Running {
		d.ready++
	}
}

// unlist removes a worker from the list if it is there.
func (d *Dispatcher) unlist(name string) {
	listed, ok := d.workers[name]
	if ok && listed.endpoint.State == decision.Running {
		d.ready--
	}
	delete(d.workers, name)
}

// unlistSource removes all workers of a source.
func (d *Dispatcher) unlistSource(source WorkerClient) {
	for name, listed := range d.workers {
		if listed.source == source {
			d.unlist(name)
			d.recordLeaving(decision.Endpoint{Name: name, State: decision.Removed})
		}
	}
}

// listedEndpoints returns the endpoints listed, by name: in the order of the map, runs would differ.
func (d *Dispatcher) listedEndpoints() []decision.Endpoint {
	var endpoints []decision.Endpoint
	for _, listed := range d.workers {
		endpoints = append(endpoints, listed.endpoint)
	}
	slices.SortFunc(endpoints, func(a, b decision.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return endpoints
}

// recordLeaving records when a worker was first reported as draining or removed, or that it runs again.
func (d *Dispatcher) recordLeaving(endpoint decision.Endpoint) {
	now := d.Loop.Now()
	if endpoint.State == decision.Running {
		delete(d.leavingSince, endpoint.Name)
	} else if _, known := d.leavingSince[endpoint.Name]; !known {
		d.leavingSince[endpoint.Name] = now
	}
	if len(d.leavingSince) <= maxLeaving {
		return
	}
	for name, since := range d.leavingSince {
		if now-since > leavingRetention {
			delete(d.leavingSince, name)
		}
	}
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
		if listed, ok := d.workers[name]; ok && listed.source == source {
			endpoints = append(endpoints, listed.endpoint)
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

// clientOf returns the worker client that takes attempts to a worker.
func (d *Dispatcher) clientOf(worker listedWorker) WorkerClient {
	if d.ClientOverride != nil {
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
	for _, listed := range d.workers {
		if listed.source == source {
			count++
		}
	}
	return count
}

// EjectedCount returns the number of a source's workers that outlier detection has ejected.
func (d *Dispatcher) EjectedCount(source WorkerClient) int {
	count := 0
	for _, name := range d.machine.Ejected() {
		if listed, ok := d.workers[name]; ok && listed.source == source {
			count++
		}
	}
	return count
}

// ReadyWorkers returns the number of listed workers that take new work.
func (d *Dispatcher) ReadyWorkers() int { return d.ready }
