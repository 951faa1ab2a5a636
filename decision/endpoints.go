package decision

import (
	"slices"
	"time"
)

// After a failed call for the endpoint list, the next call follows after a backoff, from a twentieth of
// ListPollInterval up to half of it. If there are many dispatchers, all calls are also spread over time, so
// that a list service that answers seven calls a second keeps up, and three calls that fail still fit into
// ListPollInterval, with 36 as with 300 dispatchers.
const (
	minListBackoffDivisor  = 20    // the smallest backoff is ListPollInterval divided by this
	maxListBackoffDivisor  = 2     // the largest backoff is ListPollInterval divided by this
	listBackoffJitter      = 0.5   // a wait is a random fraction of the backoff, from this value to 1
	subscribeSpreadPerPeer = 0.008 // fraction of ListPollInterval per peer above manyDispatchersThreshold
	maxSubscribeSpread     = 0.25  // largest spread, as a fraction of ListPollInterval
)

// endpointList is the state of the endpoint list itself; the workers that it names are in Machine.workers.
type endpointList struct {
	snapshots     uint64          // number of complete lists so far
	nominalWeight map[int]float64 // the largest weight seen, by worker kind
	backoff       time.Duration   // backoff after the latest call for the list; 0 if that call did not fail
}

// workerCounts are numbers of workers. They are updated with each change, so that no decision has to go
// through the fleet.
type workerCounts struct {
	running   int            // workers in state Running
	ejected   int            // running workers that are ejected
	suspended int            // workers that are suspended
	eligible  map[*Class]int // running workers that may run the class; absent if there are none
}

// handleList handles an endpoint list, or the failure of a call for one. After a failure the old list stays
// in use.
func (m *Machine) handleList(event Event) {
	if event.ListKind == ListFailed {
		m.retrySubscribe()
		return
	}
	m.list.backoff = 0
	if event.ListKind == ListCached && m.settings.ListBySubscription {
		delay := m.subscribeDelay()
		if delay > 0 {
			m.emit(Action{Kind: SetTimer, Timer: subscribeTimer, Delay: delay})
		} else {
			m.emit(Action{Kind: Subscribe})
		}
	}
	m.applyList(event)
}

// retrySubscribe schedules the next call for the list after one that failed.
func (m *Machine) retrySubscribe() {
	smallest := m.settings.ListPollInterval / minListBackoffDivisor
	largest := max(m.settings.ListPollInterval/maxListBackoffDivisor, m.settings.Tick)
	m.list.backoff = min(max(2*m.list.backoff, smallest), largest)
	jitter := listBackoffJitter + m.random.Float64()/2
	wait := seconds(m.list.backoff.Seconds()*jitter) + m.subscribeDelay()
	m.emit(Action{Kind: SetTimer, Timer: subscribeTimer, Delay: wait})
	m.logf("worker list unavailable, asking again in %v", wait)
}

// subscribeDelay is a random wait before a call for the list, so that many dispatchers do not call at the
// same moment.
func (m *Machine) subscribeDelay() time.Duration {
	if !m.settings.ManyDispatchers() {
		return 0
	}
	part := min(float64(m.settings.Peers-manyDispatchersThreshold)*subscribeSpreadPerPeer, maxSubscribeSpread)
	return seconds(part * m.settings.ListPollInterval.Seconds() * m.random.Float64())
}

// applyList applies a list to the known workers. The cost of a delta is proportional to its length, not to
// the size of the fleet. A list may name a worker twice, and the last entry counts; therefore workers are
// removed only after all entries were applied.
func (m *Machine) applyList(event Event) {
	complete := event.ListKind != ListDelta
	if complete {
		m.list.snapshots++
		m.workRates.scannedAt = 0
	}
	if m.settings.LoadAdjustedWeights {
		for _, endpoint := range event.Endpoints {
			nominal := m.list.nominalWeight
			nominal[endpoint.Kind] = max(nominal[endpoint.Kind], endpoint.Weight)
		}
	}
	for _, endpoint := range event.Endpoints {
		m.applyEndpoint(endpoint, !complete)
	}
	for _, endpoint := range event.Endpoints {
		worker := m.workers[endpoint.Name]
		if worker != nil && worker.State == Removed {
			m.removeWorker(worker)
		}
	}
	if complete {
		m.removeUnlisted()
	}
}

// removeUnlisted removes the workers that are not in the latest complete list.
func (m *Machine) removeUnlisted() {
	for i := len(m.fleet) - 1; i >= 0; i-- {
		worker := m.fleet[i]
		if worker.lastSnapshot != m.list.snapshots {
			m.removeWorker(worker)
		}
	}
}

// applyEndpoint applies one entry of a list; delta says whether the list is a delta.
func (m *Machine) applyEndpoint(endpoint Endpoint, delta bool) {
	worker := m.workers[endpoint.Name]
	listedStart := endpoint.StartedAt
	switch {
	case worker == nil && endpoint.State == Removed:
		return
	case worker == nil:
		worker = newWorker(endpoint.Name, m.now)
		endpoint.StartedAt = m.effectiveStartTime(listedStart, delta)
		m.workers[endpoint.Name] = worker
		m.fleet = appendToList(m.fleet, inFleet, worker)
		m.ring.noteChange(worker)
		m.markZoneReachable(endpoint.Zone)
	case listedStart > worker.listedStart:
		m.setEjected(worker, false)
		m.counts.uncount(worker, m.settings.Classes)
		m.markZoneReachable(endpoint.Zone) // a worker has started there
		*worker = worker.restarted(m.now)
		endpoint.StartedAt = m.effectiveStartTime(listedStart, delta)
	default:
		m.counts.uncount(worker, m.settings.Classes)
		if listedStart == worker.listedStart {
			endpoint.StartedAt = worker.StartedAt
		}
	}
	worker.Endpoint = endpoint
	worker.lastSnapshot = m.list.snapshots
	worker.listedStart = listedStart
	m.counts.count(worker, m.settings.Classes)
	m.placeInLists(worker)
	if m.settings.LoadAdjustedWeights && endpoint.Weight > 0 {
		requestsPerCore := m.list.nominalWeight[endpoint.Kind]/endpoint.Weight - 1
		worker.load.setOthersOutstanding(requestsPerCore, m.now)
	}
}

// removeWorker removes a worker from all state but its outstanding attempts, which continue.
func (m *Machine) removeWorker(worker *worker) {
	m.setSuspended([]Endpoint{worker.Endpoint}, false)
	m.counts.uncount(worker, m.settings.Classes)
	worker.State = Removed
	delete(m.workers, worker.Name)
	m.fleet = removeFromList(m.fleet, inFleet, worker)
	m.candidates.remove(worker)
	m.ring.noteChange(worker)
}

// count adds a worker to the counts if it is running.
func (c *workerCounts) count(worker *worker, classes []Class) { c.add(worker, classes, 1) }

// uncount removes a worker that was counted. Its fields must be unchanged since then, except for ejected:
// setEjected updates the counts itself.
func (c *workerCounts) uncount(worker *worker, classes []Class) { c.add(worker, classes, -1) }

func (c *workerCounts) add(worker *worker, classes []Class, n int) {
	if worker.State != Running {
		return
	}
	c.running += n
	if worker.ejected {
		c.ejected += n
	}
	for i := range classes {
		class := &classes[i]
		if !class.mayRunOn(worker) {
			continue
		}
		c.eligible[class] += n
		if c.eligible[class] == 0 {
			delete(c.eligible, class)
		}
	}
}

// eligibleShare is the fraction of the running workers that may run the class.
func (c *workerCounts) eligibleShare(class *Class) float64 {
	return float64(c.eligible[class]) / float64(max(c.running, 1))
}

// setSuspended suspends workers, or resumes them. Outstanding attempts at them continue.
func (m *Machine) setSuspended(endpoints []Endpoint, suspended bool) {
	for _, endpoint := range endpoints {
		worker := m.workers[endpoint.Name]
		if worker == nil || worker.suspended == suspended {
			continue
		}
		worker.suspended = suspended
		if suspended {
			m.counts.suspended++
		} else {
			m.counts.suspended--
		}
	}
}

// allSuspended reports whether there are suspended workers and all running workers are suspended.
func (m *Machine) allSuspended() bool {
	if m.counts.suspended == 0 {
		return false
	}
	return !slices.ContainsFunc(m.fleet, func(worker *worker) bool {
		return worker.State == Running && !worker.suspended
	})
}
