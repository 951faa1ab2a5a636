package faktory

import (
	"fmt"
	"time"
)

const (
	// releaseTimeout is how long a release waits for commands that are not answered
	// yet, before it closes the store, which answers them.
	releaseTimeout = time.Second

	// releaseMargin is the time before the end of a release at which attempts are given up,
	// so that the store can be closed.
	releaseMargin = 300 * time.Millisecond

	// releasePollInterval is how often a release checks what it waits for.
	releasePollInterval = 5 * time.Millisecond
)

// releaseDurable waits for the attempts whose workers can report only to this process.
// Then it closes each connection once its command is answered, closes the store and calls
// done. The other workers reconnect to the successor and report their jobs there.
func (s *Server) releaseDurable(answerBy time.Duration, done func()) {
	release := &storeRelease{
		server:        s,
		attemptsUntil: answerBy - releaseMargin,
		answerBy:      answerBy,
		done:          done,
	}
	release.awaitAttempts()
}

// storeRelease is a release of the store in progress.
type storeRelease struct {
	server        *Server
	attemptsUntil time.Duration // loop time until which attempts are awaited
	commandsUntil time.Duration // loop time until which commands are awaited before the store is closed
	answerBy      time.Duration // loop time by which all commands are answered
	done          func()
}

// awaitAttempts begins to close the connections once no attempt is at a worker that can
// report only to this process, or the time has come. Until then the front end serves its
// clients, and stores what they report.
func (r *storeRelease) awaitAttempts() {
	loop := r.server.dispatcher.Loop
	scheduler := r.server.durable.scheduler
	if scheduler.BoundAttempts() > 0 && loop.Now() < r.attemptsUntil {
		loop.After(releasePollInterval, r.awaitAttempts)
		return
	}
	r.server.acceptor.Close()
	scheduler.Release()
	r.server.StopReadingAt(0)
	r.commandsUntil = min(loop.Now()+releaseTimeout, r.answerBy)
	loop.Post(r.awaitCommands) // after the commands that were already read
}

// awaitCommands closes the connections that can be closed, and the store once none is left
// or the time has come.
func (r *storeRelease) awaitCommands() {
	loop := r.server.dispatcher.Loop
	r.server.closeAnswered()
	if r.server.connections.Len() > 0 && loop.Now() < r.commandsUntil {
		loop.After(releasePollInterval, r.awaitCommands)
		return
	}
	r.server.closeStore(r.answerBy, func() {
		r.server.closeAnswered()
		r.done()
	})
}

// closeAnswered closes the connections whose command is answered, or is a FETCH.
func (s *Server) closeAnswered() {
	s.connections.ForEach(func(_ uint64, c *connection) { c.closeIfAnswered() })
}

// closeIfAnswered closes the connection if its command is answered, or is a FETCH, which
// gets no job any more.
func (c *connection) closeIfAnswered() {
	switch {
	case c.fetch != nil:
		c.writeLine(nullBulk)
		c.closeGracefully()
	case !c.busy && !c.turn.posted:
		c.closeGracefully()
	}
}

// closeStore closes the store, which answers all commands that wait for it, and calls
// done.
func (s *Server) closeStore(answerBy time.Duration, done func()) {
	s.durable.Close(answerBy, func(err error) {
		if err != nil {
			s.dispatcher.Log(fmt.Sprintf("durable job store: %v", err))
		}
		done()
	})
}
