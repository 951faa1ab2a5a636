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

	// otherFrontEndSlots is the number of free slots that are assumed for all workers
	// of other front ends together, because their free slots are not known here.
	otherFrontEndSlots = 16
)

// slotReservation is a durable job that waits for a free slot of a worker before it
// is leased.
type slotReservation struct {
	jid        string
	class      int
	onReserved func(reserved bool)
	deadline   eventloop.Deadline
}

// slotFor returns the parked FETCH that is reserved for a job, or else the oldest
// one that fetches the job's class and is not reserved. It returns nil if there is
// none.
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

// deliverAwaiting hands out those deliveries that wait for a FETCH and for whose
// classes there is a slot.
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
// first. If workers of other front ends are ready, it adds otherFrontEndSlots
// slots that take all durable classes.
func (s *Server) FreeSlots() (slots []durable.FreeSlot) {
	parked, running := s.freeParked()
	for _, fetch := range parked {
		if len(fetch.durableClasses) > 0 {
			slots = append(slots, durable.FreeSlot{Classes: fetch.durableClasses})
		}
	}
	if s.dispatcher.ReadyWorkers() > running {
		all := s.durable.allClasses()
		for range otherFrontEndSlots {
			slots = append(slots, durable.FreeSlot{Classes: all})
		}
	}
	return slots
}

// freeParked returns the parked FETCHes, the oldest first, and the number of
// running workers. For each delivery that waits for a FETCH of a worker, it leaves
// out one FETCH of that worker.
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

// Reserve reserves a parked FETCH of a worker for a job. If there is none, it waits
// for one for up to nextFetchTimeout. It calls onReserved with whether it succeeded. A
// worker of another front end always counts as having a free slot.
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

// Unreserve releases the slot that was reserved for a job.
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

// resolveReservation ends the wait of a reservation with the given result.
func (w *registeredWorker) resolveReservation(reservation *slotReservation, reserved bool) {
	w.reservations = remove(w.reservations, reservation)
	w.server.dispatcher.Loop.Clear(&reservation.deadline)
	reservation.onReserved(reserved)
}

// fillReservations assigns free slots to the reservations that wait for one.
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
