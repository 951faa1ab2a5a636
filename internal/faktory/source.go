package faktory

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file owns the source role: lanes that take jobs from an upstream
// server, one at a time each, and close every delivery once. It must never
// send a closing again that may have arrived, nor run a jid again that is known.

// Source takes jobs from an upstream server. It belongs to the loop's goroutine.
type Source struct {
	dispatcher    *dispatch.Dispatcher
	engine  *transport.Engine
	config  Config
	classNumbers map[string]int
	wid     string
	lanes   []*lane // the first only beats
	jids    *jidMemory
	draining   bool // fetches no more
	counts  SourceCounts
}

// SourceCounts tells what became of the deliveries so far. Unconfirmed are
// closings whose answer was lost: upstream has them, or delivers the jid again.
type SourceCounts struct{ Fetched, Acked, Failed, ClosedAgain, Unconfirmed uint64 }

// laneState is what a lane waits for.
type laneState uint8

const (
	laneDown    laneState = iota // not connected
	laneAwaitingGreeting             // for HI
	laneAwaitingHello              // for the answer to HELLO
	laneIdle                // for nothing: it may send
	laneFetching               // for the answer to FETCH
	laneWorking             // for the core's final answer
	laneClosing             // for the answer to ACK or FAIL
	laneBeating             // for the answer to BEAT
)

// lane is one connection to the upstream server.
type lane struct {
	source     *Source
	number  int
	conn    *transport.Conn
	input      *transport.Buffer
	state    laneState
	deadline     eventloop.Deadline
	backoff time.Duration
	generation    int
	jid     string
	class   int
	jobOpen     bool   // a delivery is in work, whatever becomes of the connection
	pendingClose string // a closing that has not left whole yet
	closeOffset    int64
}

const (
	connectTimeout  = 2 * time.Second
	replyTimeout    = 5 * time.Second
	fetchTimeout   = 10 * time.Second // the server may hold a FETCH for 2 s
	beatInterval    = 15 * time.Second
	minBackoff = 250 * time.Millisecond
	maxBackoff  = 5 * time.Second
)

// NewSource returns the source role; Start connects its lanes.
func NewSource(c *dispatch.Dispatcher, e *transport.Engine, config Config, jids *jidMemory) *Source {
	s := &Source{dispatcher: c, engine: e, config: config, classNumbers: classNumbers(c), wid: config.Source.Wid, jids: jids}
	if s.wid == "" {
		s.wid = fmt.Sprintf("hollyyoke-%016x", rand.Uint64())
	}
	for i := range config.Source.Lanes + 1 {
		l := &lane{source: s, number: i}
		l.deadline.Fire = l.onDeadline
		s.lanes = append(s.lanes, l)
	}
	return s
}

// Start connects all lanes.
func (s *Source) Start() {
	for _, l := range s.lanes {
		l.connect()
	}
}

// Stop fetches no more. What is in work goes on.
func (s *Source) Stop() {
	s.draining = true
}

// Busy is the number of deliveries that are not closed yet, or being fetched.
func (s *Source) Busy() (n int) {
	for _, l := range s.lanes {
		if l.jobOpen || l.pendingClose != "" || l.state == laneFetching || l.state == laneClosing {
			n++
		}
	}
	return n
}

// Close ends all lanes.
func (s *Source) Close() {
	for _, l := range s.lanes {
		if l.state >= laneIdle {
			l.conn.Write([]byte("END\r\n"))
		}
		if l.conn != nil {
			l.conn.CloseGracefully()
		}
		l.conn, l.state = nil, laneDown
		s.dispatcher.Loop.Clear(&l.deadline)
		l.generation++
	}
}

// Counts tells what became of the deliveries so far.
func (s *Source) Counts() SourceCounts { return s.counts }

// ---- Connections.

func (l *lane) connect() {
	l.generation++
	turn := l.generation
	l.state = laneDown
	l.source.engine.Dial(l.source.config.Source.Address, connectTimeout, l, func(c *transport.Conn, err error) {
		switch {
		case turn != l.generation:
			if c != nil {
				c.Close()
			}
		case err != nil:
			l.retry("connect: " + err.Error())
		default:
			l.conn, l.state = c, laneAwaitingGreeting
			l.setDeadline(replyTimeout)
		}
	})
}

func (l *lane) setDeadline(span time.Duration) {
	l.source.dispatcher.Loop.Set(&l.deadline, l.source.dispatcher.Loop.Now()+span)
}

// retry drops the connection and comes back later. A delivery in work stays
// so. A closing that has not left whole is sent anew; one that may have
// arrived is not: if upstream lacks it, it will deliver the jid again.
func (l *lane) retry(why string) {
	if l.state != laneDown || l.backoff == 0 {
		l.source.dispatcher.Log(fmt.Sprintf("upstream, lane %d: %s", l.number, singleLine(why)))
	}
	if l.state == laneClosing {
		if l.conn.Flushed(l.closeOffset) {
			l.source.counts.Unconfirmed++
			l.pendingClose = ""
		}
	}
	if l.conn != nil {
		l.conn.Close()
	}
	l.source.engine.Pool.Put(l.input)
	l.conn, l.input, l.state = nil, nil, laneDown
	l.generation++
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.setDeadline(l.backoff/2 + rand.N(l.backoff/2))
}

// OnClosed is told that the upstream server has gone.
func (l *lane) OnClosed(c *transport.Conn, _ error) {
	if c == l.conn {
		l.retry("the connection ended")
	}
}

func (l *lane) onDeadline() {
	switch l.state {
	case laneDown:
		l.connect()
	case laneIdle:
		l.advance()
	default:
		l.retry("no answer in time")
	}
}

// OnData takes in what the server sent.
func (l *lane) OnData(c *transport.Conn, b *transport.Buffer) {
	pool := &l.source.engine.Pool
	if c != l.conn {
		pool.Put(b)
		return
	}
	if l.input == nil {
		l.input = b
	} else {
		ok := l.input.Append(b.Bytes())
		if pool.Put(b); !ok {
			l.retry("more than was asked for")
			return
		}
	}
	for l.conn == c && l.input != nil {
		r, used, err := parseReply(l.input.Bytes())
		if err != nil {
			l.retry(err.Error())
			return
		}
		if used == 0 {
			return
		}
		held := l.input
		l.input = nil
		if behind := held.Bytes()[used:]; len(behind) > 0 {
			l.input = pool.Get()
			l.input.Append(behind)
		}
		if !l.handleReply(r, func() { pool.Put(held) }) {
			pool.Put(held)
		}
	}
}

// handleReply takes in one handleReply; true: it keeps the buffer, and calls release later.
func (l *lane) handleReply(r reply, release func()) bool {
	s := l.source
	switch l.state {
	case laneAwaitingGreeting:
		l.handleGreeting(r)
	case laneAwaitingHello:
		if r.kind != '+' {
			l.retry("HELLO: " + string(r.text))
			return false
		}
		l.backoff = 0
		l.advance()
	case laneFetching:
		if r.kind == '$' && !r.null && len(r.text) > 0 {
			return l.handleDelivery(r.text, release)
		}
		if r.kind == '-' {
			l.retry("FETCH: " + string(r.text))
			return false
		}
		l.advance()
	case laneClosing:
		if r.kind == '-' { // upstream does not want it: to send it again would not change that
			s.dispatcher.Log("upstream: closing " + singleLine(l.pendingClose) + ": " + singleLine(string(r.text)))
		}
		l.pendingClose = ""
		l.advance()
	case laneBeating:
		var order struct {
			State string `json:"state"`
		}
		if r.kind != '-' && json.Unmarshal(r.text, &order) == nil && order.State != "" && !s.draining {
			s.dispatcher.Log("upstream says " + singleLine(order.State) + ": fetching no more")
			s.draining = true
		}
		l.state = laneIdle
		l.setDeadline(beatInterval)
	default:
		l.retry("an answer to nothing")
	}
	return false
}

func (l *lane) handleGreeting(r reply) {
	text, ok := strings.CutPrefix(string(r.text), "HI ")
	var g greeting
	if r.kind != '+' || !ok || json.Unmarshal([]byte(text), &g) != nil || g.V != 2 {
		l.retry("the greeting is not that of version 2")
		return
	}
	host, _ := os.Hostname()
	h := hello{Hostname: host, Wid: l.source.wid, Pid: os.Getpid(), Labels: []string{"hollyyoke"}, V: 2}
	if g.Salt != "" {
		if g.Iterations > maxHashIterations {
			l.retry("the greeting asks for too many iterations")
			return
		}
		h.Hash = hashPassword(l.source.config.Source.Password, g.Salt, max(g.Iterations, 1))
	}
	raw, _ := json.Marshal(h) // strings and numbers always marshal
	l.send(laneAwaitingHello, "HELLO "+string(raw), replyTimeout)
}

func (l *lane) send(next laneState, line string, span time.Duration) {
	l.state = next
	l.setDeadline(span)
	l.conn.Write([]byte(line + "\r\n"))
	l.closeOffset = l.conn.WriteOffset()
}

// advance sends what is due on a lane that may send.
func (l *lane) advance() {
	l.state = laneIdle
	switch {
	case l.number == 0:
		raw, _ := json.Marshal(map[string]string{"wid": l.source.wid})
		l.send(laneBeating, "BEAT "+string(raw), replyTimeout)
	case l.jobOpen:
		l.state = laneWorking
		l.source.dispatcher.Loop.Clear(&l.deadline)
	case l.pendingClose != "":
		l.send(laneClosing, l.pendingClose, replyTimeout)
	case l.source.draining:
		l.setDeadline(time.Second)
	default:
		l.send(laneFetching, "FETCH "+strings.Join(l.source.config.Source.Queues, " "), fetchTimeout)
	}
}

// ---- Deliveries.

// handleDelivery runs a job that was delivered, or closes it again if its jid is known.
func (l *lane) handleDelivery(raw []byte, release func()) bool {
	s := l.source
	now := s.dispatcher.Loop.Now()
	s.counts.Fetched++
	job, w, err := parseJob(raw, s.classNumbers, now)
	if w.scheduledAt > 0 {
		err = errScheduledOnDirectQueue
	}
	l.jid, l.jobOpen = job.ID, true
	if err != nil {
		var w struct {
			Jid string `json:"jid"`
		}
		if json.Unmarshal(raw, &w) != nil || w.Jid == "" {
			l.jobOpen = false
			l.retry("a job without a jid")
			return false
		}
		l.jid = w.Jid
		l.closeDelivery("FAIL", "Malformed", err.Error())
		return false
	}
	l.state = laneWorking
	s.dispatcher.Loop.Clear(&l.deadline)
	switch s.jids.status(job.ID) {
	case jidServed:
		s.counts.ClosedAgain++
		l.closeDelivery("ACK", "", "")
		return false
	case jidMayHaveRun:
		s.counts.ClosedAgain++
		l.closeDelivery("FAIL", "Failed", "it may have run before; it does not run again under this jid")
		return false
	case jidInProgress: // delivered twice: both are closed by what becomes of the first
		s.counts.ClosedAgain++
		known := s.jids.entries[job.ID]
		known.onResponse = append(known.onResponse, l.closeWith)
		return false
	}
	s.jids.begin(job.ID, now)
	l.class = job.Class
	job.Release = release
	s.dispatcher.Accept(s, uint64(l.number), job)
	return true
}

// Respond closes the delivery of a lane.
func (s *Source) Respond(token uint64, a dispatch.Response) {
	l := s.lanes[token]
	s.jids.finish(l.jid, a, s.dispatcher.Settings.Classes[l.class].Idempotency, s.dispatcher.Loop.Now())
	l.closeWith(a)
}

func (l *lane) closeWith(a dispatch.Response) {
	switch a.Outcome {
	case dispatch.Served:
		l.closeDelivery("ACK", "", "")
	case dispatch.Rejected:
		l.closeDelivery("FAIL", "Refused", fmt.Sprintf("not run; come back after %.3f s", a.RetryAfter.Seconds()))
	default:
		l.closeDelivery("FAIL", "Failed", "it may have run")
	}
}

// closeDelivery closes the delivery of the lane, now or once it is connected again.
func (l *lane) closeDelivery(verb, kind, text string) {
	l.jobOpen = false
	c := struct {
		Jid     string `json:"jid"`
		Kind    string `json:"errtype,omitempty"`
		Message string `json:"message,omitempty"`
	}{l.jid, kind, text}
	raw, _ := json.Marshal(c) // strings always marshal
	l.pendingClose = verb + " " + string(raw)
	if verb == "ACK" {
		l.source.counts.Acked++
	} else {
		l.source.counts.Failed++
	}
	if l.state == laneWorking || l.state == laneFetching {
		l.advance()
	}
}
