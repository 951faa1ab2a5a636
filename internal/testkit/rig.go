// Package testkit holds what the tests of the front end, the worker client and discovery share: a dispatcher on a loop
// of its own, stand-ins for clients and workers, and the tables of requests and responses. Only tests import it.
package testkit

import (
	"io"
	"net"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// Rig is a core on a loop of its own, with the engine beside it.
type Rig struct {
	Dispatcher *dispatch.Dispatcher
	Engine     *transport.Engine
}

// Do runs f on the loop's goroutine.
func (r *Rig) Do(f func()) {
	done := make(chan struct{})
	r.Dispatcher.Loop.Post(func() { f(); close(done) })
	<-done
}

func NewRig(t testing.TB, changes ...func(*decision.Settings)) *Rig {
	t.Helper()
	s := decision.Settings{
		Classes: []decision.Class{
			{Name: "status-check", PriorityWeight: 3, LateWeight: 0.25, LatencyObjective: 200 * time.Millisecond, Deadline: 5 * time.Second},
			{Name: "renewal", PriorityWeight: 5, LateWeight: 0.5, LatencyObjective: 200 * time.Millisecond, Deadline: 8 * time.Second, Idempotency: decision.NonIdempotent},
		},
		Tick: time.Millisecond, MaxAttempts: 1, Cancellation: true, StartNotices: true, HealthChecks: true, MaxRetryAfter: time.Second,
		ConnectTimeout: 2 * time.Second, ConnectionIdleTimeout: 10 * time.Second, FreeSlots: "x0", ZoneNames: []string{"here"},
	}
	for _, change := range changes {
		change(&s)
	}
	c, err := dispatch.New(eventloop.New(), s, 1)
	if err != nil {
		t.Fatal(err)
	}
	e, err := transport.NewEngine(c.Loop, 900)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { c.Loop.Run(); close(done) }()
	t.Cleanup(func() { c.Loop.Stop(); <-done; e.StopListening() })
	return &Rig{c, e}
}

const Patience = 20 * time.Second // no test waits that long unless something is broken

// Hold keeps the loop from going on until the release.
func (r *Rig) Hold() (release func()) {
	held, on := make(chan struct{}), make(chan struct{})
	r.Dispatcher.Loop.Post(func() { close(held); <-on })
	<-held
	return func() { close(on) }
}

// Write writes and waits until the poller of the program has read some of it.
func (r *Rig) Write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	held := r.Engine.Pool.BytesInUse()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	Until(t, "the poller reads", func() bool { return r.Engine.Pool.BytesInUse() > held })
}

// Until waits for a condition.
func Until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !holds(); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			t.Fatal("in vain: ", what)
		}
	}
}

func Receive[T any](t *testing.T, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(Patience):
		t.Fatal("nothing came")
	}
	return v
}

// WithSubscription makes a rig, on the loop and the engine of r, of a fleet that asks for its list.
func (r *Rig) WithSubscription(t *testing.T, peers int, askWithin time.Duration) *Rig {
	t.Helper()
	s := r.Dispatcher.Settings
	s.ListBySubscription, s.Peers, s.ListPollInterval = true, peers, askWithin
	c, err := dispatch.New(r.Dispatcher.Loop, s, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &Rig{c, r.Engine}
}

// FillDescriptors takes the descriptors that attempts may have, and returns how many those are.
func (r *Rig) FillDescriptors(t *testing.T, addr string) (n int) {
	t.Helper()
	for {
		got := make(chan error, 1)
		r.Do(func() {
			r.Engine.Dial(addr, Patience, nil, func(_ *transport.Conn, err error) { got <- err })
		})
		if err := Receive(t, got); err != nil {
			return n
		}
		n++
	}
}

// LimitDescriptors gives the rig an engine of its own that keeps to a number of descriptors.
func (r *Rig) LimitDescriptors(t testing.TB, descriptors int) {
	t.Helper()
	engine, err := transport.NewEngine(r.Dispatcher.Loop, descriptors)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.StopListening)
	r.Engine = engine
}
