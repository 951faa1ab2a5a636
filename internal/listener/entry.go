// Package entry stands between the sockets and the decisions of package admit:
// it asks who may come in as soon as a connection is accepted, tells what
// connections do, makes room where a decision asks for it, and words refusals
// for logs and operators. It decides nothing itself, and must never keep the
// accept of the next connection waiting for the loop.
package listener

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pires/go-proxyproto"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// FrontEnd is a front: it closes a session of its own, at once, on which nothing is owed.
type FrontEnd interface{ Evict(token uint64) }

// Config is what the operator's file says, ready for use.
type Config struct {
	Limits           connlimit.Config
	DescriptorFloors [connlimit.DescriptorKinds]int
	Watermarks       connlimit.Watermarks
	Respond503       bool          // refused ones hear 503; else they are closed
	WriteStall       time.Duration // for which answers may wait to be read; 0: no bound
}

// Gate is one process's. Its fields are set before the first Arrive; all but
// Arrive and Left belong to the loop's goroutine.
type Gate struct {
	Limiter          *connlimit.Limiter
	Budget           *connlimit.DescriptorBudget // nil: descriptors are bounded by the engine's gates
	CloseIdleWorkers func()                      // closes idle connections to backends

	loop   *eventloop.Loop
	engine *transport.Engine
	config Config
	owners [2]FrontEnd
	due    eventloop.Deadline
	log    *slog.Logger
	guards bool
	whole  int // descriptors

	say503  atomic.Bool
	level   atomic.Int32
	looking atomic.Bool
	hurt    atomic.Int64 // when the system last had no descriptor
	waiting atomic.Int32 // connections that room is made for
	mu      sync.Mutex
	told    [64]told // by reason
}

// told is how often a kind of refusal has been logged.
type told struct {
	at   time.Duration
	more int
}

const (
	pressTime   = 20 * time.Millisecond // between looks, under pressure
	hurtTime    = 300 * time.Millisecond
	someAtATime = 8
	mostWaiting = 32
	logEvery    = 5 * time.Second // a line for each kind of refusal, at the most
	waitStep    = 2 * time.Millisecond
	waitSteps   = 100 // for a known one's room to be made
	saidText    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// NewUnlimited returns an entry that keeps the order in which sessions are shed and
// nothing else: what room there is, the engine's gates say.
func NewUnlimited(loop *eventloop.Loop, room int) *Gate {
	a, err := connlimit.New(connlimit.Config{Capacity: max(room, 1), Anonymous: true})
	if err != nil {
		panic(err) // a room of one is right
	}
	return &Gate{Limiter: a, loop: loop}
}

// New returns an entry that decides on each connection by the operator's file.
func New(loop *eventloop.Loop, engine *transport.Engine, c Config, descriptors int, log *slog.Logger) (*Gate, error) {
	c.Limits.Seed = rand.Uint64()
	a, err := connlimit.New(c.Limits)
	if err != nil {
		return nil, err
	}
	b, err := connlimit.NewDescriptorBudget(descriptors, c.DescriptorFloors, c.Watermarks)
	if err != nil {
		return nil, err
	}
	e := &Gate{Limiter: a, Budget: b, loop: loop, engine: engine, config: c, log: log, guards: true, whole: descriptors}
	e.say503.Store(c.Respond503)
	e.due.Fire = e.look
	quota := func(kind connlimit.DescriptorKind) transport.Quota {
		return transport.Quota{Acquire: func() bool { return b.Acquire(kind) }, Release: func() { b.Release(kind) }}
	}
	engine.SetAdmission(e, quota(connlimit.WorkerConnections), quota(connlimit.DiscoveryConnections))
	return e, nil
}

// Enabled tells whether connections are decided on.
func (e *Gate) Enabled() bool { return e.guards }

// WriteStall is how long answers may wait to be read; 0: no bound.
func (e *Gate) WriteStall() time.Duration { return e.config.WriteStall }

// Reconfigure takes over a configuration read anew. What is open stays.
func (e *Gate) Reconfigure(c Config, descriptors int) error {
	if err := e.Budget.Reconfigure(descriptors, c.DescriptorFloors, c.Watermarks); err != nil {
		return err
	}
	if err := e.Limiter.Reconfigure(c.Limits); err != nil {
		return err
	}
	e.config = c
	e.say503.Store(c.Respond503)
	e.press()
	return nil
}

// SetShare keeps to a part of what the file says, while another process of the
// same dispatcher has the rest. What is open stays.
func (e *Gate) SetShare(part float64) {
	part = min(max(part, 0.05), 1)
	floors := e.config.DescriptorFloors
	for k := range floors {
		floors[k] = int(part * float64(floors[k]))
	}
	_ = e.Budget.Reconfigure(max(int(part*float64(e.whole)), 8), floors, e.config.Watermarks) // what held whole holds in part
	e.Limiter.SetCapacity(int(part * float64(e.config.Limits.Capacity)))
	e.press()
}

// AddFrontEnd names the front whose tokens carry a number, 0 or 1.
func (e *Gate) AddFrontEnd(number int, o FrontEnd) { e.owners[number] = o }

// token is a front's token with the front's number in its top bit.
func token(number int, t uint64) uint64 { return t | uint64(number)<<63 }

// Accepted takes in a session of a front. pass is what Arrive gave; 0: it was not asked.
func (e *Gate) Accepted(number int, t uint64, pass uint64) connlimit.ID {
	if pass == 0 {
		return e.Limiter.Adopt(e.loop.Now(), token(number, t))
	}
	e.Limiter.SetToken(connlimit.ID(pass), token(number, t))
	return connlimit.ID(pass)
}

// EvictionCandidate is the session that goes first for a need, and what it does; false: there is none.
func (e *Gate) EvictionCandidate(need connlimit.EvictionReason, spareProven bool) (token uint64, stage connlimit.Stage, ok bool) {
	return e.Limiter.EvictionCandidate(e.loop.Now(), need, spareProven, nil)
}

// CloseConnection closes the session that Next named.
func (e *Gate) CloseConnection(token uint64) {
	if o := e.owners[token>>63]; o != nil {
		o.Evict(token &^ (1 << 63))
	}
}

// EvictOne closes the session that goes first for a need; false: there is none.
func (e *Gate) EvictOne(need connlimit.EvictionReason) bool {
	token, _, ok := e.EvictionCandidate(need, false)
	if ok {
		e.CloseConnection(token)
	}
	return ok
}

// EvictPrefix ends the sessions of a prefix on which nothing is owed, and returns how many.
func (e *Gate) EvictPrefix(prefix netip.Prefix) int {
	tokens := e.Limiter.IdleWithin(prefix)
	for _, t := range tokens {
		e.CloseConnection(t)
	}
	return len(tokens)
}

// peer is a connection's other end.
func peer(conn net.Conn) netip.Addr {
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.IPv4Unspecified()
	}
	addr, _ := netip.AddrFromSlice(tcp.IP)
	return addr.Unmap()
}

// Admit decides on a connection that has just been accepted, on the accepting
// goroutine. One that may not come in has been answered and closed, but where
// wait tells that room is to be made for it.
func (e *Gate) Admit(conn net.Conn) (pass uint64, in, wait bool) {
	addr := peer(conn)
	why := connlimit.NoDescriptors
	if e.Budget.Acquire(connlimit.ClientConnections) {
		e.press()
		var id connlimit.ID
		if id, why = e.Limiter.Admit(e.loop.Now(), addr, 0); why == connlimit.Allowed {
			return uint64(id), true, false
		}
		e.Budget.Release(connlimit.ClientConnections)
	} else {
		e.press()
		e.Limiter.CountReason(why)
		if e.Limiter.IsKnown(e.loop.Now(), addr) {
			why = connlimit.FullKnown
		}
	}
	if why == connlimit.FullKnown && e.waiting.Add(1) <= mostWaiting {
		return 0, false, true
	} else if why == connlimit.FullKnown {
		e.waiting.Add(-1)
	}
	e.refuse(conn, addr, why)
	return 0, false, false
}

// WaitForCapacity is Arrive for one that room is made for, on a goroutine of its own.
func (e *Gate) WaitForCapacity(conn net.Conn) (pass uint64, in bool) {
	defer e.waiting.Add(-1)
	addr := peer(conn)
	for range waitSteps {
		e.loop.Post(func() { e.EvictOne(connlimit.ForKnown) })
		time.Sleep(waitStep)
		if e.Budget.Acquire(connlimit.ClientConnections) {
			id, why := e.Limiter.Admit(e.loop.Now(), addr, 0)
			if why == connlimit.Allowed {
				return uint64(id), true
			}
			e.Budget.Release(connlimit.ClientConnections)
		}
	}
	e.refuse(conn, addr, connlimit.FullKnown)
	return 0, false
}

// Abandoned tells that a connection that came in ended before a front had it.
func (e *Gate) Abandoned(pass uint64) { e.Limiter.Closed(connlimit.ID(pass)) }

// Release gives a session's descriptor back.
func (e *Gate) Release() {
	e.Budget.Release(connlimit.ClientConnections)
}

// Exhausted tells that the system had no descriptor left, whatever was counted.
func (e *Gate) Exhausted() {
	e.Budget.ForceLevel(2)
	e.hurt.Store(int64(e.loop.Now()))
	e.press()
}

// refuse ends a connection that may not come in.
func (e *Gate) refuse(conn net.Conn, addr netip.Addr, why connlimit.Reason) {
	tcp, ok := conn.(*net.TCPConn)
	if ok && e.say503.Load() {
		conn.SetWriteDeadline(time.Now().Add(time.Millisecond)) // it goes into an empty socket at once, or not at all
		conn.Write([]byte(saidText))
		tcp.CloseWrite()
	}
	conn.Close()
	e.LogRejection(why, addr)
}

// LogRejection logs a refusal, each kind at a bounded rate.
func (e *Gate) LogRejection(why connlimit.Reason, addr netip.Addr) {
	if e.log == nil {
		return
	}
	now := e.loop.Now()
	e.mu.Lock()
	t := &e.told[why]
	if t.at != 0 && now-t.at < logEvery {
		t.more++
		e.mu.Unlock()
		return
	}
	more := t.more
	*t = told{at: now}
	e.mu.Unlock()
	e.log.Warn("connection refused", "why", why.String(), "address", addr.String(), "more_since_last", more)
}

// press passes the level of pressure on, and sees to it that it is looked at.
func (e *Gate) press() {
	level := e.Budget.Level()
	if int32(level) == e.level.Load() && level == 0 {
		return
	}
	e.Limiter.SetPressure(level)
	if e.level.Store(int32(level)); level > 0 && !e.looking.Swap(true) {
		e.loop.Post(e.look)
	}
}

// look acts on pressure: idle unknown ones go, and at the last level idle
// connections to backends too.
func (e *Gate) look() {
	now := e.loop.Now()
	if hurt := e.hurt.Load(); hurt != 0 && now-time.Duration(hurt) > hurtTime {
		e.hurt.Store(0)
		e.Budget.ForceLevel(0)
	}
	level := e.Budget.Level()
	e.Limiter.SetPressure(level)
	if old := e.level.Swap(int32(level)); int(old) != level && e.log != nil {
		e.log.Warn("descriptors: pressure changes", "level", level)
	}
	if level == 0 {
		e.looking.Store(false)
		if e.Budget.Level() > 0 { // it rose just now
			e.press()
		}
		return
	}
	for range someAtATime {
		if !e.EvictOne(connlimit.ForKnown) {
			break
		}
	}
	if level == 3 && e.CloseIdleWorkers != nil {
		e.CloseIdleWorkers()
	}
	e.loop.Set(&e.due, now+pressTime)
}

// Level is the pressure now.
func (e *Gate) Level() int {
	if e.Budget == nil {
		return 0
	}
	return int(e.level.Load())
}

// ParseProxyHeader reads a PROXY header off the front of b. used is 0 where more must
// come first; an error, where there is none or it is not whole in time.
func ParseProxyHeader(b []byte) (addr netip.Addr, used int, err error) {
	if used, err = headerSize(b); used == 0 || err != nil {
		return addr, 0, err
	}
	h, err := proxyproto.Read(bufio.NewReader(bytes.NewReader(b[:used])))
	if err != nil {
		return addr, 0, errHeader
	}
	if h.Command.IsLocal() {
		return addr, used, nil // the front's own check of our health
	}
	tcp, ok := h.SourceAddr.(*net.TCPAddr)
	if !ok {
		return addr, 0, errHeader
	}
	if addr, ok = netip.AddrFromSlice(tcp.IP); !ok {
		return addr, 0, errHeader
	}
	return addr.Unmap(), used, nil
}

var (
	errHeader = errors.New("no PROXY header that can be read")
	signature = []byte("\r\n\r\n\x00\r\nQUIT\n")
)

const (
	longestV1 = 107
	mostV2    = 16 + 1024 // with its extensions; the longest address takes 216
)

// headerSize is how long the header is; 0: more must come to tell.
func headerSize(b []byte) (int, error) {
	switch n := min(len(b), len(signature)); {
	case bytes.Equal(b[:n], signature[:n]):
		if len(b) < 16 {
			return 0, nil
		}
		size := 16 + int(binary.BigEndian.Uint16(b[14:]))
		if size > mostV2 {
			return 0, errHeader
		}
		if len(b) < size {
			return 0, nil
		}
		return size, nil
	case bytes.HasPrefix([]byte("PROXY "), b[:min(len(b), 6)]) || bytes.HasPrefix(b, []byte("PROXY ")):
		if i := bytes.Index(b[:min(len(b), longestV1)], []byte("\r\n")); i >= 0 {
			return i + 2, nil
		}
		if len(b) >= longestV1 {
			return 0, errHeader
		}
		return 0, nil
	}
	return 0, errHeader
}
