package durable

import (
	"bytes"
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

const patience = 20 * time.Second

// rig runs a service on a loop of its own.
type rig struct {
	t        *testing.T
	loop     *eventloop.Loop
	s        *Service
	log      bytes.Buffer
	runnable chan jobs.Job
	done     chan struct{}
}

func open(t *testing.T, c Config) *rig {
	t.Helper()
	r := &rig{t: t, loop: eventloop.New(), runnable: make(chan jobs.Job, 1000), done: make(chan struct{})}
	s, err := Open(r.loop, c, slog.New(slog.NewTextHandler(&r.log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	r.s = s
	s.OnRunnable = func(j jobs.Job) { r.runnable <- j }
	go func() { r.loop.Run(); close(r.done) }()
	r.do(s.Start)
	return r
}

func (r *rig) do(f func()) {
	done := make(chan struct{})
	r.loop.Post(func() { f(); close(done) })
	<-done
}

// close ends the service as a planned end does.
func (r *rig) close() {
	r.do(func() {
		if err := r.s.Close(); err != nil {
			r.t.Error(err)
		}
	})
	r.loop.Stop()
	<-r.done
}

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
func (r *rig) wait(what string, start func(done func(error))) error {
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

func (r *rig) assign(id string) leased {
	r.t.Helper()
	c := make(chan leased, 1)
	r.do(func() {
		if !r.s.Assign(id, "w", jobs.HonorsFences, func(job jobs.Job, err error) { c <- leased{job, err} }) {
			r.t.Errorf("%s may not be handed out", id)
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

func (r *rig) state(id string) (state string) {
	r.do(func() {
		if j, known := r.s.Get(id); known {
			state = j.State.String()
		}
	})
	return state
}

// The disk is full at each write in turn, for a while. What cannot be kept is refused and leaves nothing behind, a
// lease that cannot be stored is not given, and what has happened already is told once the disk has it.
func TestDiskFullAtEachWrite(t *testing.T) {
	for _, at := range []string{"push", "lease", "start", "ack", "nowhere"} {
		t.Run(at, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "jobs.db")
			var full atomic.Bool
			var met atomic.Int32
			r := open(t, Config{Path: path, Store: store.Options{InjectWriteError: func() error {
				if full.Load() {
					met.Add(1)
					return syscall.ENOSPC
				}
				return nil
			}}})
			at := func(step string) { full.Store(step == at) }
			push := func() error {
				return r.wait("the push", func(done func(error)) { r.s.Push(jobs.Job{ID: "r", Class: "renewal", NonIdempotent: true}, 0, done) })
			}
			later := func(what string, start func(done func(error))) {
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
						t.Fatal(what + " was told before the disk had it")
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
					t.Fatal("a job that was refused is kept")
				}
				full.Store(false)
				if err := push(); err != nil {
					t.Fatal(err)
				}
			}
			receive(t, "the job", r.runnable)
			at("lease")
			h := r.assign("r")
			if (h.err != nil) != full.Load() {
				t.Fatalf("the lease: %v", h.err)
			}
			if full.Load() {
				full.Store(false)
				receive(t, "the job again", r.runnable)
				if h = r.assign("r"); h.err != nil {
					t.Fatal(h.err)
				}
			}
			if h.job.Attempts != 1 {
				t.Errorf("%d attempts", h.job.Attempts)
			}
			at("start")
			later("the start", func(done func(error)) { r.s.StartJob("r", h.job.Fence, done) })
			at("ack")
			later("the ACK", func(done func(error)) { r.s.Ack("r", h.job.Fence, nil, done) })
			r.close()
			r = open(t, Config{Path: path})
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

// Callers of one job are told in the order of their calls, whichever waits for the disk; what comes of a lease that
// has been given again is void.
func TestCallersAreTold(t *testing.T) {
	r := open(t, Config{Path: filepath.Join(t.TempDir(), "jobs.db"), Jobs: jobs.Config{LeaseDuration: time.Hour}})
	defer r.close()
	var order []string
	done := make(chan struct{})
	r.do(func() {
		for _, n := range []string{"first", "second", "third"} {
			r.s.Push(jobs.Job{ID: "a"}, 0, func(err error) {
				if order = append(order, n+errorText(err)); len(order) == 3 {
					close(done)
				}
			})
		}
	})
	receive(t, "three answers", done)
	if !slices.Equal(order, []string{"first", "second", "third"}) {
		t.Errorf("told %v", order)
	}
	receive(t, "the job", r.runnable)
	old := r.assign("a").job
	if err := r.wait("a word that it never began", func(done func(error)) { r.s.Fail("a", old.Fence, "busy", false, done) }); err != nil {
		t.Fatal(err)
	}
	receive(t, "the job again", r.runnable)
	now := r.assign("a").job
	if err := r.wait("a void start", func(done func(error)) { r.s.StartJob("a", old.Fence, done) }); err == nil {
		t.Error("a start under a void lease")
	}
	if err := r.wait("a void ACK", func(done func(error)) { r.s.Ack("a", old.Fence, nil, done) }); err == nil {
		t.Error("an ACK under a void lease counts")
	}
	r.do(func() { order = nil })
	two := make(chan string, 2)
	r.do(func() { // the second before the first is on the disk
		r.s.Ack("a", now.Fence, nil, func(err error) { two <- "1" + errorText(err) })
		r.s.Ack("a", now.Fence, nil, func(err error) { two <- "2" + errorText(err) })
	})
	if a, b := receive(t, "an ACK", two), receive(t, "an ACK", two); a != "1" || b != "2" {
		t.Errorf("told %q, %q", a, b)
	}
	if err := r.wait("no job", func(done func(error)) { r.s.Ack("nobody", 1, nil, done) }); err == nil {
		t.Error("an ACK of a job that nobody knows")
	}
}

// A restart hands out what waited, in its order, and leaves what may have run to its worker, then to an operator.
func TestRestart(t *testing.T) {
	c := Config{Path: filepath.Join(t.TempDir(), "jobs.db"), Jobs: jobs.Config{LeaseDuration: 50 * time.Millisecond, RecoveryGrace: 50 * time.Millisecond}}
	r := open(t, c)
	for _, id := range []string{"z", "m", "a", "b"} {
		if err := r.wait(id, func(done func(error)) { r.s.Push(jobs.Job{ID: id, NonIdempotent: true}, 0, done) }); err != nil {
			t.Fatal(err)
		}
		receive(t, id, r.runnable)
	}
	r.assign("m")
	held := r.assign("b").job
	if err := r.wait("start", func(done func(error)) { r.s.StartJob("b", held.Fence, done) }); err != nil {
		t.Fatal(err)
	}
	r.close()
	if _, err := Open(r.loop, Config{Path: c.Path + "/no"}, slog.Default()); err == nil {
		t.Error("opened where no file can be")
	}
	r = open(t, c)
	defer r.close()
	var ids []string
	for range 3 { // its worker honours fences and never asked to start m: it is free after the grace time
		ids = append(ids, receive(t, "what waited", r.runnable).ID)
	}
	if !slices.Equal(ids, []string{"z", "a", "m"}) {
		t.Errorf("may run: %v", ids)
	}
	if got := r.state("b"); got != "in doubt" {
		t.Fatalf("what had started is %q", got)
	}
	var err error
	if r.do(func() { err = r.s.Resolve("b", true, "") }); err == nil {
		t.Error("settled without a reason")
	}
	if r.do(func() { err = r.s.Resolve("b", true, "the till shows it") }); err != nil || r.state("b") != "done" {
		t.Errorf("settled: %v, %s", err, r.state("b"))
	}
	if !strings.Contains(r.log.String(), "the till shows it") {
		t.Error("the reason is not in the log")
	}
	var counts map[jobs.State]int
	if r.do(func() { counts = r.s.Counts() }); counts[jobs.Ready] != 3 || counts[jobs.Done] != 1 || len(counts) != 2 {
		t.Errorf("counted %v", counts)
	}
}
