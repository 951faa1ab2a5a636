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

// FreeSlots returns the parked FETCHes that name durable classes, the oldest first.
func (s *Server) FreeSlots() (slots []durable.FreeSlot) {
	for _, fetch := range s.freeParked() {
		if len(fetch.durableClasses) > 0 {
			slots = append(slots, durable.FreeSlot{Classes: fetch.durableClasses})
		}
	}
	return slots
}

// OtherWorkers returns the number of ready workers of other front ends.
func (s *Server) OtherWorkers() int {
	running := 0
	for _, worker := range s.workers {
		if worker.listed && worker.isRunning() {
			running++
		}
	}
	return max(s.dispatcher.ReadyWorkers()-running, 0)
}

// DurableClasses returns the indexes of the durable classes.
func (s *Server) DurableClasses() []int { return s.durable.allClasses() }

// freeParked returns the parked FETCHes, the oldest first. For each delivery that waits
// for a FETCH of a worker, it leaves out one FETCH of that worker.
func (s *Server) freeParked() (parked []*parkedFetch) {
	for _, worker := range s.workers {
		if !worker.listed || !worker.isRunning() {
			continue
		}
		taken := min(len(worker.awaitingFetch), len(worker.parked))
		parked = append(parked, worker.parked[taken:]...)
	}
	slices.SortFunc(parked, func(a, b *parkedFetch) int { return cmp.Compare(a.sequence, b.sequence) })
	return parked
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
