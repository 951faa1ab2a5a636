package durable

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/slotmap"
)

// defaultRetryAfter is how long a job that the dispatcher has rejected waits if the rejection gives no time.
const defaultRetryAfter = 250 * time.Millisecond

// maxAwaitedUnleased is how many jobs for which clients wait may be at the dispatcher without a lease, beyond the free slots
// that are known.
const maxAwaitedUnleased = 16

// payloadRetryInterval is how long a job waits whose payload could not be read from the store.
const payloadRetryInterval = time.Second

// FreeSlot is a free slot of a worker.
type FreeSlot struct {
	Classes []int // the classes whose jobs it takes, in order of preference
}

// Workers gives the Scheduler access to the workers and to the payloads of jobs.
type Workers interface {
	// Request converts a job to a request for the dispatcher.
	Request(job jobs.Job) (dispatch.Request, error)
	// FreeSlots lists the free slots that are known; the one that has been free for the longest time comes first.
	FreeSlots() []FreeSlot
	// OtherWorkers returns the number of ready workers whose free slots are not known. They take all durable classes.
	OtherWorkers() int
	// DurableClasses lists the durable classes.
	DurableClasses() []int
	// Guarantee returns what a worker guarantees about non-idempotent jobs.
	Guarantee(worker string) jobs.Guarantee
	// Reserve reserves a slot of a worker for a job. It calls onReserved with true, at once or when a slot becomes
	// free, or with false if none becomes free in time. The lease is stored only after that: if it were stored before,
	// a crash in between would leave a job in doubt that no worker has received.
	Reserve(worker string, class int, id string, onReserved func(reserved bool))
	// Unreserve releases a slot that was reserved for a job.
	Unreserve(worker, id string)
	// SendsHeartbeats reports whether a worker renews its leases itself.
	SendsHeartbeats(worker string) bool
}

// Scheduler queues runnable jobs by class and passes them to the dispatcher, one for each free slot; the decision
// machine then picks the worker or rejects the job. A job is passed to the dispatcher again only after the dispatcher
// has responded. Jobs in the queues of the Scheduler put no load on the dispatcher.
//
// Jobs for which a client waits come first. The others are the backlog: a backlogWindow limits how many of them are at
// workers whose free slots are not known, so that clients' requests are served beside it.
type Scheduler struct {
	service    *Service
	dispatcher *dispatch.Dispatcher
	workers    Workers
	classes    map[string]int  // the index of each class by its name
	paused     map[string]bool // the paused classes by name
	queues     jobQueues       // jobs that are no longer ready are skipped when they are dequeued

	assignments         slotmap.Map[jobAssignment] // by the token that the dispatcher responds with
	assignmentsByJob    map[string]*jobAssignment
	unleasedAssignments int // how many assignments have no lease yet; each needs one free slot

	backlog       backlogWindow
	scheduleTimer eventloop.Deadline
	stopped       bool
}

// The Scheduler is the front end from which the dispatcher gets its jobs, and grants the leases of their attempts.
var (
	_ dispatch.FrontEnd = (*Scheduler)(nil)
	_ dispatch.Leaser   = (*Scheduler)(nil)
)

// jobAssignment is a job that was passed to the dispatcher (Accept) and has no response yet (Respond).
type jobAssignment struct {
	id       string
	request  uint64 // the dispatcher's handle of the request
	class    int
	backlog  bool          // no client waited for the job when it was passed to the dispatcher
	leased   bool          // the lease of an attempt is on disk, so the job needs no other free slot
	passedAt time.Duration // clock time at which it was passed to the dispatcher
	leasedAt time.Duration // clock time of the latest lease
	bound    bool          // its attempt is at a worker that can report the result to this process only
}

// NewScheduler connects a service to a dispatcher. The service must be started after that.
func NewScheduler(service *Service, dispatcher *dispatch.Dispatcher, workers Workers) *Scheduler {
	scheduler := &Scheduler{
		service:          service,
		dispatcher:       dispatcher,
		workers:          workers,
		classes:          ClassIndexes(&dispatcher.Settings),
		paused:           map[string]bool{},
		queues:           newJobQueues(len(dispatcher.Settings.Classes)),
		assignmentsByJob: map[string]*jobAssignment{},
	}
	for _, class := range service.pausedClasses {
		scheduler.paused[class] = true
	}
	scheduler.scheduleTimer.Fire = scheduler.schedule
	service.OnRunnable = scheduler.enqueue
	dispatcher.OnWorkersUpdated = scheduler.Wake
	return scheduler
}

// Wake makes the scheduler run soon if jobs are queued. It must be called when a slot becomes free or
// workers become ready.
func (s *Scheduler) Wake() {
	if !s.queues.isEmpty() {
		s.dispatcher.Loop.Set(&s.scheduleTimer, s.dispatcher.Loop.Now())
	}
}

// Stop begins a graceful shutdown: no more jobs are passed to the dispatcher.
func (s *Scheduler) Stop() { s.stopped = true }

// BoundAttempts returns the number of attempts that are at workers which can report only to this process, since they
// answer on the connection that the attempt came on. If such an attempt is cancelled, its job is in doubt.
func (s *Scheduler) BoundAttempts() int {
	count := 0
	for _, assignment := range s.assignmentsByJob {
		if assignment.bound {
			count++
		}
	}
	return count
}

// Release cancels all jobs at the dispatcher. Their leases stay in force: the workers report to the next process that
// opens the store, if they can.
func (s *Scheduler) Release() {
	s.stopped = true
	for _, assignment := range s.assignmentsByJob {
		s.dispatcher.Cancel(assignment.request)
	}
	clear(s.assignmentsByJob)
}

// enqueue queues a job that has become runnable.
func (s *Scheduler) enqueue(job jobs.Job) {
	class, known := s.classes[job.Class]
	if !known {
		s.dispatcher.Log(fmt.Sprintf("durable job %s waits: no class %q is served here", job.ID, job.Class))
		return
	}
	if s.assignmentsByJob[job.ID] != nil || s.queues.contains(job.ID) {
		return // Respond queues it again when its assignment ends
	}
	s.queues.add(class, job.ID, s.service.IsAwaited(job.ID))
	s.Wake()
}

// dequeue removes and returns the first job that is ready from the queues of the given classes, in their order. With
// awaitedOnly it looks only at the jobs for which a client waits.
func (s *Scheduler) dequeue(classes []int, awaitedOnly bool) (job jobs.Job, class int, ok bool) {
	for _, class := range classes {
		if s.paused[s.dispatcher.Settings.Classes[class].Name] {
			continue
		}
		for id, found := s.queues.pop(class, awaitedOnly); found; id, found = s.queues.pop(class, awaitedOnly) {
			job, known := s.service.Get(id)
			if known && job.State == jobs.Ready {
				return job, class, true
			}
		}
	}
	return jobs.Job{}, 0, false
}

// schedule passes a job to the dispatcher for each free slot that is not needed by an assignment without a lease, and
// for the workers whose free slots are not known.
func (s *Scheduler) schedule() {
	if s.stopped {
		return
	}
	slots := s.workers.FreeSlots()
	for i := s.unleasedAssignments; i < len(slots); i++ {
		s.assignNext(slots[i].Classes, false)
	}
	if others := s.workers.OtherWorkers(); others > 0 {
		s.scheduleAtOthers(len(slots), others)
	}
}

// scheduleAtOthers passes jobs to the dispatcher for workers whose free slots are not known: the jobs for which clients
// wait, up to a number that waits for a worker, and of the backlog what its window allows. knownSlots is the number of
// free slots that schedule has passed jobs for.
func (s *Scheduler) scheduleAtOthers(knownSlots, others int) {
	classes := s.workers.DurableClasses()
	for s.unleasedAssignments < knownSlots+maxAwaitedUnleased {
		if !s.assignNext(classes, true) {
			break
		}
	}
	window := s.backlog.limit(others / max(s.dispatcher.Settings.Peers, 1))
	for inUse := s.backlogInUse(); inUse < knownSlots+window; inUse++ {
		if !s.assignNext(classes, false) {
			return
		}
	}
}

// backlogInUse returns the number of jobs of the backlog that wait for a worker or are at one whose free slots are not
// known.
func (s *Scheduler) backlogInUse() (count int) {
	for _, assignment := range s.assignmentsByJob {
		if assignment.backlog && (!assignment.leased || assignment.bound) {
			count++
		}
	}
	return count
}

// assignNext passes the next job of some classes to the dispatcher, and reports whether there was one.
func (s *Scheduler) assignNext(classes []int, awaitedOnly bool) bool {
	job, class, found := s.dequeue(classes, awaitedOnly)
	if found {
		s.assign(job, class)
	}
	return found
}

// assign passes a job to the dispatcher, once its payload is in memory.
func (s *Scheduler) assign(job jobs.Job, class int) {
	assignment := &jobAssignment{id: job.ID, class: class, backlog: !s.service.IsAwaited(job.ID)}
	s.assignmentsByJob[job.ID] = assignment
	s.unleasedAssignments++
	if !job.PayloadOnDisk {
		s.accept(assignment, job)
		return
	}
	s.service.LoadPayload(job.ID, func(err error) { s.onPayloadLoaded(assignment, err) })
}

// onPayloadLoaded passes the job of an assignment to the dispatcher, unless the job has changed meanwhile. If the payload
// could not be read, the job is queued again.
func (s *Scheduler) onPayloadLoaded(assignment *jobAssignment, err error) {
	if s.assignmentsByJob[assignment.id] != assignment { // released
		return
	}
	job, known := s.service.Get(assignment.id)
	if err == nil && !s.stopped && known && job.State == jobs.Ready {
		s.accept(assignment, job)
		return
	}
	s.endAssignment(assignment)
	if err != nil {
		s.dispatcher.Log(fmt.Sprintf("durable job %s waits, its payload cannot be read: %v", assignment.id, err))
	}
	s.requeueAfter(assignment, payloadRetryInterval)
}

// accept passes the job of an assignment to the dispatcher.
func (s *Scheduler) accept(assignment *jobAssignment, job jobs.Job) {
	request, err := s.workers.Request(job)
	if err != nil { // unexpected, as the job was decoded when it was accepted
		s.endAssignment(assignment)
		s.dispatcher.Log(fmt.Sprintf("durable job %s cannot be read, and is dead: %v", job.ID, err))
		s.service.Move(job.ID, jobs.Kill, jobs.Reason(err.Error()), true)
		return
	}
	request.Leaser = s
	request.ReceivedAt = 0
	assignment.passedAt = s.dispatcher.Loop.Now()
	assignment.request = s.dispatcher.Accept(s, s.assignments.Insert(assignment), request)
}

// endAssignment removes an assignment, whose place the next job may take.
func (s *Scheduler) endAssignment(assignment *jobAssignment) {
	s.Wake()
	delete(s.assignmentsByJob, assignment.id)
	if !assignment.leased {
		s.unleasedAssignments--
	}
}

// Respond is called when the dispatcher is done with a job. A job that is still ready, as it has not run, waits for the
// time that the response gives, and is then queued before the jobs that the dispatcher has not rejected.
func (s *Scheduler) Respond(token uint64, response dispatch.Response) {
	assignment := s.assignments.Get(token)
	s.assignments.Remove(token)
	s.endAssignment(assignment)
	if response.Outcome == dispatch.Rejected && assignment.backlog {
		s.backlog.decrease(assignment.passedAt, s.dispatcher.Loop.Now())
	}
	retryAfter := defaultRetryAfter
	if response.RetryAfter > 0 {
		retryAfter = response.RetryAfter
	}
	s.requeueAfter(assignment, retryAfter)
}

// requeueAfter queues the job of an ended assignment again after a wait, if it is still ready.
func (s *Scheduler) requeueAfter(assignment *jobAssignment, wait time.Duration) {
	job, known := s.service.Get(assignment.id)
	if !known || job.State != jobs.Ready {
		return
	}
	s.queues.postpone(assignment.id)
	s.dispatcher.Loop.After(wait, func() {
		s.queues.requeue(assignment.class, assignment.id, s.service.IsAwaited(assignment.id))
		s.Wake()
	})
}

// Paused lists the paused classes by name, sorted.
func (s *Scheduler) Paused() []string { return slices.Sorted(maps.Keys(s.paused)) }

// Pause pauses or resumes a class and calls done with nil once the change is on disk, or with the error. Jobs of a
// paused class are not passed to the dispatcher.
func (s *Scheduler) Pause(class string, paused bool, done func(error)) {
	if paused {
		s.paused[class] = true
	} else {
		delete(s.paused, class)
		s.Wake()
	}
	s.service.storeRecord(pausedRecord, s.Paused(), done)
}
