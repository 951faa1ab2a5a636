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
	config       Config
	jobs         map[string]*jobEntry // by id
	lastFence    uint64               // the highest fence that has been given
	lastSequence uint64               // the highest sequence number that has been given

	// Indexes of jobs.
	dueQueue       dueHeap                         // may hold outdated times; each is checked against its job when it comes up
	leasesByWorker map[string]map[string]*jobEntry // by worker, then by job id
	counts         [stateCount]int                 // jobs by state
	readyByClass   map[string]int                  // jobs that are Ready, by class
	inOrder        []*jobEntry                     // by sequence; may hold removed jobs
	removedInOrder int                             // how many of inOrder are removed

	// The call that is being made.
	effects     []Effect    // what it returns
	becameReady []*jobEntry // announced after all other effects
}

// jobEntry is a job with the effects that wait for it to be stored.
type jobEntry struct {
	Job
	storedVersion uint64           // the highest version that is on disk; 0: none
	afterStore    []deferredEffect // in order of version
}

// deferredEffect is an effect that is due once a version of its job is stored.
type deferredEffect struct {
	version uint64
	effect  Effect
}

// New returns a machine without jobs.
func New(config Config) *Machine {
	config.LeaseDuration = cmp.Or(config.LeaseDuration, defaultLeaseDuration)
	config.RecoveryGrace = cmp.Or(config.RecoveryGrace, defaultRecoveryGrace)
	config.MaxAttempts = cmp.Or(config.MaxAttempts, defaultMaxAttempts)
	config.InitialBackoff = cmp.Or(config.InitialBackoff, defaultInitialBackoff)
	config.Retention = cmp.Or(config.Retention, defaultRetention)
	config.DeadRetention = cmp.Or(config.DeadRetention, defaultDeadRetention)
	config.ignoreFences = config.ignoreFences || ignoreAllFences
	return &Machine{
		config:         config,
		jobs:           map[string]*jobEntry{},
		leasesByWorker: map[string]map[string]*jobEntry{},
		readyByClass:   map[string]int{},
	}
}

// emit adds an effect to those of the present call.
func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

// takeEffects returns the effects of the present call, with the jobs that became ready at their end.
func (m *Machine) takeEffects() []Effect {
	for _, entry := range m.becameReady {
		if entry.State == Ready && m.jobs[entry.ID] == entry {
			m.emit(Effect{Kind: AnnounceRunnable, Job: entry.Job})
		}
	}
	effects := m.effects
	m.effects = nil
	m.becameReady = nil
	return effects
}

// add takes in a job whose state is set.
func (m *Machine) add(entry *jobEntry) {
	m.jobs[entry.ID] = entry
	m.inOrder = append(m.inOrder, entry)
	m.count(entry, 1)
}

// count counts a job, in its present state, in or out.
func (m *Machine) count(entry *jobEntry, change int) {
	m.counts[entry.State] += change
	if entry.State == Ready {
		m.readyByClass[entry.Class] += change
	}
}

// remove drops a job.
func (m *Machine) remove(entry *jobEntry) {
	delete(m.jobs, entry.ID)
	m.count(entry, -1)
	m.removedInOrder++
	if m.removedInOrder <= len(m.inOrder)/2 {
		return
	}
	// A copy, so that the removed entries are not kept alive by the old array.
	m.inOrder = slices.DeleteFunc(slices.Clone(m.inOrder), func(other *jobEntry) bool { return m.jobs[other.ID] != other })
	m.removedInOrder = 0
}

// setState changes a job's state and the indexes that depend on it. DueAt and Worker must have their new values where
// the new state is found by them, and Worker its old one where the job was leased.
func (m *Machine) setState(entry *jobEntry, newState State) {
	if entry.State.IsHeld() {
		leases := m.leasesByWorker[entry.Worker]
		delete(leases, entry.ID)
		if len(leases) == 0 {
			delete(m.leasesByWorker, entry.Worker)
		}
	}
	m.count(entry, -1)
	entry.State = newState
	m.count(entry, 1)
	m.index(entry)
}

// index lets a job be found by what its state needs: its worker, when it is due, or that it is ready.
func (m *Machine) index(entry *jobEntry) {
	switch entry.State {
	case Leased, Started:
		if m.leasesByWorker[entry.Worker] == nil {
			m.leasesByWorker[entry.Worker] = map[string]*jobEntry{}
		}
		m.leasesByWorker[entry.Worker][entry.ID] = entry
		m.scheduleDue(entry.ID, entry.DueAt)
	case Scheduled, Waiting, Done, Dead, Discarded:
		m.scheduleDue(entry.ID, entry.DueAt)
	case Ready:
		m.becameReady = append(m.becameReady, entry)
	}
}

// finish ends a job, which is kept for its retention.
func (m *Machine) finish(now time.Duration, entry *jobEntry, finalState State) {
	entry.DueAt = now + m.config.Retention
	if finalState == Dead {
		entry.DueAt = now + m.config.DeadRetention
	}
	m.setState(entry, finalState)
}

// store has a changed job stored.
func (m *Machine) store(entry *jobEntry) {
	entry.Version++
	m.emit(Effect{Kind: StoreJob, Job: entry.Job})
}

// storeThen has a changed job stored, and then the effect of that kind carried out with the job as it is now.
func (m *Machine) storeThen(entry *jobEntry, kind EffectKind) {
	m.store(entry)
	m.afterStored(entry, Effect{Kind: kind, Job: entry.Job})
}

// afterStored emits an effect once the job's present version is stored.
func (m *Machine) afterStored(entry *jobEntry, effect Effect) {
	entry.afterStore = append(entry.afterStore, deferredEffect{entry.Version, effect})
}

// beingStored reports whether the job has a change that is not stored yet.
func (e *jobEntry) beingStored() bool { return e.storedVersion < e.Version }
