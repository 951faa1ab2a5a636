package durable

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// testTimeout is how long these tests wait for an expected event.
const testTimeout = 20 * time.Second

// testService runs a service on a loop of its own.
type testService struct {
	t        *testing.T
	loop     *eventloop.Loop
	service  *Service
	log      bytes.Buffer
	runnable chan jobs.Job // the jobs with which OnRunnable is called
	stopped  chan struct{} // closed when the loop has stopped
}

// openTest opens a service and starts its loop.
func openTest(t *testing.T, config Config) *testService {
	t.Helper()
	test := &testService{
		t:        t,
		loop:     eventloop.New(),
		runnable: make(chan jobs.Job, 1000),
		stopped:  make(chan struct{}),
	}
	service, err := Open(test.loop, config, slog.New(slog.NewTextHandler(&test.log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	test.service = service
	service.OnRunnable = func(job jobs.Job) { test.runnable <- job }
	go func() {
		test.loop.Run()
		close(test.stopped)
	}()
	test.onLoop(service.Start)
	return test
}

// onLoop runs a function on the loop and waits until it has returned.
func (s *testService) onLoop(run func()) {
	done := make(chan struct{})
	s.loop.Post(func() {
		run()
		close(done)
	})
	<-done
}

// close closes the service as a graceful shutdown does.
func (s *testService) close() {
	closed := s.begin(func(done func(error)) { s.service.Close(s.loop.Now()+testTimeout, done) })
	if err := receive(s.t, "the end of the close", closed); err != nil {
		s.t.Error(err)
	}
	s.loop.Stop()
	<-s.stopped
}

// receive waits for a value.
func receive[T any](t *testing.T, what string, values chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for " + what)
	}
	return value
}

// begin starts an operation and returns the channel on which its result is sent.
func (s *testService) begin(start func(done func(error))) chan error {
	result := make(chan error, 1)
	s.onLoop(func() {
		start(func(err error) { result <- err })
	})
	return result
}

// wait starts an operation, waits for its result and returns it.
func (s *testService) wait(what string, start func(done func(error))) error {
	s.t.Helper()
	return receive(s.t, what, s.begin(start))
}

// push pushes a job, and returns the error that its producer gets.
func (s *testService) push(job jobs.Job) error {
	s.t.Helper()
	return s.wait("the answer to a push of "+job.ID, func(done func(error)) { s.service.Push(job, 0, done) })
}

// startJob asks to start a job under a fence, and returns the answer.
func (s *testService) startJob(id string, fence uint64) error {
	s.t.Helper()
	return s.wait("the answer to a start of "+id, func(done func(error)) { s.service.StartJob(id, fence, done) })
}

// ack reports a job as done under a fence, and returns the answer.
func (s *testService) ack(id string, fence uint64) error {
	s.t.Helper()
	return s.wait("the answer to an ack of "+id, func(done func(error)) { s.service.Ack(id, fence, nil, done) })
}

// leaseResult is what Service.Assign calls onLeased with.
type leaseResult struct {
	job jobs.Job
	err error
}

// assign leases a job to a worker that honors fences.
func (s *testService) assign(id string) leaseResult {
	s.t.Helper()
	result := make(chan leaseResult, 1)
	s.onLoop(func() {
		onLeased := func(job jobs.Job, err error) { result <- leaseResult{job, err} }
		if !s.service.Assign(id, "w", jobs.HonorsFences, onLeased) {
			s.t.Errorf("%s cannot be leased", id)
		}
	})
	return receive(s.t, "a lease", result)
}

// state returns the name of a job's state, or an empty string if there is no such job.
func (s *testService) state(id string) (state string) {
	s.onLoop(func() {
		if job, known := s.service.Get(id); known {
			state = job.State.String()
		}
	})
	return state
}
