package decision

import (
	"cmp"
	"slices"
)

// maxQueueSkips is how many waiting requests of a class are tried in vain in one pass over the queue. Requests that no
// worker can take at present, for a machine kind that is gone, would else cost their whole number at each event.
const maxQueueSkips = 8

// compareByValue orders the queue: the highest value per cost first, then the nearest objective.
func compareByValue(a, b *request) int {
	byValue := cmp.Compare(b.value/b.cost, a.value/a.cost)
	return cmp.Or(byValue, cmp.Compare(a.objective, b.objective), cmp.Compare(a.id, b.id))
}

// enqueue lets a request wait, in the order of compareByValue.
func (m *Machine) enqueue(r *request) {
	at, _ := slices.BinarySearchFunc(m.queue, r, compareByValue)
	m.queue = slices.Insert(m.queue, at, r)
	r.queued = true
}

// dispatchQueue places waiting requests in their order, as far as they can be placed now.
func (m *Machine) dispatchQueue() {
	m.endCooldowns()
	clear(m.misses)
	m.queue = slices.DeleteFunc(m.queue, func(r *request) bool { return m.leavesQueue(r) })
}

// leavesQueue tries to place a waiting request, and tells whether it waits no more.
func (m *Machine) leavesQueue(r *request) bool {
	if !r.ended && (m.now < r.notBefore || m.awaitsKey(r) || m.misses[r.class] >= maxQueueSkips) {
		return false
	}
	if !r.ended && !m.withinRetryBudget(r) { // others have spent the budget meanwhile
		m.rejectOrFail(r)
	}
	r.queued = !r.ended && !m.tryAssign(r)
	if r.queued {
		m.misses[r.class]++
	}
	return !r.queued
}
