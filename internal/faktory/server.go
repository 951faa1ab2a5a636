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
	dispatcher       *dispatch.Dispatcher
	engine     *transport.Engine
	password   string
	classNumbers    map[string]int
	firstClassKind       int // the number of kinds that are not masks of classes
	connections   slotmap.Map[connection]
	gate      *listener.Gate
	workers    map[string]*worker // by name, which is the wid with a prefix
	deliveries map[uint64]*delivery
	jids       *jidMemory
	durable       *durableQueues // what is durable; nil: nothing
	acceptor   *transport.Acceptor
	startedAt      time.Duration
	commandCount   uint64
	writeBuffer        []byte
}

// connection is one connection of a producer or a worker.
type connection struct {
	server    *Server
	token  uint64
	admissionID     connlimit.ID
	conn   *transport.Conn
	input     *transport.Buffer
	awaitsProxyHeader bool // a trusted front's, whose PROXY header is awaited
	salt   string
	authenticated bool // HELLO has been taken
	lastPushServed bool // the job that is over was served
	worker *worker
	pendingRequest   uint64 // the req whose answer is owed to a PUSH; 0: none, or not named yet
	pendingJid    string // of that PUSH
	pendingClass  int
	busy   bool // a PUSH or FETCH waits for its answer
	closed   bool
	parked bool
	classMask   int    // the classes that the parked FETCH wants
	durableClasses  []int  // of them, the durable ones, in its order
	parkSequence  uint64 // which FETCH it was that is parked

	reservedFor string             // the durable job that the parked FETCH is kept for; empty: it is free
	deadline      eventloop.Deadline // of a parked FETCH, or of a silent session
}

// worker is one wid: a backend to the module.
type worker struct {
	name     string
	endpoint    decision.Endpoint
	listed   bool
	connections int
	parked   []*connection // its free slots, the longest parked first
	awaitingFetch     []*delivery
	reservations    []*reservation // durable jobs that wait for a slot before they are leased
	inProgress  int
	guarantee  jobs.Guarantee // what it promises of durable jobs
	maxSlots    int            // the most it ever had parked and in work
	rejoinDeadline      eventloop.Deadline
}

// delivery is one fetch on its way to a worker or in work there.
type delivery struct {
	attempt dispatch.Attempt
	worker       *worker
	handedOut   bool // handed out: from now on it may have run
	fetchDeadline     eventloop.Deadline
}

const (
	workerNamePrefix       = "faktory:"       // keeps wids apart from the names that discovery uses
	parkTimeout     = 2 * time.Second  // a FETCH waits so long for a job
	idleTimeout      = 60 * time.Second // a session without a command is ended; workers BEAT every 15 s
	helloTimeout    = 5 * time.Second
	rejoinTimeout       = time.Second     // a worker without connections is gone after that
	nextFetchTimeout     = time.Second     // a fetch waits so long for the worker's next FETCH
	runningBeforeWindow  = 5 * time.Second // who joins so soon after our start was running before
	hashIterations   = 1545
	greetingPrefix = "+HI "
)

// NewServer returns the server role, with its part of the fleet still empty.
func NewServer(c *dispatch.Dispatcher, e *transport.Engine, password string, jids *jidMemory) *Server {
	s := &Server{
		dispatcher: c, engine: e, password: password, classNumbers: classNumbers(c), firstClassKind: len(c.Settings.KindNames),
		workers: map[string]*worker{}, deliveries: map[uint64]*delivery{}, jids: jids, startedAt: c.Loop.Now(),
		gate: listener.NewUnlimited(c.Loop, 1),
	}
	c.AddSource(s)
	return s
}

func classNumbers(c *dispatch.Dispatcher) map[string]int {
	classes := map[string]int{}
	for i, class := range c.Settings.Classes {
		classes[class.Name] = i
	}
	return classes
}

// SetGate makes the server ask an entry who may come in. It must come before Listen.
func (s *Server) SetGate(e *listener.Gate) { s.gate = e }

const frontEndNumber = 1 // of this front's tokens, at the entry

// Listen starts accepting producers and workers, most at a time.
func (s *Server) Listen(addr string, most int) (string, error) {
	s.gate.AddFrontEnd(frontEndNumber, s)
	if s.gate.Enabled() {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return "", err
		}
		s.acceptor = s.engine.ServeWithAdmission(ln, false, s.accept)
		return s.acceptor.String(), nil
	}
	a, err := s.engine.Listen(addr, most, false, s.accept, s.shedConnections)
	if err != nil {
		return "", err
	}
	s.acceptor = a
	return a.String(), nil
}

func (s *Server) accept(c *transport.Conn) transport.Handler {
	n := &connection{server: s, conn: c}
	n.token = s.connections.Insert(n)
	n.admissionID = s.gate.Accepted(frontEndNumber, n.token, c.AdmissionToken)
	n.deadline.Fire = n.onDeadline
	s.dispatcher.Loop.Set(&n.deadline, s.dispatcher.Loop.Now()+helloTimeout)
	if n.awaitsProxyHeader = s.gate.Limiter.TrustOf(n.admissionID) == connlimit.TrustedProxy; !n.awaitsProxyHeader {
		n.sendGreeting()
	}
	return n
}

// sendGreeting says the server's first word.
func (n *connection) sendGreeting() {
	s := n.server
	g := greeting{V: 2}
	if s.password != "" {
		var salt [8]byte
		rand.Read(salt[:])
		n.salt = hex.EncodeToString(salt[:])
		g.Salt, g.Iterations = n.salt, hashIterations
	}
	raw, _ := json.Marshal(g)
	n.writeLine(greetingPrefix + string(raw))
}

// shedConnections ends sessions that have nothing out, since there are too many.
func (s *Server) shedConnections() {
	const some = 16
	for range some {
		if !s.gate.EvictOne(connlimit.ForUnknown) {
			return
		}
	}
}

// Evict closes a session that the entry has chosen. A worker's is none: what it
// holds is a backend's.
func (s *Server) Evict(token uint64) {
	if n := s.connections.Get(token); n != nil && !n.busy && n.worker == nil {
		n.detach()
		n.conn.Close()
	}
}

// ConnectionCount is the number of sessions open.
func (s *Server) ConnectionCount() int { return s.connections.Len() }

// Close ends producers' sessions between jobs, and workers' once nothing is in work there.
func (s *Server) Close() {
	s.connections.ForEach(func(_ uint64, n *connection) {
		if !n.busy && n.input == nil && (n.worker == nil || n.worker.inProgress == 0) {
			n.end()
		}
	})
}

// ---- Sessions.

func (n *connection) writeLine(line string) { n.conn.Write([]byte(line + "\r\n")) }

// onDeadline ends what has waited too long: a parked FETCH goes away empty, a silent session ends.
func (n *connection) onDeadline() {
	switch {
	case n.parked:
		n.unpark()
		n.conn.Write([]byte("$-1\r\n"))
		n.resume()
	case !n.busy:
		n.end()
	}
}

// resume makes the session read on after an answer.
func (n *connection) resume() {
	n.busy = false
	loop := n.server.dispatcher.Loop
	if n.worker == nil {
		n.server.gate.Limiter.BecameIdle(loop.Now(), n.admissionID, n.lastPushServed)
		n.lastPushServed = false
	}
	loop.Set(&n.deadline, loop.Now()+idleTimeout)
	if n.input != nil {
		loop.Post(n.processInput) // a command that came early; not from inside the core
	}
}

func (n *connection) end() {
	n.detach()
	n.conn.CloseGracefully()
}

func (n *connection) detach() {
	if n.closed {
		return
	}
	n.closed = true
	n.server.gate.Limiter.Closed(n.admissionID)
	n.server.connections.Remove(n.token)
	n.server.dispatcher.Loop.Clear(&n.deadline)
	n.server.engine.Pool.Put(n.input)
	n.input = nil
	n.unpark()
	if w := n.worker; w != nil {
		n.worker = nil
		w.connectionClosed(n.server)
	}
}

// OnClosed is told that the peer has gone. A PUSH whose producer has gone is wanted by nobody any more.
func (n *connection) OnClosed(*transport.Conn, error) {
	push, id, class := n.pendingRequest, n.pendingJid, n.pendingClass
	n.detach()
	if push != 0 {
		n.pendingRequest = 0
		ran := n.server.dispatcher.Cancel(push)
		n.server.jids.finish(id, dispatch.Response{Outcome: dispatch.Failed, MayHaveRun: ran},
			n.server.dispatcher.Settings.Classes[class].Idempotency, n.server.dispatcher.Loop.Now())
	}
}

// The dispatcher asks a front end for this interface at run time.
var _ dispatch.ClientWatcher = (*Server)(nil)

// ClientLeft tells whether the producer of a PUSH has closed its connection.
func (s *Server) ClientLeft(token uint64) bool {
	n := s.connections.Get(token)
	return n == nil || n.conn.PeerClosed()
}

// RequestCancelled tells that nobody wants a PUSH's job any more, as Closed would have told a little later.
func (s *Server) RequestCancelled(token uint64, mayHaveRun bool) {
	if n := s.connections.Get(token); n != nil && n.pendingJid != "" {
		s.jids.finish(n.pendingJid, dispatch.Response{Outcome: dispatch.Failed, MayHaveRun: mayHaveRun},
			s.dispatcher.Settings.Classes[n.pendingClass].Idempotency, s.dispatcher.Loop.Now())
		n.pendingRequest, n.pendingJid = 0, ""
	}
}

// OnData takes in what the peer sent.
func (n *connection) OnData(_ *transport.Conn, b *transport.Buffer) {
	if n.closed {
		n.server.engine.Pool.Put(b)
		return
	}
	if n.input == nil {
		n.input = b
	} else {
		ok := n.input.Append(b.Bytes())
		n.server.engine.Pool.Put(b)
		if !ok {
			if !n.busy {
				n.writeLine("-ERR MALFORMED command " + errTooLong.Error())
			}
			n.server.gate.Limiter.ReportAbuse(n.server.dispatcher.Loop.Now(), n.admissionID, connlimit.Greedy)
			n.OnClosed(nil, nil) // even while an answer is owed: whoever floods has gone
			n.conn.CloseGracefully()
			return
		}
	}
	if n.awaitsProxyHeader && !n.readProxyHeader() {
		return
	}
	n.processInput()
}

// readProxyHeader reads a trusted front's header, which tells whose session it is.
func (n *connection) readProxyHeader() bool {
	e := n.server.gate
	addr, used, err := listener.ParseProxyHeader(n.input.Bytes())
	if err == nil && used == 0 {
		return false
	}
	why := connlimit.BadHeader
	if err == nil {
		if why = connlimit.Allowed; addr.IsValid() {
			why = e.Limiter.Identify(n.server.dispatcher.Loop.Now(), n.admissionID, addr)
		}
	}
	if why != connlimit.Allowed {
		e.LogRejection(why, addr)
		n.detach()
		n.conn.Close()
		return false
	}
	n.awaitsProxyHeader = false
	if n.input.Consume(used); len(n.input.Bytes()) == 0 {
		n.server.engine.Pool.Put(n.input)
		n.input = nil
	}
	n.sendGreeting()
	return true
}

func (n *connection) processInput() {
	for n.input != nil && !n.busy && !n.closed {
		line, used, err := parseLine(n.input.Bytes())
		if err != nil {
			n.writeLine("-ERR MALFORMED command " + err.Error())
			n.end()
			return
		}
		if used == 0 {
			return
		}
		verb, rest := parseCommand(line)
		// The command keeps its buffer, a job for as long as it is in work; what came behind it moves on.
		pool, held := &n.server.engine.Pool, n.input
		n.input = nil
		if behind := held.Bytes()[used:]; len(behind) > 0 {
			n.input = pool.Get()
			n.input.Append(behind)
		}
		n.server.dispatcher.Loop.Set(&n.deadline, n.server.dispatcher.Loop.Now()+idleTimeout)
		n.server.commandCount++
		if verb == "PUSH" && n.authenticated {
			n.handlePush(rest, func() { pool.Put(held) })
			continue
		}
		n.handleCommand(verb, rest)
		pool.Put(held)
	}
}

// handleCommand handles all commands but PUSH.
func (n *connection) handleCommand(verb string, rest []byte) {
	if !n.authenticated && verb != "HELLO" && verb != "END" {
		n.writeLine("-ERR HELLO is needed first")
		n.end()
		return
	}
	switch verb {
	case "HELLO":
		n.handleHello(rest)
	case "FETCH":
		n.handleFetch(rest)
	case "ACK", "FAIL":
		n.handleCompletion(verb, rest)
	case "BEAT":
		n.handleBeat(rest)
	case "START", "PUSHB", "QUEUE", "MUTATE", "FLUSH", "TRACK":
		n.handleDurableCommand(verb, rest)
	case "INFO":
		n.conn.Write(appendBulk(nil, n.server.infoDocument()))
	case "END":
		n.writeLine("+OK")
		n.end()
	default:
		n.writeLine("-ERR Unknown command " + singleLine(fmt.Sprintf("%.40s", verb)))
	}
}

func (n *connection) handleHello(rest []byte) {
	var h hello
	err := json.Unmarshal(rest, &h)
	switch {
	case n.authenticated:
		n.writeLine("-ERR HELLO was said before")
		return
	case err != nil:
		n.writeLine("-ERR MALFORMED HELLO: " + singleLine(err.Error()))
	case h.V != 2:
		n.writeLine("-ERR version: this server speaks 2")
	case n.server.password != "" &&
		subtle.ConstantTimeCompare([]byte(h.Hash), []byte(hashPassword(n.server.password, n.salt, hashIterations))) != 1:
		n.writeLine("-ERR Invalid password")
	case len(h.Wid) > 128 || strings.ContainsFunc(h.Wid, func(r rune) bool { return r <= ' ' || r >= 0x7f }):
		n.writeLine("-ERR wid: 128 characters without spaces at most")
	default:
		n.authenticated = true
		if h.Wid != "" {
			n.worker = n.server.registerWorker(h)
			n.server.gate.Limiter.RequestComplete(n.server.dispatcher.Loop.Now(), n.admissionID)
		} else {
			n.server.gate.Limiter.BecameIdle(n.server.dispatcher.Loop.Now(), n.admissionID, false)
		}
		n.writeLine("+OK")
		return
	}
	n.end()
}

// handlePush takes a job. The answer to the PUSH is the final answer of the job.
func (n *connection) handlePush(rest []byte, release func()) {
	srv := n.server
	now := srv.dispatcher.Loop.Now()
	job, w, err := parseJob(rest, srv.classNumbers, now)
	durable := err == nil && srv.durable != nil && srv.durable.classes[job.Class]
	if w.scheduledAt > 0 && !durable {
		err = errScheduledOnDirectQueue
	}
	if err != nil {
		word := "MALFORMED"
		if errors.Is(err, errUnknownClass) || errors.Is(err, errAmbiguousClass) {
			word = "UNKNOWN"
		}
		n.writeLine("-ERR " + word + " " + singleLine(err.Error()))
		release()
		return
	}
	if durable {
		told := n.deferReply()
		n.storeJob(job, rest, &w, func(why string) { told(resultLine(why)) })
		release()
		return
	}
	if line := knownJidLine(srv.jids.status(job.ID)); line != "" {
		n.writeLine(line)
		release()
		return
	}
	job.Release = release
	srv.jids.begin(job.ID, now)
	n.busy, n.pendingRequest, n.pendingJid, n.pendingClass = true, 0, job.ID, job.Class
	srv.gate.Limiter.RequestComplete(now, n.admissionID)
	srv.dispatcher.Loop.Clear(&n.deadline)
	req := srv.dispatcher.Accept(srv, n.token, job)
	if n.busy && n.pendingJid != "" { // it has no answer yet, and its producer has not left
		n.pendingRequest = req
	}
}

// knownJidLine is the answer to a PUSH of a jid that does not run again, or not now.
func knownJidLine(f jidStatus) string {
	switch f {
	case jidServed: // the answer was lost on the way
		return "+OK"
	case jidMayHaveRun:
		return failureLine(true, false)
	case jidInProgress:
		return "-ERR REFUSED this jid is in work, pushing it again is harmless; retry after 1.000 s"
	}
	return ""
}

// Respond answers a PUSH.
func (s *Server) Respond(token uint64, a dispatch.Response) {
	n := s.connections.Get(token)
	if n == nil || !n.busy || n.pendingJid == "" {
		return
	}
	repeat := s.dispatcher.Settings.Classes[n.pendingClass].Idempotency
	s.jids.finish(n.pendingJid, a, repeat, s.dispatcher.Loop.Now())
	n.pendingRequest, n.pendingJid = 0, ""
	switch a.Outcome {
	case dispatch.Served:
		n.lastPushServed = true
		n.writeLine("+OK")
	case dispatch.Rejected:
		n.writeLine(rejectionLine(a.RetryAfter))
	default:
		n.writeLine(failureLine(a.MayHaveRun, repeat == decision.Idempotent))
	}
	n.resume()
}

func rejectionLine(after time.Duration) string {
	line := "-ERR REFUSED pushing it again is harmless"
	if after > 0 {
		line += fmt.Sprintf("; retry after %.3f s", after.Seconds())
	}
	return line
}

func failureLine(mayHaveRun, repeatable bool) string {
	switch {
	case !mayHaveRun:
		return "-ERR FAILED it has not run"
	case repeatable:
		return "-ERR FAILED it may have run; its class may be repeated"
	}
	return "-ERR FAILED it may have run; it will not be run again under this jid"
}

// handleFetch parks a worker's FETCH until there is a job for it.
func (n *connection) handleFetch(rest []byte) {
	w := n.worker
	if w == nil {
		n.writeLine("-ERR FETCH is for workers: HELLO told no wid")
		return
	}
	mask := 0
	for q := range strings.FieldsSeq(string(rest)) {
		if class, ok := n.server.classNumbers[q]; ok {
			mask |= 1 << class
		}
	}
	loop := n.server.dispatcher.Loop
	n.busy, n.parked, n.classMask = true, true, mask
	if k := n.server.durable; k != nil {
		k.parkCount++
		n.durableClasses, n.parkSequence = n.server.durableClassesOf(string(rest)), k.parkCount
		defer k.scheduler.Wake()
	}
	w.parked = append(w.parked, n)
	loop.Set(&n.deadline, loop.Now()+parkTimeout)
	w.maxSlots = max(w.maxSlots, len(w.parked)+w.inProgress)
	if w.endpoint.State != decision.Running {
		return // it gets nothing new, and goes away empty
	}
	kind := n.server.firstClassKind + mask
	if old := w.endpoint.Kind - n.server.firstClassKind; w.listed && old >= 0 {
		kind = n.server.firstClassKind + (old | mask) // what any of its connections wants
	}
	if mask != 0 && (!w.listed || kind != w.endpoint.Kind) {
		w.endpoint.Kind, w.listed = kind, true
		n.server.dispatcher.UpdateWorkers(n.server, decision.ListDelta, []decision.Endpoint{w.endpoint})
	}
	w.deliverAwaiting(n.server)
	if w.fillReservations(n.server); !n.parked || !w.listed {
		return
	}
	n.server.dispatcher.HealthChecked(w.name, decision.Completed,
		decision.LoadReport{FreeSlots: float64(len(w.parked)), HasFreeSlots: true})
}

// unpark takes a FETCH off its worker's free slots.
func (n *connection) unpark() {
	if n.parked {
		n.parked, n.reservedFor = false, ""
		w := n.worker
		w.parked = slices.DeleteFunc(w.parked, func(o *connection) bool { return o == n })
	}
}

// handleCompletion takes an ACK or a FAIL: the outcome of a fetch. One for a job that
// is not out, or not any more, changes no answer and is taken all the same.
func (n *connection) handleCompletion(verb string, rest []byte) {
	var c word
	if err := json.Unmarshal(rest, &c); err != nil || c.Jid == "" {
		n.writeLine("-ERR MALFORMED " + verb + ": a jid is needed")
		return
	}
	if k := n.server.durable; k != nil {
		if j, known := k.Get(c.Jid); known {
			n.completeDurable(verb, j, c)
			return
		}
	}
	n.writeLine("+OK")
	var found *delivery // by the session's worker; a session without one closes the oldest
	for _, d := range n.server.deliveries {
		if d.handedOut && d.attempt.Request.ID == c.Jid && (n.worker == nil || d.worker == n.worker) &&
			(found == nil || d.attempt.Handle < found.attempt.Handle) {
			found = d
		}
	}
	if found == nil {
		if verb == "ACK" {
			n.server.jids.confirm(c.Jid, n.server.dispatcher.Loop.Now())
		}
		return
	}
	n.server.forgetDelivery(found)
	o := decision.Completed
	if verb == "FAIL" {
		o = decision.Failed
	}
	n.server.dispatcher.AttemptEnded(found.attempt.Handle, o, decision.LoadReport{}, nil)
}

// handleBeat takes a worker's liveness. One that says it is quiet, or about to
// terminate, drains from now on.
func (n *connection) handleBeat(rest []byte) {
	var b struct {
		Wid   string `json:"wid"`
		State string `json:"current_state"`
	}
	if err := json.Unmarshal(rest, &b); err != nil {
		n.writeLine("-ERR MALFORMED BEAT: " + singleLine(err.Error()))
		return
	}
	w := n.server.workers[workerNamePrefix+b.Wid]
	if w == nil {
		w = n.worker
	}
	if k := n.server.durable; k != nil {
		name := workerNamePrefix + b.Wid
		if b.Wid == "" && n.worker != nil {
			name = n.worker.name
		}
		k.Heartbeat(name)
	}
	n.writeLine("+OK")
	if w == nil || b.State == "" {
		return
	}
	switch b.State {
	case "quiet", "terminate", "terminating":
		w.drain(n.server)
	}
}

func (s *Server) infoDocument() []byte {
	now := s.dispatcher.Loop.Now()
	counts, working, parked := s.dispatcher.Counts(), 0, 0
	for _, w := range s.workers {
		working, parked = working+w.inProgress, parked+len(w.parked)
	}
	faktory := map[string]any{
		"total_enqueued": s.dispatcher.Unanswered(), "total_processed": counts.Served, "total_failures": counts.Failed,
		"total_refused": counts.Rejected, "total_queues": len(s.classNumbers),
		"tasks": map[string]any{"Working": map[string]any{"size": working}, "Parked": map[string]any{"size": parked}},
	}
	if s.durable != nil {
		s.durableInfo(faktory)
	}
	raw, _ := json.Marshal(map[string]any{ // numbers and strings always marshal
		"now":     time.Unix(0, int64(now)).UTC().Format(time.RFC3339),
		"faktory": faktory,
		"server": map[string]any{
			"description": "hollyyoke", "connections": s.connections.Len(), "command_count": s.commandCount,
			"uptime": int((now - s.startedAt).Seconds()),
		},
	})
	return raw
}

// ---- Workers.

// registerWorker books a connection of a wid. A wid that is new is a backend that has
// just started, unless it was surely there before us: it joins right after our
// own start, or tells its start in a label, or no other is there to spare it.
func (s *Server) registerWorker(h hello) *worker {
	now := s.dispatcher.Loop.Now()
	w := s.workers[workerNamePrefix+h.Wid]
	if w == nil {
		w = &worker{name: workerNamePrefix + h.Wid}
		w.endpoint = decision.Endpoint{
			Name: w.name, Zone: s.dispatcher.Settings.Zone, Kind: s.firstClassKind, Weight: 1, StartedAt: now,
		}
		if now-s.startedAt < runningBeforeWindow || !s.hasRunningWorker() {
			w.endpoint.StartedAt = 0
		}
		for _, label := range h.Labels {
			name, value, _ := strings.Cut(label, ":")
			switch name {
			case "zone":
				w.endpoint.Zone = slices.Index(s.dispatcher.Settings.ZoneNames, value)
			case "born_ms":
				var ms int64
				if _, err := fmt.Sscan(value, &ms); err == nil && ms >= 0 && ms < 1e13 {
					w.endpoint.StartedAt = time.Duration(ms) * time.Millisecond
				}
			}
		}
		w.rejoinDeadline.Fire = func() { s.removeWorker(w) }
		s.workers[w.name] = w
	}
	for label, promise := range map[string]jobs.Guarantee{"fences:1": jobs.HonorsFences, "idempotent:1": jobs.Deduplicates} {
		if slices.Contains(h.Labels, label) {
			w.guarantee = max(w.guarantee, promise)
		}
	}
	w.connections++
	s.dispatcher.Loop.Clear(&w.rejoinDeadline)
	return w
}

func (s *Server) hasRunningWorker() bool {
	for _, w := range s.workers {
		if w.listed && w.endpoint.State == decision.Running {
			return true
		}
	}
	return false
}

// connectionClosed books that a connection of a worker has ended. After the last one it may come back for a moment.
func (w *worker) connectionClosed(s *Server) {
	if w.connections--; w.connections == 0 {
		s.dispatcher.Loop.Set(&w.rejoinDeadline, s.dispatcher.Loop.Now()+rejoinTimeout)
	}
}

// removeWorker books that a worker has gone, and what was in work there with it.
func (s *Server) removeWorker(w *worker) {
	delete(s.workers, w.name)
	if w.listed {
		w.endpoint.State = decision.Removed
		s.dispatcher.UpdateWorkers(s, decision.ListDelta, []decision.Endpoint{w.endpoint})
	}
	w.returnUndelivered(s)
	for _, d := range s.deliveriesOf(w) {
		s.forgetDelivery(d)
		s.dispatcher.AttemptEnded(d.attempt.Handle, decision.ConnectionLost, decision.LoadReport{}, nil)
	}
}

// deliveriesOf returns a worker's deliveries, in the order of their attempts.
func (s *Server) deliveriesOf(w *worker) (list []*delivery) {
	for _, d := range s.deliveries {
		if d.worker == w {
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
	if w.endpoint.State != decision.Running {
		return
	}
	w.endpoint.State = decision.Draining
	if w.listed {
		s.dispatcher.UpdateWorkers(s, decision.ListDelta, []decision.Endpoint{w.endpoint})
	}
	w.returnUndelivered(s)
}

// returnUndelivered hands back what waits for a worker's next FETCH: it never ran.
func (w *worker) returnUndelivered(s *Server) {
	for len(w.reservations) > 0 {
		w.resolveReservation(s, w.reservations[0], false)
	}
	for len(w.awaitingFetch) > 0 {
		d := w.awaitingFetch[0]
		s.forgetDelivery(d)
		s.dispatcher.AttemptEnded(d.attempt.Handle, decision.Saturated, decision.LoadReport{}, nil)
	}
}

// ---- The carrier.

// Start hands a job to a parked FETCH of the worker, or holds it for its next one.
func (s *Server) Start(f dispatch.Attempt) {
	w := s.workers[f.Worker]
	if w == nil || w.endpoint.State != decision.Running || len(w.awaitingFetch) >= max(w.maxSlots, 1) {
		s.dispatcher.AttemptEnded(f.Handle, decision.Saturated, decision.LoadReport{}, nil)
		return
	}
	d := &delivery{attempt: f, worker: w}
	d.fetchDeadline.Fire = func() {
		s.forgetDelivery(d)
		s.dispatcher.AttemptEnded(f.Handle, decision.Saturated, decision.LoadReport{}, nil)
	}
	s.deliveries[f.Handle] = d
	if n := w.slotFor(f.Request.Class, f.Request.ID); n != nil {
		s.handOut(d, n)
		return
	}
	w.awaitingFetch = append(w.awaitingFetch, d)
	s.dispatcher.Loop.Set(&d.fetchDeadline, s.dispatcher.Loop.Now()+nextFetchTimeout)
}

// slotFor is the slot that is kept for a job, else the first free one.
func (w *worker) slotFor(class int, id string) (slot *connection) {
	for _, n := range w.parked {
		if n.classMask>>class&1 == 0 {
			continue
		}
		if n.reservedFor != "" && n.reservedFor == id {
			return n
		}
		if n.reservedFor == "" && slot == nil {
			slot = n
		}
	}
	return slot
}

// deliverAwaiting gives what is held to the slots that fit.
func (w *worker) deliverAwaiting(s *Server) {
	for _, d := range slices.Clone(w.awaitingFetch) {
		if n := w.slotFor(d.attempt.Request.Class, d.attempt.Request.ID); n != nil {
			w.awaitingFetch = slices.DeleteFunc(w.awaitingFetch, func(o *delivery) bool { return o == d })
			s.dispatcher.Loop.Clear(&d.fetchDeadline)
			s.handOut(d, n)
		}
	}
}

// handOut hands a job out. If the connection is known to be broken, nothing ran.
func (s *Server) handOut(d *delivery, n *connection) {
	n.unpark()
	job := d.attempt.Request
	raw := job.Body
	if job.Target != "" {
		raw = encodeJob(job, s.dispatcher.Settings.Classes[job.Class].Name)
	}
	if d.attempt.Fence != 0 {
		raw = withFence(raw, d.attempt.Fence)
	}
	s.writeBuffer = appendBulk(s.writeBuffer[:0], raw)
	before := n.conn.SentBytes()
	if !n.conn.Write(s.writeBuffer) && n.conn.SentBytes()-before < int64(len(s.writeBuffer)) {
		delete(s.deliveries, d.attempt.Handle)
		s.dispatcher.AttemptEnded(d.attempt.Handle, decision.ConnectionRefused, decision.LoadReport{}, nil)
		return
	}
	d.handedOut = true
	d.worker.inProgress++
	n.resume()
	s.dispatcher.AttemptStarted(d.attempt.Handle)
}

// forgetDelivery forgets a delivery.
func (s *Server) forgetDelivery(d *delivery) {
	delete(s.deliveries, d.attempt.Handle)
	s.dispatcher.Loop.Clear(&d.fetchDeadline)
	if d.handedOut {
		d.worker.inProgress--
		return
	}
	d.worker.awaitingFetch = slices.DeleteFunc(d.worker.awaitingFetch, func(o *delivery) bool { return o == d })
}

// Cancel gives an attempt up. The protocol cannot call a job back that a worker has.
func (s *Server) Cancel(handle uint64) (neverRan bool) {
	d := s.deliveries[handle]
	if d == nil {
		return false
	}
	s.forgetDelivery(d)
	return !d.handedOut
}

// CloseIdle has nothing to do: the connections are the workers' own.
func (s *Server) CloseIdle(string) {}

// Subscribe has nothing to do: workers come by themselves.
func (s *Server) Subscribe() {}

// CheckHealth answers from what is known: the parked FETCHes are the free slots.
func (s *Server) CheckHealth(backend string) {
	if w := s.workers[backend]; w != nil {
		s.dispatcher.HealthChecked(backend, decision.Completed,
			decision.LoadReport{FreeSlots: float64(len(w.parked)), HasFreeSlots: true})
	}
}
