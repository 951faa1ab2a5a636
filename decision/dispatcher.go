package decision

// The decisions of a dispatcher. Its interface is in api.go, its state in state.go; why: docs/design.md.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const ( // ratios and counts; all times derive from the settings
	sweepTimer   = uint64(1) << 62 // timer of the sweep; a request's own timer is its id
	subscribeTimer   = sweepTimer + 1   // timer that renews the subscription
	cooldownTimer   = sweepTimer + 2   // timer of a key that has rested, to look at the queue
	initialSlotsPerWorker  = 8.0             // slots a worker that all dispatchers start with together
	ceilingFloorRatio  = 0.25            // share of them below which no ceiling is cut
	ceilingRaiseStep   = 0.4             // slots that a served slot adds to its ceiling when none fail
	concurrencyHeadroom   = 3.0             // slots of room above the ceiling, for the spread of a small stream
	badRatioSpan     = 16              // outcomes over which the share of bad ones is taken
	overloadBadRatio     = 0.25            // share of bad outcomes from which late jobs make way
	minPricedJobs     = 20              // below so many recent jobs nothing is priced; also the span of means
	maxQueueSkips    = 8               // waiting jobs of a class that may be passed over when they do not fit
	zoneCostWeight    = 4               // how much of a job's time a point of cross-zone price weighs
	cacheMissCostWeight    = 4               // and a point of the price of a fetch
	defaultOwnerBias   = 0.1             // and a fetch without a price: its time is part of the job's
	unreachableZoneConnects    = 2               // failed connects in a row from which a zone looks lost
	ejectionThreshold = 0.4             // failure score that ejects a worker
	unknownWorkerWaits = 4               // mean waits that one may have where nothing has been heard of it lately
	subsetJobsPerWorker     = 2               // jobs that a worker of the own set gets in a horizon
	minSubsetSize    = 4               // workers in the own set at the least
	maxWarmDraws   = 32              // warm workers looked at for one pick
	maxWarmingUpDraws   = 4 * maxWarmDraws   // and cold ones, which have room seldom
	minOwners  = 2               // homes of a key at first, where a fetch has a price
	maxOwners   = 8               // and at the most, or without a price at once
	healthChecksPerArrival      = 2               // workers probed for each arrival
	slowStartSafety  = 0.4             // share of the cold budget used: saved, new and half of one make all
	smallHintCorrection   = 0.25            // how far a job with a small hint may lie towards the mean of its class
	maxConsecutiveInvalid     = 4               // jobs in a row that a worker calls unusable and is believed
	largeFleetThreshold    = 8               // dispatchers that may call for the list without a spread
	subscribeSpreadPerPeer    = 0.008           // of the time allowed without asking that each further one adds to it
	maxSubscribeSpread  = 0.25            // of it at the most: three calls that fail, each in its time, are no breach
	slowStartMaxJob   = 0.31            // largest job for a cold worker, as a share of the used budget of all
	slowStartSavedWindows   = 2               // fall windows for which a cold budget may be saved
)

// initEstimates derives the times from the settings and starts permissive.
func (m *Machine) initEstimates() {
	longest := time.Duration(0)
	for i, c := range m.settings.Classes {
		longest = max(longest, c.Deadline)
		m.classMeanWork[i] = max(c.LatencyObjective, m.settings.Tick).Seconds()
	}
	m.planningHorizon, m.sweepInterval = max(longest/4, m.settings.Tick), m.shortestSweepInterval()
	m.bucketTokens, m.concurrencyPerWorker, m.subsetSize = math.Inf(1), initialSlotsPerWorker/float64(m.settings.Peers), 2*minSubsetSize
	m.workRatePerWorker, m.safeIdleTime = m.concurrencyPerWorker, cmp.Or(m.settings.ConnectionIdleTimeout, math.MaxInt64/2)
	if m.initialOwners = maxOwners; m.settings.CacheMissCost > 0 {
		m.initialOwners = minOwners
	}
}

// Handle takes in what happened at time now and appends what must be done to out.
func (m *Machine) Handle(now time.Duration, ev Event, out []Action) []Action {
	m.now, m.actions = max(m.now, now), out
	switch ev.Kind {
	case ListUpdated:
		m.handleList(ev)
	case RequestArrived:
		m.handleArrival(ev)
	case AttemptEnded:
		m.handleAttemptEnded(ev)
	case AttemptStarted, AttemptProgressed:
		m.handleProgress(ev)
	case HealthChecked:
		m.recordLoad(ev)
	case FirstByte, ClientDisconnected: // the client has its answer, or wants none
		if r := m.requests[ev.Request]; r != nil {
			m.finish(r)
		}
	case TimerFired:
		m.handleTimer(ev.Timer)
	case ReservedElsewhere:
		m.recordReservedElsewhere(m.workers[ev.Worker], ev.Reservation)
	case SettingsChanged:
		m.reconfigure(ev.Settings)
	case WorkersSuspended, WorkersResumed:
		m.setSuspended(ev.Endpoints, ev.Kind == WorkersSuspended)
	}
	m.dispatchQueue()
	out, m.actions = m.actions, nil
	return out
}

// ---- Admission: the price filter, then lease AND bucket, then the pick.

func (m *Machine) handleArrival(ev Event) {
	if m.requests[ev.Request] != nil {
		return
	}
	m.countArrival()
	if ev.Class < 0 || ev.Class >= len(m.settings.Classes) {
		m.emit(Action{Kind: Fail, Request: ev.Request})
		return
	}
	r := &request{id: ev.Request, class: &m.settings.Classes[ev.Class], slots: 1}
	m.requests[r.id] = r
	r.deadline = m.now + min(ev.TimeLeft, r.class.Deadline) - 2*m.settings.Tick
	if ev.Slots > 0 && ev.Slots < math.MaxInt32 {
		r.slots = ev.Slots
	}
	r.work, r.classMeanWork = m.classMeanWork[ev.Class], m.classMeanWork[ev.Class]
	if ev.Work > 0 {
		r.work = max(min(ev.Work, 10*r.class.Deadline), m.settings.Tick).Seconds()
		r.holdTime = r.work
		m.classMeanWork[ev.Class] += (r.work - m.classMeanWork[ev.Class]) / minPricedJobs
	}
	r.cost, r.value = r.slots*r.work, r.class.PriorityWeight
	if m.settings.WeightByWork {
		r.value *= r.work
	}
	// The aim runs from the client's first try: a repeat, or what a stall held, has less time left.
	full := &m.maxTimeLeft[ev.Class]
	*full = max(*full, min(ev.TimeLeft, r.class.Deadline))
	gone := max(*full-ev.TimeLeft, 0)
	if ev.ClientRetry {
		gone = max(r.class.Deadline-ev.TimeLeft, 0)
	}
	ev.ClientRetry = ev.ClientRetry || !m.settings.ClientsMarkRetries && gone > m.sweepInterval
	over := m.overQuota(ev)
	if over {
		r.value *= m.settings.OverQuotaWeight
	}
	r.objective = min(m.now+r.class.LatencyObjective+seconds(r.class.ObjectiveStretch*r.work), r.deadline) - gone
	if !ev.ClientRetry {
		m.addToMix(r, jobGroupKey{ev.Class, over, int(math.Log2(r.slots)), int(math.Log2(r.work) / 2)})
	}
	if r.deadline <= m.now || m.worthless(r) || !m.paysPrices(r) || m.delaysOthers(r) {
		m.rejectOrFail(r)
		return
	}
	if home, met := m.recordKey(ev.Key); m.settings.CacheMissCost > 0 || !met && m.ejectedCount == 0 && m.badRatio < overloadBadRatio {
		r.keyHash = home
	}
	if r.class.Serialized && ev.Key != "" {
		m.joinKeyQueue(r, ev.Key)
	}
	m.emit(Action{Kind: SetTimer, Timer: r.id, Delay: r.deadline - m.now})
	m.unanswered = append(m.unanswered, r)
	m.scheduleSweep()
	m.enqueue(r)
	m.requestHealthChecks()
}

// overQuota tells whether an arrival is beyond its tenant's quota: an even part, or that of the traffic here.
func (m *Machine) overQuota(ev Event) bool {
	if ev.Tenant < 0 || ev.Tenant >= len(m.tenants) {
		return false
	}
	t := &m.tenants[ev.Tenant]
	if ev.ClientRetry {
		return t.tokens < 1 // it was counted at its first try
	}
	t.arrivals.add(m.now, m.planningHorizon, 1)
	arrivals, quotas := m.tenantTraffic()
	part := max(1/float64(m.settings.Peers), arrivals/max(quotas, math.SmallestNonzeroFloat32))
	allowed := part * m.settings.TenantQuotas[ev.Tenant]
	depth := max(allowed*m.planningHorizon.Seconds()/2, 1)
	if t.refilledAt == 0 {
		t.tokens = depth
	}
	t.tokens, t.refilledAt = min(t.tokens+allowed*(m.now-t.refilledAt).Seconds(), depth), m.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// paysPrices is the price filter. It runs before any debit.
func (m *Machine) paysPrices(r *request) bool {
	return r.value >= (m.workPrice*r.cost+m.slotPrice*r.holdTime)*(1-1e-9)
}

// worthless tells whether an answer earns nothing any more. Given up means answered: no such job is held.
func (m *Machine) worthless(r *request) bool { return m.now >= r.objective && r.class.LateWeight <= 0 }

// compareByDensity orders the queue: the highest value per cost first, then the nearest aim.
func compareByDensity(a, b *request) int {
	density := cmp.Compare(b.value/b.cost, a.value/a.cost)
	return cmp.Or(density, cmp.Compare(a.objective, b.objective), cmp.Compare(a.id, b.id))
}

// dispatchQueue places waiting jobs, the highest value per cost first, and passes over a few of each class in vain.
func (m *Machine) dispatchQueue() {
	m.endCooldowns()
	clear(m.misses)
	m.queue = slices.DeleteFunc(m.queue, func(r *request) bool {
		if !r.ended && (m.now < r.notBefore || m.awaitsKey(r) || m.misses[r.class] >= maxQueueSkips) {
			return false
		}
		if !r.ended && !m.withinRetryBudget(r) { // others have spent the budget meanwhile
			m.rejectOrFail(r)
		}
		if r.queued = !r.ended && !m.tryAssign(r); r.queued {
			m.misses[r.class]++
		}
		return !r.queued
	})
}

// concurrencyCeiling is what may be in flight; the room guards against refusals beside idle workers where it is tiny.
func (m *Machine) concurrencyCeiling() float64 { return m.concurrencyPerWorker*m.readyWorkers() + concurrencyHeadroom }

// withinConcurrency tells whether the in-flight ceiling lets the request in; one is always let in.
func (m *Machine) withinConcurrency(r *request) bool {
	return m.countedInFlight() <= 0 || m.countedInFlight()+r.slots <= m.concurrencyCeiling()
}

// tryAssign ANDs the lease with the bucket and starts an attempt; a deny frees the lease.
func (m *Machine) tryAssign(r *request) bool {
	if r.ended || m.awaitsKey(r) || !m.withinRetryBudget(r) || !m.withinConcurrency(r) {
		return false
	}
	m.inFlight += r.slots
	rate, depth := m.workRatePerWorker*m.readyWorkers(), m.bucketCapacity()
	m.bucketTokens, m.bucketRefilledAt = min(m.bucketTokens+rate*(m.now-m.bucketRefilledAt).Seconds(), depth), m.now
	var w *worker
	if m.bucketTokens >= min(r.cost, depth) {
		w = m.pickWorker(r)
	}
	if w == nil {
		m.inFlight -= r.slots
		return false
	}
	m.bucketTokens -= r.cost
	if n := len(w.idleConnections); n > 0 && m.now-w.idleConnections[n-1] > m.safeIdleTime {
		m.closeIdleConnections(w)
	}
	if w.ejected { // a trial: the next one comes later
		m.scheduleTrial(w)
	}
	m.startAttempt(r, w)
	return true
}

// ---- The pick: of two sampled ready workers, the lower expected delay.

func (m *Machine) pickWorker(r *request) *worker {
	// A cold worker with room comes first. Guards against newcomers, in few own sets, idle until warm.
	if w := m.pickFrom(r, m.nextWarmingUp(), inWarmingUp); w != nil {
		return w
	}
	w := m.pickFrom(r, m.warmWorkers, inWarmWorkers)
	left, price := max(r.objective-m.now, 0).Seconds(), max(cacheMissCostWeight*m.settings.CacheMissCost, defaultOwnerBias)
	if n := m.pickOwner(r); n != nil && (w == nil || m.expectedDelay(r, n)-m.expectedDelay(r, w) < price*left) {
		return n
	}
	if price = zoneCostWeight * m.settings.CrossZoneCost; price > 0 && (w == nil || w.Zone != m.settings.Zone) { // two near
		n := m.pickFrom(r, m.localWarmWorkers, inLocalWarmWorkers)
		if n != nil && (w == nil || m.expectedDelay(r, n)-m.expectedDelay(r, w) < price*left) {
			return n
		}
	}
	return w
}

// pickOwner samples a key's homes: where a fetch has a price, the next two on a common ring, else more.
func (m *Machine) pickOwner(r *request) (w *worker) {
	for n := m.initialOwners; n <= maxOwners && w == nil && r.keyHash != 0; n *= 2 {
		w = m.pickFrom(r, m.ownersOf(r.keyHash, n), inOwners)
	}
	return w
}

// pickFrom draws workers until two are ready and returns the one with the pickFrom expected delay. The own set, the
// head of a random stable order, comes first, lest knowledge of all be old. Draws are bounded for CPU.
func (m *Machine) pickFrom(r *request, from []*worker, id listID) (best *worker) {
	for i, found, drawn := 0, 0, 0; i < len(from) && drawn < maxWarmDraws && found < 2; i++ {
		span := len(from)
		if i < m.subsetSize { // the own set first, all others only when it has not two ready
			span = min(span, m.subsetSize)
		}
		swapInList(from, id, i, i+m.random.IntN(span-i))
		w := from[i]
		weight := 2 // of the cold ones the first with room is taken
		if m.capacityFraction(w) >= 1 {
			drawn, weight = drawn+1, 1
		}
		if !m.mayAssign(r, w) || m.busy(r, w) || !m.usable(r, w) || !m.withinSlowStartBudget(r, w) {
			continue
		}
		if found += weight; best == nil || weight > 1 || m.expectedDelay(r, w) < m.expectedDelay(r, best) {
			best = w
		}
	}
	return best
}

// expectedDelay is outstanding slots, own and others' as told, times learned seconds a slot, and the wait seen there.
// What was told fades, and the mean wait takes its place, lest workers unheard of look the best to all.
func (m *Machine) expectedDelay(r *request, w *worker) float64 {
	fade := math.Exp((max(w.startWait.at, w.othersOutstandingAt) - m.now).Seconds() / m.planningHorizon.Seconds())
	return (w.outstanding+w.othersOutstanding*fade+r.slots)*m.expectedRunTime(r, w) + m.expectedStartWait(w) + unknownWorkerWaits*m.meanStartWait*(1-fade)
}

func (m *Machine) expectedRunTime(r *request, w *worker) float64 {
	return r.work * cmp.Or(w.runTimeRatio, m.kindRunTimeRatio[w.Kind], 1) / m.capacityFraction(w)
}

// expectedStartWait is the wait for a start there: learned, fading, at least the oldest own job's so far.
func (m *Machine) expectedStartWait(w *worker) float64 {
	wait := w.startWait.get(m.now, m.planningHorizon/4)
	if m.settings.StartNotices && w.unstarted > 0 {
		wait = max(wait, (m.now - w.unstartedSince).Seconds())
	}
	return wait
}

// mayRunOn tells whether a worker is open to the class, by its kind and zone in the latest list.
func (c *Class) mayRunOn(w *worker) bool {
	return (c.Kinds == nil || slices.Contains(c.Kinds, w.Kind)) &&
		(c.Zones == nil || slices.Contains(c.Zones, w.Zone))
}

// awaitsKey tells whether an earlier request with its key is not over, or may still run where this has not.
func (m *Machine) awaitsKey(r *request) bool {
	t := r.keyQueue
	return t != nil && (t.requests[0] != r || len(r.attempts) == 0 && m.now < t.cooldownUntil)
}

// withinRetryBudget tells whether the budget of attempts beyond a request's first has room, to be safe a tick less.
func (m *Machine) withinRetryBudget(r *request) bool {
	if len(r.attempts) == 0 || m.settings.RetryBudgetWindow <= 0 {
		return true
	}
	m.arrivals = dropBefore(m.arrivals, m.now-m.settings.RetryBudgetWindow+m.settings.Tick)
	m.retries = dropBefore(m.retries, m.now-m.settings.RetryBudgetWindow-m.settings.Tick)
	return float64(len(m.retries)+1) <= m.settings.RetryBudgetFloor+m.settings.RetryBudgetRatio*float64(len(m.arrivals))
}

// mayAssign is the gate of the rules: open to the class, not draining, no effect that could happen twice.
func (m *Machine) mayAssign(r *request, w *worker) bool {
	if w.State != Running || w.suspended || !r.class.mayRunOn(w) || m.mustNotRepeat(r) {
		return false
	}
	for _, a := range r.attempts {
		if a.worker == w && m.now-a.sentAt < m.planningHorizon && len(m.fleet) > 1 {
			return false // it has just failed this job
		}
		if !a.neverRan && r.class.Idempotency == Deduplicated && !r.class.DedupScope.covers(a.worker, w) {
			return false
		}
	}
	return true
}

// mustNotRepeat tells whether no attempt may follow one that may have run: by the class, or as its window is over.
func (m *Machine) mustNotRepeat(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool {
		over := r.class.Idempotency == Deduplicated && m.now-a.sentAt >= r.class.DedupWindow-m.settings.Tick
		return !a.neverRan && (over || r.class.Idempotency == NonIdempotent)
	})
}

// busy tells whether a job would wait there in vain, by what the worker has told.
func (m *Machine) busy(r *request, w *worker) bool {
	left := (r.objective - m.now).Seconds() - m.expectedRunTime(r, w)
	if m.now < max(w.saturatedUntil, w.rejectionsOf(r.class).blockedUntil) ||
		m.settings.StartNotices && w.unstarted > 0 && m.now-w.unstartedSince > 4*m.settings.Tick ||
		!r.late && m.expectedStartWait(w) > left { // late there; held here, the first free worker takes it
		return true
	}
	return w.freeSlotsAt > 0 && m.now-w.freeSlotsAt < max(seconds(m.meanLatency), m.sweepInterval) && w.freeSlots < r.slots
}

// inPanic: if most look bad, the trouble is not theirs, and all are used.
func (m *Machine) inPanic() bool { return 2*(m.runningCount-m.ejectedCount) <= len(m.fleet) }

// usable ejects lost zones, and suspects but for a due trial, a fragile one only when half has faded.
func (m *Machine) usable(r *request, w *worker) bool {
	return !m.zoneUnreachable(w) && (!w.ejected || m.inPanic() || m.now >= w.trialAt &&
		(r.class.Idempotency != NonIdempotent || w.failureScore.get(m.now, m.planningHorizon) < ejectionThreshold/2))
}

// zoneUnreachable tells whether a worker's zone looks lost: connects there fail in a row, and others are heard of since.
// Guards against a time-out for each of its workers at each dispatcher, until the list tells of it.
func (m *Machine) zoneUnreachable(w *worker) bool {
	z := m.zone(w.Zone)
	rest := min(m.settings.ConnectTimeout<<min(z.failedConnects, 8), m.planningHorizon) // then a trial is due, ever later
	return z.failedConnects >= unreachableZoneConnects && m.now-z.lastAttemptAt < rest && m.lastSeen > z.firstFailureAt
}

// withinSlowStartBudget keeps to this dispatcher's part of what all may send a cold worker, by what warm ones take. It is
// staked on the first job and on any above it, and never on twice the mean: a busy one thinks all peers busy.
func (m *Machine) withinSlowStartBudget(r *request, w *worker) bool {
	if m.capacityFraction(w) >= 1 || m.settings.OverloadWindow <= 0 { // a rule of length 0 is off
		return true
	}
	rate := slowStartSafety * m.settings.OverloadMultiple * m.capacityFraction(w) * m.warmWorkRate(w.Kind)
	part := rate * m.settings.OverloadWindow.Seconds()
	charge := r.slowStartCost()
	most := max(part, min(slowStartSavedWindows*part, charge))
	w.slowStartBudget, w.slowStartBudgetAt = min(w.slowStartBudget+rate*(m.now-w.slowStartBudgetAt).Seconds(), most), m.now
	if w.slowStartBudget < 0 || charge > max(w.slowStartBudget, min(slowStartMaxJob*part*float64(m.settings.Peers), 2*r.slots*r.classMeanWork)) {
		return false
	}
	if (charge > part || w.recentWork.at == 0) && m.random.Float64()*charge >= w.slowStartBudget {
		w.slowStartBudget = 0
		return false
	}
	return charge > part || charge <= w.slowStartBudget+part/2 // what goes beyond is half a window's part at the most
}

// ---- What becomes of attempts.

func (m *Machine) handleProgress(ev Event) {
	r, a := m.outstandingAttempt(ev)
	if a == nil {
		return
	}
	a.lastSeen, a.worker.lastSeen = m.now, m.markSeen(a.worker)
	if q, lost := m.overtakenAttempt(r, a); q != nil {
		m.recordDeadConnection(lost)
		m.rejectOrFail(q)
	}
	m.recordStart(r.class, a)
	m.cancelOtherAttempts(r, ev.Attempt)
	if m.settings.StartNotices && ev.Kind == AttemptProgressed && ev.Fraction > 0 && ev.Fraction <= 1 {
		m.learnRunTimeRatio(a.worker, (m.now-a.startedAt).Seconds()/ev.Fraction/r.work)
	}
}

// cancelOtherAttempts calls off the copies of a job that has started elsewhere, or this one if an earlier one is heard of.
func (m *Machine) cancelOtherAttempts(r *request, now int) {
	for i := range r.attempts {
		if a := &r.attempts[i]; i == now || a.ended || !m.settings.StartNotices || !m.settings.Cancellation || r.class.Streaming {
			continue
		} else if a.startedAt == 0 {
			m.emit(Action{Kind: CancelAttempt, Request: r.id, Attempt: i})
		} else if !a.unresponsive && !a.worker.ejected && a.startedAt < r.attempts[now].startedAt {
			m.emit(Action{Kind: CancelAttempt, Request: r.id, Attempt: now})
		}
	}
}

func (m *Machine) handleAttemptEnded(ev Event) {
	m.recordLoad(ev)
	r, a := m.outstandingAttempt(ev)
	if a == nil {
		return
	}
	w := a.worker
	if ev.Outcome == InvalidRequest { // the job's fault, unless the worker says so of all that it gets
		if w.consecutiveInvalid++; w.consecutiveInvalid > maxConsecutiveInvalid {
			ev.Outcome = Failed
		}
	}
	fail := w.failureScore.get(m.now, m.planningHorizon)
	turnedAway := ev.Outcome == Saturated || ev.Outcome == ConnectionRefused || ev.Outcome == NotSent
	a.neverRan = turnedAway && !(ev.Outcome == Saturated && m.settings.SaturatedMayHaveRun) // a fact about effects only
	m.releaseAttempt(r, a, ev.Outcome)
	if r.keyQueue != nil && (ev.Outcome == TimedOut || ev.Outcome == ConnectionLost || ev.Outcome == Cancelled) {
		m.startCooldown(r.keyQueue, m.settings.KeyCooldown+m.settings.Tick)
	}
	if turnedAway || ev.Outcome == InvalidRequest || ev.Outcome == Cancelled && a.startedAt == 0 {
		m.bucketTokens += r.cost
		// Guards the cold rule: work that warm workers turn away says nothing of what they can do.
		w.recentWork.add(m.now, m.planningHorizon, -r.cost)
	}
	switch ev.Outcome {
	case Completed: // only this teaches speed: a fast error must not look like a fast worker
		w.lastSeen, w.consecutiveInvalid = m.markSeen(w), 0
		a.recordAccepted(r.class)
		m.learnRunTimeRatio(w, (m.now-max(a.sentAt, a.startedAt)).Seconds()/r.work)
		m.meanLatency += ((m.now - a.sentAt).Seconds() - m.meanLatency) / minPricedJobs
		m.setFailureScore(w, 0.7*fail, "answers again")
	case Saturated:
		m.recordSaturated(w, r.class)
	case InvalidRequest: // guards against blaming all workers in turn, and the fleet, for what a client sent
		if !ev.Answered && !r.ended && r.outstanding == 0 {
			m.emit(Action{Kind: Fail, Request: r.id})
			m.finish(r)
			return
		}
	case Failed, ConnectionRefused, ConnectionLost, TimedOut:
		if ev.Outcome == ConnectionRefused {
			m.recordConnectFailure(w)
		}
		if ev.Outcome == ConnectionLost && a.startedAt == 0 && m.now-a.sentAt < m.settings.ConnectTimeout && a.connectionIdle > m.sweepInterval {
			m.recordDeadConnection(a)
			break
		}
		m.setFailureScore(w, (1+fail)/2, "fails")
	}
	if ev.Outcome == Completed && m.now <= r.objective {
		m.raiseCeilings(r)
	} else if !r.countedAsBad && ev.Outcome != InvalidRequest &&
		(ev.Outcome == Completed || ev.Outcome != Cancelled && len(r.attempts) > 1) {
		// A first failure is about that worker; a job that fails at a second one is about the fleet.
		m.cutCeilings(r, a.sentAt)
	}
	if ev.Answered {
		m.finish(r)
	} else if !r.ended && r.outstanding == 0 && !r.queued {
		m.retry(r)
	}
	m.forgetIfEnded(r)
}

// recordSaturated books that a worker is full, or for a class whose jobs alone it turns away, ever more seldom.
func (m *Machine) recordSaturated(w *worker, c *Class) {
	t := w.rejectionsOf(c)
	if t.count++; t.count == 1 {
		t.firstRejectedAt = m.now
	}
	if t.count == 1 || !w.acceptsOtherClasses(c, t.firstRejectedAt) {
		w.saturatedUntil = m.now + seconds(m.meanLatency/4)
		return
	}
	t.backoff = min(max(2*t.backoff, m.planningHorizon/8), 2*m.planningHorizon)
	t.blockedUntil = m.now + t.backoff
}

// recordDeadConnection learns when unused connections are dropped unseen. The worker is not blamed; older ones are closed.
func (m *Machine) recordDeadConnection(a *attempt) {
	if m.now < m.connectionLostAt+4*m.planningHorizon { // one may have another cause
		m.safeIdleTime = min(m.safeIdleTime, a.connectionIdle/2)
		m.logf("connections unused for over %v look dead", m.safeIdleTime)
	}
	m.connectionLostAt = m.now
}

// slowStartCost is what a job takes of a cold budget. One chosen for its small, rough hint is larger than it says.
func (r *request) slowStartCost() float64 {
	return r.cost + smallHintCorrection*r.slots*max(r.classMeanWork-r.work, 0)
}

// retry finds another way for a request whose attempts have failed, as far as its class allows.
func (m *Machine) retry(r *request) {
	left := m.settings.MaxAttempts - len(r.attempts)
	if left <= 0 || m.now >= r.deadline || m.worthless(r) || m.mustNotRepeat(r) || !m.withinRetryBudget(r) {
		m.rejectOrFail(r)
		return
	}
	if len(r.attempts) > 1 { // guards against spending all attempts in a burst while workers are full
		r.notBefore = m.now + max(r.objective-m.now-seconds(r.work), m.sweepInterval)/time.Duration(left)
	}
	m.enqueue(r)
}

// rejectOrFail answers a request: turned away where that promises no more than is known, else failed.
func (m *Machine) rejectOrFail(r *request) {
	if c := r.class; c.Idempotency == Idempotent || c.Idempotency == Deduplicated && c.DedupScope == DedupEverywhere || !r.mayHaveRun() {
		// Little's law: a slot comes free within a round trip. The jitter keeps clients apart.
		wait := seconds(m.latencyEstimate() * (0.5 + m.random.Float64()))
		m.emit(Action{Kind: Reject, Request: r.id, Delay: min(wait, max(m.settings.MaxRetryAfter, 0))})
	} else {
		m.emit(Action{Kind: Fail, Request: r.id})
	}
	m.finish(r)
}

// finish marks a request that needs no further decision and calls off what is out for it.
func (m *Machine) finish(r *request) {
	r.ended = true
	for i := range r.attempts {
		if !r.attempts[i].ended && m.settings.Cancellation && !r.class.Streaming {
			m.emit(Action{Kind: CancelAttempt, Request: r.id, Attempt: i})
		}
	}
	m.forgetIfEnded(r)
}

// ---- Ceilings.

// bucketIsScarce tells whether the bucket limits what is sent. Cut unused, it would price work away later.
func (m *Machine) bucketIsScarce() bool {
	return m.bucketTokens < m.bucketCapacity()/2 || m.workPrice > 0
}

// raiseCeilings raises the ceilings that bind: one that grew unused would be stale when it is needed.
func (m *Machine) raiseCeilings(r *request) {
	m.badRatio -= m.badRatio / badRatioSpan
	step := ceilingRaiseStep * math.Pow(1-m.badRatio, 4) / m.readyWorkers()
	if m.countedInFlight()+r.slots > m.concurrencyPerWorker*m.readyWorkers()/2 || m.slotPrice > 0 {
		m.concurrencyPerWorker += step * r.slots
	}
	if m.bucketIsScarce() {
		m.workRatePerWorker += step * r.cost / m.latencyEstimate()
	}
}

// cutCeilings cuts the ceilings, once a round trip, by half the recent share of bad outcomes, each weighed by
// the part of the fleet open to its job. What was sent before the last cut counts no more.
func (m *Machine) cutCeilings(r *request, sent time.Duration) {
	if r.countedAsBad = true; sent < m.ceilingsCutAt {
		return
	}
	share := m.eligibleShare(r.class)
	m.badRatio += share * (1 - m.badRatio) / badRatioSpan
	if m.now-m.ceilingsCutAt <= seconds(m.latencyEstimate()) {
		return
	}
	m.ceilingsCutAt = m.now
	least, keep := ceilingFloorRatio*initialSlotsPerWorker/float64(m.settings.Peers), 1-share*m.badRatio/2
	m.concurrencyPerWorker = max(m.concurrencyPerWorker*keep, least)
	if m.bucketIsScarce() {
		m.workRatePerWorker = max(m.workRatePerWorker*keep, least)
	}
}

// ---- Health of a worker.

func (m *Machine) setFailureScore(w *worker, fail float64, why string) {
	w.failureScore = decayingValue{fail, m.now} // fades, lest a worker without repeatable jobs stay ejected for good
	if bad := fail >= ejectionThreshold; bad != w.ejected {
		m.setEjected(w, bad)
		m.scheduleTrial(w)
		m.logf("worker %s %s, failure score %.2f", w.Name, why, fail)
	}
}

func (m *Machine) scheduleTrial(w *worker) {
	w.ejectionBackoff = min(max(2*w.ejectionBackoff, m.planningHorizon/8), 2*m.planningHorizon)
	w.trialAt = m.now + w.ejectionBackoff
}

// ---- Timers and the sweep.

func (m *Machine) handleTimer(token uint64) {
	switch r := m.requests[token]; {
	case token == sweepTimer:
		m.sweep()
	case token == subscribeTimer:
		m.emit(Action{Kind: Subscribe})
	case r != nil && !r.ended && m.now >= r.deadline: // its last moment: never lose a request
		m.rejectOrFail(r)
	}
}

// sweep looks after unanswered requests and solves for new prices.
func (m *Machine) sweep() {
	m.unanswered = slices.DeleteFunc(m.unanswered, func(r *request) bool { return r.ended })
	for _, r := range m.unanswered {
		if !r.late && m.now+seconds(r.work)+m.sweepInterval >= r.objective {
			m.markLate(r)
		} else if r.queued && (m.worthless(r) || m.mustNotRepeat(r)) || r.late && m.delaysOthers(r) {
			m.rejectOrFail(r)
		}
		if a := len(r.attempts) - 1; r.outstanding == 1 && !r.attempts[a].ended {
			m.superviseAttempt(r, &r.attempts[a])
		}
	}
	m.promoteWarmedUp()
	slices.SortFunc(m.queue, compareByDensity) // what has lapsed is worth less now
	if m.now >= m.nextPricingAt {
		m.nextPricingAt = m.now + m.planningHorizon/8
		m.safeIdleTime = min(m.safeIdleTime+m.safeIdleTime/32, cmp.Or(m.settings.ConnectionIdleTimeout, m.safeIdleTime))
		m.solvePrices()
	}
	if m.sweepScheduled = false; len(m.unanswered) > 0 {
		m.scheduleSweep()
	}
}

// markLate marks a job that can hardly be in time. If it waits while room is scarce, it is turned away at once.
func (m *Machine) markLate(r *request) {
	r.late = true
	if r.outstanding > 1 && m.settings.StartNotices && !r.countedAsBad && !r.hasStarted() {
		m.cutCeilings(r, r.attempts[0].sentAt)
	}
	if a := r.unstartedAttempt(); a != nil && m.settings.StartNotices { // its end would tell that a job later
		if a.connectionIdle > m.safeIdleTime {
			m.rejectOrFail(r)
			return
		}
		if a.connectionIdle > m.sweepInterval && m.settings.StartsInOrder { // lost on a dead connection? the next job there will tell
			m.markPossiblyLost(r, a)
		} else {
			m.cutCeilings(r, a.sentAt)
		}
	}
	r.value *= r.class.LateWeight
	if r.queued && (m.workPrice+m.slotPrice > 0 || !m.withinConcurrency(r) || m.allSuspended()) || m.delaysOthers(r) {
		m.rejectOrFail(r)
	}
}

// delaysOthers tells whether a job that can hardly be in time, and has not started, makes others late: it waits
// in a worker's queue and earns nothing late, or may be repeated, so called off whole, while many are bad.
func (m *Machine) delaysOthers(r *request) bool {
	idle := r.class.LateWeight <= 0 || m.badRatio > overloadBadRatio && r.class.Idempotency == Idempotent && r.class.LateWeight < 1
	return idle && m.settings.StartNotices && m.settings.Cancellation && m.now+seconds(r.work)+m.sweepInterval >= r.objective && !r.hasStarted()
}

// superviseAttempt notices silence, the only sign of a vanished machine, and sends a second copy of a job that a suspect
// holds, or that waits for its start where the first to start has the other called off, unless it has lapsed.
func (m *Machine) superviseAttempt(r *request, a *attempt) {
	limit := 2*m.settings.ProgressInterval + m.settings.ConnectTimeout
	running := a.startedAt > 0 || !m.settings.StartNotices // a job in a worker's queue is silent by nature
	if m.settings.ProgressInterval > 0 && running && !a.worker.ejected && m.now-max(a.lastSeen, a.worker.lastSeen) > limit {
		m.setFailureScore(a.worker, 1, "is silent")
	}
	stuck := (a.worker.ejected || m.zoneUnreachable(a.worker) || a.startedAt == 0 && a.connectionIdle > m.safeIdleTime) && m.now-a.lastSeen > m.sweepInterval
	stuck = m.connectionUnresponsive(r, a) || stuck
	stuck = stuck || a.startedAt == 0 && !r.late && m.settings.StartNotices && m.settings.Cancellation && m.now-a.sentAt > m.sweepInterval/2
	if stuck && m.settings.Hedging && r.class.Idempotency != NonIdempotent && len(r.attempts) < m.settings.MaxAttempts {
		m.tryAssign(r)
	}
}

// connectionUnresponsive tells whether the connection of an attempt looks dead though its worker lives: notes are overdue,
// or the start is while nothing waits there by what the worker has told since. If it has not, it is asked.
func (m *Machine) connectionUnresponsive(r *request, a *attempt) bool {
	w, wait := a.worker, m.settings.ProgressInterval/2+m.settings.ConnectTimeout
	if m.settings.ProgressInterval <= 0 || !m.settings.StartNotices || a.unresponsive {
		return a.unresponsive
	}
	if a.startedAt > 0 {
		return m.now-a.lastSeen > m.settings.ProgressInterval+wait
	}
	if !m.settings.StartsInOrder || m.now-a.sentAt <= wait || m.workPrice+m.slotPrice > 0 || len(m.queue) > 0 {
		return false
	}
	if w.backlogAt > a.sentAt+m.settings.ConnectTimeout {
		if a.unresponsive = w.backlog < 1; a.unresponsive {
			m.stopAwaitingStart(r, a)
		}
	} else if m.settings.HealthChecks && m.now-w.healthCheckedAt > wait*time.Duration(max(m.settings.Peers/largeFleetThreshold, 1)) {
		w.healthCheckedAt = m.now
		m.emit(Action{Kind: CheckHealth, Worker: w.Name})
	}
	return a.unresponsive
}

// ---- The worker list.

func (m *Machine) handleList(ev Event) {
	if ev.ListKind == ListFailed { // the old list stands; ask again, ever more slowly and not all at once
		m.listBackoff = min(max(2*m.listBackoff, m.settings.ListPollInterval/20), max(m.settings.ListPollInterval/2, m.settings.Tick))
		wait := seconds(m.listBackoff.Seconds()*(0.5+m.random.Float64()/2)) + m.subscribeDelay()
		m.emit(Action{Kind: SetTimer, Timer: subscribeTimer, Delay: wait})
		m.logf("worker list unavailable, asking again in %v", wait)
		return
	}
	if m.listBackoff = 0; ev.ListKind == ListCached && m.settings.ListBySubscription {
		if wait := m.subscribeDelay(); wait > 0 {
			m.emit(Action{Kind: SetTimer, Timer: subscribeTimer, Delay: wait})
		} else {
			m.emit(Action{Kind: Subscribe})
		}
	}
	m.applyList(ev)
}

// subscribeDelay is a random wait before a call for the list, lest a herd of dispatchers call at once and in vain.
func (m *Machine) subscribeDelay() time.Duration {
	if !m.settings.LargeFleet() {
		return 0
	}
	part := min(float64(m.settings.Peers-largeFleetThreshold)*subscribeSpreadPerPeer, maxSubscribeSpread)
	return seconds(part * m.settings.ListPollInterval.Seconds() * m.random.Float64())
}

// ---- Prices: the dual of the fluid LP over the recent mix.

// solvePrices sets the prices from the recent mix, for what bucket and lease let through in the same span.
func (m *Machine) solvePrices() {
	bids, jobs := m.recentMix()
	m.subsetSize = max(int(jobs/subsetJobsPerWorker), minSubsetSize)
	if m.workPrice, m.slotPrice = 0, 0; jobs >= minPricedJobs { // a handful of jobs prices nothing
		m.workPrice, m.slotPrice = solveDual(bids, m.bucketCapacity(), m.concurrencyCeiling()*m.planningHorizon.Seconds())
	}
}

// solveDual minimises C*pC + K*pK + sum max(0, value - pC*cost - pK*hold) over prices >= 0: convex and
// piecewise linear, so some vertex of the bid lines is a minimum; of equal ones the most selective is taken.
func solveDual(bids []bid, budgetC, budgetK float64) (bestC, bestK float64) {
	best := math.MaxFloat64
	try := func(c, k float64) {
		if !(c >= 0 && k >= 0) || math.IsInf(c+k, 0) {
			return
		}
		dual := budgetC*c + budgetK*k
		for _, b := range bids {
			dual += max(0, b.value-c*b.cost-k*b.holdTime)
		}
		tie := dual <= best*(1+1e-9) && dual >= best*(1-1e-9)
		if !tie && dual < best || tie && c+k > bestC+bestK {
			best, bestC, bestK = dual, c, k
		}
	}
	try(0, 0)
	for i, p := range bids {
		try(p.value/p.cost, 0)
		try(0, p.value/p.holdTime)
		for _, q := range bids[:i] {
			det := p.cost*q.holdTime - q.cost*p.holdTime
			try((p.value*q.holdTime-q.value*p.holdTime)/det, (p.cost*q.value-q.cost*p.value)/det)
		}
	}
	return bestC, bestK
}
