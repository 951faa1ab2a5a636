package jobs

import (
	"cmp"
	"slices"
	"time"
)

// Config sets the durations and limits of a Machine. A field that is zero has its default.
type Config struct {
	LeaseDuration  time.Duration // how long a lease lasts without a heartbeat; default 60 s
	RecoveryGrace  time.Duration // minimum duration of leases after Recover, in which workers can reconnect; default 60 s
	MaxAttempts    int           // maximum number of attempts of an idempotent job; default 5
	InitialBackoff time.Duration // wait before the second attempt, doubled before each further one; default 1 s
	Retention      time.Duration // how long a Done or Discarded job and its id are kept; default 24 h
	DeadRetention  time.Duration // how long a Dead job is kept; default 180 days
	MemoryLimit    int           // bytes that all jobs may take up before new ones are rejected; default no limit

	ignoreFences bool // for tests which show that their checks find the faults of a machine that ignores fences
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
	lastFence    uint64               // the highest fence that has been assigned
	lastSequence uint64               // the highest sequence number that has been assigned

	// Indexes of jobs.
	dueQueue       dueHeap                         // may hold outdated times; each is checked against its job when it is reached
	leasesByWorker map[string]map[string]*jobEntry // by worker, then by job id
	counts         [stateCount]int                 // jobs by state
	readyByClass   map[string]int                  // jobs that are Ready, by class
	inOrder        []*jobEntry                     // all jobs by sequence number; may still hold removed ones
	removedInOrder int                             // number of removed jobs that inOrder still holds
	memory         int                             // about how many bytes all jobs take up

	// State of the method call in progress.
	effects     []Effect    // effects that the call returns
	becameReady []*jobEntry // jobs that are announced after all other effects
}

// jobEntry is a job with the effects that wait for it to be stored.
type jobEntry struct {
	Job
	storedVersion uint64           // the highest version that is on disk; 0 if there is none
	afterStore    []deferredEffect // in order of version
	countedMemory int              // the bytes with which it counts in Machine.memory
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

// emit adds an effect to those that the current call returns.
func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

// takeEffects returns the effects of the current call, followed by an AnnounceRunnable for each job that became ready.
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

// add adds a new job, whose state is already set. It does not call index.
func (m *Machine) add(entry *jobEntry) {
	m.jobs[entry.ID] = entry
	m.inOrder = append(m.inOrder, entry)
	m.count(entry, 1)
	m.countMemory(entry)
}

// count adds change, which is 1 or -1, to the counters for a job's current state and class.
func (m *Machine) count(entry *jobEntry, change int) {
	m.counts[entry.State] += change
	if entry.State == Ready {
		m.readyByClass[entry.Class] += change
	}
}

// remove removes a job. The entries of removed jobs are dropped from inOrder once they are more than half of it.
func (m *Machine) remove(entry *jobEntry) {
	delete(m.jobs, entry.ID)
	m.count(entry, -1)
	m.memory -= entry.countedMemory
	m.removedInOrder++
	if m.removedInOrder <= len(m.inOrder)/2 {
		return
	}
	// A copy, so that the removed entries are not kept alive by the old array.
	m.inOrder = slices.DeleteFunc(slices.Clone(m.inOrder), func(other *jobEntry) bool { return m.jobs[other.ID] != other })
	m.removedInOrder = 0
}

// setState changes a job's state and updates the indexes that depend on it. The caller must set DueAt beforehand if the
// new state is due at a time, and Worker if the new state is Leased or Started. A job that leaves one of these two
// states must still have the Worker of its lease.
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

// index adds a job to the indexes that its state requires: by worker, by due time, or among the jobs that became ready.
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

// finish sets the final state of a job and the time until which the job is kept.
func (m *Machine) finish(now time.Duration, entry *jobEntry, finalState State) {
	entry.DueAt = now + m.config.Retention
	if finalState == Dead {
		entry.DueAt = now + m.config.DeadRetention
	}
	m.setState(entry, finalState)
}

// store increases the version of a changed job and emits the effect that stores the job.
func (m *Machine) store(entry *jobEntry) {
	entry.Version++
	m.countMemory(entry)
	m.emit(Effect{Kind: StoreJob, Job: entry.Job})
}

// storeThen stores a changed job. Once this version is stored, it emits an effect of the given kind with a copy of this
// version.
func (m *Machine) storeThen(entry *jobEntry, kind EffectKind) {
	m.store(entry)
	m.afterStored(entry, Effect{Kind: kind, Job: entry.Job})
}

// afterStored emits an effect once the job's current version is stored.
func (m *Machine) afterStored(entry *jobEntry, effect Effect) {
	entry.afterStore = append(entry.afterStore, deferredEffect{entry.Version, effect})
}

// beingStored reports whether the job has a change that is not stored yet.
func (e *jobEntry) beingStored() bool { return e.storedVersion < e.Version }
