// Package net owns the sockets: listeners, connections in numbered slots, and
// buffers of one size that are used again. It carries bytes and tells how far
// they got; it must never read a protocol, decide what a broken connection
// means for a req, or touch state off the loop's goroutine.
package net

import (
	"errors"
	stdnet "net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"hollyyoke.example/hollyyoke/internal/core"
)

// BufferSize is the size of every buffer: a body of 64 KiB with its head, and
// the frame lines of a chunked one.
const BufferSize = 72 << 10

// Buffer is a buffer from the pool. Bytes() is what it holds.
type Buffer struct {
	array [BufferSize]byte
	n     int
}

// Bytes is what the buffer holds.
func (b *Buffer) Bytes() []byte { return b.array[:b.n] }

// Add appends p if there is room for all of it.
func (b *Buffer) Add(p []byte) bool {
	if len(p) > BufferSize-b.n {
		return false
	}
	b.n += copy(b.array[b.n:], p)
	return true
}

// Cut drops the first n bytes.
func (b *Buffer) Cut(n int) { b.n = copy(b.array[:], b.array[n:b.n]) }

const keptBuffers = 64 // free buffers that the pool holds on to

// Pool hands out buffers and takes them back, from any goroutine.
type Pool struct {
	mu   sync.Mutex
	free []*Buffer
}

// Get returns an empty buffer.
func (p *Pool) Get() *Buffer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	return new(Buffer)
}

// Put takes a buffer back; nil is no buffer.
func (p *Pool) Put(b *Buffer) {
	if b == nil {
		return
	}
	b.n = 0
	p.mu.Lock()
	if len(p.free) < keptBuffers {
		p.free = append(p.free, b)
	}
	p.mu.Unlock()
}

// Owner is told what happens to a connection, on the loop's goroutine. It owns
// each buffer that Data hands it. Closed comes once, and last.
type Owner interface {
	Data(c *Conn, b *Buffer)
	Closed(c *Conn, err error)
}

// Conn is one connection. All but its counters belong to the loop's goroutine.
type Conn struct {
	Handle uint64 // its slot; 0 until it is open and after it is closed
	Owner  Owner
	Opened time.Duration

	engine    *Engine
	nb        *nbio.Conn
	open      func()
	gate      *gate
	asked     int64 // bytes given to Write
	written   atomic.Int64
	ending    core.Deadline
	endBy     time.Duration
	halfEnded bool
}

// Engine runs all connections of the program on nbio.
type Engine struct {
	Loop *core.Loop
	Pool Pool

	nb        *nbio.Engine
	conns     core.Table[Conn]
	dials     gate       // connections that we open
	fence     sync.Mutex // orders what add writes before what nbio's callbacks read
	mu        sync.Mutex
	listeners []listener
}

// conn finds the connection that nbio calls back about; nil is none of ours.
// nbio orders its callbacks after AddConn by the kernel's hand, which the race
// detector cannot see: hence the fence.
func (e *Engine) conn(nc *nbio.Conn) *Conn {
	e.fence.Lock()
	defer e.fence.Unlock()
	c, _ := nc.Session().(*Conn)
	return c
}

type listener struct {
	stdnet.Listener
	gate *gate
}

// gate bounds connections of one kind.
type gate struct {
	mu   sync.Mutex
	cond sync.Cond
	open int
	most int
	shut bool
}

func newGate(most int) gate { return gate{most: max(most, 1)} }

func (g *gate) try() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= g.most {
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
	g.open++
	return !g.shut
}

func (g *gate) leave() {
	g.mu.Lock()
	g.open--
	g.mu.Unlock()
	g.cond.Signal()
}

func (g *gate) close() {
	g.mu.Lock()
	g.shut = true
	g.mu.Unlock()
	g.cond.Broadcast()
}

// Of the descriptors allowed, some are for the run time, epoll, listeners and
// the twin that a descriptor has for a moment when nbio takes it over; of the
// rest, the larger part is for connections that others open.
const (
	spareDescriptors = 24
	acceptedShare    = 0.6
)

// ErrFull tells that no descriptor is free for a connection of ours.
var ErrFull = errors.New("no descriptor free")

// NewEngine starts an engine that keeps to a number of descriptors in all.
func NewEngine(loop *core.Loop, descriptors int) (*Engine, error) {
	usable := max(descriptors-spareDescriptors, 8)
	e := &Engine{Loop: loop, dials: newGate(usable - int(acceptedShare*float64(usable)))}
	e.dials.cond.L = &e.dials.mu
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
	e.nb.OnData(func(nc *nbio.Conn, data []byte) {
		c := e.conn(nc)
		if c == nil {
			return
		}
		b := e.Pool.Get()
		b.Add(data)
		e.Loop.Post(func() {
			if c.Handle == 0 {
				e.Pool.Put(b)
				return
			}
			c.Owner.Data(c, b)
		})
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

// Accepted is the share of the descriptors that accepted connections may take.
func Accepted(descriptors int) int {
	return int(acceptedShare * float64(max(descriptors-spareDescriptors, 8)))
}

// Listen accepts connections on an address, most at a time; own names the
// owner of each, and full is called when one waits since there are too many.
func (e *Engine) Listen(addr string, most int, own func(c *Conn) Owner, full func()) (stdnet.Addr, error) {
	ln, err := stdnet.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	g := newGate(most)
	g.cond.L = &g.mu
	e.mu.Lock()
	e.listeners = append(e.listeners, listener{ln, &g})
	e.mu.Unlock()
	go func() {
		for g.wait(func() { e.Loop.Post(full) }) {
			conn, err := ln.Accept()
			if err != nil {
				g.leave()
				if errors.Is(err, stdnet.ErrClosed) {
					return
				}
				// Guards against spinning when the system has no descriptor left.
				e.Loop.Post(full)
				time.Sleep(20 * time.Millisecond)
				continue
			}
			e.add(conn, &g, own)
		}
	}()
	return ln.Addr(), nil
}

// Dial opens a connection and calls done on the loop's goroutine.
//
// nbio's own DialAsync is not used: it reads an IPv4 address out of the first
// four bytes of a 16-byte one, and so reached 0.0.0.0 for any address here; nor
// does it tell a refused connection from an open one. Its blocking Dial has
// neither fault, so that waits on a goroutine.
func (e *Engine) Dial(addr string, timeout time.Duration, own Owner, done func(*Conn, error)) {
	if !e.dials.try() {
		e.Loop.Post(func() { done(nil, ErrFull) })
		return
	}
	go func() {
		conn, err := stdnet.DialTimeout("tcp", addr, timeout)
		if err != nil {
			e.dials.leave()
			e.Loop.Post(func() { done(nil, err) })
			return
		}
		e.add(conn, &e.dials, func(c *Conn) Owner {
			if own == nil {
				own = discard{e}
			}
			c.Owner = own
			done(c, nil)
			return c.Owner
		})
	}()
}

type discard struct{ e *Engine }

func (d discard) Data(_ *Conn, b *Buffer) { d.e.Pool.Put(b) }
func (d discard) Closed(*Conn, error)     {}

// add gives a connection to nbio. Its slot is taken on the loop's goroutine
// before any of its data, since both are posted in order. It must be nbio that
// says when: a connection that it does not hold yet cannot be written to, and
// an owner that spoke first crashed there.
func (e *Engine) add(conn stdnet.Conn, g *gate, own func(*Conn) Owner) {
	e.fence.Lock()
	c := &Conn{engine: e, gate: g}
	e.fence.Unlock()
	nc, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		g.leave()
		e.Loop.Post(func() { // the owner must hear of it all the same
			if c.Owner = own(c); c.Owner != nil {
				c.Owner.Closed(c, err)
			}
		})
		return
	}
	e.fence.Lock()
	nc.SetSession(c)
	c.nb = nc
	c.open = func() {
		c.open = nil
		c.Handle = e.conns.Put(c)
		c.Opened = e.Loop.Now()
		if c.Owner = own(c); c.Owner == nil {
			c.Owner = discard{e}
			c.Close()
		}
	}
	e.fence.Unlock()
	_, _ = e.nb.AddConn(nc) // on an error nbio has closed it, and OnClose tells
}

func (c *Conn) gone(err error) {
	if c.Handle == 0 {
		return
	}
	c.drop()
	c.Owner.Closed(c, err)
}

func (c *Conn) drop() {
	c.engine.conns.Drop(c.Handle)
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
	_, err := c.nb.Write(p)
	return err == nil
}

// Mark is the position behind the last byte given to Write.
func (c *Conn) Mark() int64 { return c.asked }

// Passed tells whether the byte before a mark has gone to the socket.
func (c *Conn) Passed(mark int64) bool { return c.written.Load() >= mark }

// Written is how many bytes have gone to the socket.
func (c *Conn) Written() int64 { return c.written.Load() }

// Close closes the connection at once. Its owner hears no more of it.
func (c *Conn) Close() {
	if c.Handle == 0 {
		return
	}
	c.drop()
	_ = c.nb.Close()
}

const (
	lingerFor  = time.Second
	lingerStep = 5 * time.Millisecond
)

// End closes the connection once all that was written has left and the peer
// has closed too, or after a second. Guards against a reset, by bytes of the
// peer that nobody reads, overtaking the last answer.
func (c *Conn) End() {
	if c.Handle == 0 || c.endBy > 0 {
		return
	}
	c.Owner = discard{c.engine}
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
	if c.halfEnded {
		c.engine.Loop.Set(&c.ending, c.endBy)
		return
	}
	if c.Passed(c.asked) {
		c.halfEnded = true
		c.nb.Lock() // the descriptor is ours as long as nbio has not closed it
		if closed, _ := c.nb.IsClosed(); !closed {
			if raw, err := c.nb.SyscallConn(); err == nil {
				_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
			}
		}
		c.nb.Unlock()
	}
	c.engine.Loop.Set(&c.ending, min(now+lingerStep, c.endBy))
}

// Open is the number of connections in their slots.
func (e *Engine) Open() int { return e.conns.Len() }

// StopListening closes all listeners.
func (e *Engine) StopListening() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ln := range e.listeners {
		_ = ln.Close()
		ln.gate.close()
	}
	e.listeners = nil
}
