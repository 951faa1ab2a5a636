package faktory

import (
	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// Subscribe does nothing: workers connect by themselves.
func (s *Server) Subscribe() {}

// CloseIdle does nothing: the connections are the workers' own.
func (s *Server) CloseIdle(string) {}

// CheckHealth answers at once from what is known of a worker.
func (s *Server) CheckHealth(name string) {
	if worker := s.workers[name]; worker != nil {
		worker.reportFreeSlots()
	}
}

// reportFreeSlots reports to the dispatcher how many FETCHes of the worker wait.
func (w *registeredWorker) reportFreeSlots() {
	report := decision.LoadReport{FreeSlots: float64(len(w.parked)), HasFreeSlots: true}
	w.server.dispatcher.HealthChecked(w.name, decision.Completed, report)
}

// Start hands an attempt's job to a parked FETCH of its worker, or lets it wait
// for the worker's next one.
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

// Cancel gives an attempt up and reports whether its job never ran. The
// protocol cannot call a job back that a worker has.
func (s *Server) Cancel(handle uint64) (neverRan bool) {
	delivery := s.deliveries[handle]
	if delivery == nil {
		return false
	}
	s.forgetDelivery(delivery)
	return !delivery.handedOut
}
