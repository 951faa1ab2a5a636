// Package durable keeps jobs that outlive the process: it joins the decisions of
// internal/jobs with the store and the loop's clock. It owns who waits for a
// change to be on the disk. It knows no wire and no worker; it must never let a
// caller hear of a change before the disk has it, nor decide what a job's state
// is worth.
package durable

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// retryTime is after how long a change that could not be stored, and must be, is
// tried again: a full disk may have room by then.
const retryTime = 100 * time.Millisecond

// Config says where the jobs are kept, and the bounds of both parts.
type Config struct {
	Path  string
	Jobs  jobs.Config
	Store store.Options
}

// Service is all durable jobs of a dispatcher. It belongs to the loop's goroutine.
type Service struct {
	loop *eventloop.Loop
	m    *jobs.Machine
	st   *store.Store
	log  *slog.Logger
	due  eventloop.Deadline

	// Who waits for a change to be stored, by job, the longest waiting first.
	pushes, closings, starts map[string][]func(error)
	hands                    map[string]func(jobs.Job, error)
	watches                  map[string][]func(jobs.Job) // who waits for a job's end

	// OnRunnable is told each job that may be handed out, and once more when it may be again.
	OnRunnable func(j jobs.Job)
	// OnLeaseExpired is told each lease that has run out; nil: nobody wants to know.
	OnLeaseExpired func(j jobs.Job)

	path   string
	first  []jobs.Effect  // of the recovery, until Start
	pauses []string       // what the desk had paused
	audits []store.Record // to be stored with the next change
	heard  int            // audits of this life
	closed bool
}

// Open opens or makes the store and recovers what is in it. What is wrong with it
// is an error that names the file; nothing in it is passed over.
func Open(loop *eventloop.Loop, c Config, log *slog.Logger) (*Service, error) {
	st, err := store.Open(c.Path, c.Store)
	if err != nil {
		return nil, err
	}
	s := &Service{
		loop: loop, path: c.Path, m: jobs.New(c.Jobs), st: st, log: log,
		pushes: map[string][]func(error){}, closings: map[string][]func(error){}, starts: map[string][]func(error){},
		hands: map[string]func(jobs.Job, error){}, watches: map[string][]func(jobs.Job){},
	}
	s.due.Fire = func() { s.run(s.m.Tick(s.loop.Now())) }
	// Reading a large store is worth all cores; after that the store has one beside the loop's.
	cores := runtime.GOMAXPROCS(runtime.NumCPU())
	defer func() { runtime.GOMAXPROCS(max(cores, 2)) }()
	kept, err := read(st, func(id string, value []byte) error {
		switch {
		case id == pausedNote:
			return json.Unmarshal(value, &s.pauses)
		case stale(id, loop.Now()):
			s.audits = append(s.audits, store.Record{ID: id}) // gone with the next change
		}
		return nil
	})
	if err != nil {
		st.Close()
		return nil, fmt.Errorf("%s: %w", c.Path, err)
	}
	s.first = s.m.Recover(loop.Now(), kept)
	if len(kept) > 0 {
		log.Info("durable jobs recovered", "jobs", len(kept), "runnable", len(s.first))
	}
	return s, nil
}

// read reads all jobs of a store. note is told each record that is none, in no order, one at a time.
func read(st *store.Store, note func(id string, value []byte) error) ([]jobs.Job, error) {
	var notes sync.Mutex
	return store.Load(st, func(id string, value []byte) (j jobs.Job, job bool, err error) {
		if strings.HasPrefix(id, notePrefix) {
			notes.Lock()
			defer notes.Unlock()
			return j, false, note(id, value)
		}
		if err = json.Unmarshal(value, &j); err != nil {
			err = fmt.Errorf("job %q: %w", id, err)
		}
		return j, true, err
	})
}

// Start begins to tell what may run. Runnable must be set.
func (s *Service) Start() {
	first := s.first
	s.first = nil
	s.run(first)
}

// Close stores what has been handed over and lets go of the file.
func (s *Service) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	for id, list := range s.watches { // whoever waits asks again, of who has the store then
		j, _ := s.m.Get(id)
		for _, told := range list {
			told(j)
		}
	}
	clear(s.watches)
	s.loop.Clear(&s.due)
	return s.st.Close()
}

// run carries out effects, and sets when the machine is asked next.
func (s *Service) run(effects []jobs.Effect) {
	if s.closed {
		return
	}
	for _, e := range effects {
		switch e.Kind {
		case jobs.StoreJob:
			s.put(e.Job)
		case jobs.DeleteJob:
			s.st.Put([]store.Record{{ID: e.Job.ID}}, func(err error) {
				if err != nil { // the next start forgets it
					s.log.Error("durable job not forgotten", "id", e.Job.ID, "why", err)
				}
			})
		case jobs.AnswerPush:
			one(s.pushes, e.Job.ID, e.Err)
		case jobs.AnswerReport:
			one(s.closings, e.Job.ID, e.Err)
		case jobs.GrantStart:
			one(s.starts, e.Job.ID, e.Err)
		case jobs.DeliverJob:
			if hand := s.hands[e.Job.ID]; hand != nil {
				delete(s.hands, e.Job.ID)
				hand(e.Job, nil)
			}
		case jobs.AnnounceRunnable:
			s.OnRunnable(e.Job)
		case jobs.AnnounceLeaseExpiry:
			if s.OnLeaseExpired != nil {
				s.OnLeaseExpired(e.Job)
			}
		}
	}
	if at, ok := s.m.NextDue(); ok && !s.closed {
		s.loop.Set(&s.due, at)
	}
}

// one tells the one who has waited longest.
func one(waiting map[string][]func(error), id string, err error) {
	list := waiting[id]
	if len(list) == 0 {
		return
	}
	if waiting[id] = list[1:]; len(list) == 1 {
		delete(waiting, id)
	}
	list[0](err)
}

// put hands a job over to the store.
func (s *Service) put(j jobs.Job) {
	if j.State == jobs.InDoubt || j.State == jobs.Dead {
		s.audit(Audit{ID: j.ID, Action: j.State.String(), Worker: j.Worker, Fence: j.Fence, Reason: j.Reason})
		s.log.Warn("durable job "+j.State.String(), "id", j.ID, "class", j.Class, "worker", j.Worker, "fence", j.Fence, "reason", j.Reason)
	}
	records := append(s.audits, store.Record{ID: j.ID, Value: j})
	s.audits = nil
	s.st.Put(records, func(err error) {
		s.loop.Post(func() { s.stored(j.ID, j.Version, err) })
	})
}

// stored is told what became of a change.
func (s *Service) stored(id string, version uint64, err error) {
	now := s.loop.Now()
	if err == nil {
		s.run(s.m.Stored(now, id, version))
		s.over(id)
		return
	}
	before, known := s.m.Get(id)
	if !known || before.Version != version || s.closed {
		return // what came after it holds all that it held
	}
	s.log.Error("durable job not stored", "id", id, "state", before.State.String(), "error", err)
	switch before.State {
	case jobs.Accepted:
		s.run(s.m.StoreFailed(id, version, err))
		for len(s.pushes[id]) > 0 { // those who pushed it again meanwhile
			one(s.pushes, id, &jobs.NotStoredError{Cause: err})
		}
	case jobs.Leased:
		hand := s.hands[id]
		delete(s.hands, id)
		effects := s.m.StoreFailed(id, version, err)
		if hand != nil {
			hand(before, err)
		}
		// Not at once: the next lease would meet the same disk.
		s.loop.After(retryTime, func() { s.run(effects) })
	default: // it has happened: it must get there
		s.loop.After(retryTime, func() {
			if j, known := s.m.Get(id); known && j.Version == version && !s.closed {
				s.put(j)
			}
		})
	}
}

// split takes an effect of a kind out of those that a call has brought about at once.
func split(effects []jobs.Effect, kind jobs.EffectKind) (now *jobs.Effect, rest []jobs.Effect) {
	for i := range effects {
		if effects[i].Kind == kind {
			return &effects[i], append(effects[:i:i], effects[i+1:]...)
		}
	}
	return nil, effects
}

// answer tells a caller what its call has brought about: at once, or once it is stored.
func (s *Service) answer(effects []jobs.Effect, kind jobs.EffectKind, waiting map[string][]func(error), id string, done func(error)) {
	now, rest := split(effects, kind)
	if now == nil {
		waiting[id] = append(waiting[id], done)
	}
	s.run(rest)
	if now != nil {
		done(now.Err)
	}
}

// Push accepts job, to run at notBefore at the earliest, and calls onStored with nil once the job is on disk, or
// with jobs.ErrIDConflict or a *jobs.NotStoredError. Pushing an accepted job again changes nothing and succeeds.
func (s *Service) Push(job jobs.Job, notBefore time.Duration, onStored func(error)) {
	s.answer(s.m.Push(s.loop.Now(), job, notBefore), jobs.AnswerPush, s.pushes, job.ID, onStored)
}

// Assign leases a job to a worker, which has given guarantee, and calls onLeased once the lease is on disk, or with
// the error for which it is not granted. It returns false, and does not call onLeased, where the job is not ready
// or needs a worker of another guarantee.
func (s *Service) Assign(id, worker string, guarantee jobs.Guarantee, onLeased func(jobs.Job, error)) bool {
	effects := s.m.Assign(s.loop.Now(), id, worker, guarantee)
	if len(effects) == 0 {
		return false
	}
	s.hands[id] = onLeased
	s.run(effects)
	return true
}

// StartJob asks whether a worker may start a job under the fence of its lease. It calls onGranted with nil once the
// start is on disk, or with jobs.ErrLeaseVoid: then the worker must not start it.
func (s *Service) StartJob(id string, fence uint64, onGranted func(error)) {
	effects, err := s.m.Start(s.loop.Now(), id, fence)
	if err != nil {
		onGranted(err)
		return
	}
	s.answer(effects, jobs.GrantStart, s.starts, id, onGranted)
}

// Heartbeat renews all leases of a worker.
func (s *Service) Heartbeat(worker string) { s.m.Heartbeat(s.loop.Now(), worker) }

// Ack reports that a job is done, with its result. It calls onStored with nil once that is on disk, or with
// jobs.ErrUnknownJob or jobs.ErrLeaseVoid where the report does not count.
func (s *Service) Ack(id string, fence uint64, result []byte, onStored func(error)) {
	s.answer(s.m.Ack(s.loop.Now(), id, fence, result), jobs.AnswerReport, s.closings, id, onStored)
}

// Fail reports that a job failed, or, with started false, that its worker never began it. It calls onStored as Ack does.
func (s *Service) Fail(id string, fence uint64, reason jobs.Reason, started bool, onStored func(error)) {
	s.answer(s.m.Fail(s.loop.Now(), id, fence, reason, started), jobs.AnswerReport, s.closings, id, onStored)
}

// Resolve ends the doubt about a job at an operator's request: it ran, or it did not and runs again. A refusal is a
// *jobs.TransitionError.
func (s *Service) Resolve(id string, ran bool, reason jobs.Reason) error {
	effects, err := s.m.Resolve(s.loop.Now(), id, ran, reason)
	if err != nil {
		return err
	}
	s.audit(Audit{ID: id, Action: settled(ran), Reason: reason, Operator: true})
	s.log.Warn("durable job resolved", "id", id, "ran", ran, "reason", reason)
	s.run(effects)
	return nil
}

// Get is a job as it stands; false: it is not known.
func (s *Service) Get(id string) (jobs.Job, bool) { return s.m.Get(id) }

// Counts is the number of jobs by state.
func (s *Service) Counts() map[jobs.State]int { return s.m.Counts() }

// Page lists some jobs behind a place in their order.
func (s *Service) Page(after uint64, most, look int, want func(jobs.Job) bool) ([]jobs.Job, uint64) {
	return s.m.Page(after, most, look, want)
}

// Each calls each with every job, in the order in which they were taken on.
func (s *Service) Each(each func(jobs.Job)) { s.m.Each(each) }

// Extend renews one lease until a moment that its worker names.
func (s *Service) Extend(id string, fence uint64, until time.Duration) { s.m.Extend(id, fence, until) }

// Move discards, kills or requeues a job that waits or is dead; operator tells that an operator asks for it. A
// refusal is a *jobs.TransitionError.
func (s *Service) Move(id string, to jobs.Move, reason jobs.Reason, operator bool) error {
	effects, err := s.m.Move(s.loop.Now(), id, to, reason, operator)
	if err != nil {
		return err
	}
	s.audit(Audit{ID: id, Action: to.String(), Reason: reason, Operator: operator})
	s.log.Info("durable job moved", "id", id, "move", to.String(), "reason", reason, "operator", operator)
	s.run(effects)
	return nil
}

// Snapshot writes a consistent copy of the store to a file of that name beside it, while the store goes on. It calls
// done with nil once the copy is on disk, or with the error.
func (s *Service) Snapshot(name string, done func(error)) {
	path, err := SiblingPath(s.path, name)
	if err != nil {
		done(err)
		return
	}
	go func() {
		err := s.st.Snapshot(path)
		s.loop.Post(func() {
			s.log.Info("snapshot of the durable jobs", "path", path, "error", err)
			done(err)
		})
	}()
}

// SiblingPath is the path of a file beside a store; a name that leads elsewhere is an error.
func SiblingPath(path, name string) (string, error) {
	if name == "" || name != filepath.Base(name) || strings.HasPrefix(name, ".") {
		return "", fmt.Errorf("name: %q is no plain file name: a snapshot lies beside the store", name)
	}
	return filepath.Join(filepath.Dir(path), name), nil
}

// AfterSync calls done with nil once all changes so far are on disk, or with the store's error.
func (s *Service) AfterSync(done func(error)) { s.note(syncedNote, nil, done) }

func (s *Service) paused() map[string]bool {
	paused := map[string]bool{}
	for _, class := range s.pauses {
		paused[class] = true
	}
	return paused
}
