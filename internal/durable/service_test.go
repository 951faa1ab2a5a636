package durable

import (
	"bytes"
	"errors"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// patience is how long these tests wait for anything that must come.
const patience = 20 * time.Second

// testService runs a service on a loop of its own.
type testService struct {
	t        *testing.T
	loop     *eventloop.Loop
	service  *Service
	log      bytes.Buffer
	runnable chan jobs.Job
	done     chan struct{}
}

// openTest opens a service and runs its loop.
func openTest(t *testing.T, c Config) *testService {
	t.Helper()
	r := &testService{t: t, loop: eventloop.New(), runnable: make(chan jobs.Job, 1000), done: make(chan struct{})}
	s, err := Open(r.loop, c, slog.New(slog.NewTextHandler(&r.log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	r.service = s
	s.OnRunnable = func(j jobs.Job) { r.runnable <- j }
	go func() { r.loop.Run(); close(r.done) }()
	r.do(s.Start)
	return r
}

// do runs a function on the loop.
func (r *testService) do(f func()) {
	done := make(chan struct{})
	r.loop.Post(func() { f(); close(done) })
	<-done
}

// close closes the service as a graceful shutdown does.
func (r *testService) close() {
	r.do(func() {
		if err := r.service.Close(); err != nil {
			r.t.Error(err)
		}
	})
	r.loop.Stop()
	<-r.done
}

// receive waits for a value.
func receive[T any](t *testing.T, what string, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatal("nothing came: " + what)
	}
	return v
}

// wait starts an operation and waits for its error.
func (r *testService) wait(what string, start func(done func(error))) error {
	r.t.Helper()
	result := make(chan error, 1)
	r.do(func() { start(func(err error) { result <- err }) })
	return receive(r.t, what, result)
}

// leased is what Service.Assign calls onLeased with.
type leased struct {
	job jobs.Job
	err error
}

// assign leases a job to a worker that honors fences.
func (r *testService) assign(id string) leased {
	r.t.Helper()
	c := make(chan leased, 1)
	r.do(func() {
		if !r.service.Assign(id, "w", jobs.HonorsFences, func(job jobs.Job, err error) { c <- leased{job, err} }) {
			r.t.Errorf("%s cannot be leased", id)
		}
	})
	return receive(r.t, "a lease", c)
}

// errorText is the text of an error, empty for none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// state is the name of a job's state, empty where it is not known.
func (r *testService) state(id string) (state string) {
	r.do(func() {
		if j, known := r.service.Get(id); known {
			state = j.State.String()
		}
	})
	return state
}

// The disk is full at each write in turn, for a while. A push that cannot be stored is rejected and leaves nothing behind,
// a lease that cannot be stored is not granted, and what has happened already is acknowledged once it is on disk.
func TestDiskFullAtEachWrite(t *testing.T) {
	for _, at := range []string{"push", "lease", "start", "ack", "nowhere"} {
		t.Run(at, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "jobs.db")
			var full atomic.Bool
			var met atomic.Int32
			r := openTest(t, Config{Path: path, Store: store.Options{InjectWriteError: func() error {
				if full.Load() {
					met.Add(1)
					return syscall.ENOSPC
				}
				return nil
			}}})
			at := func(step string) { full.Store(step == at) }
			push := func() error {
				return r.wait("the push", func(done func(error)) {
					r.service.Push(jobs.Job{ID: "r", Class: "renewal", NonIdempotent: true}, 0, done)
				})
			}
			eventually := func(what string, start func(done func(error))) {
				t.Helper()
				c := make(chan error, 1)
				r.do(func() { start(func(err error) { c <- err }) })
				if full.Load() {
					for end := time.Now().Add(patience); met.Load() < 2; time.Sleep(time.Millisecond) {
						if time.Now().After(end) {
							t.Fatal(what + " is not tried again")
						}
					}
					select {
					case <-c:
						t.Fatal(what + " was acknowledged before the disk had it")
					default:
					}
					full.Store(false)
				}
				if err := receive(t, what, c); err != nil {
					t.Fatalf("%s: %v", what, err)
				}
			}
			at("push")
			if err := push(); (err != nil) != full.Load() || err != nil && !strings.Contains(err.Error(), "no space") {
				t.Fatalf("the push: %v", err)
			}
			if full.Load() {
				if r.state("r") != "" {
					t.Fatal("a job that was rejected is known")
				}
				full.Store(false)
				if err := push(); err != nil {
					t.Fatal(err)
				}
			}
			receive(t, "the job", r.runnable)
			at("lease")
			lease := r.assign("r")
			if (lease.err != nil) != full.Load() {
				t.Fatalf("the lease: %v", lease.err)
			}
			if full.Load() {
				full.Store(false)
				receive(t, "the job again", r.runnable)
				if lease = r.assign("r"); lease.err != nil {
					t.Fatal(lease.err)
				}
			}
			if lease.job.Attempts != 1 {
				t.Errorf("%d attempts", lease.job.Attempts)
			}
			at("start")
			eventually("the start", func(done func(error)) { r.service.StartJob("r", lease.job.Fence, done) })
			at("ack")
			eventually("the ack", func(done func(error)) { r.service.Ack("r", lease.job.Fence, nil, done) })
			r.close()
			r = openTest(t, Config{Path: path})
			if got := r.state("r"); got != "done" {
				t.Errorf("after a restart it is %q", got)
			}
			if err := push(); err != nil || len(r.runnable) > 0 {
				t.Errorf("pushed again: %v, %d may run", err, len(r.runnable))
			}
			r.close()
		})
	}
}

// Callers are answered in the order of their calls, whichever wait for the disk; reports under a lease that has been
// granted again are void.
func TestCallersAreAnswered(t *testing.T) {
	r := openTest(t, Config{Path: filepath.Join(t.TempDir(), "jobs.db"), Jobs: jobs.Config{LeaseDuration: time.Hour}})
	defer r.close()
	var order []string
	done := make(chan struct{})
	r.do(func() {
		for _, n := range []string{"first", "second", "third"} {
			r.service.Push(jobs.Job{ID: "a"}, 0, func(err error) {
				if order = append(order, n+errorText(err)); len(order) == 3 {
					close(done)
				}
			})
		}
	})
	receive(t, "three answers", done)
	if !slices.Equal(order, []string{"first", "second", "third"}) {
		t.Errorf("answered %v", order)
	}
	receive(t, "the job", r.runnable)
	first := r.assign("a").job
	if err := r.wait("a report that it never began", func(done func(error)) { r.service.Fail("a", first.Fence, "busy", false, done) }); err != nil {
		t.Fatal(err)
	}
	receive(t, "the job again", r.runnable)
	second := r.assign("a").job
	if err := r.wait("a void start", func(done func(error)) { r.service.StartJob("a", first.Fence, done) }); !errors.Is(err, jobs.ErrLeaseVoid) {
		t.Errorf("a start under a void lease: %v", err)
	}
	if err := r.wait("a void ack", func(done func(error)) { r.service.Ack("a", first.Fence, nil, done) }); !errors.Is(err, jobs.ErrLeaseVoid) {
		t.Errorf("an ack under a void lease: %v", err)
	}
	r.do(func() { order = nil })
	answers := make(chan string, 2)
	r.do(func() { // the second before the first is on the disk
		r.service.Ack("a", second.Fence, nil, func(err error) { answers <- "1" + errorText(err) })
		r.service.Ack("a", second.Fence, nil, func(err error) { answers <- "2" + errorText(err) })
	})
	if a, b := receive(t, "an answer", answers), receive(t, "an answer", answers); a != "1" || b != "2" {
		t.Errorf("answered %q, %q", a, b)
	}
	if err := r.wait("an ack of an unknown job", func(done func(error)) { r.service.Ack("nobody", 1, nil, done) }); !errors.Is(err, jobs.ErrUnknownJob) {
		t.Errorf("an ack of an unknown job: %v", err)
	}
}

// A restart announces what waited, in its order, and leaves what may have run to its worker, then to an operator.
func TestRestart(t *testing.T) {
	c := Config{Path: filepath.Join(t.TempDir(), "jobs.db"), Jobs: jobs.Config{LeaseDuration: 50 * time.Millisecond, RecoveryGrace: 50 * time.Millisecond}}
	r := openTest(t, c)
	for _, id := range []string{"z", "m", "a", "b"} {
		if err := r.wait(id, func(done func(error)) { r.service.Push(jobs.Job{ID: id, NonIdempotent: true}, 0, done) }); err != nil {
			t.Fatal(err)
		}
		receive(t, id, r.runnable)
	}
	r.assign("m")
	held := r.assign("b").job
	if err := r.wait("start", func(done func(error)) { r.service.StartJob("b", held.Fence, done) }); err != nil {
		t.Fatal(err)
	}
	r.close()
	if _, err := Open(r.loop, Config{Path: c.Path + "/no"}, slog.Default()); err == nil {
		t.Error("opened where no file can be")
	}
	r = openTest(t, c)
	defer r.close()
	var ids []string
	for range 3 { // the worker of m honors fences and never asked to start it, so m is runnable after the grace time
		ids = append(ids, receive(t, "what waited", r.runnable).ID)
	}
	if !slices.Equal(ids, []string{"z", "a", "m"}) {
		t.Errorf("may run: %v", ids)
	}
	if got := r.state("b"); got != "in doubt" {
		t.Fatalf("what had started is %q", got)
	}
	var err error
	if r.do(func() { err = r.service.Resolve("b", true, "") }); err == nil {
		t.Error("resolved without a reason")
	}
	if r.do(func() { err = r.service.Resolve("b", true, "the till shows it") }); err != nil || r.state("b") != "done" {
		t.Errorf("resolved: %v, %s", err, r.state("b"))
	}
	if !strings.Contains(r.log.String(), "the till shows it") {
		t.Error("the reason is not in the log")
	}
	var counts map[jobs.State]int
	if r.do(func() { counts = r.service.Counts() }); counts[jobs.Ready] != 3 || counts[jobs.Done] != 1 || len(counts) != 2 {
		t.Errorf("counted %v", counts)
	}
}
