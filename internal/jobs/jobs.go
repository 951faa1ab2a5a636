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
	"fmt"
	"slices"
	"time"
)

// This file owns the states and their transitions. Which worker gets a job, and
// whether one is refused, the decision module says; the store is the caller's.

// State is where a job stands.
type State uint8

// The states. Leased: handed out, or about to be; from the moment its lease is
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
	states
)

var stateNames = [states]string{"accepted", "scheduled", "ready", "leased", "started", "waiting", "done", "dead", "discarded", "in doubt"}

func (s State) String() string { return stateNames[s] }

// States lists the names of all states.
func States() []string { return stateNames[:] }

// IsState tells whether a text is the name of a state.
func IsState(text string) bool { return slices.Contains(stateNames[:], text) }

// Over tells whether nothing more will happen by itself.
func (s State) Over() bool { return s == Done || s == Dead || s == Discarded || s == InDoubt }

// Job is one, as it is stored. Times are Unix times.
type Job struct {
	ID       string        `json:"ID"`
	Class    string        `json:"Class"`
	Once     bool          `json:"Once"` // it must not run twice
	Payload  []byte        `json:"Payload"`
	Sum      uint64        `json:"Sum"`    // of what was handed in: another job of the same id differs
	Result   []byte        `json:"Result"` // of one that is done, where its wire has one
	State    State         `json:"State"`
	Fence    uint64        `json:"Fence"`   // of its newest lease; higher ones make lower ones void
	Worker   string        `json:"Worker"`  // who holds, or held, that lease
	Honours  Guarantee     `json:"Honours"` // what that worker has promised
	Only     bool          `json:"Only"`    // it may have run: it is only for a worker whose till knows
	Until    time.Duration `json:"Until"`   // the lease's end, or when it is due
	Attempts int           `json:"Attempts"`
	Most     int           `json:"Most"`    // attempts; 0: as the Config says
	Lease    time.Duration `json:"Lease"`   // 0: as the Config says
	Drops    bool          `json:"Drops"`   // when its attempts are used up it is discarded, not dead
	Why      string        `json:"Why"`     // it failed, or is in doubt
	Version  uint64        `json:"Version"` // of what is stored: one more with each change
	Seq      uint64        `json:"Seq"`     // the order in which jobs were taken on
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
	Lease    time.Duration // without a heartbeat; default 60 s
	Grace    time.Duration // after a recovery, for workers to come back with what they hold; default 60 s
	Attempts int           // of a job that may be repeated; default 5
	Backoff  time.Duration // before the second attempt, doubled for each more; default 1 s
	Retain   time.Duration // for which a job that is over is kept, its id with it; default 24 h; one in doubt stays
	Dead     time.Duration // for which a dead one is kept; default 180 days

	broken bool // for tests of the checkers: fences are not looked at
}

// skipFences breaks all machines of a test build, as Config.broken does one.
var skipFences = false

// EffectKind is what the caller is to do.
type EffectKind uint8

// The effects.
const (
	Store    EffectKind = iota // Job, durably; then call Stored with its Version
	Answer                     // the producer: taken on (Why empty), or not
	Hand                       // Job to its Worker, under its Fence
	Grant                      // the worker that asked to start a job: it may, under the Job's Fence
	Reply                      // the worker that closed a job: Why empty is yes
	Runnable                   // the Job may be handed out: Assign it. It comes after all else of its moment
	Forget                     // the Job: it has been over for long. Off the disk with it
	Lapsed                     // the lease of the Job under its Fence: what its worker says of it no longer counts
)

// Effect is one thing to do. The order of effects is the order to do them in.
type Effect struct {
	Kind EffectKind
	Job  Job // as of now; a copy
	Why  string
}

// Machine is all jobs. It belongs to one goroutine.
type Machine struct {
	c      Config
	jobs   map[string]*entry
	fence  uint64
	seq    uint64
	out    []Effect
	woken  []*entry                     // ready since the last effects were taken
	due    queue                        // when something falls due, the soonest first; what has moved on is passed over
	leased map[string]map[string]*entry // by worker, then by id: what it holds
	counts [states]int                  // jobs by state
	line   []*entry                     // in the order in which they were taken on, with gaps
	gaps   int
}

// queue is a heap of moments.
type queue []moment

type moment struct {
	at time.Duration
	id string
}

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].id < q[j].id
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(moment)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// entry is a job, with what waits for its being stored.
type entry struct {
	Job
	stored uint64       // version
	then   []afterStore // in order of version
}

type afterStore struct {
	version uint64
	effect  Effect
}

// New returns an empty machine.
func New(c Config) *Machine {
	c.Lease, c.Grace = cmp.Or(c.Lease, time.Minute), cmp.Or(c.Grace, time.Minute)
	c.Attempts, c.Backoff = cmp.Or(c.Attempts, 5), cmp.Or(c.Backoff, time.Second)
	c.broken = c.broken || skipFences
	c.Retain, c.Dead = cmp.Or(c.Retain, 24*time.Hour), cmp.Or(c.Dead, 180*24*time.Hour)
	return &Machine{c: c, jobs: map[string]*entry{}, leased: map[string]map[string]*entry{}}
}

// take gives the effects so far to the caller.
func (m *Machine) take() []Effect {
	for _, e := range m.woken {
		if e.State == Ready && m.jobs[e.ID] == e {
			m.out = append(m.out, Effect{Kind: Runnable, Job: e.Job})
		}
	}
	out := m.out
	m.out, m.woken = nil, nil
	return out
}

// to changes a job's state, and with it what the machine finds it by.
func (m *Machine) to(e *entry, s State) {
	if held := m.leased[e.Worker]; e.State == Leased || e.State == Started {
		if delete(held, e.ID); len(held) == 0 {
			delete(m.leased, e.Worker)
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
		if m.leased[e.Worker] == nil {
			m.leased[e.Worker] = map[string]*entry{}
		}
		m.leased[e.Worker][e.ID] = e
		heap.Push(&m.due, moment{e.Until, e.ID})
	case Scheduled, Waiting, Done, Dead, Discarded:
		heap.Push(&m.due, moment{e.Until, e.ID})
	case Ready:
		m.woken = append(m.woken, e)
	}
}

// over ends a job, which is kept for a while.
func (m *Machine) over(now time.Duration, e *entry, s State) {
	if e.Until = now + m.c.Retain; s == Dead {
		e.Until = now + m.c.Dead
	}
	m.to(e, s)
}

// lease is how long a job's worker may be silent.
func (m *Machine) lease(e *entry) time.Duration { return cmp.Or(e.Lease, m.c.Lease) }

// Due is when Tick has something to do; false: nothing is due by itself.
func (m *Machine) Due() (at time.Duration, ok bool) {
	if len(m.due) == 0 {
		return 0, false
	}
	if e := m.jobs[m.due[0].id]; e != nil && (e.State == Leased || e.State == Started) {
		return max(m.due[0].at, e.Until), true // renewed since
	}
	return m.due[0].at, true
}

// change stores a job anew; then, which may be nil, follows once it is stored.
func (m *Machine) change(e *entry, then *Effect) {
	e.Version++
	m.out = append(m.out, Effect{Kind: Store, Job: e.Job})
	if then != nil {
		then.Job = e.Job
		e.then = append(e.then, afterStore{e.Version, *then})
	}
}

// OtherJob is why a job is not taken on whose id another one has.
const OtherJob = "this id is another job's"

// Push takes a job on. The producer is answered once it is stored; a job of an
// id that is known already is not taken on again, and its producer hears yes,
// unless it is another job's.
func (m *Machine) Push(now time.Duration, j Job, at time.Duration) []Effect {
	if e := m.jobs[j.ID]; e != nil {
		answer := Effect{Kind: Answer, Job: e.Job}
		if e.Sum != j.Sum {
			answer.Why = OtherJob
			m.out = append(m.out, answer)
			return m.take()
		}
		if e.stored == 0 { // with the first one's answer
			e.then = append(e.then, afterStore{1, answer})
		} else {
			m.out = append(m.out, answer)
		}
		return m.take()
	}
	m.seq++
	j.State, j.Fence, j.Worker, j.Attempts, j.Version, j.Until, j.Seq = Accepted, 0, "", 0, 0, 0, m.seq
	if at > now {
		j.Until = at
	}
	e := &entry{Job: j}
	m.jobs[j.ID] = e
	m.line = append(m.line, e)
	m.counts[Accepted]++
	m.change(e, &Effect{Kind: Answer})
	return m.take()
}

// Stored tells that a version of a job is on the disk.
func (m *Machine) Stored(now time.Duration, id string, version uint64) []Effect {
	e := m.jobs[id]
	if e == nil {
		return nil
	}
	e.stored = max(e.stored, version)
	if e.State == Accepted {
		next := Ready
		if e.Until > now { // derived: a recovery finds the same
			next = Scheduled
		}
		m.to(e, next)
	}
	for len(e.then) > 0 && e.then[0].version <= e.stored {
		effect := e.then[0].effect
		e.then = e.then[1:]
		if effect.Kind == Hand && (e.State != Leased || e.Fence != effect.Job.Fence) {
			continue // its lease is void by now, and nobody has got it
		}
		m.out = append(m.out, effect)
	}
	return m.take()
}

// StoreFailed tells that a version cannot be stored: a job that was being taken on
// is refused, and a lease that was about to be given is not.
func (m *Machine) StoreFailed(id string, version uint64, why string) []Effect {
	e := m.jobs[id]
	if e == nil || version != e.Version {
		return nil
	}
	switch e.State {
	case Accepted:
		m.forget(e)
		m.out = append(m.out, Effect{Kind: Answer, Job: e.Job, Why: "not kept: " + why})
	case Leased: // it has not been handed out: the hand waits for the store
		e.then = slices.DeleteFunc(e.then, func(a afterStore) bool { return a.effect.Kind == Hand })
		m.to(e, Ready)
		e.Worker = ""
		e.Attempts--
	}
	return m.take()
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
	if e == nil || e.State != Ready || e.Only && h != Deduplicates {
		return nil
	}
	m.fence++
	e.Worker, e.Honours, e.Fence, e.Until = worker, h, m.fence, now+m.lease(e)
	m.to(e, Leased)
	e.Attempts++
	m.change(e, &Effect{Kind: Hand})
	return m.take()
}

// holds tells whether a worker's word about a lease counts.
func (m *Machine) holds(e *entry, fence uint64) bool {
	return e != nil && (e.State == Leased || e.State == Started) && (e.Fence == fence || m.c.broken)
}

// Start tells that a worker starts a job. One that honours fences asks first, and
// starts only on the Grant, which comes once the start is stored; asked again, it
// is granted again. no: its lease is void.
func (m *Machine) Start(now time.Duration, id string, fence uint64) (effects []Effect, no bool) {
	e := m.jobs[id]
	if !m.holds(e, fence) || e.State == Leased && e.stored < e.Version && !m.c.broken {
		return nil, true
	}
	e.Until = now + m.lease(e)
	granted := Effect{Kind: Grant}
	granted.Job.Fence = fence
	switch {
	case e.State == Leased:
		m.to(e, Started)
		m.change(e, &granted)
	case e.stored < e.Version: // with the first one's grant
		granted.Job = e.Job
		e.then = append(e.then, afterStore{e.Version, granted})
	default:
		granted.Job = e.Job
		m.out = append(m.out, granted)
	}
	return m.take(), false
}

// Heartbeat renews a worker's leases.
func (m *Machine) Heartbeat(now time.Duration, worker string) {
	for _, e := range m.leased[worker] {
		e.Until = max(e.Until, now+m.lease(e))
	}
}

// Extend renews one lease, until a moment that its worker names.
func (m *Machine) Extend(id string, fence uint64, until time.Duration) {
	if e := m.jobs[id]; m.holds(e, fence) {
		e.Until = max(e.Until, until)
	}
}

// Ack tells that a job is done. Under a void fence it counts too, where the job
// is in doubt or waits to be run again and has not been handed out since: it is
// the proof that it ran.
func (m *Machine) Ack(now time.Duration, id string, fence uint64, result []byte) []Effect {
	e := m.jobs[id]
	switch {
	case e == nil:
		m.out = append(m.out, Effect{Kind: Reply, Why: "no such job"})
	case e.State == Done && e.stored < e.Version: // with the first one's reply
		e.then = append(e.then, afterStore{e.Version, Effect{Kind: Reply, Job: e.Job}})
	case e.State == Done:
		m.out = append(m.out, Effect{Kind: Reply, Job: e.Job})
	case m.holds(e, fence), e.Fence == fence && (e.State == InDoubt || e.State == Waiting || e.State == Ready):
		m.over(now, e, Done)
		e.Why, e.Payload, e.Result = "", nil, result
		m.change(e, &Effect{Kind: Reply})
	default:
		m.out = append(m.out, Effect{Kind: Reply, Job: e.Job, Why: "the lease is void"})
	}
	return m.take()
}

// Fail tells that a job failed. started false is the worker's word that it never
// began, which frees any job; else one that must not run twice is dead, as it ran.
func (m *Machine) Fail(now time.Duration, id string, fence uint64, why string, started bool) []Effect {
	e := m.jobs[id]
	switch {
	case e == nil:
		m.out = append(m.out, Effect{Kind: Reply, Why: "no such job"})
	case m.holds(e, fence), e.Fence == fence && e.State == InDoubt:
		switch {
		case !started && e.State != Started:
			m.to(e, Ready)
			e.Worker = ""
			e.Attempts--
		case e.Once:
			m.over(now, e, Dead)
			e.Why = why
		default:
			m.again(now, e, why)
		}
		m.change(e, &Effect{Kind: Reply})
	default:
		m.out = append(m.out, Effect{Kind: Reply, Job: e.Job, Why: "the lease is void"})
	}
	return m.take()
}

// again lets a job that may be repeated wait for its next attempt, or die.
func (m *Machine) again(now time.Duration, e *entry, why string) {
	e.Why = why
	if e.Attempts >= cmp.Or(e.Most, m.c.Attempts) {
		if m.over(now, e, Dead); e.Drops {
			m.over(now, e, Discarded)
		}
		return
	}
	e.Until = now + m.backoff(e)
	m.to(e, Waiting)
}

func (m *Machine) backoff(e *entry) time.Duration {
	return m.c.Backoff << min(max(e.Attempts-1, 0), 20)
}

// Tick acts on what is due: schedules, retries, leases that have run out, and jobs that have been over for long.
func (m *Machine) Tick(now time.Duration) []Effect {
	var later []moment
	for len(m.due) > 0 && m.due[0].at <= now {
		d := heap.Pop(&m.due).(moment)
		e := m.jobs[d.id]
		switch {
		case e == nil || e.State == Accepted || e.State == Ready || e.State == InDoubt:
		case e.Until > now: // renewed, or another thing is due by now
			later = append(later, moment{e.Until, d.id})
		case e.State == Leased && e.stored < e.Version: // judged once it is known what is stored
			later = append(later, moment{now + m.lease(e), d.id})
		default:
			m.fall(now, e)
		}
	}
	for _, d := range later {
		heap.Push(&m.due, d)
	}
	return m.take()
}

// fall acts on one job that is due.
func (m *Machine) fall(now time.Duration, e *entry) {
	switch e.State {
	case Scheduled, Waiting:
		m.to(e, Ready) // derived: it is not stored
	case Leased, Started:
		m.expire(now, e)
	case Done, Dead, Discarded:
		if e.stored < e.Version {
			heap.Push(&m.due, moment{now + m.c.Lease, e.ID})
			return
		}
		m.forget(e)
		m.out = append(m.out, Effect{Kind: Forget, Job: e.Job})
	}
}

// forget drops a job.
func (m *Machine) forget(e *entry) {
	delete(m.jobs, e.ID)
	m.counts[e.State]--
	if m.gaps++; m.gaps > len(m.line)/2 {
		m.line = slices.DeleteFunc(slices.Clone(m.line), func(e *entry) bool { return m.jobs[e.ID] != e })
		m.gaps = 0
	}
}

func (m *Machine) order() []string {
	ids := make([]string, 0, len(m.jobs))
	for id := range m.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// expire judges a lease that nobody renews. One that must not run twice is freed
// only where its worker honours fences and has not told of a start: then the
// next, higher fence keeps it from starting; or where its worker's till knows
// what has been run: then any worker with such a till may have it.
func (m *Machine) expire(now time.Duration, e *entry) {
	m.out = append(m.out, Effect{Kind: Lapsed, Job: e.Job})
	switch {
	case !e.Once:
		m.again(now, e, "the lease ran out")
	case e.Honours == Deduplicates:
		m.to(e, Ready)
		e.Only, e.Why = true, "the lease ran out; it is for workers whose till knows what has been run"
	case e.Honours == HonorsFences && e.State == Leased:
		m.to(e, Ready)
		e.Why = "the lease ran out; its worker honours fences"
	default:
		m.to(e, InDoubt)
		e.Why = fmt.Sprintf("the lease of worker %s ran out and the job may have run", e.Worker)
	}
	m.change(e, nil)
}

// Recover starts from what is on the disk, which each job has once. Leases go on
// for a grace time, in which workers come back with what they hold.
func (m *Machine) Recover(now time.Duration, stored []Job) []Effect {
	grace := now + m.c.Grace
	for _, j := range stored {
		e := &entry{Job: j, stored: j.Version}
		switch e.State {
		case Accepted, Scheduled, Waiting:
			if j.State == Waiting { // a clock that was set back holds nothing up
				e.Until = min(e.Until, now+m.backoff(e))
			}
			if e.State = Ready; e.Until > now {
				e.State = map[State]State{Accepted: Scheduled, Scheduled: Scheduled, Waiting: Waiting}[j.State]
			}
		case Leased, Started:
			e.Until = max(min(e.Until, now+m.lease(e)), grace)
		case Done, Discarded:
			e.Until = min(e.Until, now+m.c.Retain)
		}
		m.fence, m.seq = max(m.fence, j.Fence), max(m.seq, j.Seq)
		m.jobs[j.ID] = e
		m.line = append(m.line, e)
		m.counts[e.State]++
		m.index(e)
	}
	slices.SortFunc(m.line, func(a, b *entry) int { return cmp.Compare(a.Seq, b.Seq) })
	// Where an older copy is read, fences have been given since that it does not
	// know: they must not be given again.
	m.fence += 1 << 20
	slices.SortFunc(m.woken, func(a, b *entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return m.take()
}

// Resolve ends a job in doubt by an operator's word: it ran, or it did not and is
// to run. An error says why not.
func (m *Machine) Resolve(now time.Duration, id string, ran bool, reason string) ([]Effect, error) {
	e := m.jobs[id]
	switch {
	case e == nil:
		return nil, fmt.Errorf("no job %s", id)
	case e.State != InDoubt:
		return nil, fmt.Errorf("job %s is %s, not in doubt", id, e.State)
	case reason == "":
		return nil, fmt.Errorf("job %s: a reason is needed", id)
	}
	if e.Why = "settled: " + reason; ran {
		e.Payload = nil
		m.over(now, e, Done)
	} else {
		m.to(e, Ready)
		e.Only = false
	}
	m.change(e, nil)
	return m.take(), nil
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
func (m *Machine) Move(now time.Duration, id string, to Move, why string, force bool) ([]Effect, error) {
	e := m.jobs[id]
	switch {
	case e == nil:
		return nil, fmt.Errorf("no job %s", id)
	case e.State != Scheduled && e.State != Ready && e.State != Waiting && e.State != Dead:
		return nil, fmt.Errorf("job %s is %s: only one that waits or is dead can be moved", id, e.State)
	case e.State == Dead && e.Once && to == Requeue && !force:
		return nil, fmt.Errorf("job %s may not run twice: an operator retries it, with a reason", id)
	}
	e.Why = why
	switch to {
	case Discard:
		e.Payload = nil
		m.over(now, e, Discarded)
	case Kill:
		m.over(now, e, Dead)
	case Requeue:
		e.Attempts, e.Until = 0, now
		m.to(e, Ready)
	}
	m.change(e, nil)
	return m.take(), nil
}

// OnDisk tells whether a job is stored as it stands.
func (m *Machine) OnDisk(id string) bool {
	e := m.jobs[id]
	return e != nil && e.stored == e.Version
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
	for _, e := range m.line {
		if m.jobs[e.ID] == e {
			each(e.Job)
		}
	}
}

// Page looks at some jobs behind a place in the order in which they were taken
// on, and lists those wanted, most of them at the most. next is the place to go
// on behind; 0: there are no more.
func (m *Machine) Page(after uint64, most, look int, want func(Job) bool) (list []Job, next uint64) {
	at, _ := slices.BinarySearchFunc(m.line, after+1, func(e *entry, seq uint64) int { return cmp.Compare(e.Seq, seq) })
	for _, e := range m.line[at:] {
		if look--; look < 0 || len(list) == most {
			return list, next
		}
		next = e.Seq
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
