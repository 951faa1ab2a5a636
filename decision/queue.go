package decision

import (
	"cmp"
	"slices"
)

// maxQueueSkips is how many waiting requests of a class are tried without success in one pass over the
// queue. Without this limit, requests that no worker can take, for example because there is no worker of
// their kinds, would all be tried at each event.
const maxQueueSkips = 8

// requestQueue holds the requests that wait for a worker.
type requestQueue struct {
	waiting []*request     // in the order of compareByValue
	skips   map[*Class]int // requests of a class that could not be assigned in the current pass
}

// compareByValue orders the queue: the highest value per cost first, then the earliest objective.
func compareByValue(a, b *request) int {
	byValue := cmp.Compare(b.value/b.cost, a.value/a.cost)
	return cmp.Or(byValue, cmp.Compare(a.objective, b.objective), cmp.Compare(a.id, b.id))
}

// add puts a request into the queue.
func (q *requestQueue) add(request *request) {
	position, _ := slices.BinarySearchFunc(q.waiting, request, compareByValue)
	q.waiting = slices.Insert(q.waiting, position, request)
	request.queued = true
}

// sort restores the order after values have changed.
func (q *requestQueue) sort() { slices.SortFunc(q.waiting, compareByValue) }

// dispatchQueue assigns those waiting requests that can be assigned now, in the order of the queue.
func (m *Machine) dispatchQueue() {
	m.serializer.endCooldowns(m.now)
	clear(m.queue.skips)
	m.queue.waiting = slices.DeleteFunc(m.queue.waiting, m.tryDequeue)
}

// tryDequeue tries to assign a waiting request, and reports whether it has left the queue.
func (m *Machine) tryDequeue(request *request) bool {
	if request.ended {
		request.queued = false
		return true
	}
	if m.now < request.notBefore || request.awaitsKey(m.now) ||
		m.queue.skips[request.class] >= maxQueueSkips {
		return false
	}
	if !m.withinRetryBudget(request) { // other requests have spent the budget meanwhile
		m.rejectOrFail(request)
	}
	request.queued = !request.ended && !m.tryAssign(request)
	if request.queued {
		m.queue.skips[request.class]++
	}
	return !request.queued
}
