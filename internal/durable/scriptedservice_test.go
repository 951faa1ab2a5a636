package durable

import (
	"log/slog"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// scriptedService is a service that runs in virtual time.
type scriptedService struct {
	*Service
	t   *testing.T
	now time.Duration
}

func openScripted(t *testing.T, path string) *scriptedService {
	t.Helper()
	s := &scriptedService{t: t, now: goldenStart}
	loop := eventloop.NewVirtual(func() time.Duration { return s.now })
	config := Config{Path: path, Jobs: jobs.Config{
		LeaseDuration:  time.Minute,
		RecoveryGrace:  time.Minute,
		MaxAttempts:    3,
		InitialBackoff: time.Second,
		Retention:      24 * time.Hour,
		DeadRetention:  180 * 24 * time.Hour,
	}}
	service, err := Open(loop, config, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	service.OnRunnable = func(jobs.Job) {}
	s.Service = service
	service.Start()
	return s
}

// wait starts an operation, runs the loop until it is done and returns its result.
func (s *scriptedService) wait(what string, start func(done func(error))) (result error) {
	s.t.Helper()
	finished := false
	start(func(err error) {
		finished = true
		result = err
	})
	for end := time.Now().Add(testTimeout); !finished; time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			s.t.Fatalf("timed out waiting for %s", what)
		}
		s.loop.RunOnce()
	}
	return result
}

// must starts an operation, waits for it and fails the test if it returns an error.
func (s *scriptedService) must(what string, start func(done func(error))) {
	s.t.Helper()
	if err := s.wait(what, start); err != nil {
		s.t.Fatalf("%s: %v", what, err)
	}
}

// noError fails the test on an error.
func (s *scriptedService) noError(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// push advances the clock by a millisecond and pushes a job.
func (s *scriptedService) push(job jobs.Job, notBefore time.Duration) {
	s.t.Helper()
	s.now += time.Millisecond
	s.must("push "+job.ID, func(done func(error)) { s.Push(job, notBefore, done) })
}

// lease pushes a job and leases it to a worker.
func (s *scriptedService) lease(job jobs.Job, worker string, guarantee jobs.Guarantee) (fence uint64) {
	s.t.Helper()
	s.push(job, 0)
	s.must("lease "+job.ID, func(done func(error)) {
		onLeased := func(leased jobs.Job, err error) {
			fence = leased.Fence
			done(err)
		}
		if !s.Assign(job.ID, worker, guarantee, onLeased) {
			s.t.Fatalf("%s cannot be leased", job.ID)
		}
	})
	return fence
}

// start pushes a job, leases it and grants its start.
func (s *scriptedService) start(job jobs.Job, worker string, guarantee jobs.Guarantee) (fence uint64) {
	s.t.Helper()
	fence = s.lease(job, worker, guarantee)
	s.must("start "+job.ID, func(done func(error)) { s.StartJob(job.ID, fence, done) })
	return fence
}

// fail reports that a job failed or, with started false, that its worker never started it.
func (s *scriptedService) fail(id string, fence uint64, started bool) {
	s.t.Helper()
	s.must("fail "+id, func(done func(error)) { s.Fail(id, fence, "till jammed", started, done) })
}

// renewal returns a non-idempotent job.
func renewal(id string) jobs.Job {
	return jobs.Job{
		ID:            id,
		Class:         "renewal",
		NonIdempotent: true,
		Payload:       []byte(`{"jid":"` + id + `","args":["member 7"]}`),
		PayloadHash:   0x0123456789abcdef,
	}
}

// statusCheck returns an idempotent job.
func statusCheck(id string) jobs.Job {
	return jobs.Job{ID: id, Class: "status-check", Payload: []byte("no JSON <&> \xff"), PayloadHash: 42}
}

// runScript makes a fixed sequence of changes. After it the store holds jobs in every state that is stored, and each
// field is set in at least one of them. The ids and texts are part of the golden files.
func runScript(s *scriptedService) {
	s.t.Helper()
	s.expireLeases()
	s.push(statusCheck("accepted-1"), 0)
	limited := statusCheck("scheduled-1")
	limited.MaxAttempts = 9
	limited.LeaseDuration = 90 * time.Second
	limited.DiscardWhenExhausted = true
	s.push(limited, farFuture)
	s.lease(renewal("leased-1"), "w-fences", jobs.HonorsFences)
	s.lease(statusCheck("leased-2"), "w-nothing", jobs.NoGuarantee)
	s.start(renewal("started-1"), "w-tills", jobs.Deduplicates)
	s.reportJobs()
	s.operatorRequests()
	s.pushRequest()
	s.must("pause", func(done func(error)) { s.storeRecord(pausedRecord, []string{"renewal", "status-check"}, done) })
	s.must("sync", s.AfterSync)
}

// reportJobs makes jobs that workers have reported as failed, as never started, or as done.
func (s *scriptedService) reportJobs() {
	s.t.Helper()
	s.fail("waiting-1", s.start(statusCheck("waiting-1"), "w-nothing", jobs.NoGuarantee), true)
	s.fail("ready-never-started", s.lease(renewal("ready-never-started"), "w-fences", jobs.HonorsFences), false)
	fence := s.start(renewal("done-1"), "w-fences", jobs.HonorsFences)
	s.must("ack", func(done func(error)) { s.Ack("done-1", fence, []byte(`{"receipt":17}`), done) })
	s.fail("dead-1", s.start(renewal("dead-1"), "w-fences", jobs.HonorsFences), true)
	discarded := statusCheck("discarded-1")
	discarded.MaxAttempts = 1
	discarded.DiscardWhenExhausted = true
	s.fail("discarded-1", s.start(discarded, "w-nothing", jobs.NoGuarantee), true)
}

// expireLeases lets leases under each guarantee expire.
func (s *scriptedService) expireLeases() {
	s.t.Helper()
	for _, id := range []string{"doubt-1", "settled-ran", "settled-not-ran"} {
		s.lease(renewal(id), "w-nothing", jobs.NoGuarantee)
	}
	s.start(renewal("doubt-started"), "w-fences", jobs.HonorsFences)
	s.lease(renewal("freed-by-fences"), "w-fences", jobs.HonorsFences)
	s.lease(renewal("freed-by-tills"), "w-tills", jobs.Deduplicates)
	s.lease(statusCheck("lapsed-1"), "w-nothing", jobs.NoGuarantee)
	s.now += 61 * time.Second
	s.loop.RunOnce()
	s.must("the expiries", s.AfterSync)
}

// operatorRequests resolves and moves jobs.
func (s *scriptedService) operatorRequests() {
	s.t.Helper()
	s.noError(s.Resolve("settled-ran", true, "the till shows it"))
	s.now += time.Millisecond
	s.noError(s.Resolve("settled-not-ran", false, "the till does not show it"))
	s.push(statusCheck("moved-discard"), 0)
	s.noError(s.Move("moved-discard", jobs.Discard, "not wanted", true))
	s.push(statusCheck("moved-kill"), farFuture)
	s.noError(s.Move("moved-kill", jobs.Kill, "for later", false))
	s.fail("moved-requeue", s.start(renewal("moved-requeue"), "w-fences", jobs.HonorsFences), true)
	s.now += time.Millisecond
	s.noError(s.Move("moved-requeue", jobs.Requeue, "the till is mended", true))
}

// pushRequest pushes the job of a request with an idempotency key.
func (s *scriptedService) pushRequest() {
	s.t.Helper()
	request := Request{
		Target:         "/renewal/m?x=y",
		Key:            "m",
		IdempotencyKey: "key-1",
		Body:           []byte("body \x00"),
		Slots:          1.5,
		Work:           20 * time.Millisecond,
	}
	s.push(request.Job("key-1", "renewal", true), 0)
}
