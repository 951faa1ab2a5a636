package decision

import (
	"slices"
	"time"
)

// After a failure the endpoint list is asked for again after a backoff, from a twentieth of ListPollInterval up to half
// of it. In a large fleet all calls are spread over time besides: measured with 36 and 300 dispatchers, so that a list
// service that answers seven calls a second keeps up, and three calls that fail still fit into ListPollInterval.
const (
	minListBackoffPart     = 20    // inverse of the smallest backoff's part of ListPollInterval
	maxListBackoffPart     = 2     // inverse of the largest one's
	listBackoffJitter      = 0.5   // a wait is at least this part of the backoff, and at most the whole
	subscribeSpreadPerPeer = 0.008 // part of ListPollInterval that each dispatcher above the threshold adds
	maxSubscribeSpread     = 0.25  // part of ListPollInterval
)

// handleList takes in the endpoint list, or that a call for it has failed: then the old list stands.
func (m *Machine) handleList(ev Event) {
	if ev.ListKind == ListFailed {
		m.retrySubscribe()
		return
	}
	m.listBackoff = 0
	if ev.ListKind == ListCached && m.settings.ListBySubscription {
		delay := m.subscribeDelay()
		if delay > 0 {
			m.emit(Action{Kind: SetTimer, Timer: subscribeTimer, Delay: delay})
		} else {
			m.emit(Action{Kind: Subscribe})
		}
	}
	m.applyList(ev)
}

// retrySubscribe schedules the next call for the list after one that failed.
func (m *Machine) retrySubscribe() {
	smallest := m.settings.ListPollInterval / minListBackoffPart
	largest := max(m.settings.ListPollInterval/maxListBackoffPart, m.settings.Tick)
	m.listBackoff = min(max(2*m.listBackoff, smallest), largest)
	jitter := listBackoffJitter + m.random.Float64()/2
	wait := seconds(m.listBackoff.Seconds()*jitter) + m.subscribeDelay()
	m.emit(Action{Kind: SetTimer, Timer: subscribeTimer, Delay: wait})
	m.logf("worker list unavailable, asking again in %v", wait)
}

// subscribeDelay is a random wait before a call for the list, so that a large fleet does not call at once.
func (m *Machine) subscribeDelay() time.Duration {
	if !m.settings.LargeFleet() {
		return 0
	}
	part := min(float64(m.settings.Peers-largeFleetThreshold)*subscribeSpreadPerPeer, maxSubscribeSpread)
	return seconds(part * m.settings.ListPollInterval.Seconds() * m.random.Float64())
}

// applyList applies a list to the known workers. The work for a delta goes with its length, not with the fleet's. A list
// may name a worker twice: the last entry counts, so removals come after all of them.
func (m *Machine) applyList(ev Event) {
	complete := ev.ListKind != ListDelta
	if complete {
		m.snapshots++
		m.warmWorkRatesAt = 0
	}
	if m.settings.LoadAdjustedWeights {
		for _, e := range ev.Endpoints {
			m.nominalWeight[e.Kind] = max(m.nominalWeight[e.Kind], e.Weight)
		}
	}
	for _, e := range ev.Endpoints {
		m.applyEndpoint(e, !complete)
	}
	for _, e := range ev.Endpoints {
		w := m.workers[e.Name]
		if w != nil && w.State == Removed {
			m.removeWorker(w)
		}
	}
	if complete {
		m.removeUnlisted()
	}
}

// removeUnlisted removes the workers that the latest complete list lacks.
func (m *Machine) removeUnlisted() {
	for i := len(m.fleet) - 1; i >= 0; i-- {
		w := m.fleet[i]
		if w.lastSnapshot != m.snapshots {
			m.removeWorker(w)
		}
	}
}

// applyEndpoint takes in what a list says of one worker; delta tells that its start is news.
func (m *Machine) applyEndpoint(e Endpoint, delta bool) {
	w := m.workers[e.Name]
	listedStart := e.StartedAt
	switch {
	case w == nil && e.State == Removed:
		return
	case w == nil:
		w = &worker{slowStartBudgetAt: m.now, nameHash: hashName(e.Name)}
		e.StartedAt = m.startTime(listedStart, delta)
		m.workers[e.Name] = w
		m.fleet = appendToList(m.fleet, inFleet, w)
		m.ringChanged(w)
		m.markZoneReachable(e.Zone)
	case listedStart > w.listedStart:
		m.setEjected(w, false)
		m.countRunning(w, -1)
		m.markZoneReachable(e.Zone) // workers start there
		*w = w.restarted(m.now)
		e.StartedAt = m.startTime(listedStart, delta)
	default:
		m.countRunning(w, -1)
		if listedStart == w.listedStart {
			e.StartedAt = w.StartedAt
		}
	}
	w.Endpoint = e
	w.lastSnapshot = m.snapshots
	w.listedStart = listedStart
	m.countRunning(w, 1)
	m.placeInLists(w)
	if m.settings.LoadAdjustedWeights && e.Weight > 0 {
		w.othersOutstanding = m.nominalWeight[e.Kind]/e.Weight - 1
		w.othersOutstandingAt = m.now
	}
}

// removeWorker forgets a worker that is gone. Attempts there go on.
func (m *Machine) removeWorker(w *worker) {
	m.setSuspended([]Endpoint{w.Endpoint}, false)
	m.countRunning(w, -1)
	w.State = Removed
	delete(m.workers, w.Name)
	m.fleet = removeFromList(m.fleet, inFleet, w)
	m.warmWorkers = removeFromList(m.warmWorkers, inWarmWorkers, w)
	m.localWarmWorkers = removeFromList(m.localWarmWorkers, inLocalWarmWorkers, w)
	m.warmingUp = removeFromList(m.warmingUp, inWarmingUp, w)
	m.ringChanged(w)
}

// countRunning adds a worker, with sign 1, or takes it off, with sign -1, where those that run are counted.
func (m *Machine) countRunning(w *worker, sign int) {
	if w.State != Running {
		return
	}
	m.runningCount += sign
	if w.ejected {
		m.ejectedCount += sign
	}
	for i := range m.settings.Classes {
		c := &m.settings.Classes[i]
		if !c.mayRunOn(w) {
			continue
		}
		m.eligible[c] += sign
		if m.eligible[c] == 0 {
			delete(m.eligible, c)
		}
	}
}

// setSuspended suspends workers, or resumes them. Attempts there go on.
func (m *Machine) setSuspended(endpoints []Endpoint, suspended bool) {
	for _, e := range endpoints {
		w := m.workers[e.Name]
		if w == nil || w.suspended == suspended {
			continue
		}
		w.suspended = suspended
		if suspended {
			m.suspendedCount++
		} else {
			m.suspendedCount--
		}
	}
}

// allSuspended tells whether there are suspended workers and no running one may be sent to.
func (m *Machine) allSuspended() bool {
	if m.suspendedCount == 0 {
		return false
	}
	return !slices.ContainsFunc(m.fleet, func(w *worker) bool { return w.State == Running && !w.suspended })
}
