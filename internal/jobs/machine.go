package jobs

import (
	"cmp"
	"slices"
	"time"
)

// Config sets how long and how often. A zero field takes its default.
type Config struct {
	LeaseDuration  time.Duration // how long a lease lasts without a heartbeat; default 60 s
	RecoveryGrace  time.Duration // how long leases last at least after Recover, for workers to reconnect; default 60 s
	MaxAttempts    int           // of an idempotent job; default 5
	InitialBackoff time.Duration // before the second attempt, doubled for each further one; default 1 s
	Retention      time.Duration // how long a Done or Discarded job, and its id, is kept; default 24 h
	DeadRetention  time.Duration // how long a Dead job is kept; default 180 days

	ignoreFences bool // for tests of the checkers, which must find what that leads to
}

// The defaults of Config.
const (
	defaultLeaseDuration  = time.Minute
	defaultRecoveryGrace  = time.Minute
	defaultMaxAttempts    = 5
	defaultInitialBackoff = time.Second
	defaultRetention      = 24 * time.Hour
	defaultDeadRetention  = 180 * 24 * time.Hour
)

// ignoreAllFences has the effect of Config.ignoreFences on all machines; only the build tag nofence sets it.
var ignoreAllFences = false

// Machine is the state of all jobs. It is not safe for concurrent use.
type Machine struct {
	config         Config
	jobs           map[string]*entry
	lastFence      uint64
	lastSequence   uint64
	effects        []Effect                     // of the call that is being made
	becameReady    []*entry                     // in the call that is being made
	dueQueue       dueHeap                      // may hold outdated times; each is checked against its job when it comes up
	leasesByWorker map[string]map[string]*entry // by worker, then by job id
	counts         [stateCount]int              // jobs by state
	inOrder        []*entry                     // by sequence; may hold removed jobs
	removedInOrder int                          // how many of inOrder are removed
}

// entry is a job with the effects that wait for it to be stored.
type entry struct {
	Job
	storedVersion uint64
	afterStore    []deferredEffect // in order of version
}

// deferredEffect is an effect that is due once a version of its job is stored.
type deferredEffect struct {
	version uint64
	effect  Effect
}

// New returns a machine without jobs.
func New(c Config) *Machine {
	c.LeaseDuration = cmp.Or(c.LeaseDuration, defaultLeaseDuration)
	c.RecoveryGrace = cmp.Or(c.RecoveryGrace, defaultRecoveryGrace)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, defaultMaxAttempts)
	c.InitialBackoff = cmp.Or(c.InitialBackoff, defaultInitialBackoff)
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	c.DeadRetention = cmp.Or(c.DeadRetention, defaultDeadRetention)
	c.ignoreFences = c.ignoreFences || ignoreAllFences
	return &Machine{config: c, jobs: map[string]*entry{}, leasesByWorker: map[string]map[string]*entry{}}
}

// emit adds an effect to those of the present call.
func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

// takeEffects returns the effects of the present call, with the jobs that became ready at their end.
func (m *Machine) takeEffects() []Effect {
	for _, e := range m.becameReady {
		if e.State == Ready && m.jobs[e.ID] == e {
			m.emit(Effect{Kind: AnnounceRunnable, Job: e.Job})
		}
	}
	effects := m.effects
	m.effects = nil
	m.becameReady = nil
	return effects
}

// add takes in a job whose state is set.
func (m *Machine) add(e *entry) {
	m.jobs[e.ID] = e
	m.inOrder = append(m.inOrder, e)
	m.counts[e.State]++
}

// remove drops a job.
func (m *Machine) remove(e *entry) {
	delete(m.jobs, e.ID)
	m.counts[e.State]--
	m.removedInOrder++
	if m.removedInOrder <= len(m.inOrder)/2 {
		return
	}
	// A copy, so that the removed entries are not kept alive by the old array.
	m.inOrder = slices.DeleteFunc(slices.Clone(m.inOrder), func(e *entry) bool { return m.jobs[e.ID] != e })
	m.removedInOrder = 0
}

// setState changes a job's state and the indexes that depend on it. DueAt and Worker must have their new values where
// the new state is found by them, and Worker its old one where the job was leased.
func (m *Machine) setState(e *entry, s State) {
	if e.State.isHeld() {
		leases := m.leasesByWorker[e.Worker]
		delete(leases, e.ID)
		if len(leases) == 0 {
			delete(m.leasesByWorker, e.Worker)
		}
	}
	m.counts[e.State]--
	m.counts[s]++
	e.State = s
	m.index(e)
}

// index lets a job be found by what its state needs: its worker, when it is due, or that it is ready.
func (m *Machine) index(e *entry) {
	switch e.State {
	case Leased, Started:
		if m.leasesByWorker[e.Worker] == nil {
			m.leasesByWorker[e.Worker] = map[string]*entry{}
		}
		m.leasesByWorker[e.Worker][e.ID] = e
		m.scheduleDue(e.ID, e.DueAt)
	case Scheduled, Waiting, Done, Dead, Discarded:
		m.scheduleDue(e.ID, e.DueAt)
	case Ready:
		m.becameReady = append(m.becameReady, e)
	}
}

// finish ends a job, which is kept for its retention.
func (m *Machine) finish(now time.Duration, e *entry, s State) {
	e.DueAt = now + m.config.Retention
	if s == Dead {
		e.DueAt = now + m.config.DeadRetention
	}
	m.setState(e, s)
}

// store has a changed job stored.
func (m *Machine) store(e *entry) {
	e.Version++
	m.emit(Effect{Kind: StoreJob, Job: e.Job})
}

// storeThen has a changed job stored, and then the effect of that kind carried out with the job as it is now.
func (m *Machine) storeThen(e *entry, kind EffectKind) {
	m.store(e)
	m.afterStored(e, Effect{Kind: kind, Job: e.Job})
}

// afterStored emits an effect once the job's present version is stored.
func (m *Machine) afterStored(e *entry, effect Effect) {
	e.afterStore = append(e.afterStore, deferredEffect{e.Version, effect})
}

// beingStored tells whether the job has a change that is not stored yet.
func (e *entry) beingStored() bool { return e.storedVersion < e.Version }
