// Package discovery keeps the endpoint list: which workers there are, how recently their source answered, and whether
// the list may still be acted on.
//
// A [Registry] follows one source of updates. The source is either the discovery watch, a single long-lived HTTP call
// whose answer is a stream of lists and changes, or one of several membership servers (origins and relays, package
// membership), which serve numbered versions as snapshots and deltas. Each list or change is checked as a whole before
// any of it is applied, and an older version never replaces a newer one. What is applied is reported to the dispatcher
// on behalf of the worker client.
//
// The state is divided by its owner:
//
//   - [Registry] holds the listed workers and reports changes to the dispatcher (update.go).
//   - initialEndpoints withholds the list of the configuration until the source has answered (initiallist.go).
//   - listFreshness decides whether the list is current, unconfirmed or unknown; its comment defines these and says what
//     follows from each (staleness.go, suspension.go).
//   - watch is the discovery watch (watch.go, watchreader.go, reconnect.go).
//   - membershipFollower chooses a membership server and applies its changes (follower.go, applychange.go); a
//     subscription is the communication with one server (subscription.go).
//
// A Registry and everything it owns belong to the event loop's goroutine.
package discovery

import (
	"math/rand/v2"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// WorkerClient is the worker client on whose behalf the registry reports its list to the dispatcher. The registry
// notifies it of changes that matter to connections.
type WorkerClient interface {
	dispatch.WorkerClient
	// WorkerLeaving reports that a worker has begun to drain or was removed.
	WorkerLeaving(worker *Worker)
	// CloseIdleTo closes the idle connections to a worker that was removed or whose address has changed.
	CloseIdleTo(worker *Worker)
	// CloseAllIdle closes the idle connections to all workers, since no file descriptor is free.
	CloseAllIdle()
}

// Registry is the endpoint list and the state of the source that it comes from. It belongs to the event loop's
// goroutine.
type Registry struct {
	dispatcher *dispatch.Dispatcher
	engine     *transport.Engine
	client     WorkerClient
	workers    map[string]*Worker // by name, without removed workers
	initial    initialEndpoints
	freshness  listFreshness

	watch    watch               // the discovery watch; unused while follower is set
	follower *membershipFollower // follows membership servers; nil if the discovery watch is the source
	stats    Stats

	// applySettings puts changed settings in force, all or none.
	applySettings func(changes []settingChange) error

	// OnUpdate, unless nil, is called after a list or change of the source has been applied.
	OnUpdate func()

	// OnVersionApplied, unless nil, is called with each version of a membership server that has been applied.
	OnVersionApplied func(version membership.Version)
}

// New returns a registry that follows the discovery service at addr, a host:port. An empty addr means that there is no
// discovery service.
func New(d *dispatch.Dispatcher, e *transport.Engine, addr string) *Registry {
	r := &Registry{dispatcher: d, engine: e, workers: map[string]*Worker{}}
	r.watch = watch{registry: r, address: addr, random: rand.New(rand.NewPCG(d.Seed, 0))}
	r.watch.timeout.Fire = r.watch.onTimeout
	r.watch.nextCall.Fire = r.watch.open
	r.applySettings = r.reconfigureDispatcher
	r.freshness.timer.Fire = r.refreshAndSchedule
	r.initial.timeout.Fire = func() { r.publishInitial(nil) }
	r.freshness.tracker.CanCheckHealth = d.Settings.HealthChecks
	d.Loop.OnStall = func() { r.freshness.tracker.Stalled(d.Loop.Now()) }
	return r
}

// SetWorkerClient sets the worker client. It must be called before the first list is loaded.
func (r *Registry) SetWorkerClient(client WorkerClient) { r.client = client }

// Worker returns the listed worker of that name, or nil.
func (r *Registry) Worker(name string) *Worker { return r.workers[name] }

// HasRunning reports whether a listed worker accepts new work.
func (r *Registry) HasRunning() bool {
	for _, worker := range r.workers {
		if worker.State == decision.Running {
			return true
		}
	}
	return false
}

// Version returns the newest version that the discovery watch has applied, or 0 if it has applied none.
func (r *Registry) Version() int64 { return r.watch.version }

// Ready reports whether the dispatcher has been given a list that has been usable: one of the source's, or the initial
// endpoint list after its timeout.
func (r *Registry) Ready() bool { return !r.initial.withheld() && r.Usable() }

// Usable reports whether the list has, at any time since the start, been fresh enough to send requests by.
func (r *Registry) Usable() bool {
	r.Refresh()
	return r.freshness.wasUsable
}
