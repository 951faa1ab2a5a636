package admin

import (
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/slotmap"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// MaxCalls is how many connections the API has open at a time. Their descriptors are
// reserved for the API.
const MaxCalls = 16

const (
	callTimeout        = 3 * time.Second        // from the accept until the call is complete
	storeTimeout       = 3 * time.Second        // for a change of a job to be on disk
	newConnectionGrace = 300 * time.Millisecond // a connection younger than this is about to send its call
)

// Operations are the functions and components of the dispatcher that the API uses.
type Operations struct {
	Ready           func() bool             // reports whether this process accepts clients
	SetOutOfService func(out bool) error    // begins or ends a drain; the text of an error is sent to the caller
	Gate            *listener.Gate          // admits connections; nil if all are admitted
	Jobs            func() *durable.Service // durable jobs; nil, or returns nil, if there are none
	JobsElsewhere   func() bool             // reports whether the predecessor has the durable jobs; nil if there is none
	Membership      func() discovery.Stats  // statistics of the endpoint list; nil if not available
}

// API is the admin API. It belongs to the loop's goroutine.
type API struct {
	dispatcher    *dispatch.Dispatcher
	engine        *transport.Engine
	workers       dispatch.WorkerClient
	operations    Operations
	openCalls     slotmap.Map[call]  // calls that are not answered yet
	answeredCalls []*call            // calls whose response is sent, until their connection is closed
	limiter       *connlimit.Limiter // chooses which connection is closed for a new one
}

// New returns an API that does not listen yet. The worker counts that it reports are those
// of the source workers.
func New(d *dispatch.Dispatcher, e *transport.Engine, workers dispatch.WorkerClient, operations Operations) *API {
	limiter, err := connlimit.New(connlimit.Config{Capacity: MaxCalls, Grace: newConnectionGrace, Anonymous: true})
	if err != nil {
		panic(err) // the configuration is constant
	}
	return &API{dispatcher: d, engine: e, workers: workers, operations: operations, limiter: limiter}
}

// Listen begins to accept calls at addr, and returns the address with the actual port.
func (a *API) Listen(addr string) (string, error) {
	acceptor, err := a.engine.Listen(addr, transport.AcceptOptions{
		NewHandler:   a.accept,
		SingleBuffer: true,
		Limit:        MaxCalls,
		OnFull:       a.evict,
	})
	if err != nil {
		return "", err
	}
	return acceptor.FixLimit().String(), nil
}

// accept returns the call of a new connection, with its timeout set.
func (a *API) accept(conn *transport.Conn) transport.Handler {
	now := a.dispatcher.Loop.Now()
	c := &call{api: a, conn: conn}
	c.token = a.openCalls.Insert(c)
	c.id = a.limiter.Adopt(now, connlimit.Token(c.token))
	c.timeout.Fire = c.expire
	a.dispatcher.Loop.Set(&c.timeout, now+callTimeout)
	return c
}

// evict closes a connection to admit a new one, if MaxCalls are open: the oldest that has
// sent nothing, otherwise the oldest that has its response, otherwise the oldest incomplete
// call. A connection younger than newConnectionGrace is closed only if there is no other,
// since its call is probably in transit.
func (a *API) evict() {
	a.removeClosed()
	if a.openCalls.Len()+len(a.answeredCalls) < MaxCalls { // some have been closed since
		return
	}
	token, found := a.evictionCandidate()
	if !found {
		return
	}
	if evicted := a.openCalls.Get(token); evicted != nil {
		evicted.release()
		evicted.conn.Close()
		return
	}
	for _, c := range a.answeredCalls {
		if c.token == token {
			c.conn.Close()
		}
	}
	a.removeClosed()
}

// evictionCandidate returns the token of the connection to close.
func (a *API) evictionCandidate() (token uint64, found bool) {
	now := a.dispatcher.Loop.Now()
	candidate, found := a.limiter.EvictionCandidate(now, connlimit.ForUnknown, connlimit.Spared{})
	if !found {
		candidate, found = a.limiter.EvictionCandidate(now, connlimit.ForMemory, connlimit.Spared{})
	}
	if !found { // all are younger than newConnectionGrace
		candidate, found = a.limiter.EvictionCandidate(now+newConnectionGrace, connlimit.ForUnknown, connlimit.Spared{})
	}
	return uint64(candidate.Token), found
}

// removeClosed removes the answered calls whose connections have been closed.
func (a *API) removeClosed() {
	a.answeredCalls = slices.DeleteFunc(a.answeredCalls, func(c *call) bool {
		closed := c.conn.Handle == 0
		if closed {
			a.limiter.Closed(c.id)
		}
		return closed
	})
}
