package faktory

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

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

// laneState is the state of a lane's connection: what it waits for.
//
//	laneDown -> laneAwaitingGreeting -> laneAwaitingHello -> laneIdle
//	laneIdle -> laneFetching -> laneIdle                                 no job
//	laneIdle -> laneFetching -> laneWorking -> laneClosing -> laneIdle   a job
//	laneIdle -> laneFetching -> laneClosing -> laneIdle                  a job that is rejected
//	laneIdle -> laneWorking or laneClosing     with a delivery from before a reconnection
//	laneIdle -> laneBeating -> laneIdle        the heartbeat lane
//	any state -> laneDown                      reconnect or shutdown
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

// isAuthenticated reports whether HELLO has been accepted in this state.
func (s laneState) isAuthenticated() bool { return s >= laneIdle }

// heartbeatLane is the number of the lane that sends heartbeats and fetches
// nothing; its heartbeats are those of the source's wid.
const heartbeatLane = 0

// lane is one connection to the upstream server, with at most one job. It lives
// as long as its source: it reconnects, after a backoff, when
//
//   - the connection ends or cannot be opened,
//   - an answer does not come in time,
//   - upstream breaks the protocol, rejects HELLO, or answers FETCH by an error.
//
// Its delivery outlives the connection: the job goes on, and is closed by ACK or
// FAIL once the lane is connected again. A lane that waits for nothing sends
// what is due (advance): the ACK or FAIL of its delivery, or else FETCH.
type lane struct {
	source      *Source
	number      int
	conn        *transport.Conn // nil: not connected
	input       input
	state       laneState
	deadline    eventloop.Deadline // see onDeadline
	backoff     time.Duration      // before the latest reconnection; 0: the connection has worked
	generation  int                // counts connections; the end of a dial of an earlier one is ignored
	writeOffset int64              // of the connection, behind the latest command
	delivery    upstreamDelivery
}

// busy reports whether a delivery is not closed yet, or being fetched.
func (l *lane) busy() bool {
	return l.delivery.state != noDelivery || l.state == laneFetching || l.state == laneClosing
}

// connect dials. The connection is laneAwaitingGreeting once it is open.
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
	if l.state.isAuthenticated() {
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
// progress goes on. An ACK or FAIL that has not been sent completely is sent
// again; one that may have arrived is not: if upstream has not received it, it
// will deliver the jid again.
func (l *lane) reconnect(reason error) {
	if l.state != laneDown || l.backoff == 0 {
		l.source.dispatcher.Log(fmt.Sprintf("upstream, lane %d: %s", l.number, singleLine(reason.Error())))
	}
	if l.state == laneClosing && l.conn.Flushed(l.writeOffset) {
		l.delivery = upstreamDelivery{}
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

// onDeadline ends the backoff, the pause of a lane that is idle, or the wait for
// an answer.
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
	case l.number == heartbeatLane:
		raw, _ := json.Marshal(heartbeat{Wid: l.source.wid}) // strings always marshal
		l.send(laneBeating, commandBeat+" "+string(raw), replyTimeout)
	case l.delivery.state == deliveryInProgress:
		l.state = laneWorking
		l.source.dispatcher.Loop.Clear(&l.deadline)
	case l.delivery.state == deliveryClosing:
		l.send(laneClosing, l.delivery.closeCommand, replyTimeout)
	case l.source.draining:
		l.setDeadline(drainInterval)
	default:
		l.send(laneFetching, l.source.fetchCommand, fetchTimeout)
	}
}
