// Package net owns the sockets: listeners, connections in numbered slots, and
// buffers of one size that are used again. It carries bytes and tells how far
// they got; it must never read a protocol, decide what a broken connection
// means for a req, touch state off the loop's goroutine, or read faster than
// its owners take in.
package transport

import (
	"encoding/binary"
	"errors"
	"io"
	"math"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/slotmap"
)

// BufferSize is the size of every buffer: a body of 64 KiB with its head, and
// the frame lines of a chunked one.
const BufferSize = 72 << 10

// Buffer is a buffer from the pool. Bytes() is what it holds.
type Buffer struct {
	pool  *Pool
	array []byte
	n     int
	high  int // bytes of it that take up memory
}

// Bytes is what the buffer holds.
func (b *Buffer) Bytes() []byte { return b.array[:b.n] }

// Append appends p if there is room for all of it.
func (b *Buffer) Append(p []byte) bool {
	if len(p) > BufferSize-b.n {
		return false
	}
	b.Fill(p)
	return true
}

// Fill appends as much of p as there is room for, and returns how much that is.
func (b *Buffer) Fill(p []byte) int {
	n := copy(b.array[b.n:], p)
	b.grow(n)
	return n
}

func (b *Buffer) grow(n int) {
	b.n += n
	if high := (b.n + page - 1) / page * page; high > b.high {
		b.pool.held.Add(int64(high - b.high))
		b.high = high
	}
}

// Consume drops the first n bytes.
func (b *Buffer) Consume(n int) { b.n = copy(b.array, b.array[n:b.n]) }

const (
	page      = 4 << 10
	stretch   = 16      // buffers that the pool asks the system for at a time
	warmBytes = 1 << 20 // that free buffers may go on taking up
	coolBytes = page
)

// Pool hands out buffers and takes them back, from any goroutine. They lie
// outside the heap: a buffer takes up the pages that have been written to, not
// its size, and gives them back when it is free. Most messages are small, and
// hundreds of half-read ones must not cost 72 KiB each.
type Pool struct {
	mu   sync.Mutex
	free []*Buffer
	warm int    // bytes beyond coolBytes that free buffers take up
	rest []byte // of the last stretch
	held atomic.Int64
}

// BytesInUse is how many bytes the buffers in use take up.
func (p *Pool) BytesInUse() int { return int(p.held.Load()) }

// Get returns an empty buffer.
func (p *Pool) Get() *Buffer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		p.warm -= max(b.high-coolBytes, 0)
		p.held.Add(int64(b.high))
		return b
	}
	if len(p.rest) == 0 {
		var err error
		p.rest, err = syscall.Mmap(-1, 0, stretch*BufferSize, syscall.PROT_READ|syscall.PROT_WRITE,
			syscall.MAP_ANON|syscall.MAP_PRIVATE)
		if err != nil {
			return &Buffer{pool: p, array: make([]byte, BufferSize)}
		}
		_ = syscall.Madvise(p.rest, syscall.MADV_NOHUGEPAGE) // a huge page is taken up whole
	}
	b := &Buffer{pool: p, array: p.rest[:BufferSize:BufferSize]}
	p.rest = p.rest[BufferSize:]
	return b
}

// Put takes a buffer back; nil is no buffer.
func (p *Pool) Put(b *Buffer) {
	if b == nil {
		return
	}
	b.n = 0
	p.held.Add(int64(-b.high))
	p.mu.Lock()
	defer p.mu.Unlock()
	if more := b.high - coolBytes; more > 0 {
		if p.warm+more <= warmBytes {
			p.warm += more
		} else if syscall.Madvise(b.array[coolBytes:], syscall.MADV_DONTNEED) == nil {
			b.high = coolBytes
		}
	}
	p.free = append(p.free, b)
}

// Handler is told what happens to a connection, on the loop's goroutine. It owns
// each buffer that Data hands it. Closed comes once, and last.
type Handler interface {
	OnData(c *Conn, b *Buffer)
	OnClosed(c *Conn, err error)
}

// Conn is one connection. All but its counters belong to the loop's goroutine.
type Conn struct {
	Handle         uint64 // its slot; 0 until it is open and after it is closed
	Handler        Handler
	Opened         time.Duration
	AdmissionToken uint64 // what the guard gave it; 0: it was not asked

	engine    *Engine
	peer      netip.Addr
	nb        *nbio.Conn // nil where the system had no descriptor for it
	open      func()
	gate      *gate
	asked     int64 // bytes given to Write
	written   atomic.Int64
	ending    eventloop.Deadline
	endBy     time.Duration
	halfEnded bool
	skimming  bool // what comes is dropped
	skimmed   int  // bytes of it so far

	reading sync.Mutex // guards what follows
	flight  int        // buffers on their way to the owner
	paused  bool       // the owner wants no more for now
	stalled bool       // there may be more to read
}

// Admission decides on connections as they are accepted. Its methods are called off
// the loop's goroutine, and must not wait for it, but for Wait.
type Admission interface {
	Admit(conn net.Conn) (pass uint64, in, wait bool) // not in and not to wait: it has closed the connection
	WaitForRoom(conn net.Conn) (pass uint64, in bool) // on a goroutine of its own
	Abandoned(pass uint64)                            // one that came in ended before it had an owner
	Release()                                         // a descriptor of one that came in is free
	Exhausted()                                       // the system has no descriptor left
}

// Quota bounds connections of one kind by what others use too.
type Quota struct {
	Acquire func() bool // takes a descriptor; false: none is free
	Release func()      // gives it back
}

// SetAdmission sets the guard of ServeGuarded, and bounds dials, and those that have
// their descriptors reserved, by quotas in place of a share of their own. It
// must come first.
func (e *Engine) SetAdmission(g Admission, dials, reserved Quota) {
	e.guard = g
	e.dials.full, e.dials.most = math.MaxInt32, math.MaxInt32
	e.dials.take, e.dials.give = dials.Acquire, dials.Release
	e.reserved.take, e.reserved.give = reserved.Acquire, reserved.Release
}

// Engine runs all connections of the program on nbio.
type Engine struct {
	Loop *eventloop.Loop
	Pool Pool

	guard Admission

	nb        *nbio.Engine
	conns     slotmap.Map[Conn]
	dials     gate       // connections that we open
	reserved  gate       // those of them that no other can keep from being opened
	fence     sync.Mutex // orders what add writes before what nbio's callbacks read
	all       int        // descriptors allowed in all
	part      float64    // of them, that are this process's at present; guarded by mu
	mu        sync.Mutex
	listeners []*Acceptor

	flights sync.Mutex // guards the number of buffers on their way to owners
	landed  sync.Cond
	flying  int
}

const mostFlying = 32 // beyond it the poller waits for the loop

// conn finds the connection that nbio calls back about; nil is none of ours.
// nbio orders its callbacks after AddConn by the kernel's hand, which the race
// detector cannot see: hence the fence.
func (e *Engine) conn(nc *nbio.Conn) *Conn {
	e.fence.Lock()
	defer e.fence.Unlock()
	c, _ := nc.Session().(*Conn)
	return c
}

// Acceptor accepts connections from one listener.
type Acceptor struct {
	ln    net.Listener
	gate  *gate
	fixed bool // its bound is its own, whatever the engine has
}

// Addr is the address it accepts on.
func (a *Acceptor) Addr() net.Addr { return a.ln.Addr() }

func (a *Acceptor) String() string { return a.ln.Addr().String() }

// Close accepts no more. Where another process has the same listening socket,
// that one goes on, and what waits in the backlog waits for it.
func (a *Acceptor) Close() {
	_ = a.ln.Close()
	a.gate.close()
}

// OpenConnections is the number of its connections that have not ended, those that linger
// included; before Close, one that is waited for may be among them.
func (a *Acceptor) OpenConnections() int {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	return a.gate.open
}

// gate bounds connections of one kind.
type gate struct {
	mu   sync.Mutex
	cond sync.Cond
	open int
	full int // the bound where the engine has all descriptors
	most int // the bound at present
	shut bool

	window int // buffers that may be on their way from one connection to its owner

	take func() bool // beyond the bound; may be nil, as give
	give func()
}

// wideWindow lets a peer's last words through, which come in pieces, before its
// end: nbio closes on that end at once, and what was not read by then is lost.
const wideWindow = 8

func newGate(most, window int) gate {
	return gate{full: max(most, 1), most: max(most, 1), window: window}
}

// resize changes the bound. What is open above it stays.
func (g *gate) resize(part float64) {
	g.mu.Lock()
	g.most = max(int(part*float64(g.full)), 1)
	g.mu.Unlock()
	g.cond.Broadcast()
}

func (g *gate) try() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= g.most || g.take != nil && !g.take() {
		return false
	}
	g.open++
	return true
}

// wait takes a place as soon as one is free; full is called, once, if there is none at first.
func (g *gate) wait(full func()) bool {
	if g.try() {
		return true
	}
	full()
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.open >= g.most && !g.shut {
		g.cond.Wait()
	}
	if g.shut {
		return false
	}
	g.open++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	g.open--
	g.mu.Unlock()
	if g.give != nil {
		g.give()
	}
	g.cond.Signal()
}

// enter counts one that was decided on elsewhere.
func (g *gate) enter() {
	g.mu.Lock()
	g.open++
	g.mu.Unlock()
}

func (g *gate) close() {
	g.mu.Lock()
	g.shut = true
	g.mu.Unlock()
	g.cond.Broadcast()
}

// Of the descriptors allowed, some are for the run time, epoll, listeners, the
// reserved dials and the twin that a descriptor has for a moment when nbio takes
// it over; of the rest, the larger part is for connections that others open.
const (
	spareDescriptors = 24
	reservedDials    = 2 // one connection, and one that has been closed just now
	acceptedShare    = 0.6
)

// acceptPause is the pause after an accept that failed.
const acceptPause = 20 * time.Millisecond

// ErrNoDescriptor tells that no descriptor is free for a connection of ours.
var ErrNoDescriptor = errors.New("no descriptor free")

// noDescriptor tells whether a call failed since the process or the system has no descriptor left.
func noDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// localErrors are errors of socket and connect that speak of this machine, as
// socket(2), connect(2) and ip(7) describe them: no packet reached the peer.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN,
}

// IsLocalError tells whether a dial failed by this machine's own trouble, which says
// nothing of the peer and may be over in a moment.
func IsLocalError(err error) bool {
	return errors.Is(err, ErrNoDescriptor) || slices.ContainsFunc(localErrors, func(e error) bool { return errors.Is(err, e) })
}

// NewEngine starts an engine that keeps to a number of descriptors in all.
func NewEngine(loop *eventloop.Loop, descriptors int) (*Engine, error) {
	usable := max(descriptors-spareDescriptors, 8)
	e := &Engine{Loop: loop, all: descriptors, part: 1, dials: newGate(usable-int(acceptedShare*float64(usable)), wideWindow),
		reserved: newGate(reservedDials, wideWindow)}
	e.dials.cond.L, e.reserved.cond.L, e.landed.L = &e.dials.mu, &e.reserved.mu, &e.flights
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = descriptors + 4096 // nbio keeps an array of that length, by descriptor
	// Edge-triggered: level-triggered, nbio spins on a writable connection until its first partial write.
	e.nb = nbio.NewEngine(nbio.Config{
		Name: "hollyyoke", NPoller: 1, EpollMod: nbio.EPOLLET, ReadBufferSize: BufferSize,
	})
	e.nb.OnOpen(func(nc *nbio.Conn) {
		if c := e.conn(nc); c != nil {
			e.Loop.Post(c.open)
		}
	})
	e.nb.OnRead(func(nc *nbio.Conn) {
		if c := e.conn(nc); c != nil {
			e.flights.Lock()
			for e.flying >= mostFlying {
				e.landed.Wait()
			}
			e.flights.Unlock()
			if err := e.read(c); err != nil {
				_ = nc.CloseWithError(err)
			}
		}
	})
	e.nb.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) {
		if c := e.conn(nc); c != nil {
			c.written.Add(int64(n))
		}
	})
	e.nb.OnClose(func(nc *nbio.Conn, err error) {
		c := e.conn(nc)
		if c == nil {
			return
		}
		c.gate.leave()
		e.Loop.Post(func() { c.gone(err) })
	})
	return e, e.nb.Start()
}

// read reads a buffer, if the owner has taken in what came before and wants more.
// Guards the memory, and the other connections' turns: nbio's own reading went
// on for as long as a peer kept sending, and each piece waited for the loop in
// a buffer of its own.
func (e *Engine) read(c *Conn) error {
	c.reading.Lock()
	defer c.reading.Unlock()
	return c.readOnce()
}

func (c *Conn) readOnce() error {
	if c.stalled = c.flight >= c.gate.window || c.paused; c.stalled {
		return nil
	}
	b := c.engine.Pool.Get()
	n, err := c.fill(b.array)
	if n == 0 {
		c.engine.Pool.Put(b)
		return err
	}
	b.grow(n)
	c.flight++
	c.stalled = n == len(b.array)
	c.engine.fly(1)
	c.engine.Loop.Post(func() { c.take(b) })
	return err
}

// fill reads until nothing more is there or the space is full, and returns how
// much it read and how the connection ended, if it has. Edge-triggered, the poller
// does not tell again of bytes that are left, and closes on the peer's end at once.
// A read may fall short of what is there: only EAGAIN says that there is no more.
func (c *Conn) fill(space []byte) (filled int, err error) {
	for filled < len(space) {
		n, err := c.nb.Read(space[filled:])
		switch {
		case n > 0:
			filled += n
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return filled, nil
		case err == nil:
			return filled, io.EOF
		default:
			return filled, err
		}
	}
	return filled, nil
}

func (e *Engine) fly(n int) {
	e.flights.Lock()
	e.flying += n
	e.flights.Unlock()
	e.landed.Signal()
}

// take hands a buffer to the owner and reads on.
func (c *Conn) take(b *Buffer) {
	if c.Handle == 0 {
		c.engine.Pool.Put(b)
	} else {
		c.Handler.OnData(c, b)
	}
	c.engine.fly(-1)
	c.again(func() { c.flight-- })
}

// again reads what may be left to read, after a change of what is guarded.
func (c *Conn) again(change func()) {
	c.reading.Lock()
	change()
	stalled := c.stalled
	c.reading.Unlock()
	if stalled && c.engine.read(c) != nil {
		c.sever()
	}
}

// Pause reads no more until Resume. That the peer has closed is told all the same.
func (c *Conn) Pause() {
	c.reading.Lock()
	c.paused = true
	c.reading.Unlock()
}

// Resume reads on, unless what comes is skimmed.
func (c *Conn) Resume() {
	if c.skimming {
		return
	}
	c.again(func() { c.paused = false })
}

// NothingUnread tells whether nothing of the peer's is on its way to the owner, neither
// in a buffer nor unread in the socket: a close now crosses nothing that is here.
func (c *Conn) NothingUnread() bool {
	bytes, _ := c.unread()
	return !bytes
}

// Idle tells whether the connection is open and nothing of the peer's is
// here that the owner has not taken in, its end included: what is asked now
// cannot be answered by what came before.
func (c *Conn) Idle() bool {
	bytes, end := c.unread()
	return !bytes && !end
}

// unread tells whether bytes of the peer's are here that the owner has not
// taken in, and, where there are none, whether the connection is at its end.
func (c *Conn) unread() (bytes, end bool) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.Handle == 0 {
		return false, true
	}
	if c.flight > 0 {
		return true, false
	}
	end = true // unless there is a descriptor to ask
	c.control(func(fd int) {
		n, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		bytes, end = err == nil && n > 0, err != syscall.EAGAIN && n <= 0
	})
	return bytes, end
}

// PeerClosed tells whether the peer has closed its end or the connection has
// broken. It asks the system, so it knows before the poller has told, and also
// where bytes lie before the end that nobody has read.
func (c *Conn) PeerClosed() bool {
	if c.Handle == 0 {
		return true
	}
	closed := true // unless there is a descriptor to ask
	c.control(func(fd int) {
		info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO) // its first four bytes
		var bytes [4]byte
		binary.NativeEndian.PutUint32(bytes[:], uint32(info))
		state := bytes[0]
		closed = err == nil && (state == tcpClosed || state == tcpCloseWait)
	})
	return closed
}

const ( // states of a socket as the system's TCP_INFO tells them
	tcpClosed    = 7
	tcpCloseWait = 8 // the peer has sent its end, and we have not
)

// control calls f with the descriptor, which is ours as long as nbio has not closed it.
func (c *Conn) control(f func(fd int)) {
	c.nb.Lock()
	defer c.nb.Unlock()
	if closed, _ := c.nb.IsClosed(); closed {
		return
	}
	if raw, err := c.nb.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// AcceptedShare is the share of the descriptors that accepted connections may take.
func AcceptedShare(descriptors int) int {
	return int(acceptedShare * float64(max(descriptors-spareDescriptors, 8)))
}

// ConnectionDescriptors is how many of the descriptors allowed are for connections.
func ConnectionDescriptors(descriptors int) int { return max(descriptors-spareDescriptors, 8) }

// Resize makes the engine keep to another number of descriptors in all, while
// another process of the same dispatcher has the rest. Bounds move in step, but
// for fixed ones; what is open above them stays.
func (e *Engine) Resize(descriptors int) {
	part := float64(max(descriptors-spareDescriptors, 8)) / float64(max(e.all-spareDescriptors, 8))
	part = min(part, 1)
	e.dials.resize(part)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.part = part
	for _, a := range e.listeners {
		if !a.fixed {
			a.gate.resize(part)
		}
	}
}

// ListenerFromDescriptor returns the listener that a descriptor of this process is, as one of
// its own: closing it leaves the socket to the other processes that have it.
func ListenerFromDescriptor(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "inherited listener")
	if f == nil {
		return nil, errors.New("no descriptor")
	}
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, errors.New("not a listener for TCP")
	}
	return &inherited{tcp}, nil
}

// inherited is a listener whose socket other processes have too, and with it the
// flag that says whether a call waits. Whoever starts a process may clear it:
// the accept then waited in the system, and the close for the accept, without end.
type inherited struct{ *net.TCPListener }

// Accept sets the flag first, lest it wait where no close reaches it.
func (l *inherited) Accept() (net.Conn, error) {
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
	return l.TCPListener.Accept()
}

// Close does not wait for an accept that does, all the same. What that one still
// takes is served.
func (l *inherited) Close() error {
	go l.TCPListener.Close()
	return nil
}

// Listen accepts connections on an address, most at a time; own names the
// owner of each, and full is called when one waits since there are too many. A
// narrow one hands over one buffer of a connection at a time, so that an owner
// who pauses gets no more; what a peer sent just before it closed may be lost.
func (e *Engine) Listen(
	addr string, most int, narrow bool, own func(c *Conn) Handler, full func(),
) (*Acceptor, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return e.Serve(ln, most, narrow, own, full), nil
}

// FixLimit makes the acceptor's bound its own: Resize leaves it as it is.
func (a *Acceptor) FixLimit() *Acceptor {
	a.fixed = true
	a.gate.resize(1)
	return a
}

// Serve accepts connections from a listener, as Listen does.
func (e *Engine) Serve(
	ln net.Listener, most int, narrow bool, own func(c *Conn) Handler, full func(),
) *Acceptor {
	g := newGate(most, wideWindow)
	if narrow {
		g.window = 1
	}
	g.cond.L = &g.mu
	a := &Acceptor{ln: ln, gate: &g}
	e.mu.Lock()
	g.resize(e.part)
	e.listeners = append(e.listeners, a)
	e.mu.Unlock()
	go func() {
		for g.wait(func() { e.Loop.Post(full) }) {
			conn, err := ln.Accept()
			if err != nil {
				g.leave()
				if errors.Is(err, net.ErrClosed) {
					return
				}
				if noDescriptor(err) {
					e.Loop.Post(full)
				}
				time.Sleep(acceptPause) // guards against spinning
				continue
			}
			e.add(conn, &g, 0, own)
		}
	}()
	return a
}

// ServeWithAdmission accepts connections from a listener, as many as the guard lets in.
func (e *Engine) ServeWithAdmission(ln net.Listener, narrow bool, own func(c *Conn) Handler) *Acceptor {
	g := newGate(math.MaxInt32, wideWindow)
	if narrow {
		g.window = 1
	}
	g.cond.L, g.give = &g.mu, e.guard.Release
	a := &Acceptor{ln: ln, gate: &g, fixed: true}
	e.mu.Lock()
	e.listeners = append(e.listeners, a)
	e.mu.Unlock()
	go e.guarded(a, own)
	return a
}

// guarded accepts as fast as the system gives connections, so that none waits
// behind those that will be refused: in the kernel's queue all are alike.
func (e *Engine) guarded(a *Acceptor, own func(*Conn) Handler) {
	// With no descriptor left, this one is given up for a moment to refuse with.
	spare, _ := os.Open(os.DevNull)
	defer func() { spare.Close() }()
	come := func(conn net.Conn, pass uint64) {
		a.gate.enter()
		e.add(conn, a.gate, pass, own)
	}
	for {
		conn, err := a.ln.Accept()
		switch {
		case err == nil:
			if spare == nil { // this one's descriptor is the first that could be had
				conn.Close()
				spare, _ = os.Open(os.DevNull)
				continue
			}
			pass, in, wait := e.guard.Admit(conn)
			switch {
			case in:
				come(conn, pass)
			case wait:
				go func() {
					if pass, in := e.guard.WaitForRoom(conn); in {
						come(conn, pass)
					}
				}()
			}
		case errors.Is(err, net.ErrClosed):
			return
		case noDescriptor(err):
			e.guard.Exhausted()
			if spare != nil {
				spare.Close()
				if conn, err := a.ln.Accept(); err == nil {
					conn.Close()
				}
			}
			if spare, _ = os.Open(os.DevNull); spare == nil {
				time.Sleep(starvedTime) // another holder took it: guards against spinning
			}
		default: // a peer that has gone before it was accepted, or the like
			time.Sleep(time.Millisecond)
		}
	}
}

const starvedTime = 5 * time.Millisecond // between looks for a descriptor

// Adopt takes over a connection that was opened elsewhere.
func (e *Engine) Adopt(conn net.Conn, own func(*Conn) Handler) error {
	if !e.dials.try() {
		_ = conn.Close()
		return ErrNoDescriptor
	}
	e.add(conn, &e.dials, 0, own)
	return nil
}

// Dial opens a connection and calls done on the loop's goroutine.
//
// nbio's own DialAsync is not used: it reads an IPv4 address out of the first
// four bytes of a 16-byte one, and so reached 0.0.0.0 for any address here; nor
// does it tell a refused connection from an open one. Its blocking Dial has
// neither fault, so that waits on a goroutine.
func (e *Engine) Dial(addr string, timeout time.Duration, own Handler, done func(*Conn, error)) {
	if !e.dials.try() {
		e.Loop.Post(func() { done(nil, ErrNoDescriptor) })
		return
	}
	e.dialFrom(&e.dials, addr, timeout, own, done)
}

// DialReserved is Dial with a descriptor that other connections cannot take,
// where one of those is free. It is for the connection without which the rest is
// of no use, one at a time.
func (e *Engine) DialReserved(addr string, timeout time.Duration, own Handler, done func(*Conn, error)) {
	if e.reserved.try() {
		e.dialFrom(&e.reserved, addr, timeout, own, done)
		return
	}
	e.Dial(addr, timeout, own, done) // earlier ones that are given up have not ended yet
}

// dialFrom opens a connection that has its place behind a gate.
func (e *Engine) dialFrom(g *gate, addr string, timeout time.Duration, own Handler, done func(*Conn, error)) {
	go func() {
		conn, err := net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			g.leave()
			e.Loop.Post(func() { done(nil, err) })
			return
		}
		e.add(conn, g, 0, func(c *Conn) Handler {
			if own == nil {
				own = discard{e}
			}
			c.Handler = own
			done(c, nil)
			return c.Handler
		})
	}()
}

type discard struct{ e *Engine }

func (d discard) OnData(_ *Conn, b *Buffer) { d.e.Pool.Put(b) }
func (d discard) OnClosed(*Conn, error)     {}

// add gives a connection to nbio. Its slot is taken on the loop's goroutine
// before any of its data, since both are posted in order. It must be nbio that
// says when: a connection that it does not hold yet cannot be written to, and
// an owner that spoke first crashed there.
func (e *Engine) add(conn net.Conn, g *gate, pass uint64, own func(*Conn) Handler) {
	e.fence.Lock()
	c := &Conn{engine: e, gate: g, AdmissionToken: pass}
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		addr, _ := netip.AddrFromSlice(tcp.IP)
		c.peer = addr.Unmap()
	}
	e.fence.Unlock()
	nc, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		g.leave()
		e.Loop.Post(func() { // the owner must hear of it all the same
			if c.Handler = own(c); c.Handler != nil {
				c.Handler.OnClosed(c, err)
			}
		})
		return
	}
	e.fence.Lock()
	nc.SetSession(c)
	c.nb = nc
	c.open = func() {
		c.open = nil
		c.Handle = e.conns.Insert(c)
		c.Opened = e.Loop.Now()
		if c.Handler = own(c); c.Handler == nil {
			c.Handler = discard{e}
			c.Close()
		}
	}
	e.fence.Unlock()
	_, _ = e.nb.AddConn(nc) // on an error nbio has closed it, and OnClose tells
}

func (c *Conn) gone(err error) {
	c.engine.Loop.Clear(&c.ending)
	if c.Handle == 0 {
		if c.open != nil && c.AdmissionToken != 0 { // nbio would not take it
			c.engine.guard.Abandoned(c.AdmissionToken)
		}
		return
	}
	c.drop()
	c.Handler.OnClosed(c, err)
}

func (c *Conn) drop() {
	c.engine.conns.Remove(c.Handle)
	c.Handle = 0
	c.engine.Loop.Clear(&c.ending)
}

// Write sends p, of which a copy is kept if the socket cannot take it all.
// False tells that the connection is closed, or broke just now.
func (c *Conn) Write(p []byte) bool {
	if c.Handle == 0 {
		return false
	}
	c.asked += int64(len(p))
	if c.UnsentBytes() == int64(len(p)) { // nothing waits from before
		n, err := c.writeOut(p)
		if err != nil {
			c.sever()
			return false
		}
		p = p[n:]
	}
	if len(p) == 0 {
		return true
	}
	_, err := c.nb.Write(p)
	return err == nil
}

// writeOut writes to the socket until all is taken or the socket is full, and
// returns how much it took. nbio is edge-triggered and waits for the socket to
// become writable with what a write left over, which would never be told where
// the write was short or interrupted beside a socket that is not full.
func (c *Conn) writeOut(p []byte) (n int, err error) {
	err = net.ErrClosed
	c.control(func(fd int) {
		for err = nil; n < len(p) && err == nil; {
			var written int
			if written, err = syscall.Write(fd, p[n:]); written > 0 {
				n += written
			}
			if err == syscall.EINTR {
				err = nil
			}
		}
	})
	c.written.Add(int64(n))
	if err == syscall.EAGAIN {
		err = nil
	}
	return n, err
}

// Peer is the address of the other end.
func (c *Conn) Peer() netip.Addr { return c.peer }

// WriteOffset is the position behind the last byte given to Write.
func (c *Conn) WriteOffset() int64 { return c.asked }

// Flushed tells whether the byte before a mark has gone to the socket.
func (c *Conn) Flushed(mark int64) bool { return c.written.Load() >= mark }

// UnsentBytes is how many bytes given to Write the peer has not made room for yet.
func (c *Conn) UnsentBytes() int64 { return c.asked - c.written.Load() }

// SentBytes is how many bytes have gone to the socket.
func (c *Conn) SentBytes() int64 { return c.written.Load() }

// Close closes the connection at once. Its owner hears no more of it.
func (c *Conn) Close() {
	if c.Handle == 0 {
		return
	}
	c.drop()
	c.sever()
}

// Abort closes the connection at once by a reset, so that nothing arrives any more
// of what the peer has not taken: after an orderly close the kernel goes on sending
// what it holds, for minutes, and delivers it once a way that was cut off is free.
// Where the kernel refuses, the close is an orderly one.
func (c *Conn) Abort() {
	if c.Handle == 0 {
		return
	}
	const tries = 3 // setsockopt may fail for a moment
	c.control(func(fd int) {
		for range tries {
			if err := syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1}); err == nil {
				return
			}
		}
	})
	c.Close()
}

// Unacknowledged is how many bytes of those written the peer's kernel has not
// acknowledged; 0 also where the system does not tell.
func (c *Conn) Unacknowledged() (bytes int) {
	if c.Handle == 0 {
		return 0
	}
	c.control(func(fd int) {
		var queued int32
		_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(fd), syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&queued)))
		if errno == 0 {
			bytes = int(queued)
		}
	})
	return bytes + int(c.UnsentBytes())
}

// sever ends the connection and leaves its descriptor for nbio's poller to
// close, which hears of it at once. Guards the next owner of that number: closed
// here, while the poller still had an event of it, the event closed a connection
// that had just come.
func (c *Conn) sever() {
	open := false
	c.control(func(fd int) {
		_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
		open = true
	})
	if open { // in case nothing is left to hear, as after a reset
		c.ending.Fire = func() { _ = c.nb.Close() }
		c.engine.Loop.Set(&c.ending, c.engine.Loop.Now()+severTime)
	}
}

const severTime = 200 * time.Millisecond // for the poller to close a severed connection

const (
	lingerFor  = time.Second
	lingerStep = 5 * time.Millisecond

	// LingerTime is how long an ended connection may stay, until it is closed for good.
	LingerTime = lingerFor + 2*severTime
)

// CloseGracefully closes the connection once all that was written has left and the peer
// has closed too, or after a second. Guards against a reset, by bytes of the
// peer that nobody reads, overtaking the last answer. They are read and dropped
// one buffer a step, so that a peer that sends without end costs little.
func (c *Conn) CloseGracefully() {
	if c.Handle == 0 || c.endBy > 0 {
		return
	}
	c.Handler = discard{c.engine}
	c.Pause()
	c.endBy = c.engine.Loop.Now() + lingerFor
	c.ending.Fire = c.end
	c.end()
}

func (c *Conn) end() {
	now := c.engine.Loop.Now()
	if now >= c.endBy {
		c.Close()
		return
	}
	if _, more := c.skip(); !more {
		c.Close()
		return
	}
	if !c.halfEnded && c.Flushed(c.asked) {
		c.halfEnded = true
		c.control(func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
	}
	c.engine.Loop.Set(&c.ending, min(now+lingerStep, c.endBy))
}

// skip reads a buffer and drops it; false: the peer's end has come.
func (c *Conn) skip() (n int, more bool) {
	b := c.engine.Pool.Get()
	n, err := c.nb.Read(b.array)
	if n > 0 {
		b.grow(n)
	}
	c.engine.Pool.Put(b)
	return n, n > 0 || err == syscall.EAGAIN || err == syscall.EINTR
}

// Discard drops what the peer sends from now on, one buffer a step and so many
// bytes at the most. The owner gets none of it, but hears of the peer's end,
// which else would not come through behind bytes that nobody reads.
func (c *Conn) Discard(most int) {
	if c.Handle == 0 || c.endBy > 0 || c.skimming {
		return
	}
	c.skimming = true
	c.Pause()
	c.ending.Fire = func() {
		n, more := c.skip()
		if c.skimmed += max(n, 0); more && c.skimmed < most { // of its end the poller hears
			c.engine.Loop.Set(&c.ending, c.engine.Loop.Now()+lingerStep)
		}
	}
	c.ending.Fire()
}

// OpenConnections is the number of connections in their slots.
func (e *Engine) OpenConnections() int { return e.conns.Len() }

// StopListening closes all listeners.
func (e *Engine) StopListening() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.listeners {
		a.Close()
	}
	e.listeners = nil
}
