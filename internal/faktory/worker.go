package faktory

import (
	"fmt"
	"math"
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
	runningBeforeWindow = 5 * time.Second // a worker that joins so soon after our start was running before it

	// maxStartMillis is the latest start that a label may tell, in Unix milliseconds: what a duration holds.
	maxStartMillis = int64(math.MaxInt64 / time.Millisecond)
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
	server         *Server
	name           string            // the wid with workerNamePrefix
	endpoint       decision.Endpoint // as the dispatcher knows it, or will
	listed         bool              // the dispatcher knows it: it has sent a FETCH
	guarantee      jobs.Guarantee
	connections    int                // open ones
	rejoinDeadline eventloop.Deadline // removes it, while it has no connection

	parked        []*parkedFetch     // its free slots, the oldest first
	reservations  []*slotReservation // durable jobs that wait for its next FETCH to be leased
	awaitingFetch []*jobDelivery     // deliveries that wait for its next FETCH
	inProgress    int                // jobs handed out and not closed
	maxSlots      int                // the most it ever had parked and in progress
}

// isRunning reports whether the worker takes jobs: it neither drains nor is gone.
func (w *registeredWorker) isRunning() bool { return w.endpoint.State == decision.Running }

// maxWaiting bounds the deliveries, and the reservations, that wait for the
// worker's next FETCH.
func (w *registeredWorker) maxWaiting() int { return max(w.maxSlots, 1) }

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

// newWorker returns a worker that the dispatcher does not know yet.
func (s *Server) newWorker(message hello) *registeredWorker {
	now := s.dispatcher.Loop.Now()
	worker := &registeredWorker{server: s, name: workerNamePrefix + message.Wid}
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
	worker.rejoinDeadline.Fire = worker.remove
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

// hasRunningWorker reports whether any worker of this front end takes jobs.
func (s *Server) hasRunningWorker() bool {
	for _, worker := range s.workers {
		if worker.listed && worker.isRunning() {
			return true
		}
	}
	return false
}

// updateEndpoint notifies the dispatcher of a change of the worker's endpoint, if
// it knows the worker.
func (w *registeredWorker) updateEndpoint() {
	if w.listed {
		w.server.dispatcher.UpdateWorkers(w.server, decision.ListDelta, []decision.Endpoint{w.endpoint})
	}
}

// connectionClosed records the end of a connection of the worker, which is
// removed if it does not come back in time after the last one.
func (w *registeredWorker) connectionClosed() {
	w.connections--
	if w.connections == 0 {
		loop := w.server.dispatcher.Loop
		loop.Set(&w.rejoinDeadline, loop.Now()+rejoinTimeout)
	}
}

// remove removes a worker that has gone, and with it what was in progress there.
func (w *registeredWorker) remove() {
	delete(w.server.workers, w.name)
	w.endpoint.State = decision.Removed
	w.updateEndpoint()
	w.returnUndelivered()
	for _, delivery := range w.server.deliveriesOf(w) {
		w.server.endAttempt(delivery, decision.ConnectionLost)
	}
}

// drain lets a worker finish what it has, and gives it nothing new.
func (w *registeredWorker) drain() {
	if !w.isRunning() {
		return
	}
	w.endpoint.State = decision.Draining
	w.updateEndpoint()
	w.returnUndelivered()
}

// returnUndelivered gives back the jobs that wait for the worker's next FETCH:
// they have not run.
func (w *registeredWorker) returnUndelivered() {
	for len(w.reservations) > 0 {
		w.resolveReservation(w.reservations[0], false)
	}
	for len(w.awaitingFetch) > 0 {
		w.server.endAttempt(w.awaitingFetch[0], decision.Saturated)
	}
}
