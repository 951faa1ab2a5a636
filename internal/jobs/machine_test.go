package jobs

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// effectNames are the names of effects in these tests.
var effectNames = map[EffectKind]string{
	StoreJob: "store", AnswerPush: "answer", DeliverJob: "deliver", GrantStart: "grant", AnswerReport: "reply",
	DeleteJob: "delete", AnnounceLeaseExpiry: "expired",
}

// The states of jobs step by step: each call and the effects that it has.
func TestScripts(t *testing.T) {
	const s = time.Second
	m := New(Config{LeaseDuration: 10 * s, RecoveryGrace: 5 * s, MaxAttempts: 2})
	show := func(effects []Effect) string {
		var out []string
		for _, effect := range effects {
			if effect.Kind == AnnounceRunnable {
				continue
			}
			reason := string(effect.Job.Reason)
			if effect.Err != nil {
				reason = effect.Err.Error()
			}
			out = append(out, strings.TrimSpace(effectNames[effect.Kind]+" "+effect.Job.ID+" "+effect.Job.State.String()+" "+reason))
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
	check("stored: both are answered", show(m.Stored(0, "r", 1)), "answer r accepted; answer r accepted")
	check("assign", show(m.Assign(0, "r", "w0", NoGuarantee)), "store r leased")
	check("its lease is stored", show(m.Stored(0, "r", 2)), "deliver r leased")
	check("nothing is due", show(m.Tick(9*s)), "")
	m.Heartbeat(9*s, "w0")
	check("renewed", show(m.Tick(15*s)), "")
	check("the lease expires, and the job may have run", show(m.Tick(20*s)), "expired r leased; store r in doubt the lease of worker w0 ran out and the job may have run")
	check("a late ack is the proof that it ran", show(m.Ack(21*s, "r", 1, nil)), "store r done")
	check("and is answered once it is stored", show(m.Stored(21*s, "r", 4)), "reply r done")
	check("a repeated ack", show(m.Ack(22*s, "r", 1, nil)), "reply r done")

	m.Push(0, Job{ID: "c"}, 0) // an idempotent one
	m.Stored(0, "c", 1)
	m.Assign(0, "c", "w1", NoGuarantee)
	m.Stored(0, "c", 2)
	check("the lease expires", show(m.Tick(30*s)), "expired c leased; store c waiting the lease ran out")
	m.Tick(32 * s)
	check("after the backoff", state("c"), "ready")
	m.Assign(32*s, "c", "w0", NoGuarantee)
	m.Stored(32*s, "c", 4)
	check("the first worker's ack is void", show(m.Ack(33*s, "c", 2, nil)), "reply c leased the lease is void")
	check("the second worker fails", show(m.Fail(33*s, "c", 3, "no card", true)), "store c dead no card")

	m.Push(0, Job{ID: "n", NonIdempotent: true}, 0)
	m.Stored(0, "n", 1)
	m.Assign(40*s, "n", "w0", NoGuarantee)
	check("its lease cannot be stored", show(m.StoreFailed("n", 2, errDiskFull))+state("n"), "ready")
	m.Assign(41*s, "n", "w0", NoGuarantee)
	m.Stored(41*s, "n", 3)
	check("never started, as its worker reports", show(m.Fail(42*s, "n", 5, "full", false)), "store n ready")
	check("a push that cannot be stored", show(m.Push(0, Job{ID: "x"}, 0))+"; "+show(m.StoreFailed("x", 1, errDiskFull)), "store x accepted; answer x accepted not kept: disk full")
	check("later", show(m.Push(50*s, Job{ID: "l"}, 60*s))+" "+show(m.Stored(50*s, "l", 1))+" "+state("l"), "store l accepted answer l accepted scheduled")
	m.Tick(60 * s)
	check("due", state("l"), "ready")

	// A crash: what was leased waits for its worker, then its lease expires.
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
	check("after it", show(m.Tick(93*s)), "expired l leased; store l in doubt the lease of worker w0 ran out and the job may have run")
	if _, err := m.Resolve(94*s, "l", true, ""); err == nil {
		t.Error("resolved without a reason")
	}
	effects, err := m.Resolve(94*s, "l", false, "the till shows nothing")
	check("resolved", fmt.Sprint(show(effects), err), "store l ready settled: the till shows nothing<nil>")
}

// A job that becomes ready is announced once, after all other effects, whatever made it so; a job that is over is kept
// for its retention and then deleted, on disk too.
func TestRunnableAndDeleted(t *testing.T) {
	const s = time.Second
	m := New(Config{LeaseDuration: 10 * s, RecoveryGrace: 5 * s, InitialBackoff: s, Retention: 100 * s})
	runnable := func(effects []Effect) (ids string) {
		for i, effect := range effects {
			if effect.Kind == AnnounceRunnable {
				ids += effect.Job.ID
			} else if i > 0 && effects[i-1].Kind == AnnounceRunnable {
				t.Errorf("%v comes after an announcement of a runnable job", effect.Kind)
			}
		}
		return ids
	}
	check := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %q announced as runnable, want %q", what, got, want)
		}
	}
	check("pushed", runnable(m.Push(0, Job{ID: "a"}, 0)), "")
	check("stored", runnable(m.Stored(0, "a", 1)), "a")
	check("leased", runnable(m.Assign(0, "a", "w", NoGuarantee)), "")
	check("its lease cannot be stored", runnable(m.StoreFailed("a", 2, errDiskFull)), "a")
	m.Assign(0, "a", "w", NoGuarantee)
	m.Stored(0, "a", 3)
	check("never started", runnable(m.Fail(s, "a", 2, "busy", false)), "a")
	m.Stored(s, "a", 4)
	m.Assign(s, "a", "w", NoGuarantee)
	m.Stored(s, "a", 5)
	m.Heartbeat(5*s, "w")
	if at, ok := m.NextDue(); !ok || at > 15*s {
		t.Errorf("due at %v", at)
	}
	check("renewed", runnable(m.Tick(14*s)), "")
	check("expired", runnable(m.Tick(15*s)), "")
	m.Stored(15*s, "a", 6)
	check("after its backoff", runnable(m.Tick(17*s)), "a")
	m.Assign(17*s, "a", "w", NoGuarantee)
	m.Stored(17*s, "a", 7)
	m.Ack(18*s, "a", 4, nil)
	m.Stored(18*s, "a", 8)
	if len(m.leasesByWorker) != 0 {
		t.Errorf("still leased: %v", m.leasesByWorker)
	}
	if m.Tick(117 * s); m.Len() != 1 {
		t.Error("deleted before its time")
	}
	effects := m.Tick(118 * s)
	if m.Len() != 0 || len(effects) != 1 || effects[0].Kind != DeleteJob {
		t.Errorf("%d jobs are kept, %v", m.Len(), effects)
	}
	// After a crash: in the order in which they were accepted.
	m = New(Config{})
	check("recovered", runnable(m.Recover(0, []Job{{ID: "z", Sequence: 1, State: Accepted, Version: 1}, {ID: "b", Sequence: 3, State: Ready, Version: 2},
		{ID: "y", Sequence: 2, State: Waiting, Version: 3}})), "zyb")
	if m.Push(0, Job{ID: "n"}, 0); m.jobs["n"].Sequence != 4 {
		t.Errorf("the next accepted job has the sequence number %d", m.jobs["n"].Sequence)
	}
}

// Moves of jobs that no worker has, the bounds that a job brings along, and a clock that was set back, which holds
// nothing up.
func TestMovesAndBounds(t *testing.T) {
	const s = time.Second
	m := New(Config{LeaseDuration: 10 * s, RecoveryGrace: 5 * s, MaxAttempts: 3, Retention: 100 * s, DeadRetention: 1000 * s})
	now := time.Duration(0)
	drain := func(effects []Effect) (err error) { // the store succeeds
		for len(effects) > 0 {
			effect := effects[0]
			effects = effects[1:]
			switch effect.Kind {
			case StoreJob:
				effects = append(effects, m.Stored(now, effect.Job.ID, effect.Job.Version)...)
			case AnswerPush, AnswerReport:
				err = effect.Err
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
	lease := func(id string, guarantee Guarantee) uint64 {
		t.Helper()
		drain(m.Assign(now, id, "w", guarantee))
		want(id, Leased)
		j, _ := m.Get(id)
		return j.Fence
	}
	drain(m.Push(now, Job{ID: "p", NonIdempotent: true, PayloadHash: 7, Payload: []byte("x")}, 0))
	if err := drain(m.Push(now, Job{ID: "p", NonIdempotent: true, PayloadHash: 8}, 0)); !errors.Is(err, ErrIDConflict) || err.Error() != "this id is another job's" {
		t.Errorf("another job's id: %v", err)
	}
	fence := lease("p", NoGuarantee)
	if move("p", Discard, true) == nil || move("nobody", Kill, true) == nil {
		t.Error("moved a job that is leased, or unknown")
	}
	drain(m.Fail(now, "p", fence, "no card", true))
	want("p", Dead)
	if move("p", Requeue, false) == nil {
		t.Error("a non-idempotent job that ran was requeued without an operator")
	}
	if err := move("p", Requeue, true); err != nil {
		t.Error(err)
	}
	want("p", Ready)
	move("p", Kill, false)
	want("p", Dead)
	move("p", Discard, false)
	want("p", Discarded)
	// A job's own bounds: one attempt, then discarded; a lease duration, by which a heartbeat renews it.
	drain(m.Push(now, Job{ID: "d", MaxAttempts: 1, DiscardWhenExhausted: true}, 0))
	drain(m.Fail(now, "d", lease("d", NoGuarantee), "no", true))
	want("d", Discarded)
	drain(m.Push(now, Job{ID: "l", LeaseDuration: 50 * s}, 0))
	fence = lease("l", NoGuarantee)
	now = 40 * s
	drain(m.Tick(now))
	want("l", Leased)
	m.Heartbeat(now, "w")
	m.Extend("l", fence, 95*s)
	m.Extend("l", fence+1, 500*s) // another's
	now = 94 * s
	drain(m.Tick(now))
	want("l", Leased)
	now = 95 * s
	drain(m.Tick(now))
	want("l", Waiting)
	// What may have run under a worker that deduplicates is ready for such workers, and for no other.
	drain(m.Push(now, Job{ID: "t", NonIdempotent: true}, 0))
	lease("t", Deduplicates)
	now = 105 * s
	drain(m.Tick(now))
	want("t", Ready)
	if m.Assign(now, "t", "w", HonorsFences) != nil {
		t.Error("leased to a worker that does not deduplicate")
	}
	lease("t", Deduplicates)
	// The clock is set back by a day while the program is down.
	var disk []Job
	m.Each(func(j Job) { disk = append(disk, j) })
	config := m.config
	now -= 24 * time.Hour
	m = New(config)
	drain(m.Recover(now, disk))
	for range 5 {
		now += 10 * s
		drain(m.Tick(now))
	}
	want("t", Ready)
	want("l", Ready)
	if newFence := lease("l", NoGuarantee); newFence <= fence+1000 { // what was read may be an older copy
		t.Errorf("the fence %d is given after %d", newFence, fence)
	}
	drain(m.Fail(now, "l", m.jobs["l"].Fence, "busy", false))
	now += 200 * s
	drain(m.Tick(now))
	if _, known := m.Get("d"); known {
		t.Error("a discarded job is kept for another day")
	}
	if n := m.Counts(); n[Ready] != 2 || m.Len() != 2 {
		t.Errorf("counted %v of %d", n, m.Len())
	}
}
