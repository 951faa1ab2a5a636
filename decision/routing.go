package decision

import (
	"cmp"
	"math"
)

// A pick compares two usable workers that are drawn at random, by the delay that the request can expect there. It draws
// from the dispatcher's subset first: one that spread few requests over a large fleet would know nothing recent of any
// worker. The figures were tuned in the simulator's scenarios.
const (
	maxWarmDraws        = 32               // warm workers looked at for one pick, to bound its work
	maxWarmingUpDraws   = 4 * maxWarmDraws // workers in slow start looked at; few of them have budget
	subsetJobsPerWorker = 2                // recent requests for each worker of the subset
	minSubsetSize       = 4
	unknownWorkerWaits  = 4   // mean waits that count for a worker of which nothing recent is known
	zoneCostWeight      = 4   // part of the time left that a unit of CrossZoneCost is worth
	cacheMissCostWeight = 4   // part of the time left that a unit of CacheMissCost is worth
	defaultOwnerBias    = 0.1 // the least such part: a cache miss takes time even where it has no price
	unstartedPatience   = 4   // ticks for which an attempt may wait for its start before its worker gets no others
)

// pickWorker returns the worker for a request, nil if there is none. One in slow start that has budget comes first: few
// dispatchers draw it, and it would idle until it has warmed up. Of the others, an owner of the request's key, and then a
// worker of the own zone, is preferred unless it costs too much of the time left.
func (m *Machine) pickWorker(r *request) *worker {
	if w := m.pickFrom(r, m.nextWarmingUp(), inWarmingUp); w != nil {
		return w
	}
	w := m.pickFrom(r, m.warmWorkers, inWarmWorkers)
	timeLeft := max(r.objective-m.now, 0).Seconds()
	ownerBias := max(cacheMissCostWeight*m.settings.CacheMissCost, defaultOwnerBias)
	owner := m.pickOwner(r)
	if owner != nil && (w == nil || m.expectedDelay(r, owner)-m.expectedDelay(r, w) < ownerBias*timeLeft) {
		return owner
	}
	zoneBias := zoneCostWeight * m.settings.CrossZoneCost
	if zoneBias <= 0 || w != nil && w.Zone == m.settings.Zone {
		return w
	}
	local := m.pickFrom(r, m.localWarmWorkers, inLocalWarmWorkers)
	if local != nil && (w == nil || m.expectedDelay(r, local)-m.expectedDelay(r, w) < zoneBias*timeLeft) {
		return local
	}
	return w
}

// pickOwner returns one of the owners of the request's key, from ever more of them until one can take it.
func (m *Machine) pickOwner(r *request) *worker {
	if r.keyHash == 0 {
		return nil
	}
	for n := m.initialOwners; n <= maxOwners; n *= 2 {
		if w := m.pickFrom(r, m.ownersOf(r.keyHash, n), inOwners); w != nil {
			return w
		}
	}
	return nil
}

// pickFrom draws workers from a list until two can take the request, and returns the one with the shorter expected
// delay; of those in slow start the first. It draws from the head of the list, the subset, before the rest of it, and
// moves what it draws to the front, so that the head stays a random but stable part of the fleet.
func (m *Machine) pickFrom(r *request, from []*worker, id listID) (best *worker) {
	found := 0
	drawnWarm := 0
	for i := 0; i < len(from) && drawnWarm < maxWarmDraws && found < 2; i++ {
		end := len(from)
		if i < m.subsetSize {
			end = min(end, m.subsetSize)
		}
		swapInList(from, id, i, i+m.random.IntN(end-i))
		w := from[i]
		warm := m.capacityFraction(w) >= 1
		if warm {
			drawnWarm++
		}
		if !m.mayAssign(r, w) || m.busy(r, w) || !m.usable(r, w) || !m.withinSlowStartBudget(r, w) {
			continue
		}
		if !warm {
			return w
		}
		found++
		if best == nil || m.expectedDelay(r, w) < m.expectedDelay(r, best) {
			best = w
		}
	}
	return best
}

// expectedDelay is in how many seconds the request can be expected to end at a worker: the slots outstanding there, own
// and others', times the run time, and the wait for a start. What is known of a worker fades over the planning horizon,
// and a multiple of the mean wait takes its place, lest workers of which nothing is known look the best to all.
func (m *Machine) expectedDelay(r *request, w *worker) float64 {
	knownAt := max(w.startWait.at, w.othersOutstandingAt)
	known := math.Exp((knownAt - m.now).Seconds() / m.planningHorizon.Seconds())
	return (w.outstanding+w.othersOutstanding*known+r.slots)*m.expectedRunTime(r, w) +
		m.expectedStartWait(w) + unknownWorkerWaits*m.meanStartWait*(1-known)
}

// expectedRunTime is the run time of the request at a worker, in seconds.
func (m *Machine) expectedRunTime(r *request, w *worker) float64 {
	return r.work * cmp.Or(w.runTimeRatio, m.kindRunTimeRatio[w.Kind], 1) / m.capacityFraction(w)
}

// expectedStartWait is the wait for a start at a worker, in seconds: as learned, which fades, but at least for as long
// as the oldest of this dispatcher's attempts waits there already.
func (m *Machine) expectedStartWait(w *worker) float64 {
	wait := w.startWait.get(m.now, m.planningHorizon/4)
	if m.settings.StartNotices && w.unstarted > 0 {
		wait = max(wait, (m.now - w.unstartedSince).Seconds())
	}
	return wait
}

// mayAssign tells whether the rules allow an attempt at a worker: it runs, is open to the class, and no effect can
// happen twice. A worker that had the request lately does not get it again, unless it is the only one.
func (m *Machine) mayAssign(r *request, w *worker) bool {
	if w.State != Running || w.suspended || !r.class.mayRunOn(w) || m.mustNotRepeat(r) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.worker == w && m.now-a.sentAt < m.planningHorizon && len(m.fleet) > 1 {
			return false
		}
		if !a.neverRan && r.class.Idempotency == Deduplicated && !r.class.DedupScope.covers(a.worker, w) {
			return false
		}
	}
	return true
}

// busy tells whether the request would wait at a worker in vain. While it waits here, the first worker with room can
// take it.
func (m *Machine) busy(r *request, w *worker) bool {
	if m.saturated(r, w) {
		return true
	}
	patience := unstartedPatience * m.settings.Tick
	if m.settings.StartNotices && w.unstarted > 0 && m.now-w.unstartedSince > patience {
		return true
	}
	timeLeft := (r.objective - m.now).Seconds() - m.expectedRunTime(r, w)
	return !r.late && m.expectedStartWait(w) > timeLeft
}
