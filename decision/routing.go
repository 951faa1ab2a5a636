package decision

import (
	"cmp"
	"math"
)

// A pick compares two usable workers that are drawn at random, by the delay that the request can expect
// there. It draws from the dispatcher's subset first: one that spread few requests over a large fleet would
// know nothing recent of any worker. The figures were inherited with the decision machine, but for
// unknownWorkerWaits and zoneCostWeight, which were chosen by the mean score of simulated days, and
// defaultOwnerBias.
const (
	maxWarmDraws            = 32               // warm workers looked at for one pick, to bound its work
	maxWarmingUpDraws       = 4 * maxWarmDraws // workers in slow start looked at; few of them have budget
	subsetRequestsPerWorker = 2                // recent requests for each worker of the subset
	minSubsetSize           = 4
	unknownWorkerWaits      = 4   // mean waits that count for a worker of which nothing recent is known
	zoneCostWeight          = 4   // part of the time left for a unit of CrossZoneCost
	cacheMissCostWeight     = 4   // part of the time left for a unit of CacheMissCost
	defaultOwnerBias        = 0.1 // the least such part: a cache miss takes time even where it has no price
	unstartedPatience       = 4   // ticks that an attempt may wait for its start before its worker is busy
)

// pickWorker returns the worker for a request, nil if there is none. One in slow start that has budget
// comes first: few dispatchers draw it, and it would idle until it has warmed up. Of the others, an owner
// of the request's key, and then a worker of the own zone, is preferred unless it costs too much of the
// time left.
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

// preferred reports whether a candidate, if there is one, is to be taken rather than another worker: its
// expected delay is longer by less than the bias, in seconds.
func (m *Machine) preferred(request *request, candidate, other *worker, bias float64) bool {
	if candidate == nil || other == nil {
		return candidate != nil
	}
	return m.expectedDelay(request, candidate)-m.expectedDelay(request, other) < bias
}

// pickOwner returns one of the owners of the request's key, from ever more of them until one can take it.
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
// expected delay; of those in slow start the first. It draws from the head of the list, the subset, before
// the rest of it, and moves what it draws to the front, so that the head stays a random but stable part of
// the fleet.
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

// canTake reports whether a worker may have the request now. The slow-start budget comes last, since it may
// be drawn for.
func (m *Machine) canTake(request *request, worker *worker) bool {
	return m.mayAssign(request, worker) && !m.busy(request, worker) &&
		m.usable(request, worker) && m.withinSlowStartBudget(request, worker)
}

// expectedDelay is in how many seconds the request can be expected to end at a worker: the slots
// outstanding there, own and others', times the run time, and the wait for a start. What is known of a
// worker fades over the planning horizon, and a multiple of the mean wait takes its place, lest workers of
// which nothing is known look the best to all.
func (m *Machine) expectedDelay(request *request, worker *worker) float64 {
	knownAt := max(worker.startWait.at, worker.othersOutstandingAt)
	known := math.Exp((knownAt - m.now).Seconds() / m.planningHorizon.Seconds())
	slots := worker.outstanding + worker.othersOutstanding*known + request.slots
	return slots*m.expectedRunTime(request, worker) +
		m.expectedStartWait(worker) + unknownWorkerWaits*m.estimates.meanStartWait*(1-known)
}

// expectedRunTime is the run time of the request at a worker, in seconds.
func (m *Machine) expectedRunTime(request *request, worker *worker) float64 {
	ratio := cmp.Or(worker.runTimeRatio, m.estimates.kindRunTimeRatio[worker.Kind], 1)
	return request.work * ratio / m.capacityFraction(worker)
}

// expectedStartWait is the wait for a start at a worker, in seconds: as learned, which fades, but at least
// for as long as the oldest of this dispatcher's attempts waits there already.
func (m *Machine) expectedStartWait(worker *worker) float64 {
	wait := worker.startWait.get(m.now, m.planningHorizon/4)
	if m.settings.StartNotices && worker.unstarted > 0 {
		wait = max(wait, (m.now - worker.unstartedSince).Seconds())
	}
	return wait
}

// mayAssign reports whether the rules allow an attempt at a worker: it runs, is open to the class, and no
// effect can happen twice. A worker that had the request lately does not get it again, unless it is the
// only one.
func (m *Machine) mayAssign(request *request, worker *worker) bool {
	class := request.class
	if worker.State != Running || worker.suspended || !class.mayRunOn(worker) || m.mustNotRepeat(request) {
		return false
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.worker == worker && m.now-attempt.sentAt < m.planningHorizon && len(m.fleet) > 1 {
			return false
		}
		mayRepeat := class.Idempotency != Deduplicated || class.DedupScope.covers(attempt.worker, worker)
		if !attempt.neverRan && !mayRepeat {
			return false
		}
	}
	return true
}

// busy reports whether the request would wait at a worker without success. While it waits here, the first
// worker with capacity can take it.
func (m *Machine) busy(request *request, worker *worker) bool {
	if m.saturated(request, worker) {
		return true
	}
	patience := unstartedPatience * m.settings.Tick
	if m.settings.StartNotices && worker.unstarted > 0 && m.now-worker.unstartedSince > patience {
		return true
	}
	timeLeft := (request.objective - m.now).Seconds() - m.expectedRunTime(request, worker)
	return !request.late && m.expectedStartWait(worker) > timeLeft
}
