package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	stdnet "net"
	"slices"
	"strconv"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke"
	"hollyyoke.example/hollyyoke/internal/core"
	"hollyyoke.example/hollyyoke/internal/net"
	"hollyyoke.example/hollyyoke/internal/settings"
)

// This file owns attempts on the platform's wire, the connections to backends
// that they run on, and the discovery watch that names the backends. It must
// never send a request twice by itself once its last byte may have left, nor
// take an answer for one that it was not made for.

// Backends carries attempts to the backends that discovery lists.
type Backends struct {
	hold   time.Duration // holdTime; tests that play the other end take longer
	calm   time.Duration // settleTime; likewise
	core   *core.Core
	engine *net.Engine
	hosts  map[string]*backend
	lines  map[uint64]*line // by the attempt that runs on it
	out    []byte
	watch  watch
	first  map[string]hollyyoke.Entry // the list known at the start, until discovery has spoken
	due    core.Deadline              // until when that is waited for
	wary   time.Duration              // until when connections are thought to die unseen

	// Told is called when discovery has told something; nil: nobody wants to know.
	Told func()
}

// backend is one backend as discovery told it last.
type backend struct {
	name, dial string
	state      hollyyoke.WorkerState
	told       time.Duration // when that state was told
	host       host          // discovery's words
	idle       []*line       // the one used last at the end
}

// phase is where the answer on a line stands.
type phase uint8

const (
	resting   phase = iota // nothing is out: idle, or still dialing
	waiting                // for the head of an answer
	streaming              // inside the body
)

// line is one connection to a backend. It carries one request at a time.
type line struct {
	set     *Backends
	b       *backend
	conn    *net.Conn // nil while dialing
	phase   phase
	attempt uint64 // the attempt whose outcome is owed; 0: none
	job     core.Attempt
	probe   bool
	mark    int64 // behind the last byte of the request
	tail    byte  // that byte, until it is sent
	held    bool  // it is not sent yet
	fresh   bool  // the attempt has lost a new connection already
	in      *net.Buffer
	seen    int         // bytes of it that hold no end of a head
	at      int         // bytes of it that have been taken in
	text    *net.Buffer // the line of the body at hand
	chunked bool
	chunk   chunks
	left    int // of a body of known length; -1: it ends with the connection
	last    bool
	status  int
	due     core.Deadline // connect, probe, idle or clearing time
	rested  time.Duration // since when it is idle
	until   time.Duration // and when it is closed for that, however late the loop is
	lost    bool          // dialed in vain: whoever wanted it has gone
	over    bool          // the answer has ended
	kept    bool          // it has been idle: it may be dead unseen
	end     *end          // the outcome, until the piece at hand has been read
}

// end is how an attempt ended.
type end struct {
	o      hollyyoke.Outcome
	load   hollyyoke.Load
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
	holdTime   = 2 * time.Millisecond
	waryTime   = 10 * time.Second
	anyConnect = 250 * time.Millisecond // connect time where the settings name none
)

// NewBackends returns a carrier that follows discovery at addr.
func NewBackends(c *core.Core, e *net.Engine, discovery string) *Backends {
	s := &Backends{core: c, engine: e, hosts: map[string]*backend{}, lines: map[uint64]*line{}, hold: holdTime, calm: settleTime}
	s.watch = watch{set: s, addr: discovery}
	s.watch.due.Fire = s.watch.expire
	s.due.Fire = func() { s.begin(nil) }
	c.Listen(s)
	return s
}

func (s *Backends) connectTime() time.Duration {
	if t := s.core.Settings.ConnectTimeout; t > 0 {
		return t
	}
	return anyConnect
}

// mostIdle is how many connections to a backend rest here at the most. It holds
// only so many for all dispatchers together.
func (s *Backends) mostIdle() int { return max(idleInAll/max(s.core.Settings.Peers, 1), 1) }

// Start sends an attempt on the connection used last, or on a new one.
func (s *Backends) Start(f core.Attempt) {
	b := s.hosts[f.Backend]
	if b == nil {
		s.core.Ended(f.Handle, hollyyoke.RefusedConn, hollyyoke.Load{}, nil)
		return
	}
	l := b.take(f.Settled)
	if l == nil {
		l = s.dial(b)
	}
	l.attempt, l.job, l.fresh = f.Handle, f, false
	s.lines[f.Handle] = l
	if l.conn != nil {
		l.send()
	}
}

// take returns an idle connection that is still open and on which nothing has
// come, the newest first, or the newest that has settled. One on which something
// has come, or that the backend may have closed by now, is closed.
func (b *backend) take(settled bool) *line {
	for i := len(b.idle) - 1; i >= 0; i-- {
		l := b.idle[i]
		now := l.set.core.Loop.Now()
		if settled && now-l.rested < l.set.calm {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if l.conn.Resting() && (l.until == 0 || now < l.until) {
			l.set.core.Loop.Clear(&l.due)
			return l
		}
		l.close()
	}
	return nil
}

// dial opens a connection. Silence is an answer too, after the connect time.
func (s *Backends) dial(b *backend) *line {
	l := &line{set: s, b: b}
	l.due.Fire = l.expire
	s.core.Loop.Set(&l.due, s.core.Loop.Now()+s.connectTime())
	s.engine.Dial(b.dial, s.connectTime()+50*time.Millisecond, l, func(c *net.Conn, err error) {
		if err != nil {
			if errors.Is(err, net.ErrFull) {
				s.shed()
			}
			l.fail(hollyyoke.RefusedConn)
			return
		}
		s.core.Loop.Clear(&l.due)
		l.conn = c
		switch {
		case l.lost || l.attempt == 0 && !l.probe:
			l.lost = false
			l.rest()
		default:
			l.send()
		}
	})
	return l
}

// Idle closes all idle connections, which cost descriptors that others need more.
func (s *Backends) Idle() { s.shed() }

// shed closes all idle connections, since no descriptor is free for a new one.
func (s *Backends) shed() {
	for _, b := range s.hosts {
		b.closeIdle()
	}
}

func (b *backend) closeIdle() {
	for _, l := range b.idle {
		l.close()
	}
	b.idle = nil
}

// late tells whether a backend that drains or has gone may get nothing new any more.
func (b *backend) late(now, grace time.Duration) bool {
	return b.state != hollyyoke.Running && now-b.told > max(grace-drainSlack, 0)
}

// send writes the request of the line's attempt or probe.
func (l *line) send() {
	s := l.set
	now := s.core.Loop.Now()
	// Guards the drain rule: a connect may have taken so long that the news is too old by now.
	if l.attempt != 0 && (l.b.late(now, s.core.Settings.DrainGrace) || l.job.Deadline <= now) {
		l.settle(hollyyoke.RefusedConn, hollyyoke.Load{}, nil)
		l.rest()
		return
	}
	if l.expired(now) {
		l.settle(hollyyoke.Superseded, hollyyoke.Load{}, nil)
		l.rest()
		return
	}
	out := s.out[:0]
	if l.probe {
		s.core.Loop.Set(&l.due, now+probeTime) // here, so that one on a new connection has it too
		out = append(out, "GET /load HTTP/1.1\r\nHost: "...)
		out = append(out, l.b.dial...)
		out = append(out, "\r\n\r\n"...)
	} else {
		j := l.job.Job
		out = append(out, "POST "...)
		out = appendTarget(out, j, s.core.Settings.Classes[j.Class].Name)
		out = append(out, " HTTP/1.1\r\nHost: "...)
		out = append(out, l.b.dial...)
		out = append(out, "\r\nX-Correlation-Id: "...)
		out = append(out, j.ID...)
		if j.IdempotencyKey != "" {
			out = append(append(out, "\r\nIdempotency-Key: "...), j.IdempotencyKey...)
		}
		out = append(out, "\r\nX-Time-Left-Ms: "...)
		out = strconv.AppendInt(out, max((l.job.Deadline-now).Milliseconds(), 1), 10)
		out = append(out, "\r\nContent-Length: "...)
		out = strconv.AppendInt(out, int64(len(j.Body)), 10)
		out = append(out, "\r\n\r\n"...)
		out = append(out, j.Body...)
	}
	s.out = out
	l.phase = waiting
	whole := len(out)
	if l.held = !l.probe && now < s.wary; l.held {
		whole--
	}
	ok := l.conn.Write(out[:whole])
	l.mark = l.conn.Mark()
	if l.held {
		l.mark, l.tail = l.mark+1, out[whole]
	}
	if !ok {
		l.close()
		l.unsent()
		return
	}
	if l.held {
		s.core.Loop.Set(&l.due, now+s.hold)
	} else {
		l.bound()
	}
	l.tellSent()
}

// expired tells whether a repeat must not leave any more.
func (l *line) expired(now time.Duration) bool {
	return l.attempt != 0 && l.job.Until > 0 && now >= l.job.Until
}

// bound sees to it that a repeat that the socket has not taken whole is given up
// in time: what waits here would leave whenever the backend makes room.
func (l *line) bound() {
	if l.attempt != 0 && l.job.Until > 0 && !l.conn.Passed(l.mark) {
		l.set.core.Loop.Set(&l.due, l.job.Until)
	}
}

// tellSent tells that the attempt's last byte has left, if it has.
func (l *line) tellSent() {
	if l.attempt != 0 && l.phase != resting && !l.held && l.conn.Passed(l.mark) {
		l.set.core.Sent(l.attempt)
	}
}

// release sends the last byte of a request.
func (l *line) release() {
	l.held = false
	s := l.set
	if l.b.late(s.core.Loop.Now(), s.core.Settings.DrainGrace) { // as in send
		l.close()
		l.settle(hollyyoke.RefusedConn, hollyyoke.Load{}, nil)
		return
	}
	if l.expired(s.core.Loop.Now()) {
		l.close()
		l.settle(hollyyoke.Superseded, hollyyoke.Load{}, nil)
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
func (l *line) unsent() {
	s, f := l.set, l.attempt
	if !l.kept && l.fresh || f == 0 {
		l.fail(hollyyoke.RefusedConn)
		return
	}
	fresh := l.fresh || !l.kept
	l.attempt = 0
	n := l.b.take(l.job.Settled)
	if n == nil {
		n = s.dial(l.b)
	}
	n.attempt, n.job, n.fresh = f, l.job, fresh
	s.lines[f] = n
	if n.conn != nil {
		n.send()
	}
}

// appendTarget appends what a job concerns, as its client wrote it or, where its wire has no paths, made anew.
func appendTarget(out []byte, j *core.Job, class string) []byte {
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
func (l *line) expire() {
	switch {
	case l.conn == nil:
		l.fail(hollyyoke.RefusedConn)
	case l.held:
		l.release()
	case l.probe:
		l.fail(hollyyoke.Overdue)
		l.close()
	case l.attempt != 0 && l.phase == waiting: // the time of a repeat is over
		if l.tellSent(); l.conn.Passed(l.mark) {
			return
		}
		o := hollyyoke.Superseded
		if l.close(); l.conn.Passed(l.mark) { // it left meanwhile
			o = hollyyoke.Severed
		}
		l.settle(o, hollyyoke.Load{}, nil)
	default:
		l.unlist()
		l.close()
	}
}

// fail tells how what was wanted of the line ended, unless that is told.
func (l *line) fail(o hollyyoke.Outcome) {
	l.lost = true
	if l.probe {
		l.probe = false
		l.set.core.Probed(l.b.name, o, hollyyoke.Load{})
	}
	l.settle(o, hollyyoke.Load{}, nil)
}

// settle tells the outcome of the line's attempt, once.
func (l *line) settle(o hollyyoke.Outcome, load hollyyoke.Load, result []byte) {
	if f := l.attempt; f != 0 {
		l.attempt = 0
		delete(l.set.lines, f)
		l.set.core.Ended(f, o, load, result)
	}
}

// Stop gives an attempt up. Nothing ran if its request had not left whole.
func (s *Backends) Stop(handle uint64) (neverRan bool) {
	l := s.lines[handle]
	if l == nil {
		return false
	}
	l.tellSent()
	delete(s.lines, handle)
	l.attempt = 0
	if l.conn == nil { // the connection may serve another
		l.lost = true
		return true
	}
	l.close() // first: until then what waits here may still leave, on another goroutine
	return l.phase == resting || !l.conn.Passed(l.mark)
}

// rest keeps the line for the next attempt, for a while.
func (l *line) rest() {
	l.phase, l.probe, l.over, l.held, l.status = resting, false, false, false, 0
	l.free()
	if l.conn == nil || l.conn.Handle == 0 {
		return
	}
	if l.last || l.b.state == hollyyoke.Deleted || l.set.hosts[l.b.name] != l.b {
		l.close()
		return
	}
	l.kept, l.rested, l.until = true, l.set.core.Loop.Now(), 0
	if l.b.idle = append(l.b.idle, l); len(l.b.idle) > l.set.mostIdle() { // the one unused longest goes
		l.b.idle[0].close()
		l.b.idle = l.b.idle[1:]
	}
	if idle := l.set.core.Settings.ConnIdle; idle > 0 {
		l.until = l.rested + max(idle-idleMargin, idle/2)
		l.set.core.Loop.Set(&l.due, l.until)
	}
}

func (l *line) free() {
	l.set.engine.Pool.Put(l.in)
	l.set.engine.Pool.Put(l.text)
	l.in, l.text, l.at, l.seen = nil, nil, 0, 0
}

func (l *line) unlist() {
	for i, other := range l.b.idle {
		if other == l {
			l.b.idle = append(l.b.idle[:i], l.b.idle[i+1:]...)
			return
		}
	}
}

func (l *line) close() {
	l.set.core.Loop.Clear(&l.due)
	l.free()
	if l.conn != nil {
		l.conn.Close()
	}
}

// Closed is told that the backend has closed, or the connection broke.
func (l *line) Closed(c *net.Conn, _ error) {
	l.set.core.Loop.Clear(&l.due)
	l.unlist()
	if l.phase != streaming && l.b.state == hollyyoke.Running {
		l.set.wary = l.set.core.Loop.Now() + waryTime
	}
	l.tellSent()
	if l.phase == streaming && !l.chunked && l.left < 0 && l.done() == nil { // it ends with the connection
		l.tell()
	}
	l.free()
	if l.phase == waiting && !c.Passed(l.mark) {
		l.unsent()
		return
	}
	l.fail(hollyyoke.Severed)
}

// Release closes the idle connections to a backend.
func (s *Backends) Release(name string) {
	if b := s.hosts[name]; b != nil {
		b.closeIdle()
	}
}

// Probe asks a backend for its load.
func (s *Backends) Probe(name string) {
	b := s.hosts[name]
	if b == nil {
		return
	}
	l := b.take(false)
	if l == nil {
		l = s.dial(b)
	}
	l.probe = true
	if l.conn != nil {
		l.send()
	}
}

// Listed tells whether there is a backend that takes new work, by what is known so far.
func (s *Backends) Listed() bool {
	for _, b := range s.hosts {
		if b.state == hollyyoke.Running {
			return true
		}
	}
	return false
}

// Subscribe opens the discovery watch, unless a call is out. Guards against a
// repeat that the module had set for the former address and that would end the
// watch at the present one.
func (s *Backends) Subscribe() {
	if !s.watch.out {
		s.watch.open()
	}
}

// Discovery sets where discovery is before the first call.
func (s *Backends) Discovery(addr string) { s.watch.addr = addr }

// Move goes on with discovery at another address, at once. What the former one
// has listed stands, and so does every attempt; the watch goes on where it was.
func (s *Backends) Move(addr string) {
	s.watch.addr = addr
	s.watch.open()
}

// Heard tells whether the module has a list: discovery's, or the known one after its time.
func (s *Backends) Heard() bool { return s.first == nil }

// Tell tells where discovery is, and the list in its words, for a successor.
func (s *Backends) Tell() (addr string, list json.RawMessage, err error) {
	words := map[hollyyoke.WorkerState]string{hollyyoke.Running: "ready", hollyyoke.Stopping: "draining"}
	l := hosts{Seq: s.watch.seq, Whole: true, Hosts: []host{}}
	for _, b := range s.hosts {
		h := b.host
		h.Health = words[b.state]
		l.Hosts = append(l.Hosts, h)
	}
	slices.SortFunc(l.Hosts, func(a, b host) int { return strings.Compare(a.Host, b.Host) })
	list, err = json.Marshal(l)
	return s.watch.addr, list, err
}

// Relay takes in the list that the predecessor has heard, as long as discovery
// is silent here. Its word comes first once it speaks.
func (s *Backends) Relay(raw json.RawMessage) error {
	var list hosts
	if s.watch.live {
		return nil
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return err
	}
	entries, err := s.entries(list.Hosts)
	if err != nil {
		return err
	}
	s.onlyThese(entries)
	s.watch.seq = max(s.watch.seq, list.Seq)
	if s.first == nil {
		s.core.List(s, hollyyoke.ListComplete, entries)
		return nil
	}
	clear(s.first)
	for _, e := range entries {
		s.first[e.Worker] = e
	}
	return nil
}

// CheckList tells what is wrong with a list of backends, and takes in none of it.
func (s *Backends) CheckList(raw []byte) error {
	var list hosts
	if len(raw) == 0 {
		return nil
	}
	err := json.Unmarshal(raw, &list)
	if err == nil {
		_, err = s.parse(list.Hosts)
	}
	if err != nil {
		err = fmt.Errorf("config: known: %w", err)
	}
	return err
}

// ---- Answers.

// Data takes in what the backend sent.
func (l *line) Data(_ *net.Conn, b *net.Buffer) {
	if l.phase == resting { // nothing was asked: what comes is no answer to anything
		l.set.engine.Pool.Put(b)
		l.unlist()
		l.close()
		return
	}
	l.tellSent()
	if !collect(&l.set.engine.Pool, &l.in, b) {
		l.broken()
		return
	}
	for more := true; more && !l.over && l.in != nil && l.at < len(l.in.Bytes()); {
		var err error
		if more, err = l.step(); err != nil {
			l.broken()
			return
		}
	}
	l.cut()
	if l.over {
		l.last = l.last || l.in != nil || l.held // bytes behind the answer, or some of the request still here
		// Idle first, told then: the attempt that the module starts on this news finds the connection.
		l.set.core.Loop.Clear(&l.due)
		l.rest()
	}
	l.tell()
}

// tell tells the outcome that the answer held, if any.
func (l *line) tell() {
	e := l.end
	if l.end = nil; e == nil {
		return
	}
	if l.held { // what is told as over must not begin now
		l.close()
	}
	if l.phase != resting && l.conn.Handle != 0 {
		l.set.core.Loop.Set(&l.due, l.set.core.Loop.Now()+clearTime)
	}
	l.settle(e.o, e.load, e.result)
}

// broken gives up a line whose bytes make no sense. The job may have run.
func (l *line) broken() {
	l.close()
	l.tell()
	l.fail(hollyyoke.Severed)
}

// step takes one piece out of the input; false: more must come first.
func (l *line) step() (bool, error) {
	in := l.in.Bytes()[l.at:]
	switch {
	case l.phase == waiting:
		var h head
		if ok, err := parseHead(in, &h, &l.seen); !ok {
			return false, err
		}
		l.seen = 0
		l.at += h.size
		return true, l.head(&h)
	case l.chunked:
		data, used, err := l.chunk.next(in)
		if err != nil || used == 0 {
			return false, err
		}
		err = l.body(data)
		l.at += used
		if l.chunk.done && err == nil {
			err = l.done()
		}
		return true, err
	default:
		n := len(in)
		if l.left >= 0 {
			n = min(n, l.left)
			l.left -= n
		}
		err := l.body(in[:n])
		l.at += n
		if l.left == 0 && err == nil {
			err = l.done()
		}
		return true, err
	}
}

// cut drops what has been taken in, once for all pieces of it: each cut moves
// all that is left.
func (l *line) cut() {
	at := l.at
	if l.at = 0; l.in == nil {
		return
	}
	if l.in.Cut(at); len(l.in.Bytes()) == 0 {
		l.set.engine.Pool.Put(l.in)
		l.in = nil
	}
}

// head takes in the head of an answer. All but a 200 tell the outcome at once.
func (l *line) head(h *head) error {
	status, ok := number(h.b)
	if !ok || !bytes.HasPrefix(h.a, []byte("HTTP/1.")) {
		return errMalformed
	}
	if status < 200 {
		return nil // an interim answer; the real one follows
	}
	length, chunked, err := h.framing()
	if err != nil {
		return err
	}
	l.status, l.chunked, l.left, l.chunk = status, chunked, length, chunks{}
	l.last = h.has("Connection", "close") || !chunked && length < 0
	l.phase = streaming
	if !l.probe && status != 200 {
		var load hollyyoke.Load
		if v := h.get("X-Backend-Load"); v != nil {
			load = settings.Load(&l.set.core.Settings, v)
		}
		o := hollyyoke.Errored // 500, and what the protocol does not name: it may have run
		if status >= 400 && status < 500 {
			o = hollyyoke.Unusable
		}
		if (status == 503 || status == 504) && bytes.Equal(h.get("X-Unprocessed"), []byte("1")) {
			o = hollyyoke.Saturated
		}
		l.end = &end{o, load, nil}
	}
	if length == 0 {
		return l.done()
	}
	return nil
}

// body takes in a piece of the body. Each line of a 200 is one object.
func (l *line) body(data []byte) error {
	if l.probe {
		return l.keep(data)
	}
	if l.status != 200 || l.attempt == 0 || l.end != nil {
		return nil
	}
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			return l.keep(data)
		}
		text := data[:end]
		if l.text != nil {
			if err := l.keep(text); err != nil {
				return err
			}
			text = l.text.Bytes()
		}
		err := l.news(text)
		l.set.engine.Pool.Put(l.text)
		l.text = nil
		if err != nil || l.end != nil {
			return err
		}
		data = data[end+1:]
	}
	return nil
}

func (l *line) keep(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if l.text == nil {
		l.text = l.set.engine.Pool.Get()
	}
	if !l.text.Add(data) {
		return errBody
	}
	return nil
}

// news takes in one object: the start, the progress or the end of a job.
func (l *line) news(text []byte) error {
	if text = bytes.TrimSpace(text); len(text) == 0 {
		return nil
	}
	var n struct {
		ID     string          `json:"id"`
		State  string          `json:"state"`
		Share  float64         `json:"share"`
		Result json.RawMessage `json:"result"`
		Load   json.RawMessage `json:"load"`
	}
	if err := json.Unmarshal(text, &n); err != nil {
		return err
	}
	if n.ID != l.job.Job.ID {
		return errMalformed // made for another req
	}
	var load hollyyoke.Load
	if len(n.Load) > 0 {
		load = settings.Load(&l.set.core.Settings, n.Load)
	}
	switch n.State {
	case "started":
		l.set.core.Started(l.attempt)
	case "running":
		l.set.core.Progress(l.attempt, n.Share)
	case "done":
		result := []byte(n.Result)
		var plain string
		if json.Unmarshal(n.Result, &plain) == nil {
			result = []byte(plain)
		}
		l.end = &end{hollyyoke.Completed, load, result}
	case "failed":
		l.end = &end{hollyyoke.Errored, load, nil}
	case "returned":
		l.end = &end{hollyyoke.Saturated, load, nil}
	case "lost":
		l.end = &end{hollyyoke.Severed, load, nil}
	default:
		return errMalformed
	}
	return nil
}

// done is told that the answer has ended. One without its last object is a reset.
func (l *line) done() error {
	if l.probe {
		l.probe = false
		l.set.core.Loop.Clear(&l.due)
		o, load := hollyyoke.Errored, hollyyoke.Load{}
		if l.status == 200 {
			o = hollyyoke.Completed
			if l.text != nil {
				load = settings.Load(&l.set.core.Settings, l.text.Bytes())
			}
		}
		l.set.core.Probed(l.b.name, o, load)
	}
	if l.text != nil && l.attempt != 0 && l.end == nil { // the last line may lack its line end
		if err := l.news(l.text.Bytes()); err != nil {
			return err
		}
	}
	if l.attempt != 0 && l.end == nil {
		l.end = &end{o: hollyyoke.Severed}
	}
	l.over = true
	return nil
}

// ---- Discovery.

// watch is the one open call to discovery, or the wait for the module to ask for it again.
type watch struct {
	set   *Backends
	addr  string
	seq   int64
	turn  int  // counts the calls, so that what a former one brings is passed over
	out   bool // a call is out
	conn  *net.Conn
	in    *net.Buffer
	text  objects
	seen  int  // bytes of in that hold no end of the head
	ok    bool // the head of the answer has come
	live  bool // and its first line
	mute  bool // an agent that does not answer: the log tells so
	chunk chunks
	due   core.Deadline
}

const (
	freshList    = time.Second // the first word of discovery is waited for so long
	watchConnect = time.Second
	watchCall    = 3 * time.Second // for the first line: discovery takes calls in turn
	watchLine    = 3 * time.Second // between lines; one comes every 2 s at the latest

	// Where lists are pushed, an agent on this machine has them. It answers at
	// once and at no cost, and what it has counts as told, watch or not: a call
	// that is not answered, and the pause to the next, must both fit into the
	// time that a drain leaves.
	agentCalls = 4 // part of that time that a call may take
	agentRests = 8 // part of it from a call that failed to the next
	leastRest  = 10 * time.Millisecond
)

// pushed tells whether lists come from an agent, which is called without the module's word.
func (w *watch) pushed() bool { return !w.set.core.Settings.AskForList }

// patience is how long a call may take up to its first line.
func (w *watch) patience() (connect, call time.Duration) {
	if !w.pushed() {
		return watchConnect, watchCall
	}
	part := max(w.set.core.Settings.DrainGrace/agentCalls, 2*leastRest)
	return part, part
}

// expire ends a call or a watch on which nothing has come in time. An agent may
// have answered while the loop was late.
func (w *watch) expire() {
	if w.conn != nil && !w.conn.Quiet() {
		w.set.core.Loop.Set(&w.due, w.set.core.Loop.Now()+leastRest)
		return
	}
	w.fail("silent")
}

// hosts is a list of backends as discovery words it.
type hosts struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// Known takes in the list that the dispatcher had before its start. It may be
// old: nothing is sent by it until discovery has told what has changed, or has
// had its time. Reqs are taken meanwhile and wait for that list, since a client
// that is let in late has nobody else to go to. In a herd of dispatchers the word
// of discovery may be long in coming, and the list known serves at once.
func (s *Backends) Known(raw []byte) error {
	list := hosts{Whole: true}
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &list); err != nil {
			return err
		}
	}
	s.watch.seq = list.Seq
	entries, err := s.entries(list.Hosts)
	if err != nil {
		return err
	}
	s.first = map[string]hollyyoke.Entry{}
	for _, e := range entries {
		if e.State != hollyyoke.Deleted {
			s.first[e.Worker] = e
		}
	}
	if s.watch.addr == "" || s.core.Settings.AskForList && s.core.Settings.Herd() { // the module says when to call
		s.begin(nil)
		return nil
	}
	s.core.Loop.Set(&s.due, s.core.Loop.Now()+freshList)
	s.watch.open()
	return nil
}

// begin gives the module the list known at the start, with what has changed since.
func (s *Backends) begin(changes []hollyyoke.Entry) {
	if s.first == nil {
		return
	}
	for _, e := range changes {
		if s.first[e.Worker] = e; e.State == hollyyoke.Deleted {
			delete(s.first, e.Worker)
		}
	}
	entries := slices.SortedFunc(maps.Values(s.first), func(a, b hollyyoke.Entry) int {
		return strings.Compare(a.Worker, b.Worker) // a map's order would make runs differ
	})
	s.first = nil
	s.core.Loop.Clear(&s.due)
	s.core.List(s, hollyyoke.ListPersisted, entries)
}

// open makes the call, in place of one that stands.
func (w *watch) open() {
	w.drop()
	if w.addr == "" {
		return
	}
	w.turn++
	w.out = true
	turn := w.turn
	loop := w.set.core.Loop
	connect, call := w.patience()
	loop.Set(&w.due, loop.Now()+connect+call)
	w.set.engine.Dial(w.addr, connect, w, func(c *net.Conn, err error) {
		switch {
		case turn != w.turn:
			if c != nil {
				c.Close()
			}
		case err != nil:
			w.fail(err.Error())
		default:
			w.conn = c
			loop.Set(&w.due, loop.Now()+call)
			c.Write([]byte("GET /v1/servers?watch=1&after=" + strconv.FormatInt(w.seq, 10) +
				" HTTP/1.1\r\nHost: " + w.addr + "\r\n\r\n"))
		}
	})
}

// drop forgets the present call.
func (w *watch) drop() {
	w.set.core.Loop.Clear(&w.due)
	w.set.engine.Pool.Put(w.in)
	if w.conn != nil {
		w.conn.Close()
	}
	w.in, w.text, w.conn, w.out, w.ok, w.live, w.chunk, w.seen = nil, objects{}, nil, false, false, false, chunks{}, 0
	w.turn++
}

// fail ends a call that brought nothing, or a watch that broke. The module says
// when to ask again, but for an agent, which is called again at once: the list
// known at the start then waits for its whole time.
func (w *watch) fail(why string) {
	w.drop()
	if !w.pushed() {
		w.set.core.Log("discovery: " + why)
		w.set.begin(nil)
		w.set.core.List(w.set, hollyyoke.ListError, nil)
		return
	}
	if !w.mute {
		w.mute = true // an outage has one line in the log, not one for each call
		w.set.core.Log("discovery: " + why)
	}
	loop, turn := w.set.core.Loop, w.turn
	loop.After(max(w.set.core.Settings.DrainGrace/agentRests, leastRest), func() {
		if turn == w.turn {
			w.open()
		}
	})
}

// Closed is told that discovery ended the call.
func (w *watch) Closed(c *net.Conn, _ error) {
	if c == w.conn {
		w.fail("the watch ended")
	}
}

// Data takes in what discovery sent.
func (w *watch) Data(c *net.Conn, b *net.Buffer) {
	if c != w.conn {
		w.set.engine.Pool.Put(b)
		return
	}
	defer w.set.engine.Pool.Put(b)
	for w.conn == c && len(b.Bytes()) > 0 {
		if w.in == nil {
			w.in = w.set.engine.Pool.Get()
		}
		n := w.in.Fill(b.Bytes())
		b.Cut(n)
		err := w.read()
		if err == nil && n == 0 {
			err = errMalformed // no room for the end of what is a line at the most
		}
		if err != nil && w.conn == c {
			w.fail(err.Error())
			return
		}
	}
}

func (w *watch) read() error {
	if !w.ok {
		var h head
		ok, err := parseHead(w.in.Bytes(), &h, &w.seen)
		if !ok {
			return err
		}
		if string(h.b) != "200" || !h.has("Transfer-Encoding", "chunked") {
			return errors.New("status " + string(h.b))
		}
		w.ok = true
		w.in.Cut(h.size)
	}
	for conn := w.conn; w.conn == conn; {
		data, used, err := w.chunk.next(w.in.Bytes())
		if err != nil {
			return err
		}
		if w.chunk.done {
			return errors.New("the watch ended")
		}
		if used == 0 {
			return nil
		}
		if err := w.lines(data); err != nil {
			return err
		}
		if w.conn == conn {
			w.in.Cut(used)
		}
	}
	return nil
}

func (w *watch) lines(data []byte) error {
	for conn := w.conn; len(data) > 0 && w.conn == conn; {
		object, used, whole, err := w.text.next(data)
		if err != nil {
			return err
		}
		if data = data[used:]; !whole {
			continue
		}
		if err := w.line(object); err != nil {
			return err
		}
	}
	return nil
}

// line takes in one line: the list, changes, or a line that only shows liveness.
func (w *watch) line(text []byte) error {
	loop := w.set.core.Loop
	loop.Set(&w.due, loop.Now()+watchLine)
	first := !w.live
	w.live, w.mute = true, false
	if len(text) == 0 && w.set.first != nil {
		w.set.begin(nil)
		return nil
	}
	if len(text) == 0 {
		if first { // nothing has changed; but the call did not fail, and the module waits for word of it
			w.set.core.List(w.set, hollyyoke.ListChanges, nil)
		}
		return nil
	}
	var list hosts
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	entries, err := w.set.entries(list.Hosts)
	if err != nil {
		return err
	}
	kind := hollyyoke.ListChanges
	if list.Whole {
		kind = hollyyoke.ListComplete
		w.set.onlyThese(entries)
	}
	w.seq = list.Seq
	if w.set.Told != nil {
		defer w.set.Told()
	}
	if w.set.first != nil && !list.Whole {
		w.set.begin(entries)
		return nil
	}
	w.set.first = nil
	w.set.core.Loop.Clear(&w.set.due)
	w.set.core.List(w.set, kind, entries)
	return nil
}

// onlyThese marks all backends as gone that a complete list lacks.
func (s *Backends) onlyThese(entries []hollyyoke.Entry) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Worker] = true
	}
	for name, b := range s.hosts {
		if !listed[name] {
			s.gone(b)
		}
	}
}

func (s *Backends) gone(b *backend) {
	if b.state != hollyyoke.Deleted {
		b.state, b.told = hollyyoke.Deleted, s.core.Loop.Now()
	}
	b.closeIdle()
	delete(s.hosts, b.name)
}

// parse checks a whole list and takes in none of it.
func (s *Backends) parse(list []host) ([]hollyyoke.Entry, error) {
	entries := make([]hollyyoke.Entry, 0, len(list))
	for i, h := range list {
		at := "hosts[" + strconv.Itoa(i) + "]"
		e := hollyyoke.Entry{
			Worker: h.Host, Cell: h.Block, Weight: h.Share,
			Zone: index(s.core.Settings.ZoneNames, h.Site), Kind: index(s.core.Settings.KindNames, h.Class),
		}
		if h.BornMs > 0 && h.BornMs < 1e13 {
			e.LastStart = time.Duration(h.BornMs * float64(time.Millisecond))
		}
		switch h.Health {
		case "ready":
			e.State = hollyyoke.Running
		case "draining":
			e.State = hollyyoke.Stopping
		case "gone":
			e.State = hollyyoke.Deleted
		default:
			return nil, errors.New(at + ".health: unknown value " + strconv.Quote(h.Health))
		}
		if h.Host == "" {
			return nil, errors.New(at + ".host is empty")
		}
		if _, _, err := stdnet.SplitHostPort(h.Dial); err != nil && e.State != hollyyoke.Deleted {
			return nil, errors.New(at + ".dial: " + err.Error())
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// entries takes in a list, unless some of it is wrong.
func (s *Backends) entries(list []host) ([]hollyyoke.Entry, error) {
	entries, err := s.parse(list)
	if err != nil {
		return nil, err
	}
	now := s.core.Loop.Now()
	for i, e := range entries {
		b := s.hosts[e.Worker]
		if e.State == hollyyoke.Deleted {
			if b != nil {
				s.gone(b)
			}
			continue
		}
		if b == nil {
			b = &backend{name: e.Worker, dial: list[i].Dial, state: e.State, told: now}
			s.hosts[e.Worker] = b
		}
		if b.dial != list[i].Dial {
			b.closeIdle()
			b.dial = list[i].Dial
		}
		if b.host = list[i]; b.state != e.State {
			b.state, b.told = e.State, now
		}
	}
	return entries, nil
}

// index finds a name; -1 is a number that no setting names.
func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}
