package durable

import (
	"maps"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// writeStep is a step of a job's processing that must be written to disk.
type writeStep string

const (
	pushStep  writeStep = "push"
	leaseStep writeStep = "lease"
	startStep writeStep = "start"
	ackStep   writeStep = "ack"
	noStep    writeStep = "nowhere"
)

// diskFullRun takes one job from its push to its ack. The disk is full for some time during one of the steps.
type diskFullRun struct {
	*testService
	path           string
	fullAt         writeStep
	diskFull       atomic.Bool
	rejectedWrites atomic.Int32
}

func startDiskFullRun(t *testing.T, fullAt writeStep) *diskFullRun {
	t.Helper()
	run := &diskFullRun{path: filepath.Join(t.TempDir(), "jobs.db"), fullAt: fullAt}
	run.testService = openTest(t, Config{Path: run.path, Store: store.Options{InjectWriteError: run.writeError}})
	return run
}

// writeError is the InjectWriteError of the store: it makes writes fail while the disk is full.
func (r *diskFullRun) writeError() error {
	if !r.diskFull.Load() {
		return nil
	}
	r.rejectedWrites.Add(1)
	return syscall.ENOSPC
}

// beginStep begins a step, and makes the disk full if fullAt is this step.
func (r *diskFullRun) beginStep(step writeStep) { r.diskFull.Store(step == r.fullAt) }

func (r *diskFullRun) pushJob() error {
	r.t.Helper()
	return r.push(jobs.Job{ID: "r", Class: "renewal", NonIdempotent: true})
}

// runPush pushes the job. A push that cannot be stored must be rejected and leave no job behind.
func (r *diskFullRun) runPush() {
	r.t.Helper()
	r.beginStep(pushStep)
	err := r.pushJob()
	if (err != nil) != r.diskFull.Load() || err != nil && !strings.Contains(err.Error(), "no space") {
		r.t.Fatalf("the push, with the disk full %v: %v", r.diskFull.Load(), err)
	}
	if r.diskFull.Load() {
		if r.state("r") != "" {
			r.t.Fatal("a job that was rejected exists")
		}
		r.diskFull.Store(false)
		if err := r.pushJob(); err != nil {
			r.t.Fatal(err)
		}
	}
	receive(r.t, "the job", r.runnable)
}

// runLease leases the job and returns its fence. A lease that cannot be stored must not be granted.
func (r *diskFullRun) runLease() (fence uint64) {
	r.t.Helper()
	r.beginStep(leaseStep)
	lease := r.assign("r")
	if (lease.err != nil) != r.diskFull.Load() {
		r.t.Fatalf("the lease, with the disk full %v: %v", r.diskFull.Load(), lease.err)
	}
	if r.diskFull.Load() {
		r.diskFull.Store(false)
		receive(r.t, "the job again", r.runnable)
		lease = r.assign("r")
		if lease.err != nil {
			r.t.Fatal(lease.err)
		}
	}
	if lease.job.Attempts != 1 {
		r.t.Errorf("%d attempts, want 1", lease.job.Attempts)
	}
	return lease.job.Fence
}

// runReport sends a worker's report. If it cannot be stored, the write must be repeated until it succeeds, and the report
// must be acknowledged only then.
func (r *diskFullRun) runReport(step writeStep, start func(done func(error))) {
	r.t.Helper()
	r.beginStep(step)
	result := r.begin(start)
	if r.diskFull.Load() {
		r.awaitRejectedWrites(step, 2)
		select {
		case <-result:
			r.t.Fatalf("the %s was acknowledged before the disk had it", step)
		default:
		}
		r.diskFull.Store(false)
	}
	if err := receive(r.t, "the answer to the "+string(step), result); err != nil {
		r.t.Fatalf("the %s: %v", step, err)
	}
}

// awaitRejectedWrites waits until at least want writes have been rejected.
func (r *diskFullRun) awaitRejectedWrites(step writeStep, want int32) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); r.rejectedWrites.Load() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("the write of the %s is not tried again", step)
		}
	}
}

// checkAfterRestart checks that the job is done, and that pushing it again changes nothing.
func (r *diskFullRun) checkAfterRestart() {
	r.t.Helper()
	r.close()
	r.testService = openTest(r.t, Config{Path: r.path})
	if got := r.state("r"); got != "done" {
		r.t.Errorf("after a restart it is %q, want done", got)
	}
	if err := r.pushJob(); err != nil || len(r.runnable) > 0 {
		r.t.Errorf("pushed again: %v, %d may run", err, len(r.runnable))
	}
	r.close()
}

// The disk is full for some time at each write in turn. A push that cannot be stored is rejected and leaves no job behind,
// a lease that cannot be stored is not granted, and a worker's report is acknowledged only once it is on disk.
func TestDiskFullAtEachWrite(t *testing.T) {
	for _, fullAt := range []writeStep{pushStep, leaseStep, startStep, ackStep, noStep} {
		t.Run(string(fullAt), func(t *testing.T) {
			run := startDiskFullRun(t, fullAt)
			run.runPush()
			fence := run.runLease()
			run.runReport(startStep, func(done func(error)) { run.service.StartJob("r", fence, done) })
			run.runReport(ackStep, func(done func(error)) { run.service.Ack("r", fence, nil, done) })
			run.checkAfterRestart()
		})
	}
}

// openFailing opens a service whose next writes fail, as many as failNext says. It returns the path of its store too.
func openFailing(t *testing.T, failNext *atomic.Int32) (service *testService, path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "jobs.db")
	writeError := func() error {
		if failNext.Add(-1) >= 0 {
			return syscall.ENOSPC
		}
		return nil
	}
	return openTest(t, Config{Path: path, Store: store.Options{InjectWriteError: writeError}}), path
}

// An operator's change whose first write fails is written again until the disk takes it. The operator must be told that
// it is done only then: not by the success of a later write, and not with an error while the change is still coming.
func TestOperatorChangeIsConfirmedOnceItIsOnDisk(t *testing.T) {
	var failNext atomic.Int32
	s, path := openFailing(t, &failNext)
	if err := s.push(jobs.Job{ID: "r", Class: "renewal", NonIdempotent: true}); err != nil {
		t.Fatal(err)
	}
	calledAt := time.Now()
	failNext.Store(2) // also where the change and the sync are one batch, which is written again one by one
	done := s.begin(func(done func(error)) {
		if err := s.service.Move("r", jobs.Discard, "unwanted", true); err != nil {
			t.Error(err)
		}
		s.service.AfterSync(done)
	})
	if err := receive(t, "the confirmation", done); err != nil {
		t.Errorf("the confirmation: %v", err)
	}
	if waited := time.Since(calledAt); waited < storeRetryInterval {
		t.Errorf("confirmed %v after the call, before the change was written again", waited)
	}
	s.close()
	reopened := openTest(t, Config{Path: path})
	defer reopened.close()
	if got := reopened.state("r"); got != "discarded" {
		t.Errorf("the job is %s, want discarded", got)
	}
}

// The audit of an operator's change is stored together with it. Where the first write of both fails, the audit must come
// with the second: else nobody can tell why a renewal was discarded or settled. There is one audit, however often the
// write fails.
func TestAuditSurvivesFailedWrite(t *testing.T) {
	var failNext atomic.Int32
	s, path := openFailing(t, &failNext)
	for _, id := range []string{"discarded", "killed"} {
		if err := s.push(jobs.Job{ID: id, Class: "renewal", NonIdempotent: true}); err != nil {
			t.Fatal(err)
		}
	}
	for id, move := range map[string]jobs.Move{"discarded": jobs.Discard, "killed": jobs.Kill} {
		failNext.Store(2)
		err := s.wait("the confirmation", func(done func(error)) {
			if err := s.service.Move(id, move, "till, line 4711", true); err != nil {
				t.Error(err)
			}
			s.service.AfterSync(done)
		})
		if err != nil {
			t.Error(err)
		}
	}
	s.close()
	offline, err := OpenOffline(path, func() time.Duration { return time.Duration(time.Now().UnixNano()) })
	if err != nil {
		t.Fatal(err)
	}
	defer offline.Close()
	actions := map[string]int{}
	for _, audit := range offline.Audits {
		actions[audit.ID+": "+audit.Action]++
	}
	want := map[string]int{"discarded: discard": 1, "killed: kill": 1, "killed: dead": 1}
	if !maps.Equal(actions, want) {
		t.Errorf("the audits are %v, want %v", actions, want)
	}
}
