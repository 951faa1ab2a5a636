package faktory

import (
	"slices"
	"strings"
	"time"
)

// parkTimeout is how long a FETCH waits for a job.
const parkTimeout = 2 * time.Second

// parkedFetch is a FETCH that waits for a job: a free slot of its worker. It
// ends when it is answered or its connection is closed (unpark).
type parkedFetch struct {
	connection     *connection
	classes        classSet // that it fetches
	durableClasses []int    // of them the durable ones, in the order it names them
	sequence       uint64   // orders parked FETCHes by age
	reservedFor    string   // jid of the durable job that the slot is reserved for; empty: it is free
}

// handleFetch parks a worker's FETCH until there is a job for it.
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

// unpark takes the connection's FETCH, if it has one, off its worker's free
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

// offerSlot gives a newly parked FETCH of the worker a job that waits for it, or
// else notifies the dispatcher of the free slot. A worker that drains gets
// nothing: its FETCH is answered with no job in time.
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

// extendKind adds classes to those that the worker's kind runs, which are the
// classes that any of its connections has fetched. The first time lists the
// worker.
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

// classesOf returns the classes that a FETCH names. Other queues are ignored.
func (s *Server) classesOf(queues string) (classes classSet) {
	for queue := range strings.FieldsSeq(queues) {
		if class, known := s.classIndexes[queue]; known {
			classes = classes.with(class)
		}
	}
	return classes
}

// durableClassesOf returns the durable classes that a FETCH names, in its order.
func (s *Server) durableClassesOf(queues string) (classes []int) {
	for queue := range strings.FieldsSeq(queues) {
		class, known := s.classIndexes[queue]
		if known && s.isDurable(class) && !slices.Contains(classes, class) {
			classes = append(classes, class)
		}
	}
	return classes
}
