package dispatch

import (
	"cmp"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

const (
	// maxLeaving is the number of leaving workers above which those that left long ago are removed.
	maxLeaving = 4096
	// leavingRetention is the minimum time for which a leaving worker is kept. An attempt can be sent by mistake only
	// to a worker that left recently.
	leavingRetention = time.Minute
)

// listedWorker is a worker of the endpoint list of one source.
type listedWorker struct {
	endpoint decision.Endpoint
	source   WorkerClient
}

// workerList contains the endpoint lists of all sources, and the leaving workers: those that have recently begun to
// drain or were removed.
type workerList struct {
	listed       map[string]listedWorker  // by name of the worker
	ready        int                      // number of listed workers that take new work
	leavingSince map[string]time.Duration // clock time of the first report that a worker drains or was removed, by name
}

func newWorkerList() workerList {
	return workerList{listed: map[string]listedWorker{}, leavingSince: map[string]time.Duration{}}
}

// update adds or replaces an endpoint of a source in the list, or removes it if its state is Removed.
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

// removeSource removes all workers of a source from the list and records them as leaving.
func (l *workerList) removeSource(now time.Duration, source WorkerClient) {
	for name, worker := range l.listed {
		if worker.source == source {
			l.remove(name)
			l.recordLeaving(now, decision.Endpoint{Name: name, State: decision.Removed})
		}
	}
}

// endpoints returns the listed endpoints, sorted by name. In the random order of the map, runs would not be
// reproducible.
func (l *workerList) endpoints() []decision.Endpoint {
	var endpoints []decision.Endpoint
	for _, worker := range l.listed {
		endpoints = append(endpoints, worker.endpoint)
	}
	slices.SortFunc(endpoints, func(a, b decision.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return endpoints
}

// recordLeaving records when a worker was first reported as draining or removed, and deletes that record if the worker
// is running again.
func (l *workerList) recordLeaving(now time.Duration, endpoint decision.Endpoint) {
	if endpoint.State == decision.Running {
		delete(l.leavingSince, endpoint.Name)
	} else if _, known := l.leavingSince[endpoint.Name]; !known {
		l.leavingSince[endpoint.Name] = now
	}
	if len(l.leavingSince) > maxLeaving {
		l.removeExpiredLeaving(now)
	}
}

// removeExpiredLeaving deletes the records of workers that have been leaving for longer than leavingRetention.
func (l *workerList) removeExpiredLeaving(now time.Duration) {
	for name, since := range l.leavingSince {
		if now-since > leavingRetention {
			delete(l.leavingSince, name)
		}
	}
}
