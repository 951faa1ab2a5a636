// Package httpfront is the HTTP/1.1 front end: it accepts client connections, reads requests, passes them to the
// dispatcher and writes their responses.
//
// A FrontEnd belongs to the event loop's goroutine; none of its methods may be called from another one. It does not
// decide to which worker a request goes or whether it is retried. It never closes a connection on which a response is
// pending, and never writes two responses to one request. Whatever a client sends, the
// other clients are still served.
package httpfront

import (
	"net"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/slotmap"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// frontEndNumber identifies this front end at the gate, which may serve several front ends.
const frontEndNumber = 0

// FrontEnd serves HTTP/1.1 clients.
type FrontEnd struct {
	dispatcher     *dispatch.Dispatcher
	engine         *transport.Engine
	gate           *listener.Gate
	acceptor       *transport.Acceptor // nil before Serve is called
	classes        map[string]int      // indexes of the classes by their names
	connections    slotmap.Map[clientConnection]
	responseBuffer []byte      // scratch space in which a response is assembled
	ready          func() bool // whether workers are known
	memoryLimit    int         // bytes that buffers may take up before incomplete requests are rejected

	turns    turnState
	drain    drainState
	eviction evictionState

	closeAfterResponse bool          // connections are closed after their next responses
	shuttingDown       bool          // a restart has begun, so /healthz reports not ready unless handedOver is set
	handedOver         bool          // a successor accepts connections, so /healthz reports ready
	readingStopped     bool          // nothing is read from clients any more
	readUntil          time.Duration // requests that arrived by this clock time are still read after StopReading
	listenerShared     bool          // another process accepts on the same listener

	durable        *durable.Service // nil if there is none, or while another process has the store
	durableClasses []bool           // by class, whether it is durable; nil if no class is
}

// The interfaces through which the dispatcher and the gate use a front end. The dispatcher checks for
// dispatch.ClientWatcher with a type assertion at run time.
var (
	_ dispatch.ClientWatcher = (*FrontEnd)(nil)
	_ dispatch.FrontEnd      = (*FrontEnd)(nil)
	_ listener.FrontEnd      = (*FrontEnd)(nil)
)

// New returns a front end that accepts connections once Listen or Serve is called. It rejects incomplete requests while
// the buffers of the engine, which other components may share, take up more than memoryLimit bytes. ready reports
// whether workers are known.
func New(dispatcher *dispatch.Dispatcher, engine *transport.Engine, memoryLimit int, ready func() bool) *FrontEnd {
	frontEnd := &FrontEnd{
		dispatcher:  dispatcher,
		engine:      engine,
		gate:        listener.NewUnlimited(dispatcher.Loop),
		classes:     durable.ClassIndexes(&dispatcher.Settings),
		memoryLimit: memoryLimit,
		ready:       ready,
	}
	frontEnd.eviction.retryTimer.Fire = frontEnd.retryEviction
	frontEnd.eviction.silenceTimer.Fire = frontEnd.evictSilent
	frontEnd.drain.timer.Fire = frontEnd.continueDrain
	return frontEnd
}

// SetGate sets the gate that admits connections. It must be called before Listen or Serve.
func (f *FrontEnd) SetGate(gate *listener.Gate) { f.gate = gate }

// Listen starts accepting up to maxConnections connections on an address, and returns the address.
func (f *FrontEnd) Listen(addr string, maxConnections int) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	f.Serve(ln, maxConnections)
	return ln.Addr().String(), nil
}

// Serve starts accepting connections from a listener, up to maxConnections unless the gate limits them.
func (f *FrontEnd) Serve(ln net.Listener, maxConnections int) {
	if !f.gate.Enabled() {
		f.gate.Limiter.SetCapacity(maxConnections)
	}
	f.gate.AddFrontEnd(frontEndNumber, f)
	options := transport.AcceptOptions{
		NewHandler:   f.accept,
		SingleBuffer: true,
		Limit:        maxConnections,
		OnFull:       f.evictForCapacity,
	}
	if f.gate.Enabled() {
		f.acceptor = f.engine.ServeWithAdmission(ln, options)
		return
	}
	f.acceptor = f.engine.Serve(ln, options)
}

// accept takes over a connection that the acceptor has accepted, and returns its handler.
func (f *FrontEnd) accept(conn *transport.Conn) transport.Handler {
	connection := newClientConnection(f, conn)
	connection.token = f.connections.Insert(connection)
	connection.limiterID = f.gate.RegisterConnection(frontEndNumber, connection.token, conn.AdmissionToken)
	f.eviction.capacityExhausted = false
	f.eviction.provenSparedUntil = 0
	if f.gate.Enabled() {
		connection.peer = conn.Peer()
		connection.awaitsProxyHeader = f.gate.Limiter.TrustOf(connection.limiterID) == connlimit.TrustedProxy
	}
	f.loop().Set(&connection.timer, f.loop().Now()+idleTimeout)
	if f.readingStopped { // the connection was accepted before StopReading and was still in the loop's queue
		conn.Pause()
		f.loop().Post(connection.finishReading)
	}
	f.evictSilent()
	return connection
}

// StopAccepting stops accepting connections; those in the listener's backlog wait for the next process.
func (f *FrontEnd) StopAccepting() {
	if f.acceptor != nil {
		f.acceptor.Close()
	}
}

// DrainListener stops accepting connections once those in the listener's backlog have been accepted.
func (f *FrontEnd) DrainListener() {
	if f.acceptor != nil {
		f.acceptor.CloseWhenDrained()
	}
}

// Accepting reports whether connections may still be accepted.
func (f *FrontEnd) Accepting() bool { return f.acceptor != nil && !f.acceptor.Ended() }

// SetListenerShared sets whether another process accepts on the same listener.
func (f *FrontEnd) SetListenerShared(shared bool) { f.listenerShared = shared }

// SetMemoryLimit sets how many bytes the buffers may take up from now on.
func (f *FrontEnd) SetMemoryLimit(limit int) { f.memoryLimit = limit }

// Ready reports whether workers are known, so that requests can be forwarded.
func (f *FrontEnd) Ready() bool { return f.ready() }

// ConnectionCount returns the number of connections on which requests can arrive or responses are pending.
func (f *FrontEnd) ConnectionCount() int { return f.connections.Len() }

// OpenConnections returns the number of connections that have not been closed entirely, including those whose client
// has yet to read the last response.
func (f *FrontEnd) OpenConnections() int {
	if f.acceptor == nil {
		return f.connections.Len()
	}
	return f.acceptor.OpenConnections()
}

// loop returns the event loop that the front end runs on.
func (f *FrontEnd) loop() *eventloop.Loop { return f.dispatcher.Loop }
