// Package workerclient carries attempts to workers over HTTP/1.1: it owns the connections to workers, sends requests
// and health checks, and reports to the dispatcher how each ended.
//
// A Client belongs to the event loop's goroutine; none of its methods may be called from another one. Once the last
// byte of a request may have been sent, it does not resend the request on its own. It never matches a response to
// another request than the one that the worker responded to.
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

	connections   map[uint64]*connection              // by the handle of the attempt that they carry
	idle          map[*discovery.Worker][]*connection // by worker, the most recently used connection last
	requestBuffer []byte                              // scratch space in which a request is assembled

	holdLastByteUntil time.Duration // until then, requests are sent with their last byte held back
	lastByteDelay     time.Duration // defaultLastByteDelay, or longer in tests, which must act as the worker within it
	reuseDelay        time.Duration // defaultReuseDelay, except in tests
}

// The dispatcher checks for this interface with a type assertion at run time.
var _ dispatch.Refresher = (*Client)(nil)

// New returns a client for the workers that a registry lists, and adds it to the dispatcher.
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
	registry.SetWorkerClient(client)
	dispatcher.AddSource(client)
	return client
}

// Refresh makes the registry check to which workers its endpoint list still allows requests.
func (c *Client) Refresh() { c.registry.Refresh() }

// Subscribe makes the registry subscribe to changes of the endpoint list.
func (c *Client) Subscribe() { c.registry.Subscribe() }

// Start sends an attempt on an idle connection to its worker, or on a new one. If the worker is not listed, the attempt
// ends immediately.
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

// Cancel abandons an attempt. Its outcome is not reported afterwards. Cancel returns true if the attempt has certainly
// never run, because its request was not sent completely.
func (c *Client) Cancel(handle uint64) (neverRan bool) {
	conn := c.connections[handle]
	if conn == nil {
		return false
	}
	conn.reportSent()
	if conn.state == stateDialing { // the dial continues, so that the open connection can carry another attempt
		conn.dial.abandoned = true
		neverRan = true
	} else {
		conn.close() // before requestFlushed: until the close, another goroutine may still send buffered bytes
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
