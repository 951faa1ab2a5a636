package daemon

import (
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

// shutdown begins the graceful end. Without a successor that accepts clients, all
// that arrives in the arrival window is served as before; then connections end
// between requests and nothing more is read. The last answer ends the process.
func (p *process) shutdown() {
	p.stopping = true
	if p.handover.acceptor != nil {
		p.handover.acceptor.Close()
	}
	if p.handover.peerServing {
		p.handOver()
		return
	}
	if p.frontEnds.http != nil {
		p.frontEnds.http.BeginShutdown()
	}
	p.frontEnds.faktory.Stop()
	p.dispatcher.Loop.After(arrivalWindow, p.finish)
}

// finish ends the arrival window.
func (p *process) finish() {
	if p.frontEnds.http != nil {
		p.frontEnds.http.StopAccepting() // what arrives now waits in the backlog, or is rejected by the system
	}
	now := p.dispatcher.Loop.Now()
	ending := &finisher{
		process:       p,
		stopReading:   now + readWindow,
		lingerUntil:   now + readWindow + transport.LingerTime,
		upstreamUntil: now + upstreamTimeout,
	}
	ending.step()
}

// finisher is the last part of a graceful end, after the arrival window.
type finisher struct {
	process       *process
	stopReading   time.Duration // nothing is read from then on
	lingerUntil   time.Duration // for clients to read their answers; moves while answers are owed
	upstreamUntil time.Duration // for the upstream server to accept the last reports
}

// step closes what is idle and stops the loop once nothing is owed.
func (f *finisher) step() {
	daemon := f.process
	loop := daemon.dispatcher.Loop
	idle := daemon.frontEnds.closeIdle()
	now := loop.Now()
	if daemon.frontEnds.http != nil && now >= f.stopReading {
		daemon.frontEnds.http.StopReading()
		idle = idle && daemon.frontEnds.http.OpenConnections() == 0
	}
	if daemon.dispatcher.Unanswered() > 0 {
		f.lingerUntil = now + transport.LingerTime
	}
	if f.finished(now, idle) {
		loop.After(flushTime, loop.Stop)
		return
	}
	loop.After(shutdownPoll, f.step)
}

// finished reports whether the process may exit.
func (f *finisher) finished(now time.Duration, idle bool) bool {
	daemon := f.process
	if now < f.stopReading || daemon.dispatcher.Unanswered() > 0 {
		return false
	}
	if idle || now > f.upstreamUntil {
		return true
	}
	return now > f.lingerUntil && !daemon.frontEnds.faktory.Busy()
}
