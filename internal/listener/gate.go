// Package listener applies the decisions of package connlimit to connections. Its
// Gate implements transport.Admission: it asks a connlimit.Limiter whether to admit an
// accepted connection, evicts other connections to free capacity, reacts when
// descriptors become scarce, and answers and logs rejections. The package also parses
// PROXY headers.
//
// Decisions on accepted connections are made off the event loop, so that a busy
// loop does not delay the next accept.
package listener

import (
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// Config configures a Gate.
type Config struct {
	Limits           connlimit.Config
	DescriptorFloors [connlimit.DescriptorKinds]int
	Watermarks       connlimit.Watermarks
	Respond503       bool          // rejected connections get a 503 response before they are closed
	WriteStall       time.Duration // how long a client may leave responses unread; 0 means no limit
}

const (
	minShare       = 0.05 // minimum share that SetShare applies
	minDescriptors = 8    // minimum number of descriptors that SetShare sets
)

// Gate admits, evicts and rejects the client connections of one process. Its exported
// fields must be set before the first connection. LogRejection and the methods of
// transport.Admission may be called from any goroutine, all other methods only on the
// loop's goroutine.
type Gate struct {
	Limiter          *connlimit.Limiter
	Budget           *connlimit.DescriptorBudget // nil if only the engine limits the descriptors
	CloseIdleWorkers func()                      // closes idle connections to workers

	loop        *eventloop.Loop
	logger      *slog.Logger // nil if nothing is logged
	config      Config
	enabled     bool // the Gate was created by New
	descriptors int  // number of descriptors for connections while no other process of the dispatcher runs
	frontEnds   [maxFrontEnds]FrontEnd

	// State of the admission, which any goroutine may use.
	respond503   atomic.Bool  // Config.Respond503
	waiting      atomic.Int32 // number of connections in WaitForCapacity
	rejectionLog rejectionLog

	// State of the pressure on descriptors.
	pressure        atomic.Int32       // the connlimit.Pressure that was last passed to the Limiter
	exhaustedAt     atomic.Int64       // clock time at which the kernel last had no descriptor; 0 if that is over
	relieving       atomic.Bool        // relievePressure is posted or scheduled
	pressureRecheck eventloop.Deadline // runs relievePressure again
}

var _ transport.Admission = (*Gate)(nil)

// SilentGrace is how long a Gate that NewUnlimited created lets a connection be silent before it may be evicted for a
// waiting one. A client that has a request sends it together with the end of the handshake, so the time can be short.
// It should be short, since the kernel's queue does not distinguish connections: behind a crowd of clients that send
// nothing, another client waits for SilentGrace each time that the crowd fills all connections.
const SilentGrace = 40 * time.Millisecond

// NewUnlimited returns a Gate that only determines the order of eviction. The engine
// limits the number of connections.
func NewUnlimited(loop *eventloop.Loop) *Gate {
	limiter, err := connlimit.New(connlimit.Config{Capacity: 1, Anonymous: true, SilentGrace: SilentGrace})
	if err != nil {
		panic(err) // a capacity of one is valid
	}
	return &Gate{Limiter: limiter, loop: loop}
}

// New returns a Gate that decides on each connection, and sets it as the engine's
// Admission. descriptors is the number of descriptors for connections. An error names
// the field of the configuration that is wrong.
func New(
	loop *eventloop.Loop, engine *transport.Engine, config Config, descriptors int, logger *slog.Logger,
) (*Gate, error) {
	config.Limits.Seed = rand.Uint64()
	limiter, err := connlimit.New(config.Limits)
	if err != nil {
		return nil, err
	}
	budget, err := connlimit.NewDescriptorBudget(descriptors, config.DescriptorFloors, config.Watermarks)
	if err != nil {
		return nil, err
	}
	gate := &Gate{
		Limiter:     limiter,
		Budget:      budget,
		loop:        loop,
		logger:      logger,
		config:      config,
		enabled:     true,
		descriptors: descriptors,
	}
	gate.respond503.Store(config.Respond503)
	gate.pressureRecheck.Fire = gate.relievePressure
	engine.SetAdmission(gate, gate.quota(connlimit.WorkerConnections), gate.quota(connlimit.DiscoveryConnections))
	return gate, nil
}

// quota returns a Quota that takes descriptors of one kind from the budget.
func (g *Gate) quota(kind connlimit.DescriptorKind) transport.Quota {
	return transport.Quota{
		Acquire: func() bool { return g.Budget.Acquire(kind) },
		Release: func() { g.Budget.Release(kind) },
	}
}

// Enabled reports whether the Gate decides on connections, which means that it was
// created by New and not by NewUnlimited.
func (g *Gate) Enabled() bool { return g.enabled }

// WriteStall returns how long a client may leave responses unread. 0 means no limit.
func (g *Gate) WriteStall() time.Duration { return g.config.WriteStall }

// Reconfigure changes the configuration of a Gate that is Enabled. Open connections
// stay open. An error names the field that is wrong.
func (g *Gate) Reconfigure(config Config, descriptors int) error {
	err := g.Budget.Reconfigure(descriptors, config.DescriptorFloors, config.Watermarks)
	if err != nil {
		return err
	}
	err = g.Limiter.Reconfigure(config.Limits)
	if err != nil {
		return err
	}
	g.config = config
	g.respond503.Store(config.Respond503)
	g.updatePressure()
	return nil
}

// SetShare limits a Gate that is Enabled to a share of its descriptors and of its
// capacity, while another process of the same dispatcher uses the rest. Open connections
// stay open.
func (g *Gate) SetShare(share float64) {
	share = min(max(share, minShare), 1)
	floors := g.config.DescriptorFloors
	for kind := range floors {
		floors[kind] = int(share * float64(floors[kind]))
	}
	descriptors := max(int(share*float64(g.descriptors)), minDescriptors)
	_ = g.Budget.Reconfigure(descriptors, floors, g.config.Watermarks) // scaled floors are valid if the full ones are
	g.Limiter.SetCapacity(int(share * float64(g.config.Limits.Capacity)))
	g.updatePressure()
}
