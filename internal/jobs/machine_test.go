package jobs

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// A non-idempotent job is in doubt after its lease has expired. A late ack of its worker proves that it ran.
func TestNonIdempotentJobWhoseLeaseExpires(t *testing.T) {
	s := newEffectChecker(t)
	m := s.machine
	s.expectEffects("push", m.Push(0, Job{ID: "r", NonIdempotent: true}, 0), "store r accepted")
	s.expectEffects("pushed again before it is stored", m.Push(0, Job{ID: "r", NonIdempotent: true}, 0), "")
	s.expectEffects("stored: both are answered", m.Stored(0, "r", 1), "answer r accepted; answer r accepted")
	s.expectEffects("assign", m.Assign(0, "r", "w0", NoGuarantee), "store r leased")
	s.expectEffects("its lease is stored", m.Stored(0, "r", 2), "deliver r leased")
	s.expectEffects("nothing is due", m.Tick(9*time.Second), "")
	m.Heartbeat(9*time.Second, "w0")
	s.expectEffects("the heartbeat has renewed the lease", m.Tick(15*time.Second), "")
	s.expectEffects("the lease expires, and the job may have run", m.Tick(20*time.Second),
		"expired r leased; store r in doubt the lease of worker w0 ran out and the job may have run")
	s.expectEffects("a late ack proves that it ran", m.Ack(21*time.Second, "r", 1, nil), "store r done")
	s.expectEffects("the ack is answered once the job is stored", m.Stored(21*time.Second, "r", 4), "reply r done")
	s.expectEffects("a repeated ack", m.Ack(22*time.Second, "r", 1, nil), "reply r done")
}

// An idempotent job whose lease expires runs again, and the first worker's ack is rejected.
func TestIdempotentJobWhoseLeaseExpires(t *testing.T) {
	s := newEffectChecker(t)
	m := s.machine
	m.Push(0, Job{ID: "c"}, 0)
	m.Stored(0, "c", 1)
	first := s.leaseAndStore(0, "c", "w1")
	s.expectEffects("the lease expires", m.Tick(30*time.Second), "expired c leased; store c waiting the lease ran out")
	m.Tick(32 * time.Second)
	s.expectEqual("after the backoff", s.stateName("c"), "ready")
	second := s.leaseAndStore(32*time.Second, "c", "w0")
	s.expectEffects("the first worker's ack is void", m.Ack(33*time.Second, "c", first, nil), "reply c leased the lease is void")
	s.expectEffects("the second worker fails", m.Fail(33*time.Second, "c", second, "no card", true), "store c dead no card")
}

// A lease that cannot be stored is released, and a push that cannot be stored is rejected.
func TestStoreFails(t *testing.T) {
	s := newEffectChecker(t)
	m := s.machine
	m.Push(0, Job{ID: "n", NonIdempotent: true}, 0)
	m.Stored(0, "n", 1)
	m.Assign(40*time.Second, "n", "w0", NoGuarantee)
	s.expectEffects("its lease cannot be stored", m.StoreFailed("n", 2, errDiskFull), "")
	s.expectEqual("the lease is released", s.stateName("n"), "ready")
	fence := s.leaseAndStore(41*time.Second, "n", "w0")
	s.expectEqual("the fence of the failed lease is not assigned again", fmt.Sprint(fence), "2")
	s.expectEffects("its worker reports that it was not started", m.Fail(42*time.Second, "n", fence, "full", false), "store n ready")
	s.expectEffects("a push", m.Push(0, Job{ID: "x"}, 0), "store x accepted")
	s.expectEffects("the push cannot be stored", m.StoreFailed("x", 1, errDiskFull), "answer x accepted not kept: disk full")
}

// A job that is scheduled for a later time becomes ready at that time.
func TestScheduledJob(t *testing.T) {
	s := newEffectChecker(t)
	m := s.machine
	s.expectEffects("push for a later time", m.Push(50*time.Second, Job{ID: "l"}, 60*time.Second), "store l accepted")
	s.expectEffects("stored", m.Stored(50*time.Second, "l", 1), "answer l accepted")
	s.expectEqual("before its time", s.stateName("l"), "scheduled")
	m.Tick(60 * time.Second)
	s.expectEqual("due", s.stateName("l"), "ready")
}

// A leased non-idempotent job that is recovered after a crash stays leased for the grace time, so that its worker can
// report it. After that it is in doubt until an operator resolves it.
func TestRecoveredLeaseExpires(t *testing.T) {
	s := newEffectChecker(t)
	s.machine = New(Config{LeaseDuration: 10 * time.Second, RecoveryGrace: 30 * time.Second})
	m := s.machine
	m.Recover(62*time.Second, []Job{
		{ID: "r", State: Done, NonIdempotent: true, Version: 4, Fence: 1, Worker: "w0", DueAt: 24 * time.Hour, Sequence: 1},
		{ID: "c", State: Dead, Version: 5, Fence: 3, Worker: "w0", DueAt: 24 * time.Hour, Sequence: 2},
		{ID: "l", State: Leased, NonIdempotent: true, Version: 2, Fence: 6, Worker: "w0", DueAt: 71 * time.Second, Attempts: 1, Sequence: 3},
	})
	s.expectEqual("done stays done", s.stateName("r"), "done")
	s.expectEqual("dead stays dead", s.stateName("c"), "dead")
	s.expectEqual("leased stays leased", s.stateName("l"), "leased")
	s.expectEffects("in the grace time", m.Tick(90*time.Second), "")
	s.expectEffects("after the grace time", m.Tick(93*time.Second),
		"expired l leased; store l in doubt the lease of worker w0 ran out and the job may have run")
	if _, err := m.Resolve(94*time.Second, "l", true, ""); err == nil {
		t.Error("resolved without a reason")
	}
	effects, err := m.Resolve(94*time.Second, "l", false, "nothing was charged")
	s.expectEffects("resolved", effects, "store l ready settled: nothing was charged")
	s.expectEqual("the error of Resolve", fmt.Sprint(err), "<nil>")
}

// Jobs that are done, dead or leased have the same state in a machine that recovers them.
func TestRecoverPreservesStates(t *testing.T) {
	s := newEffectChecker(t)
	m := s.machine
	for _, id := range []string{"done", "dead", "leased"} {
		m.Push(0, Job{ID: id, NonIdempotent: true}, 0)
		m.Stored(0, id, 1)
		fence := s.leaseAndStore(time.Second, id, "w0")
		switch id {
		case "done":
			s.expectEffects("acknowledged", m.Ack(2*time.Second, id, fence, nil), "store done done")
		case "dead":
			s.expectEffects("failed", m.Fail(2*time.Second, id, fence, "no card", true), "store dead dead no card")
		}
	}
	var held []Job
	for _, id := range []string{"done", "dead", "leased"} {
		job, known := m.Get(id)
		if !known {
			t.Fatalf("the machine does not hold %s", id)
		}
		held = append(held, job)
	}
	s.machine = New(Config{LeaseDuration: 10 * time.Second, RecoveryGrace: 30 * time.Second})
	s.machine.Recover(3*time.Second, held)
	for _, id := range []string{"done", "dead", "leased"} {
		s.expectEqual("recovered", s.stateName(id), id)
	}
}

// runnableIDs returns the ids of the jobs that are announced as runnable, and checks that these announcements come
// after all other effects.
func runnableIDs(t *testing.T, effects []Effect) (ids string) {
	t.Helper()
	for i, effect := range effects {
		if effect.Kind == AnnounceRunnable {
			ids += effect.Job.ID
		} else if i > 0 && effects[i-1].Kind == AnnounceRunnable {
			t.Errorf("%v comes after an announcement of a runnable job", effect.Kind)
		}
	}
	return ids
}

// expectRunnable checks which jobs effects announce as runnable.
func expectRunnable(t *testing.T, step string, effects []Effect, want string) {
	t.Helper()
	if got := runnableIDs(t, effects); got != want {
		t.Errorf("%s: %q announced as runnable, want %q", step, got, want)
	}
}

// A job that becomes ready is announced as runnable once, after all other effects, whatever made it ready. A finished
// job is kept for its retention and then deleted, also on disk.
func TestRunnableAndDeleted(t *testing.T) {
	m := New(Config{LeaseDuration: 10 * time.Second, RecoveryGrace: 5 * time.Second, InitialBackoff: time.Second, Retention: 100 * time.Second})
	expectRunnable(t, "pushed", m.Push(0, Job{ID: "a"}, 0), "")
	expectRunnable(t, "stored", m.Stored(0, "a", 1), "a")
	expectRunnable(t, "leased", m.Assign(0, "a", "w", NoGuarantee), "")
	expectRunnable(t, "its lease cannot be stored", m.StoreFailed("a", 2, errDiskFull), "a")
	m.Assign(0, "a", "w", NoGuarantee)
	m.Stored(0, "a", 3)
	expectRunnable(t, "never started", m.Fail(time.Second, "a", 2, "busy", false), "a")
	m.Stored(time.Second, "a", 4)
	m.Assign(time.Second, "a", "w", NoGuarantee)
	m.Stored(time.Second, "a", 5)
	m.Heartbeat(5*time.Second, "w")
	if due, ok := m.NextDue(); !ok || due > 15*time.Second {
		t.Errorf("due at %v, %v", due, ok)
	}
	expectRunnable(t, "the heartbeat has renewed the lease", m.Tick(14*time.Second), "")
	expectRunnable(t, "expired", m.Tick(15*time.Second), "")
	m.Stored(15*time.Second, "a", 6)
	expectRunnable(t, "after its backoff", m.Tick(17*time.Second), "a")
	m.Assign(17*time.Second, "a", "w", NoGuarantee)
	m.Stored(17*time.Second, "a", 7)
	m.Ack(18*time.Second, "a", 4, nil)
	m.Stored(18*time.Second, "a", 8)
	if len(m.leasesByWorker) != 0 {
		t.Errorf("still leased: %v", m.leasesByWorker)
	}
	if m.Tick(117 * time.Second); m.Len() != 1 {
		t.Error("deleted before its time")
	}
	effects := m.Tick(118 * time.Second)
	if m.Len() != 0 || len(effects) != 1 || effects[0].Kind != DeleteJob {
		t.Errorf("%d jobs are kept, %v", m.Len(), effects)
	}
}

// After a crash jobs are announced in the order in which they were accepted, and new ones are numbered after them.
func TestRecoveredInOrder(t *testing.T) {
	m := New(Config{})
	expectRunnable(t, "recovered", m.Recover(0, []Job{
		{ID: "z", Sequence: 1, State: Accepted, Version: 1},
		{ID: "b", Sequence: 3, State: Ready, Version: 2},
		{ID: "y", Sequence: 2, State: Waiting, Version: 3},
	}), "zyb")
	m.Push(0, Job{ID: "n"}, 0)
	if sequence := m.jobs["n"].Sequence; sequence != 4 {
		t.Errorf("the next accepted job has the sequence number %d, want 4", sequence)
	}
}

// Jobs that no worker holds can be moved; only an operator may requeue a dead non-idempotent job.
func TestMoves(t *testing.T) {
	m := newMachineWithStore(t)
	m.push(Job{ID: "p", NonIdempotent: true, PayloadHash: 7, Payload: []byte("x")})
	err := m.push(Job{ID: "p", NonIdempotent: true, PayloadHash: 8})
	if !errors.Is(err, ErrIDConflict) || err.Error() != "this id is another job's" {
		t.Errorf("another job's id: %v", err)
	}
	fence := m.lease("p", NoGuarantee)
	if m.move("p", Discard, true) == nil || m.move("nobody", Kill, true) == nil {
		t.Error("moved a job that is leased, or unknown")
	}
	m.fail("p", fence, "no card", true)
	m.expectState("p", Dead)
	if m.move("p", Requeue, false) == nil {
		t.Error("a non-idempotent job that ran was requeued without an operator")
	}
	if err := m.move("p", Requeue, true); err != nil {
		t.Error(err)
	}
	m.expectState("p", Ready)
	m.move("p", Kill, false)
	m.expectState("p", Dead)
	m.move("p", Discard, false)
	m.expectState("p", Discarded)
}

// A job's own MaxAttempts overrides Config.MaxAttempts: after the last attempt it is discarded.
func TestMaxAttemptsOfJob(t *testing.T) {
	m := newMachineWithStore(t)
	m.push(Job{ID: "d", MaxAttempts: 1, DiscardWhenExhausted: true})
	m.fail("d", m.lease("d", NoGuarantee), "no", true)
	m.expectState("d", Discarded)
}

// A job's own lease duration overrides Config.LeaseDuration, also when a heartbeat renews the lease.
func TestLeaseDurationOfJob(t *testing.T) {
	m := newMachineWithStore(t)
	m.push(Job{ID: "l", LeaseDuration: 50 * time.Second})
	fence := m.lease("l", NoGuarantee)
	m.tickAt(40 * time.Second)
	m.expectState("l", Leased)
	m.Heartbeat(m.now, "w")
	m.Extend("l", fence, 95*time.Second)
	m.Extend("l", fence+1, 500*time.Second) // under a fence that is not its own
	m.tickAt(94 * time.Second)
	m.expectState("l", Leased)
	m.tickAt(95 * time.Second)
	m.expectState("l", Waiting)
}

// A non-idempotent job whose lease expires at a worker that deduplicates is ready again, but only for such workers.
func TestLeaseOfDeduplicatingWorkerExpires(t *testing.T) {
	m := newMachineWithStore(t)
	m.push(Job{ID: "t", NonIdempotent: true})
	m.lease("t", Deduplicates)
	m.tickAt(10 * time.Second)
	m.expectState("t", Ready)
	if m.Assign(m.now, "t", "w", HonorsFences) != nil {
		t.Error("leased to a worker that does not deduplicate")
	}
	m.lease("t", Deduplicates)
}

// The clock is set back by a day while the program is down: leases, retries and retentions do not end a day late, and
// new fences are still higher than old ones.
func TestClockSetBack(t *testing.T) {
	m := newMachineWithStore(t)
	m.now = 95 * time.Second
	m.push(Job{ID: "p", NonIdempotent: true})
	m.move("p", Discard, false)
	m.push(Job{ID: "d", MaxAttempts: 1, DiscardWhenExhausted: true})
	m.fail("d", m.lease("d", NoGuarantee), "no", true)
	m.push(Job{ID: "l", LeaseDuration: 50 * time.Second})
	fence := m.lease("l", NoGuarantee)
	m.fail("l", fence, "no", true)
	m.expectState("l", Waiting)
	m.push(Job{ID: "t", NonIdempotent: true})
	m.lease("t", Deduplicates)

	m.now -= 24 * time.Hour
	m.restart()
	for range 5 {
		m.tickAt(m.now + 10*time.Second)
	}
	m.expectState("t", Ready)
	m.expectState("l", Ready)
	newFence := m.lease("l", NoGuarantee)
	if newFence <= fence+1000 { // the gap must cover leases granted after a restored copy was made
		t.Errorf("the fence %d is assigned after %d", newFence, fence)
	}
	m.fail("l", newFence, "busy", false)
	m.tickAt(m.now + 200*time.Second)
	if _, known := m.Get("d"); known {
		t.Error("a discarded job is kept for another day")
	}
	if counts := m.Counts(); counts[Ready] != 2 || m.Len() != 2 {
		t.Errorf("counted %v of %d, want 2 ready of 2", counts, m.Len())
	}
}
