// Package workerclient carries attempts to workers over HTTP/1.1: it owns the connections to them, sends requests and
// health checks, and reports to the dispatcher how each ended. A Client belongs to the event loop's goroutine. It must
// never send a request twice by itself once its last byte may have left, nor take a response for one that its request
// was not made for.
package workerclient

import (
	"bytes"
	"cmp"
	"errors"
	"slices"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file owns attempts on the platform's wire, the connections to backends
// that they run on, and the discovery watch that names the backends. It must
// never send a request twice by itself once its last byte may have left, nor
// take an answer for one that it was not made for.

// Client carries attempts to the backends that discovery lists.
type Client struct {
	lastByteDelay     time.Duration // holdTime; tests that play the other end take longer
	quietTime         time.Duration // settleTime; likewise
	dispatcher        *dispatch.Dispatcher
	engine            *transport.Engine
	registry          *discovery.Registry
	connections       map[uint64]*connection              // by the attempt that runs on it
	idle              map[*discovery.Worker][]*connection // by the worker; the one used last at the end
	out               []byte
	holdLastByteUntil time.Duration // until when connections are thought to die unseen
}

// phase is where the answer on a line stands.
type phase uint8

const (
	resting   phase = iota // nothing is out: idle, or still dialing
	waiting                // for the head of an answer
	streaming              // inside the body
)

// connection is one connection to a backend. It carries one request at a time.
type connection struct {
	client  *Client
	worker  *discovery.Worker
	conn    *transport.Conn // nil while dialing
	phase   phase
	attempt uint64 // the attempt whose outcome is owed; 0: none
	job     dispatch.Attempt
	probe   bool

	confirming bool          // the probe was made for the attempt, whose request follows
	asked      time.Duration // when that probe left

	mark    int64         // behind the last byte of the request
	tail    byte          // that byte, until it is sent
	held    bool          // it is not sent yet
	leaves  time.Duration // when the last byte is to leave: the time left that the request tells runs from here
	fresh   bool          // the attempt has lost a new connection already
	in      *transport.Buffer
	seen    int               // bytes of it that hold no end of a head
	at      int               // bytes of it that have been taken in
	text    *transport.Buffer // the line of the body at hand
	chunked bool
	chunk   httpwire.ChunkReader
	left    int // of a body of known length; -1: it ends with the connection
	last    bool
	status  int
	due     eventloop.Deadline // connect, probe, idle or clearing time
	rested  time.Duration      // since when it is idle
	until   time.Duration      // and when it is closed for that, however late the loop is
	lost    bool               // dialed in vain: whoever wanted it has gone
	local   bool               // the latest dial failed by this machine's trouble
	pause   time.Duration      // before it was tried again
	over    bool               // the answer has ended
	kept    bool               // it has been idle: it may be dead unseen
	end     *end               // the outcome, until the piece at hand has been read
}

// end is how an attempt ended.
type end struct {
	o      decision.AttemptOutcome
	load   decision.LoadReport
	result []byte
}

const (
	idleInAll  = 96          // connections that rest at a backend, of all dispatchers
	idleMargin = time.Second // idle connections close so long before the backend may
	probeTime  = time.Second // for the answer to a probe
	clearTime  = time.Second // for the rest of an answer whose outcome is known
	drainSlack = 100 * time.Millisecond

	// settleTime is how long a connection has been idle before a request goes out
	// on it that must not run twice. A second answer to the one before may come
	// some milliseconds late; it names no request where it says that nothing ran.
	settleTime = 20 * time.Millisecond

	// holdTime is how long the last byte of a request stays back. A connection
	// that the backend has closed, or closes on the request, shows it by then,
	// most of them at once; and a request that broke off before its last byte
	// has never run, so that it can go elsewhere, a fragile one too. On calm days
	// it would only cost time, so it is done for a while after a backend has
	// closed a connection before its time.
	holdTime = 2 * time.Millisecond
	waryTime = 10 * time.Second

	// staleTime is how late the held last byte may leave: the head before it has
	// told how much time is left. Beyond it the request begins anew.
	staleTime  = 50 * time.Millisecond
	anyConnect = 250 * time.Millisecond // connect time where the settings name none
	fullPause  = 5 * time.Millisecond   // until a dial is tried again that failed by this machine's trouble,
	// doubled with each further one up to
	longestPause = 40 * time.Millisecond
)

// New returns a client for the workers that a registry lists.
func New(c *dispatch.Dispatcher, e *transport.Engine, registry *discovery.Registry) *Client {
	s := &Client{dispatcher: c, engine: e, registry: registry, connections: map[uint64]*connection{}, idle: map[*discovery.Worker][]*connection{}, lastByteDelay: holdTime, quietTime: settleTime}
	registry.Attach(s)
	c.AddSource(s)
	return s
}

// The dispatcher asks a worker client for this interface at run time.
var _ dispatch.Refresher = (*Client)(nil)

// Refresh brings up to date what may be done by the registry's list.
func (s *Client) Refresh() { s.registry.Refresh() }

// Subscribe asks the registry for list changes from now on.
func (s *Client) Subscribe() { s.registry.Subscribe() }

func (s *Client) connectTime() time.Duration {
	if t := s.dispatcher.Settings.ConnectTimeout; t > 0 {
		return t
	}
	return anyConnect
}

// mostIdle is how many connections to a backend rest here at the most. It holds
// only so many for all dispatchers together.
func (s *Client) mostIdle() int { return max(idleInAll/max(s.dispatcher.Settings.Peers, 1), 1) }

// Start sends an attempt on the connection used last, or on a new one.
func (s *Client) Start(f dispatch.Attempt) {
	b := s.registry.Worker(f.Worker)
	if b == nil {
		s.dispatcher.AttemptEnded(f.Handle, decision.ConnectionRefused, decision.LoadReport{}, nil)
		return
	}
	l := s.take(b, f.RepeatUnsafe)
	if l == nil {
		l = s.dial(b)
	}
	l.attempt, l.job, l.fresh = f.Handle, f, false
	s.connections[f.Handle] = l
	if l.conn != nil {
		l.send()
	}
}

// take returns an idle connection that is still open and on which nothing has
// come, the newest first, or the newest that has settled. One on which something
// has come, or that the backend may have closed by now, is closed.
func (s *Client) take(b *discovery.Worker, settled bool) *connection {
	for i := len(s.idle[b]) - 1; i >= 0; i-- {
		l := s.idle[b][i]
		now := s.dispatcher.Loop.Now()
		if settled && now-l.rested < s.quietTime {
			continue
		}
		s.idle[b] = slices.Delete(s.idle[b], i, i+1)
		if l.conn.Idle() && (l.until == 0 || now < l.until) {
			s.dispatcher.Loop.Clear(&l.due)
			return l
		}
		l.close()
	}
	return nil
}

// dial opens a connection. Silence is an answer too, after the connect time.
func (s *Client) dial(b *discovery.Worker) *connection {
	l := &connection{client: s, worker: b}
	l.due.Fire = l.expire
	s.dispatcher.Loop.Set(&l.due, s.dispatcher.Loop.Now()+s.connectTime())
	l.connect()
	return l
}

// connect dials for a line. Trouble of this machine says nothing of the backend:
// the dial is tried again within the connect time, ever more slowly, and where no
// descriptor is free, idle connections are closed first.
func (l *connection) connect() {
	s := l.client
	if l.lost {
		return
	}
	s.engine.Dial(l.worker.Address, s.connectTime()+50*time.Millisecond, l, func(c *transport.Conn, err error) {
		if l.local = transport.IsLocalError(err); l.local {
			if errors.Is(err, transport.ErrNoDescriptor) {
				s.CloseAllIdle()
			}
			s.dispatcher.TraceStep(l.correlationID(), "dial tried again", "backend", l.worker.Name, "error", err)
			s.dispatcher.Loop.After(l.redialPause(), l.connect)
			return
		}
		if err != nil {
			l.fail(decision.ConnectionRefused)
			return
		}
		s.dispatcher.Loop.Clear(&l.due)
		l.conn = c
		switch {
		case l.lost || l.attempt == 0 && !l.probe:
			l.lost = false
			l.rest()
		case l.attempt != 0 && s.dispatcher.ClientGone(l.attempt): // it has stopped the attempt
		default:
			l.send()
		}
	})
}

// redialPause is the pause until a dial that failed by this machine's trouble is tried again.
func (l *connection) redialPause() time.Duration {
	l.pause = min(max(2*l.pause, fullPause), longestPause)
	return l.pause
}

// CloseAllIdle closes all idle connections, which cost descriptors that others need more.
func (s *Client) CloseAllIdle() {
	for b := range s.idle {
		s.CloseIdleTo(b)
	}
}

// CloseIdleTo closes the idle connections to a worker.
func (s *Client) CloseIdleTo(b *discovery.Worker) {
	for _, l := range s.idle[b] {
		l.close()
	}
	delete(s.idle, b)
}

// drainGraceOver tells whether a worker that drains or was removed may get nothing new any more.
func drainGraceOver(b *discovery.Worker, now, grace time.Duration) bool {
	return b.State != decision.Running && now-b.Since > max(grace-drainSlack, 0)
}

// WorkerLeaving is told that a backend drains or has gone. What has not reached it when the
// grace is over must not reach it any more, as it would once a way that was cut
// off is free. Of one that has gone, only an answer shows that the request was there.
func (s *Client) WorkerLeaving(b *discovery.Worker) {
	const behind = time.Millisecond // drainGraceOver asks for more than the time itself
	grace := s.dispatcher.Settings.DrainGrace
	s.dispatcher.Loop.After(max(grace-drainSlack, 0)+behind, func() {
		if !drainGraceOver(b, s.dispatcher.Loop.Now(), grace) { // it has come back, and may have left anew
			return
		}
		for _, l := range s.linesTo(b) {
			if l.phase == waiting && (b.State == decision.Removed || l.conn.Unacknowledged() > 0) {
				l.giveUp()
			}
		}
	})
}

// linesTo finds the connections that carry attempts to a backend, in the order in which those were made.
func (s *Client) linesTo(b *discovery.Worker) (lines []*connection) {
	for _, l := range s.connections {
		if l.worker == b && l.conn != nil {
			lines = append(lines, l)
		}
	}
	slices.SortFunc(lines, func(a, b *connection) int { return cmp.Compare(a.attempt, b.attempt) })
	return lines
}

// giveUp ends an attempt whose request has not arrived whole. It may have run
// all the same where all of it was handed to the kernel.
func (l *connection) giveUp() {
	l.tellSent()
	l.close() // first: until then what waits here may still leave, on another goroutine
	o := decision.NotSent
	if l.conn.Flushed(l.mark) && !l.confirming {
		o = decision.ConnectionLost
	}
	l.settle(o, decision.LoadReport{}, nil)
}

// send writes the request of the line's attempt or probe.
func (l *connection) send() {
	s := l.client
	now := s.dispatcher.Loop.Now()
	if l.attempt != 0 && !l.mayLeave(now) {
		l.rest()
		return
	}
	if l.attempt != 0 && s.registry.Admit(l.worker, now) == discovery.NeedsHealthCheck {
		l.ask(now)
		return
	}
	l.write(now)
}

// mayLeave tells whether the request of the line's attempt, or the rest of it, may
// leave now. A connect may have taken so long that what the attempt was made by holds
// no more. If not, the attempt is over, and has never run.
func (l *connection) mayLeave(now time.Duration) bool {
	s := l.client
	rule, may := s.dispatcher.Guard.MaySend(invariant.Send{
		Now: now, Deadline: l.job.Deadline, RepeatBy: l.job.RepeatBy,
		Leaving: l.worker.State != decision.Running, LeavingSince: l.worker.Since, Grace: max(s.dispatcher.Settings.DrainGrace-drainSlack, 0),
		ListStale: s.registry.Admit(l.worker, now) == discovery.Suspended,
	})
	if may {
		return true
	}
	s.dispatcher.TraceStep(l.correlationID(), "request kept back", "backend", l.worker.Name, "rule", rule)
	outcome := decision.NotSent
	if rule == invariant.Drain || rule == invariant.Deadline {
		outcome = decision.ConnectionRefused
	}
	l.settle(outcome, decision.LoadReport{}, nil)
	return false
}

// write writes the request of the line's attempt, or a probe.
func (l *connection) write(now time.Duration) {
	s := l.client
	l.held = !l.probe && now < s.holdLastByteUntil
	l.leaves = now
	if l.held {
		l.leaves += s.lastByteDelay
	}
	out := s.out[:0]
	if l.probe {
		patience := probeTime
		if l.confirming {
			patience = s.connectTime()
		}
		s.dispatcher.Loop.Set(&l.due, now+patience) // here, so that one on a new connection has it too
		out = append(out, "GET /load HTTP/1.1\r\nHost: "...)
		out = append(out, l.worker.Address...)
		out = append(out, "\r\n\r\n"...)
	} else {
		j := l.job.Request
		out = append(out, "POST "...)
		out = appendTarget(out, j, s.dispatcher.Settings.Classes[j.Class].Name)
		out = append(out, " HTTP/1.1\r\nHost: "...)
		out = append(out, l.worker.Address...)
		out = append(out, "\r\nX-Correlation-Id: "...)
		out = append(out, j.ID...)
		if j.IdempotencyKey != "" {
			out = append(append(out, "\r\nIdempotency-Key: "...), j.IdempotencyKey...)
		}
		out = append(out, "\r\nX-Time-Left-Ms: "...)
		out = strconv.AppendInt(out, max((l.job.Deadline-l.leaves).Milliseconds(), 1), 10)
		out = append(out, "\r\nContent-Length: "...)
		out = strconv.AppendInt(out, int64(len(j.Body)), 10)
		out = append(out, "\r\n\r\n"...)
		out = append(out, j.Body...)
	}
	s.out = out
	if s.dispatcher.Trace != nil {
		s.dispatcher.TraceStep(l.correlationID(), "request written", "backend", l.worker.Name, "probe", l.probe, "bytes", len(out), "kept", l.kept, "listed_for", now-l.worker.Since)
	}
	l.phase = waiting
	whole := len(out)
	if l.held {
		whole--
	}
	ok := l.conn.Write(out[:whole])
	l.mark = l.conn.WriteOffset()
	if l.held {
		l.mark, l.tail = l.mark+1, out[whole]
	}
	if !ok {
		l.close()
		l.unsent()
		return
	}
	switch {
	case l.held:
		s.dispatcher.Loop.Set(&l.due, l.leaves)
	case !l.probe:
		l.bound()
	}
	l.tellSent()
}

// correlationID names the request of the line's attempt, for the trace; a probe has none.
func (l *connection) correlationID() string {
	if l.job.Request == nil || l.probe {
		return ""
	}
	return l.job.Request.ID
}

// bound sees to it that a repeat that the socket has not taken whole is given up
// in time: what waits here would leave whenever the backend makes room.
func (l *connection) bound() {
	if l.attempt != 0 && l.job.RepeatBy > 0 && !l.conn.Flushed(l.mark) {
		l.client.dispatcher.Loop.Set(&l.due, l.job.RepeatBy)
	}
}

// tellSent tells that the attempt's last byte has left, if it has.
func (l *connection) tellSent() {
	if l.attempt != 0 && !l.confirming && l.phase != resting && !l.held && l.conn.Flushed(l.mark) {
		l.client.dispatcher.AttemptSent(l.attempt)
	}
}

// release sends the last byte of a request.
func (l *connection) release() {
	l.held = false
	s := l.client
	now := s.dispatcher.Loop.Now()
	if !l.mayLeave(now) {
		l.close()
		return
	}
	if s.dispatcher.ClientGone(l.attempt) { // it has stopped the attempt
		return
	}
	if now-l.leaves > staleTime {
		l.close()
		l.unsent()
		return
	}
	if !l.conn.Write([]byte{l.tail}) {
		l.close()
		l.unsent()
		return
	}
	l.bound()
	l.tellSent()
}

// unsent is told that the connection broke before the request's last byte had
// left: nothing ran. A kept one may have been dead for long, which says nothing
// of the backend, and the attempt goes on on another. So may one new one, once.
func (l *connection) unsent() {
	if !l.kept && l.fresh || l.attempt == 0 {
		l.fail(decision.ConnectionRefused)
		return
	}
	l.confirming, l.probe = false, false
	l.move(l.fresh || !l.kept)
}

// appendTarget appends what a job concerns, as its client wrote it or, where its wire has no paths, made anew.
func appendTarget(out []byte, j *dispatch.Request, class string) []byte {
	if j.Target != "" {
		return append(out, j.Target...)
	}
	out = append(append(out, '/'), class...)
	if j.Key == "" {
		return out
	}
	out = append(out, '/')
	for i := range len(j.Key) {
		c := j.Key[i]
		if c > ' ' && c < 0x7f && bytes.IndexByte([]byte(`/?#%"<>`), c) < 0 {
			out = append(out, c)
		} else {
			out = append(out, '%', "0123456789ABCDEF"[c>>4], "0123456789ABCDEF"[c&15])
		}
	}
	return out
}

// expire is told that a connect, a probe or an idle connection has had its time.
func (l *connection) expire() {
	switch {
	case l.conn == nil && l.local: // nothing ran, and the backend is not to blame
		l.fail(decision.NotSent)
	case l.conn == nil:
		l.fail(decision.ConnectionRefused)
	case l.held:
		l.release()
	case l.probe:
		l.fail(decision.TimedOut)
		l.close()
	case l.attempt != 0 && l.phase == waiting: // the time of a repeat is over
		if l.tellSent(); l.conn.Flushed(l.mark) {
			return
		}
		l.giveUp()
	default:
		l.unlist()
		l.close()
	}
}

// fail tells how what was wanted of the line ended, unless that is told.
func (l *connection) fail(o decision.AttemptOutcome) {
	l.lost = true
	if l.confirming {
		l.unconfirmed()
		return
	}
	if o == decision.ConnectionRefused && l.attempt != 0 {
		l.client.registry.ConnectFailed(l.worker)
	}
	if l.probe {
		l.probe = false
		l.client.dispatcher.HealthChecked(l.worker.Name, o, decision.LoadReport{})
	}
	l.settle(o, decision.LoadReport{}, nil)
}

// settle tells the outcome of the line's attempt, once.
func (l *connection) settle(o decision.AttemptOutcome, load decision.LoadReport, result []byte) {
	if f := l.attempt; f != 0 {
		l.attempt = 0
		delete(l.client.connections, f)
		l.client.dispatcher.AttemptEnded(f, o, load, result)
	}
}

// Cancel gives an attempt up. Nothing ran if its request had not left whole.
func (s *Client) Cancel(handle uint64) (neverRan bool) {
	l := s.connections[handle]
	if l == nil {
		return false
	}
	l.tellSent()
	delete(s.connections, handle)
	l.attempt = 0
	if l.conn == nil { // the connection may serve another
		l.lost = true
		return true
	}
	l.close() // first: until then what waits here may still leave, on another goroutine
	return l.phase == resting || l.confirming || !l.conn.Flushed(l.mark)
}

// rest keeps the line for the next attempt, for a while.
func (l *connection) rest() {
	l.resetAnswer()
	if l.conn == nil || l.conn.Handle == 0 {
		return
	}
	if l.last || l.worker.State == decision.Removed || l.client.registry.Worker(l.worker.Name) != l.worker {
		l.close()
		return
	}
	l.kept, l.rested, l.until = true, l.client.dispatcher.Loop.Now(), 0
	idleConnections := append(l.client.idle[l.worker], l)
	if len(idleConnections) > l.client.mostIdle() { // the one unused longest goes
		idleConnections[0].close()
		idleConnections = idleConnections[1:]
	}
	l.client.idle[l.worker] = idleConnections
	if idle := l.client.dispatcher.Settings.ConnectionIdleTimeout; idle > 0 {
		l.until = l.rested + max(idle-idleMargin, idle/2)
		l.client.dispatcher.Loop.Set(&l.due, l.until)
	}
}

// resetAnswer forgets the answer that was read, so that the next request can go out.
func (l *connection) resetAnswer() {
	l.phase, l.probe, l.confirming, l.over, l.held, l.status = resting, false, false, false, false, 0
	l.free()
}

func (l *connection) free() {
	l.client.engine.Pool.Put(l.in)
	l.client.engine.Pool.Put(l.text)
	l.in, l.text, l.at, l.seen = nil, nil, 0, 0
}

func (l *connection) unlist() {
	i := slices.Index(l.client.idle[l.worker], l)
	if i >= 0 {
		l.client.idle[l.worker] = slices.Delete(l.client.idle[l.worker], i, i+1)
	}
}

// close closes the connection. A request on it that its backend has not begun to
// answer may not have arrived yet, and must not arrive later: it is given up.
func (l *connection) close() {
	l.client.dispatcher.Loop.Clear(&l.due)
	l.free()
	if l.conn == nil {
		return
	}
	if l.client.dispatcher.Trace != nil {
		l.client.dispatcher.TraceStep(l.correlationID(), "connection closed", "backend", l.worker.Name, "phase", l.phase)
	}
	if l.phase == waiting {
		l.conn.Abort()
		return
	}
	l.conn.Close()
}

// OnClosed is told that the backend has closed, or the connection broke.
func (l *connection) OnClosed(c *transport.Conn, _ error) {
	l.client.dispatcher.Loop.Clear(&l.due)
	l.unlist()
	if l.phase != streaming && l.worker.State == decision.Running {
		l.client.holdLastByteUntil = l.client.dispatcher.Loop.Now() + waryTime
	}
	l.tellSent()
	if l.phase == streaming && !l.chunked && l.left < 0 && l.done() == nil { // it ends with the connection
		l.tell()
	}
	l.free()
	if l.phase == waiting && !c.Flushed(l.mark) {
		l.unsent()
		return
	}
	l.fail(decision.ConnectionLost)
}

// CloseIdle closes the idle connections to a backend.
func (s *Client) CloseIdle(name string) {
	if b := s.registry.Worker(name); b != nil {
		s.CloseIdleTo(b)
	}
}

// CheckHealth asks a backend for its load.
func (s *Client) CheckHealth(name string) {
	b := s.registry.Worker(name)
	if b == nil {
		return
	}
	l := s.take(b, false)
	if l == nil {
		l = s.dial(b)
	}
	l.probe = true
	if l.conn != nil {
		l.send()
	}
}
