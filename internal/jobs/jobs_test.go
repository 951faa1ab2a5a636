package jobs

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// An exhaustive explorer: two workers, two jobs that must not run twice, a disk
// that takes its time, messages that are lost or late, leases that run out, and
// crashes with and without what the disk had not confirmed. Every interleaving
// to a depth is tried; states met before with as many steps left are not tried again.

var errDiskFull = errors.New("disk full")

type message struct {
	kind   string // hand, begin, grant, ack
	worker int
	id     string
	fence  uint64
}

type world struct {
	m        *Machine
	disk     map[string]Job
	pending  []Job
	air      []message
	held     [2]map[string]uint64 // by worker: jobs that it was handed and has not run yet, with their fences
	ran      map[string]int
	blind    map[string]bool // run by a worker whose till knows nothing
	answered map[string]bool
	now      time.Duration
	crashes  int
	expiries int
	losses   int
	ids      []string
}

var promise = [2]Guarantee{HonorsFences, HonorsFences}

func (w *world) clone() *world {
	c := *w
	mm := *w.m
	mm.jobs = map[string]*entry{}
	for id, e := range w.m.jobs {
		x := *e
		x.afterStore = slices.Clone(e.afterStore)
		mm.jobs[id] = &x
	}
	mm.dueQueue, mm.leasesByWorker = nil, map[string]map[string]*entry{}
	for _, id := range mm.sortedIDs() {
		mm.index(mm.jobs[id])
	}
	mm.effects, mm.becameReady, mm.inOrder = nil, nil, nil // the explorer lists nothing
	c.m = &mm
	c.disk, c.ran, c.answered, c.blind = maps.Clone(w.disk), maps.Clone(w.ran), maps.Clone(w.answered), maps.Clone(w.blind)
	c.pending, c.air = slices.Clone(w.pending), slices.Clone(w.air)
	for i := range c.held {
		c.held[i] = maps.Clone(w.held[i])
	}
	return &c
}

// key tells states apart.
func (w *world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.now, w.crashes, w.expiries, w.losses, w.m.lastFence)
	for _, id := range w.m.sortedIDs() {
		e := w.m.jobs[id]
		fmt.Fprint(&b, e.Job, e.storedVersion, len(e.afterStore))
	}
	air := slices.Clone(w.air)
	slices.SortFunc(air, func(a, b message) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	fmt.Fprint(&b, w.disk, w.pending, air, w.held, w.ran, w.answered)
	return b.String()
}

func (w *world) do(effects []Effect) {
	for _, e := range effects {
		worker := 0
		if e.Job.Worker == "w1" {
			worker = 1
		}
		switch e.Kind {
		case StoreJob:
			w.pending = append(w.pending, e.Job)
		case AnswerPush:
			w.answered[e.Job.ID] = w.answered[e.Job.ID] || e.Err == nil
		case DeliverJob:
			w.air = append(w.air, message{"hand", worker, e.Job.ID, e.Job.Fence})
		case GrantStart:
			w.air = append(w.air, message{"grant", worker, e.Job.ID, e.Job.Fence})
		}
	}
}

func (w *world) deliver(m message) {
	switch m.kind {
	case "hand":
		if promise[m.worker] == HonorsFences {
			w.air = append(w.air, message{"begin", m.worker, m.id, m.fence})
		} else {
			w.held[m.worker][m.id] = m.fence
		}
	case "grant":
		w.held[m.worker][m.id] = m.fence
	case "begin":
		effects, err := w.m.Start(w.now, m.id, m.fence)
		if w.do(effects); err == nil && w.m.config.ignoreFences && len(effects) == 0 {
			w.air = append(w.air, message{"grant", m.worker, m.id, m.fence})
		} else if err == nil && w.m.config.ignoreFences { // a grant goes to who asked
			for i := range w.air {
				if w.air[i].kind == "grant" && w.air[i].id == m.id {
					w.air[i].worker = m.worker
				}
			}
		}
	case "ack":
		w.do(w.m.Ack(w.now, m.id, m.fence, nil))
	}
}

// steps are all that may happen next.
func (w *world) steps() (out []func(*world)) {
	for _, id := range w.ids {
		if _, known := w.m.Get(id); !known && w.crashes == 2 || !known && !w.answered[id] {
			out = append(out, func(w *world) { w.do(w.m.Push(w.now, Job{ID: id, NonIdempotent: true}, 0)) })
		}
	}
	if len(w.pending) > 0 {
		out = append(out, func(w *world) {
			j := w.pending[0]
			w.pending = w.pending[1:]
			w.disk[j.ID] = j
			w.do(w.m.Stored(w.now, j.ID, j.Version))
		})
	}
	for _, id := range w.m.Ready() {
		for worker := range 2 {
			out = append(out, func(w *world) { w.do(w.m.Assign(w.now, id, fmt.Sprint("w", worker), promise[worker])) })
		}
	}
	for i, m := range w.air {
		out = append(out, func(w *world) {
			w.air = slices.Delete(slices.Clone(w.air), i, i+1)
			w.deliver(m)
		})
		if w.losses > 0 {
			out = append(out, func(w *world) {
				w.losses--
				w.air = slices.Delete(slices.Clone(w.air), i, i+1)
			})
		}
	}
	for worker := range w.held {
		for _, id := range slices.Sorted(maps.Keys(w.held[worker])) {
			out = append(out, func(w *world) {
				fence := w.held[worker][id]
				delete(w.held[worker], id)
				if promise[worker] != Deduplicates || w.ran[id] == 0 || w.blind[id] { // else the till says that it has been run
					w.ran[id]++
					w.blind[id] = promise[worker] != Deduplicates
				}
				w.air = append(w.air, message{"ack", worker, id, fence})
			})
		}
	}
	if w.expiries > 0 {
		out = append(out, func(w *world) {
			w.expiries--
			w.now += w.m.config.LeaseDuration + w.m.config.RecoveryGrace + 1
			w.do(w.m.Tick(w.now))
		})
	}
	if w.crashes > 0 {
		for _, kept := range []bool{false, true} {
			out = append(out, func(w *world) {
				w.crashes--
				if kept { // the writes were whole, but nobody had heard
					for _, j := range w.pending {
						w.disk[j.ID] = j
					}
				}
				w.pending, w.air = nil, slices.DeleteFunc(slices.Clone(w.air), func(m message) bool { return m.kind == "begin" || m.kind == "ack" })
				c := w.m.config
				w.m = New(c)
				w.m.config.ignoreFences = c.ignoreFences
				w.m.Recover(w.now, slices.Collect(maps.Values(w.disk)))
			})
		}
	}
	return out
}

// wrong is the rule that a state breaks; empty: none.
func (w *world) wrong() string {
	for id, n := range w.ran {
		if n > 1 {
			return fmt.Sprintf("job %s ran %d times", id, n)
		}
	}
	for id := range w.answered {
		if _, known := w.m.Get(id); w.answered[id] && !known {
			return fmt.Sprintf("job %s was taken on and is lost", id)
		}
	}
	for _, e := range w.m.jobs {
		if e.State == Done && w.ran[e.ID] == 0 {
			return fmt.Sprintf("job %s is done and never ran", e.ID)
		}
		if e.State == InDoubt && promise[0] == Deduplicates && promise[1] == Deduplicates {
			return fmt.Sprintf("job %s is in doubt, though tills know", e.ID)
		}
		if e.State == InDoubt && promise[0] == HonorsFences && promise[1] == HonorsFences && e.storedVersion > 0 && !strings.Contains(string(e.Reason), "may have run") {
			return fmt.Sprintf("job %s is in doubt without a reason", e.ID)
		}
	}
	return ""
}

func explore(w *world, depth int) (visited int, bad string) {
	seen := map[string]int{}
	var walk func(w *world, left int) string
	walk = func(w *world, left int) string {
		key := w.key()
		if was, ok := seen[key]; ok && was >= left {
			return ""
		}
		seen[key] = left
		if why := w.wrong(); why != "" {
			return why
		}
		if left == 0 {
			return ""
		}
		for _, step := range w.steps() {
			next := w.clone()
			step(next)
			if why := walk(next, left-1); why != "" {
				return why
			}
		}
		return ""
	}
	bad = walk(w, depth)
	return len(seen), bad
}

func newWorld(c Config) *world {
	return &world{m: New(c), disk: map[string]Job{}, held: [2]map[string]uint64{{}, {}}, ran: map[string]int{}, blind: map[string]bool{}, answered: map[string]bool{},
		crashes: 1, expiries: 2, losses: 1, ids: []string{"a", "b"}}
}

// No interleaving runs a job twice or loses one, with workers that honour fences
// and with ones that do not; with fences not looked at, one is found.
func TestExplore(t *testing.T) {
	defer func() { promise = [2]Guarantee{HonorsFences, HonorsFences} }()
	for _, f := range [][2]Guarantee{{HonorsFences, HonorsFences}, {NoGuarantee, NoGuarantee}, {HonorsFences, NoGuarantee}, {Deduplicates, Deduplicates}, {Deduplicates, HonorsFences}, {Deduplicates, NoGuarantee}} {
		promise = f
		depth := 10
		if f[0] != f[1] {
			depth = 9
		}
		visited, bad := explore(newWorld(Config{}), depth)
		if bad != "" {
			t.Errorf("workers that promise %v: %s", f, bad)
		}
		t.Logf("workers that promise %v: %d states to depth %d", f, visited, depth)
		if visited < 1000 {
			t.Error("too few states to tell anything")
		}
	}
	// From a lease that has been handed out on, one job, deeper: a late start
	// against the next lease. With fences not looked at it is found.
	for _, test := range []struct {
		promise [2]Guarantee
		broken  bool
	}{{[2]Guarantee{HonorsFences, HonorsFences}, false}, {[2]Guarantee{HonorsFences, HonorsFences}, true}, {[2]Guarantee{NoGuarantee, Deduplicates}, false}, {[2]Guarantee{Deduplicates, NoGuarantee}, false},
		{[2]Guarantee{Deduplicates, Deduplicates}, false}, {[2]Guarantee{HonorsFences, Deduplicates}, false}, {[2]Guarantee{Deduplicates, HonorsFences}, false}} {
		promise = test.promise
		w := newWorld(Config{ignoreFences: test.broken})
		w.ids, w.expiries, w.losses = []string{"a"}, 1, 0
		w.do(w.m.Push(0, Job{ID: "a", NonIdempotent: true}, 0))
		write := func() {
			j := w.pending[0]
			w.pending = nil
			w.disk[j.ID] = j
			w.do(w.m.Stored(0, j.ID, j.Version))
		}
		write()
		w.do(w.m.Assign(0, "a", "w0", promise[0]))
		write()
		hand := w.air[0]
		w.air = nil
		w.deliver(hand)
		if test.broken {
			w.crashes = 0
		}
		visited, bad := explore(w, 13)
		t.Logf("from a lease on, workers that promise %v, fences looked at %v: %d states to depth 13, %q", promise, !test.broken, visited, bad)
		if test.broken != strings.Contains(bad, "ran 2 times") || !test.broken && bad != "" {
			t.Errorf("workers that promise %v, fences looked at %v: %q", promise, !test.broken, bad)
		}
	}
}

// script carries out lines of "verb args" and shows what came of it.
func TestScripts(t *testing.T) {
	const s = time.Second
	m := New(Config{LeaseDuration: 10 * s, RecoveryGrace: 5 * s, MaxAttempts: 2})
	show := func(effects []Effect) string {
		var out []string
		for _, e := range effects {
			if e.Kind == AnnounceRunnable {
				continue
			}
			reason := string(e.Job.Reason)
			if e.Err != nil {
				reason = e.Err.Error()
			}
			out = append(out, strings.TrimSpace([...]string{"store", "answer", "hand", "grant", "reply", "", "forget", "lapsed"}[e.Kind]+" "+e.Job.ID+" "+e.Job.State.String()+" "+reason))
		}
		return strings.Join(out, "; ")
	}
	state := func(id string) string { j, _ := m.Get(id); return j.State.String() }
	check := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %q, want %q", what, got, want)
		}
	}
	check("push", show(m.Push(0, Job{ID: "r", NonIdempotent: true}, 0)), "store r accepted")
	check("pushed again before it is stored", show(m.Push(0, Job{ID: "r", NonIdempotent: true}, 0)), "")
	check("stored: both hear", show(m.Stored(0, "r", 1)), "answer r accepted; answer r accepted")
	check("assign", show(m.Assign(0, "r", "w0", NoGuarantee)), "store r leased")
	check("its lease is stored", show(m.Stored(0, "r", 2)), "hand r leased")
	check("nothing is due", show(m.Tick(9*s)), "")
	m.Heartbeat(9*s, "w0")
	check("renewed", show(m.Tick(15*s)), "")
	check("it runs out, and may have run", show(m.Tick(20*s)), "lapsed r leased; store r in doubt the lease of worker w0 ran out and the job may have run")
	check("a late ACK is the proof", show(m.Ack(21*s, "r", 1, nil)), "store r done")
	check("and is answered once stored", show(m.Stored(21*s, "r", 4)), "reply r done")
	check("said again", show(m.Ack(22*s, "r", 1, nil)), "reply r done")

	m.Push(0, Job{ID: "c"}, 0) // one that may be repeated
	m.Stored(0, "c", 1)
	m.Assign(0, "c", "w1", NoGuarantee)
	m.Stored(0, "c", 2)
	check("it runs out", show(m.Tick(30*s)), "lapsed c leased; store c waiting the lease ran out")
	m.Tick(32 * s)
	check("after the backoff", state("c"), "ready")
	m.Assign(32*s, "c", "w0", NoGuarantee)
	m.Stored(32*s, "c", 4)
	check("the first one's ACK is void", show(m.Ack(33*s, "c", 2, nil)), "reply c leased the lease is void")
	check("the second fails", show(m.Fail(33*s, "c", 3, "no card", true)), "store c dead no card")

	m.Push(0, Job{ID: "n", NonIdempotent: true}, 0)
	m.Stored(0, "n", 1)
	m.Assign(40*s, "n", "w0", NoGuarantee)
	check("its lease cannot be stored", show(m.StoreFailed("n", 2, errDiskFull))+state("n"), "ready")
	m.Assign(41*s, "n", "w0", NoGuarantee)
	m.Stored(41*s, "n", 3)
	check("never started, by its worker's word", show(m.Fail(42*s, "n", 5, "full", false)), "store n ready")
	check("a push that cannot be stored", show(m.Push(0, Job{ID: "x"}, 0))+"; "+show(m.StoreFailed("x", 1, errDiskFull)), "store x accepted; answer x accepted not kept: disk full")
	check("later", show(m.Push(50*s, Job{ID: "l"}, 60*s))+" "+show(m.Stored(50*s, "l", 1))+" "+state("l"), "store l accepted answer l accepted scheduled")
	m.Tick(60 * s)
	check("due", state("l"), "ready")

	// A crash: what was leased waits for its worker, then is judged.
	m.Assign(61*s, "l", "w0", NoGuarantee)
	m.Stored(61*s, "l", 2)
	disk := []Job{}
	for _, id := range []string{"r", "c", "l"} {
		j, _ := m.Get(id)
		disk = append(disk, j)
	}
	disk[2].NonIdempotent = true
	m = New(Config{LeaseDuration: 10 * s, RecoveryGrace: 30 * s})
	m.Recover(62*s, disk)
	check("done stays done", state("r")+" "+state("c")+" "+state("l"), "done dead leased")
	check("in the grace time", show(m.Tick(90*s)), "")
	check("after it", show(m.Tick(93*s)), "lapsed l leased; store l in doubt the lease of worker w0 ran out and the job may have run")
	if _, err := m.Resolve(94*s, "l", true, ""); err == nil {
		t.Error("settled without a reason")
	}
	effects, err := m.Resolve(94*s, "l", false, "the till shows nothing")
	check("settled", fmt.Sprint(show(effects), err), "store l ready settled: the till shows nothing<nil>")
}

// A job that may be handed out is told once, last of its moment, whatever made it so; one that is over is kept
// for its time and then forgotten, on the disk too.
func TestRunnableAndForgotten(t *testing.T) {
	const s = time.Second
	m := New(Config{LeaseDuration: 10 * s, RecoveryGrace: 5 * s, InitialBackoff: s, Retention: 100 * s})
	told := func(effects []Effect) (ids string) {
		for i, e := range effects {
			if e.Kind == AnnounceRunnable {
				ids += e.Job.ID
			} else if i > 0 && effects[i-1].Kind == AnnounceRunnable {
				t.Errorf("%v comes after a job that may be handed out", e.Kind)
			}
		}
		return ids
	}
	check := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %q may be handed out, want %q", what, got, want)
		}
	}
	check("pushed", told(m.Push(0, Job{ID: "a"}, 0)), "")
	check("stored", told(m.Stored(0, "a", 1)), "a")
	check("leased", told(m.Assign(0, "a", "w", NoGuarantee)), "")
	check("its lease cannot be stored", told(m.StoreFailed("a", 2, errDiskFull)), "a")
	m.Assign(0, "a", "w", NoGuarantee)
	m.Stored(0, "a", 3)
	check("never started", told(m.Fail(s, "a", 2, "busy", false)), "a")
	m.Stored(s, "a", 4)
	m.Assign(s, "a", "w", NoGuarantee)
	m.Stored(s, "a", 5)
	m.Heartbeat(5*s, "w")
	if at, ok := m.NextDue(); !ok || at > 15*s {
		t.Errorf("due at %v", at)
	}
	check("renewed", told(m.Tick(14*s)), "")
	check("run out", told(m.Tick(15*s)), "")
	m.Stored(15*s, "a", 6)
	check("after its backoff", told(m.Tick(17*s)), "a")
	m.Assign(17*s, "a", "w", NoGuarantee)
	m.Stored(17*s, "a", 7)
	m.Ack(18*s, "a", 4, nil)
	m.Stored(18*s, "a", 8)
	if len(m.leasesByWorker) != 0 {
		t.Errorf("still held: %v", m.leasesByWorker)
	}
	if m.Tick(117 * s); m.Len() != 1 {
		t.Error("forgotten before its time")
	}
	effects := m.Tick(118 * s)
	if m.Len() != 0 || len(effects) != 1 || effects[0].Kind != DeleteJob {
		t.Errorf("%d jobs are kept, %v", m.Len(), effects)
	}
	// After a crash: in the order in which they were taken on.
	m = New(Config{})
	check("recovered", told(m.Recover(0, []Job{{ID: "z", Sequence: 1, State: Accepted, Version: 1}, {ID: "b", Sequence: 3, State: Ready, Version: 2},
		{ID: "y", Sequence: 2, State: Waiting, Version: 3}})), "zyb")
	if m.Push(0, Job{ID: "n"}, 0); m.jobs["n"].Sequence != 4 {
		t.Errorf("the next one taken on is number %d", m.jobs["n"].Sequence)
	}
}

// What is asked of jobs that nobody has, what a job says of its own bounds, and
// what a clock that was set back does not hold up.
func TestMovesAndBounds(t *testing.T) {
	const s = time.Second
	m := New(Config{LeaseDuration: 10 * s, RecoveryGrace: 5 * s, MaxAttempts: 3, Retention: 100 * s, DeadRetention: 1000 * s})
	now := time.Duration(0)
	drain := func(effects []Effect) (err error) { // the disk takes all
		for len(effects) > 0 {
			e := effects[0]
			effects = effects[1:]
			switch e.Kind {
			case StoreJob:
				effects = append(effects, m.Stored(now, e.Job.ID, e.Job.Version)...)
			case AnswerPush, AnswerReport:
				err = e.Err
			}
		}
		return err
	}
	want := func(id string, s State) {
		t.Helper()
		if j, known := m.Get(id); !known || j.State != s {
			t.Fatalf("%s is %s, want %s", id, j.State, s)
		}
	}
	move := func(id string, to Move, force bool) error {
		effects, err := m.Move(now, id, to, "asked", force)
		drain(effects)
		return err
	}
	run := func(id string, h Guarantee) uint64 {
		t.Helper()
		drain(m.Assign(now, id, "w", h))
		want(id, Leased)
		j, _ := m.Get(id)
		return j.Fence
	}
	drain(m.Push(now, Job{ID: "p", NonIdempotent: true, PayloadHash: 7, Payload: []byte("x")}, 0))
	if err := drain(m.Push(now, Job{ID: "p", NonIdempotent: true, PayloadHash: 8}, 0)); !errors.Is(err, ErrIDConflict) || err.Error() != "this id is another job's" {
		t.Errorf("another job's id: %v", err)
	}
	f := run("p", NoGuarantee)
	if move("p", Discard, true) == nil || move("nobody", Kill, true) == nil {
		t.Error("moved what is leased, or not there")
	}
	drain(m.Fail(now, "p", f, "no card", true))
	want("p", Dead)
	if move("p", Requeue, false) == nil {
		t.Error("a job that ran and must not twice was requeued by nobody in charge")
	}
	if err := move("p", Requeue, true); err != nil {
		t.Error(err)
	}
	want("p", Ready)
	move("p", Kill, false)
	want("p", Dead)
	move("p", Discard, false)
	want("p", Discarded)
	// Its own bounds: one attempt, dropped; a lease of its own, which a Beat renews by its own span.
	drain(m.Push(now, Job{ID: "d", MaxAttempts: 1, DiscardWhenExhausted: true}, 0))
	drain(m.Fail(now, "d", run("d", NoGuarantee), "no", true))
	want("d", Discarded)
	drain(m.Push(now, Job{ID: "l", LeaseDuration: 50 * s}, 0))
	f = run("l", NoGuarantee)
	now = 40 * s
	drain(m.Tick(now))
	want("l", Leased)
	m.Heartbeat(now, "w")
	m.Extend("l", f, 95*s)
	m.Extend("l", f+1, 500*s) // another's
	now = 94 * s
	drain(m.Tick(now))
	want("l", Leased)
	now = 95 * s
	drain(m.Tick(now))
	want("l", Waiting)
	// A till that knows: what may have run is free for such tills, and for no other.
	drain(m.Push(now, Job{ID: "t", NonIdempotent: true}, 0))
	run("t", Deduplicates)
	now = 105 * s
	drain(m.Tick(now))
	want("t", Ready)
	if m.Assign(now, "t", "w", HonorsFences) != nil {
		t.Error("handed to a till that does not know what has been run")
	}
	run("t", Deduplicates)
	// The clock was set back by a day while the program was down.
	var disk []Job
	m.Each(func(j Job) { disk = append(disk, j) })
	c := m.config
	now -= 24 * time.Hour
	m = New(c)
	drain(m.Recover(now, disk))
	for range 5 {
		now += 10 * s
		drain(m.Tick(now))
	}
	want("t", Ready)
	want("l", Ready)
	if g := run("l", NoGuarantee); g <= f+1000 { // what was read may be an older copy
		t.Errorf("the fence %d is given after %d", g, f)
	}
	drain(m.Fail(now, "l", m.jobs["l"].Fence, "busy", false))
	now += 200 * s
	drain(m.Tick(now))
	if _, known := m.Get("d"); known {
		t.Error("a job that is over is kept for another day")
	}
	if n := m.Counts(); n[Ready] != 2 || m.Len() != 2 {
		t.Errorf("counted %v of %d", n, m.Len())
	}
}
