package daemon

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/handover"
)

const (
	// handoverIdleTimeout is how long idle connections are kept open after SIGTERM.
	handoverIdleTimeout = 1500 * time.Millisecond

	// The time from SIGTERM to the platform's SIGKILL is the longest deadline of any
	// class, but at most maxKillDeadline, plus killDelay. Requests that are still
	// unanswered killMargin before SIGKILL are answered then.
	killDelay       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	killMargin      = 250 * time.Millisecond

	handoverPoll = 10 * time.Millisecond // between checks whether the handover is complete
)

// handOver shuts this process down after its successor has begun to accept clients. This
// process stops accepting connections. Each open connection is closed after its next
// response, or after handoverIdleTimeout if it stays idle. Requests that are still
// unanswered shortly before SIGKILL are answered with an error then.
func (p *process) handOver() {
	began := p.dispatcher.Loop.Now()
	p.dispatcher.Log("handing over to the successor")
	p.frontEnds.http.HandOver()
	p.frontEnds.faktory.Stop()
	expireRequestsAt := began + p.killTime() - killMargin
	p.frontEnds.faktory.Release(expireRequestsAt, func() {
		p.replacement.storeReleased = true
		p.sendToPeer(handover.Message{StoreReleased: true})
	})
	p.sendLimits()
	pending := &pendingHandover{
		process:          p,
		closeIdleAt:      began + handoverIdleTimeout,
		expireRequestsAt: expireRequestsAt,
	}
	p.stopWhen(pending.advance, handoverPoll)
}

// killTime returns the time from SIGTERM to the platform's SIGKILL.
func (p *process) killTime() time.Duration {
	longest := time.Duration(0)
	for _, class := range p.dispatcher.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxKillDeadline) + killDelay
}

// pendingHandover is a handover that is not complete: requests are unanswered, the store
// of durable jobs is not released, or connections are open.
type pendingHandover struct {
	process          *process
	closeIdleAt      time.Duration // loop time from which idle connections are closed
	expireRequestsAt time.Duration // loop time at which all open requests are answered as expired
}

// advance closes connections and ends requests that have reached their time, and reports
// whether the process may exit.
func (r *pendingHandover) advance() (finished bool) {
	p := r.process
	now := p.dispatcher.Loop.Now()
	if now >= r.closeIdleAt {
		p.frontEnds.http.CloseIdle()
	}
	if now >= r.closeIdleAt && p.replacement.storeReleased { // until then workers report here
		p.frontEnds.faktory.CloseIdle()
	}
	if now >= r.expireRequestsAt {
		p.frontEnds.stopReading(0)
		p.dispatcher.ExpireAll()
	}
	return r.finished(now)
}

// finished reports whether the handover is complete. Once half of killMargin is left until
// SIGKILL, neither the store counts, which the end of the process releases, nor
// connections on which the client has not read the last response.
func (r *pendingHandover) finished(now time.Duration) bool {
	p := r.process
	if p.dispatcher.Unanswered() > 0 || p.frontEnds.faktory.Busy() {
		return false
	}
	released := p.replacement.storeReleased && p.frontEnds.http.OpenConnections() == 0
	return released || now >= r.expireRequestsAt+killMargin/2
}
