package faktory

import (
	"fmt"
	"time"
)

const (
	// releaseTimeout is how long a release waits for commands that are not answered
	// yet, before it closes the store, which answers them.
	releaseTimeout = time.Second

	// releasePollInterval is how often a release checks for such connections.
	releasePollInterval = 5 * time.Millisecond
)

// releaseDurable closes each connection once its command is answered, then closes
// the store and calls done. The workers reconnect to the successor and report
// their jobs there.
func (s *Server) releaseDurable(answerBy time.Duration, done func()) {
	s.acceptor.Close()
	s.durable.scheduler.Release()
	release := &storeRelease{
		server:    s,
		waitUntil: min(s.dispatcher.Loop.Now()+releaseTimeout, answerBy),
		answerBy:  answerBy,
		done:      done,
	}
	release.advance()
}

// storeRelease is a release of the store in progress.
type storeRelease struct {
	server    *Server
	waitUntil time.Duration // loop time until which commands are awaited before the store is closed
	answerBy  time.Duration // loop time by which all commands are answered
	done      func()
}

// advance closes the connections that can be closed, and the store once none is left
// or the time has come.
func (r *storeRelease) advance() {
	loop := r.server.dispatcher.Loop
	r.server.closeAnswered()
	if r.server.connections.Len() > 0 && loop.Now() < r.waitUntil {
		loop.After(releasePollInterval, r.advance)
		return
	}
	r.server.closeStore(r.answerBy, func() {
		r.server.closeAnswered()
		r.done()
	})
}

// closeAnswered closes the connections whose command is answered, or is a FETCH, which
// gets no job any more.
func (s *Server) closeAnswered() {
	s.connections.ForEach(func(_ uint64, c *connection) {
		switch {
		case c.fetch != nil:
			c.writeLine(nullBulk)
			c.closeGracefully()
		case !c.busy:
			c.closeGracefully()
		}
	})
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
