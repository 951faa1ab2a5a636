package scale

import (
	"math/rand/v2"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// driver sends requests to one dispatcher as an open loop, without sockets. It belongs to the loop's goroutine.
type driver struct {
	core        *dispatch.Dispatcher
	traffic     Traffic
	random      *rand.Rand
	onCounts    func(more trafficCounts)
	arrivalDue  eventloop.Deadline
	nextArrival time.Duration
	reportedAt  time.Duration
	reported    dispatch.Counts // at the last report
	acceptTime  time.Duration   // spent in accepting requests since the last report
	lastToken   uint64
}

func newDriver(core *dispatch.Dispatcher, traffic Traffic, random *rand.Rand, onCounts func(trafficCounts)) *driver {
	started := &driver{core: core, traffic: traffic, random: random, onCounts: onCounts}
	started.arrivalDue.Fire = started.submitDue
	core.ClientOverride = &hollowWorkers{
		core:             core,
		running:          map[uint64]*hollowAttempt{},
		attemptsByWorker: map[string]int{},
	}
	return started
}

// start waits until the dispatcher has workers, so that its start does not look like an overload.
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

// submitDue submits the requests that are due.
func (d *driver) submitDue() {
	loop := d.core.Loop
	arrivedUntil := loop.Now()
	for d.nextArrival <= arrivedUntil {
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

// Respond does nothing: the dispatcher counts its answers.
func (d *driver) Respond(uint64, dispatch.Response) {}

// report passes on the counts since the last report.
func (d *driver) report() {
	current := d.core.Counts()
	previous := d.reported
	d.onCounts(trafficCounts{
		Accepted:   current.Accepted - previous.Accepted,
		Served:     current.Served - previous.Served,
		Rejected:   current.Rejected - previous.Rejected,
		Failed:     current.Failed - previous.Failed,
		Attempts:   current.Attempts - previous.Attempts,
		AcceptTime: d.acceptTime,
	})
	d.reported = current
	d.acceptTime = 0
}

var _ dispatch.WorkerClient = (*hollowWorkers)(nil)

// hollowWorkers is the dispatch.WorkerClient of a hollow dispatcher, without workers: each attempt starts at once, takes
// as long as its work, and reports the worker's load.
type hollowWorkers struct {
	core             *dispatch.Dispatcher
	running          map[uint64]*hollowAttempt
	attemptsByWorker map[string]int // running attempts of this dispatcher
}

// hollowAttempt is a running attempt.
type hollowAttempt struct {
	worker string
	end    eventloop.Deadline
}

// Start starts an attempt.
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

// loadReport is the load that this dispatcher's attempts cause at a worker.
func (h *hollowWorkers) loadReport(worker string) decision.LoadReport {
	free := float64(machineSlots - h.attemptsByWorker[worker])
	return decision.LoadReport{FreeSlots: max(free, 0), HasFreeSlots: true}
}

func (h *hollowWorkers) remove(handle uint64, ended *hollowAttempt) {
	delete(h.running, handle)
	h.attemptsByWorker[ended.worker]--
	if h.attemptsByWorker[ended.worker] <= 0 {
		delete(h.attemptsByWorker, ended.worker)
	}
}

// Cancel cancels an attempt, which has begun by then.
func (h *hollowWorkers) Cancel(handle uint64) (neverRan bool) {
	if cancelled := h.running[handle]; cancelled != nil {
		h.core.Loop.Clear(&cancelled.end)
		h.remove(handle, cancelled)
	}
	return false
}

// CloseIdle does nothing: there are no connections.
func (h *hollowWorkers) CloseIdle(string) {}

// CheckHealth reports the load that this dispatcher's attempts cause.
func (h *hollowWorkers) CheckHealth(worker string) {
	load := h.loadReport(worker)
	h.core.Loop.Post(func() { h.core.HealthChecked(worker, decision.Completed, load) })
}

// Subscribe does nothing: the registry subscribes.
func (h *hollowWorkers) Subscribe() {}
