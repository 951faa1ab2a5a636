package durable

import (
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// storeRetryInterval is how long to wait before a write that failed is tried again: a full disk may have space by then.
const storeRetryInterval = 100 * time.Millisecond

// Config holds the path of the store's file, and the settings of the state machine and the store.
type Config struct {
	Path  string
	Jobs  jobs.Config
	Store store.Options
}

// Service manages all durable jobs of a dispatcher.
type Service struct {
	loop     *eventloop.Loop
	machine  *jobs.Machine
	store    *store.Store
	log      *slog.Logger
	dueTimer eventloop.Deadline // set to the machine's next due time

	pushWaiters   waiters                          // producers that wait for the answer to a push
	reportWaiters waiters                          // workers that sent Ack or Fail
	startWaiters  waiters                          // workers that asked to start
	leaseWaiters  map[string]func(jobs.Job, error) // callers of Assign, by job
	finalWaiters  map[string][]func(jobs.Job)      // callers of Watch, by job
	syncCalls     []*syncCall                      // callers of AfterSync that wait for changes of jobs
	calls         openCalls                        // all calls that have a callback and are not answered yet

	// OnRunnable is called with a job each time that it becomes ready to be leased. It must be set before Start.
	OnRunnable func(jobs.Job)
	// OnLeaseExpired, if it is set, is called with each job whose lease has expired.
	OnLeaseExpired func(jobs.Job)

	path          string
	recovered     []jobs.Effect  // the effects of Recover, until Start carries them out
	pausedClasses []string       // as they were when the store was opened
	pendingAudits []store.Record // to be stored with the next change
	auditCount    int            // audits made since the store was opened

	unstored map[string]uint64 // by job, the newest version that was passed to the store and is not on disk
	closing  closeState

	snapshots sync.WaitGroup // the snapshots under way
}

// Open opens the store, or creates it, and recovers the jobs in it. If the store is damaged, the error names the file.
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
		calls:         newOpenCalls(),
		unstored:      map[string]uint64{},
	}
	service.closing.answerTimer.Fire = service.giveUpWaiting
	service.dueTimer.Fire = func() { service.carryOut(service.machine.Tick(service.loop.Now())) }
	defer useAllCores()()
	stored, err := readJobsWithin(file, &payloadBudget{limit: config.Jobs.MemoryLimit}, service.readRecord)
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

// useAllCores lets a large store be read on all cores until restore is called. restore sets GOMAXPROCS to its former
// value, but at least to 2, so that the store's goroutine can run in parallel with the event loop.
func useAllCores() (restore func()) {
	before := runtime.GOMAXPROCS(runtime.NumCPU())
	return func() { runtime.GOMAXPROCS(max(before, 2)) }
}

// Start calls OnRunnable for the recovered jobs that are ready, and from then on for each job that becomes ready. It does
// nothing if the service has been closed.
func (s *Service) Start() {
	if !s.IsOpen() {
		return
	}
	recovered := s.recovered
	s.recovered = nil
	s.carryOut(recovered)
}

// carryOut carries out the effects of a call to the machine, and sets the timer to its next due time.
func (s *Service) carryOut(effects []jobs.Effect) {
	for _, effect := range effects {
		s.carryOutOne(effect)
	}
	if at, ok := s.machine.NextDue(); ok && s.IsOpen() {
		s.loop.Set(&s.dueTimer, at)
	}
}

// carryOutOne carries out one effect as its jobs.EffectKind requires.
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
		if s.IsOpen() {
			s.OnRunnable(job)
		}
	case jobs.AnnounceLeaseExpiry:
		if s.OnLeaseExpired != nil {
			s.OnLeaseExpired(job)
		}
	}
}

// Push accepts a job, to run at notBefore at the earliest, and calls onStored with nil once the job is on disk, or with
// jobs.ErrIDConflict, a *jobs.NotStoredError or ErrUnconfirmed. Repeating the push of an accepted job succeeds and
// changes nothing.
func (s *Service) Push(job jobs.Job, notBefore time.Duration, onStored func(error)) {
	if !s.IsOpen() {
		onStored(errNotStoredByClose)
		return
	}
	effects := s.machine.Push(s.loop.Now(), job, notBefore)
	s.answerWhenStored(effects, jobs.AnswerPush, s.pushWaiters, job.ID, onStored)
}

// Assign leases a job to a worker with the given guarantee. It calls onLeased with a nil error once the lease is on
// disk, or with the error for which the lease is not granted. It returns false, and does not call onLeased, if the job
// is not ready, or requires a worker that deduplicates and this one does not, or if the service is not open.
func (s *Service) Assign(id, worker string, guarantee jobs.Guarantee, onLeased func(jobs.Job, error)) bool {
	if !s.IsOpen() {
		return false
	}
	effects := s.machine.Assign(s.loop.Now(), id, worker, guarantee)
	if len(effects) == 0 {
		return false
	}
	s.addLeaseWaiter(id, onLeased)
	s.carryOut(effects)
	return true
}

// StartJob handles a worker's request to start a job under the fence of its lease. It calls onGranted with nil once the
// start is on disk, or with jobs.ErrLeaseVoid, a *jobs.NotStoredError or ErrUnconfirmed if the worker must not start the
// job.
func (s *Service) StartJob(id string, fence uint64, onGranted func(error)) {
	if !s.IsOpen() {
		onGranted(errNotStoredByClose)
		return
	}
	effects, err := s.machine.Start(s.loop.Now(), id, fence)
	if err != nil {
		onGranted(err)
		return
	}
	s.answerWhenStored(effects, jobs.GrantStart, s.startWaiters, id, onGranted)
}

// Heartbeat renews all leases that a worker holds.
func (s *Service) Heartbeat(worker string) { s.machine.Heartbeat(s.loop.Now(), worker) }

// Extend renews one lease until a time that its worker asks for.
func (s *Service) Extend(id string, fence uint64, until time.Duration) {
	s.machine.Extend(id, fence, until)
}

// Ack handles a worker's report that a job is done, with its result. It calls onStored with nil once the report is on
// disk, with jobs.ErrUnknownJob or jobs.ErrLeaseVoid if the report is rejected, or with a *jobs.NotStoredError or
// ErrUnconfirmed if the worker has to report again.
func (s *Service) Ack(id string, fence uint64, result []byte, onStored func(error)) {
	if !s.acceptsReports() {
		onStored(errNotStoredByClose)
		return
	}
	effects := s.machine.Ack(s.loop.Now(), id, fence, result)
	s.answerWhenStored(effects, jobs.AnswerReport, s.reportWaiters, id, onStored)
}

// Fail handles a worker's report that a job failed or, with started false, that the worker never started it. It calls
// onStored as Ack does.
func (s *Service) Fail(id string, fence uint64, reason jobs.Reason, started bool, onStored func(error)) {
	if !s.acceptsReports() {
		onStored(errNotStoredByClose)
		return
	}
	effects := s.machine.Fail(s.loop.Now(), id, fence, reason, started)
	s.answerWhenStored(effects, jobs.AnswerReport, s.reportWaiters, id, onStored)
}

// Resolve records an operator's decision about a job in doubt: either it ran, or it did not run and runs again. The
// error is a *jobs.TransitionError, or ErrClosing.
func (s *Service) Resolve(id string, ran bool, reason jobs.Reason) error {
	if !s.IsOpen() {
		return ErrClosing
	}
	effects, err := s.machine.Resolve(s.loop.Now(), id, ran, reason)
	if err != nil {
		return err
	}
	s.audit(Audit{ID: id, Action: resolveAction(ran), Reason: reason, Operator: true})
	s.log.Warn("durable job resolved", "id", id, "ran", ran, "reason", reason)
	s.carryOut(effects)
	return nil
}

// Move discards, kills or requeues a job that waits to run or is dead; operator says that the request comes from an
// operator. The error is a *jobs.TransitionError, or ErrClosing.
func (s *Service) Move(id string, move jobs.Move, reason jobs.Reason, operator bool) error {
	if !s.IsOpen() {
		return ErrClosing
	}
	effects, err := s.machine.Move(s.loop.Now(), id, move, reason, operator)
	if err != nil {
		return err
	}
	s.audit(Audit{ID: id, Action: move.String(), Reason: reason, Operator: operator})
	s.log.Info("durable job moved", "id", id, "move", move.String(), "reason", reason, "operator", operator)
	s.carryOut(effects)
	return nil
}

// Get returns the current state of a job, or false if there is no such job.
func (s *Service) Get(id string) (jobs.Job, bool) { return s.machine.Get(id) }

// Counts is the number of jobs by state; states without jobs are left out.
func (s *Service) Counts() map[jobs.State]int { return s.machine.Counts() }

// ReadyCount is the number of jobs of a class that are ready to run.
func (s *Service) ReadyCount(class string) int { return s.machine.ReadyCount(class) }

// Page lists jobs that match, in the order in which they were accepted, starting after the sequence number after. It
// returns at most maxResults jobs and looks at no more than maxScanned. next is the sequence number to continue after,
// or 0 if there are no more jobs.
func (s *Service) Page(after uint64, maxResults, maxScanned int, match func(jobs.Job) bool) (list []jobs.Job, next uint64) {
	return s.machine.Page(after, maxResults, maxScanned, match)
}

// Each calls visit with every job, in the order in which they were accepted.
func (s *Service) Each(visit func(jobs.Job)) { s.machine.Each(visit) }
