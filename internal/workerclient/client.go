// Package workerclient carries attempts to workers over HTTP/1.1: it owns the connections to workers, sends requests
// and health checks, and reports to the dispatcher how each ended.
//
// A Client belongs to the event loop's goroutine; none of its methods may be called from another one. It never sends a
// request again on its own once the last byte of it may have left, and never takes a response for one that belongs to
// another request.
package workerclient

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// Client carries attempts to the workers that a registry lists.
type Client struct {
	dispatcher *dispatch.Dispatcher
	engine     *transport.Engine
	registry   *discovery.Registry

	connections map[uint64]*connection              // by the handle of the attempt that runs on them
	idle        map[*discovery.Worker][]*connection // the connection used last is at the end
	out         []byte                              // scratch space in which a request is put together

	holdLastByteUntil time.Duration // until then, requests are sent with their last byte held back
	lastByteDelay     time.Duration // defaultLastByteDelay; tests that play a worker need more
	reuseDelay        time.Duration // defaultReuseDelay, but in tests
}

// The dispatcher asks a worker client for this interface at run time.
var _ dispatch.Refresher = (*Client)(nil)

// New returns a client for the workers that a registry lists, and makes it the dispatcher's.
func New(dispatcher *dispatch.Dispatcher, engine *transport.Engine, registry *discovery.Registry) *Client {
	client := &Client{
		dispatcher:    dispatcher,
		engine:        engine,
		registry:      registry,
		connections:   map[uint64]*connection{},
		idle:          map[*discovery.Worker][]*connection{},
		lastByteDelay: defaultLastByteDelay,
		reuseDelay:    defaultReuseDelay,
	}
	registry.Attach(client)
	dispatcher.AddSource(client)
	return client
}

// Refresh makes the registry check which workers its list still allows requests to.
func (c *Client) Refresh() { c.registry.Refresh() }

// Subscribe asks the registry for list changes from now on.
func (c *Client) Subscribe() { c.registry.Subscribe() }

// Start sends an attempt on an idle connection to its worker, or on a new one. An attempt for a worker that is not
// listed ends at once.
func (c *Client) Start(attempt dispatch.Attempt) {
	worker := c.registry.Worker(attempt.Worker)
	if worker == nil {
		c.dispatcher.AttemptEnded(attempt.Handle, decision.ConnectionRefused, decision.LoadReport{}, nil)
		return
	}
	conn := c.acquire(worker, attempt.RetryUnsafe)
	conn.assign(attempt)
	if conn.state != stateDialing {
		conn.send()
	}
}

// Cancel abandons an attempt, whose outcome is not reported any more. It returns true if the attempt has certainly
// never run, since its request had not left entirely.
func (c *Client) Cancel(handle uint64) (neverRan bool) {
	conn := c.connections[handle]
	if conn == nil {
		return false
	}
	conn.reportSent()
	if conn.state == stateDialing { // once it is open, the connection may serve another attempt
		conn.dial.unwanted = true
		neverRan = true
	} else {
		conn.close() // before asking what was flushed: until then, buffered bytes may still leave on another goroutine
		neverRan = conn.state == stateIdle || conn.request.kind == confirmation || !conn.requestFlushed()
	}
	if neverRan {
		conn.claimNeverSent(invariant.ClaimCancelled)
	}
	conn.unassign()
	return neverRan
}

// CloseIdle closes the idle connections to a worker, given by its name.
func (c *Client) CloseIdle(name string) {
	worker := c.registry.Worker(name)
	if worker != nil {
		c.CloseIdleTo(worker)
	}
}

// loop returns the event loop that the client runs on.
func (c *Client) loop() *eventloop.Loop { return c.dispatcher.Loop }
