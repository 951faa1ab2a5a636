package faktory

import (
	"slices"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

const (
	parkTimeout      = 2 * time.Second // a FETCH waits so long for a job
	nextFetchTimeout = time.Second     // a job waits so long for its worker's next FETCH

	// foreignOffers is how many jobs are offered at a time where workers of
	// other front ends run, whose free slots are not known here.
	foreignOffers = 16
)

// handleFetch parks a worker's FETCH until there is a job for it.
func (c *connection) handleFetch(rest []byte) {
	if c.worker == nil {
		c.writeLine(replyError + "FETCH is for workers: HELLO told no wid")
		return
	}
	c.park(string(rest))
	c.server.offerSlot(c)
	if queues := c.server.durable; queues != nil {
		queues.scheduler.Wake()
	}
}

// park records a FETCH of some queues as a free slot of its worker.
func (c *connection) park(queues string) {
	c.busy = true
	c.parked = true
	c.classMask = c.server.classMaskOf(queues)
	if durable := c.server.durable; durable != nil {
		durable.parkCount++
		c.durableClasses = c.server.durableClassesOf(queues)
		c.parkSequence = durable.parkCount
	}
	worker := c.worker
	worker.parked = append(worker.parked, c)
	worker.maxSlots = max(worker.maxSlots, len(worker.parked)+worker.inProgress)
	c.setDeadline(parkTimeout)
}

// unpark takes a FETCH off its worker's free slots.
func (c *connection) unpark() {
	if !c.parked {
		return
	}
	c.parked = false
	c.reservedFor = ""
	c.worker.parked = remove(c.worker.parked, c)
}

// offerSlot gives a newly parked FETCH what waits for it, or else notifies
// the dispatcher of the free slot. A worker that drains gets nothing: its FETCH is
// answered with no job in time.
func (s *Server) offerSlot(slot *connection) {
	worker := slot.worker
	if worker.endpoint.State != decision.Running {
		return
	}
	s.extendKind(worker, slot.classMask)
	worker.deliverAwaiting(s)
	worker.fillReservations(s)
	if slot.parked && worker.listed {
		s.reportFreeSlots(worker)
	}
}

// extendKind adds classes to those that the worker's kind runs, which are what
// any of its connections has fetched. The first time lists the worker.
func (s *Server) extendKind(worker *registeredWorker, classMask int) {
	kind := s.firstClassKind + classMask
	if oldMask := worker.endpoint.Kind - s.firstClassKind; worker.listed && oldMask >= 0 {
		kind = s.firstClassKind + (oldMask | classMask)
	}
	if classMask == 0 || worker.listed && kind == worker.endpoint.Kind {
		return
	}
	worker.endpoint.Kind = kind
	worker.listed = true
	s.updateEndpoint(worker)
}

// classMaskOf returns the classes that a FETCH names, as bits.
func (s *Server) classMaskOf(queues string) (mask int) {
	for queue := range strings.FieldsSeq(queues) {
		if class, known := s.classNumbers[queue]; known {
			mask |= 1 << class
		}
	}
	return mask
}

// durableClassesOf returns the durable classes that a FETCH names, in its order.
func (s *Server) durableClassesOf(queues string) (classes []int) {
	for queue := range strings.FieldsSeq(queues) {
		class, known := s.classNumbers[queue]
		if known && s.isDurable(class) && !slices.Contains(classes, class) {
			classes = append(classes, class)
		}
	}
	return classes
}
