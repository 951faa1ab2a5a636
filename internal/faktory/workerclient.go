package faktory

import (
	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// Subscribe does nothing: the workers connect to this server.
func (s *Server) Subscribe() {}

// CloseIdle does nothing: the workers open and close the connections.
func (s *Server) CloseIdle(string) {}

// CheckHealth reports the number of a worker's free slots at once, without asking
// the worker.
func (s *Server) CheckHealth(name string) {
	if worker := s.workers[name]; worker != nil {
		worker.reportFreeSlots()
	}
}

// reportFreeSlots reports the number of the worker's parked FETCHes to the
// dispatcher.
func (w *registeredWorker) reportFreeSlots() {
	report := decision.LoadReport{FreeSlots: float64(len(w.parked)), HasFreeSlots: true}
	w.server.dispatcher.HealthChecked(w.name, decision.Completed, report)
}

// Start answers a parked FETCH of the attempt's worker with its job, or lets the
// job wait for the worker's next FETCH.
func (s *Server) Start(attempt dispatch.Attempt) {
	worker := s.workers[attempt.Worker]
	if worker == nil || !worker.isRunning() || len(worker.awaitingFetch) >= worker.maxWaiting() {
		s.dispatcher.AttemptEnded(attempt.Handle, decision.Saturated, decision.LoadReport{}, nil)
		return
	}
	delivery := &jobDelivery{attempt: attempt, worker: worker}
	delivery.fetchDeadline.Fire = func() { s.endAttempt(delivery, decision.Saturated) }
	s.deliveries[attempt.Handle] = delivery
	if slot := worker.slotFor(attempt.Request.Class, attempt.Request.ID); slot != nil {
		s.handOut(delivery, slot)
		return
	}
	worker.awaitingFetch = append(worker.awaitingFetch, delivery)
	loop := s.dispatcher.Loop
	loop.Set(&delivery.fetchDeadline, loop.Now()+nextFetchTimeout)
}

// Cancel ends an attempt without a report to the dispatcher, and reports whether
// its job never ran. The protocol has no way to cancel a job that a worker has
// fetched.
func (s *Server) Cancel(handle uint64) (neverRan bool) {
	delivery := s.deliveries[handle]
	if delivery == nil {
		return false
	}
	s.removeDelivery(delivery)
	return !delivery.handedOut
}
