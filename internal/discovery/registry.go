// Package discovery owns what is known of the workers: the endpoint list, since when it is known, and whether it may
// be acted on. It follows one source of changes, either discovery's watch or a server of versioned changes (package
// membership), checks each list or change as a whole, and gives it to the dispatcher on behalf of the worker client.
//
// A Registry belongs to the event loop's goroutine. It must never take in a part of a list of which another part is
// wrong, replace a newer version by an older one, nor let a list count as current longer than package freshness says.
package discovery

import (
	"math/rand/v2"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/freshness"
	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// WorkerClient is the worker client under whose name the registry gives its list to the dispatcher. It is told of
// changes that matter to connections.
type WorkerClient interface {
	dispatch.WorkerClient
	// WorkerLeaving tells that a worker drains or was removed, from now on.
	WorkerLeaving(b *Worker)
	// CloseIdleTo closes the idle connections to a worker that was removed or whose address has changed.
	CloseIdleTo(b *Worker)
	// CloseAllIdle closes the idle connections to all workers, since no descriptor is free.
	CloseAllIdle()
}

// Registry is what is known of the workers: the endpoint list, since when it is known, and whether it may be acted on.
// It belongs to the loop's goroutine.
type Registry struct {
	dispatcher *dispatch.Dispatcher
	engine     *transport.Engine
	client     WorkerClient
	workers    map[string]*Worker
	watch      watch
	initialEntries    map[string]decision.Endpoint // the list known at the start, until discovery has spoken
	initialTimeout eventloop.Deadline           // until when that is waited for

	// OnUpdate is called when discovery has told something; nil: nobody wants to know.
	OnUpdate func()

	// OnVersionApplied is called when a version followed has come into force; nil: nobody wants to know.
	OnVersionApplied func(v membership.Version)

	applySettings func(changes []settingChange) error // puts changed settings in force, all or none

	tracker       freshness.Tracker   // how old what hosts holds is
	knowledge freshness.Knowledge // as the module was told last
	freshnessTimer    eventloop.Deadline  // when that may change by itself
	usable    bool                // it has been good for something since the start

	follower *follower // follows versioned changes in place of the watch; nil: the watch is open
	stats    Stats
}

// Worker is one worker as discovery told it last.
type Worker struct {
	Name, Address string
	State         decision.WorkerState
	Since         time.Duration // when that state was told
	endpoint        endpoint      // discovery's words

	proof       freshness.Proof // that it serves
	healthConfirmedAt time.Duration   // when the latest probe left that it answered; 0: never
	suspended   bool            // the module was told to send it nothing
}

// New returns a registry that follows discovery at addr.
func New(d *dispatch.Dispatcher, e *transport.Engine, addr string) *Registry {
	s := &Registry{dispatcher: d, engine: e, workers: map[string]*Worker{}}
	s.watch = watch{registry: s, address: addr, random: rand.New(rand.NewPCG(d.Seed, 0))}
	s.watch.timeout.Fire = s.watch.onTimeout
	s.watch.nextCall.Fire = s.watch.open
	s.applySettings = s.reconfigureDispatcher
	s.freshnessTimer.Fire = s.refreshAndSchedule
	s.tracker.CanCheckHealth = d.Settings.HealthChecks
	d.Loop.OnStall = func() { s.tracker.Stalled(d.Loop.Now()) }
	s.initialTimeout.Fire = func() { s.publishInitial(nil) }
	return s
}

// Attach names the worker client. It must come before the first list.
func (s *Registry) Attach(client WorkerClient) { s.client = client }

// Worker finds a listed worker; nil: there is none of that name.
func (s *Registry) Worker(name string) *Worker { return s.workers[name] }
