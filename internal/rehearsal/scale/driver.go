package scale

import (
	"math/rand/v2"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// This file owns the requests that a hollow dispatcher is asked for and the
// workers that serve them, neither of which has a socket. It belongs to the
// loop's goroutine.

// driver hands requests to one dispatcher, open loop.
type driver struct {
	core    *dispatch.Dispatcher
	traffic Traffic
	random  *rand.Rand
	count   func(more trafficCounts)
	due     eventloop.Deadline
	next    time.Duration
	told    time.Duration
	before  dispatch.Counts
	busy    time.Duration
	number  uint64
}

func newDriver(c *dispatch.Dispatcher, traffic Traffic, random *rand.Rand, count func(trafficCounts)) *driver {
	d := &driver{core: c, traffic: traffic, random: random, count: count}
	d.due.Fire = d.arrive
	c.ClientOverride = &hollowCarrier{core: c, running: map[uint64]*hollowJob{}}
	return d
}

// start waits until the dispatcher has a list, so that a start is not taken for an overload.
func (d *driver) start() {
	loop := d.core.Loop
	if d.core.ReadyWorkers() == 0 {
		loop.After(trafficStep, d.start)
		return
	}
	d.next, d.told = loop.Now(), loop.Now()
	d.arrive()
}

func (d *driver) arrive() {
	loop := d.core.Loop
	for now := loop.Now(); d.next <= now; {
		began := time.Now()
		d.take()
		d.busy += time.Since(began)
		d.next += time.Duration(d.random.ExpFloat64() / d.traffic.RatePerS * float64(time.Second))
	}
	if now := loop.Now(); now >= d.told+trafficStep {
		d.told = now
		d.tell()
	}
	loop.Set(&d.due, d.next)
}

func (d *driver) take() {
	d.number++
	work := time.Duration(d.traffic.WorkMs * d.random.ExpFloat64() * float64(time.Millisecond))
	d.core.Accept(d, d.number, dispatch.Request{
		ID:    strconv.FormatUint(d.number, 36),
		Class: int(d.number % 2),
		Key:   strconv.FormatUint(d.random.Uint64N(10_000), 36),
		Slots: 1,
		Work:  max(work, time.Millisecond),
	})
}

// Respond is told of each final answer; the core counts them.
func (d *driver) Respond(uint64, dispatch.Response) {}

func (d *driver) tell() {
	now, before := d.core.Counts(), d.before
	d.count(trafficCounts{Taken: now.Accepted - before.Accepted, Served: now.Served - before.Served, Refused: now.Rejected - before.Rejected,
		Failed: now.Failed - before.Failed, Attempts: now.Attempts - before.Attempts, Busy: d.busy})
	d.before, d.busy = now, 0
}

// hollowCarrier takes attempts to workers that are not there: each starts at
// once, takes as long as its work says and reports the worker's load.
type hollowCarrier struct {
	core    *dispatch.Dispatcher
	running map[uint64]*hollowJob
	busy    map[string]int // jobs of this dispatcher at each worker
}

// hollowJob is one attempt under way.
type hollowJob struct {
	worker string
	due    eventloop.Deadline
}

// Start begins with an attempt.
func (h *hollowCarrier) Start(a dispatch.Attempt) {
	if h.busy == nil {
		h.busy = map[string]int{}
	}
	job := &hollowJob{worker: a.Worker}
	job.due.Fire = func() { h.end(a.Handle, job) }
	h.running[a.Handle] = job
	h.busy[job.worker]++
	loop := h.core.Loop
	loop.Post(func() {
		h.core.AttemptSent(a.Handle)
		h.core.AttemptStarted(a.Handle)
	})
	loop.Set(&job.due, loop.Now()+a.Request.Work)
}

func (h *hollowCarrier) end(handle uint64, job *hollowJob) {
	h.drop(handle, job)
	free := float64(machineSlots - h.busy[job.worker])
	h.core.AttemptEnded(handle, decision.Completed, decision.LoadReport{FreeSlots: max(free, 0), HasFreeSlots: true}, nil)
}

func (h *hollowCarrier) drop(handle uint64, job *hollowJob) {
	delete(h.running, handle)
	if h.busy[job.worker]--; h.busy[job.worker] <= 0 {
		delete(h.busy, job.worker)
	}
}

// Cancel gives an attempt up, which has begun by then.
func (h *hollowCarrier) Cancel(handle uint64) (neverRan bool) {
	if job := h.running[handle]; job != nil {
		h.core.Loop.Clear(&job.due)
		h.drop(handle, job)
	}
	return false
}

// CloseIdle has no connections to close.
func (h *hollowCarrier) CloseIdle(string) {}

// CheckHealth answers with the load that this dispatcher knows of.
func (h *hollowCarrier) CheckHealth(worker string) {
	free := float64(machineSlots - h.busy[worker])
	h.core.Loop.Post(func() {
		h.core.HealthChecked(worker, decision.Completed, decision.LoadReport{FreeSlots: max(free, 0), HasFreeSlots: true})
	})
}

// Subscribe is the sources' matter.
func (h *hollowCarrier) Subscribe() {}
