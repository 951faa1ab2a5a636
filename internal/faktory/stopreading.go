package faktory

import (
	"slices"
	"time"
)

// shuttingDownReply answers a command that came too late before the process ends.
const shuttingDownReply = replyError + "REFUSED the dispatcher is ending, sending it again is harmless; retry after 1.000 s"

// clientCommands are the commands by which producers and operators bring new work or change jobs. They are refused once
// reading has stopped.
var clientCommands = []string{commandPush, commandPushBulk, commandQueue, commandMutate, commandFlush}

// intakeState tells what a Server still reads.
type intakeState struct {
	stopped   bool
	readUntil time.Duration // commands that arrived by this clock time are handled although reading has stopped
}

// StopReadingAt is the irreversible step of a shutdown. Commands that arrived by the clock time due are handled, even
// if nobody has read them from their sockets yet. From then on nothing is read from producers: a connection is closed
// once its last command is answered. Workers are still read, since they report the jobs that they have and fetch those
// that were accepted, but may not bring new ones; they may also reconnect. Calls after the first have no effect.
func (s *Server) StopReadingAt(due time.Duration) {
	if s.intake.stopped {
		return
	}
	s.intake = intakeState{stopped: true, readUntil: due}
	s.connections.ForEach(func(_ uint64, c *connection) { c.conn.Pause() })
	s.dispatcher.Loop.Post(func() { // runs after the loop has handled all input that was already read
		s.connections.ForEach(func(_ uint64, c *connection) { c.stopReading() })
	})
}

// stopReading handles what arrived in time, and refuses new work from then on.
func (c *connection) stopReading() {
	if !c.busy {
		c.conn.DeliverUnread(c.server.intake.readUntil)
	}
	if c.closed {
		return
	}
	c.workRefused = true
	c.conn.Resume()
	if c.isProducer() && !c.busy {
		c.endProducer()
	}
}

// isProducer reports whether the connection is that of a producer: HELLO was accepted, and named no worker.
func (c *connection) isProducer() bool { return c.authenticated && c.worker == nil }

// endProducer closes the connection of a producer, on which no command waits for its answer, after refusing the commands
// that were read but not handled. The last of them may be incomplete.
func (c *connection) endProducer() {
	c.processInput()
	if c.closed || c.busy || c.turn.posted {
		return
	}
	if !c.input.empty() {
		c.writeLine(shuttingDownReply)
	}
	c.closeGracefully()
}

// refuses reports whether a command is refused because reading has stopped.
func (c *connection) refuses(verb string) bool {
	return c.workRefused && slices.Contains(clientCommands, verb)
}

// CloseIdleConnections closes the connections on which nothing is pending. Those of workers stay open while requests are
// unanswered, so that the workers can fetch and report them. After StopReadingAt, once all requests are answered, no
// more connections are accepted, and parked FETCHes are answered. It reports whether no connection is left.
func (s *Server) CloseIdleConnections() (none bool) {
	unanswered := s.dispatcher.Unanswered() > 0
	if !s.intake.stopped || unanswered {
		s.connections.ForEach(func(_ uint64, c *connection) { c.closeIdle(unanswered) })
		return false
	}
	s.acceptor.Close()
	s.connections.ForEach(func(_ uint64, c *connection) {
		mayReport := c.worker != nil && c.worker.inProgress > 0 && c.fetch == nil
		if !mayReport {
			c.closeIfAnswered()
		}
	})
	return s.acceptor.OpenConnections() == 0
}

// closeIdle closes a connection if nothing is pending on it. workersStay says that workers are still needed.
func (c *connection) closeIdle(workersStay bool) {
	if c.busy || !c.input.empty() || !c.conn.AllRead() {
		return
	}
	neededByWorker := !c.isProducer() && workersStay
	if !neededByWorker {
		c.closeGracefully()
	}
}
