package daemon

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/transport"
)

const (
	// arrivalWindow is how long new connections and requests are served after
	// SIGTERM: 0.4 s by the platform's page, and some for a slow machine.
	arrivalWindow = 600 * time.Millisecond
	// readWindow is how long after that requests on their way may be read. What came
	// 0.7 s after SIGTERM and SIGKILL finds unanswered is lost.
	readWindow = 60 * time.Millisecond
	// upstreamTimeout is for an upstream Faktory server to accept the last reports.
	upstreamTimeout = 8 * time.Second
	// shutdownPoll is the time between checks whether all is answered.
	shutdownPoll = 5 * time.Millisecond
	// flushTime is for the sockets' last bytes before the process exits.
	flushTime = 50 * time.Millisecond
)

// shutdown ends the process gracefully. Beside a successor that accepts clients it
// hands over. Otherwise all that arrives in the arrival window is served as before;
// then no HTTP client is accepted, connections end between requests, and after the read
// window nothing is read. The last answer stops the loop, and Serve calls end.
func (p *process) shutdown() {
	p.phase = stopping
	p.closeHandoverSocket()
	if p.replacement.successorServing {
		p.handOver()
		return
	}
	p.frontEnds.beginShutdown()
	p.dispatcher.Loop.After(arrivalWindow, func() {
		p.frontEnds.stopAccepting()
		p.stopWhen(newLastAnswers(p).advance, shutdownPoll)
	})
}

// stopWhen calls advance now and at intervals until it reports that nothing is left to
// do, and stops the loop then.
func (p *process) stopWhen(advance func() (finished bool), interval time.Duration) {
	loop := p.dispatcher.Loop
	if advance() {
		loop.After(flushTime, loop.Stop)
		return
	}
	loop.After(interval, func() { p.stopWhen(advance, interval) })
}

// lastAnswers is the part of a shutdown after the arrival window. Requests that were
// read are answered, and each connection is closed after its last answer.
type lastAnswers struct {
	process       *process
	stopReading   time.Duration // nothing is read from then on
	lingerUntil   time.Duration // for clients to read their answers; moves while answers are owed
	upstreamUntil time.Duration // for the upstream server to accept the last reports
}

// newLastAnswers begins the part now.
func newLastAnswers(p *process) *lastAnswers {
	now := p.dispatcher.Loop.Now()
	return &lastAnswers{
		process:       p,
		stopReading:   now + readWindow,
		lingerUntil:   now + readWindow + transport.LingerTime,
		upstreamUntil: now + upstreamTimeout,
	}
}

// advance closes what is idle, and reports whether the process may exit.
func (a *lastAnswers) advance() (finished bool) {
	frontEnds := &a.process.frontEnds
	idle := frontEnds.closeIdle()
	now := a.process.dispatcher.Loop.Now()
	if frontEnds.http != nil && now >= a.stopReading {
		frontEnds.http.StopReading()
		idle = idle && frontEnds.http.OpenConnections() == 0
	}
	if a.process.dispatcher.Unanswered() > 0 {
		a.lingerUntil = now + transport.LingerTime
	}
	return a.finished(now, idle)
}

// finished reports whether nothing is owed any more. idle says that no connection is
// left.
func (a *lastAnswers) finished(now time.Duration, idle bool) bool {
	if now < a.stopReading || a.process.dispatcher.Unanswered() > 0 {
		return false
	}
	if idle || now > a.upstreamUntil {
		return true
	}
	return now > a.lingerUntil && !a.process.frontEnds.faktory.Busy()
}

// end closes the store and logs what the process has done. It is called after the loop
// has stopped.
func (p *process) end() {
	if err := p.frontEnds.faktory.Close(); err != nil {
		p.dispatcher.Log(fmt.Sprintf("durable job store: %v", err))
	}
	sum := p.dispatcher.Counts()
	p.dispatcher.Log(fmt.Sprintf("stopped: accepted %d, served %d, rejected %d, failed %d, cancelled %d, attempts %d",
		sum.Accepted, sum.Served, sum.Rejected, sum.Failed, sum.Cancelled, sum.Attempts))
}
