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

// workerList is the endpoint lists of all sources, and the workers that have lately begun to drain or were removed.
type workerList struct {
	listed       map[string]listedWorker  // by name
	ready        int                      // workers listed that take new work
	leavingSince map[string]time.Duration // clock time at which a worker was first reported as draining or removed, by name
}

func newWorkerList() workerList {
	return workerList{listed: map[string]listedWorker{}, leavingSince: map[string]time.Duration{}}
}

// update enters an endpoint of a source in the list, or removes it from there, by its state.
func (l *workerList) update(now time.Duration, source WorkerClient, endpoint decision.Endpoint) {
	l.remove(endpoint.Name)
	l.recordLeaving(now, endpoint)
	if endpoint.State != decision.Removed {
		l.listed[endpoint.Name] = listedWorker{endpoint, source}
	}
	if endpoint.State == decision.Running {
		l.ready++
	}
}

// remove removes a worker from the list if it is there.
func (l *workerList) remove(name string) {
	worker, ok := l.listed[name]
	if ok && worker.endpoint.State == decision.Running {
		l.ready--
	}
	delete(l.listed, name)
}

// removeSource removes all workers of a source. They count as leaving.
func (l *workerList) removeSource(now time.Duration, source WorkerClient) {
	for name, worker := range l.listed {
		if worker.source == source {
			l.remove(name)
			l.recordLeaving(now, decision.Endpoint{Name: name, State: decision.Removed})
		}
	}
}

// endpoints returns the endpoints listed, by name: in the order of the map, runs would differ.
func (l *workerList) endpoints() []decision.Endpoint {
	var endpoints []decision.Endpoint
	for _, worker := range l.listed {
		endpoints = append(endpoints, worker.endpoint)
	}
	slices.SortFunc(endpoints, func(a, b decision.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return endpoints
}

// recordLeaving records when a worker was first reported as draining or removed, or that it runs again.
func (l *workerList) recordLeaving(now time.Duration, endpoint decision.Endpoint) {
	if endpoint.State == decision.Running {
		delete(l.leavingSince, endpoint.Name)
	} else if _, known := l.leavingSince[endpoint.Name]; !known {
		l.leavingSince[endpoint.Name] = now
	}
	if len(l.leavingSince) > maxLeaving {
		l.forgetLeaving(now)
	}
}

// forgetLeaving forgets the workers that left long ago.
func (l *workerList) forgetLeaving(now time.Duration) {
	for name, since := range l.leavingSince {
		if now-since > leavingRetention {
			delete(l.leavingSince, name)
		}
	}
}
