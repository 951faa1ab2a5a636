package faktory

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/slotmap"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file owns the server role: producers' PUSHes become reqs, and a parked
// FETCH is a worker's free slot. The PUSH of a direct queue is answered when the
// job is over, since nothing of it is kept. It must never answer a command twice or out of
// order, nor hand a job to a worker that has said that it is quiet.

// Server is the Faktory front's server role. It is a front and a carrier, and
// belongs to the loop's goroutine.
type Server struct {
	core       *dispatch.Dispatcher
	engine     *transport.Engine
	password   string
	classes    map[string]int
	base       int // the number of kinds that are not masks of classes
	sessions   slotmap.Map[session]
	entry      *listener.Gate
	workers    map[string]*worker // by name, which is the wid with a prefix
	deliveries map[uint64]*delivery
	jids       *memory
	kept       *keep // what is durable; nil: nothing
	acceptor   *transport.Acceptor
	began      time.Duration
	commands   uint64
	out        []byte
}

// session is one connection of a producer or a worker.
type session struct {
	srv    *Server
	token  uint64
	id     connlimit.ID
	conn   *transport.Conn
	in     *transport.Buffer
	header bool // a trusted front's, whose PROXY header is awaited
	salt   string
	greets bool // HELLO has been taken
	served bool // the job that is over was served
	worker *worker
	push   uint64 // the req whose answer is owed to a PUSH; 0: none, or not named yet
	jid    string // of that PUSH
	class  int
	busy   bool // a PUSH or FETCH waits for its answer
	gone   bool
	parked bool
	mask   int    // the classes that the parked FETCH wants
	wants  []int  // of them, the durable ones, in its order
	since  uint64 // which FETCH it was that is parked

	reserved string             // the durable job that the parked FETCH is kept for; empty: it is free
	due      eventloop.Deadline // of a parked FETCH, or of a silent session
}

// worker is one wid: a backend to the module.
type worker struct {
	name     string
	entry    decision.Endpoint
	listed   bool
	sessions int
	parked   []*session // its free slots, the longest parked first
	held     []*delivery
	waits    []*wait // durable jobs that wait for a slot before they are leased
	working  int
	honours  jobs.Guarantee // what it promises of durable jobs
	slots    int            // the most it ever had parked and in work
	due      eventloop.Deadline
}

// delivery is one fetch on its way to a worker or in work there.
type delivery struct {
	attempt dispatch.Attempt
	w       *worker
	given   bool // handed out: from now on it may have run
	due     eventloop.Deadline
}

const (
	prefix       = "faktory:"       // keeps wids apart from the names that discovery uses
	parkTime     = 2 * time.Second  // a FETCH waits so long for a job
	silence      = 60 * time.Second // a session without a command is ended; workers BEAT every 15 s
	helloTime    = 5 * time.Second
	rejoin       = time.Second     // a worker without connections is gone after that
	holdTime     = time.Second     // a fetch waits so long for the worker's next FETCH
	warmAtStart  = 5 * time.Second // who joins so soon after our start was running before
	iterations   = 1545
	greetingLine = "+HI "
)

// NewServer returns the server role, with its part of the fleet still empty.
func NewServer(c *dispatch.Dispatcher, e *transport.Engine, password string, jids *memory) *Server {
	s := &Server{
		core: c, engine: e, password: password, classes: names(c), base: len(c.Settings.KindNames),
		workers: map[string]*worker{}, deliveries: map[uint64]*delivery{}, jids: jids, began: c.Loop.Now(),
		entry: listener.NewUnlimited(c.Loop, 1),
	}
	c.AddSource(s)
	return s
}

func names(c *dispatch.Dispatcher) map[string]int {
	classes := map[string]int{}
	for i, class := range c.Settings.Classes {
		classes[class.Name] = i
	}
	return classes
}

// Use makes the server ask an entry who may come in. It must come before Listen.
func (s *Server) Use(e *listener.Gate) { s.entry = e }

const frontNumber = 1 // of this front's tokens, at the entry

// Listen starts accepting producers and workers, most at a time.
func (s *Server) Listen(addr string, most int) (string, error) {
	s.entry.AddFrontEnd(frontNumber, s)
	if s.entry.Enabled() {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return "", err
		}
		s.acceptor = s.engine.ServeWithAdmission(ln, false, s.accept)
		return s.acceptor.String(), nil
	}
	a, err := s.engine.Listen(addr, most, false, s.accept, s.shed)
	if err != nil {
		return "", err
	}
	s.acceptor = a
	return a.String(), nil
}

func (s *Server) accept(c *transport.Conn) transport.Handler {
	n := &session{srv: s, conn: c}
	n.token = s.sessions.Insert(n)
	n.id = s.entry.Accepted(frontNumber, n.token, c.AdmissionToken)
	n.due.Fire = n.expire
	s.core.Loop.Set(&n.due, s.core.Loop.Now()+helloTime)
	if n.header = s.entry.Limiter.TrustOf(n.id) == connlimit.TrustedProxy; !n.header {
		n.greet()
	}
	return n
}

// greet says the server's first word.
func (n *session) greet() {
	s := n.srv
	g := greeting{V: 2}
	if s.password != "" {
		var salt [8]byte
		rand.Read(salt[:])
		n.salt = hex.EncodeToString(salt[:])
		g.Salt, g.Iterations = n.salt, iterations
	}
	raw, _ := json.Marshal(g)
	n.say(greetingLine + string(raw))
}

// shed ends sessions that have nothing out, since there are too many.
func (s *Server) shed() {
	const some = 16
	for range some {
		if !s.entry.EvictOne(connlimit.ForUnknown) {
			return
		}
	}
}

// Evict closes a session that the entry has chosen. A worker's is none: what it
// holds is a backend's.
func (s *Server) Evict(token uint64) {
	if n := s.sessions.Get(token); n != nil && !n.busy && n.worker == nil {
		n.forget()
		n.conn.Close()
	}
}

// Sessions is the number of sessions open.
func (s *Server) Sessions() int { return s.sessions.Len() }

// Close ends producers' sessions between jobs, and workers' once nothing is in work there.
func (s *Server) Close() {
	s.sessions.ForEach(func(_ uint64, n *session) {
		if !n.busy && n.in == nil && (n.worker == nil || n.worker.working == 0) {
			n.end()
		}
	})
}

// ---- Sessions.

func (n *session) say(line string) { n.conn.Write([]byte(line + "\r\n")) }

// expire ends what has waited too long: a parked FETCH goes away empty, a silent session ends.
func (n *session) expire() {
	switch {
	case n.parked:
		n.unpark()
		n.conn.Write([]byte("$-1\r\n"))
		n.ready()
	case !n.busy:
		n.end()
	}
}

// ready makes the session read on after an answer.
func (n *session) ready() {
	n.busy = false
	loop := n.srv.core.Loop
	if n.worker == nil {
		n.srv.entry.Limiter.BecameIdle(loop.Now(), n.id, n.served)
		n.served = false
	}
	loop.Set(&n.due, loop.Now()+silence)
	if n.in != nil {
		loop.Post(n.read) // a command that came early; not from inside the core
	}
}

func (n *session) end() {
	n.forget()
	n.conn.CloseGracefully()
}

func (n *session) forget() {
	if n.gone {
		return
	}
	n.gone = true
	n.srv.entry.Limiter.Closed(n.id)
	n.srv.sessions.Remove(n.token)
	n.srv.core.Loop.Clear(&n.due)
	n.srv.engine.Pool.Put(n.in)
	n.in = nil
	n.unpark()
	if w := n.worker; w != nil {
		n.worker = nil
		w.left(n.srv)
	}
}

// OnClosed is told that the peer has gone. A PUSH whose producer has gone is wanted by nobody any more.
func (n *session) OnClosed(*transport.Conn, error) {
	push, id, class := n.push, n.jid, n.class
	n.forget()
	if push != 0 {
		n.push = 0
		ran := n.srv.core.Cancel(push)
		n.srv.jids.finish(id, dispatch.Response{Outcome: dispatch.Failed, MayHaveRun: ran},
			n.srv.core.Settings.Classes[class].Idempotency, n.srv.core.Loop.Now())
	}
}

// The dispatcher asks a front end for this interface at run time.
var _ dispatch.ClientWatcher = (*Server)(nil)

// ClientLeft tells whether the producer of a PUSH has closed its connection.
func (s *Server) ClientLeft(token uint64) bool {
	n := s.sessions.Get(token)
	return n == nil || n.conn.PeerClosed()
}

// RequestCancelled tells that nobody wants a PUSH's job any more, as Closed would have told a little later.
func (s *Server) RequestCancelled(token uint64, mayHaveRun bool) {
	if n := s.sessions.Get(token); n != nil && n.jid != "" {
		s.jids.finish(n.jid, dispatch.Response{Outcome: dispatch.Failed, MayHaveRun: mayHaveRun},
			s.core.Settings.Classes[n.class].Idempotency, s.core.Loop.Now())
		n.push, n.jid = 0, ""
	}
}

// OnData takes in what the peer sent.
func (n *session) OnData(_ *transport.Conn, b *transport.Buffer) {
	if n.gone {
		n.srv.engine.Pool.Put(b)
		return
	}
	if n.in == nil {
		n.in = b
	} else {
		ok := n.in.Append(b.Bytes())
		n.srv.engine.Pool.Put(b)
		if !ok {
			if !n.busy {
				n.say("-ERR MALFORMED command " + errLong.Error())
			}
			n.srv.entry.Limiter.ReportAbuse(n.srv.core.Loop.Now(), n.id, connlimit.Greedy)
			n.OnClosed(nil, nil) // even while an answer is owed: whoever floods has gone
			n.conn.CloseGracefully()
			return
		}
	}
	if n.header && !n.introduce() {
		return
	}
	n.read()
}

// introduce reads a trusted front's header, which tells whose session it is.
func (n *session) introduce() bool {
	e := n.srv.entry
	addr, used, err := listener.ParseProxyHeader(n.in.Bytes())
	if err == nil && used == 0 {
		return false
	}
	why := connlimit.BadHeader
	if err == nil {
		if why = connlimit.Allowed; addr.IsValid() {
			why = e.Limiter.Identify(n.srv.core.Loop.Now(), n.id, addr)
		}
	}
	if why != connlimit.Allowed {
		e.LogRejection(why, addr)
		n.forget()
		n.conn.Close()
		return false
	}
	n.header = false
	if n.in.Consume(used); len(n.in.Bytes()) == 0 {
		n.srv.engine.Pool.Put(n.in)
		n.in = nil
	}
	n.greet()
	return true
}

func (n *session) read() {
	for n.in != nil && !n.busy && !n.gone {
		line, used, err := parseLine(n.in.Bytes())
		if err != nil {
			n.say("-ERR MALFORMED command " + err.Error())
			n.end()
			return
		}
		if used == 0 {
			return
		}
		verb, rest := parseCommand(line)
		// The command keeps its buffer, a job for as long as it is in work; what came behind it moves on.
		pool, held := &n.srv.engine.Pool, n.in
		n.in = nil
		if behind := held.Bytes()[used:]; len(behind) > 0 {
			n.in = pool.Get()
			n.in.Append(behind)
		}
		n.srv.core.Loop.Set(&n.due, n.srv.core.Loop.Now()+silence)
		n.srv.commands++
		if verb == "PUSH" && n.greets {
			n.pushed(rest, func() { pool.Put(held) })
			continue
		}
		n.command(verb, rest)
		pool.Put(held)
	}
}

// command handles all commands but PUSH.
func (n *session) command(verb string, rest []byte) {
	if !n.greets && verb != "HELLO" && verb != "END" {
		n.say("-ERR HELLO is needed first")
		n.end()
		return
	}
	switch verb {
	case "HELLO":
		n.hello(rest)
	case "FETCH":
		n.fetch(rest)
	case "ACK", "FAIL":
		n.closeJob(verb, rest)
	case "BEAT":
		n.beat(rest)
	case "START", "PUSHB", "QUEUE", "MUTATE", "FLUSH", "TRACK":
		n.kept(verb, rest)
	case "INFO":
		n.conn.Write(appendBulk(nil, n.srv.info()))
	case "END":
		n.say("+OK")
		n.end()
	default:
		n.say("-ERR Unknown command " + oneLine(fmt.Sprintf("%.40s", verb)))
	}
}

func (n *session) hello(rest []byte) {
	var h hello
	err := json.Unmarshal(rest, &h)
	switch {
	case n.greets:
		n.say("-ERR HELLO was said before")
		return
	case err != nil:
		n.say("-ERR MALFORMED HELLO: " + oneLine(err.Error()))
	case h.V != 2:
		n.say("-ERR version: this server speaks 2")
	case n.srv.password != "" &&
		subtle.ConstantTimeCompare([]byte(h.Hash), []byte(hashPassword(n.srv.password, n.salt, iterations))) != 1:
		n.say("-ERR Invalid password")
	case len(h.Wid) > 128 || strings.ContainsFunc(h.Wid, func(r rune) bool { return r <= ' ' || r >= 0x7f }):
		n.say("-ERR wid: 128 characters without spaces at most")
	default:
		n.greets = true
		if h.Wid != "" {
			n.worker = n.srv.join(h)
			n.srv.entry.Limiter.RequestComplete(n.srv.core.Loop.Now(), n.id)
		} else {
			n.srv.entry.Limiter.BecameIdle(n.srv.core.Loop.Now(), n.id, false)
		}
		n.say("+OK")
		return
	}
	n.end()
}

// pushed takes a job. The answer to the PUSH is the final answer of the job.
func (n *session) pushed(rest []byte, release func()) {
	srv := n.srv
	now := srv.core.Loop.Now()
	job, w, err := readJob(rest, srv.classes, now)
	durable := err == nil && srv.kept != nil && srv.kept.classes[job.Class]
	if w.at > 0 && !durable {
		err = errLater
	}
	if err != nil {
		word := "MALFORMED"
		if errors.Is(err, errUnknown) || errors.Is(err, errTwo) {
			word = "UNKNOWN"
		}
		n.say("-ERR " + word + " " + oneLine(err.Error()))
		release()
		return
	}
	if durable {
		told := n.owe()
		n.keep(job, rest, &w, func(why string) { told(okOr(why)) })
		release()
		return
	}
	if line := closedAgain(srv.jids.fate(job.ID)); line != "" {
		n.say(line)
		release()
		return
	}
	job.Release = release
	srv.jids.begin(job.ID, now)
	n.busy, n.push, n.jid, n.class = true, 0, job.ID, job.Class
	srv.entry.Limiter.RequestComplete(now, n.id)
	srv.core.Loop.Clear(&n.due)
	req := srv.core.Accept(srv, n.token, job)
	if n.busy && n.jid != "" { // it has no answer yet, and its producer has not left
		n.push = req
	}
}

// closedAgain is the answer to a PUSH of a jid that does not run again, or not now.
func closedAgain(f fate) string {
	switch f {
	case served: // the answer was lost on the way
		return "+OK"
	case mayHaveRun:
		return failedLine(true, false)
	case inWork:
		return "-ERR REFUSED this jid is in work, pushing it again is harmless; retry after 1.000 s"
	}
	return ""
}

// Respond answers a PUSH.
func (s *Server) Respond(token uint64, a dispatch.Response) {
	n := s.sessions.Get(token)
	if n == nil || !n.busy || n.jid == "" {
		return
	}
	repeat := s.core.Settings.Classes[n.class].Idempotency
	s.jids.finish(n.jid, a, repeat, s.core.Loop.Now())
	n.push, n.jid = 0, ""
	switch a.Outcome {
	case dispatch.Served:
		n.served = true
		n.say("+OK")
	case dispatch.Rejected:
		n.say(refusedLine(a.RetryAfter))
	default:
		n.say(failedLine(a.MayHaveRun, repeat == decision.Idempotent))
	}
	n.ready()
}

func refusedLine(after time.Duration) string {
	line := "-ERR REFUSED pushing it again is harmless"
	if after > 0 {
		line += fmt.Sprintf("; retry after %.3f s", after.Seconds())
	}
	return line
}

func failedLine(mayHaveRun, repeatable bool) string {
	switch {
	case !mayHaveRun:
		return "-ERR FAILED it has not run"
	case repeatable:
		return "-ERR FAILED it may have run; its class may be repeated"
	}
	return "-ERR FAILED it may have run; it will not be run again under this jid"
}

// fetch parks a worker's FETCH until there is a job for it.
func (n *session) fetch(rest []byte) {
	w := n.worker
	if w == nil {
		n.say("-ERR FETCH is for workers: HELLO told no wid")
		return
	}
	mask := 0
	for q := range strings.FieldsSeq(string(rest)) {
		if class, ok := n.srv.classes[q]; ok {
			mask |= 1 << class
		}
	}
	loop := n.srv.core.Loop
	n.busy, n.parked, n.mask = true, true, mask
	if k := n.srv.kept; k != nil {
		k.parks++
		n.wants, n.since = n.srv.wants(string(rest)), k.parks
		defer k.desk.Wake()
	}
	w.parked = append(w.parked, n)
	loop.Set(&n.due, loop.Now()+parkTime)
	w.slots = max(w.slots, len(w.parked)+w.working)
	if w.entry.State != decision.Running {
		return // it gets nothing new, and goes away empty
	}
	kind := n.srv.base + mask
	if old := w.entry.Kind - n.srv.base; w.listed && old >= 0 {
		kind = n.srv.base + (old | mask) // what any of its connections wants
	}
	if mask != 0 && (!w.listed || kind != w.entry.Kind) {
		w.entry.Kind, w.listed = kind, true
		n.srv.core.UpdateWorkers(n.srv, decision.ListDelta, []decision.Endpoint{w.entry})
	}
	w.serveHeld(n.srv)
	if w.serveWaits(n.srv); !n.parked || !w.listed {
		return
	}
	n.srv.core.HealthChecked(w.name, decision.Completed,
		decision.LoadReport{FreeSlots: float64(len(w.parked)), HasFreeSlots: true})
}

// unpark takes a FETCH off its worker's free slots.
func (n *session) unpark() {
	if n.parked {
		n.parked, n.reserved = false, ""
		w := n.worker
		w.parked = slices.DeleteFunc(w.parked, func(o *session) bool { return o == n })
	}
}

// closeJob takes an ACK or a FAIL: the outcome of a fetch. One for a job that
// is not out, or not any more, changes no answer and is taken all the same.
func (n *session) closeJob(verb string, rest []byte) {
	var c word
	if err := json.Unmarshal(rest, &c); err != nil || c.Jid == "" {
		n.say("-ERR MALFORMED " + verb + ": a jid is needed")
		return
	}
	if k := n.srv.kept; k != nil {
		if j, known := k.Get(c.Jid); known {
			n.closeKept(verb, j, c)
			return
		}
	}
	n.say("+OK")
	var found *delivery // by the session's worker; a session without one closes the oldest
	for _, d := range n.srv.deliveries {
		if d.given && d.attempt.Request.ID == c.Jid && (n.worker == nil || d.w == n.worker) &&
			(found == nil || d.attempt.Handle < found.attempt.Handle) {
			found = d
		}
	}
	if found == nil {
		if verb == "ACK" {
			n.srv.jids.confirm(c.Jid, n.srv.core.Loop.Now())
		}
		return
	}
	n.srv.drop(found)
	o := decision.Completed
	if verb == "FAIL" {
		o = decision.Failed
	}
	n.srv.core.AttemptEnded(found.attempt.Handle, o, decision.LoadReport{}, nil)
}

// beat takes a worker's liveness. One that says it is quiet, or about to
// terminate, drains from now on.
func (n *session) beat(rest []byte) {
	var b struct {
		Wid   string `json:"wid"`
		State string `json:"current_state"`
	}
	if err := json.Unmarshal(rest, &b); err != nil {
		n.say("-ERR MALFORMED BEAT: " + oneLine(err.Error()))
		return
	}
	w := n.srv.workers[prefix+b.Wid]
	if w == nil {
		w = n.worker
	}
	if k := n.srv.kept; k != nil {
		name := prefix + b.Wid
		if b.Wid == "" && n.worker != nil {
			name = n.worker.name
		}
		k.Heartbeat(name)
	}
	n.say("+OK")
	if w == nil || b.State == "" {
		return
	}
	switch b.State {
	case "quiet", "terminate", "terminating":
		w.drain(n.srv)
	}
}

func (s *Server) info() []byte {
	now := s.core.Loop.Now()
	counts, working, parked := s.core.Counts(), 0, 0
	for _, w := range s.workers {
		working, parked = working+w.working, parked+len(w.parked)
	}
	faktory := map[string]any{
		"total_enqueued": s.core.Unanswered(), "total_processed": counts.Served, "total_failures": counts.Failed,
		"total_refused": counts.Rejected, "total_queues": len(s.classes),
		"tasks": map[string]any{"Working": map[string]any{"size": working}, "Parked": map[string]any{"size": parked}},
	}
	if s.kept != nil {
		s.keptInfo(faktory)
	}
	raw, _ := json.Marshal(map[string]any{ // numbers and strings always marshal
		"now":     time.Unix(0, int64(now)).UTC().Format(time.RFC3339),
		"faktory": faktory,
		"server": map[string]any{
			"description": "hollyyoke", "connections": s.sessions.Len(), "command_count": s.commands,
			"uptime": int((now - s.began).Seconds()),
		},
	})
	return raw
}

// ---- Workers.

// join books a connection of a wid. A wid that is new is a backend that has
// just started, unless it was surely there before us: it joins right after our
// own start, or tells its start in a label, or no other is there to spare it.
func (s *Server) join(h hello) *worker {
	now := s.core.Loop.Now()
	w := s.workers[prefix+h.Wid]
	if w == nil {
		w = &worker{name: prefix + h.Wid}
		w.entry = decision.Endpoint{
			Name: w.name, Zone: s.core.Settings.Zone, Kind: s.base, Weight: 1, StartedAt: now,
		}
		if now-s.began < warmAtStart || !s.anyRunning() {
			w.entry.StartedAt = 0
		}
		for _, label := range h.Labels {
			name, value, _ := strings.Cut(label, ":")
			switch name {
			case "zone":
				w.entry.Zone = slices.Index(s.core.Settings.ZoneNames, value)
			case "born_ms":
				var ms int64
				if _, err := fmt.Sscan(value, &ms); err == nil && ms >= 0 && ms < 1e13 {
					w.entry.StartedAt = time.Duration(ms) * time.Millisecond
				}
			}
		}
		w.due.Fire = func() { s.lose(w) }
		s.workers[w.name] = w
	}
	for label, promise := range map[string]jobs.Guarantee{"fences:1": jobs.HonorsFences, "idempotent:1": jobs.Deduplicates} {
		if slices.Contains(h.Labels, label) {
			w.honours = max(w.honours, promise)
		}
	}
	w.sessions++
	s.core.Loop.Clear(&w.due)
	return w
}

func (s *Server) anyRunning() bool {
	for _, w := range s.workers {
		if w.listed && w.entry.State == decision.Running {
			return true
		}
	}
	return false
}

// left books that a connection of a worker has ended. After the last one it may come back for a moment.
func (w *worker) left(s *Server) {
	if w.sessions--; w.sessions == 0 {
		s.core.Loop.Set(&w.due, s.core.Loop.Now()+rejoin)
	}
}

// lose books that a worker has gone, and what was in work there with it.
func (s *Server) lose(w *worker) {
	delete(s.workers, w.name)
	if w.listed {
		w.entry.State = decision.Removed
		s.core.UpdateWorkers(s, decision.ListDelta, []decision.Endpoint{w.entry})
	}
	w.returnHeld(s)
	for _, d := range s.all(w) {
		s.drop(d)
		s.core.AttemptEnded(d.attempt.Handle, decision.ConnectionLost, decision.LoadReport{}, nil)
	}
}

// all returns a worker's deliveries, in the order of their attempts.
func (s *Server) all(w *worker) (list []*delivery) {
	for _, d := range s.deliveries {
		if d.w == w {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(a, b *delivery) int {
		if a.attempt.Handle < b.attempt.Handle {
			return -1
		}
		return 1
	})
	return list
}

// drain lets a worker finish what it has, and gives it nothing new.
func (w *worker) drain(s *Server) {
	if w.entry.State != decision.Running {
		return
	}
	w.entry.State = decision.Draining
	if w.listed {
		s.core.UpdateWorkers(s, decision.ListDelta, []decision.Endpoint{w.entry})
	}
	w.returnHeld(s)
}

// returnHeld hands back what waits for a worker's next FETCH: it never ran.
func (w *worker) returnHeld(s *Server) {
	for len(w.waits) > 0 {
		w.through(s, w.waits[0], false)
	}
	for len(w.held) > 0 {
		d := w.held[0]
		s.drop(d)
		s.core.AttemptEnded(d.attempt.Handle, decision.Saturated, decision.LoadReport{}, nil)
	}
}

// ---- The carrier.

// Start hands a job to a parked FETCH of the worker, or holds it for its next one.
func (s *Server) Start(f dispatch.Attempt) {
	w := s.workers[f.Worker]
	if w == nil || w.entry.State != decision.Running || len(w.held) >= max(w.slots, 1) {
		s.core.AttemptEnded(f.Handle, decision.Saturated, decision.LoadReport{}, nil)
		return
	}
	d := &delivery{attempt: f, w: w}
	d.due.Fire = func() {
		s.drop(d)
		s.core.AttemptEnded(f.Handle, decision.Saturated, decision.LoadReport{}, nil)
	}
	s.deliveries[f.Handle] = d
	if n := w.slotFor(f.Request.Class, f.Request.ID); n != nil {
		s.give(d, n)
		return
	}
	w.held = append(w.held, d)
	s.core.Loop.Set(&d.due, s.core.Loop.Now()+holdTime)
}

// slotFor is the slot that is kept for a job, else the first free one.
func (w *worker) slotFor(class int, id string) (slot *session) {
	for _, n := range w.parked {
		if n.mask>>class&1 == 0 {
			continue
		}
		if n.reserved != "" && n.reserved == id {
			return n
		}
		if n.reserved == "" && slot == nil {
			slot = n
		}
	}
	return slot
}

// serveHeld gives what is held to the slots that fit.
func (w *worker) serveHeld(s *Server) {
	for _, d := range slices.Clone(w.held) {
		if n := w.slotFor(d.attempt.Request.Class, d.attempt.Request.ID); n != nil {
			w.held = slices.DeleteFunc(w.held, func(o *delivery) bool { return o == d })
			s.core.Loop.Clear(&d.due)
			s.give(d, n)
		}
	}
}

// give hands a job out. If the connection is known to be broken, nothing ran.
func (s *Server) give(d *delivery, n *session) {
	n.unpark()
	job := d.attempt.Request
	raw := job.Body
	if job.Target != "" {
		raw = makeJob(job, s.core.Settings.Classes[job.Class].Name)
	}
	if d.attempt.Fence != 0 {
		raw = withFence(raw, d.attempt.Fence)
	}
	s.out = appendBulk(s.out[:0], raw)
	before := n.conn.SentBytes()
	if !n.conn.Write(s.out) && n.conn.SentBytes()-before < int64(len(s.out)) {
		delete(s.deliveries, d.attempt.Handle)
		s.core.AttemptEnded(d.attempt.Handle, decision.ConnectionRefused, decision.LoadReport{}, nil)
		return
	}
	d.given = true
	d.w.working++
	n.ready()
	s.core.AttemptStarted(d.attempt.Handle)
}

// drop forgets a delivery.
func (s *Server) drop(d *delivery) {
	delete(s.deliveries, d.attempt.Handle)
	s.core.Loop.Clear(&d.due)
	if d.given {
		d.w.working--
		return
	}
	d.w.held = slices.DeleteFunc(d.w.held, func(o *delivery) bool { return o == d })
}

// Cancel gives an attempt up. The protocol cannot call a job back that a worker has.
func (s *Server) Cancel(handle uint64) (neverRan bool) {
	d := s.deliveries[handle]
	if d == nil {
		return false
	}
	s.drop(d)
	return !d.given
}

// CloseIdle has nothing to do: the connections are the workers' own.
func (s *Server) CloseIdle(string) {}

// Subscribe has nothing to do: workers come by themselves.
func (s *Server) Subscribe() {}

// CheckHealth answers from what is known: the parked FETCHes are the free slots.
func (s *Server) CheckHealth(backend string) {
	if w := s.workers[backend]; w != nil {
		s.core.HealthChecked(backend, decision.Completed,
			decision.LoadReport{FreeSlots: float64(len(w.parked)), HasFreeSlots: true})
	}
}
