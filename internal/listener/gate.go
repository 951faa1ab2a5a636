// Package listener applies the decisions of package connlimit to connections. Its
// Gate is the Admission of a transport.Engine: it asks a Limiter about connections
// as they are accepted, evicts others where that makes capacity, reacts to pressure on
// the descriptors, and answers and logs rejections. It also parses PROXY headers.
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
	Respond503       bool          // rejected connections get a 503 response; else they are closed
	WriteStall       time.Duration // for which a client may leave answers unread; 0: no bound
}

const (
	minShare       = 0.05 // of SetShare
	minDescriptors = 8    // of the budget, however small the share
)

// Gate admits, evicts and rejects the connections of one process. Its exported
// fields are set before the first connection. The methods of transport.Admission
// and LogRejection may be called from any goroutine; all others belong to the
// loop's.
type Gate struct {
	Limiter          *connlimit.Limiter
	Budget           *connlimit.DescriptorBudget // nil: the engine bounds the descriptors
	CloseIdleWorkers func()                      // closes idle connections to workers

	loop        *eventloop.Loop
	logger      *slog.Logger // nil: nothing is logged
	config      Config
	enabled     bool // New made it
	descriptors int  // with no other process beside this one
	frontEnds   [maxFrontEnds]FrontEnd

	// Of admission, for any goroutine.
	respond503   atomic.Bool  // Config.Respond503
	waiting      atomic.Int32 // connections in WaitForCapacity
	rejectionLog rejectionLog

	// Of the pressure on descriptors.
	pressure        atomic.Int32       // the connlimit.Pressure that was last passed on
	exhaustedAt     atomic.Int64       // when the kernel last had no descriptor, by the loop's clock; 0: it has
	relieving       atomic.Bool        // relievePressure is posted, or will run again
	pressureRecheck eventloop.Deadline // runs relievePressure again
}

var _ transport.Admission = (*Gate)(nil)

// SilentGrace is how long a connection may be silent, where NewUnlimited made the Gate, before it is evicted for one that
// waits. A client that has a request sends it with the end of the handshake. All that wait in the kernel's queue are
// alike, and behind a crowd that sends nothing a client waits so long for each time that the crowd fills the connections.
const SilentGrace = 40 * time.Millisecond

// NewUnlimited returns a Gate that keeps the order of eviction alone; the engine
// bounds how many connections there are.
func NewUnlimited(loop *eventloop.Loop) *Gate {
	limiter, err := connlimit.New(connlimit.Config{Capacity: 1, Anonymous: true, SilentGrace: SilentGrace})
	if err != nil {
		panic(err) // a capacity of one is valid
	}
	return &Gate{Limiter: limiter, loop: loop}
}

// New returns a Gate that decides on each connection, and sets it as the engine's
// Admission. descriptors is how many there are for connections. An error names the
// field of the configuration that is wrong.
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

// quota returns the budget of one kind of descriptors.
func (g *Gate) quota(kind connlimit.DescriptorKind) transport.Quota {
	return transport.Quota{
		Acquire: func() bool { return g.Budget.Acquire(kind) },
		Release: func() { g.Budget.Release(kind) },
	}
}

// Enabled reports whether New made the Gate, so that connections are decided on.
func (g *Gate) Enabled() bool { return g.enabled }

// WriteStall returns how long a client may leave answers unread; 0: no bound.
func (g *Gate) WriteStall() time.Duration { return g.config.WriteStall }

// Reconfigure changes the configuration of a Gate that is Enabled. Connections
// stay. An error names the field that is wrong.
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

// SetShare bounds a Gate that is Enabled to a share of its descriptors and its
// capacity, while another process of the same dispatcher has the rest. Connections
// stay.
func (g *Gate) SetShare(share float64) {
	share = min(max(share, minShare), 1)
	floors := g.config.DescriptorFloors
	for kind := range floors {
		floors[kind] = int(share * float64(floors[kind]))
	}
	descriptors := max(int(share*float64(g.descriptors)), minDescriptors)
	_ = g.Budget.Reconfigure(descriptors, floors, g.config.Watermarks) // what is valid is so in proportion
	g.Limiter.SetCapacity(int(share * float64(g.config.Limits.Capacity)))
	g.updatePressure()
}
