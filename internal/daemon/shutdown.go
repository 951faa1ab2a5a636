package daemon

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/transport"
)

const (
	// upstreamTimeout limits the time in which an upstream Faktory server must accept the
	// last reports.
	upstreamTimeout = 8 * time.Second
	// shutdownPoll is the time between checks whether all requests are answered.
	shutdownPoll = 5 * time.Millisecond
	// storeCloseTimeout is how long the store may take for the last changes after all other
	// requests are answered.
	storeCloseTimeout = time.Second
	// flushTime is the time left for sending the last bytes before the process exits.
	flushTime = 50 * time.Millisecond
)

// shutdown begins a graceful shutdown. If a successor accepts clients, it hands over to
// it. Otherwise new connections and requests are served as before during the arrival
// window. After that idle connections are closed, and reading stops as intake.go tells. Once
// all requests are answered the loop stops, and Serve calls closeStoreAndLogTotals.
func (p *process) shutdown() {
	p.phase = stopping
	p.closeHandoverSocket()
	if p.replacement.successorServing {
		p.handOver()
		return
	}
	p.frontEnds.beginShutdown()
	began := p.dispatcher.Loop.Now()
	p.dispatcher.Loop.After(arrivalWindow, func() {
		p.frontEnds.stopAccepting()
		p.stopWhen(newLastAnswers(p, began).advance, shutdownPoll)
	})
}

// stopWhen calls advance now and at intervals until it returns true, and stops the loop
// flushTime later.
func (p *process) stopWhen(advance func() (finished bool), interval time.Duration) {
	loop := p.dispatcher.Loop
	if advance() {
		loop.After(flushTime, loop.Stop)
		return
	}
	loop.After(interval, func() { p.stopWhen(advance, interval) })
}

// lastAnswers is the part of a shutdown after the arrival window. Requests that have been
// read are answered, and each connection is closed after its last response.
type lastAnswers struct {
	process       *process
	intake        intake
	lingerUntil   time.Duration // clients may read their responses until then; extended while requests are unanswered
	expireAt      time.Duration // from then on durable requests are answered with what is known of their jobs
	store         lastChanges
	upstreamUntil time.Duration // the upstream server may accept the last reports until then
}

// lastChanges is the end of the store of durable jobs in a shutdown.
type lastChanges struct {
	closing    bool          // no more changes are accepted
	closed     bool          // all changes are on disk and all their callers are answered
	awaitUntil time.Duration // the process exits then, even if the store is not closed
}

// newLastAnswers returns a lastAnswers for a shutdown that began at the loop time began.
func newLastAnswers(p *process, began time.Duration) *lastAnswers {
	now := p.dispatcher.Loop.Now()
	return &lastAnswers{
		process:       p,
		intake:        newIntake(&p.frontEnds, began, now),
		lingerUntil:   now + readWindow + transport.MaxLingerTime,
		expireAt:      began + p.killTime() - killMargin,
		upstreamUntil: now + upstreamTimeout,
	}
}

// advance closes idle connections, stops reading and closes the store when the time has
// come, and reports whether the process may exit.
func (a *lastAnswers) advance() (finished bool) {
	frontEnds := &a.process.frontEnds
	idle := frontEnds.closeIdle()
	now := a.process.dispatcher.Loop.Now()
	a.intake.advance(now)
	a.closeStore(now)
	if frontEnds.http != nil && now >= a.expireAt {
		frontEnds.http.ExpireDurable(a.expireAt + killMargin/2)
	}
	if a.intake.stopped && frontEnds.http != nil {
		idle = idle && frontEnds.http.OpenConnections() == 0
	}
	if a.process.dispatcher.Unanswered() > 0 {
		a.lingerUntil = now + transport.MaxLingerTime
	}
	return a.finished(now, idle)
}

// closeStore begins to close the store once no job is at a worker and nothing more is read.
// That answers the requests that wait for the store or for a job in it.
func (a *lastAnswers) closeStore(now time.Duration) {
	if a.store.closing || !a.intake.stopped || a.process.dispatcher.Unanswered() > 0 {
		return
	}
	a.store.closing = true
	answerBy := max(a.expireAt, now+storeCloseTimeout)
	a.store.awaitUntil = answerBy + killMargin/2
	a.process.frontEnds.faktory.CloseStore(answerBy, func() {
		a.store.closed = true
		a.lingerUntil = a.process.dispatcher.Loop.Now() + transport.MaxLingerTime
	})
}

// finished reports whether the process may exit: all requests are answered, and either no
// connection is left (idle is true) or the time to wait for clients and for the upstream
// server has passed.
func (a *lastAnswers) finished(now time.Duration, idle bool) bool {
	if !a.intake.stopped || a.process.dispatcher.Unanswered() > 0 {
		return false
	}
	if !a.store.closed && now < a.store.awaitUntil {
		return false
	}
	if idle || now > a.upstreamUntil {
		return true
	}
	return now > a.lingerUntil && !a.process.frontEnds.faktory.Busy()
}

// closeStoreAndLogTotals closes the store of durable jobs and logs the total counts of the
// process. It is called after the loop has stopped.
func (p *process) closeStoreAndLogTotals() {
	if err := p.frontEnds.faktory.Close(); err != nil {
		p.dispatcher.Log(fmt.Sprintf("durable job store: %v", err))
	}
	totals := p.dispatcher.Counts()
	p.dispatcher.Log(fmt.Sprintf("stopped: accepted %d, served %d, rejected %d, failed %d, cancelled %d, attempts %d",
		totals.Accepted, totals.Served, totals.Rejected, totals.Failed, totals.Cancelled, totals.Attempts))
}
