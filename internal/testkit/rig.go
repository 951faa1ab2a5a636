// Package testkit has the helpers that tests of the front end, the worker client and discovery share: a dispatcher on
// its own event loop, stubs of clients and workers, and tables of requests and responses. Only tests import it.
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

const (
	// WaitTimeout is the time limit of each wait in a test. It is reached only if something is broken.
	WaitTimeout = 20 * time.Second

	pollInterval       = 100 * time.Microsecond
	defaultDescriptors = 900 // descriptor limit of a rig's engine
)

// Classes of a rig, by their indexes in its settings.
const (
	StatusCheck = iota // idempotent, so that requests may be retried and hedged
	Renewal            // non-idempotent, so that a request must never run twice
)

// Rig is a dispatcher with its transport engine, on its own event loop. Tests add the component that they test: a front
// end, a worker client or a registry.
type Rig struct {
	Dispatcher *dispatch.Dispatcher
	Engine     *transport.Engine
}

// NewRig starts a rig, which is stopped at the end of the test. It has the class status-check, whose requests are
// idempotent, and the class renewal, whose requests are not. The changes are applied to its settings.
func NewRig(t testing.TB, changes ...func(*decision.Settings)) *Rig {
	t.Helper()
	settings := defaultSettings()
	for _, change := range changes {
		change(&settings)
	}
	dispatcher, err := dispatch.New(eventloop.New(), settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := dispatcher.Loop
	engine, err := transport.NewEngine(loop, defaultDescriptors)
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		loop.Run()
		close(stopped)
	}()
	t.Cleanup(func() {
		loop.Stop()
		<-stopped
		engine.StopListening()
	})
	return &Rig{Dispatcher: dispatcher, Engine: engine}
}

// defaultSettings returns the settings of a rig.
func defaultSettings() decision.Settings {
	return decision.Settings{
		Classes: []decision.Class{
			{
				Name: "status-check", PriorityWeight: 3, LateWeight: 0.25,
				LatencyObjective: 200 * time.Millisecond, Deadline: 5 * time.Second,
			},
			{
				Name: "renewal", PriorityWeight: 5, LateWeight: 0.5,
				LatencyObjective: 200 * time.Millisecond, Deadline: 8 * time.Second,
				Idempotency: decision.NonIdempotent,
			},
		},
		Tick:                  time.Millisecond,
		MaxAttempts:           1,
		Cancellation:          true,
		StartNotices:          true,
		HealthChecks:          true,
		MaxRetryAfter:         time.Second,
		ConnectTimeout:        2 * time.Second,
		ConnectionIdleTimeout: 10 * time.Second,
		FreeSlotsField:        "x0",
		ZoneNames:             []string{"here"},
	}
}

// Do runs f on the event loop and waits until it returns. Tests use it for everything that only the loop's goroutine
// may do.
func (r *Rig) Do(f func()) {
	done := make(chan struct{})
	r.Dispatcher.Loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// BlockLoop blocks the event loop until release is called, which must happen exactly once. Tests use it to have several
// events handled in one turn of the loop.
func (r *Rig) BlockLoop() (release func()) {
	blocked := make(chan struct{})
	released := make(chan struct{})
	r.Dispatcher.Loop.Post(func() {
		close(blocked)
		<-released
	})
	<-blocked
	return func() { close(released) }
}

// Accept passes a request to the dispatcher and returns once the dispatcher has handled it. The channel receives the
// response.
func (r *Rig) Accept(request dispatch.Request) Responses {
	responses := make(Responses, 1)
	r.Do(func() { r.Dispatcher.Accept(responses, 0, request) })
	return responses
}

// PostRequest is Accept without waiting for the event loop, which may be blocked.
func (r *Rig) PostRequest(request dispatch.Request) Responses {
	responses := make(Responses, 1)
	r.Dispatcher.Loop.Post(func() { r.Dispatcher.Accept(responses, 0, request) })
	return responses
}

// Write writes text to a connection and waits until the rig's poller has read some of it. Tests use it while the event
// loop is blocked, so that the loop finds the text when it continues.
func (r *Rig) Write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	inUse := r.Engine.Pool.BytesInUse()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	Until(t, "the poller reads", func() bool { return r.Engine.Pool.BytesInUse() > inUse })
}

// WithSubscription returns another rig, on the loop and the engine of r, for tests of discovery. Its dispatcher is one
// of a number of peers, and polls for its endpoint list.
func (r *Rig) WithSubscription(t *testing.T, peers int, pollInterval time.Duration) *Rig {
	t.Helper()
	settings := r.Dispatcher.Settings
	settings.ListBySubscription = true
	settings.Peers = peers
	settings.ListPollInterval = pollInterval
	dispatcher, err := dispatch.New(r.Dispatcher.Loop, settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &Rig{Dispatcher: dispatcher, Engine: r.Engine}
}

// FillDescriptors opens connections to an address until no descriptor is left for another one, and returns their
// number. Tests use it to check what still works in this state.
func (r *Rig) FillDescriptors(t *testing.T, addr string) (opened int) {
	t.Helper()
	for {
		dialed := make(chan error, 1)
		r.Do(func() {
			r.Engine.Dial(addr, WaitTimeout, nil, func(_ *transport.Conn, err error) { dialed <- err })
		})
		if err := Receive(t, dialed); err != nil {
			return opened
		}
		opened++
	}
}

// LimitDescriptors gives the rig a new engine with a limit on descriptors, for tests in which descriptors run out.
func (r *Rig) LimitDescriptors(t testing.TB, descriptors int) {
	t.Helper()
	engine, err := transport.NewEngine(r.Dispatcher.Loop, descriptors)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.StopListening)
	r.Engine = engine
}

// Until waits until holds returns true, and fails the test after WaitTimeout. what describes the condition.
func Until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	end := time.Now().Add(WaitTimeout)
	for !holds() {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until ", what)
		}
		time.Sleep(pollInterval)
	}
}

// Receive returns the next value from a channel, and fails the test if there is none within WaitTimeout.
func Receive[T any](t *testing.T, c chan T) (value T) {
	t.Helper()
	select {
	case value = <-c:
	case <-time.After(WaitTimeout):
		t.Fatal("timed out waiting for a value")
	}
	return value
}
