package scale

import (
	"math/rand/v2"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// driver generates an open-loop load for one hollow dispatcher: a real dispatcher without clients and workers. It calls
// the dispatcher directly, without sockets, and must be used only on the goroutine of the dispatcher's event loop.
type driver struct {
	core           *dispatch.Dispatcher
	traffic        Traffic
	random         *rand.Rand
	onCounts       func(sinceLast requestCounts) // called with the counts since the last call
	arrivalDue     eventloop.Deadline
	nextArrival    time.Duration   // when the next request is due
	reportedAt     time.Duration   // when onCounts was last called
	reportedCounts dispatch.Counts // counts at the last report
	acceptTime     time.Duration   // time spent in accepting requests since the last report
	lastToken      uint64
}

func newDriver(core *dispatch.Dispatcher, traffic Traffic, random *rand.Rand, onCounts func(requestCounts)) *driver {
	created := &driver{core: core, traffic: traffic, random: random, onCounts: onCounts}
	created.arrivalDue.Fire = created.submitDue
	core.ClientOverride = &hollowWorkers{
		core:             core,
		running:          map[uint64]*hollowAttempt{},
		attemptsByWorker: map[string]int{},
	}
	return created
}

// start begins to send requests once the dispatcher has ready workers: earlier requests would be rejected, which would
// look like an overload.
func (d *driver) start() {
	loop := d.core.Loop
	if d.core.ReadyWorkers() == 0 {
		loop.After(trafficReportInterval, d.start)
		return
	}
	now := loop.Now()
	d.nextArrival = now
	d.reportedAt = now
	d.submitDue()
}

// submitDue submits the requests that are due and sets the timer for the next one.
func (d *driver) submitDue() {
	loop := d.core.Loop
	dueBy := loop.Now()
	for d.nextArrival <= dueBy {
		startedAt := time.Now()
		d.submit()
		d.acceptTime += time.Since(startedAt)
		d.nextArrival += time.Duration(d.random.ExpFloat64() / d.traffic.RatePerS * float64(time.Second))
	}
	now := loop.Now()
	if now >= d.reportedAt+trafficReportInterval {
		d.reportedAt = now
		d.report()
	}
	loop.Set(&d.arrivalDue, d.nextArrival)
}

// submit sends one request to the dispatcher.
func (d *driver) submit() {
	d.lastToken++
	work := time.Duration(d.traffic.WorkMs * d.random.ExpFloat64() * float64(time.Millisecond))
	d.core.Accept(d, d.lastToken, dispatch.Request{
		ID:    strconv.FormatUint(d.lastToken, 36),
		Class: int(d.lastToken % 2),
		Key:   strconv.FormatUint(d.random.Uint64N(10_000), 36),
		Slots: 1,
		Work:  max(work, time.Millisecond),
	})
}

// Respond does nothing: the dispatcher itself counts its responses.
func (d *driver) Respond(uint64, dispatch.Response) {}

// report passes the counts since the last report to onCounts.
func (d *driver) report() {
	current := d.core.Counts()
	previous := d.reportedCounts
	d.onCounts(requestCounts{
		Accepted:   current.Accepted - previous.Accepted,
		Served:     current.Served - previous.Served,
		Rejected:   current.Rejected - previous.Rejected,
		Failed:     current.Failed - previous.Failed,
		Attempts:   current.Attempts - previous.Attempts,
		AcceptTime: d.acceptTime,
	})
	d.reportedCounts = current
	d.acceptTime = 0
}

var _ dispatch.WorkerClient = (*hollowWorkers)(nil)

// hollowWorkers is the dispatch.WorkerClient of a hollow dispatcher. It simulates the workers: each attempt starts at
// once, takes the time in Request.Work, completes, and carries a load report of its worker.
type hollowWorkers struct {
	core             *dispatch.Dispatcher
	running          map[uint64]*hollowAttempt // by the dispatcher's handle for the attempt
	attemptsByWorker map[string]int            // number of this dispatcher's running attempts
}

// hollowAttempt is an attempt that a simulated worker is running.
type hollowAttempt struct {
	worker string
	end    eventloop.Deadline
}

// Start starts a simulated attempt. A function that it posts to the event loop reports to the dispatcher that the
// attempt was sent and has started.
func (h *hollowWorkers) Start(attempt dispatch.Attempt) {
	running := &hollowAttempt{worker: attempt.Worker}
	running.end.Fire = func() { h.end(attempt.Handle, running) }
	h.running[attempt.Handle] = running
	h.attemptsByWorker[running.worker]++
	loop := h.core.Loop
	loop.Post(func() {
		h.core.AttemptSent(attempt.Handle)
		h.core.AttemptStarted(attempt.Handle)
	})
	loop.Set(&running.end, loop.Now()+attempt.Request.Work)
}

func (h *hollowWorkers) end(handle uint64, ended *hollowAttempt) {
	h.remove(handle, ended)
	h.core.AttemptEnded(handle, decision.Completed, h.loadReport(ended.worker), nil)
}

// loadReport returns a worker's load as if no other dispatcher used the worker.
func (h *hollowWorkers) loadReport(worker string) decision.LoadReport {
	free := float64(workerSlots - h.attemptsByWorker[worker])
	return decision.LoadReport{FreeSlots: max(free, 0), HasFreeSlots: true}
}

func (h *hollowWorkers) remove(handle uint64, ended *hollowAttempt) {
	delete(h.running, handle)
	h.attemptsByWorker[ended.worker]--
	if h.attemptsByWorker[ended.worker] <= 0 {
		delete(h.attemptsByWorker, ended.worker)
	}
}

// Cancel cancels an attempt. neverRan is always false, because every attempt starts to run at once.
func (h *hollowWorkers) Cancel(handle uint64) (neverRan bool) {
	if cancelled := h.running[handle]; cancelled != nil {
		h.core.Loop.Clear(&cancelled.end)
		h.remove(handle, cancelled)
	}
	return false
}

// CloseIdle does nothing: there are no connections.
func (h *hollowWorkers) CloseIdle(string) {}

// CheckHealth reports the worker as healthy, with the load from loadReport.
func (h *hollowWorkers) CheckHealth(worker string) {
	load := h.loadReport(worker)
	h.core.Loop.Post(func() { h.core.HealthChecked(worker, decision.Completed, load) })
}

// Subscribe does nothing: the registry subscribes to the endpoint list.
func (h *hollowWorkers) Subscribe() {}
