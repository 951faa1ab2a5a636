package decision

import "time"

// saturatedLatencyFraction is the fraction of the mean latency for which a saturated worker gets no
// requests.
const saturatedLatencyFraction = 0.25

// classRejections records a worker's rejections of requests of one class.
type classRejections struct {
	lastAcceptedAt  time.Duration // when the latest request that the worker accepted was assigned
	count           int           // requests rejected since the latest accepted one
	firstRejectedAt time.Duration // when the first of them was rejected
	backoff         time.Duration
	blockedUntil    time.Duration // until then the worker gets no requests of the class
}

// rejectionsOf returns the worker's record for a class.
func (w *worker) rejectionsOf(class *Class) *classRejections {
	if w.rejections[class] == nil {
		if w.rejections == nil {
			w.rejections = map[*Class]*classRejections{}
		}
		w.rejections[class] = &classRejections{}
	}
	return w.rejections[class]
}

// recordAccepted records that the worker has accepted the attempt, whose request is of the class.
func (a *attempt) recordAccepted(class *Class) {
	rejections := a.worker.rejectionsOf(class)
	if a.assignedAt > rejections.lastAcceptedAt {
		*rejections = classRejections{lastAcceptedAt: a.assignedAt}
	}
}

// acceptsOtherClasses reports whether the worker has accepted a request of another class that was assigned
// after the given time.
func (w *worker) acceptsOtherClasses(class *Class, after time.Duration) bool {
	for other, rejections := range w.rejections {
		if other != class && rejections.lastAcceptedAt > after {
			return true
		}
	}
	return false
}

// recordSaturated records that a worker has rejected a request. The worker counts as full for a short time.
// If it has accepted other classes since it began to reject this one, it is assumed not to serve the class;
// then only the class is blocked there, for a backoff that doubles each time.
func (m *Machine) recordSaturated(worker *worker, class *Class) {
	rejections := worker.rejectionsOf(class)
	rejections.count++
	if rejections.count == 1 {
		rejections.firstRejectedAt = m.now
	}
	if rejections.count == 1 || !worker.acceptsOtherClasses(class, rejections.firstRejectedAt) {
		worker.saturatedUntil = m.now + seconds(m.estimates.meanLatency*saturatedLatencyFraction)
		return
	}
	rejections.backoff = m.nextBackoff(rejections.backoff)
	rejections.blockedUntil = m.now + rejections.backoff
}

// saturated reports whether the worker is known to have no capacity for the request now.
func (m *Machine) saturated(request *request, worker *worker) bool {
	if m.now < max(worker.saturatedUntil, worker.rejectionsOf(request.class).blockedUntil) {
		return true
	}
	freshness := max(seconds(m.estimates.meanLatency), m.sweepInterval)
	load := &worker.load
	fresh := load.freeSlotsAt > 0 && m.now-load.freeSlotsAt < freshness
	return fresh && load.freeSlots < request.slots
}
