package faktory

import (
	"slices"
	"strings"
	"time"
)

// parkTimeout is how long a FETCH waits for a job.
const parkTimeout = 2 * time.Second

// parkedFetch is a FETCH that waits for a job: a free slot of its worker. It
// stays parked until it is answered or its connection is closed (unpark).
type parkedFetch struct {
	connection     *connection
	classes        classSet // of the queues that it names
	durableClasses []int    // the durable ones of these, in the order in which it names them
	sequence       uint64   // increases with each parked FETCH, so that they can be sorted by age
	reservedFor    string   // jid of the durable job for which the slot is reserved; empty if it is free
}

// handleFetch parks a worker's FETCH, and answers it at once if a job waits for it.
func (c *connection) handleFetch(rest []byte) {
	if c.worker == nil {
		c.writeLine(replyError + "FETCH is for workers: HELLO told no wid")
		return
	}
	c.park(string(rest))
	c.worker.offerSlot(c.fetch)
	if queues := c.server.durable; queues != nil {
		queues.scheduler.Wake()
	}
}

// park records a FETCH of some queues as a free slot of its worker.
func (c *connection) park(queues string) {
	fetch := &parkedFetch{connection: c, classes: c.server.classesOf(queues)}
	if durable := c.server.durable; durable != nil {
		durable.parkCount++
		fetch.durableClasses = c.server.durableClassesOf(queues)
		fetch.sequence = durable.parkCount
	}
	c.fetch = fetch
	c.busy = true
	worker := c.worker
	worker.parked = append(worker.parked, fetch)
	worker.maxSlots = max(worker.maxSlots, len(worker.parked)+worker.inProgress)
	c.setDeadline(parkTimeout)
}

// unpark removes the connection's FETCH, if it has one, from its worker's free
// slots.
func (c *connection) unpark() {
	if c.fetch == nil {
		return
	}
	c.worker.parked = remove(c.worker.parked, c.fetch)
	c.fetch = nil
}

// isParked reports whether the FETCH still waits.
func (f *parkedFetch) isParked() bool { return f.connection.fetch == f }

// offerSlot answers a newly parked FETCH of the worker with a job that waits for
// it, or else notifies the dispatcher of the free slot. It does nothing if the
// worker drains: the FETCH is then answered without a job after parkTimeout.
func (w *registeredWorker) offerSlot(slot *parkedFetch) {
	if !w.isRunning() {
		return
	}
	w.extendKind(slot.classes)
	w.deliverAwaiting()
	w.fillReservations()
	if slot.isParked() && w.listed {
		w.reportFreeSlots()
	}
}

// extendKind adds classes to those that the worker's kind runs, which are all
// classes that any of its connections has fetched. The first call makes the worker
// known to the dispatcher.
func (w *registeredWorker) extendKind(classes classSet) {
	if classes == 0 {
		return
	}
	firstClassKind := w.server.firstClassKind
	if w.listed {
		classes |= classSet(w.endpoint.Kind - firstClassKind)
	}
	kind := firstClassKind + int(classes)
	if w.listed && kind == w.endpoint.Kind {
		return
	}
	w.endpoint.Kind = kind
	w.listed = true
	w.updateEndpoint()
}

// classesOf returns the classes that a FETCH names. Unknown queues are ignored.
func (s *Server) classesOf(queues string) (classes classSet) {
	for queue := range strings.FieldsSeq(queues) {
		if class, known := s.classIndexes[queue]; known {
			classes = classes.with(class)
		}
	}
	return classes
}

// durableClassesOf returns the durable classes that a FETCH names, in the same
// order.
func (s *Server) durableClassesOf(queues string) (classes []int) {
	for queue := range strings.FieldsSeq(queues) {
		class, known := s.classIndexes[queue]
		if known && s.isDurable(class) && !slices.Contains(classes, class) {
			classes = append(classes, class)
		}
	}
	return classes
}
