package faktory

import (
	"cmp"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

const (
	// nextFetchTimeout is how long a job waits for its worker's next FETCH.
	nextFetchTimeout = time.Second

	// otherFrontEndOffers is how many jobs are offered at a time where workers of
	// other front ends run, whose free slots are not known here.
	otherFrontEndOffers = 16
)

// slotReservation is a durable job that waits for a slot of a worker before it is leased.
type slotReservation struct {
	jid        string
	class      int
	onReserved func(reserved bool)
	deadline   eventloop.Deadline
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
func (w *registeredWorker) deliverAwaiting() {
	for _, delivery := range slices.Clone(w.awaitingFetch) {
		slot := w.slotFor(delivery.attempt.Request.Class, delivery.attempt.Request.ID)
		if slot == nil {
			continue
		}
		w.awaitingFetch = remove(w.awaitingFetch, delivery)
		w.server.dispatcher.Loop.Clear(&delivery.fetchDeadline)
		w.server.handOut(delivery, slot)
	}
}

// FreeSlots returns the parked FETCHes that name durable classes, the oldest
// first. Where workers of other front ends are ready it adds slots that take all
// durable classes, as their free slots are not known.
func (s *Server) FreeSlots() (slots []durable.FreeSlot) {
	parked, running := s.freeParked()
	for _, fetch := range parked {
		if len(fetch.durableClasses) > 0 {
			slots = append(slots, durable.FreeSlot{Classes: fetch.durableClasses})
		}
	}
	if s.dispatcher.ReadyWorkers() > running {
		all := s.durable.allClasses()
		for range otherFrontEndOffers {
			slots = append(slots, durable.FreeSlot{Classes: all})
		}
	}
	return slots
}

// freeParked returns the parked FETCHes that no delivery waits for, from the
// oldest on, and the number of running workers.
func (s *Server) freeParked() (parked []*parkedFetch, running int) {
	for _, worker := range s.workers {
		if !worker.listed || !worker.isRunning() {
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
// time, and calls onReserved with whether there is one. A worker of another front
// end always has a slot.
func (s *Server) Reserve(workerName string, class int, jid string, onReserved func(reserved bool)) {
	worker := s.workers[workerName]
	if worker == nil {
		onReserved(true)
		return
	}
	if !worker.isRunning() || len(worker.reservations) >= worker.maxWaiting() {
		onReserved(false)
		return
	}
	reservation := &slotReservation{jid: jid, class: class, onReserved: onReserved}
	reservation.deadline.Fire = func() { worker.resolveReservation(reservation, false) }
	worker.reservations = append(worker.reservations, reservation)
	loop := s.dispatcher.Loop
	loop.Set(&reservation.deadline, loop.Now()+nextFetchTimeout)
	worker.fillReservations()
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
		worker.deliverAwaiting()
		worker.fillReservations()
	})
}

// resolveReservation ends the wait of a reservation.
func (w *registeredWorker) resolveReservation(reservation *slotReservation, reserved bool) {
	w.reservations = remove(w.reservations, reservation)
	w.server.dispatcher.Loop.Clear(&reservation.deadline)
	reservation.onReserved(reserved)
}

// fillReservations reserves free slots for the jobs that wait for one.
func (w *registeredWorker) fillReservations() {
	for _, reservation := range slices.Clone(w.reservations) {
		slot := w.slotFor(reservation.class, "")
		if slot == nil || !slices.Contains(w.reservations, reservation) {
			continue
		}
		slot.reservedFor = reservation.jid
		w.resolveReservation(reservation, true)
	}
}
