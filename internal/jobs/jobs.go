// Package jobs decides what becomes of durable jobs: when they may be handed
// out, what a lease is worth, and what may be done with one whose worker fell
// silent. It is a state machine: events and a time go in, effects come out, and
// nothing happens until the caller carries them out. It does no I/O, starts no
// goroutine and reads no clock. It must never hand out a job that must not run
// twice once it may have started, but on proof that it did not, nor acknowledge
// one that is not stored.
package jobs

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// This file owns the states and their transitions. Which worker gets a job, and
// whether one is refused, the decision module says; the store is the caller's.

// State is where a job stands.
type State uint8

// The stateCount. Leased: handed out, or about to be; from the moment its lease is
// stored it may have started.
const (
	Accepted  State = iota // taken on; its producer is told once it is stored
	Scheduled              // for later
	Ready
	Leased
	Started // its worker has said so
	Waiting // for its next attempt, after a failure
	Done
	Dead // its attempts are used up
	Discarded
	InDoubt // it may have run, and nobody can tell: an operator settles it
	stateCount
)

var stateNames = [stateCount]string{"accepted", "scheduled", "ready", "leased", "started", "waiting", "done", "dead", "discarded", "in doubt"}

func (s State) String() string { return stateNames[s] }

// States lists the names of all states.
func States() []string { return stateNames[:] }

// IsState tells whether a text is the name of a state.
func IsState(text string) bool { return slices.Contains(stateNames[:], text) }

// IsFinal tells whether nothing more will happen by itself.
func (s State) IsFinal() bool { return s == Done || s == Dead || s == Discarded || s == InDoubt }

// Job is one, as it is stored. Times are Unix times.
type Job struct {
	ID                    string        `json:"ID"`
	Class                 string        `json:"Class"`
	NonIdempotent         bool          `json:"Once"` // it must not run twice
	Payload               []byte        `json:"Payload"`
	PayloadHash           uint64        `json:"Sum"`    // of what was handed in: another job of the same id differs
	Result                []byte        `json:"Result"` // of one that is done, where its wire has one
	State                 State         `json:"State"`
	Fence                 uint64        `json:"Fence"`   // of its newest lease; higher ones make lower ones void
	Worker                string        `json:"Worker"`  // who holds, or held, that lease
	WorkerGuarantee       Guarantee     `json:"Honours"` // what that worker has promised
	RequiresDeduplication bool          `json:"Only"`    // it may have run: it is only for a worker whose till knows
	DueAt                 time.Duration `json:"Until"`   // the lease's end, or when it is due
	Attempts              int           `json:"Attempts"`
	MaxAttempts           int           `json:"Most"`    // attempts; 0: as the Config says
	LeaseDuration         time.Duration `json:"Lease"`   // 0: as the Config says
	DiscardWhenExhausted  bool          `json:"Drops"`   // when its attempts are used up it is discarded, not dead
	Reason                Reason        `json:"Why"`     // it failed, or is in doubt
	Version               uint64        `json:"Version"` // of what is stored: one more with each change
	Sequence              uint64        `json:"Seq"`     // the order in which jobs were taken on
}

// Guarantee is what a worker promises of jobs that must not run twice.
type Guarantee uint8

// The promises.
const (
	NoGuarantee  Guarantee = iota
	HonorsFences           // it asks before it starts, and starts only when granted
	Deduplicates           // its till knows by id what has been run, by any worker, and runs nothing twice
)

// Config says how long and how often.
type Config struct {
	LeaseDuration  time.Duration // without a heartbeat; default 60 s
	RecoveryGrace  time.Duration // after a recovery, for workers to come back with what they hold; default 60 s
	MaxAttempts    int           // of a job that may be repeated; default 5
	InitialBackoff time.Duration // before the second attempt, doubled for each more; default 1 s
	Retention      time.Duration // for which a job that is over is kept, its id with it; default 24 h; one in doubt stays
	DeadRetention  time.Duration // for which a dead one is kept; default 180 days

	ignoreFences bool // for tests of the checkers: fences are not looked at
}

// ignoreAllFences breaks all machines of a test build, as Config.broken does one.
var ignoreAllFences = false

// EffectKind is what the caller is to do.
type EffectKind uint8

// The effects.
const (
	StoreJob            EffectKind = iota // Job, durably; then call Stored with its Version
	AnswerPush                            // the producer: taken on (Err nil), or not
	DeliverJob                            // Job to its Worker, under its Fence
	GrantStart                            // the worker that asked to start a job: it may, under the Job's Fence
	AnswerReport                          // the worker that closed a job: Err nil is yes
	AnnounceRunnable                      // the Job may be handed out: Assign it. It comes after all else of its moment
	DeleteJob                             // the Job: it has been over for long. Off the disk with it
	AnnounceLeaseExpiry                   // the lease of the Job under its Fence: what its worker says of it no longer counts
)

// Effect is one thing to do. The order of effects is the order to do them in.
type Effect struct {
	Kind EffectKind
	Job  Job // as of now; a copy
	Err  error
}

// Machine is all jobs. It belongs to one goroutine.
type Machine struct {
	config         Config
	jobs           map[string]*entry
	lastFence      uint64
	lastSequence   uint64
	effects        []Effect
	becameReady    []*entry                     // ready since the last effects were taken
	dueQueue       dueHeap                      // when something falls due, the soonest first; what has moved on is passed over
	leasesByWorker map[string]map[string]*entry // by worker, then by id: what it holds
	counts         [stateCount]int              // jobs by state
	inOrder        []*entry                     // in the order in which they were taken on, with gaps
	removedInOrder int
}

// dueHeap is a heap of moments.
type dueHeap []dueEntry

type dueEntry struct {
	at time.Duration
	id string
}

func (q dueHeap) Len() int { return len(q) }
func (q dueHeap) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].id < q[j].id
}
func (q dueHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *dueHeap) Push(x any)   { *q = append(*q, x.(dueEntry)) }
func (q *dueHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// entry is a job, with what waits for its being stored.
type entry struct {
	Job
	storedVersion uint64           // version
	afterStore    []deferredEffect // in order of version
}

type deferredEffect struct {
	version uint64
	effect  Effect
}

// New returns an empty machine.
func New(c Config) *Machine {
	c.LeaseDuration, c.RecoveryGrace = cmp.Or(c.LeaseDuration, time.Minute), cmp.Or(c.RecoveryGrace, time.Minute)
	c.MaxAttempts, c.InitialBackoff = cmp.Or(c.MaxAttempts, 5), cmp.Or(c.InitialBackoff, time.Second)
	c.ignoreFences = c.ignoreFences || ignoreAllFences
	c.Retention, c.DeadRetention = cmp.Or(c.Retention, 24*time.Hour), cmp.Or(c.DeadRetention, 180*24*time.Hour)
	return &Machine{config: c, jobs: map[string]*entry{}, leasesByWorker: map[string]map[string]*entry{}}
}

// takeEffects gives the effects so far to the caller.
func (m *Machine) takeEffects() []Effect {
	for _, e := range m.becameReady {
		if e.State == Ready && m.jobs[e.ID] == e {
			m.effects = append(m.effects, Effect{Kind: AnnounceRunnable, Job: e.Job})
		}
	}
	out := m.effects
	m.effects, m.becameReady = nil, nil
	return out
}

// setState changes a job's state, and with it what the machine finds it by.
func (m *Machine) setState(e *entry, s State) {
	if held := m.leasesByWorker[e.Worker]; e.State == Leased || e.State == Started {
		if delete(held, e.ID); len(held) == 0 {
			delete(m.leasesByWorker, e.Worker)
		}
	}
	m.counts[e.State]--
	m.counts[s]++
	e.State = s
	m.index(e)
}

// index makes a job's state found: by its worker, by when it is due, and where it may run.
func (m *Machine) index(e *entry) {
	switch e.State {
	case Leased, Started:
		if m.leasesByWorker[e.Worker] == nil {
			m.leasesByWorker[e.Worker] = map[string]*entry{}
		}
		m.leasesByWorker[e.Worker][e.ID] = e
		heap.Push(&m.dueQueue, dueEntry{e.DueAt, e.ID})
	case Scheduled, Waiting, Done, Dead, Discarded:
		heap.Push(&m.dueQueue, dueEntry{e.DueAt, e.ID})
	case Ready:
		m.becameReady = append(m.becameReady, e)
	}
}

// finish ends a job, which is kept for a while.
func (m *Machine) finish(now time.Duration, e *entry, s State) {
	if e.DueAt = now + m.config.Retention; s == Dead {
		e.DueAt = now + m.config.DeadRetention
	}
	m.setState(e, s)
}

// leaseDuration is how long a job's worker may be silent.
func (m *Machine) leaseDuration(e *entry) time.Duration {
	return cmp.Or(e.LeaseDuration, m.config.LeaseDuration)
}

// NextDue is when Tick has something to do; false: nothing is due by itself.
func (m *Machine) NextDue() (at time.Duration, ok bool) {
	if len(m.dueQueue) == 0 {
		return 0, false
	}
	if e := m.jobs[m.dueQueue[0].id]; e != nil && (e.State == Leased || e.State == Started) {
		return max(m.dueQueue[0].at, e.DueAt), true // renewed since
	}
	return m.dueQueue[0].at, true
}

// store stores a job anew; then, which may be nil, follows once it is stored.
func (m *Machine) store(e *entry, then *Effect) {
	e.Version++
	m.effects = append(m.effects, Effect{Kind: StoreJob, Job: e.Job})
	if then != nil {
		then.Job = e.Job
		e.afterStore = append(e.afterStore, deferredEffect{e.Version, *then})
	}
}

// Push takes a job on. The producer is answered once it is stored; a job of an
// id that is known already is not taken on again, and its producer hears yes,
// unless it is another job's.
func (m *Machine) Push(now time.Duration, j Job, at time.Duration) []Effect {
	if e := m.jobs[j.ID]; e != nil {
		answer := Effect{Kind: AnswerPush, Job: e.Job}
		if e.PayloadHash != j.PayloadHash {
			answer.Err = ErrIDConflict
			m.effects = append(m.effects, answer)
			return m.takeEffects()
		}
		if e.storedVersion == 0 { // with the first one's answer
			e.afterStore = append(e.afterStore, deferredEffect{1, answer})
		} else {
			m.effects = append(m.effects, answer)
		}
		return m.takeEffects()
	}
	m.lastSequence++
	j.State, j.Fence, j.Worker, j.Attempts, j.Version, j.DueAt, j.Sequence = Accepted, 0, "", 0, 0, 0, m.lastSequence
	if at > now {
		j.DueAt = at
	}
	e := &entry{Job: j}
	m.jobs[j.ID] = e
	m.inOrder = append(m.inOrder, e)
	m.counts[Accepted]++
	m.store(e, &Effect{Kind: AnswerPush})
	return m.takeEffects()
}

// Stored tells that a version of a job is on the disk.
func (m *Machine) Stored(now time.Duration, id string, version uint64) []Effect {
	e := m.jobs[id]
	if e == nil {
		return nil
	}
	e.storedVersion = max(e.storedVersion, version)
	if e.State == Accepted {
		next := Ready
		if e.DueAt > now { // derived: a recovery finds the same
			next = Scheduled
		}
		m.setState(e, next)
	}
	for len(e.afterStore) > 0 && e.afterStore[0].version <= e.storedVersion {
		effect := e.afterStore[0].effect
		e.afterStore = e.afterStore[1:]
		if effect.Kind == DeliverJob && (e.State != Leased || e.Fence != effect.Job.Fence) {
			continue // its lease is void by now, and nobody has got it
		}
		m.effects = append(m.effects, effect)
	}
	return m.takeEffects()
}

// StoreFailed tells that a version cannot be stored: a job that was being taken on
// is refused, and a lease that was about to be given is not.
func (m *Machine) StoreFailed(id string, version uint64, cause error) []Effect {
	e := m.jobs[id]
	if e == nil || version != e.Version {
		return nil
	}
	switch e.State {
	case Accepted:
		m.remove(e)
		m.effects = append(m.effects, Effect{Kind: AnswerPush, Job: e.Job, Err: &NotStoredError{cause}})
	case Leased: // it has not been handed out: the hand waits for the store
		e.afterStore = slices.DeleteFunc(e.afterStore, func(a deferredEffect) bool { return a.effect.Kind == DeliverJob })
		m.setState(e, Ready)
		e.Worker = ""
		e.Attempts--
	}
	return m.takeEffects()
}

// Ready lists the ids of jobs that may be handed out, in the order of their ids.
func (m *Machine) Ready() (ids []string) {
	for id, e := range m.jobs {
		if e.State == Ready {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Assign leases a ready job to the worker that the decision module has chosen.
// It is handed out once the lease is stored: a crash must find who may run it.
func (m *Machine) Assign(now time.Duration, id, worker string, h Guarantee) []Effect {
	e := m.jobs[id]
	if e == nil || e.State != Ready || e.RequiresDeduplication && h != Deduplicates {
		return nil
	}
	m.lastFence++
	e.Worker, e.WorkerGuarantee, e.Fence, e.DueAt = worker, h, m.lastFence, now+m.leaseDuration(e)
	m.setState(e, Leased)
	e.Attempts++
	m.store(e, &Effect{Kind: DeliverJob})
	return m.takeEffects()
}

// holdsLease tells whether a worker's word about a lease counts.
func (m *Machine) holdsLease(e *entry, fence uint64) bool {
	return e != nil && (e.State == Leased || e.State == Started) && (e.Fence == fence || m.config.ignoreFences)
}

// Start tells that a worker starts a job. One that honours fences asks first, and
// starts only on GrantStart, which comes once the start is stored; asked again, it
// is granted again. ErrLeaseVoid: it must not start.
func (m *Machine) Start(now time.Duration, id string, fence uint64) ([]Effect, error) {
	e := m.jobs[id]
	if !m.holdsLease(e, fence) || e.State == Leased && e.storedVersion < e.Version && !m.config.ignoreFences {
		return nil, ErrLeaseVoid
	}
	e.DueAt = now + m.leaseDuration(e)
	granted := Effect{Kind: GrantStart}
	granted.Job.Fence = fence
	switch {
	case e.State == Leased:
		m.setState(e, Started)
		m.store(e, &granted)
	case e.storedVersion < e.Version: // with the first one's grant
		granted.Job = e.Job
		e.afterStore = append(e.afterStore, deferredEffect{e.Version, granted})
	default:
		granted.Job = e.Job
		m.effects = append(m.effects, granted)
	}
	return m.takeEffects(), nil
}

// Heartbeat renews a worker's leases.
func (m *Machine) Heartbeat(now time.Duration, worker string) {
	for _, e := range m.leasesByWorker[worker] {
		e.DueAt = max(e.DueAt, now+m.leaseDuration(e))
	}
}

// Extend renews one lease, until a moment that its worker names.
func (m *Machine) Extend(id string, fence uint64, until time.Duration) {
	if e := m.jobs[id]; m.holdsLease(e, fence) {
		e.DueAt = max(e.DueAt, until)
	}
}

// Ack tells that a job is done. Under a void fence it counts too, where the job
// is in doubt or waits to be run again and has not been handed out since: it is
// the proof that it ran.
func (m *Machine) Ack(now time.Duration, id string, fence uint64, result []byte) []Effect {
	e := m.jobs[id]
	switch {
	case e == nil:
		m.effects = append(m.effects, Effect{Kind: AnswerReport, Err: ErrUnknownJob})
	case e.State == Done && e.storedVersion < e.Version: // with the first one's reply
		e.afterStore = append(e.afterStore, deferredEffect{e.Version, Effect{Kind: AnswerReport, Job: e.Job}})
	case e.State == Done:
		m.effects = append(m.effects, Effect{Kind: AnswerReport, Job: e.Job})
	case m.holdsLease(e, fence), e.Fence == fence && (e.State == InDoubt || e.State == Waiting || e.State == Ready):
		m.finish(now, e, Done)
		e.Reason, e.Payload, e.Result = "", nil, result
		m.store(e, &Effect{Kind: AnswerReport})
	default:
		m.effects = append(m.effects, Effect{Kind: AnswerReport, Job: e.Job, Err: ErrLeaseVoid})
	}
	return m.takeEffects()
}

// Fail tells that a job failed. started false is the worker's word that it never
// began, which frees any job; else one that must not run twice is dead, as it ran.
func (m *Machine) Fail(now time.Duration, id string, fence uint64, reason Reason, started bool) []Effect {
	e := m.jobs[id]
	switch {
	case e == nil:
		m.effects = append(m.effects, Effect{Kind: AnswerReport, Err: ErrUnknownJob})
	case m.holdsLease(e, fence), e.Fence == fence && e.State == InDoubt:
		switch {
		case !started && e.State != Started:
			m.setState(e, Ready)
			e.Worker = ""
			e.Attempts--
		case e.NonIdempotent:
			m.finish(now, e, Dead)
			e.Reason = reason
		default:
			m.retryOrFinish(now, e, reason)
		}
		m.store(e, &Effect{Kind: AnswerReport})
	default:
		m.effects = append(m.effects, Effect{Kind: AnswerReport, Job: e.Job, Err: ErrLeaseVoid})
	}
	return m.takeEffects()
}

// retryOrFinish lets a job that may be repeated wait for its next attempt, or die.
func (m *Machine) retryOrFinish(now time.Duration, e *entry, reason Reason) {
	e.Reason = reason
	if e.Attempts >= cmp.Or(e.MaxAttempts, m.config.MaxAttempts) {
		if m.finish(now, e, Dead); e.DiscardWhenExhausted {
			m.finish(now, e, Discarded)
		}
		return
	}
	e.DueAt = now + m.backoff(e)
	m.setState(e, Waiting)
}

func (m *Machine) backoff(e *entry) time.Duration {
	return m.config.InitialBackoff << min(max(e.Attempts-1, 0), 20)
}

// Tick acts on what is due: schedules, retries, leases that have run out, and jobs that have been over for long.
func (m *Machine) Tick(now time.Duration) []Effect {
	var later []dueEntry
	for len(m.dueQueue) > 0 && m.dueQueue[0].at <= now {
		d := heap.Pop(&m.dueQueue).(dueEntry)
		e := m.jobs[d.id]
		switch {
		case e == nil || e.State == Accepted || e.State == Ready || e.State == InDoubt:
		case e.DueAt > now: // renewed, or another thing is due by now
			later = append(later, dueEntry{e.DueAt, d.id})
		case e.State == Leased && e.storedVersion < e.Version: // judged once it is known what is stored
			later = append(later, dueEntry{now + m.leaseDuration(e), d.id})
		default:
			m.actOnDue(now, e)
		}
	}
	for _, d := range later {
		heap.Push(&m.dueQueue, d)
	}
	return m.takeEffects()
}

// actOnDue acts on one job that is due.
func (m *Machine) actOnDue(now time.Duration, e *entry) {
	switch e.State {
	case Scheduled, Waiting:
		m.setState(e, Ready) // derived: it is not stored
	case Leased, Started:
		m.expireLease(now, e)
	case Done, Dead, Discarded:
		if e.storedVersion < e.Version {
			heap.Push(&m.dueQueue, dueEntry{now + m.config.LeaseDuration, e.ID})
			return
		}
		m.remove(e)
		m.effects = append(m.effects, Effect{Kind: DeleteJob, Job: e.Job})
	}
}

// remove drops a job.
func (m *Machine) remove(e *entry) {
	delete(m.jobs, e.ID)
	m.counts[e.State]--
	if m.removedInOrder++; m.removedInOrder > len(m.inOrder)/2 {
		m.inOrder = slices.DeleteFunc(slices.Clone(m.inOrder), func(e *entry) bool { return m.jobs[e.ID] != e })
		m.removedInOrder = 0
	}
}

func (m *Machine) sortedIDs() []string {
	ids := make([]string, 0, len(m.jobs))
	for id := range m.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// expireLease judges a lease that nobody renews. One that must not run twice is freed
// only where its worker honours fences and has not told of a start: then the
// next, higher fence keeps it from starting; or where its worker's till knows
// what has been run: then any worker with such a till may have it.
func (m *Machine) expireLease(now time.Duration, e *entry) {
	m.effects = append(m.effects, Effect{Kind: AnnounceLeaseExpiry, Job: e.Job})
	switch {
	case !e.NonIdempotent:
		m.retryOrFinish(now, e, reasonLeaseExpired)
	case e.WorkerGuarantee == Deduplicates:
		m.setState(e, Ready)
		e.RequiresDeduplication = true
		e.Reason = reasonNeedsDeduplication
	case e.WorkerGuarantee == HonorsFences && e.State == Leased:
		m.setState(e, Ready)
		e.Reason = reasonNotStarted
	default:
		m.setState(e, InDoubt)
		e.Reason = reasonMayHaveRun(e.Worker)
	}
	m.store(e, nil)
}

// Recover starts from what is on the disk, which each job has once. Leases go on
// for a grace time, in which workers come back with what they hold.
func (m *Machine) Recover(now time.Duration, stored []Job) []Effect {
	grace := now + m.config.RecoveryGrace
	for _, j := range stored {
		e := &entry{Job: j, storedVersion: j.Version}
		switch e.State {
		case Accepted, Scheduled, Waiting:
			if j.State == Waiting { // a clock that was set back holds nothing up
				e.DueAt = min(e.DueAt, now+m.backoff(e))
			}
			if e.State = Ready; e.DueAt > now {
				e.State = map[State]State{Accepted: Scheduled, Scheduled: Scheduled, Waiting: Waiting}[j.State]
			}
		case Leased, Started:
			e.DueAt = max(min(e.DueAt, now+m.leaseDuration(e)), grace)
		case Done, Discarded:
			e.DueAt = min(e.DueAt, now+m.config.Retention)
		}
		m.lastFence, m.lastSequence = max(m.lastFence, j.Fence), max(m.lastSequence, j.Sequence)
		m.jobs[j.ID] = e
		m.inOrder = append(m.inOrder, e)
		m.counts[e.State]++
		m.index(e)
	}
	slices.SortFunc(m.inOrder, func(a, b *entry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	// Where an older copy is read, fences have been given since that it does not
	// know: they must not be given again.
	m.lastFence += 1 << 20
	slices.SortFunc(m.becameReady, func(a, b *entry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return m.takeEffects()
}

// Resolve ends a job in doubt by an operator's word: it ran, or it did not and is
// to run. An error says why not.
func (m *Machine) Resolve(now time.Duration, id string, ran bool, reason Reason) ([]Effect, error) {
	e := m.jobs[id]
	switch {
	case e == nil:
		return nil, &TransitionError{ID: id, Cause: ErrUnknownJob}
	case e.State != InDoubt:
		return nil, &TransitionError{id, e.State, ErrNotInDoubt}
	case reason == "":
		return nil, &TransitionError{id, e.State, ErrReasonRequired}
	}
	e.Reason = reasonResolved(reason)
	if ran {
		e.Payload = nil
		m.finish(now, e, Done)
	} else {
		m.setState(e, Ready)
		e.RequiresDeduplication = false
	}
	m.store(e, nil)
	return m.takeEffects(), nil
}

// Move is what may be asked of a job that nobody has.
type Move uint8

// The moves.
const (
	Discard Move = iota // it will not run
	Kill                // it is dead, and may be asked for again
	Requeue             // it may run now
)

func (to Move) String() string { return [...]string{"discard", "kill", "requeue"}[to] }

// Move moves a job that waits or is dead by somebody's word; force is an
// operator's, which alone lets a dead one run again that must not run twice. An
// error says why not.
func (m *Machine) Move(now time.Duration, id string, to Move, reason Reason, force bool) ([]Effect, error) {
	e := m.jobs[id]
	switch {
	case e == nil:
		return nil, &TransitionError{ID: id, Cause: ErrUnknownJob}
	case e.State != Scheduled && e.State != Ready && e.State != Waiting && e.State != Dead:
		return nil, &TransitionError{id, e.State, ErrNotMovable}
	case e.State == Dead && e.NonIdempotent && to == Requeue && !force:
		return nil, &TransitionError{id, e.State, ErrOperatorRequired}
	}
	e.Reason = reason
	switch to {
	case Discard:
		e.Payload = nil
		m.finish(now, e, Discarded)
	case Kill:
		m.finish(now, e, Dead)
	case Requeue:
		e.Attempts, e.DueAt = 0, now
		m.setState(e, Ready)
	}
	m.store(e, nil)
	return m.takeEffects(), nil
}

// IsStored tells whether a job is stored as it stands.
func (m *Machine) IsStored(id string) bool {
	e := m.jobs[id]
	return e != nil && e.storedVersion == e.Version
}

// Get is a job as it stands; false: it is not known.
func (m *Machine) Get(id string) (Job, bool) {
	if e := m.jobs[id]; e != nil {
		return e.Job, true
	}
	return Job{}, false
}

// Each calls each with every job, in the order in which they were taken on.
func (m *Machine) Each(each func(Job)) {
	for _, e := range m.inOrder {
		if m.jobs[e.ID] == e {
			each(e.Job)
		}
	}
}

// Page looks at some jobs behind a place in the order in which they were taken
// on, and lists those wanted, most of them at the most. next is the place to go
// on behind; 0: there are no more.
func (m *Machine) Page(after uint64, most, look int, want func(Job) bool) (list []Job, next uint64) {
	at, _ := slices.BinarySearchFunc(m.inOrder, after+1, func(e *entry, seq uint64) int { return cmp.Compare(e.Sequence, seq) })
	for _, e := range m.inOrder[at:] {
		if look--; look < 0 || len(list) == most {
			return list, next
		}
		next = e.Sequence
		if m.jobs[e.ID] == e && want(e.Job) {
			list = append(list, e.Job)
		}
	}
	return list, 0
}

// Counts is the number of jobs by state.
func (m *Machine) Counts() map[State]int {
	counts := map[State]int{}
	for s, n := range m.counts {
		if n > 0 {
			counts[State(s)] = n
		}
	}
	return counts
}

// Len is how many jobs are known.
func (m *Machine) Len() int { return len(m.jobs) }
