package platform

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
	WorkerLeaving(b *backend)
	// CloseIdleTo closes the idle connections to a worker that was removed or whose address has changed.
	CloseIdleTo(b *backend)
	// CloseAllIdle closes the idle connections to all workers, since no descriptor is free.
	CloseAllIdle()
}

// Registry is what is known of the workers: the endpoint list, since when it is known, and whether it may be acted on.
// It belongs to the loop's goroutine.
type Registry struct {
	core   *dispatch.Dispatcher
	engine *transport.Engine
	client WorkerClient
	hosts  map[string]*backend
	watch  watch
	first  map[string]decision.Endpoint // the list known at the start, until discovery has spoken
	due    eventloop.Deadline           // until when that is waited for

	// Told is called when discovery has told something; nil: nobody wants to know.
	Told func()

	// Applied is called when a version followed has come into force; nil: nobody wants to know.
	Applied func(v membership.Version)

	reconfigure func(changes []setting) error // puts changed settings in force, all or none

	age       freshness.Tracker   // how old what hosts holds is
	knowledge freshness.Knowledge // as the module was told last
	oldDue    eventloop.Deadline  // when that may change by itself
	usable    bool                // it has been good for something since the start

	follower *follower // follows versioned changes in place of the watch; nil: the watch is open
	control  ControlStats
}

// backend is one worker as discovery told it last.
type backend struct {
	name, dial string
	state      decision.WorkerState
	told       time.Duration // when that state was told
	host       host          // discovery's words

	proof     freshness.Proof // that it serves
	confirmed time.Duration   // when the latest probe left that it answered; 0: never
	suspended bool            // the module was told to send it nothing
}

// NewRegistry returns a registry that follows discovery at addr.
func NewRegistry(d *dispatch.Dispatcher, e *transport.Engine, addr string) *Registry {
	s := &Registry{core: d, engine: e, hosts: map[string]*backend{}}
	s.watch = watch{set: s, addr: addr, random: rand.New(rand.NewPCG(d.Seed, 0))}
	s.watch.due.Fire = s.watch.expire
	s.watch.next.Fire = s.watch.open
	s.reconfigure = s.reconfigureCore
	s.oldDue.Fire = s.look
	s.age.CanCheckHealth = d.Settings.HealthChecks
	d.Loop.OnStall = func() { s.age.Stalled(d.Loop.Now()) }
	s.due.Fire = func() { s.begin(nil) }
	return s
}

// Attach names the worker client. It must come before the first list.
func (s *Registry) Attach(client WorkerClient) { s.client = client }

// Worker finds a listed worker; nil: there is none of that name.
func (s *Registry) Worker(name string) *backend { return s.hosts[name] }
