package faktory

import (
	"cmp"
	"slices"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// delivery is an attempt of the dispatcher at a worker of this front end: its
// job waits for the worker's next FETCH, or is handed out.
type delivery struct {
	attempt       dispatch.Attempt
	worker        *worker
	handedOut     bool // from then on the job may have run
	fetchDeadline eventloop.Deadline
}

// handOut answers a parked FETCH with the job of a delivery. If the connection
// is known to be broken, nothing has run.
func (s *Server) handOut(d *delivery, slot *connection) {
	slot.unpark()
	request := d.attempt.Request
	raw := request.Body
	if request.Target != "" {
		raw = encodeJob(request, s.dispatcher.Settings.Classes[request.Class].Name)
	}
	if d.attempt.Fence != 0 {
		raw = withFence(raw, d.attempt.Fence)
	}
	s.writeBuffer = appendBulk(s.writeBuffer[:0], raw)
	sentBefore := slot.conn.SentBytes()
	if !slot.conn.Write(s.writeBuffer) {
		sent := slot.conn.SentBytes() - sentBefore
		if sent < int64(len(s.writeBuffer)) {
			delete(s.deliveries, d.attempt.Handle)
			s.dispatcher.AttemptEnded(d.attempt.Handle, decision.ConnectionRefused, decision.LoadReport{}, nil)
			return
		}
	}
	d.handedOut = true
	d.worker.inProgress++
	slot.resume()
	s.dispatcher.AttemptStarted(d.attempt.Handle)
}

// forgetDelivery removes a delivery from the server and its worker.
func (s *Server) forgetDelivery(d *delivery) {
	delete(s.deliveries, d.attempt.Handle)
	s.dispatcher.Loop.Clear(&d.fetchDeadline)
	if d.handedOut {
		d.worker.inProgress--
		return
	}
	d.worker.awaitingFetch = remove(d.worker.awaitingFetch, d)
}

// endAttempt removes a delivery and tells the dispatcher how its attempt ended.
func (s *Server) endAttempt(d *delivery, outcome decision.AttemptOutcome) {
	s.forgetDelivery(d)
	s.dispatcher.AttemptEnded(d.attempt.Handle, outcome, decision.LoadReport{}, nil)
}

// Cancel gives an attempt up and reports whether its job never ran. The
// protocol cannot call a job back that a worker has.
func (s *Server) Cancel(handle uint64) (neverRan bool) {
	d := s.deliveries[handle]
	if d == nil {
		return false
	}
	s.forgetDelivery(d)
	return !d.handedOut
}

// findHandedOut returns the oldest delivery of a jid that is handed out, to w if w
// is not nil.
func (s *Server) findHandedOut(w *worker, jid string) (oldest *delivery) {
	for _, d := range s.deliveries {
		if !d.handedOut || d.attempt.Request.ID != jid {
			continue
		}
		if w != nil && d.worker != w {
			continue
		}
		if oldest == nil || d.attempt.Handle < oldest.attempt.Handle {
			oldest = d
		}
	}
	return oldest
}

// endLease ends the delivery that was handed out under a lease, if there is one.
func (s *Server) endLease(jid string, fence uint64, outcome decision.AttemptOutcome) {
	for _, d := range s.deliveries {
		if d.handedOut && d.attempt.Request.ID == jid && d.attempt.Fence == fence {
			s.endAttempt(d, outcome)
			return
		}
	}
}

// deliveriesOf returns a worker's deliveries, in the order of their attempts.
func (s *Server) deliveriesOf(w *worker) (deliveries []*delivery) {
	for _, d := range s.deliveries {
		if d.worker == w {
			deliveries = append(deliveries, d)
		}
	}
	slices.SortFunc(deliveries, func(a, b *delivery) int {
		return cmp.Compare(a.attempt.Handle, b.attempt.Handle)
	})
	return deliveries
}

// remove removes an element from a list.
func remove[T comparable](list []T, element T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == element })
}
