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

// MaxCalls is how many connections the API holds at a time. Their descriptors are
// reserved for it.
const MaxCalls = 16

const (
	callTimeout = 3 * time.Second        // from the accept until the call is complete
	callerGrace = 300 * time.Millisecond // a connection younger than this is about to send its call
)

// Operations is what the API reads and does.
type Operations struct {
	Ready           func() bool             // whether this process accepts clients
	SetOutOfService func(out bool) error    // begins or ends a drain; the caller is sent an error's text
	Gate            *listener.Gate          // admits connections; nil: all are admitted
	Jobs            func() *durable.Service // durable jobs; nil, or a nil service: there are none
	Membership      func() discovery.Stats  // of the endpoint list; nil: not available
}

// API is the admin API. It belongs to the loop's goroutine.
type API struct {
	dispatcher *dispatch.Dispatcher
	engine     *transport.Engine
	workers    dispatch.WorkerClient
	operations Operations
	calls      slotmap.Map[call]  // not answered yet
	answered   []*call            // on their way out
	limiter    *connlimit.Limiter // chooses which connection is closed for a new one
}

// New returns an API that is not open yet. The worker counts are those of the client
// workers.
func New(d *dispatch.Dispatcher, e *transport.Engine, workers dispatch.WorkerClient, operations Operations) *API {
	limiter, err := connlimit.New(connlimit.Config{Capacity: MaxCalls, Grace: callerGrace, Anonymous: true})
	if err != nil {
		panic(err) // the configuration is constant
	}
	return &API{dispatcher: d, engine: e, workers: workers, operations: operations, limiter: limiter}
}

// Listen opens the API at an address, and returns the address with its port.
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

// accept starts a call on a new connection.
func (a *API) accept(conn *transport.Conn) transport.Handler {
	now := a.dispatcher.Loop.Now()
	c := &call{api: a, conn: conn}
	c.token = a.calls.Insert(c)
	c.id = a.limiter.Adopt(now, connlimit.Token(c.token))
	c.timeout.Fire = c.expire
	a.dispatcher.Loop.Set(&c.timeout, now+callTimeout)
	return c
}

// evict closes a connection for a new one, where as many are open as may be: the
// oldest that has sent nothing, else the oldest that has its answer, else the oldest
// incomplete call. One within its grace comes last: its call is on the way.
func (a *API) evict() {
	a.removeClosed()
	if a.calls.Len()+len(a.answered) < MaxCalls { // some have been closed since
		return
	}
	token, found := a.evictionCandidate()
	if !found {
		return
	}
	if evicted := a.calls.Get(token); evicted != nil {
		evicted.release()
		evicted.conn.Close()
		return
	}
	for _, c := range a.answered {
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
	if !found { // all are within their grace
		candidate, found = a.limiter.EvictionCandidate(now+callerGrace, connlimit.ForUnknown, connlimit.Spared{})
	}
	return uint64(candidate.Token), found
}

// removeClosed removes the answered calls whose connections are closed.
func (a *API) removeClosed() {
	a.answered = slices.DeleteFunc(a.answered, func(c *call) bool {
		closed := c.conn.Handle == 0
		if closed {
			a.limiter.Closed(c.id)
		}
		return closed
	})
}
