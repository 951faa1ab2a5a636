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
func (m *Machine) joinKeyQueue(r *request, key string) {
	q := m.keyQueues[key]
	if q == nil {
		q = &keyQueue{key: key}
		m.keyQueues[key] = q
	}
	r.keyQueue = q
	q.requests = append(q.requests, r)
}

// leaveKeyQueue takes out a request that is over.
func (m *Machine) leaveKeyQueue(r *request) {
	q := r.keyQueue
	q.requests = slices.DeleteFunc(q.requests, func(other *request) bool { return other == r })
	m.dropKeyQueueIfIdle(q)
}

// awaitsKey tells whether a request must wait for its key: an earlier request is not over, or, if this one has had no
// attempt yet, an attempt at an earlier one may still run.
func (m *Machine) awaitsKey(r *request) bool {
	q := r.keyQueue
	return q != nil && (q.requests[0] != r || len(r.attempts) == 0 && m.now < q.cooldownUntil)
}

// startCooldown lets the key wait, since an attempt at one of its requests may still run.
func (m *Machine) startCooldown(q *keyQueue, span time.Duration) {
	q.cooldownUntil = m.now + span
	m.coolingDown = append(m.coolingDown, q)
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
func (m *Machine) dropKeyQueueIfIdle(q *keyQueue) {
	if len(q.requests) == 0 && m.now >= q.cooldownUntil && m.keyQueues[q.key] == q {
		delete(m.keyQueues, q.key)
	}
}
