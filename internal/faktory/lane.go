package faktory

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const (
	connectTimeout = 2 * time.Second
	replyTimeout   = 5 * time.Second
	fetchTimeout   = 10 * time.Second // the server may hold a FETCH for 2 s
	beatInterval   = 15 * time.Second // as the protocol asks of workers
	drainInterval  = time.Second      // between looks of a lane that fetches no more
	minBackoff     = 250 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// Reasons to reconnect a lane.
var (
	errConnectionEnded   = errors.New("the connection ended")
	errReplyTimeout      = errors.New("no answer in time")
	errTooMuchInput      = errors.New("more than was asked for")
	errUnexpectedReply   = errors.New("an answer to nothing")
	errGreetingVersion   = errors.New("the greeting is not that of version 2")
	errTooManyIterations = errors.New("the greeting asks for too many iterations")
	errJobWithoutJid     = errors.New("a job without a jid")
)

// laneState is what a lane waits for. From laneIdle on it is authenticated.
type laneState uint8

const (
	laneDown             laneState = iota // not connected
	laneAwaitingGreeting                  // for HI
	laneAwaitingHello                     // for the answer to HELLO
	laneIdle                              // for nothing: it may send
	laneFetching                          // for the answer to FETCH
	laneWorking                           // for the final answer of its job
	laneClosing                           // for the answer to ACK or FAIL
	laneBeating                           // for the answer to BEAT
)

// lane is one connection to the upstream server, with at most one job.
type lane struct {
	source     *Source
	number     int
	conn       *transport.Conn // nil: not connected
	input      input
	state      laneState
	deadline   eventloop.Deadline
	backoff    time.Duration // before the latest reconnection; 0: the connection has worked
	generation int           // of the connection; a dial of an older one is void

	jid          string
	class        int
	jobOpen      bool   // its job is in progress, whatever becomes of the connection
	pendingClose string // an ACK or FAIL that has not been answered yet; empty: none
	writeOffset  int64  // of the connection, behind the latest command
}

// busy reports whether a delivery is not closed yet, or being fetched.
func (l *lane) busy() bool {
	return l.jobOpen || l.pendingClose != "" || l.state == laneFetching || l.state == laneClosing
}

func (l *lane) connect() {
	l.generation++
	generation := l.generation
	l.state = laneDown
	l.source.engine.Dial(l.source.config.Source.Address, connectTimeout, l, func(conn *transport.Conn, err error) {
		switch {
		case generation != l.generation:
			if conn != nil {
				conn.Close()
			}
		case err != nil:
			l.reconnect(fmt.Errorf("connect: %w", err))
		default:
			l.conn = conn
			l.state = laneAwaitingGreeting
			l.setDeadline(replyTimeout)
		}
	})
}

// shutdown closes the connection for good.
func (l *lane) shutdown() {
	if l.state >= laneIdle {
		l.conn.Write([]byte(commandEnd + "\r\n"))
	}
	if l.conn != nil {
		l.conn.CloseGracefully()
	}
	l.conn = nil
	l.state = laneDown
	l.source.dispatcher.Loop.Clear(&l.deadline)
	l.generation++
}

// setDeadline calls onDeadline after a span of time.
func (l *lane) setDeadline(span time.Duration) {
	loop := l.source.dispatcher.Loop
	loop.Set(&l.deadline, loop.Now()+span)
}

// reconnect drops the connection and dials again after a backoff. A job in
// progress goes on. An ACK or FAIL of which a part has not left is sent again;
// one that may have arrived is not: if upstream lacks it, it will deliver the
// jid again.
func (l *lane) reconnect(reason error) {
	if l.state != laneDown || l.backoff == 0 {
		l.source.dispatcher.Log(fmt.Sprintf("upstream, lane %d: %s", l.number, singleLine(reason.Error())))
	}
	if l.state == laneClosing && l.conn.Flushed(l.writeOffset) {
		l.pendingClose = ""
	}
	if l.conn != nil {
		l.conn.Close()
	}
	l.input.discard()
	l.conn = nil
	l.state = laneDown
	l.generation++
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.setDeadline(l.backoff/2 + rand.N(l.backoff/2))
}

// OnClosed handles the end of the connection.
func (l *lane) OnClosed(conn *transport.Conn, _ error) {
	if conn == l.conn {
		l.reconnect(errConnectionEnded)
	}
}

func (l *lane) onDeadline() {
	switch l.state {
	case laneDown:
		l.connect()
	case laneIdle:
		l.advance()
	default:
		l.reconnect(errReplyTimeout)
	}
}

// OnData handles received bytes, whose buffer it takes over.
func (l *lane) OnData(conn *transport.Conn, received *transport.Buffer) {
	pool := l.input.pool
	if conn != l.conn {
		pool.Put(received)
		return
	}
	if !l.input.add(received) {
		l.reconnect(errTooMuchInput)
		return
	}
	for l.conn == conn && !l.input.empty() {
		answer, used, err := parseReply(l.input.bytes())
		if err != nil {
			l.reconnect(err)
			return
		}
		if used == 0 {
			return
		}
		buffer := l.input.take(used) // answer lies in it
		retained := l.handleReply(answer, func() { pool.Put(buffer) })
		if !retained {
			pool.Put(buffer)
		}
	}
}

// handleReply handles one reply. It returns true if it keeps the reply's
// buffer, which release frees later.
func (l *lane) handleReply(answer reply, release func()) (retained bool) {
	switch l.state {
	case laneAwaitingGreeting:
		l.handleGreeting(answer)
	case laneAwaitingHello:
		if answer.kind != kindSimple {
			l.reconnect(fmt.Errorf("HELLO: %s", answer.text))
			return false
		}
		l.backoff = 0
		l.advance()
	case laneFetching:
		return l.handleFetchReply(answer, release)
	case laneClosing:
		if answer.kind == kindError { // upstream does not want it, and would not if it came again
			l.source.dispatcher.Log("upstream: closing " + singleLine(l.pendingClose) + ": " + singleLine(string(answer.text)))
		}
		l.pendingClose = ""
		l.advance()
	case laneBeating:
		l.handleBeatReply(answer)
	default:
		l.reconnect(errUnexpectedReply)
	}
	return false
}

// handleGreeting answers the server's greeting by HELLO.
func (l *lane) handleGreeting(answer reply) {
	var message greeting
	text, hasPrefix := strings.CutPrefix(string(answer.text), greetingPrefix)
	if answer.kind != kindSimple || !hasPrefix {
		l.reconnect(errGreetingVersion)
		return
	}
	err := json.Unmarshal([]byte(text), &message)
	if err != nil || message.Version != protocolVersion {
		l.reconnect(errGreetingVersion)
		return
	}
	host, _ := os.Hostname()
	identity := hello{
		Hostname: host,
		Wid:      l.source.wid,
		Pid:      os.Getpid(),
		Labels:   []string{"hollyyoke"},
		Version:  protocolVersion,
	}
	if message.Salt != "" {
		if message.Iterations > maxHashIterations {
			l.reconnect(errTooManyIterations)
			return
		}
		identity.Hash = hashPassword(l.source.config.Source.Password, message.Salt, max(message.Iterations, 1))
	}
	raw, _ := json.Marshal(identity) // strings and numbers always marshal
	l.send(laneAwaitingHello, commandHello+" "+string(raw), replyTimeout)
}

// handleFetchReply handles the answer to FETCH, as handleReply does.
func (l *lane) handleFetchReply(answer reply, release func()) (retained bool) {
	if answer.kind == kindBulk && !answer.null && len(answer.text) > 0 {
		return l.handleJob(answer.text, release)
	}
	if answer.kind == kindError {
		l.reconnect(fmt.Errorf("FETCH: %s", answer.text))
		return false
	}
	l.advance()
	return false
}

// handleBeatReply handles the answer to BEAT, by which upstream can ask for an
// end of fetching.
func (l *lane) handleBeatReply(answer reply) {
	source := l.source
	var message struct {
		State string `json:"state"`
	}
	if answer.kind != kindError && !source.draining {
		err := json.Unmarshal(answer.text, &message)
		if err == nil && message.State != "" {
			source.dispatcher.Log("upstream says " + singleLine(message.State) + ": fetching no more")
			source.draining = true
		}
	}
	l.state = laneIdle
	l.setDeadline(beatInterval)
}

// send sends a command and waits for its answer in the state next.
func (l *lane) send(next laneState, line string, timeout time.Duration) {
	l.state = next
	l.setDeadline(timeout)
	l.conn.Write([]byte(line + "\r\n"))
	l.writeOffset = l.conn.WriteOffset()
}

// advance sends what is due on a lane that may send.
func (l *lane) advance() {
	l.state = laneIdle
	switch {
	case l.number == 0:
		raw, _ := json.Marshal(heartbeat{Wid: l.source.wid}) // strings always marshal
		l.send(laneBeating, commandBeat+" "+string(raw), replyTimeout)
	case l.jobOpen:
		l.state = laneWorking
		l.source.dispatcher.Loop.Clear(&l.deadline)
	case l.pendingClose != "":
		l.send(laneClosing, l.pendingClose, replyTimeout)
	case l.source.draining:
		l.setDeadline(drainInterval)
	default:
		l.send(laneFetching, l.source.fetchCommand, fetchTimeout)
	}
}

// handleJob runs a job that was delivered, or closes the delivery at once if
// its jid is known. It returns true if the job keeps the buffer of raw, until
// it calls release.
func (l *lane) handleJob(raw []byte, release func()) (retained bool) {
	source := l.source
	now := source.dispatcher.Loop.Now()
	request, payload, err := parseJob(raw, source.classNumbers, now)
	if payload.scheduledAt > 0 {
		err = errScheduledOnDirectQueue
	}
	if err != nil {
		l.rejectJob(raw, err)
		return false
	}
	l.jid = request.ID
	l.jobOpen = true
	l.state = laneWorking
	source.dispatcher.Loop.Clear(&l.deadline)
	switch source.jids.status(l.jid) {
	case jidServed:
		l.closeDelivery(commandAck, closeMessage{})
		return false
	case jidMayHaveRun:
		l.closeDelivery(commandFail, closeMessage{Type: "Failed", Message: "it may have run before; it does not run again under this jid"})
		return false
	case jidInProgress: // delivered twice: both are closed by what becomes of the first
		source.jids.whenFinished(l.jid, l.closeWith)
		return false
	}
	source.jids.begin(l.jid, now)
	l.class = request.Class
	request.Release = release
	source.dispatcher.Accept(source, uint64(l.number), request)
	return true
}

// rejectJob closes the delivery of a job that cannot be read.
func (l *lane) rejectJob(raw []byte, reason error) {
	var job struct {
		Jid string `json:"jid"`
	}
	err := json.Unmarshal(raw, &job)
	if err != nil || job.Jid == "" {
		l.reconnect(errJobWithoutJid)
		return
	}
	l.jid = job.Jid
	l.closeDelivery(commandFail, closeMessage{Type: "Malformed", Message: reason.Error()})
}

// closeWith closes the delivery of the lane with the final answer of its job.
func (l *lane) closeWith(response dispatch.Response) {
	switch response.Outcome {
	case dispatch.Served:
		l.closeDelivery(commandAck, closeMessage{})
	case dispatch.Rejected:
		text := fmt.Sprintf("not run; come back after %.3f s", response.RetryAfter.Seconds())
		l.closeDelivery(commandFail, closeMessage{Type: "Refused", Message: text})
	default:
		l.closeDelivery(commandFail, closeMessage{Type: "Failed", Message: "it may have run"})
	}
}

// closeDelivery closes the delivery of the lane by ACK or FAIL, now or once it
// is connected again.
func (l *lane) closeDelivery(verb string, message closeMessage) {
	l.jobOpen = false
	message.Jid = l.jid
	raw, _ := json.Marshal(message) // strings always marshal
	l.pendingClose = verb + " " + string(raw)
	if l.state == laneWorking || l.state == laneFetching {
		l.advance()
	}
}
