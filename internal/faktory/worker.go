package faktory

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

const (
	workerNamePrefix    = "faktory:"      // distinguishes wids from the names that discovery uses
	rejoinTimeout       = time.Second     // a worker without connections is removed after that
	runningBeforeWindow = 5 * time.Second // who joins so soon after our start was running before it

	maxStartMillis = 1e13 // latest start that a label may tell, in Unix milliseconds
)

// Labels of a worker's HELLO, in the form name:value.
const (
	labelZone       = "zone"         // name of its zone
	labelStarted    = "born_ms"      // when it started, in Unix milliseconds
	labelFences     = "fences:1"     // it asks by START whether a lease still holds
	labelIdempotent = "idempotent:1" // it deduplicates jobs by jid
)

// registeredWorker is one wid, whatever the number of its connections: one worker
// of the fleet to the dispatcher.
type registeredWorker struct {
	name           string // the wid with workerNamePrefix
	endpoint       decision.Endpoint
	listed         bool           // the dispatcher knows it
	connections    int            // open ones
	parked         []*parkedFetch // its free slots, the oldest first
	awaitingFetch  []*jobDelivery // deliveries that wait for its next FETCH
	reservations   []*slotReservation
	inProgress     int // jobs handed out and not closed
	guarantee      jobs.Guarantee
	maxSlots       int // the most it ever had parked and in progress
	rejoinDeadline eventloop.Deadline
}

// registerWorker records a connection of a wid. A wid that is new is a worker
// that has just started and is subject to slow start, unless it was surely
// running before: it joins right after our own start, or a label gives its
// start, or there is no other running worker.
func (s *Server) registerWorker(message hello) *registeredWorker {
	worker := s.workers[workerNamePrefix+message.Wid]
	if worker == nil {
		worker = s.newWorker(message)
		s.workers[worker.name] = worker
	}
	if slices.Contains(message.Labels, labelFences) {
		worker.guarantee = max(worker.guarantee, jobs.HonorsFences)
	}
	if slices.Contains(message.Labels, labelIdempotent) {
		worker.guarantee = max(worker.guarantee, jobs.Deduplicates)
	}
	worker.connections++
	s.dispatcher.Loop.Clear(&worker.rejoinDeadline)
	return worker
}

func (s *Server) newWorker(message hello) *registeredWorker {
	now := s.dispatcher.Loop.Now()
	worker := &registeredWorker{name: workerNamePrefix + message.Wid}
	worker.endpoint = decision.Endpoint{
		Name:      worker.name,
		Zone:      s.dispatcher.Settings.Zone,
		Kind:      s.firstClassKind,
		Weight:    1,
		StartedAt: now,
	}
	if now-s.startedAt < runningBeforeWindow || !s.hasRunningWorker() {
		worker.endpoint.StartedAt = 0
	}
	s.applyLabels(&worker.endpoint, message.Labels)
	worker.rejoinDeadline.Fire = func() { s.removeWorker(worker) }
	return worker
}

// applyLabels sets what a worker's labels say about it. Others are ignored.
func (s *Server) applyLabels(endpoint *decision.Endpoint, labels []string) {
	for _, label := range labels {
		name, value, _ := strings.Cut(label, ":")
		switch name {
		case labelZone:
			endpoint.Zone = slices.Index(s.dispatcher.Settings.ZoneNames, value)
		case labelStarted:
			var milliseconds int64
			_, err := fmt.Sscan(value, &milliseconds)
			if err == nil && milliseconds >= 0 && milliseconds < maxStartMillis {
				endpoint.StartedAt = time.Duration(milliseconds) * time.Millisecond
			}
		}
	}
}

func (s *Server) hasRunningWorker() bool {
	for _, worker := range s.workers {
		if worker.listed && worker.endpoint.State == decision.Running {
			return true
		}
	}
	return false
}

// updateEndpoint notifies the dispatcher of a change of a worker's endpoint, if it
// knows the worker.
func (s *Server) updateEndpoint(worker *registeredWorker) {
	if worker.listed {
		s.dispatcher.UpdateWorkers(s, decision.ListDelta, []decision.Endpoint{worker.endpoint})
	}
}

// connectionClosed records the end of a connection of the worker, which is
// removed if it does not come back in time after the last one.
func (w *registeredWorker) connectionClosed(s *Server) {
	w.connections--
	if w.connections == 0 {
		loop := s.dispatcher.Loop
		loop.Set(&w.rejoinDeadline, loop.Now()+rejoinTimeout)
	}
}

// removeWorker removes a worker that has gone, and with it what was in progress there.
func (s *Server) removeWorker(worker *registeredWorker) {
	delete(s.workers, worker.name)
	worker.endpoint.State = decision.Removed
	s.updateEndpoint(worker)
	worker.returnUndelivered(s)
	for _, delivery := range s.deliveriesOf(worker) {
		s.endAttempt(delivery, decision.ConnectionLost)
	}
}

// drain lets a worker finish what it has, and gives it nothing new.
func (w *registeredWorker) drain(s *Server) {
	if w.endpoint.State != decision.Running {
		return
	}
	w.endpoint.State = decision.Draining
	s.updateEndpoint(w)
	w.returnUndelivered(s)
}

// returnUndelivered gives back what waits for a worker's next FETCH: it has not run.
func (w *registeredWorker) returnUndelivered(s *Server) {
	for len(w.reservations) > 0 {
		w.resolveReservation(s, w.reservations[0], false)
	}
	for len(w.awaitingFetch) > 0 {
		s.endAttempt(w.awaitingFetch[0], decision.Saturated)
	}
}
