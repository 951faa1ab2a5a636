// Package httpfront is the HTTP/1.1 front end: it accepts client connections, reads requests, hands them to the
// dispatcher and writes their responses. It must never decide where a request goes or whether it is retried, never
// close a connection on which a response is owed, nor write two responses to one request.
package httpfront

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/slotmap"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file owns client sessions: it reads requests, hands them to the core as
// reqs and writes the final answers. It must never end a session while an
// answer is owed on it, nor write two answers to one request, nor let one
// client's bytes, connections or haste cost the others their turn.

// FrontEnd is the platform's front. It belongs to the loop's goroutine.
type FrontEnd struct {
	dispatcher  *dispatch.Dispatcher
	engine      *transport.Engine
	classes     map[string]int
	connections slotmap.Map[clientConnection]
	out         []byte
	ready       func() bool
	memory      int // bytes that buffers may take up before half-read requests are given up
	entry       *listener.Gate
	turns       connlimit.RoundRobin // sessions whose bytes wait for their address's turn
	turning     bool
	reader      uint64 // the session that is read
	stopping    bool
	closing     bool // the arrival window has passed: sessions end between requests
	away        bool // out of service, for a drain
	awayAt      time.Duration
	shared      bool // another process accepts on the same listener
	shut        bool // nothing is read from clients any more
	left        bool // to the successor, which is the same dispatcher to those who ask for its health
	acceptor    *transport.Acceptor
	drain       eventloop.Deadline // the drain's next step
	pressed     bool               // new sessions wait, and none could be closed for them
	spared      bool               // a proven one was spared for a moment
	press       eventloop.Deadline
	quiet       eventloop.Deadline

	kept        *durable.Service // requests of some classes may be durable; nil: none
	keptClasses []bool
}

// clientConnection is one client's connection: it reads a request, waits for its answer, and reads on.
type clientConnection struct {
	front  *FrontEnd
	token  uint64
	id     connlimit.ID
	peer   netip.Addr // whose turn its bytes wait for
	header bool       // a trusted front's, whose PROXY header is awaited
	queued bool       // its bytes wait for their turn
	read0  int64      // bytes written when the write stall began
	stall  eventloop.Deadline
	by     time.Duration // when the request at hand must be whole
	keeps  uint64        // durable requests taken so far
	conn   *transport.Conn
	in     *transport.Buffer  // where the request at hand begins
	next   *transport.Buffer  // what found no room behind it
	since  time.Duration      // when the first byte of the request at hand came
	req    uint64             // the req that is out, 0 before the core has named it
	spoken bool               // a byte has come
	proven bool               // a job of it has been served
	busy   bool               // an answer is owed
	gone   bool               // the client has closed
	last   bool               // the session ends with the answer at hand
	told   bool               // 100 Continue has been sent
	served bool               // the answer at hand is a job's that was served
	over   connlimit.Reason   // a cap that its half-read request breaks
	paused bool               // no more is read for now
	flood  eventloop.Deadline // the next look for more than a session may have unread
	posted bool               // a turn is on its way
	scan   httpwire.ScanState // how far the body at hand has been looked at
	idleAt time.Duration
	idle   eventloop.Deadline
}

const (
	firstTime   = 2800 * time.Millisecond // from the accept on: whoever has begun has sent a whole request, or is bad
	requestTime = 2 * time.Second         // for a request to arrive whole, once it has begun, however its bytes trickle
	lateTime    = time.Second             // the same, where a session was silent at first
	idleTime    = 5 * time.Minute         // a proven or a silent session is kept so long between requests
	askingTime  = 5 * time.Second         // any other
	pressTime   = 50 * time.Millisecond   // between looks for sessions to shed
	turnWork    = 16                      // requests that a session may have read in one turn

	// A drain. The platform's front asks every 0.1 s and sends new connections
	// for 0.2 s more; then answers end their sessions, which spares a close that
	// may cross a request; what rests after that is ended.
	frontTime   = 450 * time.Millisecond  // from the call on: all goes on as before, but for healthz
	restTime    = 1200 * time.Millisecond // from the call on: sessions may rest until then
	lateRest    = 300 * time.Millisecond  // for the first byte of a session that comes later
	drainStep   = 50 * time.Millisecond
	mostWaiting = 256 << 10 // bytes of answers that a client leaves unread

	floodTime = 50 * time.Millisecond // between looks behind a request that is out
	mostFlood = 8 << 20               // bytes that are read there to find the client's end
)

// New returns a front that accepts on addr once Listen is called. Its
// buffers, with those of others, should not take up more than memory bytes.
func New(c *dispatch.Dispatcher, e *transport.Engine, memory int, ready func() bool) *FrontEnd {
	f := &FrontEnd{dispatcher: c, engine: e, classes: map[string]int{}, memory: memory, ready: ready,
		entry: listener.NewUnlimited(c.Loop, 1)}
	f.press.Fire, f.quiet.Fire, f.drain.Fire = f.pressOn, f.hush, f.drainOn
	for i, class := range c.Settings.Classes {
		f.classes[class.Name] = i
	}
	return f
}

// SetGate makes the front ask an entry who may come in. It must come before Listen or Serve.
func (f *FrontEnd) SetGate(e *listener.Gate) { f.entry = e }

// Listen starts accepting client sessions, most at a time, and returns the address.
func (f *FrontEnd) Listen(addr string, most int) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	f.Serve(ln, most)
	return ln.Addr().String(), nil
}

// Serve starts accepting client sessions from a listener, most at a time.
func (f *FrontEnd) Serve(ln net.Listener, most int) {
	if !f.entry.Enabled() {
		f.entry.Limiter.SetCapacity(most)
	}
	f.entry.AddFrontEnd(frontNumber, f)
	if f.entry.Enabled() {
		f.acceptor = f.engine.ServeWithAdmission(ln, true, f.accept)
		return
	}
	f.acceptor = f.engine.Serve(ln, most, true, f.accept, f.shed)
}

const frontNumber = 0 // of this front's tokens, at the entry

func (f *FrontEnd) accept(c *transport.Conn) transport.Handler {
	if f.shut { // it was in the system's queue
		c.CloseGracefully()
		return c.Handler
	}
	s := &clientConnection{front: f, conn: c, idleAt: c.Opened}
	s.idle.Fire, s.stall.Fire, s.flood.Fire = s.expire, s.stalled, s.flooded
	s.token = f.connections.Insert(s)
	s.id = f.entry.Accepted(frontNumber, s.token, c.AdmissionToken)
	f.pressed, f.spared = false, false
	if f.entry.Enabled() {
		s.peer = c.Peer()
		s.header = f.entry.Limiter.TrustOf(s.id) == connlimit.TrustedProxy
	}
	f.dispatcher.Loop.Set(&s.idle, f.dispatcher.Loop.Now()+idleTime)
	f.hush()
	return s
}

// Evict closes a session that the entry has chosen.
func (f *FrontEnd) Evict(token uint64) {
	if s := f.connections.Get(token); s != nil && !s.busy && !s.gone {
		s.drop()
	}
}

// hush closes silent sessions where they are too many to be usual clients' that
// opened early: those first that have been silent longest, and none that has
// just come, since a close that crosses a session's first request costs it.
func (f *FrontEnd) hush() {
	for f.entry.Limiter.TooManySilent() {
		if !f.entry.EvictOne(connlimit.ForSilence) {
			f.dispatcher.Loop.Set(&f.quiet, f.dispatcher.Loop.Now()+pressTime)
			return
		}
	}
}

// shed makes room for new sessions, and goes on until one of those that wait
// has come in. It closes sessions at once, lest they linger holding their
// descriptors. If there is none to close, the next answers end their sessions.
func (f *FrontEnd) shed() {
	const some = 8
	room := f.shared // the other process has room: nobody who may be a usual client goes for it
	for i := range some {
		token, stage, ok := f.entry.EvictionCandidate(connlimit.ForUnknown, room)
		if !ok {
			f.pressed = i == 0 && !room
			break
		}
		if stage == connlimit.Proven && i > 0 { // there is room already
			break
		}
		if stage == connlimit.Proven && !f.spared { // those that have just come may show by then that they only talk
			f.spared = true
			f.dispatcher.Loop.Set(&f.press, f.dispatcher.Loop.Now()+pressTime)
			return
		}
		f.entry.CloseConnection(token)
	}
	if f.pressed {
		f.dispatcher.Loop.Set(&f.press, f.dispatcher.Loop.Now()+pressTime)
	}
}

// pressOn looks again, if those that waited still wait.
func (f *FrontEnd) pressOn() {
	if f.pressed || f.spared {
		f.shed()
	}
}

// drop closes a session on which nothing is owed, at once.
func (s *clientConnection) drop() {
	s.front.dispatcher.Guard.CheckClosed(s.busy && !s.gone, "client session")
	s.forget()
	s.conn.Close()
}

func (s *clientConnection) between() bool { return !s.busy && !s.gone && s.in == nil }

// BeginShutdown begins a planned restart: it goes on accepting, but no longer says that it is ready.
func (f *FrontEnd) BeginShutdown() { f.stopping = true }

// Drain takes the front out of service: healthz says no at once, and sessions
// end soon, whereas requests that come all the same are served. Said again, it
// changes nothing.
func (f *FrontEnd) Drain() {
	if !f.away {
		f.away, f.awayAt = true, f.dispatcher.Loop.Now()
		f.dispatcher.Loop.Set(&f.drain, f.awayAt+frontTime)
	}
}

// EndDrain brings the front back into service at once. It must not be called
// after Stop.
func (f *FrontEnd) EndDrain() {
	f.away, f.closing = false, false
	f.dispatcher.Loop.Clear(&f.drain)
}

// drainOn goes on with a drain.
func (f *FrontEnd) drainOn() {
	f.closing = true
	now := f.dispatcher.Loop.Now()
	if now >= f.awayAt+restTime {
		f.endResting(lateRest)
	}
	f.dispatcher.Loop.Set(&f.drain, now+drainStep)
}

// endResting ends the sessions between requests on which nothing is on its way,
// and spares those that are silent and younger than young.
func (f *FrontEnd) endResting(young time.Duration) {
	now := f.dispatcher.Loop.Now()
	f.connections.ForEach(func(_ uint64, s *clientConnection) {
		if s.between() && (s.spoken || now-s.conn.Opened >= young) && s.conn.NothingUnread() {
			s.end()
		}
	})
}

// CloseIdle ends all sessions between requests, now and from now on.
func (f *FrontEnd) CloseIdle() {
	f.closing = true
	f.endResting(0)
}

// SetShared tells whether another process accepts on the same listener.
func (f *FrontEnd) SetShared(shared bool) { f.shared = shared }

// SetMemoryLimit is how many bytes the buffers may take up from now on.
func (f *FrontEnd) SetMemoryLimit(memory int) { f.memory = memory }

// HandOver accepts no more, since the successor does: what is not accepted yet waits
// for that one. Sessions end with their next answer; a close between requests,
// which may cross one, comes only to those that go on resting.
func (f *FrontEnd) HandOver() {
	f.stopping, f.closing, f.left = true, true, true
	f.dispatcher.Loop.Clear(&f.drain)
	f.StopAccepting()
}

// StopReading is the point of no return of a planned end. Nothing is read from clients
// after it, so nothing of theirs is sent on that comes later. What has been read
// whole before is answered, also where it is still on its way from the poller; a
// request that is half read is refused. Said again, it changes nothing.
func (f *FrontEnd) StopReading() {
	if f.shut {
		return
	}
	f.stopping, f.closing, f.shut = true, true, true
	f.dispatcher.Loop.Clear(&f.drain)
	f.StopAccepting()
	f.connections.ForEach(func(_ uint64, s *clientConnection) { s.conn.Pause() })
	f.dispatcher.Loop.Post(func() { // behind all that was read
		f.connections.ForEach(func(_ uint64, s *clientConnection) { s.shut() })
	})
}

// shut ends a session of which all has come in that will.
func (s *clientConnection) shut() {
	if s.queued && !s.header { // its turn has not come
		s.queued = false
		s.read()
	}
	switch {
	case s.gone:
	case s.busy: // it ends with its answer, and until then is only looked after for its client's end
		s.last = true
		s.conn.Resume()
	case s.in != nil && !s.header:
		s.reject(errEnding)
	default:
		s.end()
	}
}

// OpenConnections is the number of connections that have not ended, those included that
// wait for the last answer to be read.
func (f *FrontEnd) OpenConnections() int {
	if f.acceptor == nil {
		return f.connections.Len()
	}
	return f.acceptor.OpenConnections()
}

// StopAccepting accepts no more; what comes waits in the backlog for the next process.
func (f *FrontEnd) StopAccepting() {
	if f.acceptor != nil { // one that ends before it has begun accepts nothing anyway
		f.acceptor.Close()
	}
}

// Draining tells whether the front is out of service.
func (f *FrontEnd) Draining() bool { return f.away }

// Ready tells whether backends are known, so that jobs have somewhere to go.
func (f *FrontEnd) Ready() bool { return f.ready() }

// ConnectionCount is the number of sessions open.
func (f *FrontEnd) ConnectionCount() int { return f.connections.Len() }

// wait sets how long the session may rest.
func (s *clientConnection) wait(served bool) {
	span := idleTime
	if s.proven = s.proven || served; !s.proven {
		span = askingTime
	}
	s.idleAt = s.front.dispatcher.Loop.Now()
	s.front.entry.Limiter.BecameIdle(s.idleAt, s.id, served)
	s.front.dispatcher.Loop.Set(&s.idle, s.idleAt+span)
}

// begin is told that the first byte of a request is there. From now on it must
// arrive whole in time; the bytes that follow change nothing.
func (s *clientConnection) begin() {
	now := s.front.dispatcher.Loop.Now()
	s.since = s.front.dispatcher.Loop.QueuedSince()
	s.by = now + requestTime
	if !s.spoken {
		s.spoken = true
		s.by = min(s.by, max(s.conn.Opened+firstTime, now+lateTime))
	}
	due := s.by
	if slow, again := s.front.entry.Limiter.TooSlow(now, now, 0); !slow && again > 0 {
		due = min(due, again)
	}
	s.front.dispatcher.Loop.Set(&s.idle, due)
	if why := s.front.entry.Limiter.RequestStarted(now, s.id); why != connlimit.Allowed {
		s.over = why
	}
}

// expire ends a session that has waited too long for a request, or for the rest of one.
func (s *clientConnection) expire() {
	switch {
	case s.busy:
	case s.in != nil:
		now := s.front.dispatcher.Loop.Now()
		if now < s.by { // the least rate
			slow, again := s.front.entry.Limiter.TooSlow(now, s.since, len(s.in.Bytes()))
			if !slow {
				s.front.dispatcher.Loop.Set(&s.idle, min(s.by, max(again, now+time.Millisecond)))
				return
			}
			s.abuse(connlimit.Slow)
		}
		s.reject(errSlow)
	case !s.conn.NothingUnread(): // a request is here, though not read yet
		s.front.dispatcher.Loop.Set(&s.idle, s.front.dispatcher.Loop.Now()+lateTime)
	default:
		s.end()
	}
}

// flooded looks whether more has come behind the request that is out than a
// session has room for. Guards against a client that sent much and has gone: its
// end does not come through behind what nobody reads, and its request would be
// sent on for nobody. Such a session ends with its answer.
func (s *clientConnection) flooded() {
	switch {
	case s.gone || !s.paused:
	case !s.busy || s.conn.NothingUnread():
		s.front.dispatcher.Loop.Set(&s.flood, s.front.dispatcher.Loop.Now()+floodTime)
	default:
		s.last = true
		s.front.engine.Pool.Put(s.in)
		s.front.engine.Pool.Put(s.next)
		s.in, s.next = nil, nil
		s.conn.Discard(mostFlood)
	}
}

// abuse books what a peer has done.
func (s *clientConnection) abuse(why connlimit.Reason) {
	if s.front.entry.Enabled() {
		s.front.entry.Limiter.ReportAbuse(s.front.dispatcher.Loop.Now(), s.id, why)
		s.front.entry.LogRejection(why, s.peer)
	}
}

// stalled looks whether answers are read. One on which an answer is owed stays.
func (s *clientConnection) stalled() {
	switch {
	case s.gone || s.conn.UnsentBytes() == 0:
	case s.busy || s.conn.SentBytes() > s.read0:
		s.watchStall()
	default:
		s.abuse(connlimit.Stalled)
		s.drop()
	}
}

func (s *clientConnection) watchStall() {
	if span := s.front.entry.WriteStall(); span > 0 && s.conn.UnsentBytes() > 0 {
		s.read0 = s.conn.SentBytes()
		s.front.dispatcher.Loop.Set(&s.stall, s.front.dispatcher.Loop.Now()+span)
	}
}

// end ends a session on which nothing is owed.
func (s *clientConnection) end() {
	s.front.dispatcher.Guard.CheckClosed(s.busy && !s.gone, "client session")
	s.forget()
	s.conn.CloseGracefully()
}

// forget gives back all that a session holds.
func (s *clientConnection) forget() {
	if !s.gone {
		s.front.entry.Limiter.Closed(s.id)
	}
	s.front.connections.Remove(s.token)
	s.front.dispatcher.Loop.Clear(&s.idle)
	s.front.dispatcher.Loop.Clear(&s.stall)
	s.front.dispatcher.Loop.Clear(&s.flood)
	s.front.engine.Pool.Put(s.in)
	s.front.engine.Pool.Put(s.next)
	s.in, s.next, s.gone = nil, nil, true
}

// OnClosed is told that the client has gone away.
func (s *clientConnection) OnClosed(*transport.Conn, error) {
	busy, req := s.busy, s.req
	s.forget()
	if busy {
		s.front.dispatcher.Cancel(req)
	}
}

// The dispatcher asks a front end for this interface at run time.
var _ dispatch.ClientWatcher = (*FrontEnd)(nil)

// ClientLeft tells whether the client of a request has closed its connection.
func (f *FrontEnd) ClientLeft(token uint64) bool {
	s := f.connections.Get(token)
	return s == nil || s.conn.PeerClosed()
}

// RequestCancelled has nothing to do: the session ends once the poller has told of its client's end.
func (f *FrontEnd) RequestCancelled(uint64, bool) {}

// OnData takes in what the client sent.
func (s *clientConnection) OnData(_ *transport.Conn, b *transport.Buffer) {
	if s.gone {
		s.front.engine.Pool.Put(b)
		return
	}
	if s.busy && s.last { // it ends with the answer that is owed: what comes means nothing, but for its end
		s.front.engine.Pool.Put(b)
		s.conn.Discard(mostFlood)
		return
	}
	if s.header {
		s.front.introduce(s, b)
		return
	}
	if s.in == nil && !s.busy {
		s.begin()
	}
	switch {
	case s.in == nil:
		s.in = b
	case s.next == nil:
		s.next = b
		s.refill()
	default: // not before what came first has found room: the connection is paused meanwhile
		s.front.engine.Pool.Put(b)
		s.last = true
	}
	if f := s.front; f.entry.Enabled() {
		if !s.busy && s.in != nil && s.over == connlimit.Allowed {
			s.over = f.entry.Limiter.SetBuffered(s.id, len(s.in.Bytes()))
		}
		if f.entry.Level() > 0 || f.turns.Len() > 0 {
			f.queue(s)
			return
		}
	}
	s.read()
	s.front.relieve()
}

// queue puts a session's bytes behind those of its address. Guards the turn of
// one with a single session against one with a thousand.
func (f *FrontEnd) queue(s *clientConnection) {
	if !s.queued {
		s.queued = true
		f.turns.Add(s.peer, s.token)
	}
	if !f.turning {
		f.turning = true
		f.dispatcher.Loop.Post(f.turn)
	}
}

// turn reads some sessions, each address in its turn, and lets the rest of the loop go on.
func (f *FrontEnd) turn() {
	const some = 8
	f.turning = false
	for range some {
		token, ok := f.turns.Next()
		if !ok {
			return
		}
		if s := f.connections.Get(token); s != nil && s.queued && !s.gone {
			s.queued = false
			s.read()
		}
	}
	f.relieve()
	if f.turns.Len() > 0 && !f.turning {
		f.turning = true
		f.dispatcher.Loop.Post(f.turn)
	}
}

// introduce reads a trusted front's header, which tells whose session it is.
func (f *FrontEnd) introduce(s *clientConnection, b *transport.Buffer) {
	if s.in == nil {
		s.in = b
	} else {
		ok := s.in.Append(b.Bytes())
		if f.engine.Pool.Put(b); !ok {
			s.drop()
			return
		}
	}
	addr, used, err := listener.ParseProxyHeader(s.in.Bytes())
	if err != nil {
		f.entry.Limiter.CountReason(connlimit.BadHeader)
		f.entry.LogRejection(connlimit.BadHeader, s.peer)
		s.drop()
		return
	}
	if used == 0 {
		f.dispatcher.Loop.Set(&s.idle, s.conn.Opened+firstTime)
		return
	}
	s.header = false
	if addr.IsValid() {
		if why := f.entry.Limiter.Identify(f.dispatcher.Loop.Now(), s.id, addr); why != connlimit.Allowed {
			f.entry.LogRejection(why, addr)
			s.drop()
			return
		}
		s.peer = addr
	}
	rest := s.in
	s.in = nil
	if rest.Consume(used); len(rest.Bytes()) == 0 {
		f.engine.Pool.Put(rest)
		return
	}
	s.OnData(s.conn, rest)
}

// relieve gives up half-read requests while buffers take up too much memory,
// the oldest first. Guards the memory limit, which ends the program.
func (f *FrontEnd) relieve() {
	for f.full() {
		var chosen *clientConnection
		_, _, ok := f.entry.Limiter.EvictionCandidate(f.dispatcher.Loop.Now(), connlimit.ForMemory, false, func(token uint64) bool {
			s := f.connections.Get(token)
			if s == nil || s.in == nil || s.posted || s.token == f.reader {
				return true
			}
			chosen = s
			return false
		})
		if !ok {
			return
		}
		chosen.reject(errMemory)
	}
}

// tight tells whether buffers take up so much memory that nothing is read ahead.
func (f *FrontEnd) tight() bool { return 2*f.engine.Pool.BytesInUse() > f.memory }

// full tells whether buffers take up as much memory as they may.
func (f *FrontEnd) full() bool { return f.engine.Pool.BytesInUse() > f.memory }

// refill moves up what came behind the request at hand.
func (s *clientConnection) refill() {
	if s.next == nil {
		return
	}
	if s.in == nil {
		s.in, s.next = s.next, nil
		return
	}
	if s.next.Consume(s.in.Fill(s.next.Bytes())); len(s.next.Bytes()) == 0 {
		s.front.engine.Pool.Put(s.next)
		s.next = nil
	}
}

// read takes requests out of the buffer until one must be waited for. Guards
// the other sessions' turns: a client may send hundreds at once, and those
// behind the one that is out and a buffer more wait in the socket.
func (s *clientConnection) read() {
	s.front.reader = s.token
	defer func() { s.front.reader = 0 }()
	if s.over != connlimit.Allowed && !s.busy && s.in != nil { // more half-read requests, or bytes of them, than its address may have
		s.front.entry.LogRejection(s.over, s.peer)
		s.reject(errCaps)
		return
	}
	for work := 0; s.in != nil && !s.busy && !s.gone; work++ {
		if work == turnWork {
			s.turn()
			if s.front.entry.Enabled() {
				s.front.entry.Limiter.CountReason(connlimit.Greedy)
			}
			break
		}
		var m httpwire.Message
		ok, early, err := httpwire.ParseRequest(s.in.Bytes(), &m, &s.scan)
		if err == nil && !ok && len(s.in.Bytes()) == transport.BufferSize {
			err = httpwire.ErrBodyTooLong // a chunked one of more frame than body: it has no room to become whole
		}
		if err != nil {
			s.reject(err)
			return
		}
		if !ok {
			if early && !s.told {
				s.told = true
				s.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			break
		}
		s.told, s.scan = false, httpwire.ScanState{}
		s.last = s.last || s.front.closing || m.HasToken("Connection", "close") ||
			bytes.Equal(m.Version(), []byte("HTTP/1.0")) && !m.HasToken("Connection", "keep-alive")
		s.request(&m)
	}
	if s.gone || s.busy && s.last || s.front.shut { // the rest is skimmed, or not read at all
		return
	}
	if hold := s.next != nil || s.posted || s.busy && s.in != nil && s.front.tight(); hold != s.paused {
		if s.paused = hold; hold {
			s.conn.Pause()
			s.front.dispatcher.Loop.Set(&s.flood, s.front.dispatcher.Loop.Now()+floodTime)
		} else {
			s.conn.Resume()
		}
	}
}

// turn reads on after the others have had their turn.
func (s *clientConnection) turn() {
	if s.posted {
		return
	}
	s.posted = true
	s.front.dispatcher.Loop.Post(func() {
		s.posted = false
		s.read()
	})
}

// reject answers what cannot be understood, and ends the session, whose next bytes mean nothing.
func (s *clientConnection) reject(err error) {
	s.last = true
	s.write(statusOf(err), []byte(err.Error()+"\n"), 0, "")
}

// request handles one whole request.
func (s *clientConnection) request(m *httpwire.Message) {
	path, _, _ := bytes.Cut(m.Target(), []byte("?"))
	status, text, fields := 0, "", ""
	job := dispatch.Request{ReceivedAt: s.since}
	class, known := s.front.class(path)
	switch {
	case bytes.Equal(path, []byte("/healthz")):
		status, text = 503, "not ready\n"
		if !bytes.Equal(m.Method(), []byte("GET")) && !bytes.Equal(m.Method(), []byte("HEAD")) {
			status, text, fields = 405, "GET only\n", "Allow: GET\r\n"
		} else if s.front.ready() && (!s.front.stopping || s.front.left) && !s.front.away {
			status, text = 200, "ready\n"
		}
	case !known:
		status, text = 404, "no such class\n"
	case !bytes.Equal(m.Method(), []byte("POST")):
		status, text, fields = 405, "POST only\n", "Allow: POST\r\n"
	default:
		if err := readJob(m, &job); err != nil {
			status, text = 400, err.Error()+"\n"
			s.front.dispatcher.CountResponse(class, dispatch.Failed)
		} else if key := m.Get("Idempotency-Key"); len(key) > 0 && s.front.keptClasses != nil && s.front.keptClasses[class] {
			if httpwire.IsIdentifier([]byte(durable.RequestID(string(key)))) {
				job.Class = class
				s.keep(m, job, string(key))
				return
			}
			status, text = 400, "Idempotency-Key is not of 1 to 123 letters, digits or -._:~+/=@\n"
			s.front.dispatcher.CountResponse(class, dispatch.Failed)
		} else if s.front.dispatcher.IsKnownID(job.ID) { // guards the req of that name, which may be another client's
			status, text = 409, "X-Correlation-Id names another request\n"
			s.front.dispatcher.CountResponse(class, dispatch.Failed)
		} else if s.front.relieve(); s.front.full() {
			s.front.dispatcher.CountResponse(class, dispatch.Rejected)
			s.cut(m.Size)
			s.write(503, []byte(errMemory.Error()+"\n"), lateTime, "")
			return
		}
	}
	if status != 0 {
		s.cut(m.Size)
		if bytes.Equal(m.Method(), []byte("HEAD")) { // its answer has no body, so the length would mislead
			s.last, text = true, ""
		}
		s.write(status, []byte(text), 0, fields)
		return
	}
	job.Class = class
	s.take(m, job)
}

// class finds the class that a path names: its first part.
func (f *FrontEnd) class(path []byte) (int, bool) {
	if len(path) < 2 || path[0] != '/' {
		return 0, false
	}
	name, _, _ := bytes.Cut(path[1:], []byte("/"))
	class, ok := f.classes[string(name)]
	return class, ok
}

// readJob reads what the request's line and fields say.
func readJob(m *httpwire.Message, job *dispatch.Request) error {
	id := m.Get("X-Correlation-Id")
	if len(id) == 0 {
		return errors.New("no X-Correlation-Id")
	}
	if !httpwire.IsIdentifier(id) {
		return errors.New("X-Correlation-Id is not of 1 to 128 letters, digits or -._:~+/=@")
	}
	job.ID, job.Target, job.IdempotencyKey = string(id), string(m.Target()), string(m.Get("Idempotency-Key"))
	path, _, _ := bytes.Cut(m.Target(), []byte("?"))
	if i := bytes.LastIndexByte(path, '/'); i > 0 {
		job.Key = string(path[i+1:])
	}
	if m.Count("X-Time-Left-Ms") > 0 { // an empty one is no number either
		ms, ok := httpwire.ParseNumber(m.Get("X-Time-Left-Ms"))
		if !ok {
			return errors.New("X-Time-Left-Ms is not a whole number")
		}
		job.TimeLeft = max(time.Duration(ms)*time.Millisecond, time.Nanosecond)
	}
	if us, err := strconv.ParseFloat(string(m.Get("X-Weight-Hint")), 64); err == nil && us > 0 && us < 1e12 {
		job.Work = time.Duration(us * float64(time.Microsecond))
	}
	job.ClientRetry = bytes.Equal(m.Get("X-Repeat"), []byte("1"))
	for fact := range bytes.SplitSeq(m.Get("X-Facts"), []byte(",")) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(fact), []byte("="))
		if x, err := strconv.ParseFloat(string(value), 64); err == nil && (string(name) == "slots" || string(name) == "needs") {
			job.Slots = x
		}
	}
	return nil
}

// take hands a request to the core. The buffer goes with it, and what came behind it moves to a new one.
func (s *clientConnection) take(m *httpwire.Message, job dispatch.Request) {
	pool, held := &s.front.engine.Pool, s.in
	s.in = nil
	if rest := held.Bytes()[m.Size:]; len(rest) > 0 {
		s.in = pool.Get()
		s.in.Append(rest)
	}
	s.refill()
	job.Body = m.Body
	job.Release = func() { pool.Put(held) }
	s.busy, s.req = true, 0
	s.front.dispatcher.Loop.Clear(&s.idle)
	s.front.entry.Limiter.RequestComplete(s.front.dispatcher.Loop.Now(), s.id)
	req := s.front.dispatcher.Accept(s.front, s.token, job)
	if s.busy {
		s.req = req
	}
}

func (s *clientConnection) cut(n int) {
	if s.in.Consume(n); len(s.in.Bytes()) == 0 {
		s.front.engine.Pool.Put(s.in)
		s.in = nil
	}
	s.refill()
}

// Respond writes the final answer of a session's req.
func (f *FrontEnd) Respond(token uint64, a dispatch.Response) {
	s := f.connections.Get(token)
	if s == nil || !s.busy {
		return
	}
	s.busy = false
	s.last = s.last || f.closing
	switch a.Outcome {
	case dispatch.Served:
		s.served = true
		s.write(200, a.Body, 0, "")
	case dispatch.Rejected:
		s.write(503, nil, a.RetryAfter, "")
	default:
		s.write(502, nil, 0, "")
	}
	if (s.paused || s.in != nil) && !s.gone {
		s.turn() // a request that came early; not from inside the core
	}
}

// write writes an answer and makes the session ready for the next request, or ends it.
func (s *clientConnection) write(status int, body []byte, retryAfter time.Duration, fields string) {
	f := s.front
	s.last = s.last || f.pressed
	f.out = httpwire.AppendResponse(f.out[:0], status, body, retryAfter, s.last, fields)
	s.conn.Write(f.out)
	switch {
	case s.last:
		s.end()
	case s.conn.UnsentBytes() > mostWaiting: // guards against a client that asks and never reads
		s.drop()
	case s.in != nil:
		s.wait(s.served)
		s.begin()
	default:
		s.wait(s.served)
	}
	s.served = false
	if !s.gone {
		s.watchStall()
	}
}
