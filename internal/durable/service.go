package durable

import (
	"fmt"
	"log/slog"
	"runtime"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// storeRetryInterval is how long to wait after a change could not be stored: a full disk may have space by then.
const storeRetryInterval = 100 * time.Millisecond

// Config sets the store's file, and the settings of the state machine and the store.
type Config struct {
	Path  string
	Jobs  jobs.Config
	Store store.Options
}

// Service is all durable jobs of a dispatcher.
type Service struct {
	loop     *eventloop.Loop
	machine  *jobs.Machine
	store    *store.Store
	log      *slog.Logger
	dueTimer eventloop.Deadline // when the machine has something to do by itself

	pushWaiters   waiters                          // producers
	reportWaiters waiters                          // workers that sent Ack or Fail
	startWaiters  waiters                          // workers that asked to start
	leaseWaiters  map[string]func(jobs.Job, error) // callers of Assign, by job
	finalWaiters  map[string][]func(jobs.Job)      // callers of Watch, by job

	// OnRunnable is called with each job that may be leased, and again when it may be again. It must be set before
	// Start.
	OnRunnable func(jobs.Job)
	// OnLeaseExpired is called with each job whose lease has expired; nil: it is not called.
	OnLeaseExpired func(jobs.Job)

	path          string
	recovered     []jobs.Effect  // of Recover, until Start
	pausedClasses []string       // when the store was opened
	pendingAudits []store.Record // to be stored with the next change
	auditCount    int            // since the store was opened
	closed        bool
}

// Open opens the store, or makes it, and recovers the jobs in it. A damaged store is an error that names the file.
func Open(loop *eventloop.Loop, config Config, log *slog.Logger) (*Service, error) {
	file, err := store.Open(config.Path, config.Store)
	if err != nil {
		return nil, err
	}
	service := &Service{
		loop:          loop,
		machine:       jobs.New(config.Jobs),
		store:         file,
		log:           log,
		path:          config.Path,
		pushWaiters:   waiters{},
		reportWaiters: waiters{},
		startWaiters:  waiters{},
		leaseWaiters:  map[string]func(jobs.Job, error){},
		finalWaiters:  map[string][]func(jobs.Job){},
	}
	service.dueTimer.Fire = func() { service.carryOut(service.machine.Tick(service.loop.Now())) }
	defer useAllCores()()
	stored, err := readJobs(file, service.readRecord)
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("%s: %w", config.Path, err)
	}
	service.recovered = service.machine.Recover(loop.Now(), stored)
	if len(stored) > 0 {
		log.Info("durable jobs recovered", "jobs", len(stored), "runnable", len(service.recovered))
	}
	return service, nil
}

// useAllCores speeds up the reading of a large store. After restore the store's goroutine still has a core of its own
// beside the event loop's.
func useAllCores() (restore func()) {
	before := runtime.GOMAXPROCS(runtime.NumCPU())
	return func() { runtime.GOMAXPROCS(max(before, 2)) }
}

// Start begins to call OnRunnable.
func (s *Service) Start() {
	recovered := s.recovered
	s.recovered = nil
	s.carryOut(recovered)
}

// Close stores all changes that have been made and closes the file. The callbacks of Watch are called with their jobs
// as they are; the next process that opens the store continues them.
func (s *Service) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	for id, callbacks := range s.finalWaiters {
		job, _ := s.machine.Get(id)
		for _, onFinal := range callbacks {
			onFinal(job)
		}
	}
	clear(s.finalWaiters)
	s.loop.Clear(&s.dueTimer)
	return s.store.Close()
}

// carryOut carries out effects of the machine, and sets the timer for its next due time.
func (s *Service) carryOut(effects []jobs.Effect) {
	if s.closed {
		return
	}
	for _, effect := range effects {
		s.carryOutOne(effect)
	}
	if at, ok := s.machine.NextDue(); ok && !s.closed {
		s.loop.Set(&s.dueTimer, at)
	}
}

// carryOutOne carries out one effect, as jobs.EffectKind says.
func (s *Service) carryOutOne(effect jobs.Effect) {
	job := effect.Job
	switch effect.Kind {
	case jobs.StoreJob:
		s.storeJob(job)
	case jobs.DeleteJob:
		s.deleteJob(job.ID)
	case jobs.AnswerPush:
		s.pushWaiters.notifyFirst(job.ID, effect.Err)
	case jobs.AnswerReport:
		s.reportWaiters.notifyFirst(job.ID, effect.Err)
	case jobs.GrantStart:
		s.startWaiters.notifyFirst(job.ID, effect.Err)
	case jobs.DeliverJob:
		if onLeased := s.takeLeaseWaiter(job.ID); onLeased != nil {
			onLeased(job, nil)
		}
	case jobs.AnnounceRunnable:
		s.OnRunnable(job)
	case jobs.AnnounceLeaseExpiry:
		if s.OnLeaseExpired != nil {
			s.OnLeaseExpired(job)
		}
	}
}

// Push accepts job, to run at notBefore at the earliest, and calls onStored with nil once the job is on disk, or with
// jobs.ErrIDConflict or a *jobs.NotStoredError. Pushing an accepted job again changes nothing and succeeds.
func (s *Service) Push(job jobs.Job, notBefore time.Duration, onStored func(error)) {
	effects := s.machine.Push(s.loop.Now(), job, notBefore)
	s.answerWhenStored(effects, jobs.AnswerPush, s.pushWaiters, job.ID, onStored)
}

// Assign leases a job to a worker, which has given guarantee, and calls onLeased once the lease is on disk, or with
// the error for which it is not granted. It returns false, and does not call onLeased, where the job is not ready
// or needs a worker of another guarantee.
func (s *Service) Assign(id, worker string, guarantee jobs.Guarantee, onLeased func(jobs.Job, error)) bool {
	effects := s.machine.Assign(s.loop.Now(), id, worker, guarantee)
	if len(effects) == 0 {
		return false
	}
	s.leaseWaiters[id] = onLeased
	s.carryOut(effects)
	return true
}

// StartJob asks whether a worker may start a job under the fence of its lease. It calls onGranted with nil once the
// start is on disk, or with jobs.ErrLeaseVoid: then the worker must not start it.
func (s *Service) StartJob(id string, fence uint64, onGranted func(error)) {
	effects, err := s.machine.Start(s.loop.Now(), id, fence)
	if err != nil {
		onGranted(err)
		return
	}
	s.answerWhenStored(effects, jobs.GrantStart, s.startWaiters, id, onGranted)
}

// Heartbeat renews all leases of a worker.
func (s *Service) Heartbeat(worker string) { s.machine.Heartbeat(s.loop.Now(), worker) }

// Extend renews one lease until a time that its worker asks for.
func (s *Service) Extend(id string, fence uint64, until time.Duration) {
	s.machine.Extend(id, fence, until)
}

// Ack reports that a job is done, with its result. It calls onStored with nil once that is on disk, or with
// jobs.ErrUnknownJob or jobs.ErrLeaseVoid where the report does not count.
func (s *Service) Ack(id string, fence uint64, result []byte, onStored func(error)) {
	effects := s.machine.Ack(s.loop.Now(), id, fence, result)
	s.answerWhenStored(effects, jobs.AnswerReport, s.reportWaiters, id, onStored)
}

// Fail reports that a job failed, or, with started false, that its worker never began it. It calls onStored as Ack
// does.
func (s *Service) Fail(id string, fence uint64, reason jobs.Reason, started bool, onStored func(error)) {
	effects := s.machine.Fail(s.loop.Now(), id, fence, reason, started)
	s.answerWhenStored(effects, jobs.AnswerReport, s.reportWaiters, id, onStored)
}

// Resolve ends the doubt about a job at an operator's request: it ran, or it did not and runs again. The error
// is a *jobs.TransitionError.
func (s *Service) Resolve(id string, ran bool, reason jobs.Reason) error {
	effects, err := s.machine.Resolve(s.loop.Now(), id, ran, reason)
	if err != nil {
		return err
	}
	s.audit(Audit{ID: id, Action: resolveAction(ran), Reason: reason, Operator: true})
	s.log.Warn("durable job resolved", "id", id, "ran", ran, "reason", reason)
	s.carryOut(effects)
	return nil
}

// Move discards, kills or requeues a job that waits or is dead; operator is set where an operator asks for it. The
// error is a *jobs.TransitionError.
func (s *Service) Move(id string, move jobs.Move, reason jobs.Reason, operator bool) error {
	effects, err := s.machine.Move(s.loop.Now(), id, move, reason, operator)
	if err != nil {
		return err
	}
	s.audit(Audit{ID: id, Action: move.String(), Reason: reason, Operator: operator})
	s.log.Info("durable job moved", "id", id, "move", move.String(), "reason", reason, "operator", operator)
	s.carryOut(effects)
	return nil
}

// Get returns a job as it stands; false: it is not known.
func (s *Service) Get(id string) (jobs.Job, bool) { return s.machine.Get(id) }

// Counts is the number of jobs by state; states without jobs are left out.
func (s *Service) Counts() map[jobs.State]int { return s.machine.Counts() }

// ReadyCount is the number of jobs of a class that may run.
func (s *Service) ReadyCount(class string) int { return s.machine.ReadyCount(class) }

// Page lists up to maxResults jobs that match, of the maxScanned jobs at most that were accepted after the sequence
// number after. next is the sequence number to continue after; 0: there are no more.
func (s *Service) Page(after uint64, maxResults, maxScanned int, match func(jobs.Job) bool) (list []jobs.Job, next uint64) {
	return s.machine.Page(after, maxResults, maxScanned, match)
}

// Each calls visit with every job, in the order in which they were accepted.
func (s *Service) Each(visit func(jobs.Job)) { s.machine.Each(visit) }
