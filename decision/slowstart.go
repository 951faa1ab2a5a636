package decision

import "time"

// A worker that has just started has only part of its capacity, and is overloaded when it is sent more than
// a multiple of that within a window: that multiple is its budget. The budget binds all dispatchers
// together, and they share nothing. So each keeps to its own share, which it derives from the work that
// warm workers take from it: a dispatcher that sends them a tenth of all work has a tenth of the budget.
//
// A window's part is the work that this dispatcher may send the worker in one window, if it uses
// slowStartSafety of its share. What it does not send is saved. Budgets are in hinted slot-seconds.
const (
	// slowStartSafety is the part of the share that is used. Within any window the dispatcher can send a
	// part that it had saved, a part that comes in and half a part of overdraft, which is 2.5 parts: the
	// whole share.
	slowStartSafety = 0.4
	// slowStartSavedWindows is the number of parts that may be saved for a request that takes more than one.
	slowStartSavedWindows = 2
	// slowStartOverdraft is the fraction of a part that may be spent beyond what was saved.
	slowStartOverdraft = 0.5
	// slowStartMaxRequest bounds one request, as a fraction of the parts of all dispatchers together. A busy
	// dispatcher overestimates these, since it assumes that its peers are as busy. So
	// slowStartMaxRequestMeans also bounds the request, as a multiple of its class's mean.
	slowStartMaxRequest      = 0.31
	slowStartMaxRequestMeans = 2
	// smallHintCorrection is by how much a hint below the mean of its class is raised: to
	// hint + smallHintCorrection*(mean-hint). Measured in a rehearsal with rough hints: requests chosen for
	// small hints ran for many times what those said.
	smallHintCorrection = 0.25
	// clockError is by how much the clock of this machine may have been ahead when the process started.
	// Clocks are stepped by seconds or by an hour.
	clockError = 90 * time.Minute
)

// slowStartBudget is what a worker in slow start may get from this dispatcher, in hinted slot-seconds.
type slowStartBudget struct {
	saved   float64 // below 0 after an overdraft
	savedAt time.Duration
}

// save adds what has come in since savedAt, up to a maximum.
func (b *slowStartBudget) save(now time.Duration, rate, maxSaved float64) {
	saved := b.saved + rate*(now-b.savedAt).Seconds()
	b.saved = min(saved, maxSaved)
	b.savedAt = now
}

// capacityFraction is the part of its capacity that a worker is sure to have, 1 once it has warmed up.
func (m *Machine) capacityFraction(worker *worker) float64 {
	age := max(m.now-worker.StartedAt, 0)
	if worker.StartedAt <= 0 || age >= m.settings.SlowStartDuration {
		return 1
	}
	floor := m.settings.SlowStartFloor
	return floor + (1-floor)*age.Seconds()/m.settings.SlowStartDuration.Seconds()
}

// startTime is when a worker counts as started, from the start time that the list gives. A worker that a
// delta adds or restarts should have started just now. Where its listed time would make it warm already, by
// no more than clockError, the clock of this machine may be ahead: it then counts as started now, so that it
// is not sent what a warm worker takes. A worker that was only unreachable for a while gets less than it
// could take.
func (m *Machine) startTime(listed time.Duration, delta bool) time.Duration {
	age := m.now - listed
	warmUp := m.settings.SlowStartDuration
	if delta && listed > 0 && warmUp > 0 && age >= warmUp && age < warmUp+clockError {
		return m.now
	}
	return listed
}

// withinSlowStartBudget reports whether a worker, if in slow start, may get the request.
//
// A request that takes at most a window's part is paid from the budget, with an overdraft. One that takes
// more, and the first one at the worker, is admitted by a random draw whose odds are the budget to the cost,
// so that the budget holds on average. A lost draw spends the budget too.
func (m *Machine) withinSlowStartBudget(request *request, worker *worker) bool {
	capacity := m.capacityFraction(worker)
	if capacity >= 1 || m.settings.OverloadWindow <= 0 { // a rule whose window is 0 is off
		return true
	}
	rate := slowStartSafety * m.settings.OverloadMultiple * capacity * m.warmWorkRate(worker.Kind)
	part := rate * m.settings.OverloadWindow.Seconds()
	cost := request.slowStartCost()
	budget := &worker.budget
	budget.save(m.now, rate, max(part, min(slowStartSavedWindows*part, cost)))
	if budget.saved < 0 || cost > max(budget.saved, m.maxSlowStartCost(request, part)) {
		return false
	}
	first := worker.recentWork.at == 0
	if (cost > part || first) && m.random.Float64()*cost >= budget.saved {
		budget.saved = 0
		return false
	}
	return cost > part || cost <= budget.saved+part*slowStartOverdraft
}

// maxSlowStartCost is the largest cost of a request that a worker in slow start may get though the budget
// does not cover it.
func (m *Machine) maxSlowStartCost(request *request, part float64) float64 {
	return min(
		slowStartMaxRequest*part*float64(m.settings.Peers),
		slowStartMaxRequestMeans*request.slots*request.classMeanWork,
	)
}

// slowStartCost is what a request takes of a slow-start budget.
func (r *request) slowStartCost() float64 {
	return r.cost + smallHintCorrection*r.slots*max(r.classMeanWork-r.work, 0)
}

// recordReservedElsewhere takes off the budget what the predecessor or successor of this process has sent
// the worker: both keep to one budget while one replaces the other.
func (m *Machine) recordReservedElsewhere(worker *worker, reservation float64) {
	if worker == nil || !(reservation > 0) {
		return
	}
	worker.budget.saved -= reservation
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
	// scanWorkersPerSweep bounds the workers that are scanned in one sweep interval, so that the work does
	// not grow with the fleet.
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
