package decision

import "time"

// saturationLatencies is the fraction of the mean latency for which a saturated worker gets no requests. It
// was inherited with the decision machine.
const saturationLatencies = 0.25

// classRejections records how a worker rejects requests of one class.
type classRejections struct {
	lastAcceptedAt  time.Duration // when the latest request that it accepted was sent
	count           int           // requests rejected since
	firstRejectedAt time.Duration // when the first of those was rejected
	backoff         time.Duration
	blockedUntil    time.Duration // it gets none of the class until then
}

// rejectionsOf returns the record of a class.
func (w *worker) rejectionsOf(class *Class) *classRejections {
	if w.rejections[class] == nil {
		if w.rejections == nil {
			w.rejections = map[*Class]*classRejections{}
		}
		w.rejections[class] = &classRejections{}
	}
	return w.rejections[class]
}

// recordAccepted records that the worker has accepted the attempt, at a request of the class.
func (a *attempt) recordAccepted(class *Class) {
	rejections := a.worker.rejectionsOf(class)
	if a.sentAt > rejections.lastAcceptedAt {
		*rejections = classRejections{lastAcceptedAt: a.sentAt}
	}
}

// acceptsOtherClasses reports whether the worker has accepted requests of other classes that were sent after
// a moment.
func (w *worker) acceptsOtherClasses(class *Class, after time.Duration) bool {
	for other, rejections := range w.rejections {
		if other != class && rejections.lastAcceptedAt > after {
			return true
		}
	}
	return false
}

// recordSaturated records that a worker has rejected a request. It is taken for full for a moment. Where it
// has accepted other classes meanwhile, it is taken not to serve this one, which is blocked there for a
// backoff that doubles.
func (m *Machine) recordSaturated(worker *worker, class *Class) {
	rejections := worker.rejectionsOf(class)
	rejections.count++
	if rejections.count == 1 {
		rejections.firstRejectedAt = m.now
	}
	if rejections.count == 1 || !worker.acceptsOtherClasses(class, rejections.firstRejectedAt) {
		worker.saturatedUntil = m.now + seconds(m.estimates.meanLatency*saturationLatencies)
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
