package transport

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// Handler receives the events of a connection, on the loop's goroutine.
type Handler interface {
	// OnData passes a buffer of received bytes, which the handler owns from now on.
	OnData(c *Conn, b *Buffer)

	// OnClosed is called once, and last, when the connection has ended other than
	// by a call of its own: io.EOF after the peer's orderly end.
	OnClosed(c *Conn, err error)
}

// Conn is one connection. Its fields and methods belong to the loop's goroutine.
type Conn struct {
	Handle         uint64 // its slot; 0 until it is open and after it is closed
	Handler        Handler
	Opened         time.Duration  // when it was opened, by the loop's clock
	AdmissionToken AdmissionToken // 0: no Admission was asked

	engine     *Engine
	group      *connGroup
	peer       netip.Addr
	socket     *nbio.Conn          // nil where nbio could not duplicate the descriptor
	newHandler func(*Conn) Handler // nil once it has been called
	state      connState

	writeOffset int64        // bytes given to Write
	sentBytes   atomic.Int64 // bytes that went to the socket

	closeTimer     eventloop.Deadline // of lingering, of Discard, or of the end of shutDown
	lingerDeadline time.Duration      // until which it lingers
	sendingClosed  bool               // while it lingers: the sending side of the socket is shut down
	discarding     bool               // Discard was called: received bytes are dropped
	discardedBytes int

	readMu      sync.Mutex // guards what follows
	inTransit   int        // buffers on their way to the handler
	paused      bool       // the handler wants no more for now
	mayHaveMore bool       // the last read left off before the socket was empty; the poller does not report that again
}

// discardHandler drops received bytes.
type discardHandler struct{ pool *Pool }

func (d discardHandler) OnData(_ *Conn, b *Buffer) { d.pool.Put(b) }
func (d discardHandler) OnClosed(*Conn, error)     {}

// register gives a connection that the group counts already to nbio.
//
// Its slot is taken on the loop's goroutine before any of its data, since both
// are posted in order. Only nbio can say when it is open: a connection that it
// does not hold yet cannot be written to.
func (e *Engine) register(conn net.Conn, group *connGroup, token AdmissionToken, newHandler func(*Conn) Handler) {
	connection := &Conn{engine: e, group: group, AdmissionToken: token, newHandler: newHandler}
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if ok {
		addr, _ := netip.AddrFromSlice(tcp.IP)
		connection.peer = addr.Unmap()
	}
	socket, err := nbio.NBConn(conn) // duplicates the descriptor with dup(2)
	if err != nil {
		_ = conn.Close()
		group.release()
		e.Loop.Post(func() { connection.onRegisterFailed(err) })
		return
	}
	e.sessionMu.Lock()
	socket.SetSession(connection)
	connection.socket = socket
	e.sessionMu.Unlock()
	_, _ = e.poller.AddConn(socket) // on an error nbio has closed it and calls onClosed
}

// onRegisterFailed notifies the handler of a connection that never opened.
func (c *Conn) onRegisterFailed(err error) {
	c.state = stateClosed
	c.Handler = c.newHandler(c)
	if c.Handler != nil {
		c.Handler.OnClosed(c, err)
	}
}

// onOpen takes the connection's slot and asks for its handler.
func (c *Conn) onOpen() {
	newHandler := c.newHandler
	c.newHandler = nil // the connection may outlive what it refers to
	c.takeSlot()
	c.Opened = c.engine.Loop.Now()
	c.Handler = newHandler(c)
	if c.Handler == nil {
		c.Handler = discardHandler{&c.engine.Pool}
		c.Close()
	}
}

// onSocketClosed frees the connection after nbio has closed its descriptor.
func (c *Conn) onSocketClosed(err error) {
	c.engine.Loop.Clear(&c.closeTimer)
	switch c.state {
	case stateOpening:
		c.state = stateClosed
		if c.AdmissionToken != 0 {
			c.engine.admission.Abandoned(c.AdmissionToken)
		}
	case stateOpen, stateLingering:
		c.freeSlot()
		c.Handler.OnClosed(c, err)
	}
}

// Peer returns the address of the other end.
func (c *Conn) Peer() netip.Addr { return c.peer }

// LocalPort returns the port of this end; 0 where there is none.
func (c *Conn) LocalPort() int {
	if c.socket == nil {
		return 0
	}
	local, ok := c.socket.LocalAddr().(*net.TCPAddr)
	if !ok {
		return 0
	}
	return local.Port
}

// control calls operate with the descriptor unless nbio has closed it. The
// descriptor stays this connection's until operate returns.
func (c *Conn) control(operate func(fd int)) {
	c.socket.Lock()
	defer c.socket.Unlock()
	closed, _ := c.socket.IsClosed()
	if closed {
		return
	}
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { operate(int(fd)) })
}
