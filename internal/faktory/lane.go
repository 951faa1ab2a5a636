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
	fetchTimeout   = 10 * time.Second // a server may wait 2 s before it replies to FETCH
	beatInterval   = 15 * time.Second // as the protocol requires of workers
	drainInterval  = time.Second      // between checks of an idle lane that no longer fetches
	minBackoff     = 250 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// Reasons to reconnect a lane.
var (
	errConnectionEnded   = errors.New("the connection was closed or has failed")
	errReplyTimeout      = errors.New("timed out waiting for a reply")
	errTooMuchInput      = errors.New("received more data than a reply may have")
	errUnexpectedReply   = errors.New("received a reply without a command")
	errGreetingVersion   = errors.New("the greeting is not one of protocol version 2")
	errTooManyIterations = errors.New("the greeting asks for too many iterations")
	errJobWithoutJid     = errors.New("received a job without a jid")
)

// laneState is the state of a lane's connection. Its transitions:
//
//	laneDown -> laneAwaitingGreeting -> laneAwaitingHello -> laneIdle
//	laneIdle -> laneFetching -> laneIdle                                 there is no job
//	laneIdle -> laneFetching -> laneWorking -> laneClosing -> laneIdle   a job runs
//	laneIdle -> laneFetching -> laneClosing -> laneIdle                  a job cannot be accepted
//	laneIdle -> laneWorking or laneClosing     its delivery began before a reconnection
//	laneIdle -> laneBeating -> laneIdle        the heartbeat lane
//	any state -> laneDown                      reconnect or shutdown
type laneState uint8

const (
	laneDown             laneState = iota // not connected
	laneAwaitingGreeting                  // waits for HI
	laneAwaitingHello                     // waits for the reply to HELLO
	laneIdle                              // waits for no reply, so it may send a command
	laneFetching                          // waits for the reply to FETCH
	laneWorking                           // waits for the final result of its job
	laneClosing                           // waits for the reply to ACK or FAIL
	laneBeating                           // waits for the reply to BEAT
)

// isAuthenticated reports whether HELLO has been accepted in this state.
func (s laneState) isAuthenticated() bool { return s >= laneIdle }

// heartbeatLane is the number of the lane that sends the heartbeats of the
// source's wid and fetches no jobs.
const heartbeatLane = 0

// lane is a connection to the upstream server, with at most one job. A lane exists
// as long as its source and reconnects, after a backoff, when
//
//   - the connection ends or cannot be opened,
//   - a reply does not arrive in time,
//   - upstream violates the protocol, rejects HELLO, or replies to FETCH with an error.
//
// The delivery of a lane is kept while the lane reconnects: the job continues, and
// is reported by ACK or FAIL once the lane is connected again. A lane that waits for
// no reply sends its next command (see advance): the ACK or FAIL of its delivery if
// there is one, and otherwise FETCH.
type lane struct {
	source      *Source
	number      int
	conn        *transport.Conn // nil if not connected
	input       input
	state       laneState
	deadline    eventloop.Deadline // see onDeadline
	backoff     time.Duration      // before the latest reconnection; 0 after a HELLO was accepted
	generation  int                // counts connections, so that the result of an outdated dial is ignored
	writeOffset int64              // position in the connection's output after the latest command
	delivery    upstreamDelivery
}

// busy reports whether the lane has a delivery that is not reported completely yet,
// or is fetching one.
func (l *lane) busy() bool {
	return l.delivery.state != noDelivery || l.state == laneFetching || l.state == laneClosing
}

// connect opens a connection, on which the lane then waits for the greeting.
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

// shutdown closes the connection without reconnecting.
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

// setDeadline makes the loop call onDeadline after the given time.
func (l *lane) setDeadline(span time.Duration) {
	loop := l.source.dispatcher.Loop
	loop.Set(&l.deadline, loop.Now()+span)
}

// reconnect closes the connection and dials again after a backoff. A job in
// progress continues. An ACK or FAIL that has not been sent completely is sent
// again. One that may have arrived is not sent again: if upstream has not received
// it, upstream will deliver the jid again.
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

// OnClosed handles that the connection was closed or has failed.
func (l *lane) OnClosed(conn *transport.Conn, _ error) {
	if conn == l.conn {
		l.reconnect(errConnectionEnded)
	}
}

// onDeadline is called when a backoff, the drainInterval of an idle lane, or the
// time to wait for a reply has passed.
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

// OnData handles received bytes and takes ownership of their buffer.
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
		buffer := l.input.take(used) // answer.text is a slice of it
		retained := l.handleReply(answer, func() { pool.Put(buffer) })
		if !retained {
			pool.Put(buffer)
		}
	}
}

// send sends a command and sets the state in which the lane waits for the reply.
func (l *lane) send(next laneState, line string, timeout time.Duration) {
	l.state = next
	l.setDeadline(timeout)
	l.conn.Write([]byte(line + "\r\n"))
	l.writeOffset = l.conn.WriteOffset()
}

// advance sends the next command of a lane that waits for no reply. It sends none
// while the job of the lane runs or the source drains.
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
