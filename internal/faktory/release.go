package faktory

import (
	"fmt"
	"time"
)

const (
	// releaseTimeout is how long a release waits for commands that are not answered
	// yet, before it closes their connections.
	releaseTimeout = time.Second

	// releasePollInterval is how often a release checks for such connections.
	releasePollInterval = 5 * time.Millisecond
)

// releaseDurable closes each connection once its command is answered, then closes
// the store and calls done. The workers reconnect to the successor and report
// their jobs there.
func (s *Server) releaseDurable(done func()) {
	s.acceptor.Close()
	s.durable.scheduler.Release()
	deadline := s.dispatcher.Loop.Now() + releaseTimeout
	s.continueRelease(deadline, done)
}

// continueRelease closes the connections that can be closed. If others are left it
// runs again after releasePollInterval.
func (s *Server) continueRelease(deadline time.Duration, done func()) {
	loop := s.dispatcher.Loop
	timedOut := loop.Now() >= deadline
	s.connections.ForEach(func(_ uint64, c *connection) {
		switch {
		case c.fetch != nil:
			c.writeLine(nullBulk)
			c.closeGracefully()
		case !c.busy, timedOut:
			c.closeGracefully()
		}
	})
	if s.connections.Len() > 0 {
		loop.After(releasePollInterval, func() { s.continueRelease(deadline, done) })
		return
	}
	err := s.durable.Service.Close()
	if err != nil {
		s.dispatcher.Log(fmt.Sprintf("durable job store: %v", err))
	}
	done()
}
