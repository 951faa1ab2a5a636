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

// jobDelivery is an attempt of the dispatcher at a worker of this front end. Its
// job either waits for the worker's next FETCH, or has been handed out.
type jobDelivery struct {
	attempt       dispatch.Attempt
	worker        *registeredWorker
	handedOut     bool               // a FETCH was answered with the job, so it may have run
	fetchDeadline eventloop.Deadline // until which the job waits for the worker's next FETCH
}

// handOut answers a parked FETCH with the job of a delivery. It ends the attempt
// as one that never ran if the dedup window of an earlier attempt may be over,
// or if the write shows that the connection is broken.
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

// withinDedupWindow reports whether the job of a delivery may still be handed out.
// If it is a retry of a deduplicated job, its dedup window may have ended while it
// waited for the worker's FETCH.
func (s *Server) withinDedupWindow(delivery *jobDelivery) bool {
	_, allowed := s.dispatcher.Guard.MaySend(invariant.Send{
		Now:      s.dispatcher.Loop.Now(),
		Deadline: delivery.attempt.Deadline,
		RetryBy:  s.dispatcher.RetryBy(delivery.attempt.Handle),
	})
	return allowed
}

// removeDelivery removes a delivery from the server and from its worker.
func (s *Server) removeDelivery(delivery *jobDelivery) {
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
	s.removeDelivery(delivery)
	s.dispatcher.AttemptEnded(delivery.attempt.Handle, outcome, decision.LoadReport{}, nil)
}

// findHandedOut returns the oldest delivery of a jid that was handed out to worker,
// or nil.
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

// endAttemptUnderLease ends the attempt whose job was handed out under a lease, if there is
// one.
func (s *Server) endAttemptUnderLease(jid string, fence uint64, outcome decision.AttemptOutcome) {
	if fence == jobs.NoFence { // direct jobs have no lease
		return
	}
	for _, delivery := range s.deliveries {
		if delivery.handedOut && delivery.attempt.Request.ID == jid && delivery.attempt.Fence == fence {
			s.endAttempt(delivery, outcome)
			return
		}
	}
}

// deliveriesOf returns a worker's deliveries, sorted by the handles of their
// attempts.
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
