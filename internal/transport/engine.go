// Package transport manages listeners, connections, which are identified by handles,
// and pooled buffers of one size. It sends and receives bytes, and reports how many of
// the written bytes have been sent.
//
// An Engine runs all connections of the program on nbio. It passes the events of a
// connection to the connection's Handler on the goroutine of an event loop. The state
// of a Conn belongs to that goroutine. A connection is not read while its handler has
// not processed what was read before, so that a fast peer cannot fill the memory.
//
// The package does not parse protocols, and does not decide what the loss of a
// connection means for a request.
package transport

import (
	"math"
	"sync"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/slotmap"
)

const (
	// maxBuffersInTransit is the number of buffers in transit to handlers, of all
	// connections together, from which on the poller waits for the loop.
	maxBuffersInTransit = 32

	// unlimited is the limit of a group that is bounded by an Admission or a Quota.
	unlimited = math.MaxInt32
)

// Engine runs all connections of the program. Its methods may be called from any
// goroutine unless their comments say otherwise.
type Engine struct {
	Loop *eventloop.Loop // handlers are called on its goroutine
	Pool Pool            // the pool of the buffers that are passed to handlers

	admission Admission

	poller *nbio.Engine
	reuse  reuseGuard
	conns  slotmap.Map[Conn] // belongs to the loop's goroutine

	dials       *connGroup // dialed connections, except those in reserved
	reserved    *connGroup // dialed connections that use reserved descriptors
	descriptors int        // maximum number of descriptors while no other process of the dispatcher runs

	// sessionMu orders the writes in register before the reads in nbio's callbacks. The
	// kernel orders them already, but the race detector does not know that.
	sessionMu sync.Mutex

	mu        sync.Mutex // guards the two fields below
	share     float64    // share of the descriptors that this process may use at present
	acceptors []*Acceptor

	transitMu   sync.Mutex // guards inTransit
	transitCond sync.Cond  // signals that inTransit has changed
	inTransit   int        // buffers in transit to handlers
}

// NewEngine starts an engine that uses at most the given number of descriptors. It
// returns an error if epoll_create(2) or another system call fails when nbio starts.
func NewEngine(loop *eventloop.Loop, descriptors int) (*Engine, error) {
	accepted := AcceptedDescriptors(descriptors)
	engine := &Engine{
		Loop:        loop,
		descriptors: descriptors,
		share:       1,
		dials:       newConnGroup(ConnectionDescriptors(descriptors)-accepted, multiBufferWindow),
		reserved:    newConnGroup(reservedDials, multiBufferWindow),
	}
	engine.transitCond.L = &engine.transitMu
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = descriptors + nbioTableMargin
	engine.poller = nbio.NewEngine(nbio.Config{
		Name:     "hollyyoke",
		NPoller:  1,
		EpollMod: nbio.EPOLLET, // level-triggered, nbio loops on a writable connection until its first partial write
		// Conn.read replaces nbio's own reads.
		ReadBufferSize: BufferSize,
	})
	engine.poller.OnOpen(engine.onOpen)
	engine.poller.OnRead(engine.onReadable)
	engine.poller.OnWrittenSize(engine.onWritten)
	engine.poller.OnClose(engine.onClosed)
	err := engine.poller.Start()
	if err != nil {
		return nil, err
	}
	engine.reuse.barrier, err = newPollerBarrier(engine)
	return engine, err
}

// setSession sets what a socket of an nbio callback belongs to: a *Conn or a *pollerBarrier.
func (e *Engine) setSession(socket *nbio.Conn, session any) {
	e.sessionMu.Lock()
	defer e.sessionMu.Unlock()
	socket.SetSession(session)
}

// sessionOf returns what a socket of an nbio callback belongs to.
func (e *Engine) sessionOf(socket *nbio.Conn) any {
	e.sessionMu.Lock()
	defer e.sessionMu.Unlock()
	return socket.Session()
}

// connOf returns the connection to which a socket of an nbio callback belongs, or nil
// if it belongs to none.
func (e *Engine) connOf(socket *nbio.Conn) *Conn {
	c, _ := e.sessionOf(socket).(*Conn)
	return c
}

// nbio calls onOpen, onReadable, onWritten and onClosed, either on the goroutine of its
// poller or on the one that calls AddConn.

func (e *Engine) onOpen(socket *nbio.Conn) {
	c := e.connOf(socket)
	if c != nil {
		e.Loop.Post(c.onOpen)
	}
}

func (e *Engine) onReadable(socket *nbio.Conn) {
	switch session := e.sessionOf(socket).(type) {
	case *pollerBarrier:
		session.onReadable()
	case *Conn:
		e.waitForTransit()
		err := session.read()
		if err != nil {
			_ = socket.CloseWithError(err)
		}
	}
}

func (e *Engine) onWritten(socket *nbio.Conn, _ []byte, n int) {
	c := e.connOf(socket)
	if c != nil {
		c.sentAt.Store(int64(e.Loop.Now()))
		c.sentBytes.Add(int64(n))
	}
}

func (e *Engine) onClosed(socket *nbio.Conn, err error) {
	c := e.connOf(socket)
	if c == nil {
		return
	}
	c.group.release()
	e.Loop.Post(func() { c.onSocketClosed(err) })
}

// waitForTransit waits while too many buffers are in transit to handlers.
func (e *Engine) waitForTransit() {
	e.transitMu.Lock()
	for e.inTransit >= maxBuffersInTransit {
		e.transitCond.Wait()
	}
	e.transitMu.Unlock()
}

// addInTransit adds n to the number of buffers in transit to handlers.
func (e *Engine) addInTransit(n int) {
	e.transitMu.Lock()
	e.inTransit += n
	e.transitMu.Unlock()
	e.transitCond.Signal()
}

// OpenConnections returns the number of connections that have a slot. It may be called
// only on the loop's goroutine.
func (e *Engine) OpenConnections() int { return e.conns.Len() }

// Resize changes the number of descriptors that the engine may use, while another
// process of the same dispatcher uses the rest. All limits except fixed ones change in
// proportion, but do not exceed their initial values. Connections that are already open
// stay open, even above the new limits.
func (e *Engine) Resize(descriptors int) {
	share := float64(ConnectionDescriptors(descriptors)) / float64(ConnectionDescriptors(e.descriptors))
	share = min(share, 1)
	e.dials.resize(share)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.share = share
	for _, a := range e.acceptors {
		if !a.fixedLimit {
			a.group.resize(share)
		}
	}
}

// StopListening closes all listeners.
func (e *Engine) StopListening() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.acceptors {
		a.Close()
	}
	e.acceptors = nil
}
