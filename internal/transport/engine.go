// Package transport owns the sockets: listeners, connections in numbered slots,
// and pooled buffers of one size. It carries bytes and reports how far they got.
//
// An Engine runs all connections of the program on nbio. What happens to a
// connection is passed to its Handler on the goroutine of an event loop, to which
// the state of a Conn belongs. Reading stops while a handler has not taken in
// what was read, so that a fast peer cannot fill the memory.
//
// The package parses no protocol and does not decide what a broken connection
// means for a request.
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
	// maxBuffersInTransit bounds the buffers on their way to handlers, of all
	// connections. Beyond it the poller waits for the loop.
	maxBuffersInTransit = 32

	// unlimited is the limit of a group that is bounded by other means.
	unlimited = math.MaxInt32
)

// Engine runs all connections of the program. Methods may be called from any
// goroutine unless they say otherwise.
type Engine struct {
	Loop *eventloop.Loop // on whose goroutine handlers are called
	Pool Pool            // of all buffers that handlers get

	admission Admission

	poller *nbio.Engine
	conns  slotmap.Map[Conn] // belongs to the loop's goroutine

	dials       *connGroup // connections that this process opens
	reserved    *connGroup // those of them whose descriptors no other connection can take
	descriptors int        // allowed in all, with no other process beside this one

	// sessionMu orders the writes of register before the reads of nbio's callbacks.
	// The kernel orders them already, which the race detector cannot see.
	sessionMu sync.Mutex

	mu        sync.Mutex // guards what follows
	share     float64    // of the descriptors, that is this process's now
	acceptors []*Acceptor

	transitMu   sync.Mutex // guards inTransit
	transitCond sync.Cond  // signals that inTransit changed
	inTransit   int        // buffers on their way to handlers
}

// NewEngine starts an engine that uses at most so many descriptors in all. An
// error is that of epoll_create(2) or another call of nbio's start.
func NewEngine(loop *eventloop.Loop, descriptors int) (*Engine, error) {
	accepted := AcceptedShare(descriptors)
	engine := &Engine{
		Loop:        loop,
		descriptors: descriptors,
		share:       1,
		dials:       newConnGroup(ConnectionDescriptors(descriptors)-accepted, wideWindow),
		reserved:    newConnGroup(reservedDials, wideWindow),
	}
	engine.transitCond.L = &engine.transitMu
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = descriptors + nbioTableMargin
	engine.poller = nbio.NewEngine(nbio.Config{
		Name:     "hollyyoke",
		NPoller:  1,
		EpollMod: nbio.EPOLLET, // level-triggered, nbio spins on a writable connection until its first partial write
		// nbio's own reads are replaced by those of Conn.read.
		ReadBufferSize: BufferSize,
	})
	engine.poller.OnOpen(engine.onOpen)
	engine.poller.OnRead(engine.onReadable)
	engine.poller.OnWrittenSize(engine.onWritten)
	engine.poller.OnClose(engine.onClosed)
	return engine, engine.poller.Start()
}

// connOf returns the connection that nbio calls back about; nil: not one of ours.
func (e *Engine) connOf(socket *nbio.Conn) *Conn {
	e.sessionMu.Lock()
	defer e.sessionMu.Unlock()
	c, _ := socket.Session().(*Conn)
	return c
}

// onOpen, onReadable, onWritten and onClosed are called by nbio, on its poller's
// goroutine or on that of AddConn.

func (e *Engine) onOpen(socket *nbio.Conn) {
	c := e.connOf(socket)
	if c != nil {
		e.Loop.Post(c.onOpen)
	}
}

func (e *Engine) onReadable(socket *nbio.Conn) {
	c := e.connOf(socket)
	if c == nil {
		return
	}
	e.waitForTransit()
	err := c.read()
	if err != nil {
		_ = socket.CloseWithError(err)
	}
}

func (e *Engine) onWritten(socket *nbio.Conn, _ []byte, n int) {
	c := e.connOf(socket)
	if c != nil {
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

// waitForTransit waits while too many buffers are on their way to handlers.
func (e *Engine) waitForTransit() {
	e.transitMu.Lock()
	for e.inTransit >= maxBuffersInTransit {
		e.transitCond.Wait()
	}
	e.transitMu.Unlock()
}

// addInTransit changes the number of buffers on their way to handlers.
func (e *Engine) addInTransit(n int) {
	e.transitMu.Lock()
	e.inTransit += n
	e.transitMu.Unlock()
	e.transitCond.Signal()
}

// OpenConnections returns the number of connections that have a slot. It belongs
// to the loop's goroutine.
func (e *Engine) OpenConnections() int { return e.conns.Len() }

// Resize makes the engine use another number of descriptors in all, while another
// process of the same dispatcher has the rest. Limits change in proportion, except
// fixed ones, and never above those of the start; connections that are open above
// a limit stay.
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
