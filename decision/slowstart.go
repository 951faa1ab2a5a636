package decision

import "time"

// A worker that has just started has only a fraction of its capacity, and is overloaded if it is sent more
// than a multiple of that within a window. This maximum is the worker's budget. It applies to all
// dispatchers together, but dispatchers share no state. Each dispatcher therefore keeps to its own share,
// which it derives from the work that warm workers take from it: a dispatcher that sends them a tenth of all
// work has a tenth of the budget.
//
// The window allowance is the work that this dispatcher may send the worker in one window, which is
// slowStartSafety of its share. What it does not send is saved in the balance. Budgets are in hinted
// slot-seconds: the slots of a request times its hinted run time.
const (
	// slowStartSafety is the fraction of the share that is used as the window allowance. Within any window
	// the dispatcher can send an allowance that it had saved, the allowance of the window itself and half an
	// allowance of overdraft. These are 2.5 allowances, which is the whole share.
	slowStartSafety = 0.4
	// slowStartSavedWindows is the number of window allowances that may be saved for a request that costs
	// more than one.
	slowStartSavedWindows = 2
	// slowStartOverdraft is the fraction of a window allowance that may be spent beyond the balance.
	slowStartOverdraft = 0.5
	// slowStartMaxRequestFraction limits the cost of one request, as a fraction of the window allowances of
	// all dispatchers together. A busy dispatcher overestimates these allowances, since it assumes that its
	// peers are as busy as it is. Therefore slowStartMaxRequestMeans also limits the cost, as a multiple of
	// the mean of the request's class.
	slowStartMaxRequestFraction = 0.31
	slowStartMaxRequestMeans    = 2
	// smallHintCorrection determines how much a hint below the mean of its class is raised, namely to
	// hint + smallHintCorrection*(mean-hint). With imprecise hints, requests that are picked
	// for their small hints run for many times the hinted time.
	smallHintCorrection = 0.25
	// clockError is how far the clock of this machine may have been ahead when the process started. Clocks
	// are stepped by seconds or by an hour.
	clockError = 90 * time.Minute
)

// slowStartBudget is what a worker in slow start may get from this dispatcher, in hinted slot-seconds.
type slowStartBudget struct {
	balance   float64 // below 0 after an overdraft
	updatedAt time.Duration
}

// refill adds what has come in at the rate since updatedAt. The balance is capped at limit.
func (b *slowStartBudget) refill(now time.Duration, rate, limit float64) {
	balance := b.balance + rate*(now-b.updatedAt).Seconds()
	b.balance = min(balance, limit)
	b.updatedAt = now
}

// capacityFraction is the fraction of its capacity that a worker has at least by now: 1 once it has warmed
// up.
func (m *Machine) capacityFraction(worker *worker) float64 {
	age := max(m.now-worker.StartedAt, 0)
	if worker.StartedAt <= 0 || age >= m.settings.SlowStartDuration {
		return 1
	}
	floor := m.settings.SlowStartFloor
	return floor + (1-floor)*age.Seconds()/m.settings.SlowStartDuration.Seconds()
}

// effectiveStartTime is when a worker counts as started, given the start time in the list. A worker that a
// delta adds or restarts should have started just now. If by its listed start time it has already warmed up,
// but for less than clockError, the clock of this machine may be ahead. The worker then counts as started
// now, so that it is not sent as much as a warm worker. If in fact the worker was only unreachable for a
// while, it gets less than it could take. A start time in the future, which a clock that is behind makes of
// any start, counts as now too, so that the worker's slow start ends in time.
func (m *Machine) effectiveStartTime(listed time.Duration, delta bool) time.Duration {
	age := m.now - listed
	if age < 0 {
		return m.now
	}
	warmUp := m.settings.SlowStartDuration
	if delta && listed > 0 && warmUp > 0 && age >= warmUp && age < warmUp+clockError {
		return m.now
	}
	return listed
}

// withinSlowStartBudget reports whether the slow-start budget of a worker allows the request. A warm worker
// has no such limit.
//
// A request that costs at most a window allowance must fit into the balance plus the overdraft. A request
// that costs more, and the first request at the worker, needs a random draw, which succeeds with the
// probability balance/cost, so that the budget is kept on average. A failed draw spends the balance.
func (m *Machine) withinSlowStartBudget(request *request, worker *worker) bool {
	capacity := m.capacityFraction(worker)
	if capacity >= 1 || m.settings.OverloadWindow <= 0 { // with a window of 0 the rule is disabled
		return true
	}
	rate := slowStartSafety * m.settings.OverloadMultiple * capacity * m.warmWorkRate(worker.Kind)
	allowance := rate * m.settings.OverloadWindow.Seconds()
	cost := request.slowStartCost()
	budget := &worker.budget
	budget.refill(m.now, rate, max(allowance, min(slowStartSavedWindows*allowance, cost)))
	if budget.balance < 0 || cost > max(budget.balance, m.maxSlowStartCost(request, allowance)) {
		return false
	}
	firstRequest := worker.recentWork.at == 0
	if (cost > allowance || firstRequest) && m.random.Float64()*cost >= budget.balance {
		budget.balance = 0
		return false
	}
	return cost > allowance || cost <= budget.balance+allowance*slowStartOverdraft
}

// maxSlowStartCost is the largest cost of a request that a worker in slow start may get although the balance
// does not cover it.
func (m *Machine) maxSlowStartCost(request *request, allowance float64) float64 {
	return min(
		slowStartMaxRequestFraction*allowance*float64(m.settings.Peers),
		slowStartMaxRequestMeans*request.slots*request.classMeanWork,
	)
}

// slowStartCost is the amount of a slow-start budget that a request uses.
func (r *request) slowStartCost() float64 {
	return r.cost + smallHintCorrection*r.slots*max(r.classMeanWork-r.work, 0)
}

// recordReservedElsewhere subtracts from the budget what the predecessor or successor of this process has
// sent the worker: while one process replaces the other, both share one budget.
func (m *Machine) recordReservedElsewhere(worker *worker, reservation float64) {
	if worker == nil || !(reservation > 0) {
		return
	}
	worker.budget.balance -= reservation
	worker.recentWork.add(m.now, m.planningHorizon, 0) // the worker has had its first request
}

// promoteWarmedUp moves workers that have warmed up to the lists of warm ones.
func (m *Machine) promoteWarmedUp() {
	for i := len(m.candidates.warmingUp) - 1; i >= 0; i-- {
		worker := m.candidates.warmingUp[i]
		if m.capacityFraction(worker) >= 1 {
			m.placeInLists(worker)
		}
	}
}

const (
	// minOfAllKinds is the key of the smallest work rate; no kind has this number.
	minOfAllKinds = -1
	// scanWorkersPerSweep limits the workers that are scanned in one sweep interval, so that the cost does
	// not grow with the fleet.
	scanWorkersPerSweep = 2048
)

// warmWorkRates is the work per second that a warm worker takes from this dispatcher: the mean by worker
// kind, and the smallest rate of all workers.
type warmWorkRates struct {
	byKind    map[int]float64 // by the latest complete scan
	scannedAt time.Duration   // when the scan was last continued; 0 if a complete scan is due
	scan      workRateScan
}

// ofKind returns the rate of a kind, or, if no warm worker of the kind is known, the smallest rate of all
// workers.
func (r *warmWorkRates) ofKind(kind int) float64 {
	if rate, ok := r.byKind[kind]; ok {
		return rate
	}
	return r.byKind[minOfAllKinds]
}

// workRateScan is a scan of the fleet, spread over sweep intervals, that computes the mean work rate of each
// kind.
type workRateScan struct {
	next  int             // index in the fleet at which it continues
	count map[int]float64 // warm workers so far, by kind; nil if the scan has not begun
	rates map[int]float64 // mean work rate of these workers, by kind
}

// warmWorkRate is the work per second that a warm worker of the kind takes from this dispatcher. It
// continues the scan of the fleet at most once per sweep interval.
func (m *Machine) warmWorkRate(kind int) float64 {
	if m.workRates.scannedAt == 0 || m.now-m.workRates.scannedAt >= m.sweepInterval {
		complete := m.workRates.scannedAt == 0
		m.workRates.scannedAt = m.now
		m.scanWarmWorkRates(complete)
	}
	return m.workRates.ofKind(kind)
}

// scanWarmWorkRates continues the scan of the fleet; if complete, it scans the whole fleet at once. The
// results take effect when the scan reaches the end of the fleet.
func (m *Machine) scanWarmWorkRates(complete bool) {
	scan := &m.workRates.scan
	if complete || scan.count == nil || scan.next > len(m.fleet) {
		*scan = workRateScan{count: map[int]float64{}, rates: map[int]float64{}}
	}
	end := len(m.fleet)
	if !complete {
		end = min(end, scan.next+scanWorkersPerSweep)
	}
	for _, worker := range m.fleet[scan.next:end] {
		m.addToScan(scan, worker)
	}
	scan.next = end
	if end == len(m.fleet) {
		m.workRates.byKind = scan.rates
		*scan = workRateScan{}
	}
}

// addToScan adds a worker to the scan if it is running and has warmed up.
func (m *Machine) addToScan(scan *workRateScan, worker *worker) {
	if worker.State != Running || m.capacityFraction(worker) < 1 {
		return
	}
	rate := worker.recentWork.get(m.now, m.planningHorizon) / m.planningHorizon.Seconds()
	scan.count[worker.Kind]++
	scan.rates[worker.Kind] += (rate - scan.rates[worker.Kind]) / scan.count[worker.Kind]
	smallest, ok := scan.rates[minOfAllKinds]
	if !ok || rate < smallest {
		scan.rates[minOfAllKinds] = rate
	}
}
