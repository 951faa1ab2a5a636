package decision

import (
	"cmp"
	"slices"
)

// maxQueueSkips is how many waiting requests of a class are tried without success in one pass over the queue.
// Requests that no worker can take at present, for a machine kind that is gone, would else cost their whole
// number at each event.
const maxQueueSkips = 8

// compareByValue orders the queue: the highest value per cost first, then the nearest objective.
func compareByValue(a, b *request) int {
	byValue := cmp.Compare(b.value/b.cost, a.value/a.cost)
	return cmp.Or(byValue, cmp.Compare(a.objective, b.objective), cmp.Compare(a.id, b.id))
}

// enqueue lets a request wait, in the order of compareByValue.
func (m *Machine) enqueue(request *request) {
	position, _ := slices.BinarySearchFunc(m.queue, request, compareByValue)
	m.queue = slices.Insert(m.queue, position, request)
	request.queued = true
}

// dispatchQueue places waiting requests in their order, as far as they can be placed now.
func (m *Machine) dispatchQueue() {
	m.endCooldowns()
	clear(m.misses)
	m.queue = slices.DeleteFunc(m.queue, m.tryDequeue)
}

// tryDequeue tries to place a waiting request, and reports whether it waits no more.
func (m *Machine) tryDequeue(request *request) bool {
	if request.ended {
		request.queued = false
		return true
	}
	if m.now < request.notBefore || m.awaitsKey(request) || m.misses[request.class] >= maxQueueSkips {
		return false
	}
	if !m.withinRetryBudget(request) { // others have spent the budget meanwhile
		m.rejectOrFail(request)
	}
	request.queued = !request.ended && !m.tryAssign(request)
	if request.queued {
		m.misses[request.class]++
	}
	return !request.queued
}
