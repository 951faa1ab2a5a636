package decision

import (
	"slices"
	"time"
)

// keyQueue is the serialization queue of one key: its requests run one at a time.
type keyQueue struct {
	key           string
	requests      []*request // that are not over, by arrival
	cooldownUntil time.Duration
}

// joinKeyQueue puts a request last among those of its key.
func (m *Machine) joinKeyQueue(request *request, key string) {
	queue := m.keyQueues[key]
	if queue == nil {
		queue = &keyQueue{key: key}
		m.keyQueues[key] = queue
	}
	request.keyQueue = queue
	queue.requests = append(queue.requests, request)
}

// leaveKeyQueue takes out a request that is over.
func (m *Machine) leaveKeyQueue(over *request) {
	queue := over.keyQueue
	queue.requests = slices.DeleteFunc(queue.requests, func(request *request) bool { return request == over })
	m.dropKeyQueueIfIdle(queue)
}

// awaitsKey reports whether a request must wait for its key: an earlier request is not over, or, if this one
// has had no attempt yet, an attempt at an earlier one may still run.
func (m *Machine) awaitsKey(request *request) bool {
	queue := request.keyQueue
	if queue == nil {
		return false
	}
	return queue.requests[0] != request || len(request.attempts) == 0 && m.now < queue.cooldownUntil
}

// startCooldown lets the key wait, since an attempt at one of its requests may still run.
func (m *Machine) startCooldown(queue *keyQueue, span time.Duration) {
	queue.cooldownUntil = m.now + span
	m.coolingDown = append(m.coolingDown, queue)
	m.emit(Action{Kind: SetTimer, Timer: cooldownTimer, Delay: span})
}

// endCooldowns forgets the idle keys whose cooldown is over.
func (m *Machine) endCooldowns() {
	for len(m.coolingDown) > 0 && m.now >= m.coolingDown[0].cooldownUntil {
		m.dropKeyQueueIfIdle(m.coolingDown[0])
		m.coolingDown = m.coolingDown[1:]
	}
}

// dropKeyQueueIfIdle forgets a key that has no request and no cooldown.
func (m *Machine) dropKeyQueueIfIdle(queue *keyQueue) {
	if len(queue.requests) == 0 && m.now >= queue.cooldownUntil && m.keyQueues[queue.key] == queue {
		delete(m.keyQueues, queue.key)
	}
}
