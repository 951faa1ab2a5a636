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

	// OnClosed is called once, as the last event, when the connection has ended other
	// than by a call of Close, Abort or CloseGracefully. err is io.EOF if the peer has
	// closed in an orderly way.
	OnClosed(c *Conn, err error)
}

// Conn is a connection. Its fields and methods may be used only on the loop's
// goroutine.
type Conn struct {
	Handle         uint64 // handle of the connection's slot; 0 before it is open and after it is closed
	Handler        Handler
	OpenedAt       time.Duration  // clock time at which the connection was opened
	AdmissionToken AdmissionToken // 0 if the connection did not need an admission

	engine     *Engine
	group      *connGroup
	peer       netip.Addr
	peerPort   int
	socket     *nbio.Conn          // nil if nbio could not duplicate the descriptor
	newHandler func(*Conn) Handler // nil after it has been called
	state      connState

	writeOffset int64        // number of bytes passed to Write
	sentBytes   atomic.Int64 // number of bytes written to the socket
	sentAt      atomic.Int64 // clock time of the latest write(2) by which sentBytes has grown; stored before sentBytes

	closeTimer     eventloop.Deadline // for the steps of CloseGracefully and Discard, and for the timeout of shutDown
	lingerDeadline time.Duration      // clock time at which lingering ends
	shutDownBegun  bool               // shutDown was called: nothing more is written
	sendingClosed  bool               // while lingering: the sending side of the socket has been shut down
	discarding     bool               // Discard was called: received bytes are discarded
	discardedBytes int

	readMu      sync.Mutex // guards the fields below
	inTransit   int        // buffers in transit to the handler
	paused      bool       // Pause was called last, not Resume
	mayHaveMore bool       // unread bytes may be left in the socket, which the poller does not report again
}

// discardHandler ignores all events of a connection.
type discardHandler struct{ pool *Pool }

func (d discardHandler) OnData(_ *Conn, b *Buffer) { d.pool.Put(b) }
func (d discardHandler) OnClosed(*Conn, error)     {}

// register hands a connection, which is already counted in the group, over to nbio.
//
// The loop's goroutine assigns the slot before it handles data of the connection,
// since both are posted in this order. The connection counts as open only when nbio
// reports it, since a connection that nbio has not registered cannot be written to.
func (e *Engine) register(conn net.Conn, group *connGroup, token AdmissionToken, newHandler func(*Conn) Handler) {
	connection := &Conn{engine: e, group: group, AdmissionToken: token, newHandler: newHandler}
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if ok {
		addr, _ := netip.AddrFromSlice(tcp.IP)
		connection.peer = addr.Unmap()
		connection.peerPort = tcp.Port
	}
	socket, err := nbio.NBConn(conn) // duplicates the descriptor with dup(2)
	if err != nil {
		_ = conn.Close()
		group.release()
		e.Loop.Post(func() { connection.onRegisterFailed(err) })
		return
	}
	connection.socket = socket
	e.setSession(socket, connection)
	connection.withDescriptor(e.reuse.beforeRegister)
	_, _ = e.poller.AddConn(socket) // on an error nbio has closed the connection and calls onClosed
}

// onRegisterFailed tells the handler of a connection that it could not be opened.
func (c *Conn) onRegisterFailed(err error) {
	c.state = stateClosed
	c.Handler = c.newHandler(c)
	if c.Handler != nil {
		c.Handler.OnClosed(c, err)
	}
}

// onOpen assigns a slot and a handler to the connection.
func (c *Conn) onOpen() {
	newHandler := c.newHandler
	c.newHandler = nil // so that the connection does not keep alive what the function refers to
	c.takeSlot()
	c.OpenedAt = c.engine.Loop.Now()
	c.Handler = newHandler(c)
	if c.Handler == nil {
		c.Handler = discardHandler{&c.engine.Pool}
		c.Close()
	}
}

// onSocketClosed frees the connection's slot, if it has one, after nbio has closed the
// descriptor, and reports the end to the handler or to the Admission.
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

// Peer returns the IP address of the peer.
func (c *Conn) Peer() netip.Addr { return c.peer }

// PeerPort returns the port of the peer, or 0 if it is unknown.
func (c *Conn) PeerPort() int { return c.peerPort }

// LocalPort returns the local port, or 0 if it is unknown.
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

// withDescriptor calls operate with the connection's descriptor, unless nbio has closed it.
// The descriptor is not closed before operate returns.
func (c *Conn) withDescriptor(operate func(fd int)) {
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
