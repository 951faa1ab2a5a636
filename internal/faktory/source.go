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
	core    *dispatch.Dispatcher
	engine  *transport.Engine
	config  Config
	classes map[string]int
	wid     string
	lanes   []*lane // the first only beats
	jids    *memory
	quiet   bool // fetches no more
	counts  SourceCounts
}

// SourceCounts tells what became of the deliveries so far. Unconfirmed are
// closings whose answer was lost: upstream has them, or delivers the jid again.
type SourceCounts struct{ Fetched, Acked, Failed, ClosedAgain, Unconfirmed uint64 }

// step is what a lane waits for.
type step uint8

const (
	down    step = iota // not connected
	greeted             // for HI
	hailed              // for the answer to HELLO
	idle                // for nothing: it may send
	asked               // for the answer to FETCH
	working             // for the core's final answer
	closing             // for the answer to ACK or FAIL
	beating             // for the answer to BEAT
)

// lane is one connection to the upstream server.
type lane struct {
	src     *Source
	number  int
	conn    *transport.Conn
	in      *transport.Buffer
	step    step
	due     eventloop.Deadline
	backoff time.Duration
	turn    int
	jid     string
	class   int
	job     bool   // a delivery is in work, whatever becomes of the connection
	parting string // a closing that has not left whole yet
	mark    int64
}

const (
	connectTime  = 2 * time.Second
	replyTime    = 5 * time.Second
	fetchReply   = 10 * time.Second // the server may hold a FETCH for 2 s
	beatEvery    = 15 * time.Second
	leastBackoff = 250 * time.Millisecond
	mostBackoff  = 5 * time.Second
)

// NewSource returns the source role; Start connects its lanes.
func NewSource(c *dispatch.Dispatcher, e *transport.Engine, config Config, jids *memory) *Source {
	s := &Source{core: c, engine: e, config: config, classes: names(c), wid: config.Source.Wid, jids: jids}
	if s.wid == "" {
		s.wid = fmt.Sprintf("hollyyoke-%016x", rand.Uint64())
	}
	for i := range config.Source.Lanes + 1 {
		l := &lane{src: s, number: i}
		l.due.Fire = l.expire
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
	s.quiet = true
}

// Busy is the number of deliveries that are not closed yet, or being fetched.
func (s *Source) Busy() (n int) {
	for _, l := range s.lanes {
		if l.job || l.parting != "" || l.step == asked || l.step == closing {
			n++
		}
	}
	return n
}

// Close ends all lanes.
func (s *Source) Close() {
	for _, l := range s.lanes {
		if l.step >= idle {
			l.conn.Write([]byte("END\r\n"))
		}
		if l.conn != nil {
			l.conn.CloseGracefully()
		}
		l.conn, l.step = nil, down
		s.core.Loop.Clear(&l.due)
		l.turn++
	}
}

// Counts tells what became of the deliveries so far.
func (s *Source) Counts() SourceCounts { return s.counts }

// ---- Connections.

func (l *lane) connect() {
	l.turn++
	turn := l.turn
	l.step = down
	l.src.engine.Dial(l.src.config.Source.Address, connectTime, l, func(c *transport.Conn, err error) {
		switch {
		case turn != l.turn:
			if c != nil {
				c.Close()
			}
		case err != nil:
			l.retry("connect: " + err.Error())
		default:
			l.conn, l.step = c, greeted
			l.wait(replyTime)
		}
	})
}

func (l *lane) wait(span time.Duration) {
	l.src.core.Loop.Set(&l.due, l.src.core.Loop.Now()+span)
}

// retry drops the connection and comes back later. A delivery in work stays
// so. A closing that has not left whole is sent anew; one that may have
// arrived is not: if upstream lacks it, it will deliver the jid again.
func (l *lane) retry(why string) {
	if l.step != down || l.backoff == 0 {
		l.src.core.Log(fmt.Sprintf("upstream, lane %d: %s", l.number, oneLine(why)))
	}
	if l.step == closing {
		if l.conn.Flushed(l.mark) {
			l.src.counts.Unconfirmed++
			l.parting = ""
		}
	}
	if l.conn != nil {
		l.conn.Close()
	}
	l.src.engine.Pool.Put(l.in)
	l.conn, l.in, l.step = nil, nil, down
	l.turn++
	l.backoff = min(max(2*l.backoff, leastBackoff), mostBackoff)
	l.wait(l.backoff/2 + rand.N(l.backoff/2))
}

// OnClosed is told that the upstream server has gone.
func (l *lane) OnClosed(c *transport.Conn, _ error) {
	if c == l.conn {
		l.retry("the connection ended")
	}
}

func (l *lane) expire() {
	switch l.step {
	case down:
		l.connect()
	case idle:
		l.next()
	default:
		l.retry("no answer in time")
	}
}

// OnData takes in what the server sent.
func (l *lane) OnData(c *transport.Conn, b *transport.Buffer) {
	pool := &l.src.engine.Pool
	if c != l.conn {
		pool.Put(b)
		return
	}
	if l.in == nil {
		l.in = b
	} else {
		ok := l.in.Append(b.Bytes())
		if pool.Put(b); !ok {
			l.retry("more than was asked for")
			return
		}
	}
	for l.conn == c && l.in != nil {
		r, used, err := parseReply(l.in.Bytes())
		if err != nil {
			l.retry(err.Error())
			return
		}
		if used == 0 {
			return
		}
		held := l.in
		l.in = nil
		if behind := held.Bytes()[used:]; len(behind) > 0 {
			l.in = pool.Get()
			l.in.Append(behind)
		}
		if !l.reply(r, func() { pool.Put(held) }) {
			pool.Put(held)
		}
	}
}

// reply takes in one reply; true: it keeps the buffer, and calls release later.
func (l *lane) reply(r reply, release func()) bool {
	s := l.src
	switch l.step {
	case greeted:
		l.greet(r)
	case hailed:
		if r.kind != '+' {
			l.retry("HELLO: " + string(r.text))
			return false
		}
		l.backoff = 0
		l.next()
	case asked:
		if r.kind == '$' && !r.null && len(r.text) > 0 {
			return l.take(r.text, release)
		}
		if r.kind == '-' {
			l.retry("FETCH: " + string(r.text))
			return false
		}
		l.next()
	case closing:
		if r.kind == '-' { // upstream does not want it: to send it again would not change that
			s.core.Log("upstream: closing " + oneLine(l.parting) + ": " + oneLine(string(r.text)))
		}
		l.parting = ""
		l.next()
	case beating:
		var order struct {
			State string `json:"state"`
		}
		if r.kind != '-' && json.Unmarshal(r.text, &order) == nil && order.State != "" && !s.quiet {
			s.core.Log("upstream says " + oneLine(order.State) + ": fetching no more")
			s.quiet = true
		}
		l.step = idle
		l.wait(beatEvery)
	default:
		l.retry("an answer to nothing")
	}
	return false
}

func (l *lane) greet(r reply) {
	text, ok := strings.CutPrefix(string(r.text), "HI ")
	var g greeting
	if r.kind != '+' || !ok || json.Unmarshal([]byte(text), &g) != nil || g.V != 2 {
		l.retry("the greeting is not that of version 2")
		return
	}
	host, _ := os.Hostname()
	h := hello{Hostname: host, Wid: l.src.wid, Pid: os.Getpid(), Labels: []string{"hollyyoke"}, V: 2}
	if g.Salt != "" {
		if g.Iterations > mostIterations {
			l.retry("the greeting asks for too many iterations")
			return
		}
		h.Hash = hashPassword(l.src.config.Source.Password, g.Salt, max(g.Iterations, 1))
	}
	raw, _ := json.Marshal(h) // strings and numbers always marshal
	l.send(hailed, "HELLO "+string(raw), replyTime)
}

func (l *lane) send(next step, line string, span time.Duration) {
	l.step = next
	l.wait(span)
	l.conn.Write([]byte(line + "\r\n"))
	l.mark = l.conn.WriteOffset()
}

// next sends what is due on a lane that may send.
func (l *lane) next() {
	l.step = idle
	switch {
	case l.number == 0:
		raw, _ := json.Marshal(map[string]string{"wid": l.src.wid})
		l.send(beating, "BEAT "+string(raw), replyTime)
	case l.job:
		l.step = working
		l.src.core.Loop.Clear(&l.due)
	case l.parting != "":
		l.send(closing, l.parting, replyTime)
	case l.src.quiet:
		l.wait(time.Second)
	default:
		l.send(asked, "FETCH "+strings.Join(l.src.config.Source.Queues, " "), fetchReply)
	}
}

// ---- Deliveries.

// take runs a job that was delivered, or closes it again if its jid is known.
func (l *lane) take(raw []byte, release func()) bool {
	s := l.src
	now := s.core.Loop.Now()
	s.counts.Fetched++
	job, w, err := readJob(raw, s.classes, now)
	if w.at > 0 {
		err = errLater
	}
	l.jid, l.job = job.ID, true
	if err != nil {
		var w struct {
			Jid string `json:"jid"`
		}
		if json.Unmarshal(raw, &w) != nil || w.Jid == "" {
			l.job = false
			l.retry("a job without a jid")
			return false
		}
		l.jid = w.Jid
		l.part("FAIL", "Malformed", err.Error())
		return false
	}
	l.step = working
	s.core.Loop.Clear(&l.due)
	switch s.jids.fate(job.ID) {
	case served:
		s.counts.ClosedAgain++
		l.part("ACK", "", "")
		return false
	case mayHaveRun:
		s.counts.ClosedAgain++
		l.part("FAIL", "Failed", "it may have run before; it does not run again under this jid")
		return false
	case inWork: // delivered twice: both are closed by what becomes of the first
		s.counts.ClosedAgain++
		known := s.jids.jids[job.ID]
		known.wait = append(known.wait, l.close)
		return false
	}
	s.jids.begin(job.ID, now)
	l.class = job.Class
	job.Release = release
	s.core.Accept(s, uint64(l.number), job)
	return true
}

// Respond closes the delivery of a lane.
func (s *Source) Respond(token uint64, a dispatch.Response) {
	l := s.lanes[token]
	s.jids.finish(l.jid, a, s.core.Settings.Classes[l.class].Idempotency, s.core.Loop.Now())
	l.close(a)
}

func (l *lane) close(a dispatch.Response) {
	switch a.Outcome {
	case dispatch.Served:
		l.part("ACK", "", "")
	case dispatch.Rejected:
		l.part("FAIL", "Refused", fmt.Sprintf("not run; come back after %.3f s", a.RetryAfter.Seconds()))
	default:
		l.part("FAIL", "Failed", "it may have run")
	}
}

// part closes the delivery of the lane, now or once it is connected again.
func (l *lane) part(verb, kind, text string) {
	l.job = false
	c := struct {
		Jid     string `json:"jid"`
		Kind    string `json:"errtype,omitempty"`
		Message string `json:"message,omitempty"`
	}{l.jid, kind, text}
	raw, _ := json.Marshal(c) // strings always marshal
	l.parting = verb + " " + string(raw)
	if verb == "ACK" {
		l.src.counts.Acked++
	} else {
		l.src.counts.Failed++
	}
	if l.step == working || l.step == asked {
		l.next()
	}
}
