package durable

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/slotmap"
	"hollyyoke.example/hollyyoke/internal/store"
)

// This file owns the desk: jobs that may run wait here, by class, and go to the
// core one for each free slot, where the decision module picks the backend or
// refuses. It must never hand the core a job twice at a time, nor let a backlog
// look like load: what waits here presses on nobody.

// restTime is for how long a job that the module has given up rests here, where
// it was not told when to come back.
const restTime = 250 * time.Millisecond

// Workers is who knows jobs' words and backends' slots. A lease is asked for once a
// slot is free and kept for it, or a crash in between would leave a job in doubt
// that nobody had been handed.
type Workers interface {
	Request(j jobs.Job) (dispatch.Request, error) // a job as the core has it
	FreeSlots() [][]int                           // the classes that each free slot wants, dearest first; the longest free first
	Guarantee(backend string) jobs.Guarantee      // what a backend has promised
	Reserve(backend string, class int, id string, onReserved func(free bool))
	Unreserve(backend, id string)
	SendsHeartbeats(backend string) bool // whether it renews its leases itself
}

// Scheduler belongs to the loop's goroutine.
type Scheduler struct {
	s       *Service
	core    *dispatch.Dispatcher
	wire    Workers
	names   map[string]int
	backlog [][]string // ids that may run, by class
	again   [][]string // of them, those that the module gave up, which go first
	in      map[string]bool
	out     map[string]*errand // in the core, by id
	errands slotmap.Map[errand]
	offers  int // of them, without a lease
	paused  map[string]bool
	turn    eventloop.Deadline
	stopped bool
}

// errand is a job in the core.
type errand struct {
	id     string
	req    uint64
	class  int
	leased bool
}

// NewScheduler joins a service to a core. The service may be started after that.
func NewScheduler(s *Service, c *dispatch.Dispatcher, w Workers) *Scheduler {
	d := &Scheduler{s: s, core: c, wire: w, names: map[string]int{}, backlog: make([][]string, len(c.Settings.Classes)), again: make([][]string, len(c.Settings.Classes)),
		in: map[string]bool{}, out: map[string]*errand{}, paused: s.paused()}
	for i, class := range c.Settings.Classes {
		d.names[class.Name] = i
	}
	d.turn.Fire = d.pump
	s.OnRunnable = d.runnable
	return d
}

// Wake makes the desk look again, soon: a slot has become free.
func (d *Scheduler) Wake() {
	if len(d.in) > 0 {
		d.core.Loop.Set(&d.turn, d.core.Loop.Now())
	}
}

// Stop begins a planned end: nothing more is handed to the core.
func (d *Scheduler) Stop() { d.stopped = true }

// Release takes all jobs off the core: what is leased stays so, and its worker
// will tell whoever has the store next.
func (d *Scheduler) Release() {
	d.stopped = true
	for _, e := range d.out {
		d.core.Cancel(e.req)
	}
	clear(d.out)
}

func (d *Scheduler) runnable(j jobs.Job) {
	class, known := d.names[j.Class]
	if !known {
		d.core.Log(fmt.Sprintf("durable job %s waits: no class %q is served here", j.ID, j.Class))
		return
	}
	if d.out[j.ID] != nil || d.in[j.ID] {
		return // its errand's end looks after it
	}
	d.in[j.ID] = true
	d.backlog[class] = append(d.backlog[class], j.ID)
	d.Wake()
}

// next takes the first job that may run off the queues, in their order.
func (d *Scheduler) next(classes []int) (j jobs.Job, class int, ok bool) {
	for _, class := range classes {
		if d.paused[d.core.Settings.Classes[class].Name] {
			continue
		}
		for len(d.again[class])+len(d.backlog[class]) > 0 {
			list := &d.again[class]
			if len(*list) == 0 {
				list = &d.backlog[class]
			}
			id := (*list)[0]
			*list = (*list)[1:]
			delete(d.in, id)
			if j, known := d.s.Get(id); known && j.State == jobs.Ready {
				return j, class, true
			}
		}
	}
	return j, 0, false
}

// pump hands the core a job for each free slot that none has been handed for.
func (d *Scheduler) pump() {
	if d.stopped {
		return
	}
	slots := d.wire.FreeSlots()
	for i := d.offers; i < len(slots); i++ {
		j, class, ok := d.next(slots[i])
		if !ok {
			continue
		}
		job, err := d.wire.Request(j)
		if err != nil { // it was readable when it was taken on
			d.core.Log(fmt.Sprintf("durable job %s cannot be read, and is dead: %v", j.ID, err))
			d.s.Move(j.ID, jobs.Kill, jobs.Reason(err.Error()), true)
			continue
		}
		job.Leaser, job.ReceivedAt = d, 0
		e := &errand{id: j.ID, class: class}
		d.out[j.ID] = e
		d.offers++
		e.req = d.core.Accept(d, d.errands.Insert(e), job)
	}
}

// Respond is told that the core is through with a job. One that has not run comes back to the head of its queue.
func (d *Scheduler) Respond(token uint64, a dispatch.Response) {
	e := d.errands.Get(token)
	d.errands.Remove(token)
	delete(d.out, e.id)
	if !e.leased {
		d.offers--
	}
	if j, known := d.s.Get(e.id); !known || j.State != jobs.Ready {
		return
	}
	rest := restTime
	if a.RetryAfter > 0 {
		rest = a.RetryAfter
	}
	d.in[e.id] = true
	d.core.Loop.After(rest, func() {
		d.again[e.class] = append(d.again[e.class], e.id)
		d.Wake()
	})
}

// Acquire leases a job to a backend.
func (d *Scheduler) Acquire(job *dispatch.Request, backend string, told func(fence uint64) bool) {
	e := d.out[job.ID]
	id := job.ID
	if d.stopped {
		told(0)
		return
	}
	no := func() {
		d.wire.Unreserve(backend, id)
		told(0)
	}
	d.wire.Reserve(backend, job.Class, id, func(free bool) {
		if !free || !d.assign(e, id, backend, told, no) {
			no()
		}
	})
}

// assign leases a job to a backend that has a slot for it.
func (d *Scheduler) assign(e *errand, id, backend string, told func(fence uint64) bool, no func()) bool {
	return d.s.Assign(id, backend, d.wire.Guarantee(backend), func(j jobs.Job, err error) {
		if err != nil {
			no()
			return
		}
		if e != nil && !e.leased {
			e.leased = true
			if d.out[id] == e {
				d.offers--
			}
		}
		if !d.wire.SendsHeartbeats(backend) { // its fetch tells that it is alive, until the core gives that up
			d.s.Extend(id, j.Fence, d.core.Loop.Now()+d.core.Settings.Classes[d.names[j.Class]].Deadline)
		}
		if !told(j.Fence) {
			d.wire.Unreserve(backend, id)
			d.s.Fail(id, j.Fence, "nobody waited for the lease any more", false, func(error) {})
		}
		d.Wake()
	})
}

// Ended tells what became of a lease. Where nobody can tell whether the job ran,
// the lease goes on: its worker may come back with what it holds.
func (d *Scheduler) Ended(job *dispatch.Request, fence uint64, o decision.AttemptOutcome, neverRan bool, result []byte) {
	ignore := func(error) {}
	switch {
	case o == decision.Completed:
		d.s.Ack(job.ID, fence, slices.Clone(result), ignore)
	case neverRan:
		if e := d.out[job.ID]; e != nil && e.leased {
			e.leased = false
			d.offers++
		}
		d.s.Fail(job.ID, fence, jobs.Reason(o.String()), false, ignore)
	case o == decision.Failed:
		d.s.Fail(job.ID, fence, jobs.Reason(o.String()), true, ignore)
	}
}

// Waiting is the number of jobs of a class that may run and are not out.
func (d *Scheduler) Waiting(class int) int { return len(d.backlog[class]) + len(d.again[class]) }

// Paused lists the classes that hand nothing out.
func (d *Scheduler) Paused() []string { return slices.Sorted(maps.Keys(d.paused)) }

// Pause pauses or resumes a class and calls done with nil once that is on disk, or with the error.
func (d *Scheduler) Pause(class string, on bool, done func(error)) {
	if on {
		d.paused[class] = true
	} else {
		delete(d.paused, class)
		d.Wake()
	}
	d.s.note(pausedNote, d.Paused(), done)
}

const (
	notePrefix = "\x00" // of records that are no jobs
	pausedNote = notePrefix + "paused"
	syncedNote = notePrefix + "synced"
)

// note keeps a word of the desk's.
func (s *Service) note(id string, v any, done func(error)) {
	s.st.Put([]store.Record{{ID: id, Value: v}}, func(err error) {
		s.loop.Post(func() { done(err) })
	})
}
