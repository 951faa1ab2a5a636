package decision

import (
	"slices"
	"time"
)

// serializer orders the requests of Serialized classes: those with the same key run one at a time, in the
// order of their arrival.
type serializer struct {
	queues      map[string]*keyQueue // by key
	coolingDown []*keyQueue          // ordered by the end of the cooldown
}

// keyQueue is the queue of one key.
type keyQueue struct {
	key           string
	requests      []*request // requests that are not over, by arrival
	cooldownUntil time.Duration
}

// join appends a request to the queue of its key.
func (s *serializer) join(request *request, key string) {
	queue := s.queues[key]
	if queue == nil {
		queue = &keyQueue{key: key}
		s.queues[key] = queue
	}
	request.keyQueue = queue
	queue.requests = append(queue.requests, request)
}

// leave removes a request that is over from the queue of its key.
func (s *serializer) leave(over *request, now time.Duration) {
	queue := over.keyQueue
	queue.requests = slices.DeleteFunc(queue.requests, func(request *request) bool { return request == over })
	s.dropIfIdle(queue, now)
}

// endCooldowns drops the idle keys whose cooldown is over.
func (s *serializer) endCooldowns(now time.Duration) {
	for len(s.coolingDown) > 0 && now >= s.coolingDown[0].cooldownUntil {
		s.dropIfIdle(s.coolingDown[0], now)
		s.coolingDown = s.coolingDown[1:]
	}
}

// dropIfIdle drops a key that has no request and no cooldown.
func (s *serializer) dropIfIdle(queue *keyQueue, now time.Duration) {
	if len(queue.requests) == 0 && now >= queue.cooldownUntil && s.queues[queue.key] == queue {
		delete(s.queues, queue.key)
	}
}

// awaitsKey reports whether a request must wait for its key: an earlier request of the key is not over, or
// this request has had no attempt yet and the key's cooldown is not over.
func (r *request) awaitsKey(now time.Duration) bool {
	queue := r.keyQueue
	if queue == nil {
		return false
	}
	return queue.requests[0] != r || len(r.attempts) == 0 && now < queue.cooldownUntil
}

// startCooldown delays the next request of a key, since an attempt at an earlier one may still run.
func (m *Machine) startCooldown(queue *keyQueue) {
	span := m.settings.KeyCooldown + m.settings.Tick
	queue.cooldownUntil = m.now + span
	m.serializer.coolingDown = append(m.serializer.coolingDown, queue)
	m.emit(Action{Kind: SetTimer, Timer: cooldownTimer, Delay: span})
}
