package decision

import (
	"cmp"
	"math"
)

// The worker for a request is picked by power of two choices: workers are drawn at random until two can take
// the request, and the one with the shorter expected delay is chosen. Workers of the dispatcher's subset are
// drawn first: a dispatcher that spread few requests over a large fleet would have no recent report of any
// worker.
const (
	maxWarmDraws            = 32               // warm workers examined for one pick, to limit its cost
	maxWarmingUpDraws       = 4 * maxWarmDraws // workers in slow start examined; few of them have budget
	subsetRequestsPerWorker = 2                // recent requests for each worker of the subset
	minSubsetSize           = 4
	unknownWorkerWaits      = 4   // expected wait at a worker without a recent report, in mean waits
	zoneCostWeight          = 4   // own-zone bias: fraction of the time left per unit of CrossZoneCost
	cacheMissCostWeight     = 4   // owner bias: fraction of the time left per unit of CacheMissCost
	defaultOwnerBias        = 0.1 // smallest owner bias, since a miss takes time even without CacheMissCost
	maxUnstartedWaitTicks   = 4   // a worker is busy if an attempt has waited there for its start for longer
)

// pickWorker returns the worker for a request, nil if there is none. A worker in slow start that has budget
// is preferred: few dispatchers draw it, and otherwise it would idle until it has warmed up. Next, an owner
// of the request's key is preferred, and then a worker of the dispatcher's zone, unless the additional
// expected delay takes too much of the time left.
func (m *Machine) pickWorker(request *request) *worker {
	if worker := m.pickFrom(request, m.candidates.nextWarmingUp(), inWarmingUp); worker != nil {
		return worker
	}
	worker := m.pickFrom(request, m.candidates.warm, inWarm)
	timeLeft := max(request.objective-m.now, 0).Seconds()
	ownerBias := max(cacheMissCostWeight*m.settings.CacheMissCost, defaultOwnerBias)
	owner := m.pickOwner(request)
	if m.preferred(request, owner, worker, ownerBias*timeLeft) {
		return owner
	}
	zoneBias := zoneCostWeight * m.settings.CrossZoneCost
	if zoneBias <= 0 || worker != nil && worker.Zone == m.settings.Zone {
		return worker
	}
	local := m.pickFrom(request, m.candidates.localWarm, inLocalWarm)
	if m.preferred(request, local, worker, zoneBias*timeLeft) {
		return local
	}
	return worker
}

// preferred reports whether to choose a candidate, if there is one, rather than another worker: its expected
// delay must exceed the other's by less than the bias, in seconds.
func (m *Machine) preferred(request *request, candidate, other *worker, bias float64) bool {
	if candidate == nil || other == nil {
		return candidate != nil
	}
	return m.expectedDelay(request, candidate)-m.expectedDelay(request, other) < bias
}

// pickOwner returns an owner of the request's key that can take it. It starts with initialOwners and doubles
// the number of owners, up to maxOwners, until one can.
func (m *Machine) pickOwner(request *request) *worker {
	if request.keyHash == 0 {
		return nil
	}
	for n := m.settings.initialOwners(); n <= maxOwners; n *= 2 {
		owners := m.ring.ownersOf(request.keyHash, n, m.fleet)
		if worker := m.pickFrom(request, owners, inOwners); worker != nil {
			return worker
		}
	}
	return nil
}

// pickFrom draws workers from a list until two can take the request, and returns the one with the shorter
// expected delay. A worker in slow start that can take the request is returned at once, since it may have
// won a random draw for its budget, which would be wasted. The subset, at the head of the list, is drawn
// before the rest. Drawn workers move to the front, so that the head remains a random but stable part of the
// fleet.
func (m *Machine) pickFrom(request *request, from []*worker, id listID) (best *worker) {
	found := 0
	drawnWarm := 0
	for i := 0; i < len(from) && drawnWarm < maxWarmDraws && found < 2; i++ {
		end := len(from)
		if i < m.candidates.subsetSize {
			end = min(end, m.candidates.subsetSize)
		}
		swapInList(from, id, i, i+m.random.IntN(end-i))
		worker := from[i]
		warm := m.capacityFraction(worker) >= 1
		if warm {
			drawnWarm++
		}
		if !m.canTake(request, worker) {
			continue
		}
		if !warm {
			return worker
		}
		found++
		if best == nil || m.expectedDelay(request, worker) < m.expectedDelay(request, best) {
			best = worker
		}
	}
	return best
}

// canTake reports whether a worker may get the request now. The slow-start budget is checked last, since the
// check may spend it.
func (m *Machine) canTake(request *request, worker *worker) bool {
	return m.mayAssign(request, worker) && !m.busy(request, worker) &&
		m.usable(request, worker) && m.withinSlowStartBudget(request, worker)
}

// expectedDelay is the expected number of seconds until the request ends at a worker: the slots outstanding
// there, from this and other dispatchers and for the request itself, times the run time, plus the wait for a
// start.
//
// Confidence in the last report of a worker decays over the planning horizon. As it decays, a multiple of
// the mean wait replaces the reported load. Otherwise workers without recent reports would look idle to all
// dispatchers.
func (m *Machine) expectedDelay(request *request, worker *worker) float64 {
	knownAt := max(worker.startWait.at, worker.load.othersOutstandingAt)
	confidence := math.Exp((knownAt - m.now).Seconds() / m.planningHorizon.Seconds())
	slots := worker.outstanding + worker.load.othersOutstanding*confidence + request.slots
	return slots*m.expectedRunTime(request, worker) +
		m.expectedStartWait(worker) + unknownWorkerWaits*m.estimates.meanStartWait*(1-confidence)
}

// expectedRunTime is the run time of the request at a worker, in seconds.
func (m *Machine) expectedRunTime(request *request, worker *worker) float64 {
	ratio := cmp.Or(worker.runTimeRatio, m.estimates.kindRunTimeRatio[worker.Kind], 1)
	return request.work * ratio / m.capacityFraction(worker)
}

// expectedStartWait is the expected wait for a start at a worker, in seconds. It is the learned wait, which
// decays, but at least the time that the oldest unstarted attempt of this dispatcher has waited there
// already.
func (m *Machine) expectedStartWait(worker *worker) float64 {
	wait := worker.startWait.get(m.now, m.planningHorizon/4)
	if m.settings.StartNotices && worker.unstarted > 0 {
		wait = max(wait, (m.now - worker.unstartedSince).Seconds())
	}
	return wait
}

// mayAssign reports whether an attempt at a worker is permitted: the worker is running and not suspended,
// may run the class, and no effect can happen twice. A worker to which the request was assigned within the
// planning horizon does not get it again, unless it is the only worker.
func (m *Machine) mayAssign(request *request, worker *worker) bool {
	class := request.class
	if worker.State != Running || worker.suspended || !class.mayRunOn(worker) || m.mustNotRepeat(request) {
		return false
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.worker == worker && m.now-attempt.assignedAt < m.planningHorizon && len(m.fleet) > 1 {
			return false
		}
		mayRepeat := class.Idempotency != Deduplicated || class.DedupScope.covers(attempt.worker, worker)
		if !attempt.neverRan && !mayRepeat {
			return false
		}
	}
	return true
}

// busy reports whether the request would wait at the worker for too long. Then it is better to keep it in
// this dispatcher's queue, from which it goes to the first worker with capacity.
func (m *Machine) busy(request *request, worker *worker) bool {
	if m.saturated(request, worker) {
		return true
	}
	maxWait := maxUnstartedWaitTicks * m.settings.Tick
	if m.settings.StartNotices && worker.unstarted > 0 && m.now-worker.unstartedSince > maxWait {
		return true
	}
	timeLeft := (request.objective - m.now).Seconds() - m.expectedRunTime(request, worker)
	return !request.late && m.expectedStartWait(worker) > timeLeft
}
