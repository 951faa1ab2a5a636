package faktory

import (
	"cmp"
	"slices"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// jobDelivery is an attempt of the dispatcher at a worker of this front end: its
// job waits for the worker's next FETCH, or is handed out.
type jobDelivery struct {
	attempt       dispatch.Attempt
	worker        *registeredWorker
	handedOut     bool               // from then on the job may have run
	fetchDeadline eventloop.Deadline // by which the worker's next FETCH must have come
}

// handOut answers a parked FETCH with the job of a delivery. If workers may have
// forgotten an earlier attempt by now, or the connection is known to be broken,
// nothing has run.
func (s *Server) handOut(delivery *jobDelivery, slot *parkedFetch) {
	if !s.withinDedupWindow(delivery) {
		s.endAttempt(delivery, decision.NotSent)
		return
	}
	c := slot.connection
	c.unpark()
	request := delivery.attempt.Request
	raw := request.Body
	if request.Target != "" {
		raw = encodeJob(request, s.dispatcher.Settings.Classes[request.Class].Name)
	}
	if delivery.attempt.Fence != 0 {
		raw = withFence(raw, delivery.attempt.Fence)
	}
	s.writeBuffer = appendBulk(s.writeBuffer[:0], raw)
	sentBefore := c.conn.SentBytes()
	if !c.conn.Write(s.writeBuffer) && c.conn.SentBytes()-sentBefore < int64(len(s.writeBuffer)) {
		s.endAttempt(delivery, decision.ConnectionRefused)
		return
	}
	delivery.handedOut = true
	delivery.worker.inProgress++
	s.jids.handedOut(request.ID, delivery.worker.name)
	c.resume()
	s.dispatcher.AttemptStarted(delivery.attempt.Handle)
}

// withinDedupWindow reports whether the job of a delivery, which may have waited
// for its FETCH, may still be handed out as a repeat.
func (s *Server) withinDedupWindow(delivery *jobDelivery) bool {
	_, allowed := s.dispatcher.Guard.MaySend(invariant.Send{
		Now:      s.dispatcher.Loop.Now(),
		Deadline: delivery.attempt.Deadline,
		RetryBy:  s.dispatcher.RetryBy(delivery.attempt.Handle),
	})
	return allowed
}

// forgetDelivery removes a delivery from the server and its worker.
func (s *Server) forgetDelivery(delivery *jobDelivery) {
	delete(s.deliveries, delivery.attempt.Handle)
	s.dispatcher.Loop.Clear(&delivery.fetchDeadline)
	if delivery.handedOut {
		delivery.worker.inProgress--
		return
	}
	delivery.worker.awaitingFetch = remove(delivery.worker.awaitingFetch, delivery)
}

// endAttempt removes a delivery and reports to the dispatcher how its attempt ended.
func (s *Server) endAttempt(delivery *jobDelivery, outcome decision.AttemptOutcome) {
	s.forgetDelivery(delivery)
	s.dispatcher.AttemptEnded(delivery.attempt.Handle, outcome, decision.LoadReport{}, nil)
}

// findHandedOut returns the oldest delivery of a jid that is handed out to worker.
func (s *Server) findHandedOut(worker *registeredWorker, jid string) (oldest *jobDelivery) {
	for _, delivery := range s.deliveries {
		if !delivery.handedOut || delivery.worker != worker || delivery.attempt.Request.ID != jid {
			continue
		}
		if oldest == nil || delivery.attempt.Handle < oldest.attempt.Handle {
			oldest = delivery
		}
	}
	return oldest
}

// endLease ends the delivery that was handed out under a lease, if there is one.
func (s *Server) endLease(jid string, fence uint64, outcome decision.AttemptOutcome) {
	if fence == jobs.NoFence { // that of direct jobs
		return
	}
	for _, delivery := range s.deliveries {
		if delivery.handedOut && delivery.attempt.Request.ID == jid && delivery.attempt.Fence == fence {
			s.endAttempt(delivery, outcome)
			return
		}
	}
}

// deliveriesOf returns a worker's deliveries, in the order of their attempts.
func (s *Server) deliveriesOf(worker *registeredWorker) (deliveries []*jobDelivery) {
	for _, delivery := range s.deliveries {
		if delivery.worker == worker {
			deliveries = append(deliveries, delivery)
		}
	}
	slices.SortFunc(deliveries, func(a, b *jobDelivery) int {
		return cmp.Compare(a.attempt.Handle, b.attempt.Handle)
	})
	return deliveries
}

// remove removes an element from a list.
func remove[T comparable](list []T, element T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == element })
}
