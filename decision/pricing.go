package decision

import "math"

// minPricedRequests is the number of recent requests below which all prices are 0: so few requests are too
// small a sample of the demand.
const minPricedRequests = 20

// priceTolerance is the relative difference within which values count as equal, to allow for rounding
// errors.
const priceTolerance = 1e-9

// prices are shadow prices: the value that a request must have to be admitted. Both are 0 while capacity is
// not scarce.
type prices struct {
	work float64 // value per slot-second of work
	slot float64 // value per second for which a slot is held
}

// coveredBy reports whether the value of a request covers the prices of its work and of the slot that it
// holds.
func (p prices) coveredBy(request *request) bool {
	return request.value >= (p.work*request.cost+p.slot*request.holdTime)*(1-priceTolerance)
}

// positive reports whether any price is above 0, which means that capacity is scarce.
func (p prices) positive() bool { return p.work+p.slot > 0 }

// solvePrices computes the prices at which the recent mix fits into what the token bucket and the
// concurrency ceiling admit in the same span. It also sets the size of the worker subset from the number of
// recent requests.
func (m *Machine) solvePrices() {
	bids, recent := m.mix.bids(m.now, m.planningHorizon)
	m.candidates.subsetSize = max(int(recent/subsetRequestsPerWorker), minSubsetSize)
	m.prices = prices{}
	if recent >= minPricedRequests {
		slotSeconds := m.concurrencyCeiling() * m.planningHorizon.Seconds()
		m.prices = solveDual(bids, m.bucketCapacity(), slotSeconds)
	}
}

// solveDual returns the prices of the fluid linear program "admit the shares of the bids that have the most
// value within both budgets": they minimize its dual
//
//	workBudget*workPrice + slotBudget*slotPrice + sum of max(0, value - workPrice*cost - slotPrice*holdTime)
//
// over prices that are not negative. The dual is convex and piecewise linear, so that it has a minimum at a
// vertex of the bids' lines; if there are several, the one with the highest sum of prices is returned. The
// running time grows with the cube of the number of bids.
func solveDual(bids []bid, workBudget, slotBudget float64) (solution prices) {
	best := math.MaxFloat64
	try := func(work, slot float64) {
		if !(work >= 0 && slot >= 0) || math.IsInf(work+slot, 0) {
			return
		}
		dual := workBudget*work + slotBudget*slot
		for _, b := range bids {
			dual += max(0, b.value-work*b.cost-slot*b.holdTime)
		}
		tie := dual <= best*(1+priceTolerance) && dual >= best*(1-priceTolerance)
		if !tie && dual < best || tie && work+slot > solution.work+solution.slot {
			best = dual
			solution = prices{work: work, slot: slot}
		}
	}
	try(0, 0)
	for i, p := range bids {
		try(p.value/p.cost, 0)
		try(0, p.value/p.holdTime)
		for _, q := range bids[:i] {
			determinant := p.cost*q.holdTime - q.cost*p.holdTime
			work := (p.value*q.holdTime - q.value*p.holdTime) / determinant
			slot := (p.cost*q.value - q.cost*p.value) / determinant
			try(work, slot)
		}
	}
	return solution
}
