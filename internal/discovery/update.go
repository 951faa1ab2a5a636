package discovery

import (
	"hollyyoke.example/hollyyoke/decision"
)

// parseAndAdopt checks a list and adopts it, or returns an error and adopts none of it.
func (r *Registry) parseAndAdopt(list []endpoint) ([]decision.Endpoint, error) {
	entries, err := r.parse(list)
	if err != nil {
		return nil, err
	}
	r.adopt(list, entries)
	return entries, nil
}

// adopt adds, updates and removes workers as the list says. entries is the parsed form of the list, in the same order.
// Workers that are not in the list stay as they are.
func (r *Registry) adopt(list []endpoint, entries []decision.Endpoint) {
	for i, entry := range entries {
		worker := r.workers[entry.Name]
		switch {
		case entry.State != decision.Removed:
			r.upsert(worker, &list[i], entry.State)
		case worker != nil:
			r.remove(worker)
		}
	}
}

// upsert updates a worker from its listed endpoint, or adds a new worker if worker is nil.
func (r *Registry) upsert(worker *Worker, listed *endpoint, state decision.WorkerState) {
	now := r.dispatcher.Loop.Now()
	if worker == nil {
		worker = &Worker{Name: listed.Name, Address: listed.Address, State: state, StateSince: now}
		r.workers[listed.Name] = worker
	}
	if worker.Address != listed.Address {
		r.client.CloseIdleTo(worker)
		worker.Address = listed.Address
	}
	worker.endpoint = *listed
	if worker.State == state {
		return
	}
	worker.State = state
	worker.StateSince = now
	if state == decision.Draining {
		r.client.WorkerLeaving(worker)
	}
}

// removeUnlisted removes the workers that are not in a complete list.
func (r *Registry) removeUnlisted(entries []decision.Endpoint) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Name] = true
	}
	for name, worker := range r.workers {
		if !listed[name] {
			r.remove(worker)
		}
	}
}

// remove removes one worker. Requests in flight there are left to the worker client.
func (r *Registry) remove(worker *Worker) {
	if worker.State != decision.Removed {
		worker.State = decision.Removed
		worker.StateSince = r.dispatcher.Loop.Now()
		r.client.WorkerLeaving(worker)
	}
	r.client.CloseIdleTo(worker)
	delete(r.workers, worker.Name)
}

// publish reports a snapshot or delta that has been adopted to the dispatcher. If the first update is a delta, it is
// published together with the initial endpoint list; a snapshot replaces that list.
func (r *Registry) publish(snapshot bool, entries []decision.Endpoint) {
	switch {
	case snapshot:
		r.removeUnlisted(entries)
		r.endInitial()
		r.dispatcher.UpdateWorkers(r.client, decision.ListSnapshot, entries)
	case r.initial.withheld():
		r.publishInitial(entries)
	default:
		r.dispatcher.UpdateWorkers(r.client, decision.ListDelta, entries)
	}
}

// notifyUpdate calls OnUpdate, unless it is nil.
func (r *Registry) notifyUpdate() {
	if r.OnUpdate != nil {
		r.OnUpdate()
	}
}
