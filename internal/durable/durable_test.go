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

// told runs a call and waits for what its caller is told.
func (r *rig) told(what string, call func(told func(string))) string {
	r.t.Helper()
	c := make(chan string, 1)
	r.do(func() { call(func(why string) { c <- why }) })
	return receive(r.t, what, c)
}

type handed struct {
	j   jobs.Job
	why string
}

func (r *rig) assign(id string) handed {
	r.t.Helper()
	c := make(chan handed, 1)
	r.do(func() {
		if !r.s.Assign(id, "w", jobs.HonorsFences, func(j jobs.Job, why string) { c <- handed{j, why} }) {
			r.t.Errorf("%s may not be handed out", id)
		}
	})
	return receive(r.t, "a lease", c)
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
			r := open(t, Config{Path: path, Store: store.Options{Fault: func() error {
				if full.Load() {
					met.Add(1)
					return syscall.ENOSPC
				}
				return nil
			}}})
			at := func(step string) { full.Store(step == at) }
			push := func() string {
				return r.told("the push", func(told func(string)) { r.s.Push(jobs.Job{ID: "r", Class: "renewal", Once: true}, 0, told) })
			}
			later := func(what string, call func(told func(string))) {
				t.Helper()
				c := make(chan string, 1)
				r.do(func() { call(func(why string) { c <- why }) })
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
				if why := receive(t, what, c); why != "" {
					t.Fatalf("%s: %s", what, why)
				}
			}
			at("push")
			if why := push(); (why != "") != full.Load() || why != "" && !strings.Contains(why, "no space") {
				t.Fatalf("the push: %q", why)
			}
			if full.Load() {
				if r.state("r") != "" {
					t.Fatal("a job that was refused is kept")
				}
				full.Store(false)
				if why := push(); why != "" {
					t.Fatal(why)
				}
			}
			receive(t, "the job", r.runnable)
			at("lease")
			h := r.assign("r")
			if (h.why != "") != full.Load() {
				t.Fatalf("the lease: %q", h.why)
			}
			if full.Load() {
				full.Store(false)
				receive(t, "the job again", r.runnable)
				if h = r.assign("r"); h.why != "" {
					t.Fatal(h.why)
				}
			}
			if h.j.Attempts != 1 {
				t.Errorf("%d attempts", h.j.Attempts)
			}
			at("start")
			later("the start", func(told func(string)) { r.s.StartJob("r", h.j.Fence, told) })
			at("ack")
			later("the ACK", func(told func(string)) { r.s.Ack("r", h.j.Fence, nil, told) })
			r.close()
			r = open(t, Config{Path: path})
			if got := r.state("r"); got != "done" {
				t.Errorf("after a restart it is %q", got)
			}
			if why := push(); why != "" || len(r.runnable) > 0 {
				t.Errorf("pushed again: %q, %d may run", why, len(r.runnable))
			}
			r.close()
		})
	}
}

// Callers of one job are told in the order of their calls, whichever waits for the disk; what comes of a lease that
// has been given again is void.
func TestCallersAreTold(t *testing.T) {
	r := open(t, Config{Path: filepath.Join(t.TempDir(), "jobs.db"), Jobs: jobs.Config{Lease: time.Hour}})
	defer r.close()
	var order []string
	done := make(chan struct{})
	r.do(func() {
		for _, n := range []string{"first", "second", "third"} {
			r.s.Push(jobs.Job{ID: "a"}, 0, func(why string) {
				if order = append(order, n+why); len(order) == 3 {
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
	old := r.assign("a").j
	if why := r.told("a word that it never began", func(told func(string)) { r.s.Fail("a", old.Fence, "busy", false, told) }); why != "" {
		t.Fatal(why)
	}
	receive(t, "the job again", r.runnable)
	now := r.assign("a").j
	if why := r.told("a void start", func(told func(string)) { r.s.StartJob("a", old.Fence, told) }); why == "" {
		t.Error("a start under a void lease")
	}
	if why := r.told("a void ACK", func(told func(string)) { r.s.Ack("a", old.Fence, nil, told) }); why == "" {
		t.Error("an ACK under a void lease counts")
	}
	r.do(func() { order = nil })
	two := make(chan string, 2)
	r.do(func() { // the second before the first is on the disk
		r.s.Ack("a", now.Fence, nil, func(why string) { two <- "1" + why })
		r.s.Ack("a", now.Fence, nil, func(why string) { two <- "2" + why })
	})
	if a, b := receive(t, "an ACK", two), receive(t, "an ACK", two); a != "1" || b != "2" {
		t.Errorf("told %q, %q", a, b)
	}
	if why := r.told("no job", func(told func(string)) { r.s.Ack("nobody", 1, nil, told) }); why == "" {
		t.Error("an ACK of a job that nobody knows")
	}
}

// A restart hands out what waited, in its order, and leaves what may have run to its worker, then to an operator.
func TestRestart(t *testing.T) {
	c := Config{Path: filepath.Join(t.TempDir(), "jobs.db"), Jobs: jobs.Config{Lease: 50 * time.Millisecond, Grace: 50 * time.Millisecond}}
	r := open(t, c)
	for _, id := range []string{"z", "m", "a", "b"} {
		if why := r.told(id, func(told func(string)) { r.s.Push(jobs.Job{ID: id, Once: true}, 0, told) }); why != "" {
			t.Fatal(why)
		}
		receive(t, id, r.runnable)
	}
	r.assign("m")
	held := r.assign("b").j
	if why := r.told("start", func(told func(string)) { r.s.StartJob("b", held.Fence, told) }); why != "" {
		t.Fatal(why)
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
