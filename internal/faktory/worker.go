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
	workerNamePrefix    = "faktory:"      // distinguishes wids from the names of workers in endpoint lists
	rejoinTimeout       = time.Second     // after which a worker without connections is removed
	runningBeforeWindow = 5 * time.Second // a worker that joins this soon after the server's start is assumed to have started earlier

	// maxStartMillis is the latest start time of a label, in Unix milliseconds: the largest that fits a time.Duration.
	maxStartMillis = int64(math.MaxInt64 / time.Millisecond)
)

// Labels of a worker's HELLO, in the form name:value.
const (
	labelZone       = "zone"         // name of its zone
	labelStarted    = "born_ms"      // when the worker started, in Unix milliseconds
	labelFences     = "fences:1"     // it starts a job only after the reply +OK to START
	labelIdempotent = "idempotent:1" // it deduplicates jobs by jid
)

// registeredWorker is a wid with all its connections. The dispatcher sees it as one
// worker.
type registeredWorker struct {
	server         *Server
	name           string            // the wid with workerNamePrefix
	endpoint       decision.Endpoint // as the dispatcher knows it, or will know it once the worker is listed
	listed         bool              // the dispatcher knows the worker, because the worker has sent a FETCH
	guarantee      jobs.Guarantee
	connections    int                // number of open ones
	rejoinDeadline eventloop.Deadline // when the worker is removed; set while it has no connection

	parked        []*parkedFetch     // its free slots, the oldest first
	reservations  []*slotReservation // durable jobs that wait for its next FETCH before they are leased
	awaitingFetch []*jobDelivery     // deliveries that wait for its next FETCH
	inProgress    int                // number of jobs handed out and not closed by ACK or FAIL
	maxSlots      int                // maximum so far of parked FETCHes and jobs in progress together
}

// isRunning reports whether the worker takes jobs: it is neither draining nor
// removed.
func (w *registeredWorker) isRunning() bool { return w.endpoint.State == decision.Running }

// maxWaiting is the maximum number of deliveries, and of reservations, that wait
// for the worker's next FETCH.
func (w *registeredWorker) maxWaiting() int { return max(w.maxSlots, 1) }

// registerWorker records a connection of a wid. A worker with a new wid is assumed to
// have just started, and is subject to slow start. Exceptions are a worker that joins
// right after the start of this server, a worker that joins when no other is running,
// and one whose label gives another start time.
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

// applyLabels sets the zone and the start time from a worker's labels. Other labels
// are ignored.
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
// the worker is listed.
func (w *registeredWorker) updateEndpoint() {
	if w.listed {
		w.server.dispatcher.UpdateWorkers(w.server, decision.ListDelta, []decision.Endpoint{w.endpoint})
	}
}

// connectionClosed records that a connection of the worker is closed. If it was the
// last one, the worker is removed unless it reconnects within rejoinTimeout.
func (w *registeredWorker) connectionClosed() {
	w.connections--
	if w.connections == 0 {
		loop := w.server.dispatcher.Loop
		loop.Set(&w.rejoinDeadline, loop.Now()+rejoinTimeout)
	}
}

// remove removes a worker that has not reconnected, and ends its attempts.
func (w *registeredWorker) remove() {
	delete(w.server.workers, w.name)
	w.endpoint.State = decision.Removed
	w.updateEndpoint()
	w.returnUndelivered()
	for _, delivery := range w.server.deliveriesOf(w) {
		w.server.endAttempt(delivery, decision.ConnectionLost)
	}
}

// drain lets a worker finish its jobs and gives it no new ones.
func (w *registeredWorker) drain() {
	if !w.isRunning() {
		return
	}
	w.endpoint.State = decision.Draining
	w.updateEndpoint()
	w.returnUndelivered()
}

// returnUndelivered rejects the reservations and ends the attempts that wait for
// the worker's next FETCH. Their jobs have not run.
func (w *registeredWorker) returnUndelivered() {
	for len(w.reservations) > 0 {
		w.resolveReservation(w.reservations[0], false)
	}
	for len(w.awaitingFetch) > 0 {
		w.server.endAttempt(w.awaitingFetch[0], decision.Saturated)
	}
}
