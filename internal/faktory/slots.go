package faktory

import (
	"cmp"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

const (
	// nextFetchTimeout is how long a job waits for its worker's next FETCH.
	nextFetchTimeout = time.Second

	// foreignOffers is how many jobs are offered at a time where workers of
	// other front ends run, whose free slots are not known here.
	foreignOffers = 16
)

// slotReservation is a durable job that waits for a slot of a worker before it is leased.
type slotReservation struct {
	jid      string
	class    int
	onResult func(free bool)
	deadline eventloop.Deadline
}

// slotFor returns the parked FETCH that is reserved for a job, or else the
// oldest free one that fetches its class.
func (w *registeredWorker) slotFor(class int, jid string) (free *parkedFetch) {
	for _, slot := range w.parked {
		if !slot.classes.has(class) {
			continue
		}
		if slot.reservedFor != "" && slot.reservedFor == jid {
			return slot
		}
		if slot.reservedFor == "" && free == nil {
			free = slot
		}
	}
	return free
}

// deliverAwaiting hands deliveries that wait for a FETCH to the slots that fit.
func (w *registeredWorker) deliverAwaiting(s *Server) {
	for _, delivery := range slices.Clone(w.awaitingFetch) {
		slot := w.slotFor(delivery.attempt.Request.Class, delivery.attempt.Request.ID)
		if slot == nil {
			continue
		}
		w.awaitingFetch = remove(w.awaitingFetch, delivery)
		s.dispatcher.Loop.Clear(&delivery.fetchDeadline)
		s.handOut(delivery, slot)
	}
}

// FreeSlots returns, for each parked FETCH from the oldest on, the durable
// classes that it takes, in its order.
func (s *Server) FreeSlots() (slots [][]int) {
	parked, running := s.freeParked()
	for _, slot := range parked {
		if len(slot.durableClasses) > 0 {
			slots = append(slots, slot.durableClasses)
		}
	}
	if s.dispatcher.ReadyWorkers() > running { // workers of other front ends
		all := s.durable.allClasses()
		for range foreignOffers {
			slots = append(slots, all)
		}
	}
	return slots
}

// freeParked returns the parked FETCHes that no delivery waits for, from the
// oldest on, and the number of running workers.
func (s *Server) freeParked() (parked []*parkedFetch, running int) {
	for _, worker := range s.workers {
		if !worker.listed || worker.endpoint.State != decision.Running {
			continue
		}
		running++
		taken := min(len(worker.awaitingFetch), len(worker.parked))
		parked = append(parked, worker.parked[taken:]...)
	}
	slices.SortFunc(parked, func(a, b *parkedFetch) int { return cmp.Compare(a.sequence, b.sequence) })
	return parked, running
}

// Reserve keeps a parked FETCH of a worker for a job, now or when one comes in
// time, and calls onResult with whether there is one. A worker of another front
// end is always free.
func (s *Server) Reserve(workerName string, class int, jid string, onResult func(free bool)) {
	worker := s.workers[workerName]
	if worker == nil {
		onResult(true)
		return
	}
	if worker.endpoint.State != decision.Running || len(worker.reservations) >= max(worker.maxSlots, 1) {
		onResult(false)
		return
	}
	reservation := &slotReservation{jid: jid, class: class, onResult: onResult}
	reservation.deadline.Fire = func() { worker.resolveReservation(s, reservation, false) }
	worker.reservations = append(worker.reservations, reservation)
	loop := s.dispatcher.Loop
	loop.Set(&reservation.deadline, loop.Now()+nextFetchTimeout)
	worker.fillReservations(s)
}

// Unreserve frees a slot that was reserved for a job.
func (s *Server) Unreserve(workerName, jid string) {
	worker := s.workers[workerName]
	if worker == nil {
		return
	}
	for _, slot := range worker.parked {
		if slot.reservedFor == jid {
			slot.reservedFor = ""
		}
	}
	s.dispatcher.Loop.Post(func() {
		worker.deliverAwaiting(s)
		worker.fillReservations(s)
	})
}

// resolveReservation ends a reservation that waits.
func (w *registeredWorker) resolveReservation(s *Server, reservation *slotReservation, free bool) {
	w.reservations = remove(w.reservations, reservation)
	s.dispatcher.Loop.Clear(&reservation.deadline)
	reservation.onResult(free)
}

// fillReservations reserves free slots for the jobs that wait for one.
func (w *registeredWorker) fillReservations(s *Server) {
	for _, reservation := range slices.Clone(w.reservations) {
		slot := w.slotFor(reservation.class, "")
		if slot == nil || !slices.Contains(w.reservations, reservation) {
			continue
		}
		slot.reservedFor = reservation.jid
		w.resolveReservation(s, reservation, true)
	}
}
