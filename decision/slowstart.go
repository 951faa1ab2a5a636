package decision

import "time"

// A worker that has just started has only part of its capacity, and falls over when it is sent more than a
// multiple of that within a window. The budget binds all dispatchers together, and they share nothing: each
// keeps to its own part, which it measures by the work that warmed-up workers take from it. Budgets are in
// hinted slot-seconds.
const (
	// slowStartSafety is the part of the budget that is used: what was saved, what comes in during a window
	// and half a window beyond that make 2.5 times it, the budget.
	slowStartSafety = 0.4
	// slowStartSavedWindows is for how many windows a budget may be saved, where a request takes more than
	// one's.
	slowStartSavedWindows = 2
	// slowStartOverdraft is the part of a window's budget that may be spent beyond what there is.
	slowStartOverdraft = 0.5
	// slowStartMaxRequest bounds one request, as a share of what all dispatchers together may use in a
	// window, and slowStartMaxRequestMeans as a multiple of its class's mean: a busy dispatcher takes all its
	// peers to be as busy.
	slowStartMaxRequest      = 0.31
	slowStartMaxRequestMeans = 2
	// smallHintCorrection is how far a request with a small hint counts towards the mean of its class.
	// Measured in a rehearsal with rough hints: requests chosen for small hints ran for many times what
	// those said.
	smallHintCorrection = 0.25
	// clockError is by how much the clock of this machine may have been ahead when the process started.
	// Clocks are stepped by seconds or by an hour.
	clockError = 90 * time.Minute
)

// capacityFraction is the part of its capacity that a worker surely has, 1 once it has warmed up.
func (m *Machine) capacityFraction(worker *worker) float64 {
	age := max(m.now-worker.StartedAt, 0)
	if worker.StartedAt <= 0 || age >= m.settings.SlowStartDuration {
		return 1
	}
	floor := m.settings.SlowStartFloor
	return floor + (1-floor)*age.Seconds()/m.settings.SlowStartDuration.Seconds()
}

// startTime is when a worker counts as started, by the start time of the list. Where the start is news and
// the listed time would make the worker warmed up, a clock that is ahead may be the reason: it counts as
// just started, since it would else be sent all that a warmed-up worker takes. One that had only been out
// of reach gets less for a while.
func (m *Machine) startTime(listed time.Duration, delta bool) time.Duration {
	age := m.now - listed
	warmUp := m.settings.SlowStartDuration
	if delta && listed > 0 && warmUp > 0 && age >= warmUp && age < warmUp+clockError {
		return m.now
	}
	return listed
}

// withinSlowStartBudget reports whether a worker, if in slow start, may get the request. The first request
// there, and one that takes more than a window's part, are drawn for with odds of the budget saved to the
// cost; a drawing that is lost spends the budget.
func (m *Machine) withinSlowStartBudget(request *request, worker *worker) bool {
	capacity := m.capacityFraction(worker)
	if capacity >= 1 || m.settings.OverloadWindow <= 0 { // a rule whose window is 0 is off
		return true
	}
	rate := slowStartSafety * m.settings.OverloadMultiple * capacity * m.warmWorkRate(worker.Kind)
	part := rate * m.settings.OverloadWindow.Seconds()
	cost := request.slowStartCost()
	maxSaved := max(part, min(slowStartSavedWindows*part, cost))
	saved := worker.slowStartBudget + rate*(m.now-worker.slowStartBudgetAt).Seconds()
	worker.slowStartBudget = min(saved, maxSaved)
	worker.slowStartBudgetAt = m.now
	largest := min(
		slowStartMaxRequest*part*float64(m.settings.Peers),
		slowStartMaxRequestMeans*request.slots*request.classMeanWork,
	)
	if worker.slowStartBudget < 0 || cost > max(worker.slowStartBudget, largest) {
		return false
	}
	first := worker.recentWork.at == 0
	if (cost > part || first) && m.random.Float64()*cost >= worker.slowStartBudget {
		worker.slowStartBudget = 0
		return false
	}
	return cost > part || cost <= worker.slowStartBudget+part*slowStartOverdraft
}

// slowStartCost is what a request takes of a slow-start budget.
func (r *request) slowStartCost() float64 {
	return r.cost + smallHintCorrection*r.slots*max(r.classMeanWork-r.work, 0)
}

// recordReservedElsewhere takes off the budget what the dispatcher's other process has sent, while it is
// replaced: both have one budget.
func (m *Machine) recordReservedElsewhere(worker *worker, reservation float64) {
	if worker == nil || !(reservation > 0) {
		return
	}
	worker.slowStartBudget -= reservation
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
	// scanWorkersPerSweep bounds the workers that one sweep interval looks at, lest its work grow with the
	// fleet.
	scanWorkersPerSweep = 2048
)

// warmWorkRates is the work a second that a warm worker takes from this dispatcher: the mean by machine
// kind, and the smallest of all workers.
type warmWorkRates struct {
	byKind    map[int]float64 // by the latest complete scan
	scannedAt time.Duration   // when the scan was last continued; 0: a complete one is due
	scan      workRateScan
}

// ofKind returns the rate of a kind, or the smallest of all workers where no warm one of the kind is known.
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
	count map[int]float64 // warm workers so far, by kind; nil: the scan has not begun
	rates map[int]float64 // their mean work rate
}

// warmWorkRate is the work a second that a warm worker of the kind takes from this dispatcher. It continues
// the scan of the fleet once in a sweep interval.
func (m *Machine) warmWorkRate(kind int) float64 {
	if m.workRates.scannedAt == 0 || m.now-m.workRates.scannedAt >= m.sweepInterval {
		complete := m.workRates.scannedAt == 0
		m.workRates.scannedAt = m.now
		m.scanWarmWorkRates(complete)
	}
	return m.workRates.ofKind(kind)
}

// scanWarmWorkRates continues the scan of the fleet, to its end if complete. Its results take effect once it
// is at the end.
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

// addToScan counts a worker, if it runs and has warmed up.
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
