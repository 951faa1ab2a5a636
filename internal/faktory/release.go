package faktory

import (
	"fmt"
	"time"
)

const (
	// releaseTimeout is how long a release waits for commands whose changes are
	// not on disk yet, before it closes their connections.
	releaseTimeout = time.Second

	// releasePollInterval is how often a release looks for such connections.
	releasePollInterval = 5 * time.Millisecond
)

// releaseDurable closes all connections, each once its command is answered,
// and then the store, and calls done. Workers reconnect to the successor with
// the jobs that they hold.
func (s *Server) releaseDurable(done func()) {
	s.acceptor.Close()
	s.durable.scheduler.Release()
	limit := s.dispatcher.Loop.Now() + releaseTimeout
	s.continueRelease(limit, done)
}

// continueRelease closes the connections that can be closed by now, and continues
// later if some are left.
func (s *Server) continueRelease(limit time.Duration, done func()) {
	loop := s.dispatcher.Loop
	late := loop.Now() >= limit
	s.connections.ForEach(func(_ uint64, c *connection) {
		switch {
		case c.fetch != nil:
			c.writeLine(nullBulk)
			c.closeGracefully()
		case !c.busy, late:
			c.closeGracefully()
		}
	})
	if s.connections.Len() > 0 {
		loop.After(releasePollInterval, func() { s.continueRelease(limit, done) })
		return
	}
	err := s.durable.Service.Close()
	if err != nil {
		s.dispatcher.Log(fmt.Sprintf("durable job store: %v", err))
	}
	done()
}
